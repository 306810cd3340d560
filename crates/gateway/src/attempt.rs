//! One sending of a request to one target.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use linnet_clock::BootInstant;
use linnet_routing::RouteKind;
use linnet_telemetry::EventCode;
use tokio::time::timeout;

use crate::Gateway;
use crate::answer::{Addition, belongs_to, request_for};
use crate::ask::Ask;
use crate::closed_service::rate_patience;
use crate::events::EventSplitter;
use crate::graph::RequestResults;
use crate::in_flight::InFlightGuard;
use crate::notice::parse_notice;
use crate::send_gate::SendKind;
use crate::send_permit::SendPermit;
use crate::stage_client::Placement;
use crate::target::ChosenTarget;
use crate::upstream::{Lease, SendError, is_break};

/// The least time that an attempt gets before a repeatable request goes to another target.
const LEAST_ATTEMPT: Duration = Duration::from_millis(250);

/// Part of the time that is left after which a stream that may be resumed goes to another engine when
/// no event has come. Engines that hang held such requests until their deadline, also where another
/// one was free. An engine that is only late is worth waiting for longer than its prompt was
/// expected to take, since another one would read the prompt anew.
const SILENT_STREAM_PART: u32 = 2;
const LATE_STREAM_STRETCH: u32 = 3;

/// How one sending to a target ended.
pub(crate) enum AttemptEnd {
    /// A whole answer, whatever its status.
    Whole(StatusCode, HeaderMap, Bytes),
    /// An answer that comes in events; the first ones are whole.
    Events(Box<EventStream>),
    /// The target did not run it.
    NotRun {
        cause: String,
        /// Whether the request reached the target.
        arrived: bool,
        /// Whether results that it takes are gone, so that no target can run it.
        inputs_gone: bool,
    },
    /// Nothing was sent: the target wants nothing from this host since it was chosen.
    Withheld,
    /// It may have run, and there is no usable answer.
    MayHaveRun {
        cause: String,
        /// Whether the target ended the connection.
        broke: bool,
    },
}

impl AttemptEnd {
    fn unusable(cause: impl Into<String>) -> Self {
        Self::MayHaveRun {
            cause: cause.into(),
            broke: false,
        }
    }

    fn cut(what: &str, error: &hyper::Error) -> Self {
        Self::MayHaveRun {
            cause: format!("{what} cut short: {error}"),
            broke: is_break(error),
        }
    }
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
    pub(crate) _in_flight: InFlightGuard,
    /// Counts the prompt at the host that placed it.
    pub(crate) _placement: Option<Placement>,
}

/// One sending to one target.
pub(crate) struct Attempt<'a> {
    pub(crate) service: &'a str,
    pub(crate) chosen: &'a ChosenTarget,
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
    let mut in_flight = InFlightGuard::new(gateway, attempt.service, &attempt.chosen.id, ask);
    let Some(permit) = take_leave(gateway, ask, &attempt).await else {
        in_flight.discard_timing();
        return AttemptEnd::Withheld;
    };
    in_flight.mark_sent();
    let left = ask.time_left();
    let bound = if more {
        patience(ask, &attempt, left)
    } else {
        left
    };
    let (service, chosen, sent) = (attempt.service, attempt.chosen, Instant::now());
    let facts = attempt.placement.as_ref().and_then(Placement::facts);
    let exchanged = exchange(gateway, ask, attempt, left, (in_flight, permit));
    let end = timeout(bound, exchanged).await;
    let end = end.unwrap_or_else(|_| {
        AttemptEnd::unusable(format!("no answer within {} ms", bound.as_millis()))
    });
    gateway.count_attempt(ask, (service, chosen), &end, sent.elapsed(), facts);
    if let AttemptEnd::MayHaveRun { broke: true, .. } = end {
        gateway.probe_after_break(service, chosen, ask, sent).await;
    }
    end
}

/// Takes leave for a sending by the rate of its target; nothing where there is none soon enough.
async fn take_leave(gateway: &Gateway, ask: &Ask, attempt: &Attempt<'_>) -> Option<SendPermit> {
    let target = &attempt.chosen.id;
    let within = rate_patience(gateway, attempt.service, ask, target);
    let permit = gateway.notices.rates.acquire_permit(target, within).await;
    if permit.is_none() {
        gateway.notices.count_withheld(target);
    }
    permit
}

