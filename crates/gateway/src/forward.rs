//! Processes one validated request up to its response: stages, attempts, retries and refusals.

mod stages;
mod stream_start;

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::Response;
use linnet_telemetry::EventCode;
use tokio::time::timeout;

use crate::attempt::{Attempt, AttemptOutcome, CompleteResponse, send_attempt};
use crate::caller_disconnect::CallerDisconnectGuard;
use crate::caller_request::CallerRequest;
use crate::engine::PlacementFacts;
use crate::event_cursor::EventCursor;
use crate::graph::RequestResults;
use crate::incomplete_answer::IncompleteCause;
use crate::message_heads::{build_response, refusal_response};
use crate::part_suspects::AnswerRun;
use crate::planned_stop::stop_refusal;
use crate::prompt::describe_parts;
use crate::relay::{StreamRelay, relay_stream};
use crate::retry_cause::RetryCause;
use crate::run_permit::{RunPermits, acquire_run_permits};
use crate::service_availability::{MAX_REFUSALS, retry_after};
use crate::stage_client::Placement;
use crate::takeup_trace::{TakeupEnd, TakeupStep, TakeupTrace};
use crate::target_selection::{
    ExcludedTargets, no_target_refusal, pick_service, select_or_await_target,
};
use crate::wait_model::PathEstimate;
use crate::{Gateway, Refusal, RefusalReason, ResponseBody};

use stages::{may_rerun_stages, record_stages_rerun, run_stages_with_rerun};
use stream_start::record_start;

/// Minimum `retry-after` time if every target was full.
const MIN_FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Maximum number of attempts that are withheld because the selected target stopped accepting
/// requests.
const MAX_WITHHELD_ATTEMPTS: u32 = 8;

/// Number of withheld attempts after which targets with a rate limit are excluded, if another
/// target without one is available.
const MAX_RATE_LIMITED_TRIES: u32 = 2;

/// What happened to a request, for its line in the log.
#[derive(Default)]
struct RequestTrace {
    target: String,
    /// Start time of the incarnation of the target.
    born: u64,
    attempts: u32,
    stages_time: Option<Duration>,
    /// Number of times that its stages were started.
    stage_runs: u32,
    /// The time that the request was expected to take, estimated at admission.
    plan: PathEstimate,
    /// Why the engine of the last attempt was selected.
    placement_facts: Option<PlacementFacts>,
    /// What its refusal at admission followed from; empty if it was not refused there.
    refusal_facts: String,
    /// Whether a target may have run it.
    may_have_run: bool,
    /// Why its last attempt has no complete answer.
    incomplete: IncompleteCause,
}

/// Processes a request and returns the final response.
pub(crate) async fn forward(
    gateway: Rc<Gateway>,
    request: CallerRequest,
) -> Response<ResponseBody> {
    let request = Rc::new(request);
    let caller_watch = CallerDisconnectGuard::new(&gateway, &request);
    let mut trace = RequestTrace::default();
    let running = timeout(
        request.time_left(),
        run_request(&gateway, &request, &mut trace),
    );
    let outcome = tokio::select! {
        outcome = running => outcome.map_err(|_| IncompleteCause::Deadline),
        () = gateway.wait_for_stop_deadline() => Err(IncompleteCause::Stop),
    };
    let outcome = outcome.unwrap_or_else(|cause| {
        trace.incomplete = cause;
        Err(timeout_refusal(&trace, cause))
    });
    caller_watch.mark_answered();
    record_start(&gateway, &request, &outcome);
    record_outcome(&gateway, &request, &trace, &outcome);
    match outcome {
        Ok(response) => response,
        Err(refusal) => refusal_response(
            &gateway.config.protocol,
            &gateway.metrics,
            &request.id,
            &refusal,
        ),
    }
}

fn timeout_refusal(trace: &RequestTrace, cause: IncompleteCause) -> Refusal {
    if trace.may_have_run {
        Refusal::new(RefusalReason::TimedOut, "no response before the deadline")
    } else if cause == IncompleteCause::Stop {
        stop_refusal("this host stops, and no target has accepted the request")
    } else {
        Refusal::new(
            RefusalReason::Overloaded,
            "no target accepted the request before the deadline",
        )
    }
}

/// Returns the time that the targets of a request were expected to need; `None` for plain services,
/// whose times are not estimated.
fn planned_time(trace: &RequestTrace) -> Option<Duration> {
    let planned_ms = trace.plan.total_ms();
    (planned_ms > 0.0).then(|| Duration::from_secs_f64(planned_ms / 1_000.0))
}

