//! Description of a suspect request for operators.

use serde::{Deserialize, Serialize};

use crate::SuspectRecord;

/// Path at which control hosts list suspect requests. `DELETE` with a request key appended releases
/// one.
pub const HELD_PATH: &str = "/-/held-requests";

/// A suspect request as shown to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeldLine {
    /// Request key, by which an operator releases the request.
    pub key: String,
    /// Client account that sent it.
    pub account: String,
    /// Request method.
    pub method: String,
    /// Host and path of the request.
    pub path: String,
    /// Whether the request is refused; otherwise it is only a suspect.
    pub held: bool,
    /// Number of targets that crashed while the request ran there.
    pub ends: usize,
    /// Number of trials since the request became held.
    pub trials: u32,
    /// Time since the last crash, trial or refusal, in milliseconds.
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
