//! What operators are told of a request against which something stands.

use serde::{Deserialize, Serialize};

use crate::SuspectRecord;

/// Where control hosts list what is held; a key after it names one request, which DELETE releases.
pub const HELD_PATH: &str = "/-/held-requests";

/// A request against which something stands, as operators read it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldLine {
    /// Its key, as it is given to release it.
    pub key: String,
    /// The account that sent it.
    pub account: String,
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Whether it is refused; otherwise it is only suspect.
    pub held: bool,
    /// Targets that ended while it ran.
    pub ends: usize,
    /// How often it was tried since it is held.
    pub trials: u32,
    /// How long ago the last end, trial or refusal was, in milliseconds.
    pub age_ms: u64,
}

impl HeldLine {
    /// Returns the line for a record.
    pub fn new(record: SuspectRecord) -> Self {
        let subject = record.subject;
        Self {
            key: subject.key.to_string(),
            account: subject.account,
            method: subject.method,
            path: subject.path,
            held: record.held,
            ends: record.crashes.len(),
            trials: record.trials,
            age_ms: record.age_ms,
        }
    }
}
