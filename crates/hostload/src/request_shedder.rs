//! Which requests a host refuses while it cannot serve all.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use linnet_shares::{AccountKey, WeightedDemand, fill_factor};

use crate::admitted_rate::{AdmittedRate, RequestLoad};

/// Time constant of the measured demand.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Demand, in requests per second, below which an account is forgotten.
const MIN_DEMAND: f64 = 0.05;

/// Accounts with a demand of their own; the others of a rank are one.
const MAX_ACCOUNTS: usize = 4_096;

/// Part of its proportional share that a rank keeps, however much more urgent ones ask for.
const MIN_RANK_PART: f64 = 0.25;

/// Bounds of the time after which a refused caller should return while few return to this host: others
/// probably serve them, so the time only keeps callers that were refused together apart.
const MIN_WAIT: Duration = Duration::from_millis(50);
const MAX_WAIT: Duration = Duration::from_millis(300);

/// The same for a caller that was refused before: other hosts are overloaded too.
const MAX_REPEATED_WAIT: Duration = Duration::from_secs(1);

/// Longest time after which a caller should return. Most callers have given up by then.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Requests that were refused before, as a part of the admitted rate, above which the times grow.
/// Refusing the same callers again and again takes the work that would serve some of them.
const MAX_RETURNED_PART: f64 = 0.1;

/// Times in which the waiting times double and halve, and by how much they grow in one update.
const DOUBLING_TIME: Duration = Duration::from_millis(500);
const HALVING_TIME: Duration = Duration::from_secs(3);
const MAX_DOUBLINGS: f64 = 2.0;

/// What a host does with a new request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ShedDecision {
    /// The request is processed.
    Admitted,
    /// The request is refused.
    Refused {
        /// The share of the requests of its rank and account that is admitted.
        admitted: f64,
    },
}

/// Decides which requests are refused while a host is overloaded: those of less urgent ranks first,
/// and within a rank those of the accounts that ask for most. The lower of two ranks is the more
/// urgent one.
#[derive(Debug, Clone)]
pub struct RequestShedder<R> {
    rate: AdmittedRate,
    /// Decaying counts of arrivals; divided by [`DEMAND_TIME`] they are rates.
    arrivals: BTreeMap<(R, AccountKey), f64>,
    /// Decaying count of completed requests.
    completed: f64,
    /// Decaying count of arrivals that had been refused before.
    returned: f64,
    /// Factor of the times after which refused callers should return.
    wait_factor: f64,
    decayed_at: Option<Instant>,
    /// Requests per second that an account of a rank may have; empty without overload.
    levels: BTreeMap<R, f64>,
}

impl<R: Copy + Ord> Default for RequestShedder<R> {
    fn default() -> Self {
        Self::new()
    }
}

impl<R: Copy + Ord> RequestShedder<R> {
    /// Creates a shedder that admits all requests.
    pub fn new() -> Self {
        Self {
            rate: AdmittedRate::new(),
            arrivals: BTreeMap::new(),
            completed: 0.0,
            returned: 0.0,
            wait_factor: 1.0,
            decayed_at: None,
            levels: BTreeMap::new(),
        }
    }

    /// Returns the limit of all requests, per second; `None` if all are admitted.
    pub fn limit(&self) -> Option<f64> {
        self.rate.limit()
    }

    /// Returns how many requests per second arrive that were refused before.
    pub fn returned_rate(&self) -> f64 {
        rate_of(self.returned)
    }

    /// Adapts the decisions to the delay that the host adds while `open` requests are in flight.
    pub fn update(&mut self, delay: Duration, open: usize, now: Instant) {
        let arrived: f64 = self.arrivals.values().sum();
        let load = RequestLoad {
            demand: rate_of(arrived),
            completed: rate_of(self.completed),
            open,
        };
        if !self.rate.update(delay, load, now) {
            return;
        }
        let passed = self.decay(now);
        let limit = self.rate.limit();
        self.wait_factor = self.compute_wait_factor(limit, passed);
        self.levels = limit.map_or_else(BTreeMap::new, |limit| self.compute_levels(limit));
    }