/// How long an answer, or the first event of a stream, is waited for where another target may be
/// tried.
fn patience(ask: &Ask, attempt: &Attempt<'_>, left: Duration) -> Duration {
    if ask.route.kind != RouteKind::Streaming {
        let usual = Duration::from_millis(ask.route.objective_ms * 2);
        return usual.clamp(LEAST_ATTEMPT, (left / 2).max(LEAST_ATTEMPT));
    }
    let facts = attempt.placement.as_ref().and_then(Placement::facts);
    let expected_ms = facts.map_or(0, |facts| u64::from(facts.expected_ms));
    let late = Duration::from_millis(expected_ms) * LATE_STREAM_STRETCH;
    late.max(left / SILENT_STREAM_PART).min(left)
}

async fn exchange(
    gateway: &Rc<Gateway>,
    ask: &Ask,
    mut attempt: Attempt<'_>,
    left: Duration,
    (mut in_flight, permit): (InFlightGuard, SendPermit),
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
                inputs_gone: false,
            };
        }
    };
    let sent = Instant::now();
    let asked = BootInstant::now();
    let gate = gateway.notices.gate(&chosen.id, SendKind::Work);
    let gate = gate.with_permit(permit);
    let (answer, lease) = match gateway.pool.send(chosen.address, request, gate).await {
        Ok(answered) => answered,
        Err(SendError::Withheld) => {
            in_flight.discard_timing();
            return AttemptEnd::Withheld;
        }
        Err(SendError::NotSent(cause)) => {
            gateway.note_unreachable(attempt.service, &chosen.id, &cause);
            if let Some(placement) = &attempt.placement {
                placement.note_unreachable(attempt.service, &chosen.id);
            }
            return AttemptEnd::NotRun {
                cause,
                arrived: false,
                inputs_gone: false,
            };
        }
        Err(SendError::MayHaveRun { cause, broke }) => {
            return AttemptEnd::MayHaveRun { cause, broke };
        }
    };
    let (head, body) = answer.into_parts();
    let notice = parse_notice(&gateway.config.dialect, &head, Some(&ask.id));
    gateway.notices.record_response(&chosen.id, notice, asked);
    if notice.stops_work() {
        hint_placer(gateway, &attempt);
    }
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
        return AttemptEnd::unusable("an answer of another request");
    }
    let sealed = head
        .headers
        .contains_key(&gateway.config.dialect.headers.seal);
    if head.status.is_success() && !sealed {
        return AttemptEnd::unusable("an answer without the target's seal");
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
                    .record_success(attempt.service, &chosen.id);
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
                    .record_success(attempt.service, &chosen.id);
            }
            AttemptEnd::Whole(head.status, head.headers, body.to_bytes())
        }
        Err(error) => AttemptEnd::cut("answer", &error),
    }
}

/// Has the host that places prompts pass an engine over for a short while, for all hosts. An engine that turns
/// prompts away looks idle to it: of two that did so for 3 s, with three hosts, each was sent 4 to 6 prompts,
/// and 6 to 8 without this (three runs each). It may take prompts of others, so it is no more than a hint.
fn hint_placer(gateway: &Gateway, attempt: &Attempt<'_>) {
    let Some(placement) = &attempt.placement else {
        return;
    };
    let (service, engine) = (attempt.service, attempt.chosen.id.as_str());
    placement.note_unreachable(service, engine);
    // Where this host places itself.
    let mut targets = gateway.targets.borrow_mut();
    targets.apply_peer_unreachable(service, engine, Instant::now());
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
        gateway.view.borrow_mut().list_again(&attempt.chosen.id);
        let cause = "another target has the address".to_owned();
        return Some(AttemptEnd::NotRun {
            cause,
            arrived: true,
            inputs_gone: false,
        });
    }
    if head.headers.contains_key(&dialect.headers.not_run) {
        let cause = format!("refused with status {}", head.status.as_u16());
        let inputs_gone = head.status == dialect.targets.inputs_gone;
        if !inputs_gone {
            let mut targets = gateway.targets.borrow_mut();
            targets.record_refusal(attempt.service, &attempt.chosen.id, Instant::now());
        }
        return Some(AttemptEnd::NotRun {
            cause,
            arrived: true,
            inputs_gone,
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
                    let unshared = prompt.own_tokens();
                    gateway.engines.borrow_mut().learn(unshared, sent.elapsed());
                }
                return Ok((head.status, head.headers, first, body, splitter, lease));
            }
            Some(Err(error)) => {
                return Err(AttemptEnd::cut("stream", &error));
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
