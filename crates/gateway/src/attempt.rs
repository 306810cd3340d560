//! One attempt to run a request at one target.

mod first_event;
mod outcome;
mod retry_wait;

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::HeaderValue;
use http_body::Body;
use linnet_clock::BootInstant;
use linnet_routing::RouteKind;
use tokio::time::timeout;

pub(crate) use outcome::{AttemptOutcome, CompleteResponse, EventStream};

use first_event::await_first_event;
use retry_wait::{time_limit, wait_for_retry};

use crate::Gateway;
use crate::body_framing::BodyFraming;
use crate::caller_request::CallerRequest;
use crate::event_cursor::EventCursor;
use crate::events::{has_event_lines, is_event_stream};
use crate::graph::RequestResults;
use crate::in_flight::InFlightGuard;
use crate::incarnation::IncarnationCheck;
use crate::incomplete_answer::IncompleteCause;
use crate::message_heads::{TargetHeaders, build_target_request};
use crate::metrics::BodyEnd;
use crate::notice::parse_notice;
use crate::response_body::{BodyError, MAX_RESPONSE_BYTES, read_response_body};
use crate::send_error::SendError;
use crate::send_gate::SendKind;
use crate::send_permit::SendPermit;
use crate::service_availability::max_permit_wait;
use crate::stage_client::Placement;
use crate::target::ChosenTarget;
use crate::target_state::TargetState;
use crate::unframed_end::UnframedExchange;

/// An attempt that is about to be sent.
pub(crate) struct Attempt<'a> {
    pub(crate) service: &'a str,
    pub(crate) chosen: &'a ChosenTarget,
    /// Counts the prompt at the placer.
    pub(crate) placement: Option<Placement>,
    pub(crate) results: Option<&'a RequestResults>,
    /// Position of the caller in the stream.
    pub(crate) cursor: &'a EventCursor,
    /// Id of the event after which the target goes on, if this host resumes the stream.
    pub(crate) last_event: Option<HeaderValue>,
}

/// Sends a request to a target and waits for a complete response or for the first event.
/// `tried` are the targets before this one if another one may be tried after it; the attempt is then
/// given up after some time, once another one is granted.
pub(crate) async fn send_attempt(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    attempt: Attempt<'_>,
    tried: Option<&[String]>,
) -> AttemptOutcome {
    let mut in_flight = InFlightGuard::new(gateway, attempt.service, &attempt.chosen.id, request);
    let Some(permit) = acquire_permit(gateway, request, &attempt).await else {
        in_flight.discard_timing();
        return AttemptOutcome::Withheld;
    };
    in_flight.mark_sent();
    let time_left = request.time_left();
    let time_limit = match tried {
        Some(_) => time_limit(request, &attempt, time_left),
        None => time_left,
    };
    let (service, chosen, sent) = (attempt.service, attempt.chosen, Instant::now());
    let facts = attempt.placement.as_ref().and_then(Placement::estimate);
    let mut exchange = pin!(async {
        let guards = (in_flight, permit);
        let outcome = send_and_receive(gateway, request, attempt, time_left, guards).await;
        let took = sent.elapsed();
        let outcome = confirm_end(gateway, request, (service, chosen), sent, outcome).await;
        (outcome, took)
    });
    let mut ended = timeout(time_limit, &mut exchange).await.ok();
    if ended.is_none() {
        let cause = silence_cause(time_limit);
        gateway.record_target_failure(service, &chosen.id, &cause);
        if let Some(tried) = tried {
            ended = tokio::select! {
                ended = &mut exchange => Some(ended),
                () = wait_for_retry(gateway, service, request, chosen, tried) => None,
            };
        }
    }
    let (outcome, took) = ended.unwrap_or_else(|| {
        let waited = sent.elapsed();
        let kind = IncompleteCause::Silence;
        (
            AttemptOutcome::incomplete(kind, silence_cause(waited)),
            waited,
        )
    });
    gateway.count_attempt(request, (service, chosen), &outcome, took, facts);
    if let AttemptOutcome::MayHaveRun {
        kind: IncompleteCause::Connection,
        ..
    } = outcome
    {
        gateway
            .probe_after_break((service, chosen), request, sent)
            .await;
    }
    outcome
}

/// Acquires a send permit under the target's rate limit; returns `None` if none is issued in time.
async fn acquire_permit(
    gateway: &Gateway,
    request: &CallerRequest,
    attempt: &Attempt<'_>,
) -> Option<SendPermit> {
    let target = &attempt.chosen.id;
    let max_wait = max_permit_wait(gateway, attempt.service, request, target);
    let permit = gateway.notices.rates.acquire_permit(target, max_wait).await;
    if permit.is_none() {
        gateway.notices.count_withheld(target);
    }
    permit
}

fn silence_cause(waited: Duration) -> String {
    format!("no response within {} ms", waited.as_millis())
}

