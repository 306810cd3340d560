//! The operator's order: move all requests of a service to targets of one version within a given
//! time.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Maximum length of a version name, in bytes.
pub const MAX_VERSION_BYTES: usize = 128;

/// Maximum duration of a roll-out, in milliseconds: one day.
pub const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1_000;

/// An order to roll out a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service whose requests move.
    pub service: String,
    /// The version that they move to.
    pub version: String,
    /// Time within which all requests must have moved, in milliseconds.
    pub duration_ms: u64,
}

/// Why an order is invalid, independent of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum OrderError {
    /// The version name is empty.
    #[display("the version name is empty")]
    EmptyVersion,
    /// The version name is longer than [`MAX_VERSION_BYTES`].
    #[display("a version of {_0} bytes; {MAX_VERSION_BYTES} at most")]
    #[error(ignore)]
    VersionTooLong(usize),
    /// The version name has blanks or non-printable characters.
    #[display("the version name has blanks or characters that are not printable ASCII")]
    InvalidVersion,
    /// The duration is 0 or over [`MAX_DURATION_MS`].
    #[display("duration of {_0} ms is not from 1 to {MAX_DURATION_MS} ms")]
    #[error(ignore)]
    InvalidDuration(u64),
}

impl RolloutOrder {
    /// Checks everything that does not depend on the configured services.
    ///
    /// # Errors
    ///
    /// The first [`OrderError`].
    pub fn check(&self) -> Result<(), OrderError> {
        if self.version.is_empty() {
            return Err(OrderError::EmptyVersion);
        }
        if self.version.len() > MAX_VERSION_BYTES {
            return Err(OrderError::VersionTooLong(self.version.len()));
        }
        if !self.version.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(OrderError::InvalidVersion);
        }
        if !(1..=MAX_DURATION_MS).contains(&self.duration_ms) {
            return Err(OrderError::InvalidDuration(self.duration_ms));
        }
        Ok(())
    }
}
