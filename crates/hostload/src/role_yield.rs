//! Whether a delayed host yields its roles for pools to other hosts.

use std::time::{Duration, Instant};

/// Delay above which a host holds up others that depend on its roles: half of the time for which they
/// wait for the choice of an engine.
const MAX_ROLE_DELAY: Duration = Duration::from_millis(30);

/// Time for which the delay lasts before the roles are yielded.
const ONSET_TIME: Duration = Duration::from_millis(500);

/// Bounds of the time without delay after which a host takes roles again. It doubles while the delay
/// comes back with the roles, since each move leaves two hosts with work of one pool for a while.
const MIN_RECOVERY_TIME: Duration = Duration::from_secs(5);
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(80);

/// Decides from the delay of a host whether others should have its roles.
#[derive(Debug, Clone)]
pub struct RoleYield {
    is_yielded: bool,
    /// When the delay rose above [`MAX_ROLE_DELAY`], or fell below it.
    changed_at: Option<Instant>,
    was_delayed: bool,
    recovery_time: Duration,
    /// When the host last took its roles again.
    resumed_at: Option<Instant>,
}

impl Default for RoleYield {
    fn default() -> Self {
        Self::new()
    }
}

impl RoleYield {
    /// Creates the state of a host that is not delayed.
    pub fn new() -> Self {
        Self {
            is_yielded: false,
            changed_at: None,
            was_delayed: false,
            recovery_time: MIN_RECOVERY_TIME,
            resumed_at: None,
        }
    }

    /// Returns whether other hosts should have the roles of this one.
    pub fn is_yielded(&self) -> bool {
        self.is_yielded
    }

    /// Follows the present delay; returns whether the decision changed.
    pub fn update(&mut self, delay: Duration, now: Instant) -> bool {
        let is_delayed = delay > MAX_ROLE_DELAY;
        if is_delayed != self.was_delayed || self.changed_at.is_none() {
            self.was_delayed = is_delayed;
            self.changed_at = Some(now);
        }
        let unchanged = self.changed_at.map_or(Duration::ZERO, |at| now - at);
        if is_delayed == self.is_yielded || unchanged < self.settling_time() {
            return false;
        }
        if is_delayed {
            self.recovery_time = self.next_recovery_time(now);
        } else {
            self.resumed_at = Some(now);
        }
        self.is_yielded = is_delayed;
        true
    }

    /// Returns how long a delay, or its absence, lasts before it counts.
    fn settling_time(&self) -> Duration {
        match self.is_yielded {
            true => self.recovery_time,
            false => ONSET_TIME,
        }
    }

    fn next_recovery_time(&self, now: Instant) -> Duration {
        let came_back = |at| now.saturating_duration_since(at) < MAX_RECOVERY_TIME;
        match self.resumed_at.is_some_and(came_back) {
            true => (self.recovery_time * 2).min(MAX_RECOVERY_TIME),
            false => MIN_RECOVERY_TIME,
        }
    }
}

#[cfg(test)]
mod tests;
