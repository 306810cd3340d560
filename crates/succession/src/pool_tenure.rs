//! Decides when a host returns the queue of a pool.

use std::time::{Duration, Instant};

/// How long a better coordinator has to be reachable without interruption before a queue is returned.
/// With a shorter time a flapping connection would move the queue to and fro.
const MIN_BETTER_TIME: Duration = Duration::from_millis(300);

/// What a coordinator does with the batches of which no piece has been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TenureDecision {
    /// Runs them.
    Keep,
    /// Returns them to the hosts that submitted them.
    Return,
}

/// How long a better coordinator has been reachable.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolTenure {
    better_since: Option<Instant>,
}

impl PoolTenure {
    /// Creates the state of a pool for which no better coordinator is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records whether the connection to any better coordinator is up, and decides. It does not matter
    /// which of them is up: another one in the same state does not restart the time.
    pub fn update(&mut self, better_is_up: bool, now: Instant) -> TenureDecision {
        self.better_since = better_is_up.then(|| self.better_since.unwrap_or(now));
        let is_stable = self
            .better_since
            .is_some_and(|since| now.saturating_duration_since(since) >= MIN_BETTER_TIME);
        match is_stable {
            true => TenureDecision::Return,
            false => TenureDecision::Keep,
        }
    }
}
