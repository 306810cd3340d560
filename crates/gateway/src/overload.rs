//! Overload control of an entry host: admission by forecasts, callers that return, and shares of
//! client accounts. The decisions are those of `linnet_forecast`, `linnet_returns` and
//! `linnet_shares`.

mod account_shares;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_forecast::{Correction, ErrorModel};
use linnet_returns::{
    PatienceKey, PatienceTracker, RefusalMeter, ReturnInputs, StatedDeadline, retry_after,
};

use crate::caller_request::CallerRequest;
use crate::rank::Rank;
use crate::wait_model::PathEstimate;

pub(crate) use account_shares::{AccountShares, account_key, report_account_use};

/// Up to this share of refused requests, those that arrive are taken for first attempts.
const MAX_CALM_REFUSED_SHARE: f64 = 0.005;

/// Bounds of the `retry-after` time of a request that was refused because of long queues. The time
/// is drawn between them, so that callers refused together do not retry together.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(900);
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_200);

/// The enabled policies for overloaded stage pools.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OverloadPolicy {
    /// Whether waits are forecast from the measured call times and drain rates of the pools, instead
    /// of from their configured times.
    pub measured_waits: bool,
    /// Whether the time since a caller's first attempt counts toward the objective of its request,
    /// and `retry-after` times follow from queues and refusals.
    pub planned_returns: bool,
    /// Whether client accounts that ask for more than their share of an overloaded pool are limited.
    pub fair_shares: bool,
    /// Whether a batch whose coordinator is lost goes to the next live host in succession order
    /// instead of running at the host that submitted it.
    pub ordered_succession: bool,
    /// Whether a host returns the queue of a pool when a better coordinator is reachable.
    pub queue_returns: bool,
    /// Whether a stage target counts as slow only after two late calls in a row.
    pub confirm_slow_targets: bool,
    /// Number of client accounts in the configuration from which on the policies apply.
    pub min_accounts: usize,
}

impl OverloadPolicy {
    /// Returns the policy for a configuration with `accounts` client accounts.
    pub(crate) fn for_accounts(self, accounts: usize) -> Self {
        match accounts >= self.min_accounts {
            true => self,
            false => Self::default(),
        }
    }
}

/// The state of the overload policies at this host.
pub(crate) struct OverloadControl {
    configured: OverloadPolicy,
    /// The policy for the active configuration.
    active: Cell<OverloadPolicy>,
    errors: RefCell<ErrorModel<Rank>>,
    patience: RefCell<PatienceTracker>,
    refusals: RefCell<BTreeMap<Rank, RefusalMeter>>,
}

impl OverloadControl {
    pub(crate) fn new(policy: OverloadPolicy) -> Self {
        Self {
            configured: policy,
            active: Cell::new(policy.for_accounts(0)),
            errors: RefCell::new(ErrorModel::new()),
            patience: RefCell::new(PatienceTracker::new()),
            refusals: RefCell::default(),
        }
    }

    /// Returns the policy for the active configuration.
    pub(crate) fn policy(&self) -> OverloadPolicy {
        self.active.get()
    }

    /// Applies the number of client accounts in a new configuration. Returns the policy for it.
    pub(crate) fn set_accounts(&self, accounts: usize) -> OverloadPolicy {
        self.active.set(self.configured.for_accounts(accounts));
        self.policy()
    }

    /// Returns how long ago the caller of a request first sent it; zero unless returns are planned.
    pub(crate) fn age_of(&self, request: &CallerRequest) -> Duration {
        if !self.policy().planned_returns {
            return Duration::ZERO;
        }
        let stated = self.stated_deadline(request);
        self.patience.borrow_mut().age_of(&stated)
    }

    fn stated_deadline(&self, request: &CallerRequest) -> StatedDeadline {
        let route = &request.route.name;
        let account = request.account.as_deref().unwrap_or_default();
        StatedDeadline {
            account: PatienceKey::new(route, account),
            route: PatienceKey::of_route(route),
            deadline: request.deadline.duration_since(request.arrived_at),
            is_calm: self.refused_share(request.rank) <= MAX_CALM_REFUSED_SHARE,
        }
    }

    fn refused_share(&self, rank: Rank) -> f64 {
        let refusals = self.refusals.borrow();
        let meter = refusals.get(&rank);
        meter.map_or(0.0, |meter| meter.share(Instant::now()))
    }

    /// Returns the correction of a forecast.
    pub(crate) fn correction(&self, rank: Rank, plan: &PathEstimate, now: Instant) -> Correction {
        let errors = self.errors.borrow();
        errors.correction(rank, plan.stages_ms + plan.waits_ms, now)
    }

    /// Records how long the stages of an admitted request took.
    pub(crate) fn record_stages(&self, rank: Rank, plan: &PathEstimate, took: Duration) {
        let forecast_ms = plan.stages_ms + plan.waits_ms;
        let took_ms = took.as_secs_f64() * 1_000.0;
        let mut errors = self.errors.borrow_mut();
        errors.record(rank, forecast_ms, took_ms, Instant::now());
    }

    /// Records whether a request was refused at admission.
    pub(crate) fn record_admission(&self, rank: Rank, refused: bool, now: Instant) {
        let mut refusals = self.refusals.borrow_mut();
        let meter = refusals.entry(rank).or_default();
        meter.record(refused, now);
    }

    /// Returns after which time the caller of a refused request should return.
    pub(crate) fn retry_after(
        &self,
        request: &CallerRequest,
        plan: &PathEstimate,
        excess_ms: f64,
    ) -> Duration {
        let stated = self.stated_deadline(request);
        let inputs = ReturnInputs {
            time_left: request.time_left(),
            path: duration_from_ms(plan.stages_ms + plan.prefill_ms),
            excess: duration_from_ms(excess_ms),
            refused_share: self.refused_share(request.rank),
            distinct_after: self.patience.borrow().distinct_after(&stated),
        };
        retry_after(&inputs, fastrand::f64())
    }
}

fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1_000.0).unwrap_or_default()
}

/// The shares of client accounts, used by admission and by the connections to coordinators.
pub(crate) type SharedAccountShares = Rc<RefCell<AccountShares>>;

#[cfg(test)]
pub(crate) mod tests;
