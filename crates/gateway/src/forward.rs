//! One request from its checks to its answer: stages, attempts, and when to give up.

mod stages;

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::Response;
use linnet_telemetry::EventCode;
use tokio::time::timeout;

use crate::answer::{answer_of, refusal_answer};
use crate::ask::Ask;
use crate::attempt::{Attempt, AttemptEnd, send_attempt};
use crate::caller_watch::CallerWatch;
use crate::choose::{PassedTargets, next_target, no_target, pick_service};
use crate::closed_service::retry_after;
use crate::engine::PlaceFacts;
use crate::graph::RequestResults;
use crate::relay::{Relay, relay_events};
use crate::stage_client::Placement;
use crate::turn::{RunTurn, take_turn};
use crate::wait_model::PathPlan;
use crate::{AnswerBody, Gateway, Refusal, RefusalReason};

use stages::{may_run_stages_again, note_stages_again, prepare};

/// Targets that refused without running a request before it is given up.
const MAX_REFUSALS: u32 = 4;

/// When a caller should come back where every target was full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// How often a request goes on to another target since the one that was chosen for it wants nothing by then.
const MAX_WITHHELD: u32 = 8;

/// How often a request tries targets that name rates and have no leave for it while others take any.
const RATED_TRIES: u32 = 2;

/// What decided a request, for its line in the log.
#[derive(Default)]
struct RunLog {
    target: String,
    attempts: u32,
    stages: Option<Duration>,
    /// How often its stages were begun.
    stage_runs: u32,
    /// How long the request was to take by the queues at its admission.
    plan: PathPlan,
    /// What decided the engine of the last attempt.
    engine: Option<PlaceFacts>,
    /// Whether a target may have run it.
    may_have_run: bool,
}

/// Serves a request; the answer is final.
pub(crate) async fn forward(gateway: Rc<Gateway>, ask: Ask) -> Response<AnswerBody> {
    let ask = Rc::new(ask);
    let watch = CallerWatch::new(&gateway, &ask);
    let mut log = RunLog::default();
    let work = timeout(ask.time_left(), run(&gateway, &ask, &mut log));
    let outcome = tokio::select! {
        outcome = work => outcome.ok(),
        () = gateway.stop_reached() => None,
    };
    let outcome = outcome.unwrap_or_else(|| Err(out_of_time(&log)));
    watch.answered();
    note_outcome(&gateway, &ask, &log, &outcome);
    match outcome {
        Ok(answer) => answer,
        Err(refusal) => refusal_answer(&gateway.config.dialect, &ask.id, &refusal),
    }
}

fn out_of_time(log: &RunLog) -> Refusal {
    if log.may_have_run {
        Refusal::new(RefusalReason::TimedOut, "no answer in time")
    } else {
        Refusal::new(RefusalReason::Overloaded, "no target took it in time")
    }
}

fn note_outcome(
    gateway: &Gateway,
    ask: &Ask,
    log: &RunLog,
    outcome: &Result<Response<AnswerBody>, Refusal>,
) {
    let took = ask.arrived.elapsed();
    let detail = |outcome: &str| {
        format!(
            "route={} account={} rank={}.{} version={} attempts={} planned_ms={:.0} waits_ms={:.0} stages_ms={} stage_runs={} took_ms={}{} {outcome}",
            ask.route.name,
            ask.account.as_deref().unwrap_or("-"),
            ask.rank.first,
            ask.rank.second,
            ask.config_version,
            log.attempts,
            log.plan.stages_ms + log.plan.waits_ms + log.plan.reading_ms,
            log.plan.waits_ms,
            log.stages.map_or(0, |stages| stages.as_millis()),
            log.stage_runs,
            took.as_millis(),
            describe_prompt(ask, log),
        )
    };
    let (code, outcome, label) = match outcome {
        Ok(answer) if answer.status().is_success() => {
            gateway.metrics.first_answer.observe(took.as_secs_f64());
            (
                EventCode::RequestFinished,
                "outcome=answered".to_owned(),
                "ok".to_owned(),
            )
        }
        Ok(answer) => {
            let status = answer.status().as_u16();
            (
                EventCode::RequestFailed,
                format!("outcome=status {status}"),
                "target_status".to_owned(),
            )
        }
        Err(refusal) => {
            let code = if refusal.reason.promises_not_run() {
                EventCode::RequestRefused
            } else {
                EventCode::RequestFailed
            };
            (
                code,
                format!("outcome={refusal}"),
                refusal.reason.to_string(),
            )
        }
    };
    gateway.metrics.count(&label, ask.rank.second);
    gateway.note_request(code, &ask.id, &log.target, detail(&outcome));
}

