//! The schedule of the share of requests that a version receives.
//!
//! A fault may appear late, so most of the time is spent at a share that harms few requests. The
//! rest of the allowed exposure is used near the end, at shares that reveal faults under load. All
//! requests move when a sixth of the time is left, so that requests in flight at former targets can
//! finish before these stop.

use std::time::Duration;

use crate::few_responses::fails_more_often;
use crate::{RolloutCause, RolloutRecord, RolloutTotals, RolloutVerdict, evaluate_rollout};

/// Limit on the requests that a version may receive before it is known to be good.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimit {
    /// Share of all requests of the service over the duration of the roll-out.
    pub share: f64,
    /// Additional requests beyond that share.
    pub slack: f64,
}

impl Default for ExposureLimit {
    fn default() -> Self {
        Self {
            share: 0.1,
            slack: 50.0,
        }
    }
}

/// The phases of a roll-out: the fraction of its time at which each begins, and its share as a
/// multiple of the total allowed exposure. The shares integrate to 0.6 of that exposure over time;
/// the rest is a reserve for the delay until a late fault is detected.
const PHASES: [(f64, f64); 3] = [(0.0, 0.35), (0.7, 2.0), (0.78, 4.0)];

/// Fraction of the time at which all requests move.
const FULL_SHARE_FROM: f64 = 0.83;

/// Fractions of the time from which a roll-out may complete, and at which it is completed or
/// reverted regardless of requests in flight.
const COMPLETE_FROM: f64 = 0.88;
const COMPLETE_AT: f64 = 0.95;

/// Fraction of the time from which the request rate is known well enough to include the slack.
const SLACK_FROM: f64 = 0.1;

/// Maximum factor by which the slack raises the allowed exposure.
const MAX_SLACK_FACTOR: f64 = 3.0;

/// Minimum factor by which a share is raised; smaller increases are skipped.
const MIN_SHARE_INCREASE: f64 = 1.25;

/// Logarithm of the mean gain of the tests at which a version is reverted: one good version in
/// 1,000 reaches it.
const REVERT_THRESHOLD: f64 = 6.91;

/// Logarithm of the mean gain from which the share is not raised further.
const HOLD_THRESHOLD: f64 = 3.0;

/// Minimum number of responses of the version that count as evidence for it.
const MIN_RESPONSES: u64 = 30;

/// Minimum ratio of the version's slots to those of former targets before it receives all requests.
const MIN_SLOT_RATIO: f64 = 0.5;

/// All requests, in thousandths.
const FULL_PERMILLE: u16 = 1_000;

/// The inputs to the decision on the next step.
#[derive(Debug, Clone, Copy)]
pub struct RolloutProgress<'a> {
    /// The roll-out.
    pub record: &'a RolloutRecord,
    /// Time since the order.
    pub elapsed: Duration,
    /// Slots of available targets, of the version and of others.
    pub slots: (u32, u32),
    /// The total counts.
    pub totals: &'a RolloutTotals,
    /// The limit on exposed requests.
    pub exposure_limit: ExposureLimit,
}

/// The next step of a roll-out.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutStep {
    /// Change nothing for now.
    NoChange,
    /// Set the share of the version, in thousandths.
    SetShare(u16, RolloutCause),
    /// End the roll-out with all requests at the version.
    Complete(RolloutCause),
    /// End the roll-out with no requests at the version.
    Revert(RolloutCause),
}

/// Decides the next step of a roll-out in progress.
pub fn next_step(progress: &RolloutProgress<'_>) -> RolloutStep {
    let verdict = evaluate_rollout(progress.totals);
    if verdict.log_gain >= REVERT_THRESHOLD {
        return RolloutStep::Revert(verdict.cause);
    }
    let time = progress.elapsed.as_millis() as f64 / progress.record.duration_ms.max(1) as f64;
    let is_doubtful = verdict.log_gain >= HOLD_THRESHOLD;
    if time >= COMPLETE_AT {
        return final_step(progress, &verdict, is_doubtful);
    }
    let (tested, _) = progress.slots;
    if tested == 0 {
        return RolloutStep::NoChange;
    }
    if progress.record.permille == FULL_PERMILLE {
        let may_complete = time >= COMPLETE_FROM
            && progress.totals.former_in_flight == 0
            && progress.totals.lagging_hosts == 0;
        let may_complete = may_complete && !is_doubtful && !fails_more_often(progress.totals);
        return match may_complete {
            true => RolloutStep::Complete(supporting_cause(progress.totals)),
            false => RolloutStep::NoChange,
        };
    }
    let target = target_permille(progress, time);
    let is_increase = f64::from(target) > f64::from(progress.record.permille) * MIN_SHARE_INCREASE;
    if is_doubtful || !(is_increase || target == FULL_PERMILLE) {
        return RolloutStep::NoChange;
    }
    RolloutStep::SetShare(target, supporting_cause(progress.totals))
}

/// Ends a roll-out whose time is nearly used up.
fn final_step(
    progress: &RolloutProgress<'_>,
    verdict: &RolloutVerdict,
    is_doubtful: bool,
) -> RolloutStep {
    if is_doubtful || fails_more_often(progress.totals) {
        return RolloutStep::Revert(verdict.cause.clone());
    }
    match has_enough_slots(progress) && progress.record.permille == FULL_PERMILLE {
        true => RolloutStep::Complete(supporting_cause(progress.totals)),
        false => RolloutStep::Revert(RolloutCause::NoTargets),
    }
}

/// Returns whether enough targets of the version are up to serve all requests.
fn has_enough_slots(progress: &RolloutProgress<'_>) -> bool {
    let (tested, former) = progress.slots;
    tested > 0 && f64::from(tested) >= f64::from(former) * MIN_SLOT_RATIO
}

fn target_permille(progress: &RolloutProgress<'_>, time: f64) -> u16 {
    let has_enough_slots = has_enough_slots(progress);
    if time >= FULL_SHARE_FROM && has_enough_slots {
        return FULL_PERMILLE;
    }
    let exposure = allowed_exposure(progress, time);
    let phase = PHASES.iter().rev().find(|(from, _)| time >= *from);
    let (_, exposure_factor) = phase.filter(|_| has_enough_slots).unwrap_or(&PHASES[0]);
    let permille = exposure * exposure_factor * f64::from(FULL_PERMILLE);
    // The version always gets some requests, and all of them only in the final phase.
    (permille.round() as u16).clamp(1, FULL_PERMILLE - 1)
}

/// Returns the allowed exposure as a share of all requests. With few requests, the slack dominates
/// it.
fn allowed_exposure(progress: &RolloutProgress<'_>, time: f64) -> f64 {
    let limit = progress.exposure_limit;
    if time < SLACK_FROM {
        return limit.share;
    }
    let (tested, former) = progress.totals.responses();
    let expected = (tested + former) as f64 / time;
    if expected < 1.0 {
        return limit.share;
    }
    (limit.share + limit.slack / expected).min(limit.share * MAX_SLACK_FACTOR)
}

/// Returns the cause of a step in favour of the version.
fn supporting_cause(totals: &RolloutTotals) -> RolloutCause {
    match totals.responses().0 >= MIN_RESPONSES {
        true => RolloutCause::Evidence,
        false => RolloutCause::Time,
    }
}

#[cfg(test)]
mod tests;
