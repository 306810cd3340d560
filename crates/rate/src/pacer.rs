//! When the next request may go to a target by its rate.

use std::time::Duration;

use linnet_clock::BootInstant;

use crate::NamedRate;

/// The longest time between two requests, however low the rate: without any a target could not say that it takes more.
const MOST_INTERVAL: Duration = Duration::from_secs(30);

/// Spaces requests evenly by the rate of their target. It saves nothing up while no request comes.
#[derive(Debug, Clone, Copy)]
pub struct RatePacer {
    rate: NamedRate,
    next: BootInstant,
}

/// Returns the time between two requests.
fn interval(rate: NamedRate) -> Duration {
    let seconds = 1.0 / rate.per_second().max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(seconds.min(MOST_INTERVAL.as_secs_f64()))
}

impl RatePacer {
    /// Creates a pacer whose first request may go after one interval: others may have sent one just now.
    pub fn new(rate: NamedRate, now: BootInstant) -> Self {
        Self {
            rate,
            next: now + interval(rate),
        }
    }

    /// Returns the time until the next request may go.
    pub fn wait(&self, now: BootInstant) -> Duration {
        self.next - now
    }

    /// Lets no request go before a moment.
    pub fn rest(&mut self, until: BootInstant) {
        self.next = self.next.max(until);
    }

    /// Takes the rate that holds now.
    pub fn set_rate(&mut self, rate: NamedRate, now: BootInstant) {
        if self.rate != rate {
            self.rate = rate;
            self.next = self.next.min(now + interval(rate));
        }
    }

    /// Reserves the next request, where it may go within a span; returns when.
    ///
    /// # Errors
    ///
    /// The time until it may go, where that is longer. Nothing is reserved then.
    pub fn reserve(&mut self, now: BootInstant, within: Duration) -> Result<Duration, Duration> {
        let wait = self.wait(now);
        if wait > within {
            return Err(wait);
        }
        self.next = self.next.max(now) + interval(self.rate);
        Ok(wait)
    }

    /// Reserves further requests at once; returns how many, `most` or those of a span at most.
    pub fn reserve_more(&mut self, most: u32, span: Duration) -> u32 {
        let interval = interval(self.rate);
        let of_span = span.as_secs_f64() / interval.as_secs_f64().max(f64::MIN_POSITIVE);
        let count = most.min(of_span as u32);
        self.next = self.next + interval * count;
        count
    }

    /// Says whether nothing was reserved for a span.
    pub fn is_unused(&self, span: Duration, now: BootInstant) -> bool {
        now - self.next > span
    }
}

#[cfg(test)]
mod tests;