fn describe_prompt(ask: &Ask, log: &RunLog) -> String {
    let (Some(prompt), Some(engine)) = (&ask.prompt, log.engine) else {
        return String::new();
    };
    format!(
        " tokens={} shared={} held={} ahead={} read_ms={}",
        prompt.tokens_in,
        prompt.shared_tokens(),
        engine.held,
        engine.ahead,
        engine.expected_ms
    )
}

async fn run(
    gateway: &Rc<Gateway>,
    ask: &Rc<Ask>,
    log: &mut RunLog,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut turn = None;
    take_turn(gateway, ask, &mut turn).await?;
    let service = pick_service(&ask.route).to_owned();
    gateway
        .budget
        .borrow_mut()
        .note_request(&service, Instant::now());
    await_first_targets(gateway, &service, ask).await;
    if !has_targets_at_home(gateway, &service, ask) {
        return Err(no_target());
    }
    let mut results: Option<RequestResults> = None;
    let mut tried: Vec<String> = Vec::new();
    let (mut refusals, mut withheld) = (0, 0);
    loop {
        if results.is_none() && !ask.route.stages.is_empty() {
            let started = Instant::now();
            results = Some(prepare(gateway, &service, ask, log).await?);
            log.stages = Some(started.elapsed());
        }
        // What is held against it may have grown by its own last run, or elsewhere while its stages ran.
        if let Err(refusal) = take_turn(gateway, ask, &mut turn).await {
            return Err(after_attempts(log, refusal));
        }
        // Only now: while the stages ran, targets may have gone.
        let passed = PassedTargets {
            tried: &tried,
            rated: withheld >= RATED_TRIES,
        };
        let next = next_target(gateway, &service, ask, passed, results.as_ref()).await;
        let (chosen, placement) = next.map_err(|refusal| after_attempts(log, refusal))?;
        log.target.clone_from(&chosen.id);
        log.engine = placement.as_ref().and_then(Placement::facts);
        log.attempts += 1;
        let may_have_run = std::mem::replace(&mut log.may_have_run, true);
        let attempt = Attempt {
            service: &service,
            chosen: &chosen,
            placement,
            results: results.as_ref(),
            last_event: None,
        };
        let more = log.attempts - refusals < ask.route.max_attempts && ask.route.is_repeatable();
        let end = send_attempt(gateway, ask, attempt, more).await;
        if !matches!(end, AttemptEnd::Withheld) {
            turn.as_mut().into_iter().for_each(RunTurn::note_sending);
            // One that wants nothing for a while may take it after that.
            if !gateway.notices.is_backed_off(&chosen.id) {
                tried.push(chosen.id.clone());
            }
        }
        let failure = match end {
            AttemptEnd::Withheld => {
                // Nothing was sent, so it counts neither as an attempt nor as a repeat.
                log.attempts -= 1;
                log.may_have_run = may_have_run;
                withheld += 1;
                if withheld == MAX_WITHHELD {
                    let cause = "targets were chosen that want no requests".to_owned();
                    return Err(refused_everywhere(gateway, &service, ask, log, cause));
                }
                continue;
            }
            AttemptEnd::Events(stream) => {
                let relay = Relay::new(gateway, ask, service, chosen, results, log.attempts)
                    .with_turn(turn);
                return Ok(relay_events(relay, stream));
            }
            AttemptEnd::Whole(status, headers, body) => {
                // A target that fails part of its requests answers so without having run them.
                if !status.is_server_error() {
                    gateway.note_whole_run(ask, &chosen.id);
                }
                let retried = status.is_server_error() && more && take_repeat(gateway, &service);
                if !retried {
                    return Ok(answer_of(status, &headers, AnswerBody::whole(body)));
                }
                format!("status {}", status.as_u16())
            }
            AttemptEnd::NotRun {
                cause,
                arrived,
                inputs_gone,
            } => {
                refusals += 1;
                log.may_have_run = log.attempts > refusals;
                if inputs_gone && may_run_stages_again(ask, log) {
                    note_stages_again(gateway, ask, log, &cause);
                    results = None;
                }
                let repeat =
                    refusals < MAX_REFUSALS && (!arrived || take_repeat(gateway, &service));
                if !repeat {
                    return Err(refused_everywhere(gateway, &service, ask, log, cause));
                }
                cause
            }
            AttemptEnd::MayHaveRun { cause, .. } => {
                gateway.note_target_failure(&service, &chosen.id, &cause);
                if !more || !take_repeat(gateway, &service) {
                    return Err(Refusal::new(RefusalReason::TargetFailed, cause));
                }
                cause
            }
        };
        gateway.metrics.attempts_failed.inc();
        let detail = format!("service={service} attempt={} cause={failure}", log.attempts);
        gateway.note_request(EventCode::AttemptFailed, &ask.id, &chosen.id, detail);
    }
}

