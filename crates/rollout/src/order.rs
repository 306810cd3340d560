//! What an operator asks: all requests of a service to targets of one version, within a time.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The longest name of a version, in bytes.
pub const MAX_VERSION_BYTES: usize = 128;

/// The longest time that a roll-out may take, in milliseconds: a day.
pub const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1_000;

/// An order to roll a version out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service whose requests move.
    pub service: String,
    /// The version that they move to.
    pub version: String,
    /// Time until they have to have moved, in milliseconds.
    pub duration_ms: u64,
}

/// Why an order makes no sense, whoever gives it.
#[derive(Debug, Clone, PartialEq, Eq, Display, derive_more::Error)]
pub enum OrderError {
    /// The version has no name.
    #[display("the version has no name")]
    EmptyVersion,
    /// The name of the version is over [`MAX_VERSION_BYTES`].
    #[display("a version of {_0} bytes; {MAX_VERSION_BYTES} at most")]
    #[error(ignore)]
    VersionTooLong(usize),
    /// The name has blanks or signs that cannot be printed.
    #[display("a version has printable signs only, and no blanks")]
    InvalidVersion,
    /// The time is 0, or over [`MAX_DURATION_MS`].
    #[display("a duration of {_0} ms; from 1 to {MAX_DURATION_MS}")]
    #[error(ignore)]
    InvalidDuration(u64),
}

impl RolloutOrder {
    /// Checks what can be checked without knowing the services.
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