/// Returns whether a request shows how long requests take: others ended before they had to wait.
fn is_answered_or_late(
    request: &CallerRequest,
    outcome: &Result<Response<ResponseBody>, Refusal>,
) -> bool {
    outcome.is_ok() || request.time_left().is_zero()
}

fn record_outcome(
    gateway: &Gateway,
    request: &CallerRequest,
    trace: &RequestTrace,
    outcome: &Result<Response<ResponseBody>, Refusal>,
) {
    let elapsed = request.arrived_at.elapsed();
    if let Some(planned) = planned_time(trace).filter(|_| is_answered_or_late(request, outcome)) {
        gateway.host_load.record_own_time(request, planned);
    }
    let detail = |outcome: &str| {
        format!(
            "route={} account={} rank={}.{} version={} born={} attempts={} planned_ms={:.0} waits_ms={:.0} stages_ms={} stage_runs={} took_ms={}{}{}{} {outcome}",
            request.route.name,
            request.account.as_deref().unwrap_or("-"),
            request.rank.account_priority,
            request.rank.route_priority,
            request.config_version,
            trace.born,
            trace.attempts,
            trace.plan.total_ms(),
            trace.plan.waits_ms,
            trace.stages_time.map_or(0, |stages| stages.as_millis()),
            trace.stage_runs,
            elapsed.as_millis(),
            return_details(gateway, request),
            prompt_details(request, trace),
            trace.refusal_facts,
        )
    };
    let (code, outcome, label) = match outcome {
        Ok(response) if response.status().is_success() => {
            gateway.host_load.record_completed();
            gateway.record_run_time(request);
            gateway
                .metrics
                .first_response
                .observe(elapsed.as_secs_f64());
            (
                EventCode::RequestFinished,
                "outcome=answered".to_owned(),
                "ok".to_owned(),
            )
        }
        Ok(response) => {
            let status = response.status().as_u16();
            (
                EventCode::RequestFailed,
                format!("outcome=status {status}"),
                "target_status".to_owned(),
            )
        }
        Err(refusal) => {
            let (code, keys) = if refusal.reason.promises_not_run() {
                (EventCode::RequestRefused, refusal.log_keys())
            } else {
                let incomplete = gateway.count_incomplete(trace.incomplete);
                let keys = format!("{incomplete} {}", refusal.log_keys());
                (EventCode::RequestFailed, keys)
            };
            (code, keys, refusal.reason.to_string())
        }
    };
    gateway
        .metrics
        .count_request(&label, request.rank.route_priority);
    gateway.record_request_event(code, &request.id, &trace.target, detail(&outcome));
}

/// Returns the deadline that the caller stated and how long ago it first sent the request.
fn return_details(gateway: &Gateway, request: &CallerRequest) -> String {
    if !gateway.overload.policy().planned_returns {
        return String::new();
    }
    let stated = request.deadline.duration_since(request.arrived_at);
    format!(
        " left_ms={} age_ms={}",
        stated.as_millis(),
        request.age.as_millis()
    )
}

fn prompt_details(request: &CallerRequest, trace: &RequestTrace) -> String {
    let (Some(prompt), Some(facts)) = (&request.prompt, trace.placement_facts) else {
        return String::new();
    };
    format!(
        " parts={} tokens={} shared={} held={} ahead={} read_ms={}",
        describe_parts(Some(prompt)),
        prompt.input_tokens,
        prompt.shared_tokens(),
        facts.cached_tokens,
        facts.queued_tokens,
        facts.expected_ms
    )
}

