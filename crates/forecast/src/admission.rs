//! Decides whether a request is admitted, from the forecast of its path.

use crate::Correction;
use crate::figures::bounded;

/// No request is refused for shorter waits, in milliseconds: a pool without a queue waits for
/// running calls only.
pub const MIN_REFUSED_WAIT_MS: f64 = 80.0;

/// Share of the longest wait of new requests that late ones may have.
pub const LATE_WAIT_SHARE: f64 = 0.5;

/// The time limits of a request, in milliseconds from now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionLimits {
    /// Until its objective is missed; 0 if it is missed already.
    pub objective_left_ms: f64,
    /// The complete objective of its route.
    pub objective_ms: f64,
    /// Until its deadline.
    pub deadline_left_ms: f64,
    /// Whether its caller was refused before and returned.
    pub returned: bool,
}

/// Whether a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionDecision {
    /// Admitted; expected to meet its objective.
    InTime,
    /// Admitted although it will miss its objective, since enough capacity is left.
    Late,
    /// Refused: its stages would end `excess_ms` too late.
    Refused {
        /// The time by which the queues are too long.
        excess_ms: f64,
    },
}

/// Decides whether a request is admitted whose path is forecast to take `path_ms`, of which
/// `waits_ms` are waits.
pub fn decide_admission(
    limits: &AdmissionLimits,
    path_ms: f64,
    waits_ms: f64,
    correction: Correction,
) -> AdmissionDecision {
    let (left_ms, waits_ms) = (bounded(limits.objective_left_ms), bounded(waits_ms));
    let bias_ms = if correction.bias_ms.is_nan() {
        0.0
    } else {
        correction.bias_ms
    };
    let expected_ms = bounded(bounded(path_ms) + bias_ms);
    let missed_ms = expected_ms + bounded(correction.spread_ms) - left_ms;
    if waits_ms < MIN_REFUSED_WAIT_MS {
        return if left_ms > 0.0 {
            AdmissionDecision::InTime
        } else {
            AdmissionDecision::Late
        };
    }
    if missed_ms <= 0.0 {
        return AdmissionDecision::InTime;
    }
    if !limits.returned {
        return AdmissionDecision::Refused {
            excess_ms: missed_ms,
        };
    }
    // The corrected forecast counts, as it does for new requests, which would otherwise be refused
    // while late ones are admitted.
    let unloaded_ms = bounded(bounded(path_ms) - waits_ms);
    let slack_ms = bounded(bounded(limits.objective_ms) - unloaded_ms);
    let queue_ms = expected_ms + bounded(correction.spread_ms) - unloaded_ms;
    let queue_excess_ms = queue_ms - slack_ms * LATE_WAIT_SHARE;
    let deadline_excess_ms = expected_ms - bounded(limits.deadline_left_ms);
    decide_late(queue_excess_ms.max(deadline_excess_ms))
}

fn decide_late(excess_ms: f64) -> AdmissionDecision {
    if excess_ms <= 0.0 {
        return AdmissionDecision::Late;
    }
    AdmissionDecision::Refused { excess_ms }
}

#[cfg(test)]
mod tests;
