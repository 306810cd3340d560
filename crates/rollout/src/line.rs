//! The representation of roll-outs for operators.

use serde::{Deserialize, Serialize};

use crate::{RolloutRecord, RolloutTotals, evaluate_rollout};

/// Path at which control hosts serve roll-outs to operators.
pub const ROLLOUTS_PATH: &str = "/-/rollout-records";

/// One roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutLine {
    /// The service.
    pub service: String,
    /// The number of the roll-out within the service, from 1.
    pub revision: u64,
    /// The version that is rolled out.
    pub version: String,
    /// The versions that it replaces.
    pub former: Vec<String>,
    /// `in_progress`, `completed` or `reverted`.
    pub state: String,
    /// The reason for the newest step.
    pub cause: String,
    /// The share of requests that the version receives, in thousandths.
    pub permille: u16,
    /// When the roll-out was ordered, in Unix milliseconds.
    pub started_ms: u64,
    /// The ordered duration, in milliseconds.
    pub duration_ms: u64,
    /// Responses of the version, including failures. This count and the ones below are 0 once the
    /// roll-out has ended.
    pub answers: u64,
    /// Failures among these.
    pub failures: u64,
    /// Responses of former versions during the roll-out.
    pub former_answers: u64,
    /// Failures among these.
    pub former_failures: u64,
    /// How strongly the counts speak against the version, as a natural logarithm; the version is
    /// reverted at 6.91.
    pub against: f64,
}

impl RolloutLine {
    /// Describes a roll-out and its counts.
    pub fn new(service: &str, record: &RolloutRecord, totals: &RolloutTotals) -> Self {
        let (answers, former_answers) = totals.responses();
        let (failures, former_failures) = totals.failures();
        Self {
            service: service.to_owned(),
            revision: record.revision,
            version: record.version.clone(),
            former: record.former.clone(),
            state: record.state.to_string(),
            cause: record.cause.to_string(),
            permille: record.permille,
            started_ms: record.started_ms,
            duration_ms: record.duration_ms,
            answers,
            failures,
            former_answers,
            former_failures,
            against: evaluate_rollout(totals).log_gain,
        }
    }
}
