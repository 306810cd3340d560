//! Derives how long ago a caller first sent a request from the deadline that it states.
//!
//! Callers of one route need not state one deadline: the deadlines of first attempts are learned as
//! a mean and a deviation while little is refused, since few callers return then. A deadline well
//! below them belongs to a later attempt.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Limits the memory of an entry host, whatever names callers send.
const DEFAULT_CAPACITY: usize = 4_096;

/// Weight of a new deadline.
const DEADLINE_GAIN: f64 = 0.05;

/// Number of first attempts before others are compared with them.
const MIN_SAMPLES: u32 = 8;

/// First attempts are at most this many mean absolute deviations below the mean: evenly distributed
/// deadlines reach 2 of them.
const MAX_DEVIATIONS: f64 = 2.5;

/// Differences below this, in milliseconds, are transit time and rounding, not an earlier attempt.
const MIN_AGE_MS: f64 = 50.0;

/// No caller waits longer than a day.
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// Identifies the callers whose first attempts are expected to state similar deadlines: a digest of
/// route and account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PatienceKey(pub u64);

impl PatienceKey {
    /// Creates the key of a route and an account. Keys are comparable within one process only.
    pub fn new(route: &str, account: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        (route, account).hash(&mut hasher);
        Self(hasher.finish())
    }

    /// Creates the key of all callers of a route.
    pub fn of_route(route: &str) -> Self {
        Self::new(route, "")
    }
}

/// The deadline that a caller stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedDeadline {
    /// The route and the account of the request.
    pub account: PatienceKey,
    /// The route alone, for an account with few requests.
    pub route: PatienceKey,
    /// The deadline.
    pub deadline: Duration,
    /// Whether little is refused, so that this is probably a first attempt.
    pub is_calm: bool,
}

/// The deadlines of first attempts of one key, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct FirstDeadlines {
    samples: u32,
    mean_ms: f64,
    deviation_ms: f64,
    last_use: u64,
}

impl FirstDeadlines {
    fn add(&mut self, deadline_ms: f64) {
        self.samples = self.samples.saturating_add(1);
        // The first deadlines count alike, so that the mean does not depend on their order.
        let gain = DEADLINE_GAIN.max(1.0 / f64::from(self.samples));
        let before_ms = deadline_ms - self.mean_ms;
        self.mean_ms += before_ms * gain;
        if self.samples < 2 {
            return; // A single deadline has no deviation.
        }
        // The difference to the mean before is too large, the one to the mean after too small while
        // samples are few; their geometric mean is neither.
        let deviation_ms = (before_ms * (deadline_ms - self.mean_ms)).max(0.0).sqrt();
        let gain = DEADLINE_GAIN.max(1.0 / f64::from(self.samples - 1));
        self.deviation_ms += (deviation_ms - self.deviation_ms) * gain;
    }

    /// Returns by how much a first attempt may be below the mean.
    fn tolerance_ms(&self) -> f64 {
        (self.deviation_ms * MAX_DEVIATIONS).max(MIN_AGE_MS)
    }

    /// Returns how long ago the caller first tried; 0 for a first attempt.
    fn age_ms(&self, deadline_ms: f64) -> f64 {
        let age_ms = self.mean_ms - deadline_ms;
        if age_ms < self.tolerance_ms() {
            return 0.0;
        }
        age_ms
    }
}

/// The deadlines that callers state at their first attempts.
#[derive(Debug)]
pub struct PatienceTracker {
    capacity: usize,
    records: HashMap<PatienceKey, FirstDeadlines>,
    /// Keys by the number of their last use.
    use_order: BTreeMap<u64, PatienceKey>,
    last_use: u64,
}

impl Default for PatienceTracker {
    fn default() -> Self {
        Self {
            capacity: DEFAULT_CAPACITY,
            records: HashMap::new(),
            use_order: BTreeMap::new(),
            last_use: 0,
        }
    }
}

impl PatienceTracker {
    /// Creates a tracker without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the maximum number of keys.
    pub fn with_capacity(self, capacity: usize) -> Self {
        Self { capacity, ..self }
    }

    /// Returns how long ago a caller first tried; zero for a first attempt, and while too few first
    /// attempts are known. Records the deadline of a first attempt. A deadline of zero or of more
    /// than a day is ignored.
    pub fn age_of(&mut self, stated: &StatedDeadline) -> Duration {
        if stated.deadline.is_zero() || stated.deadline > MAX_DEADLINE {
            return Duration::ZERO;
        }
        let deadline_ms = stated.deadline.as_secs_f64() * 1_000.0;
        let known = self.known_deadlines(stated);
        let age_ms = known.map_or(0.0, |known| known.age_ms(deadline_ms));
        if stated.is_calm {
            self.record(stated.account, deadline_ms);
            // A request without an account has the key of its route: one sample, not two.
            if stated.route != stated.account {
                self.record(stated.route, deadline_ms);
            }
            self.evict();
        }
        Duration::from_secs_f64(age_ms / 1_000.0)
    }

    /// Returns the shortest time between a first attempt and a return that is recognized as one,
    /// for most callers; zero while too few first attempts are known.
    pub fn distinct_after(&self, stated: &StatedDeadline) -> Duration {
        let known = self.known_deadlines(stated);
        // The deadline of the first attempt may be above the mean by as much as below it.
        let longest_ms = known.map_or(0.0, |known| 2.0 * known.tolerance_ms());
        Duration::from_secs_f64(longest_ms / 1_000.0)
    }

    /// Returns the first attempts of the account, or of all accounts of the route if those of the
    /// account are too few.
    fn known_deadlines(&self, stated: &StatedDeadline) -> Option<&FirstDeadlines> {
        let keys = [stated.account, stated.route];
        let mut known = keys.iter().filter_map(|key| self.records.get(key));
        known.find(|known| known.samples >= MIN_SAMPLES)
    }

    fn record(&mut self, key: PatienceKey, deadline_ms: f64) {
        self.last_use += 1;
        let known = self.records.entry(key).or_default();
        self.use_order.remove(&known.last_use);
        self.use_order.insert(self.last_use, key);
        known.last_use = self.last_use;
        known.add(deadline_ms);
    }

    /// Drops the least recently used keys beyond the capacity.
    fn evict(&mut self) {
        while self.records.len() > self.capacity {
            let Some((_, key)) = self.use_order.pop_first() else {
                return;
            };
            self.records.remove(&key);
        }
    }
}
