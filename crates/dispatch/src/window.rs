//! How many requests of this host may be in flight at one target.

use std::time::{Duration, Instant};

/// The window of a target that nothing is known of.
const FIRST_WINDOW: f64 = 8.0;

/// The least and the greatest window.
const LEAST_WINDOW: f64 = 1.0;
const GREATEST_WINDOW: f64 = 256.0;

/// An attempt that takes longer than so many times the floor says that the target is loaded.
const SLOW_RATIO: f64 = 2.0;

/// What is added to the slow bound, so that tiny times do not count as load.
const SLOW_MARGIN: Duration = Duration::from_millis(5);

/// The factor of a window on a slow answer, and on a refusal by the target.
const SLOW_FACTOR: f64 = 0.97;
const BUSY_FACTOR: f64 = 0.7;

/// How long a new or returned target takes to reach its whole window.
const SLOW_START: Duration = Duration::from_secs(5);

/// A window that follows the time that attempts take.
#[derive(Debug, Clone)]
pub struct TargetWindow {
    size: f64,
    started: Instant,
}

impl TargetWindow {
    /// Creates a window that starts slowly now.
    pub fn new(now: Instant) -> Self {
        Self {
            size: FIRST_WINDOW,
            started: now,
        }
    }

    /// Returns how many requests may be in flight.
    pub fn limit(&self, now: Instant) -> u32 {
        let age = now.saturating_duration_since(self.started);
        let ramp = (age.as_secs_f64() / SLOW_START.as_secs_f64()).clamp(0.25, 1.0);
        (self.size * ramp).max(LEAST_WINDOW) as u32
    }

    /// Starts slowly again, as after an ejection.
    pub fn restart(&mut self, now: Instant) {
        self.started = now;
        self.size = self.size.min(FIRST_WINDOW);
    }

    /// Takes the time of a finished attempt that had `in_flight` requests beside it. `floor` is what
    /// the same stage of the same route takes at a target without load, so that a long request does
    /// not look like a loaded target.
    pub fn take_finish(&mut self, elapsed: Duration, floor: Duration, in_flight: u32) {
        let slow_bound = floor.mul_f64(SLOW_RATIO) + SLOW_MARGIN;
        let window_was_used = f64::from(in_flight) + 1.0 >= self.size * 0.8;
        if elapsed > slow_bound {
            self.scale(SLOW_FACTOR);
        } else if window_was_used {
            self.size = (self.size + 1.0 / self.size).min(GREATEST_WINDOW);
        }
    }

    /// Takes a refusal by the target.
    pub fn take_busy(&mut self) {
        self.scale(BUSY_FACTOR);
    }

    fn scale(&mut self, factor: f64) {
        self.size = (self.size * factor).max(LEAST_WINDOW);
    }
}
