//! How long the delay of a host makes a request take.

use std::time::Duration;

/// Delay from which on requests show how often they wait for their host. With a shorter one most of the
/// time that was not planned is that of targets.
const MIN_DELAY: Duration = Duration::from_millis(50);

/// Number of waits of a request before any was measured: when it is read, when its connection is open,
/// when the response begins, and once for a stage.
const FIRST_PASSES: f64 = 4.0;

/// Largest number that a request shows. More than that was waited for at others.
const MAX_PASSES: f64 = 20.0;

/// Weight of a new measurement.
const WEIGHT: f64 = 0.1;

/// Learns how often a request waits for its host, and forecasts the time that it spends so.
#[derive(Debug, Clone, Copy)]
pub struct OwnTime {
    passes: f64,
}

impl Default for OwnTime {
    fn default() -> Self {
        Self::new()
    }
}

impl OwnTime {
    /// Creates a forecast that follows from the steps of a usual request.
    pub fn new() -> Self {
        Self {
            passes: FIRST_PASSES,
        }
    }

    /// Records that a request took `time` longer than its targets need while the host was delayed.
    pub fn record(&mut self, time: Duration, delay: Duration) {
        if delay < MIN_DELAY {
            return;
        }
        let passes = time.div_duration_f64(delay).clamp(1.0, MAX_PASSES);
        self.passes += (passes - self.passes) * WEIGHT;
    }

    /// Returns the time that a request will spend waiting for the host.
    pub fn forecast(&self, delay: Duration) -> Duration {
        delay.mul_f64(self.passes)
    }
}

#[cfg(test)]
mod tests;
