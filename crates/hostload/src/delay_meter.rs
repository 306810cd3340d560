//! The delay that a host adds to whatever it does.

use std::time::{Duration, Instant};

/// Samples of which the lowest counts. A host that was suspended, or that has used up its share of
/// the processor for the rest of a scheduling period, is late once and in time again.
const SAMPLES: usize = 4;

/// Time for which the lowest sample stands for all: four connections that are opened in one moment
/// tell of that moment only.
const SLOT: Duration = Duration::from_millis(25);

/// Age of the newest sample from which on a delay is unknown.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Keeps the delay that lasts: the lowest of the latest samples.
#[derive(Debug, Clone, Default)]
pub struct DelayMeter {
    samples: [Duration; SAMPLES],
    /// Number of samples since the newest was too old.
    count: usize,
    newest: Option<Instant>,
    /// When the slot of the newest sample began.
    slot_start: Option<Instant>,
}

impl DelayMeter {
    /// Creates a meter without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a sample.
    pub fn record(&mut self, delay: Duration, now: Instant) {
        if self.is_outdated(now) {
            self.count = 0;
        }
        self.newest = Some(now);
        let is_slot = |start| now.saturating_duration_since(start) < SLOT;
        if self.count > 0 && self.slot_start.is_some_and(is_slot) {
            let sample = &mut self.samples[(self.count - 1) % SAMPLES];
            *sample = delay.min(*sample);
            return;
        }
        self.samples[self.count % SAMPLES] = delay;
        self.count += 1;
        self.slot_start = Some(now);
    }

    /// Returns the delay that lasts; zero without enough recent samples.
    pub fn standing_delay(&self, now: Instant) -> Duration {
        if self.count < SAMPLES || self.is_outdated(now) {
            return Duration::ZERO;
        }
        self.samples.iter().min().copied().unwrap_or_default()
    }

    fn is_outdated(&self, now: Instant) -> bool {
        let newest = self.newest;
        newest.is_none_or(|newest| now.saturating_duration_since(newest) > MAX_AGE)
    }
}

#[cfg(test)]
mod tests;
