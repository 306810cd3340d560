//! Estimates the duration of a stage from finished attempts.

use std::time::Duration;

/// The weight of a new sample in the moving mean.
const MEAN_WEIGHT: f64 = 0.1;

/// The relative increase of the floor with each sample above it. An exceptionally short sample
/// loses its effect after some thousands of samples.
const FLOOR_GROWTH: f64 = 0.0005;

/// The duration of a stage at a target, without the wait in the queue of this host.
#[derive(Debug, Clone, Copy, Default)]
pub struct StageEstimate {
    mean_s: f64,
    deviation_s: f64,
    floor_s: f64,
    samples: u64,
}

impl StageEstimate {
    /// Records the duration of a finished attempt.
    pub fn record(&mut self, elapsed: Duration) {
        let sample = elapsed.as_secs_f64();
        self.samples += 1;
        if self.floor_s == 0.0 || sample < self.floor_s {
            self.floor_s = sample;
        } else {
            self.floor_s += self.floor_s * FLOOR_GROWTH;
        }
        // The first samples form a plain mean, so that one slow first sample does not dominate.
        let gain = MEAN_WEIGHT.max(1.0 / self.samples as f64);
        let error = sample - self.mean_s;
        self.mean_s += gain * error;
        self.deviation_s += gain * (error.abs() - self.deviation_s);
    }

    /// Returns the recent minimum, which estimates the duration at an unloaded target.
    pub fn floor(&self) -> Duration {
        Duration::from_secs_f64(self.floor_s)
    }

    /// Returns the mean; zero without samples.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s)
    }

    /// Returns the mean plus one deviation, an upper bound for most attempts.
    pub fn typical(&self) -> Duration {
        Duration::from_secs_f64(self.mean_s + self.deviation_s)
    }
}
