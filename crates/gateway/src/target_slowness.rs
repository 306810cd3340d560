//! How far the response times of a target of a plain service exceed the objective, as observed by
//! one host.
//!
//! This handles one of a few targets becoming slow: a host has at most one request in flight there
//! at any time, so the in-flight count does not show it, and the target in the host's own hall kept
//! receiving nearly all of its requests however long they took.

use std::time::{Duration, Instant};

/// Weight of a new duration. One slow request is enough to try another target next, since a host
/// sends only one or two requests a second to a service.
const SMOOTHING_FACTOR: f64 = 0.5;

/// Upper bound of one observed duration, as a multiple of the objective.
const MAX_RATIO: f64 = 8.0;

/// Time constant of the exponential decay, after which the target is tried again.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// Load of a target that takes twice its objective, as a fraction of its slots: more than a target
/// in another hall counts.
const LOAD_PER_EXCESS: f64 = 0.5;

/// The recent response times, as a multiple of the objective in excess of 1.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TargetSlowness {
    excess: f64,
    recorded_at: Option<Instant>,
}

impl TargetSlowness {
    /// Records the duration of one request, answered or given up.
    pub(crate) fn record(&mut self, took: Duration, objective: Duration, now: Instant) {
        if objective.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / objective.as_secs_f64();
        let excess = ratio.clamp(1.0, MAX_RATIO) - 1.0;
        let known = self.excess_at(now);
        self.excess = known + (excess - known) * SMOOTHING_FACTOR;
        self.recorded_at = Some(now);
    }

    /// Returns the load due to the slowness, as a fraction of the slots.
    pub(crate) fn load(&self, now: Instant) -> f64 {
        self.excess_at(now) * LOAD_PER_EXCESS
    }

    fn excess_at(&self, now: Instant) -> f64 {
        let Some(recorded_at) = self.recorded_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(recorded_at).as_secs_f64();
        self.excess * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}

#[cfg(test)]
mod tests;
