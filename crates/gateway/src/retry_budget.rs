//! The retry budget of this host: decides about retries, and counts and logs them.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;

use linnet_clock::BootInstant;
use linnet_retries::{
    BudgetFacts, BudgetRule, HostRoster, RetryLedger, ServiceKey, SlackShare, SlackState,
    SpentRetry,
};
use linnet_telemetry::{EventCode, EventRecorder};

use crate::metrics::GatewayMetrics;
use crate::rendezvous;
use crate::retry_cause::RetryCause;

/// The retry budget of this host.
pub(crate) struct RetryBudget {
    ledger: RefCell<RetryLedger>,
    roster: RefCell<HostRoster>,
    recorder: Arc<EventRecorder>,
    pub(crate) metrics: GatewayMetrics,
}

/// A retry that the budget allows one request. It is given back when dropped.
pub(crate) struct RetryPermit {
    budget: Rc<RetryBudget>,
    service: String,
    key: ServiceKey,
    request: String,
    cause: RetryCause,
    reserved_at: BootInstant,
    /// Set while the retry is sent.
    spent: Option<SpentRetry>,
}

impl RetryBudget {
    /// Creates the budget of the host `name`.
    pub(crate) fn new(
        name: &str,
        rule: BudgetRule,
        recorder: Arc<EventRecorder>,
        metrics: GatewayMetrics,
    ) -> Self {
        let now = BootInstant::now();
        Self {
            ledger: RefCell::new(RetryLedger::new(rule, now)),
            roster: RefCell::new(HostRoster::new(name, &rule, rendezvous::score, now)),
            recorder,
            metrics,
        }
    }

    /// Applies the list of entry hosts.
    pub(crate) fn set_hosts(&self, hosts: &HashSet<String>) {
        let names = hosts.iter().map(String::as_str);
        let now = BootInstant::now();
        self.roster.borrow_mut().set_listed(names, now);
    }

    /// Records that a control host in contact with the leader was heard.
    pub(crate) fn record_leader_contact(&self) {
        self.roster.borrow_mut().renew_lease(BootInstant::now());
    }

    /// Counts a request for a service.
    pub(crate) fn record_request(&self, service: &str) {
        let mut ledger = self.ledger.borrow_mut();
        let key = ledger.service_key(service);
        ledger.record_request(key, BootInstant::now());
    }

    /// Returns whether a retry of a request for a service could be reserved now.
    pub(crate) fn has_left(&self, service: &str) -> bool {
        let now = BootInstant::now();
        let slack = self.slack_share(service, now);
        let mut ledger = self.ledger.borrow_mut();
        let key = ledger.service_key(service);
        ledger.facts(key, slack, now).left > 0
    }

    /// Reserves a retry of a request; returns `None` if the budget does not allow it.
    pub(crate) fn reserve(
        self: &Rc<Self>,
        request: &str,
        service: &str,
        cause: RetryCause,
    ) -> Option<RetryPermit> {
        let now = BootInstant::now();
        let slack = self.slack_share(service, now);
        let mut ledger = self.ledger.borrow_mut();
        let key = ledger.service_key(service);
        let facts = ledger.facts(key, slack, now);
        let is_reserved = ledger.reserve(key, slack, now);
        drop(ledger);
        if !is_reserved {
            let detail = describe(service, cause, slack, facts);
            self.record_denied(request, cause, &detail);
            return None;
        }
        Some(RetryPermit {
            budget: self.clone(),
            service: service.to_owned(),
            key,
            request: request.to_owned(),
            cause,
            reserved_at: now,
            spent: None,
        })
    }

    /// Returns whether this host has its part of the slack.
    pub(crate) fn is_slack_granted(&self) -> bool {
        let state = self.roster.borrow().state(BootInstant::now());
        state == SlackState::Granted
    }

    fn slack_share(&self, service: &str, now: BootInstant) -> SlackShare {
        self.roster.borrow_mut().slack_share(service, now)
    }

    fn record_denied(&self, request: &str, cause: RetryCause, detail: &str) {
        self.metrics.count_denied_retry(cause);
        let code = EventCode::RetryDenied;
        self.recorder
            .record_request(code, request, "", detail.to_owned());
    }
}

impl RetryPermit {
    /// Returns whether the budget still allows the retry.
    pub(crate) fn is_valid(&self) -> bool {
        let now = BootInstant::now();
        let slack = self.budget.slack_share(&self.service, now);
        let facts = self.budget.ledger.borrow().facts(self.key, slack, now);
        if facts.left == 0 {
            let detail = describe(&self.service, self.cause, slack, facts);
            self.budget
                .record_denied(&self.request, self.cause, &detail);
        }
        facts.left > 0
    }

    /// Counts the retry, which is sent now.
    pub(crate) fn spend(&mut self) {
        let now = BootInstant::now();
        let slack = self.budget.slack_share(&self.service, now);
        let mut ledger = self.budget.ledger.borrow_mut();
        let facts = ledger.facts(self.key, slack, now);
        self.spent = ledger.spend(self.key, slack, now);
        let detail = format!(
            "{} waited_ms={}",
            describe(&self.service, self.cause, slack, facts),
            self.reserved_at.elapsed().as_millis()
        );
        let code = EventCode::RequestRepeated;
        let recorder = &self.budget.recorder;
        recorder.record_request(code, &self.request, "", detail);
        self.budget.metrics.count_retry_sent(self.cause);
    }

    /// Reserves the retry again, since it reached no target.
    pub(crate) fn take_back(&mut self) {
        if let Some(spent) = self.spent.take() {
            self.budget.ledger.borrow_mut().refund(spent);
        }
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if self.spent.is_none() {
            self.budget.ledger.borrow_mut().release(self.key);
        }
    }
}

/// Describes what a decision followed from, for the log.
fn describe(service: &str, cause: RetryCause, slack: SlackShare, facts: BudgetFacts) -> String {
    let SlackShare {
        retries: slack_retries,
        hosts,
        state,
    } = slack;
    let BudgetFacts {
        requests,
        retries,
        reserved,
        left,
    } = facts;
    format!(
        "service={service} cause={cause} left={left} reserved={reserved} requests={requests} retries={retries} slack={slack_retries} hosts={hosts} state={state}"
    )
}