async fn run_request(
    gateway: &Rc<Gateway>,
    request: &Rc<CallerRequest>,
    trace: &mut RequestTrace,
) -> Result<Response<ResponseBody>, Refusal> {
    if request.takes_up_stream {
        request
            .takeup
            .get_or_init(|| TakeupTrace::new(gateway, request));
    }
    let taken_up = gateway.bind_taken_up_stream(request).await?;
    request.enter_step(TakeupStep::Permit);
    let service = taken_up.unwrap_or_else(|| pick_service(&request.route).to_owned());
    let budget = &gateway.retry_budget;
    budget.record_request(&service);
    let mut run_permits = RunPermits::default();
    acquire_run_permits(gateway, &service, request, &mut run_permits).await?;
    wait_for_first_targets(gateway, &service, request).await;
    if !has_allowed_targets(gateway, &service, request) {
        return Err(no_target_refusal());
    }
    let cursor = EventCursor::of_request(request, &gateway.config.protocol.headers);
    let mut results: Option<RequestResults> = None;
    let mut tried: Vec<String> = Vec::new();
    let (mut refusals, mut waits, mut withheld) = (0, 0, 0);
    loop {
        if results.is_none() && !request.route.stages.is_empty() {
            let started = Instant::now();
            request.enter_step(TakeupStep::Stages);
            let running = run_stages_with_rerun(gateway, &service, request, trace);
            let is_trial = run_permits.is_part_trial();
            let outcome = unless_held(gateway, &service, request, is_trial, running).await;
            results = Some(outcome.map_err(|refusal| adjust_refusal(trace, refusal))?);
            trace.stages_time = Some(started.elapsed());
        }
        request.enter_step(TakeupStep::Permit);
        // The status of the request may have changed because of its own last run, or at another
        // entry host while its stages ran.
        let acquired = acquire_run_permits(gateway, &service, request, &mut run_permits).await;
        acquired.map_err(|refusal| adjust_refusal(trace, refusal))?;
        request.enter_step(TakeupStep::Target);
        // Selects the target only now, since targets may have been withdrawn while the stages ran.
        let excluded = ExcludedTargets {
            tried: &tried,
            rate_limited: withheld >= MAX_RATE_LIMITED_TRIES,
        };
        let selecting =
            select_or_await_target(gateway, &service, request, excluded, results.as_ref());
        let is_trial = run_permits.is_part_trial();
        let next = unless_held(gateway, &service, request, is_trial, selecting).await;
        let (chosen, placement) = next.map_err(|refusal| adjust_refusal(trace, refusal))?;
        if !trace.may_have_run {
            gateway.check_stop(request)?;
        }
        request.enter_step(TakeupStep::FirstEvent);
        trace.target.clone_from(&chosen.id);
        trace.born = chosen.born;
        trace.placement_facts = placement.as_ref().and_then(Placement::estimate);
        trace.attempts += 1;
        let may_have_run_before = std::mem::replace(&mut trace.may_have_run, true);
        let attempt = Attempt {
            service: &service,
            chosen: &chosen,
            placement,
            results: results.as_ref(),
            cursor: &cursor,
            last_event: None,
        };
        let may_retry =
            trace.attempts - refusals < request.route.max_attempts && request.route.is_repeatable();
        let earlier = may_retry.then_some(tried.as_slice());
        let outcome = send_attempt(gateway, request, attempt, earlier).await;
        if !matches!(
            outcome,
            AttemptOutcome::Withheld | AttemptOutcome::OverBudget
        ) {
            run_permits.mark_sent();
            // A target that is backed off is not excluded: it may be used again after the back-off.
            if !gateway.notices.is_backed_off(&chosen.id) {
                tried.push(chosen.id.clone());
            }
        }
        let failure = match outcome {
            AttemptOutcome::Withheld => {
                // Nothing was sent, so this counts neither as an attempt nor as a retry.
                trace.attempts -= 1;
                trace.may_have_run = may_have_run_before;
                withheld += 1;
                if withheld == MAX_WITHHELD_ATTEMPTS {
                    let cause = format!("{withheld} selected targets did not accept requests");
                    return Err(not_accepted_refusal(
                        gateway, &service, request, trace, cause,
                    ));
                }
                continue;
            }
            AttemptOutcome::OverBudget => {
                trace.attempts -= 1;
                trace.may_have_run = may_have_run_before;
                let cause = "the retry budget of the service is used up".to_owned();
                return Err(not_accepted_refusal(
                    gateway, &service, request, trace, cause,
                ));
            }
            AttemptOutcome::Streaming(stream) => {
                let incarnation = stream.incarnation.as_ref();
                gateway.record_stream_origin(request, &service, incarnation);
                if let Some(incarnation) = incarnation {
                    request.bind_incarnation(incarnation);
                }
                request.enter_step(TakeupStep::Events);
                let relay =
                    StreamRelay::new(gateway, request, service, chosen, results, trace.attempts)
                        .with_run_permits(run_permits)
                        .with_cursor(cursor);
                return Ok(relay_stream(relay, stream));
            }
            AttemptOutcome::Complete(response) => {
                let CompleteResponse {
                    status,
                    headers,
                    body,
                    is_confirmed,
                    ..
                } = response;
                // A server error does not prove that the request ran to its end: a target that
                // fails a share of its requests responds so without having run them.
                if !status.is_server_error() && is_confirmed {
                    gateway.record_complete_run(&service, request, &chosen, &AnswerRun::new());
                }
                let retries = status.is_server_error()
                    && may_retry
                    && budget.allow_retry(request, &service, RetryCause::Failure);
                if !retries {
                    request.end_takeup(TakeupEnd::Complete);
                    return Ok(build_response(status, &headers, ResponseBody::full(body)));
                }
                format!("status {}", status.as_u16())
            }
            AttemptOutcome::NotRun { cause, inputs_gone } => {
                refusals += 1;
                trace.may_have_run = trace.attempts > refusals;
                let awaits_slot = request.bound_version.get().is_some()
                    && gateway.targets.borrow().is_full(&service, &chosen.id);
                if awaits_slot {
                    // The few other targets of its version may be full as well.
                    tried.retain(|id| *id != chosen.id);
                    waits += 1;
                }
                if inputs_gone && may_rerun_stages(request, trace) {
                    record_stages_rerun(gateway, request, trace, &cause);
                    results = None;
                }
                let retries = refusals - waits < MAX_REFUSALS
                    && budget.allow_retry(request, &service, RetryCause::Rejection);
                if !retries {
                    return Err(not_accepted_refusal(
                        gateway, &service, request, trace, cause,
                    ));
                }
                cause
            }
            AttemptOutcome::MayHaveRun { cause, kind } => {
                trace.incomplete = kind;
                // The failure of a silent target is recorded as soon as it is silent for too long.
                if kind != IncompleteCause::Silence {
                    gateway.record_target_failure(&service, &chosen.id, &cause);
                }
                if !may_retry
                    || gateway.may_crash_again(&service, request)
                    || !budget.allow_retry(request, &service, RetryCause::Failure)
                {
                    return Err(Refusal::new(RefusalReason::TargetFailed, cause));
                }
                cause
            }
        };
        gateway.metrics.attempts_failed.inc();
        let detail = format!(
            "service={service} born={} attempt={} cause={failure}",
            chosen.born, trace.attempts
        );
        gateway.record_request_event(EventCode::AttemptFailed, &request.id, &chosen.id, detail);
    }
}

