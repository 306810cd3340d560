//! One request from its checks to its answer: stages, choice of a target, attempts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use linnet_routing::{Route, RouteKind};
use linnet_telemetry::EventCode;
use tokio::time::timeout;

use crate::answer::{Addition, answer_of, belongs_to, refusal_answer, request_for};
use crate::ask::Ask;
use crate::coordinator::HALL_BYTES;
use crate::engine::{Chosen, PlaceAsk};
use crate::events::EventSplitter;
use crate::graph::{RequestResults, admit, last_stages, run_stages};
use crate::relay::{Relay, relay_events};
use crate::stage_client::Placement;
use crate::target::Target;
use crate::upstream::{Lease, SendError};
use crate::wait_model::PathPlan;
use crate::{AnswerBody, Gateway, Refusal, RefusalReason};

/// Targets that refused without running a request before it is given up.
const MAX_REFUSALS: u32 = 4;

/// When a caller should come back where every target was full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);

/// When a caller should come back where no target is known.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The least time that an attempt gets before a repeatable request goes to another target.
const LEAST_ATTEMPT: Duration = Duration::from_millis(250);

/// How one sending to a target ended.
pub(crate) enum AttemptEnd {
    /// A whole answer, whatever its status.
    Whole(StatusCode, HeaderMap, Bytes),
    /// An answer that comes in events; the first ones are whole.
    Events(Box<EventStream>),
    /// The target did not run it.
    NotRun { cause: String, arrived: bool },
    /// It may have run, and there is no usable answer.
    MayHaveRun(String),
}

/// A stream of events of which the first has come.
pub(crate) struct EventStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) first: Bytes,
    pub(crate) rest: Incoming,
    pub(crate) splitter: EventSplitter,
    pub(crate) lease: Lease,
    /// Counts the request at its target while the stream lasts.
    pub(crate) _in_flight: InFlight,
    /// Counts the prompt at the host that placed it.
    pub(crate) _placement: Option<Placement>,
}

/// Counts a request at its target until it is dropped.
pub(crate) struct InFlight {
    gateway: Rc<Gateway>,
    service: String,
    id: String,
}

