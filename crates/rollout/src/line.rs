//! Roll-outs as operators are shown them.

use serde::{Deserialize, Serialize};

use crate::{RolloutRecord, RolloutTotals, evaluate_rollout};

/// Where control hosts show roll-outs to operators.
pub const ROLLOUTS_PATH: &str = "/-/rollout-records";

/// One roll-out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutLine {
    /// The service.
    pub service: String,
    /// Its number among those of the service.
    pub revision: u64,
    /// The version that is rolled out.
    pub version: String,
    /// The versions before it.
    pub former: Vec<String>,
    /// `in_progress`, `completed` or `reverted`.
    pub state: String,
    /// What decided the newest step.
    pub cause: String,
    /// The share of the requests that goes to the version, in thousandths.
    pub permille: u16,
    /// When it was ordered, in Unix milliseconds.
    pub started_ms: u64,
    /// Time that it has, in milliseconds.
    pub duration_ms: u64,
    /// Answers of the version, and failures among them. These and the ones below are 0 once it has ended.
    pub answers: u64,
    /// See above.
    pub failures: u64,
    /// Answers of former versions meanwhile.
    pub former_answers: u64,
    /// Failures among these.
    pub former_failures: u64,
    /// How strongly the counts speak against the version: it is given up at 6.91.
    pub against: f64,
}

impl RolloutLine {
    /// Describes a roll-out, with what was counted for it.
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
            against: evaluate_rollout(totals).against,
        }
    }
}
