//! Pacing of requests to a target with a rate limit.

use std::time::Duration;

use linnet_clock::BootInstant;

use crate::RateLimit;

/// The longest time between two requests, however low the limit: a target that received none could
/// not advertise a higher limit.
const MAX_INTERVAL: Duration = Duration::from_secs(30);

/// Spaces requests evenly according to a rate limit. Idle time does not accumulate into a burst.
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
    /// Creates a pacer whose first request may be sent after one interval, since another host may
    /// have sent one just now.
    pub fn new(rate: RateLimit, now: BootInstant) -> Self {
        Self {
            rate,
            next_at: now + interval(rate),
        }
    }

    /// Returns the time until the next request may be sent.
    pub fn time_until_next(&self, now: BootInstant) -> Duration {
        self.next_at - now
    }

    /// Delays the next request until the given time at least.
    pub fn delay_until(&mut self, until: BootInstant) {
        self.next_at = self.next_at.max(until);
    }

    /// Changes the rate limit. A higher one takes effect at once.
    pub fn set_rate(&mut self, rate: RateLimit, now: BootInstant) {
        if self.rate != rate {
            self.rate = rate;
            self.next_at = self.next_at.min(now + interval(rate));
        }
    }

    /// Reserves the next request if it may be sent within `max_wait`; returns the time until then.
    ///
    /// # Errors
    ///
    /// The time until the request may be sent, if that is longer than `max_wait`. Nothing is
    /// reserved in that case.
    pub fn reserve(&mut self, now: BootInstant, max_wait: Duration) -> Result<Duration, Duration> {
        let wait = self.time_until_next(now);
        if wait > max_wait {
            return Err(wait);
        }
        self.next_at = self.next_at.max(now) + interval(self.rate);
        Ok(wait)
    }

    /// Reserves further requests at once and returns their number: at most `max_count`, and at most
    /// as many as the limit allows in a time span.
    pub fn reserve_batch(&mut self, max_count: u32, span: Duration) -> u32 {
        let interval = interval(self.rate);
        let per_span = span.as_secs_f64() / interval.as_secs_f64().max(f64::MIN_POSITIVE);
        let count = max_count.min(per_span as u32);
        self.next_at = self.next_at + interval * count;
        count
    }

    /// Returns whether another request could have been sent for longer than a time span, and none
    /// was reserved.
    pub fn is_idle(&self, span: Duration, now: BootInstant) -> bool {
        now - self.next_at > span
    }
}

#[cfg(test)]
mod tests;
