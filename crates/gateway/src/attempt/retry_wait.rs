//! How long an attempt without a response is waited for.

use std::time::Duration;

use linnet_routing::RouteKind;
use tokio::time::sleep;

use super::Attempt;
use crate::Gateway;
use crate::caller_request::CallerRequest;
use crate::retry_cause::RetryCause;
use crate::service_availability::next_availability;
use crate::stage_client::Placement;
use crate::target::ChosenTarget;

/// Minimum timeout of an attempt after which a repeatable request goes to another target.
const MIN_TIMEOUT: Duration = Duration::from_millis(250);

/// A resumable stream moves to another engine if no event has arrived within its remaining time
/// divided by `SILENT_STREAM_TIME_DIVISOR`. Without this limit, such requests stayed at hung
/// engines until their deadline, even while another engine was free. An engine that is merely slow
/// gets at least `SLOW_STREAM_TIMEOUT_FACTOR` times the expected prefill time, since another engine
/// would have to repeat the prefill.
const SILENT_STREAM_TIME_DIVISOR: u32 = 2;
const SLOW_STREAM_TIMEOUT_FACTOR: u32 = 3;

/// Interval at which a request that waits for a response asks for a retry.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returns how long to wait for a response, or for the first event of a stream, before another
/// target may be tried.
pub(super) fn time_limit(
    request: &CallerRequest,
    attempt: &Attempt<'_>,
    time_left: Duration,
) -> Duration {
    if request.route.kind != RouteKind::Streaming {
        let twice_objective = Duration::from_millis(request.route.objective_ms * 2);
        return twice_objective.clamp(MIN_TIMEOUT, (time_left / 2).max(MIN_TIMEOUT));
    }
    let facts = attempt.placement.as_ref().and_then(Placement::estimate);
    let expected_ms = facts.map_or(0, |facts| u64::from(facts.expected_ms));
    let slow_timeout = Duration::from_millis(expected_ms) * SLOW_STREAM_TIMEOUT_FACTOR;
    slow_timeout
        .max(time_left / SILENT_STREAM_TIME_DIVISOR)
        .min(time_left)
}

/// Waits until a request that waits for a response gets a retry at another target than the chosen
/// and the tried ones. Until then its target is the only one that may still respond.
pub(super) async fn wait_for_retry(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    chosen: &ChosenTarget,
    tried: &[String],
) {
    let mut excluded = tried.to_vec();
    excluded.push(chosen.id.clone());
    loop {
        let next = next_availability(gateway, service, request, &excluded);
        let budget = &gateway.retry_budget;
        if next.is_some_and(|next| next.wait.is_zero())
            && !gateway.may_crash_again(service, request)
            && budget.has_left(service)
            && budget.allow_retry(request, service, RetryCause::Failure)
        {
            return;
        }
        sleep(RETRY_INTERVAL).await;
    }
}
