//! Passes a stream of events on to the caller, and goes on at another target where that is allowed.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::BodyExt;
use linnet_telemetry::EventCode;
use tokio::time::timeout;

use crate::attempt::{Attempt, AttemptOutcome, EventStream, send_attempt};
use crate::body::IncompleteResponse;
use crate::caller_request::CallerRequest;
use crate::events::last_event_id;
use crate::forward::take_retry;
use crate::graph::RequestResults;
use crate::message_heads::{build_response, has_body_framing};
use crate::rollouts::AnswerQuality;
use crate::target::Chosen;
use crate::target_selection::{ExcludedTargets, select_or_await_target};
use crate::turn::{RunTurn, take_turn};
use crate::upstream::is_peer_disconnect;
use crate::{Gateway, ResponseBody};

/// What a stream needs to go on.
pub(crate) struct StreamRelay {
    gateway: Rc<Gateway>,
    request: Rc<CallerRequest>,
    service: String,
    chosen: Chosen,
    /// Kept where the stream may have to begin anew elsewhere.
    results: Option<RequestResults>,
    tried: Vec<String>,
    attempts: u32,
    /// About when the stream began at its target.
    sent: Instant,
    last_event: Option<String>,
    events: u64,
    /// Whether its end has a line in the log.
    ended: bool,
    /// The leave to run that it needed.
    run_permit: Option<RunTurn>,
}

// The HTTP library drops a stream whose caller has closed the connection.
impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.ended {
            let outcome = "outcome=the caller left its stream";
            self.record(EventCode::RequestCancelled, outcome);
        }
    }
}

impl StreamRelay {
    pub(crate) fn new(
        gateway: &Rc<Gateway>,
        request: &Rc<CallerRequest>,
        service: String,
        chosen: Chosen,
        results: Option<RequestResults>,
        attempts: u32,
    ) -> Self {
        let may_resume = request.route.may_repeat() && attempts < request.route.max_attempts;
        Self {
            gateway: gateway.clone(),
            request: request.clone(),
            service,
            tried: vec![chosen.id.clone()],
            chosen,
            // The target has taken the results with its first event.
            results: results.filter(|_| may_resume),
            attempts,
            sent: Instant::now(),
            last_event: None,
            events: 0,
            ended: false,
            run_permit: None,
        }
    }

    /// Sets the leave to run that it has.
    pub(crate) fn with_run_permit(mut self, run_permit: Option<RunTurn>) -> Self {
        self.run_permit = run_permit;
        self
    }

    fn record_events(&mut self, events: &Bytes) {
        self.events += 1;
        if let Some(id) = last_event_id(events) {
            self.last_event = Some(id);
        }
    }

    fn record(&self, code: EventCode, outcome: &str) {
        let detail = format!(
            "route={} chunks={} last_event={} took_ms={} {outcome}",
            self.request.route.name,
            self.events,
            self.last_event.as_deref().unwrap_or("-"),
            self.request.arrived_at.elapsed().as_millis()
        );
        self.gateway
            .record_request_event(code, &self.request.id, &self.chosen.id, detail);
    }

    /// Writes the line of its end.
    fn finish(&mut self, code: EventCode, outcome: &str) {
        self.ended = true;
        self.record(code, outcome);
    }

    /// Notes that the target broke the stream off.
    async fn probe_target(&self) {
        let (service, chosen) = (&self.service, &self.chosen);
        self.gateway
            .note_break(service, chosen, &self.request, self.sent)
            .await;
    }

    /// Finds another target that goes on with the stream.
    async fn resume(&mut self, cause: &str) -> Option<Box<EventStream>> {
        let (service, target) = (&self.service, &self.chosen.id);
        self.gateway.record_target_failure(service, target, cause);
        let route = &self.request.route.name;
        self.gateway
            .count_answer(service, target, route, AnswerQuality::Failed);
        while self.request.route.may_repeat()
            && self.attempts < self.request.route.max_attempts
            && take_turn(&self.gateway, &self.request, &mut self.run_permit)
                .await
                .is_ok()
            && take_retry(&self.gateway, &self.service)
        {
            self.attempts += 1;
            self.run_permit.iter_mut().for_each(RunTurn::note_sending);
            if let (chosen, AttemptOutcome::Streaming(stream)) = self.try_next_target().await? {
                self.chosen = chosen;
                self.sent = Instant::now();
                self.record(EventCode::StreamResumed, &format!("cause={cause}"));
                return Some(stream);
            }
        }
        None
    }

