//! How much slower a target of a plain service is than its requests want, as one host learns it.
//!
//! It answers a load in which one of a few targets turns slow: a host has one request or none there at any
//! moment, so what it has in flight tells it nothing, and the target of its own hall got nearly all of its
//! requests however long they took.

use std::time::{Duration, Instant};

/// Weight of a new time. One slow request is enough to try another target next: a host sends one or two a
/// second to a service.
const SMOOTHING_FACTOR: f64 = 0.5;

/// The most that one time says, as a multiple of the objective.
const MAX_RATIO: f64 = 8.0;

/// How long it takes until most of what was recorded_at is forgotten, so that the target is tried again.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// What a target counts that takes twice its objective, in parts of its slots: more than one of another
/// hall does.
const LOAD_PER_EXCESS: f64 = 0.5;

/// The time that requests took of late, as a multiple of their objective beyond the first.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TargetSlowness {
    excess: f64,
    recorded_at: Option<Instant>,
}

impl TargetSlowness {
    /// Takes the time of one request, answered or given up.
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

    /// Returns what the target counts for it, in parts of its slots.
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