/// Waits for a step of a request before it is sent, unless a part of its prompt becomes held.
async fn unless_held<T>(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    is_trial: bool,
    step: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    if is_trial || request.prompt.is_none() {
        return step.await;
    }
    tokio::select! {
        biased;
        outcome = step => outcome,
        refusal = gateway.refuse_when_held(service, request) => Err(refusal),
    }
}

/// Adjusts a refusal to the attempts so far: it must not promise that the request has not run if it
/// may have.
fn adjust_refusal(trace: &RequestTrace, refusal: Refusal) -> Refusal {
    if trace.may_have_run {
        return Refusal::new(RefusalReason::TargetFailed, refusal.detail);
    }
    refusal
}

/// Shortly after the start of the host, waits until targets of all services that the request needs
/// are known.
async fn wait_for_first_targets(gateway: &Gateway, service: &str, request: &CallerRequest) {
    let max_wait = gateway.startup_wait(Some(request.time_left()));
    if max_wait.is_zero() {
        return;
    }
    gateway
        .wait_for_targets(&required_services(service, request), max_wait)
        .await;
}

/// Returns whether each service that the request needs has a target in a hall where it may run.
/// Otherwise the request can be refused at once.
fn has_allowed_targets(gateway: &Gateway, service: &str, request: &CallerRequest) -> bool {
    let targets = gateway.targets.borrow();
    let has_allowed = |service: &&str| {
        let mut targets = targets.of_service(service);
        targets.any(|target| request.allowed_halls.allows(&target.hall))
    };
    let mut own_targets = targets.of_service(service);
    own_targets.any(|target| request.allows_target(target))
        && required_services(service, request).iter().all(has_allowed)
}

/// Returns the services that a request needs: those of its stages, and its own.
fn required_services<'a>(service: &'a str, request: &'a CallerRequest) -> Vec<&'a str> {
    let stages = request.route.stages.iter().zip(&request.piece_counts);
    let stages = stages.filter(|(_, count)| **count > 0);
    let stages = stages.map(|(stage, _)| stage.service.as_str());
    stages.chain([service]).collect()
}

/// Builds the refusal of a request that no target accepted.
fn not_accepted_refusal(
    gateway: &Gateway,
    service: &str,
    request: &CallerRequest,
    trace: &RequestTrace,
    cause: String,
) -> Refusal {
    let retry_after_time = retry_after(gateway, service, request).max(MIN_FULL_RETRY_AFTER);
    let refusal = Refusal::new(RefusalReason::Overloaded, cause).with_retry_after(retry_after_time);
    adjust_refusal(trace, refusal)
}
