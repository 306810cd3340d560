//! Chooses one of the targets that can accept a request.

use std::time::Instant;

use crate::{TargetId, TargetRule, TargetState};

/// The maximum number of targets scored for one choice. Larger pools are sampled, which keeps many
/// hosts from choosing the same target at the same time.
const SAMPLE_SIZE: usize = 24;

/// The score penalty of a target in another data hall, as a fraction of a fully loaded target.
const OTHER_HALL_PENALTY: f64 = 0.25;

/// The score bonus of a target that has cached the prefix of the request, as a fraction of a fully
/// loaded target.
const PREFIX_BONUS: f64 = 0.3;

/// A target that can be chosen.
#[derive(Clone, Copy)]
pub struct TargetCandidate<'a> {
    /// The id of the target.
    pub id: TargetId,
    /// The state of the target.
    pub state: &'a TargetState,
    /// Whether the target is assumed to have cached the prefix of the request.
    pub has_prefix: bool,
}

/// Chooses a target. Returns `None` if `usable` is empty.
pub fn choose_target(
    rule: TargetRule,
    usable: &[TargetCandidate<'_>],
    hall: &str,
    now: Instant,
) -> Option<TargetId> {
    let chosen = match rule {
        TargetRule::Random => usable.get(fastrand::usize(..usable.len().max(1))),
        TargetRule::LeastInFlight => usable
            .iter()
            .min_by_key(|candidate| candidate.state.in_flight),
        TargetRule::Scored => choose_scored(usable, hall, now),
    };
    chosen.map(|candidate| candidate.id)
}

fn choose_scored<'a, 'b>(
    usable: &'a [TargetCandidate<'b>],
    hall: &str,
    now: Instant,
) -> Option<&'a TargetCandidate<'b>> {
    // Samples at even distances from a random start. A target with the prefix is always considered.
    let start = fastrand::usize(..usable.len().max(1));
    let step = usable.len().div_ceil(SAMPLE_SIZE).max(1);
    let count = usable.len().min(SAMPLE_SIZE);
    let sampled = (0..count).map(|sample| (start + sample * step) % usable.len());
    let prefix_holder = usable.iter().position(|candidate| candidate.has_prefix);
    let considered = sampled.chain(prefix_holder).map(|index| &usable[index]);
    considered.min_by(|a, b| score(a, hall, now).total_cmp(&score(b, hall, now)))
}

// Load dominates. Hall and prefix decide only between targets of similar load, so an outdated
// prefix entry does not outweigh a queue. Lower is better.
fn score(candidate: &TargetCandidate<'_>, hall: &str, now: Instant) -> f64 {
    let state = candidate.state;
    let hall_penalty = if state.hall == hall {
        0.0
    } else {
        OTHER_HALL_PENALTY
    };
    let prefix_bonus = if candidate.has_prefix {
        PREFIX_BONUS
    } else {
        0.0
    };
    state.relative_load(now) + hall_penalty - prefix_bonus
}
