//! Adaptive limit of the requests of this host in flight at one target.

use std::time::{Duration, Instant};

/// The window of a new target.
const INITIAL_WINDOW: f64 = 8.0;

/// The bounds of the window.
const MIN_WINDOW: f64 = 1.0;
const MAX_WINDOW: f64 = 256.0;

/// An attempt that takes longer than the floor times this ratio indicates a loaded target.
const SLOW_RATIO: f64 = 2.0;

/// A constant added to the threshold, so that variations of very short attempts do not count as
/// load.
const SLOW_MARGIN: Duration = Duration::from_millis(5);

/// The factors applied to the window after a slow response and after a refusal by the target.
const SLOW_FACTOR: f64 = 0.97;
const BUSY_FACTOR: f64 = 0.7;

/// How long the limit of a new or returned target takes to ramp up to its full window.
const SLOW_START_DURATION: Duration = Duration::from_secs(5);

/// A window that adapts to the duration of attempts.
#[derive(Debug, Clone)]
pub struct TargetWindow {
    size: f64,
    started: Instant,
}

impl TargetWindow {
    /// Creates a window with a slow start from `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            size: INITIAL_WINDOW,
            started: now,
        }
    }

    /// Returns the limit of requests in flight.
    pub fn limit(&self, now: Instant) -> u32 {
        let age = now.saturating_duration_since(self.started);
        let ramp = (age.as_secs_f64() / SLOW_START_DURATION.as_secs_f64()).clamp(0.25, 1.0);
        (self.size * ramp).max(MIN_WINDOW) as u32
    }

    /// Restarts the slow start, as after an ejection.
    pub fn restart(&mut self, now: Instant) {
        self.started = now;
        self.size = self.size.min(INITIAL_WINDOW);
    }

    /// Records the duration of a finished attempt, with `in_flight` other requests still in flight.
    /// `floor` is the duration of the same stage and route at an unloaded target, so that a long
    /// request does not look like a loaded target.
    pub fn record_finish(&mut self, elapsed: Duration, floor: Duration, in_flight: u32) {
        let slow_threshold = floor.mul_f64(SLOW_RATIO) + SLOW_MARGIN;
        let window_was_used = f64::from(in_flight) + 1.0 >= self.size * 0.8;
        if elapsed > slow_threshold {
            self.scale(SLOW_FACTOR);
        } else if window_was_used {
            self.size = (self.size + 1.0 / self.size).min(MAX_WINDOW);
        }
    }

    /// Records a refusal by the target.
    pub fn record_busy(&mut self) {
        self.scale(BUSY_FACTOR);
    }

    fn scale(&mut self, factor: f64) {
        self.size = (self.size * factor).max(MIN_WINDOW);
    }
}
