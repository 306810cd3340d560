//! How long requests take from their last byte to the end of their response, by route.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Length of the windows over which the longest time of a route is kept; the last two count.
const WINDOW: Duration = Duration::from_secs(60);

/// Number of requests of a route from which on their longest time tells how long others may take. The
/// longest of n times is exceeded by one in n + 1.
const MIN_REQUESTS: u32 = 32;

/// How much longer than the longest one a request may take.
const MARGIN: f64 = 1.5;

/// Key of a route in a [`RunTimes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RouteKey(usize);

/// The longest times of one route.
#[derive(Debug, Clone, Copy)]
struct RouteTimes {
    window_began: Instant,
    longest: Duration,
    longest_before: Duration,
    requests: u32,
}

/// How long requests took lately, by route.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    keys: HashMap<String, RouteKey>,
    routes: Vec<RouteTimes>,
}

impl RunTimes {
    /// Records how long a request of a route took.
    pub(crate) fn record(&mut self, route: &str, took: Duration, now: Instant) {
        let Some(key) = self.keys.get(route).copied() else {
            let key = RouteKey(self.routes.len());
            self.keys.insert(route.to_owned(), key);
            self.routes.push(RouteTimes::new(took, now));
            return;
        };
        self.routes[key.0].record(took, now);
    }

    /// Returns how long a request of a route may take; `None` if too few have ended to tell.
    pub(crate) fn max_time(&self, route: &str) -> Option<Duration> {
        let key = self.keys.get(route)?;
        let times = self.routes[key.0];
        let longest = times.longest.max(times.longest_before);
        (times.requests >= MIN_REQUESTS).then(|| longest.mul_f64(MARGIN))
    }
}

impl RouteTimes {
    fn new(took: Duration, now: Instant) -> Self {
        Self {
            window_began: now,
            longest: took,
            longest_before: Duration::ZERO,
            requests: 1,
        }
    }

    fn record(&mut self, took: Duration, now: Instant) {
        if now.saturating_duration_since(self.window_began) >= WINDOW {
            self.longest_before = std::mem::take(&mut self.longest);
            self.window_began = now;
        }
        self.longest = self.longest.max(took);
        self.requests = self.requests.saturating_add(1);
    }
}

#[cfg(test)]
mod tests;