    /// Counts a new request and decides what to do with it; `draw` is uniform in 0 to 1.
    pub fn decide(&mut self, rank: R, account: AccountKey, draw: f64) -> ShedDecision {
        let demand = self.count(rank, account);
        let Some(level) = self.levels.get(&rank) else {
            return ShedDecision::Admitted;
        };
        let admitted = level / demand;
        match draw < admitted {
            true => ShedDecision::Admitted,
            false => ShedDecision::Refused { admitted },
        }
    }

    /// Counts a request that was refused before.
    pub fn record_returned(&mut self) {
        self.returned += 1.0;
    }

    /// Returns the time after which a refused caller should return; `draw` is uniform in 0 to 1.
    pub fn return_wait(&self, was_refused: bool, draw: f64) -> Duration {
        let max_wait = match was_refused {
            false => MAX_WAIT,
            true => MAX_REPEATED_WAIT,
        };
        let wait = MIN_WAIT + (max_wait - MIN_WAIT).mul_f64(draw);
        wait.mul_f64(self.wait_factor).min(LONGEST_WAIT)
    }

    fn compute_wait_factor(&self, limit: Option<f64>, passed: Duration) -> f64 {
        let Some(limit) = limit else {
            return 1.0;
        };
        let doublings = match self.returned_rate() > MAX_RETURNED_PART * limit {
            true => passed.div_duration_f64(DOUBLING_TIME).min(MAX_DOUBLINGS),
            false => -passed.div_duration_f64(HALVING_TIME),
        };
        let longest = LONGEST_WAIT.div_duration_f64(MAX_WAIT);
        (self.wait_factor * doublings.exp2()).clamp(1.0, longest)
    }

    /// Counts a request that was served.
    pub fn record_completed(&mut self) {
        self.completed += 1.0;
    }

    /// Counts a request; returns the demand of its account.
    fn count(&mut self, rank: R, account: AccountKey) -> f64 {
        let is_known = self.arrivals.contains_key(&(rank, account));
        let account = match is_known || self.arrivals.len() < MAX_ACCOUNTS {
            true => account,
            false => AccountKey::OTHERS,
        };
        let count = self.arrivals.entry((rank, account)).or_default();
        *count += 1.0;
        rate_of(*count)
    }

    /// Lets the counts decay; returns the time since the last call.
    fn decay(&mut self, now: Instant) -> Duration {
        let last = self.decayed_at.replace(now).unwrap_or(now);
        let passed = now.saturating_duration_since(last);
        let factor = (-passed.div_duration_f64(DEMAND_TIME)).exp();
        self.completed *= factor;
        self.returned *= factor;
        self.arrivals.retain(|_, count| {
            *count *= factor;
            *count >= MIN_DEMAND
        });
        passed
    }

    /// Divides the limit between the ranks, and within each by max-min fairness between accounts.
    fn compute_levels(&self, limit: f64) -> BTreeMap<R, f64> {
        let mut ranks: BTreeMap<R, Vec<WeightedDemand>> = BTreeMap::new();
        for ((rank, _), count) in &self.arrivals {
            ranks.entry(*rank).or_default().push(WeightedDemand {
                demand: rate_of(*count),
                weight: 1.0,
            });
        }
        let total = |demands: &[WeightedDemand]| demands.iter().map(|one| one.demand).sum::<f64>();
        let all: f64 = ranks.values().map(|demands| total(demands)).sum();
        let kept_part = MIN_RANK_PART * (limit / all).min(1.0);
        let mut free = limit - all * kept_part;
        let levels = ranks.iter().map(|(rank, demands)| {
            let demand = total(demands);
            let kept = demand * kept_part;
            let more = free.min(demand - kept);
            free -= more;
            (*rank, fill_factor(demands, kept + more))
        });
        levels.collect()
    }
}

/// Returns the rate, per second, that a decaying count stands for.
fn rate_of(count: f64) -> f64 {
    count / DEMAND_TIME.as_secs_f64()
}

#[cfg(test)]
mod tests;