impl InFlight {
    fn new(gateway: &Rc<Gateway>, service: &str, id: &str) -> Self {
        if let Some(target) = gateway.targets.borrow_mut().find_mut(service, id) {
            target.in_flight += 1;
        }
        Self {
            gateway: gateway.clone(),
            service: service.to_owned(),
            id: id.to_owned(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut targets = self.gateway.targets.borrow_mut();
        if let Some(target) = targets.find_mut(&self.service, &self.id) {
            target.in_flight = target.in_flight.saturating_sub(1);
        }
    }
}

/// What decided a request, for its line in the log.
#[derive(Default)]
struct RunLog {
    target: String,
    attempts: u32,
    stages: Option<Duration>,
    /// How long the request was to take by the queues at its admission.
    plan: PathPlan,
    /// Whether a target may have run it.
    may_have_run: bool,
}

/// Serves a request; the answer is final.
pub(crate) async fn forward(gateway: Rc<Gateway>, ask: Ask) -> Response<AnswerBody> {
    let ask = Rc::new(ask);
    let mut log = RunLog::default();
    let outcome = match timeout(ask.time_left(), run(&gateway, &ask, &mut log)).await {
        Ok(outcome) => outcome,
        Err(_) => Err(out_of_time(&log)),
    };
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
            "route={} account={} rank={}.{} version={} attempts={} planned_ms={:.0} waits_ms={:.0} stages_ms={} took_ms={} {outcome}",
            ask.route.name,
            ask.account.as_deref().unwrap_or("-"),
            ask.rank.first,
            ask.rank.second,
            ask.config_version,
            log.attempts,
            log.plan.stages_ms + log.plan.waits_ms + log.plan.reading_ms,
            log.plan.waits_ms,
            log.stages.map_or(0, |stages| stages.as_millis()),
            took.as_millis()
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

async fn run(
    gateway: &Rc<Gateway>,
    ask: &Rc<Ask>,
    log: &mut RunLog,
) -> Result<Response<AnswerBody>, Refusal> {
    let service = pick_service(&ask.route).to_owned();
    gateway
        .budget
        .borrow_mut()
        .note_request(&service, Instant::now());
    let mut results: Option<RequestResults> = None;
    let mut tried: Vec<String> = Vec::new();
    let mut refusals = 0;
    loop {
        if results.is_none() && !ask.route.stages.is_empty() {
            let started = Instant::now();
            results = Some(prepare(gateway, &service, ask, log).await?);
            log.stages = Some(started.elapsed());
        }
        // Only now: while the stages ran, targets may have gone.
        let (chosen, placement) = choose(gateway, &service, ask, &tried, results.as_ref())
            .await
            .ok_or_else(no_target)?;
        log.target.clone_from(&chosen.id);
        log.attempts += 1;
        log.may_have_run = true;
        let attempt = Attempt {
            service: &service,
            chosen: &chosen,
            placement,
            results: results.as_ref(),
            last_event: None,
        };
        let more = log.attempts - refusals < ask.route.max_attempts && ask.route.may_repeat();
        let end = send_attempt(gateway, ask, attempt, more).await;
        tried.push(chosen.id.clone());
        let failure = match end {
            AttemptEnd::Events(stream) => {
                let relay = Relay::new(gateway, ask, service, chosen, results, log.attempts);
                return Ok(relay_events(relay, stream));
            }
            AttemptEnd::Whole(status, headers, body) => {
                let retried = status.is_server_error() && more && take_repeat(gateway, &service);
                if !retried {
                    return Ok(answer_of(status, &headers, AnswerBody::whole(body)));
                }
                format!("status {}", status.as_u16())
            }
            AttemptEnd::NotRun { cause, arrived } => {
                refusals += 1;
                log.may_have_run = log.attempts > refusals;
                let repeat =
                    refusals < MAX_REFUSALS && (!arrived || take_repeat(gateway, &service));
                if !repeat {
                    return Err(refused_everywhere(log.may_have_run, cause));
                }
                cause
            }
            AttemptEnd::MayHaveRun(cause) => {
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

fn refused_everywhere(may_have_run: bool, cause: String) -> Refusal {
    if may_have_run {
        return Refusal::new(RefusalReason::TargetFailed, cause);
    }
    Refusal::new(RefusalReason::Overloaded, cause).with_retry_after(FULL_RETRY_AFTER)
}

fn no_target() -> Refusal {
    Refusal::new(RefusalReason::NoTarget, "no target is registered")
        .with_retry_after(NO_TARGET_RETRY_AFTER)
}

pub(crate) fn take_repeat(gateway: &Gateway, service: &str) -> bool {
    let hosts = gateway.gateway_count();
    let mut budget = gateway.budget.borrow_mut();
    budget.take_repeat(service, hosts, Instant::now())
}

/// Picks the service of a request by the weights of its route.
fn pick_service(route: &Route) -> &str {
    let total: u32 = route.split.iter().map(|part| part.weight).sum();
    let mut drawn = fastrand::u32(0..total.max(1));
    for part in &route.split {
        if drawn < part.weight {
            return &part.service;
        }
        drawn -= part.weight;
    }
    route.split.last().map_or("", |part| part.service.as_str())
}

/// Runs the stages of a request, in the hall where its prompt will go if nothing changes.
async fn prepare(
    gateway: &Rc<Gateway>,
    service: &str,
    ask: &Ask,
    log: &mut RunLog,
) -> Result<RequestResults, Refusal> {
    let plan = admit(gateway, ask)?;
    log.plan = plan;
    let hall = match place_ask(gateway, service, ask, &[], None) {
        // The placement ends here; that the engine will hold the part stays known.
        Some(place) => {
            let planned = gateway.stages.place(&gateway.targets, place).await;
            planned.ok_or_else(no_target)?.0.hall
        }
        None => gateway.config.hall.clone(),
    };
    let started = Instant::now();
    let results = run_stages(gateway, ask, &hall).await?;
    let took = started.elapsed();
    gateway.waits.borrow_mut().learn(ask.rank, &plan, took);
    gateway.metrics.stage_time.observe(took.as_secs_f64());
    Ok(results)
}

/// Chooses a target, passing over those that were tried.
pub(crate) async fn choose(
    gateway: &Gateway,
    service: &str,
    ask: &Ask,
    tried: &[String],
    results: Option<&RequestResults>,
) -> Option<(Chosen, Option<Placement>)> {
    if let Some(place) = place_ask(gateway, service, ask, tried, results) {
        let (chosen, placement) = gateway.stages.place(&gateway.targets, place).await?;
        return Some((chosen, Some(placement)));
    }
    let book = gateway.targets.borrow();
    let usable = book.usable(service, Instant::now());
    let fresh = usable.iter().filter(|target| !tried.contains(&target.id));
    let load = |target: &Target| {
        let other_hall = f64::from(u8::from(target.hall != gateway.config.hall));
        let used = f64::from(target.in_flight) / f64::from(target.slots);
        used + 0.25 * other_hall + 0.05 * fastrand::f64()
    };
    let scored = fresh.map(|target| (load(target), target));
    let best = scored.min_by(|a, b| a.0.total_cmp(&b.0))?.1;
    let chosen = Chosen {
        id: best.id.clone(),
        address: best.address,
        hall: best.hall.clone(),
    };
    Some((chosen, None))
}

/// Returns what to ask of the host that places prompts; nothing for a request without one.
fn place_ask(
    gateway: &Gateway,
    service: &str,
    ask: &Ask,
    tried: &[String],
    results: Option<&RequestResults>,
) -> Option<PlaceAsk> {
    let prompt = ask.prompt.as_ref()?;
    let largest = ask
        .route
        .stages
        .iter()
        .max_by_key(|stage| stage.result_bytes);
    let heavy = largest.filter(|stage| stage.result_bytes >= HALL_BYTES);
    let hall = results.and_then(|results| results.hall(&gateway.targets.borrow()));
    Some(PlaceAsk {
        service: service.to_owned(),
        part: prompt.shared_part.clone(),
        tokens: prompt.tokens_in,
        shared_tokens: prompt.shared_tokens,
        heavy_stage: heavy.map(|stage| stage.service.clone()),
        results: hall.map(|hall| (hall, result_bytes(ask))),
        avoid: tried.to_vec(),
    })
}

/// Returns about how many bytes of results the request takes from its last stages.
fn result_bytes(ask: &Ask) -> u64 {
    let last = last_stages(ask).into_iter();
    let bytes = last
        .map(|number| u64::from(ask.piece_counts[number]) * ask.route.stages[number].result_bytes);
    bytes.sum()
}

/// One sending to one target.
pub(crate) struct Attempt<'a> {
    pub(crate) service: &'a str,
    pub(crate) chosen: &'a Chosen,
    /// Counts the prompt at the host that placed it.
    pub(crate) placement: Option<Placement>,
    pub(crate) results: Option<&'a RequestResults>,
    pub(crate) last_event: Option<&'a str>,
}

/// Sends a request to a target and waits for a whole answer or for the first event. `more` says
/// whether another target may be tried after this one, so that a silent one is left in time.
pub(crate) async fn send_attempt(
    gateway: &Rc<Gateway>,
    ask: &Ask,
    attempt: Attempt<'_>,
    more: bool,
) -> AttemptEnd {
    let left = ask.time_left();
    let bound = if more && ask.route.kind != RouteKind::Streaming {
        let usual = Duration::from_millis(ask.route.objective_ms * 2);
        usual.clamp(LEAST_ATTEMPT, (left / 2).max(LEAST_ATTEMPT))
    } else {
        left
    };
    match timeout(bound, exchange(gateway, ask, attempt, left)).await {
        Ok(end) => end,
        Err(_) => AttemptEnd::MayHaveRun(format!("no answer within {} ms", bound.as_millis())),
    }
}

async fn exchange(
    gateway: &Rc<Gateway>,
    ask: &Ask,
    mut attempt: Attempt<'_>,
    left: Duration,
) -> AttemptEnd {
    let chosen = attempt.chosen;
    let addition = Addition {
        target: &chosen.id,
        results: attempt.results.map(|results| results.handles().join(",")),
        last_event: attempt.last_event,
        ranked: ask.prompt.is_some(),
    };
    let request = match request_for(&gateway.config.dialect, ask, &addition, left) {
        Ok(request) => request,
        Err(error) => {
            let cause = format!("request: {error}");
            return AttemptEnd::NotRun {
                cause,
                arrived: false,
            };
        }
    };
    let in_flight = InFlight::new(gateway, attempt.service, &chosen.id);
    let sent = Instant::now();
    let (answer, lease) = match gateway.pool.send(chosen.address, request).await {
        Ok(answered) => answered,
        Err(SendError::NotSent(cause)) => {
            gateway.note_unreachable(attempt.service, &chosen.id, &cause);
            return AttemptEnd::NotRun {
                cause,
                arrived: false,
            };
        }
        Err(SendError::MayHaveRun(cause)) => return AttemptEnd::MayHaveRun(cause),
    };
    let (head, body) = answer.into_parts();
    if let Some(refused) = read_refusal(gateway, &attempt, &head) {
        if body.collect().await.is_ok() {
            lease.finish(&head.headers);
        }
        return refused;
    }
    if !belongs_to(&gateway.config.dialect.headers, &head.headers, &ask.id) {
        gateway.note_request(
            EventCode::AnswerDropped,
            &ask.id,
            &chosen.id,
            "another id".to_owned(),
        );
        return AttemptEnd::MayHaveRun("an answer of another request".to_owned());
    }
    let sealed = head
        .headers
        .contains_key(&gateway.config.dialect.headers.seal);
    if head.status.is_success() && !sealed {
        return AttemptEnd::MayHaveRun("an answer without the target's seal".to_owned());
    }
    if ask.route.kind == RouteKind::Streaming && head.status.is_success() {
        let end = first_events(
            gateway,
            ask,
            head,
            body,
            lease,
            attempt.placement.as_ref(),
            sent,
        )
        .await;
        return match end {
            Ok((status, headers, first, rest, splitter, lease)) => {
                gateway
                    .targets
                    .borrow_mut()
                    .note_success(attempt.service, &chosen.id);
                AttemptEnd::Events(Box::new(EventStream {
                    status,
                    headers,
                    first,
                    rest,
                    splitter,
                    lease,
                    _in_flight: in_flight,
                    _placement: attempt.placement.take(),
                }))
            }
            Err(end) => end,
        };
    }
    match body.collect().await {
        Ok(body) => {
            lease.finish(&head.headers);
            if head.status.is_server_error() {
                let cause = format!("status {}", head.status.as_u16());
                gateway.note_target_failure(attempt.service, &chosen.id, &cause);
            } else {
                gateway
                    .targets
                    .borrow_mut()
                    .note_success(attempt.service, &chosen.id);
            }
            AttemptEnd::Whole(head.status, head.headers, body.to_bytes())
        }
        Err(error) => AttemptEnd::MayHaveRun(format!("answer cut short: {error}")),
    }
}

fn read_refusal(
    gateway: &Gateway,
    attempt: &Attempt<'_>,
    head: &http::response::Parts,
) -> Option<AttemptEnd> {
    let dialect = &gateway.config.dialect;
    if head.status == dialect.targets.other_target {
        gateway
            .targets
            .borrow_mut()
            .remove(attempt.service, &attempt.chosen.id);
        let cause = "another target has the address".to_owned();
        return Some(AttemptEnd::NotRun {
            cause,
            arrived: true,
        });
    }
    if head.headers.contains_key(&dialect.headers.not_run) {
        let cause = format!("refused with status {}", head.status.as_u16());
        return Some(AttemptEnd::NotRun {
            cause,
            arrived: true,
        });
    }
    None
}

type FirstEvents = (StatusCode, HeaderMap, Bytes, Incoming, EventSplitter, Lease);

/// Waits for the first whole event. An answer that ends before it is passed on as it is.
async fn first_events(
    gateway: &Gateway,
    ask: &Ask,
    head: http::response::Parts,
    mut body: Incoming,
    lease: Lease,
    placement: Option<&Placement>,
    sent: Instant,
) -> Result<FirstEvents, AttemptEnd> {
    let mut splitter = EventSplitter::default();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let Some(first) = frame.data_ref().and_then(|bytes| splitter.push(bytes)) else {
                    continue;
                };
                if let Some(placement) = placement {
                    placement.note_read();
                }
                if let Some(prompt) = &ask.prompt {
                    let unshared = prompt.tokens_in.saturating_sub(prompt.shared_tokens);
                    gateway.engines.borrow_mut().learn(unshared, sent.elapsed());
                }
                return Ok((head.status, head.headers, first, body, splitter, lease));
            }
            Some(Err(error)) => {
                return Err(AttemptEnd::MayHaveRun(format!("stream cut short: {error}")));
            }
            None => {
                lease.finish(&head.headers);
                return Err(AttemptEnd::Whole(
                    head.status,
                    head.headers,
                    splitter.rest(),
                ));
            }
        }
    }
}
