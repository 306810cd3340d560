//! What a stage takes, learned from finished attempts.

use std::time::Duration;

/// Share of a new sample in the mean.
const MEAN_GAIN: f64 = 0.1;

/// The share of the floor that it rises by with each sample above it. It forgets a lucky minimum
/// after some thousands of samples.
const FLOOR_RISE: f64 = 0.0005;

/// The time that a stage takes at a target, without waiting in our queue.
#[derive(Debug, Clone, Copy, Default)]
pub struct StageEstimate {
    mean_s: f64,
    deviation_s: f64,
    floor_s: f64,
    samples: u64,
}

impl StageEstimate {
    /// Takes the time of a finished attempt.
    pub fn take(&mut self, elapsed: Duration) {
        let sample = elapsed.as_secs_f64();
        self.samples += 1;
        if self.floor_s == 0.0 || sample < self.floor_s {
            self.floor_s = sample;
        } else {
            self.floor_s += self.floor_s * FLOOR_RISE;
        }
        // The first samples count as a plain mean, so that one slow start does not stay for long.
        let gain = MEAN_GAIN.max(1.0 / self.samples as f64);
        let error = sample - self.mean_s;
        self.mean_s += gain * error;
        self.deviation_s += gain * (error.abs() - self.deviation_s);
    }

    /// Returns the least time of late: what the stage takes at a target without load.
    pub fn floor(&self) -> Duration {
        Duration::from_secs_f64(self.floor_s)
    }

    /// Returns the mean; zero while nothing is known.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns the mean and one deviation: what most attempts stay within.
    pub fn usual(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + self.deviation_s)
    }
}
