//! Description of a suspect part of prompts for operators.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::PartRecord;

/// Path at which control hosts list suspect parts of prompts. `DELETE` with a part key appended
/// releases one.
pub const HELD_PARTS_PATH: &str = "/-/held-parts";

/// A suspect part as shown to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PartLine {
    /// Part key, by which an operator releases the part.
    pub key: String,
    /// Service whose targets answer on the part.
    pub service: String,
    /// Client account whose requests are counted; `None` for all accounts.
    pub account: Option<String>,
    /// Identifier of the part.
    pub part: String,
    /// Whether requests with the part are refused.
    pub held: bool,
    /// Number of targets that crashed while requests with the part were in flight there.
    pub crashes: usize,
    /// Number of different requests, or accounts, in flight at these crashes.
    pub origins: usize,
    /// Number of completed runs that are known; no more are counted than the decision needs.
    pub runs: usize,
    /// Number of trials since the part became held.
    pub trials: u32,
    /// Time since the last crash, trial or refusal, in milliseconds.
    pub age_ms: u64,
}

impl PartLine {
    /// Returns the line for a record.
    pub fn new(record: &PartRecord, held: bool) -> Self {
        let origins: BTreeSet<_> = record.crashes.values().flatten().collect();
        Self {
            key: record.subject.key.to_string(),
            service: record.subject.service.clone(),
            account: record.subject.account.clone(),
            part: record.subject.id.clone(),
            held,
            crashes: record.crashes.len(),
            origins: origins.len(),
            runs: record.run_count(),
            trials: record.trials,
            age_ms: record.age_ms,
        }
    }
}
