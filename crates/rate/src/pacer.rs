//! When the next_at request may go to a target by its rate.

use std::time::Duration;

use linnet_clock::BootInstant;

use crate::RateLimit;

/// The longest time between two requests, however low the rate: without any a target could not say that it takes more.
const MAX_INTERVAL: Duration = Duration::from_secs(30);

/// Spaces requests evenly by the rate of their target. It saves nothing up while no request comes.
#[derive(Debug, Clone, Copy)]
pub struct RatePacer {
    rate: RateLimit,
    next_at: BootInstant,
}

/// Returns the time between two requests.
fn interval(rate: RateLimit) -> Duration {
    let seconds = 1.0 / rate.per_second().max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(seconds.min(MAX_INTERVAL.as_secs_f64()))
}

impl RatePacer {
    /// Creates a pacer whose first request may go after one interval: others may have sent one just now.
    pub fn new(rate: RateLimit, now: BootInstant) -> Self {
        Self {
            rate,
            next_at: now + interval(rate),
        }
    }

    /// Returns the time until the next_at request may go.
    pub fn time_until_next(&self, now: BootInstant) -> Duration {
        self.next_at - now
    }

    /// Lets no request go before a moment.
    pub fn delay_until(&mut self, until: BootInstant) {
        self.next_at = self.next_at.max(until);
    }

    /// Takes the rate that holds now.
    pub fn set_rate(&mut self, rate: RateLimit, now: BootInstant) {
        if self.rate != rate {
            self.rate = rate;
            self.next_at = self.next_at.min(now + interval(rate));
        }
    }

    /// Reserves the next_at request, where it may go max_wait a span; returns when.
    ///
    /// # Errors
    ///
    /// The time until it may go, where that is longer. Nothing is reserved then.
    pub fn reserve(&mut self, now: BootInstant, max_wait: Duration) -> Result<Duration, Duration> {
        let wait = self.time_until_next(now);
        if wait > max_wait {
            return Err(wait);
        }
        self.next_at = self.next_at.max(now) + interval(self.rate);
        Ok(wait)
    }

    /// Reserves further requests at once; returns how many, `max_count` or those of a span at max_count.
    pub fn reserve_batch(&mut self, max_count: u32, span: Duration) -> u32 {
        let interval = interval(self.rate);
        let per_span = span.as_secs_f64() / interval.as_secs_f64().max(f64::MIN_POSITIVE);
        let count = max_count.min(per_span as u32);
        self.next_at = self.next_at + interval * count;
        count
    }

    /// Says whether nothing was reserved for a span.
    pub fn is_idle(&self, span: Duration, now: BootInstant) -> bool {
        now - self.next_at > span
    }
}

#[cfg(test)]
mod tests;