/// Finds out whether a response that ended with its connection is complete.
async fn confirm_end(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    (service, chosen): (&str, &ChosenTarget),
    sent: Instant,
    mut outcome: AttemptOutcome,
) -> AttemptOutcome {
    let AttemptOutcome::Complete(response) = &mut outcome else {
        return outcome;
    };
    let Some(unframed) = response.unframed.take() else {
        return outcome;
    };
    let times = (sent, request.deadline);
    let state = gateway
        .judge_unframed_end((service, chosen), request, times, &unframed)
        .await;
    let kind = match state {
        TargetState::Alive => {
            response.is_confirmed = true;
            return outcome;
        }
        TargetState::Unknown => {
            gateway.record_target_failure(service, &chosen.id, state.close_cause());
            IncompleteCause::Silence
        }
        TargetState::Crashed | TargetState::Unproved => IncompleteCause::TargetEnded,
    };
    AttemptOutcome::incomplete(kind, state.close_cause())
}

async fn send_and_receive(
    gateway: &Rc<Gateway>,
    request: &CallerRequest,
    mut attempt: Attempt<'_>,
    time_left: Duration,
    (mut in_flight, permit): (InFlightGuard, SendPermit),
) -> AttemptOutcome {
    let (chosen, protocol) = (attempt.chosen, &gateway.config.protocol);
    let additions = TargetHeaders {
        expected_target: &chosen.id,
        results: attempt.results.map(|results| results.handles().join(",")),
        last_event: attempt.last_event.clone(),
        with_priority: request.prompt.is_some(),
    };
    let outgoing = match build_target_request(protocol, request, &additions, time_left) {
        Ok(outgoing) => outgoing,
        Err(error) => {
            let cause = format!("cannot build the request: {error}");
            return AttemptOutcome::NotRun {
                cause,
                inputs_gone: false,
            };
        }
    };
    let sent = Instant::now();
    let sent_at = BootInstant::now();
    let check = IncarnationCheck::new(gateway, request, attempt.service, chosen);
    let gate = gateway.notices.gate(&chosen.id, SendKind::Work);
    let gate = gate
        .with_permit(permit)
        .with_sends(&request.sends, &gateway.metrics)
        .with_incarnation(check.as_ref())
        .with_may_be_unframed(gateway.upstream.may_be_unframed(attempt.service));
    let (response, lease) = match gateway.upstream.send(chosen.address, outgoing, gate).await {
        Ok(received) => received,
        Err(SendError::Withheld | SendError::Unproved) => {
            in_flight.discard_timing();
            return AttemptOutcome::Withheld;
        }
        Err(SendError::OverBudget) => {
            in_flight.discard_timing();
            return AttemptOutcome::OverBudget;
        }
        Err(SendError::NotSent(cause)) => {
            gateway.record_unreachable(attempt.service, &chosen.id, &cause);
            if let Some(placement) = &attempt.placement {
                placement.report_unreachable(attempt.service, &chosen.id);
            }
            gateway.probe_after_refusal((attempt.service, chosen)).await;
            return AttemptOutcome::NotRun {
                cause,
                inputs_gone: false,
            };
        }
        // Other hosts may reach the target, so the placer is not told.
        Err(SendError::NoPath(cause)) => {
            gateway.record_unreachable(attempt.service, &chosen.id, &cause);
            return AttemptOutcome::NotRun {
                cause,
                inputs_gone: false,
            };
        }
        Err(SendError::MayHaveRun { cause, broken }) => {
            let kind = match broken {
                true => IncompleteCause::Connection,
                false => IncompleteCause::Unusable,
            };
            return AttemptOutcome::incomplete(kind, cause);
        }
        Err(SendError::Flood(cause)) => {
            return AttemptOutcome::incomplete(IncompleteCause::Flood, cause);
        }
        Err(error @ SendError::Foreign(_)) => {
            return AttemptOutcome::unusable(error.to_string());
        }
    };
    let incarnation = check.and_then(IncarnationCheck::into_proved);
    let (head, body) = response.into_parts();
    let notice = parse_notice(protocol, &head);
    gateway.notices.record_response(&chosen.id, notice, sent_at);
    if notice.stops_work() {
        hint_placer(gateway, &attempt);
    }
    if let Some(not_run) = handle_not_run(gateway, &attempt, &head) {
        // The head is the refusal; the body only decides whether the connection can be used again.
        lease.release_after(body, head.headers);
        return not_run;
    }
    // A target that refuses a request may not have read its id, but one that ran it has.
    if !lease.has_echoed_id() {
        return AttemptOutcome::unusable("an answer without a request id");
    }
    let has_seal = head.headers.contains_key(&protocol.headers.seal);
    if head.status.is_success() && !has_seal {
        return AttemptOutcome::unusable("an answer without the target's seal");
    }
    let framing = BodyFraming::of_response(&head.headers, body.is_end_stream());
    gateway.upstream.record_framing(attempt.service, framing);
    let unframed = match framing {
        BodyFraming::Close => Some(Box::new(UnframedExchange::new(&lease))),
        BodyFraming::Length | BodyFraming::Chunks => None,
    };
    let is_streamed = request.route.kind == RouteKind::Streaming && is_event_stream(&head.headers);
    if is_streamed && head.status.is_success() {
        let resumes = attempt.last_event.is_some()
            || request.headers.contains_key(&protocol.headers.last_event);
        let outcome = await_first_event(
            gateway,
            request,
            head,
            (body, framing),
            lease,
            attempt.placement.as_ref(),
            sent,
        )
        .await;
        if let Ok((_, _, first, ..)) = &outcome
            && let Some(disorder) = attempt.cursor.check_run(first)
        {
            gateway.metrics.count_body(framing, BodyEnd::Broken);
            return AttemptOutcome::unusable(disorder.to_string());
        }
        return match outcome {
            Ok((status, headers, first, rest, (splitter, held), lease)) => {
                gateway
                    .targets
                    .borrow_mut()
                    .record_success(attempt.service, &chosen.id);
                AttemptOutcome::Streaming(Box::new(EventStream {
                    status,
                    framing,
                    unframed,
                    headers,
                    first,
                    rest,
                    incarnation,
                    splitter,
                    held,
                    partial_bytes: 0,
                    lease,
                    _in_flight: in_flight,
                    _placement: attempt.placement.take(),
                }))
            }
            // A stream that resumes may have no further event; any other one has at least one.
            Err(AttemptOutcome::Complete(response))
                if !has_event_lines(&response.body) && !response.is_confirmed && !resumes =>
            {
                let cause = "connection closed before the first event";
                AttemptOutcome::incomplete(IncompleteCause::Connection, cause)
            }
            Err(AttemptOutcome::Complete(response)) => AttemptOutcome::Complete(CompleteResponse {
                unframed,
                ..response
            }),
            Err(outcome) => outcome,
        };
    }
    let held = gateway.upstream.held();
    match read_response_body(body, MAX_RESPONSE_BYTES, held).await {
        Ok(body) => {
            gateway.metrics.count_body(framing, BodyEnd::Clean);
            lease.release(&head.headers);
            if head.status.is_server_error() {
                let cause = format!("status {}", head.status.as_u16());
                gateway.record_target_failure(attempt.service, &chosen.id, &cause);
            } else {
                gateway
                    .targets
                    .borrow_mut()
                    .record_success(attempt.service, &chosen.id);
            }
            AttemptOutcome::Complete(CompleteResponse {
                status: head.status,
                headers: head.headers,
                body,
                is_confirmed: framing != BodyFraming::Close,
                unframed,
            })
        }
        Err(BodyError::Broken(error)) => {
            gateway.metrics.count_body(framing, BodyEnd::Broken);
            AttemptOutcome::cut_short("answer", &error)
        }
        Err(error @ (BodyError::TooLong(_) | BodyError::ShareExceeded(_))) => {
            gateway.metrics.count_body(framing, BodyEnd::TooLong);
            AttemptOutcome::incomplete(IncompleteCause::Flood, format!("answer {error}"))
        }
    }
}

