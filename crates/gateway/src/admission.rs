//! Admission control: decides whether to accept a request before any work is done for it.

use std::time::Instant;

use linnet_forecast::{AdmissionDecision, AdmissionLimits, MIN_REFUSED_WAIT_MS, decide_admission};
use linnet_shares::{AccountUse, ShareDecision};

use crate::caller_request::CallerRequest;
use crate::graph::select_partition;
use crate::metrics::{RefusalCause, ReturnOutcome};
use crate::overload::{MAX_RETRY_AFTER, MIN_RETRY_AFTER, account_key};
use crate::path_time::PathTime;
use crate::{Gateway, Refusal, RefusalReason};

/// Refuses a request before its first stage if the queues on its path leave it no chance to meet
/// its objective. Work on a request that finishes too late would take capacity from others.
pub(crate) fn admit(
    gateway: &Gateway,
    request: &CallerRequest,
    path: &PathTime,
) -> Result<(), Refusal> {
    let policy = gateway.overload.policy();
    let share = match policy.fair_shares {
        true => check_share(gateway, request, path),
        false => Ok(()),
    };
    let admitted = share.and_then(|()| match policy.measured_waits {
        true => admit_by_forecast(gateway, request, path),
        false => admit_by_ratio(gateway, request, path),
    });
    if policy.planned_returns {
        let refused = admitted.is_err();
        let control = &gateway.overload;
        control.record_admission(request.rank, refused, Instant::now());
    }
    if !request.age.is_zero() {
        let outcome = match (&admitted, request.is_late.get()) {
            (Err(_), _) => ReturnOutcome::Refused,
            (Ok(()), true) => ReturnOutcome::AdmittedLate,
            (Ok(()), false) => ReturnOutcome::AdmittedInTime,
        };
        gateway.metrics.count_returned(outcome);
    }
    admitted
}

/// Refuses a request if its account asks for more than its share of a pool that cannot serve all
/// demand.
fn check_share(gateway: &Gateway, request: &CallerRequest, path: &PathTime) -> Result<(), Refusal> {
    let (account, now) = (account_key(request.account.as_deref()), Instant::now());
    // One draw decides for all pools, so that the lowest share on the path applies.
    let draw = fastrand::f64();
    let counts = request.piece_counts.iter().enumerate();
    let mut lowest: Option<(u16, usize)> = None;
    for (number, count) in counts.filter(|(_, count)| **count > 0) {
        let demand = AccountUse {
            rank: request.rank,
            account,
            pieces: *count,
        };
        let pool = select_partition(gateway, request, number, None);
        let mut shares = gateway.stage_client.account_shares().borrow_mut();
        if let ShareDecision::Refused { admit_permille } = shares.request(pool, demand, draw, now)
            && lowest.is_none_or(|(known, _)| admit_permille < known)
        {
            lowest = Some((admit_permille, number));
        }
    }
    // Without queues the pools serve all demand, whatever their rates say: a rate in pieces does not
    // know that the pieces of some routes take less time.
    let Some((admit_permille, number)) =
        lowest.filter(|_| path.plan.waits_ms >= MIN_REFUSED_WAIT_MS)
    else {
        return Ok(());
    };
    let detail = format!(
        "share of the account used up: pool={} admit_permille={admit_permille}",
        request.route.stages[number].service
    );
    let cause = RefusalCause::Share;
    Err(refuse(gateway, request, path, cause, detail, 0.0))
}

/// Decides by the forecast from measured pool times.
fn admit_by_forecast(
    gateway: &Gateway,
    request: &CallerRequest,
    path: &PathTime,
) -> Result<(), Refusal> {
    let plan = &path.plan;
    let limits = AdmissionLimits {
        objective_left_ms: request.objective_left().as_secs_f64() * 1_000.0,
        objective_ms: request.route.objective_ms as f64,
        deadline_left_ms: request.time_left().as_secs_f64() * 1_000.0,
        returned: !request.age.is_zero(),
    };
    let correction = gateway
        .overload
        .correction(request.rank, plan, Instant::now());
    match decide_admission(&limits, plan.total_ms(), plan.waits_ms, correction) {
        AdmissionDecision::InTime => Ok(()),
        AdmissionDecision::Late => {
            request.is_late.set(true);
            Ok(())
        }
        AdmissionDecision::Refused { excess_ms } => {
            let detail = format!(
                "queues too long: waits_ms={:.0} expected_ms={:.0} objective_left_ms={:.0} bias_ms={:.0} margin_ms={:.0}",
                plan.waits_ms,
                plan.total_ms() + correction.bias_ms,
                limits.objective_left_ms,
                correction.bias_ms,
                correction.spread_ms
            );
            let cause = RefusalCause::Queue;
            Err(refuse(gateway, request, path, cause, detail, excess_ms))
        }
    }
}

/// Decides by the configured times of the pools and the learned ratio of actual to planned waits.
fn admit_by_ratio(
    gateway: &Gateway,
    request: &CallerRequest,
    path: &PathTime,
) -> Result<(), Refusal> {
    let plan = &path.plan;
    let left_ms = request.objective_left().as_secs_f64() * 1_000.0;
    let expected_ms = gateway.wait_model.borrow().expected_ms(request.rank, plan);
    if plan.waits_ms < MIN_REFUSED_WAIT_MS || expected_ms <= left_ms {
        return Ok(());
    }
    let detail = format!(
        "queues too long: waits_ms={:.0} expected_ms={expected_ms:.0} objective_left_ms={left_ms:.0}",
        plan.waits_ms
    );
    Err(refuse(
        gateway,
        request,
        path,
        RefusalCause::Queue,
        detail,
        expected_ms - left_ms,
    ))
}

/// Builds the refusal of a request for which the queues are `excess_ms` too long.
fn refuse(
    gateway: &Gateway,
    request: &CallerRequest,
    path: &PathTime,
    cause: RefusalCause,
    detail: String,
    excess_ms: f64,
) -> Refusal {
    let retry_after = match gateway.overload.policy().planned_returns {
        true => gateway.overload.retry_after(request, &path.plan, excess_ms),
        false => {
            let fraction = fastrand::f64();
            MIN_RETRY_AFTER + (MAX_RETRY_AFTER - MIN_RETRY_AFTER).mul_f64(fraction)
        }
    };
    gateway.metrics.count_refusal(cause, retry_after);
    Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(retry_after)
}

/// Returns what a refusal followed from, for the log: the stage with the longest wait, the load of
/// its pool as this host knows it, and the learned ratio of the rank or the measured times.
pub(crate) fn refusal_facts(gateway: &Gateway, request: &CallerRequest, path: &PathTime) -> String {
    let mut facts = String::new();
    if !gateway.overload.policy().measured_waits {
        let ratio = gateway.wait_model.borrow().wait_ratio(request.rank);
        facts += &format!(" ratio={:.2}", ratio.ratio);
        if let Some(sampled_at) = ratio.sampled_at {
            facts += &format!(" sample_age_ms={}", sampled_at.elapsed().as_millis());
        }
    }
    if let Some(longest) = &path.longest_wait {
        facts += &format!(
            " pool={} pool_wait_ms={:.0} pieces_ahead={} targets={} free={} load_age_ms={}",
            request.route.stages[longest.number].service,
            longest.wait_ms,
            longest.known.load.pieces_ahead(request.rank),
            longest.known.load.targets,
            longest.known.load.free,
            longest.known.age.as_millis()
        );
        if let Some(times) = &longest.known.times {
            facts += &format!(" drain={} call_ms={}", times.drain_per_s, times.call_ms);
        }
    }
    facts
}
