//! A configuration as it is agreed on: opaque bytes under an outside version.

use serde::{Deserialize, Serialize};

/// A configuration in the form in which the operator sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The version that the operator gave it; the highest holds.
    pub version: u64,
    /// The bytes, as they were sent.
    pub body: Vec<u8>,
}
