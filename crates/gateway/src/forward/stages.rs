//! Runs the stages of one request, and decides whether to run them again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_telemetry::EventCode;

use super::RequestTrace;
use crate::admission::{admit, refusal_facts};
use crate::caller_request::CallerRequest;
use crate::coordinator::LARGE_RESULT_BYTES;
use crate::graph::{RequestResults, run_stages};
use crate::path_time::{estimate_path_time, final_stages};
use crate::service_availability::{check_availability, check_rate_limits};
use crate::target_selection::{ExcludedTargets, no_target_refusal, placement_request};
use crate::{Gateway, Refusal};

/// Maximum number of runs of the stages of a request.
const MAX_STAGE_RUNS: u32 = 2;

/// Maximum share of the remaining time that the plan for another run of the stages may take. A
/// first run that failed points to a disturbance, so twice the planned time has to remain.
const MAX_RERUN_TIME_SHARE: f64 = 0.5;

/// Runs the stages of a request, for the hall where its prompt is expected to be placed. If they
/// fail because a target or host was lost, they run once more, since the caller's retry would only
/// repeat the same work.
pub(super) async fn run_stages_with_rerun(
    gateway: &Rc<Gateway>,
    service: &str,
    request: &CallerRequest,
    trace: &mut RequestTrace,
) -> Result<RequestResults, Refusal> {
    if trace.stage_runs == 0 {
        let path = estimate_path_time(gateway, request);
        trace.plan = path.plan;
        if let Err(refusal) = admit(gateway, request, &path) {
            trace.refusal_facts = refusal_facts(gateway, request, &path);
            return Err(refusal);
        }
        let planned =
            Duration::from_secs_f64((trace.plan.stages_ms + trace.plan.waits_ms) / 1_000.0);
        check_availability(gateway, service, request, planned)?;
        check_rate_limits(gateway, service, request).await?;
    }
    loop {
        trace.stage_runs += 1;
        let hall = expected_hall(gateway, service, request).await?;
        let started = Instant::now();
        let failure = match run_stages(gateway, request, &hall).await {
            Ok(results) => {
                record_stages_time(gateway, request, trace, started.elapsed());
                return Ok(results);
            }
            Err(failure) => failure,
        };
        let refusal = failure.refusal();
        if !failure.is_retryable() || !may_rerun_stages(request, trace) {
            return Err(refusal);
        }
        record_stages_rerun(gateway, request, trace, &refusal.detail);
    }
}

/// Returns the hall of the engine where a prompt would be placed now. For a request without a
/// prompt, and if no stage has large results for it, returns this host's own hall without asking
/// the placer, which saves two of six messages per prompt.
async fn expected_hall(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
) -> Result<String, Refusal> {
    if !needs_large_results(request) {
        let targets = gateway.targets.borrow();
        let mut engines = targets.of_service(service);
        let has_engine = engines.any(|engine| request.allowed_halls.allows(&engine.hall));
        let local_hall = || gateway.config.hall.clone();
        return has_engine.then(local_hall).ok_or_else(no_target_refusal);
    }
    let Some(placement) =
        placement_request(gateway, service, request, ExcludedTargets::default(), None)
    else {
        return Ok(gateway.config.hall.clone());
    };
    let planned = gateway
        .stage_client
        .plan_placement(&gateway.targets, placement)
        .await;
    Ok(planned.ok_or_else(no_target_refusal)?.hall)
}

/// Returns whether the target of a request fetches results that are too large to transfer between
/// halls.
fn needs_large_results(request: &CallerRequest) -> bool {
    let final_stages = final_stages(request).into_iter();
    let mut sizes = final_stages.map(|stage| request.route.stages[stage].result_bytes);
    sizes.any(|bytes| bytes >= LARGE_RESULT_BYTES)
}

fn record_stages_time(
    gateway: &Gateway,
    request: &CallerRequest,
    trace: &RequestTrace,
    elapsed: Duration,
) {
    if gateway.overload.policy().measured_waits {
        gateway
            .overload
            .record_stages(request.rank, &trace.plan, elapsed);
    } else {
        let mut waits = gateway.wait_model.borrow_mut();
        waits.record_wait(request.rank, &trace.plan, elapsed);
    }
    let forecast_ms = trace.plan.stages_ms + trace.plan.waits_ms;
    gateway.metrics.observe_forecast_error(forecast_ms, elapsed);
    gateway.metrics.stage_time.observe(elapsed.as_secs_f64());
}

/// Returns whether the stages of a request may run once more in the time that remains.
pub(super) fn may_rerun_stages(request: &CallerRequest, trace: &RequestTrace) -> bool {
    let planned_ms = trace.plan.stages_ms + trace.plan.waits_ms + trace.plan.prefill_ms;
    let left_ms = request.time_left().as_secs_f64() * 1_000.0;
    trace.stage_runs < MAX_STAGE_RUNS && planned_ms <= left_ms * MAX_RERUN_TIME_SHARE
}

pub(super) fn record_stages_rerun(
    gateway: &Gateway,
    request: &CallerRequest,
    trace: &RequestTrace,
    cause: &str,
) {
    let detail = format!("runs={} cause={cause}", trace.stage_runs);
    gateway.record_request_event(EventCode::StagesRunAgain, &request.id, "", detail);
}
