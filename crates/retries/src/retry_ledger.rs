//! Decides about each retry of this host.

use std::collections::HashMap;

use linnet_clock::BootInstant;

use crate::service_window::{BUCKETS, ServiceWindow};
use crate::{BudgetRule, SlackShare};

/// A service of a [`RetryLedger`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceKey(usize);

/// A retry that was sent.
#[derive(Debug, Clone, Copy)]
pub struct SpentRetry {
    service: ServiceKey,
    bucket: u64,
}

/// What a decision followed from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetFacts {
    /// Requests of this host in the last window.
    pub requests: u64,
    /// Retries of this host in the last window.
    pub retries: u64,
    /// Retries that were allowed and not sent yet.
    pub reserved: u64,
    /// Retries that were left before the decision.
    pub left: u64,
}

/// Counts the requests and retries of this host for each service.
///
/// A retry is allowed when it is decided, so that a request which gets none ends at once, and counts
/// when it is sent: in between it may wait for a target.
pub struct RetryLedger {
    rule: BudgetRule,
    keys: HashMap<String, ServiceKey>,
    services: Vec<ServiceWindow>,
    started: BootInstant,
}

impl RetryLedger {
    /// Creates a ledger that starts at `now`.
    pub fn new(rule: BudgetRule, now: BootInstant) -> Self {
        Self {
            rule,
            keys: HashMap::new(),
            services: Vec::new(),
            started: now,
        }
    }

    /// Returns the key of a service.
    pub fn service_key(&mut self, service: &str) -> ServiceKey {
        if let Some(key) = self.keys.get(service) {
            return *key;
        }
        let key = ServiceKey(self.services.len());
        self.services.push(ServiceWindow::default());
        self.keys.insert(service.to_owned(), key);
        key
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, service: ServiceKey, now: BootInstant) {
        let bucket = self.bucket(now);
        self.services[service.0].add_request(bucket);
    }

    /// Reserves a retry; returns false if the budget allows none.
    pub fn reserve(&mut self, service: ServiceKey, slack: SlackShare, now: BootInstant) -> bool {
        let left = self.facts(service, slack, now).left;
        let window = &mut self.services[service.0];
        let is_allowed = window.reserved < left;
        if is_allowed {
            window.reserved += 1;
        }
        is_allowed
    }

    /// Gives back a reserved retry that will not be sent.
    pub fn release(&mut self, service: ServiceKey) {
        let window = &mut self.services[service.0];
        window.reserved = window.reserved.saturating_sub(1);
    }

    /// Counts a reserved retry that is sent now. Returns `None`, and the retry stays reserved, if the
    /// budget has shrunk since and does not allow it any more.
    pub fn spend(
        &mut self,
        service: ServiceKey,
        slack: SlackShare,
        now: BootInstant,
    ) -> Option<SpentRetry> {
        if self.facts(service, slack, now).left == 0 {
            return None;
        }
        let bucket = self.bucket(now);
        self.services[service.0].add_retry(bucket);
        self.release(service);
        Some(SpentRetry { service, bucket })
    }

    /// Turns a retry that reached no target into a reserved one again.
    pub fn refund(&mut self, spent: SpentRetry) {
        let window = &mut self.services[spent.service.0];
        window.remove_retry(spent.bucket);
        window.reserved += 1;
    }

    /// Returns what a decision now follows from.
    pub fn facts(&self, service: ServiceKey, slack: SlackShare, now: BootInstant) -> BudgetFacts {
        let bucket = self.bucket(now);
        let window = &self.services[service.0];
        let (requests, retries) = window.counts_since((bucket + 1).saturating_sub(BUCKETS));
        BudgetFacts {
            requests,
            retries,
            reserved: window.reserved,
            left: window.max_retries(&self.rule, slack.retries, bucket),
        }
    }

    /// Returns the number of the bucket of a time. The first one leaves room for the window before it.
    fn bucket(&self, now: BootInstant) -> u64 {
        let bucket_length = self.rule.window.as_secs_f64() / BUCKETS as f64;
        2 * BUCKETS + ((now - self.started).as_secs_f64() / bucket_length) as u64
    }
}