    /// Sends the request to another target, which is to go on after the last event; nothing where there is none.
    async fn try_next_target(&mut self) -> Option<(Chosen, AttemptOutcome)> {
        loop {
            let (gateway, results) = (&self.gateway, self.results.as_ref());
            let excluded = ExcludedTargets {
                tried: &self.tried,
                rate_limited: false,
            };
            let next =
                select_or_await_target(gateway, &self.service, &self.request, excluded, results)
                    .await;
            let (chosen, placement) = next.ok()?;
            let attempt = Attempt {
                service: &self.service,
                chosen: &chosen,
                placement,
                results,
                last_event: self.last_event.as_deref(),
            };
            let outcome = send_attempt(gateway, &self.request, attempt, false).await;
            self.tried.push(chosen.id.clone());
            if !matches!(outcome, AttemptOutcome::Withheld) {
                return Some((chosen, outcome));
            }
        }
    }
}

/// Where a stream stands.
enum RelayState {
    /// Events that are to be handed out before more are read.
    FirstEvents(StreamRelay, Box<EventStream>),
    /// Events are to be read.
    Reading(StreamRelay, Box<EventStream>),
    /// It has ended.
    Ended,
}

/// Answers with a stream. The head is that of the first target, whichever goes on later.
pub(crate) fn relay_stream(relay: StreamRelay, stream: Box<EventStream>) -> Response<ResponseBody> {
    let (status, headers) = (stream.status, stream.headers.clone());
    let chunks = stream::unfold(RelayState::FirstEvents(relay, stream), next_chunk);
    build_response(status, &headers, ResponseBody::Stream(Box::pin(chunks)))
}

async fn next_chunk(state: RelayState) -> Option<(Result<Bytes, IncompleteResponse>, RelayState)> {
    let (mut relay, mut stream) = match state {
        RelayState::FirstEvents(mut relay, mut stream) => {
            let first = std::mem::take(&mut stream.first);
            relay.record_events(&first);
            return Some((Ok(first), RelayState::Reading(relay, stream)));
        }
        RelayState::Reading(relay, stream) => (relay, stream),
        RelayState::Ended => return None,
    };
    let deadline = relay
        .request
        .deadline
        .saturating_duration_since(Instant::now());
    match timeout(deadline, read_events(&mut stream)).await {
        Ok(Ok(Some(events))) => {
            relay.record_events(&events);
            Some((Ok(events), RelayState::Reading(relay, stream)))
        }
        Ok(Ok(None)) => {
            let EventStream { lease, headers, .. } = *stream;
            lease.release(&headers);
            // The end of a target looks like the end of an answer that ends with its connection.
            if has_body_framing(&headers) {
                relay
                    .gateway
                    .note_whole_run(&relay.request, &relay.chosen.id);
            } else {
                relay.probe_target().await;
            }
            relay.finish(EventCode::RequestFinished, "outcome=stream ended");
            None
        }
        Ok(Err(error)) => {
            if is_peer_disconnect(&error) {
                relay.probe_target().await;
            }
            resume_or_abort(relay, stream, &format!("stream cut short: {error}")).await
        }
        Err(_) => {
            relay.finish(EventCode::RequestFailed, "outcome=timed out in its stream");
            Some((Err(IncompleteResponse), RelayState::Ended))
        }
    }
}

async fn resume_or_abort(
    mut relay: StreamRelay,
    stream: Box<EventStream>,
    cause: &str,
) -> Option<(Result<Bytes, IncompleteResponse>, RelayState)> {
    drop(stream);
    match relay.resume(cause).await {
        Some(mut stream) => {
            let first = std::mem::take(&mut stream.first);
            relay.record_events(&first);
            Some((Ok(first), RelayState::Reading(relay, stream)))
        }
        None => {
            relay.finish(
                EventCode::RequestFailed,
                &format!("outcome=stream cut cause={cause}"),
            );
            Some((Err(IncompleteResponse), RelayState::Ended))
        }
    }
}

/// Reads until an event is whole; nothing at the end of the stream.
async fn read_events(stream: &mut EventStream) -> Result<Option<Bytes>, hyper::Error> {
    loop {
        match stream.rest.frame().await {
            Some(Ok(frame)) => {
                let bytes = frame.data_ref().map(|bytes| stream.splitter.push(bytes));
                if let Some(Some(events)) = bytes {
                    return Ok(Some(events));
                }
            }
            Some(Err(error)) => return Err(error),
            None => {
                let rest = stream.splitter.rest();
                return Ok((!rest.is_empty()).then_some(rest));
            }
        }
    }
}
