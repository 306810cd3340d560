//! When a version gets which share of the requests.
//!
//! A version may turn bad late, so most of the time passes with a share that harms few. What the rule on exposure
//! leaves is spent near the end, on shares that show what comes of load. All requests move when a sixth of the time
//! is left, so that those under way at former targets may end before these stop.

use std::time::Duration;

use crate::{RolloutCause, RolloutRecord, RolloutTotals, RolloutVerdict, evaluate_rollout};

/// How many requests a version may get before it is known to be good.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimit {
    /// As a part of all requests of the service until the roll-out has to have ended.
    pub share: f64,
    /// Requests beyond that.
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

/// The phases of a roll-out: the part of its time at which each begins, and the share that it gives, as a multiple of
/// the share that may be exposed in all. Their sum over time is 0.6 of that.
/// The rest is for what passes until a fault that shows late is found.
const PHASES: [(f64, f64); 3] = [(0.0, 0.35), (0.7, 2.0), (0.78, 4.0)];

/// The part of the time at which all requests move.
const FULL_SHARE_FROM: f64 = 0.83;

/// The part of the time from which a roll-out may complete, and the one at which it does whatever is under way.
const COMPLETE_FROM: f64 = 0.88;
const COMPLETE_AT: f64 = 0.95;

/// The part of the time from which the rate of requests is known well enough to count the slack in.
const SLACK_FROM: f64 = 0.1;

/// The most by which the slack raises the share that may be exposed, as a factor.
const MAX_SLACK_FACTOR: f64 = 3.0;

/// A share is changed by more than this factor, or not at all.
const MIN_SHARE_INCREASE: f64 = 1.25;

/// The win of the tests against a version at which it is given up: one good version in 1,000 reaches it.
const REVERT_THRESHOLD: f64 = 6.91;

/// The win at which its share is not raised any more.
const HOLD_THRESHOLD: f64 = 3.0;

/// Answers of the version that are enough to speak for it.
const MIN_RESPONSES: u64 = 30;

/// The least part of the former targets' slots that the version has to have before it gets all requests.
const MIN_SLOT_RATIO: f64 = 0.5;

/// All requests, in thousandths.
const FULL_PERMILLE: u16 = 1_000;

/// What a step is decided by.
#[derive(Debug, Clone, Copy)]
pub struct RolloutProgress<'a> {
    /// The roll-out.
    pub record: &'a RolloutRecord,
    /// Time since its order.
    pub elapsed: Duration,
    /// Slots of targets that are up, of the version and of others.
    pub slots: (u32, u32),
    /// What was counted.
    pub sums: &'a RolloutTotals,
    /// What may be exposed.
    pub rule: ExposureLimit,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutStep {
    /// Nothing now.
    NoChange,
    /// Give the version this share, in thousandths.
    SetShare(u16, RolloutCause),
    /// End the roll-out with all requests at the version.
    Complete(RolloutCause),
    /// End it with none.
    Revert(RolloutCause),
}

/// Decides the next step of a roll-out that is under way.
pub fn next_step(facts: &RolloutProgress<'_>) -> RolloutStep {
    let verdict = evaluate_rollout(facts.sums);
    if verdict.against >= REVERT_THRESHOLD {
        return RolloutStep::Revert(verdict.cause);
    }
    let time = facts.elapsed.as_millis() as f64 / facts.record.duration_ms.max(1) as f64;
    let is_doubtful = verdict.against >= HOLD_THRESHOLD;
    if time >= COMPLETE_AT {
        return final_step(facts, &verdict, is_doubtful);
    }
    let (tested, _) = facts.slots;
    if tested == 0 {
        return RolloutStep::NoChange;
    }
    if facts.record.permille == FULL_PERMILLE {
        let ends = time >= COMPLETE_FROM
            && facts.sums.former_in_flight == 0
            && facts.sums.lagging_hosts == 0;
        return match ends && !is_doubtful {
            true => RolloutStep::Complete(favorable_cause(facts.sums)),
            false => RolloutStep::NoChange,
        };
    }
    let planned = target_permille(facts, time);
    let raises = f64::from(planned) > f64::from(facts.record.permille) * MIN_SHARE_INCREASE;
    if is_doubtful || !(raises || planned == FULL_PERMILLE) {
        return RolloutStep::NoChange;
    }
    RolloutStep::SetShare(planned, favorable_cause(facts.sums))
}

/// Ends a roll-out at the end of its time.
fn final_step(
    facts: &RolloutProgress<'_>,
    verdict: &RolloutVerdict,
    is_doubtful: bool,
) -> RolloutStep {
    if is_doubtful {
        return RolloutStep::Revert(verdict.cause.clone());
    }
    match has_enough_slots(facts) && facts.record.permille == FULL_PERMILLE {
        true => RolloutStep::Complete(favorable_cause(facts.sums)),
        false => RolloutStep::Revert(RolloutCause::NoTargets),
    }
}

/// Says whether so many targets of the version are up that it can take all requests.
fn has_enough_slots(facts: &RolloutProgress<'_>) -> bool {
    let (tested, former) = facts.slots;
    tested > 0 && f64::from(tested) >= f64::from(former) * MIN_SLOT_RATIO
}

fn target_permille(facts: &RolloutProgress<'_>, time: f64) -> u16 {
    let has_enough_slots = has_enough_slots(facts);
    if time >= FULL_SHARE_FROM && has_enough_slots {
        return FULL_PERMILLE;
    }
    let exposed = allowed_exposure(facts, time);
    let begun = PHASES.iter().rev().find(|(from, _)| time >= *from);
    let (_, multiple) = begun.filter(|_| has_enough_slots).unwrap_or(&PHASES[0]);
    let permille = exposed * multiple * f64::from(FULL_PERMILLE);
    // At least something, and all only in its own time.
    (permille.round() as u16).clamp(1, FULL_PERMILLE - 1)
}

/// Returns the part of the requests that may be exposed in all: with few requests the slack is much of it.
fn allowed_exposure(facts: &RolloutProgress<'_>, time: f64) -> f64 {
    let rule = facts.rule;
    if time < SLACK_FROM {
        return rule.share;
    }
    let (tested, former) = facts.sums.responses();
    let expected = (tested + former) as f64 / time;
    if expected < 1.0 {
        return rule.share;
    }
    (rule.share + rule.slack / expected).min(rule.share * MAX_SLACK_FACTOR)
}

/// Says what a step in favour of the version rests on.
fn favorable_cause(sums: &RolloutTotals) -> RolloutCause {
    match sums.responses().0 >= MIN_RESPONSES {
        true => RolloutCause::Evidence,
        false => RolloutCause::Time,
    }
}

#[cfg(test)]
mod tests;
