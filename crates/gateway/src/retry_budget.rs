//! The retry budget, divided among the entry hosts.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Fraction of the budget that is used, so that hosts with different counts stay within it
/// together.
const USABLE_FRACTION: f64 = 0.7;

/// The limits of the budget: over all hosts, each service gets in any window at most `ratio` times
/// its requests plus `slack` retries.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BudgetRule {
    pub(crate) ratio: f64,
    pub(crate) slack: f64,
    pub(crate) window: Duration,
}

#[derive(Default)]
struct ServiceCount {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Counts the requests and retries of each service over the window.
pub(crate) struct RetryBudget {
    rule: BudgetRule,
    services: HashMap<String, ServiceCount>,
}

impl RetryBudget {
    pub(crate) fn new(rule: BudgetRule) -> Self {
        Self {
            rule,
            services: HashMap::new(),
        }
    }

    /// Counts a request for a service.
    pub(crate) fn record_request(&mut self, service: &str, now: Instant) {
        let window = self.rule.window;
        let count = self.services.entry(service.to_owned()).or_default();
        remove_expired(&mut count.requests, now, window);
        count.requests.push_back(now);
    }

    /// Takes one retry out of the budget, as one of `hosts` hosts; returns false if none is left.
    pub(crate) fn try_take_retry(&mut self, service: &str, hosts: usize, now: Instant) -> bool {
        let rule = self.rule;
        let count = self.services.entry(service.to_owned()).or_default();
        remove_expired(&mut count.requests, now, rule.window);
        remove_expired(&mut count.retries, now, rule.window);
        let share = rule.slack / hosts.max(1) as f64;
        let max_retries = (rule.ratio * count.requests.len() as f64 + share) * USABLE_FRACTION;
        if (count.retries.len() + 1) as f64 > max_retries {
            return false;
        }
        count.retries.push_back(now);
        true
    }
}

fn remove_expired(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times
        .front()
        .is_some_and(|time| now.saturating_duration_since(*time) > window)
    {
        times.pop_front();
    }
}

#[cfg(test)]
mod tests;
