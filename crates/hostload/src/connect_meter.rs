//! How much longer connections take to open than they need.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::DelayMeter;

/// Time after which the shortest known times are forgotten, since the way to a target may become
/// longer for good.
const SHORTEST_VALIDITY: Duration = Duration::from_secs(300);

/// Keeps the delay of new connections to targets with keys `K`. Targets answer them without work of
/// their own, so that a delay of all of them is that of the host's own links and processor.
#[derive(Debug, Clone)]
pub struct ConnectMeter<K> {
    delays: DelayMeter,
    /// The shortest times of the current and of the former period.
    shortest: [BTreeMap<K, Duration>; 2],
    period_start: Option<Instant>,
}

impl<K: Copy + Ord> Default for ConnectMeter<K> {
    fn default() -> Self {
        Self::new()
    }
}

impl<K: Copy + Ord> ConnectMeter<K> {
    /// Creates a meter without samples.
    pub fn new() -> Self {
        Self {
            delays: DelayMeter::new(),
            shortest: [BTreeMap::new(), BTreeMap::new()],
            period_start: None,
        }
    }

    /// Records how long a connection to a target took to open. The first one to each target only
    /// shows how long its way is.
    pub fn record(&mut self, target: K, took: Duration, now: Instant) {
        let is_over = |start| now.saturating_duration_since(start) > SHORTEST_VALIDITY;
        if self.period_start.is_none_or(is_over) {
            self.shortest.swap(0, 1);
            self.shortest[0].clear();
            self.period_start = Some(now);
        }
        let known = self.shortest.iter().filter_map(|times| times.get(&target));
        if let Some(known) = known.min().copied() {
            let delay = took.saturating_sub(known);
            self.delays.record(delay, now);
        }
        let shortest = self.shortest[0].entry(target).or_insert(took);
        *shortest = took.min(*shortest);
    }

    /// Returns the delay that lasts; zero without enough recent samples.
    pub fn standing_delay(&self, now: Instant) -> Duration {
        self.delays.standing_delay(now)
    }
}

#[cfg(test)]
mod tests;