/// Returns a refusal as it is after the attempts so far: it must not say that the request has not run where it
/// may have.
fn after_attempts(log: &RunLog, refusal: Refusal) -> Refusal {
    if log.may_have_run {
        return Refusal::new(RefusalReason::TargetFailed, refusal.detail);
    }
    refusal
}

/// On a host that has just started, lets a request wait for targets of the services on its way.
async fn await_first_targets(gateway: &Gateway, service: &str, ask: &Ask) {
    let patience = gateway.start_patience(Some(ask.time_left()));
    if patience.is_zero() {
        return;
    }
    gateway
        .targets_within(&services_of(service, ask), patience)
        .await;
}

/// Says whether each service on the way of a request has a target where the request may run. It is known
/// at once to be hopeless otherwise.
fn has_targets_at_home(gateway: &Gateway, service: &str, ask: &Ask) -> bool {
    let targets = gateway.targets.borrow();
    let at_home = |service: &&str| {
        let mut targets = targets.of_service(service);
        targets.any(|target| ask.homes.allow(&target.hall))
    };
    services_of(service, ask).iter().all(at_home)
}

/// Returns the services that a request needs: those of its stages, and its own.
fn services_of<'a>(service: &'a str, ask: &'a Ask) -> Vec<&'a str> {
    let stages = ask.route.stages.iter().zip(&ask.piece_counts);
    let stages = stages.filter(|(_, count)| **count > 0);
    let stages = stages.map(|(stage, _)| stage.service.as_str());
    stages.chain([service]).collect()
}

/// Returns the refusal of a request that no target took.
fn refused_everywhere(
    gateway: &Gateway,
    service: &str,
    ask: &Ask,
    log: &RunLog,
    cause: String,
) -> Refusal {
    let back = retry_after(gateway, service, ask).max(FULL_RETRY_AFTER);
    let refusal = Refusal::new(RefusalReason::Overloaded, cause).with_retry_after(back);
    after_attempts(log, refusal)
}

pub(crate) fn take_repeat(gateway: &Gateway, service: &str) -> bool {
    let hosts = gateway.gateway_count();
    let mut budget = gateway.budget.borrow_mut();
    budget.take_repeat(service, hosts, Instant::now())
}
