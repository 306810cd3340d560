//! Chooses one of the targets that have room.

use std::time::Instant;

use crate::{TargetId, TargetRule, TargetState};

/// Targets that are looked at for one choice. A pool of today's size is looked at whole; of a larger
/// one a sample, which keeps many hosts from falling on the same target at the same time.
const SAMPLE_SIZE: usize = 24;

/// What standing in another hall costs, as a share of a full target.
const OTHER_HALL_COST: f64 = 0.25;

/// What a prefix that the target holds is worth, as a share of a full target.
const PREFIX_GAIN: f64 = 0.3;

/// A target that may be chosen.
#[derive(Clone, Copy)]
pub struct TargetSample<'a> {
    /// Its key.
    pub id: TargetId,
    /// What is known of it.
    pub state: &'a TargetState,
    /// Whether it is believed to hold the prefix of the request.
    pub holds_prefix: bool,
}

/// Chooses a target, or nothing where `usable` is empty.
pub fn choose_target(
    rule: TargetRule,
    usable: &[TargetSample<'_>],
    hall: &str,
    now: Instant,
) -> Option<TargetId> {
    let chosen = match rule {
        TargetRule::Random => usable.get(fastrand::usize(..usable.len().max(1))),
        TargetRule::LeastInFlight => usable.iter().min_by_key(|sample| sample.state.in_flight),
        TargetRule::Scored => choose_scored(usable, hall, now),
    };
    chosen.map(|sample| sample.id)
}

fn choose_scored<'a, 'b>(
    usable: &'a [TargetSample<'b>],
    hall: &str,
    now: Instant,
) -> Option<&'a TargetSample<'b>> {
    // The sample is spread evenly from a random start. A target that holds the prefix is always
    // looked at.
    let start = fastrand::usize(..usable.len().max(1));
    let step = usable.len().div_ceil(SAMPLE_SIZE).max(1);
    let count = usable.len().min(SAMPLE_SIZE);
    let sampled = (0..count).map(|turn| (start + turn * step) % usable.len());
    let holder = usable.iter().position(|sample| sample.holds_prefix);
    let looked_at = sampled.chain(holder).map(|index| &usable[index]);
    looked_at.min_by(|a, b| score(a, hall, now).total_cmp(&score(b, hall, now)))
}

// The load comes first; hall and prefix only decide between targets of like load, so a stale hit
// never beats a queue.
fn score(sample: &TargetSample<'_>, hall: &str, now: Instant) -> f64 {
    let state = sample.state;
    let away = if state.hall == hall {
        0.0
    } else {
        OTHER_HALL_COST
    };
    let prefix = if sample.holds_prefix {
        PREFIX_GAIN
    } else {
        0.0
    };
    state.load_share(now) + away - prefix
}
