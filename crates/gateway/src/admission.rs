//! Admission control: decides whether to accept a request before any work is done for it.

use std::time::Duration;

use crate::caller_request::CallerRequest;
use crate::coordinator::MIN_REFUSED_WAIT_MS;
use crate::path_time::PathTime;
use crate::{Gateway, Refusal, RefusalReason};

/// Bounds of the `retry-after` time of a request that was refused because of long queues. The time
/// is drawn between them, so that callers refused together do not retry together.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(900);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(2_200);

/// Refuses a request before its first stage if the queues on its path leave it no chance to meet
/// its objective. Work on a request that finishes too late would take capacity from others.
pub(crate) fn admit(
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
    let fraction = fastrand::f64();
    let retry_after = MIN_RETRY_AFTER + (MAX_RETRY_AFTER - MIN_RETRY_AFTER).mul_f64(fraction);
    Err(Refusal::new(RefusalReason::Overloaded, detail).with_retry_after(retry_after))
}

/// Returns what a refusal followed from, for the log: the stage with the longest wait, the load of
/// its pool as this host knows it, and the learned ratio of the rank.
pub(crate) fn refusal_facts(gateway: &Gateway, request: &CallerRequest, path: &PathTime) -> String {
    let ratio = gateway.wait_model.borrow().wait_ratio(request.rank);
    let mut facts = format!(" ratio={:.2}", ratio.ratio);
    if let Some(sampled_at) = ratio.sampled_at {
        facts += &format!(" sample_age_ms={}", sampled_at.elapsed().as_millis());
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
    }
    facts
}
