//! How long requests take from their last byte to the end of their response, by route.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Length of the windows over which the longest time of a route is kept; the last two count.
const WINDOW: Duration = Duration::from_secs(60);

/// Key of a route in a [`RunTimes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RouteKey(usize);

/// The longest times of one route.
#[derive(Debug, Clone, Copy)]
struct RouteTimes {
    window_began: Instant,
    longest: Duration,
    longest_before: Duration,
}

/// The longest times that requests took lately, by route.
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

    /// Returns the longest time of a route; `None` if no request of it has ended yet.
    pub(crate) fn longest(&self, route: &str) -> Option<Duration> {
        let key = self.keys.get(route)?;
        let times = self.routes[key.0];
        Some(times.longest.max(times.longest_before))
    }
}

impl RouteTimes {
    fn new(took: Duration, now: Instant) -> Self {
        Self {
            window_began: now,
            longest: took,
            longest_before: Duration::ZERO,
        }
    }

    fn record(&mut self, took: Duration, now: Instant) {
        if now.saturating_duration_since(self.window_began) >= WINDOW {
            self.longest_before = std::mem::take(&mut self.longest);
            self.window_began = now;
        }
        self.longest = self.longest.max(took);
    }
}

#[cfg(test)]
mod tests;