/// Asks the placer to avoid an engine for a short while, on behalf of all entry hosts. To the
/// placer an engine that refuses prompts looks idle: with three entry hosts and two engines that
/// refused for 3 s, each engine received 4 to 6 prompts, and 6 to 8 without this hint (three
/// runs each). The engine may accept prompts from other entry hosts, so this is only a hint.
fn hint_placer(gateway: &Gateway, attempt: &Attempt<'_>) {
    let Some(placement) = &attempt.placement else {
        return;
    };
    let (service, engine) = (attempt.service, attempt.chosen.id.as_str());
    placement.report_unreachable(service, engine);
    // This host may be the placer itself, in which case no message is sent.
    let mut targets = gateway.targets.borrow_mut();
    targets.apply_peer_unreachable(service, engine, Instant::now());
}

fn handle_not_run(
    gateway: &Gateway,
    attempt: &Attempt<'_>,
    head: &http::response::Parts,
) -> Option<AttemptOutcome> {
    let protocol = &gateway.config.protocol;
    if head.status == protocol.targets.other_target {
        gateway
            .targets
            .borrow_mut()
            .remove(attempt.service, &attempt.chosen.id);
        gateway.directory.borrow_mut().relist(&attempt.chosen.id);
        let cause = "another target or incarnation runs at the address".to_owned();
        return Some(AttemptOutcome::NotRun {
            cause,
            inputs_gone: false,
        });
    }
    if head.headers.contains_key(&protocol.headers.not_run) {
        let cause = format!("refused with status {}", head.status.as_u16());
        let inputs_gone = head.status == protocol.targets.inputs_gone;
        if !inputs_gone {
            let mut targets = gateway.targets.borrow_mut();
            targets.record_refusal(attempt.service, &attempt.chosen.id, Instant::now());
        }
        return Some(AttemptOutcome::NotRun { cause, inputs_gone });
    }
    None
}
