//! Measures the share of requests that were refused recently.

use std::time::{Duration, Instant};

/// Long enough to average over bursts of arrivals, short enough to follow a queue of a few seconds.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// The share of requests that were refused recently.
#[derive(Debug, Default)]
pub struct RefusalMeter {
    /// Time of the last sample.
    updated_at: Option<Instant>,
    /// Number of samples, each with its weight at `updated_at`.
    samples: f64,
    /// Number of refusals among them.
    refusals: f64,
}

impl RefusalMeter {
    /// Creates a meter without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records one decision. A time before that of the last sample counts as that time.
    pub fn record(&mut self, refused: bool, now: Instant) {
        let weight = self.remaining_weight(now);
        self.samples = self.samples * weight + 1.0;
        self.refusals = self.refusals * weight + f64::from(u8::from(refused));
        self.updated_at = self.updated_at.max(Some(now));
    }

    /// Returns the share of refused requests, from 0 to 1. It fades to 0 without samples.
    pub fn share(&self, now: Instant) -> f64 {
        if self.samples > 0.0 {
            self.refusals / self.samples * self.remaining_weight(now)
        } else {
            0.0
        }
    }

    /// Returns what remains of a weight of 1 at the last sample.
    fn remaining_weight(&self, now: Instant) -> f64 {
        self.updated_at.map_or(0.0, |updated_at| {
            let idle = now.saturating_duration_since(updated_at);
            (-idle.div_duration_f64(TIME_CONSTANT)).exp()
        })
    }
}
