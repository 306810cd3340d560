//! Passes a stream of events on to the caller, and goes on at another target where that is allowed.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::BodyExt;
use linnet_telemetry::EventCode;
use tokio::time::timeout;

use crate::answer::{answer_of, is_framed};
use crate::ask::Ask;
use crate::attempt::{Attempt, AttemptEnd, EventStream, send_attempt};
use crate::body::BrokenAnswer;
use crate::choose::{PassedTargets, next_target};
use crate::events::last_event_id;
use crate::forward::take_repeat;
use crate::graph::RequestResults;
use crate::rollouts::AnswerQuality;
use crate::target::Chosen;
use crate::turn::{RunTurn, take_turn};
use crate::upstream::is_break;
use crate::{AnswerBody, Gateway};

/// What a stream needs to go on.
pub(crate) struct Relay {
    gateway: Rc<Gateway>,
    ask: Rc<Ask>,
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
    turn: Option<RunTurn>,
}

// The HTTP library drops a stream whose caller has closed the connection.
impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            let outcome = "outcome=the caller left its stream";
            self.note(EventCode::RequestCancelled, outcome);
        }
    }
}

impl Relay {
    pub(crate) fn new(
        gateway: &Rc<Gateway>,
        ask: &Rc<Ask>,
        service: String,
        chosen: Chosen,
        results: Option<RequestResults>,
        attempts: u32,
    ) -> Self {
        let keeps = ask.route.is_repeatable() && attempts < ask.route.max_attempts;
        Self {
            gateway: gateway.clone(),
            ask: ask.clone(),
            service,
            tried: vec![chosen.id.clone()],
            chosen,
            // The target has taken the results with its first event.
            results: results.filter(|_| keeps),
            attempts,
            sent: Instant::now(),
            last_event: None,
            events: 0,
            ended: false,
            turn: None,
        }
    }

    /// Sets the leave to run that it has.
    pub(crate) fn with_turn(mut self, turn: Option<RunTurn>) -> Self {
        self.turn = turn;
        self
    }

    fn take(&mut self, events: &Bytes) {
        self.events += 1;
        if let Some(id) = last_event_id(events) {
            self.last_event = Some(id);
        }
    }

    fn note(&self, code: EventCode, outcome: &str) {
        let detail = format!(
            "route={} chunks={} last_event={} took_ms={} {outcome}",
            self.ask.route.name,
            self.events,
            self.last_event.as_deref().unwrap_or("-"),
            self.ask.arrived.elapsed().as_millis()
        );
        self.gateway
            .note_request(code, &self.ask.id, &self.chosen.id, detail);
    }

    /// Writes the line of its end.
    fn end(&mut self, code: EventCode, outcome: &str) {
        self.ended = true;
        self.note(code, outcome);
    }

    /// Notes that the target broke the stream off.
    async fn note_break(&self) {
        let (service, chosen) = (&self.service, &self.chosen);
        self.gateway
            .note_break(service, chosen, &self.ask, self.sent)
            .await;
    }

    /// Finds another target that goes on with the stream.
    async fn resume(&mut self, cause: &str) -> Option<Box<EventStream>> {
        let (service, target) = (&self.service, &self.chosen.id);
        self.gateway.note_target_failure(service, target, cause);
        let route = &self.ask.route.name;
        self.gateway
            .count_answer(service, target, route, AnswerQuality::Failed);
        while self.ask.route.is_repeatable()
            && self.attempts < self.ask.route.max_attempts
            && take_turn(&self.gateway, &self.ask, &mut self.turn)
                .await
                .is_ok()
            && take_repeat(&self.gateway, &self.service)
        {
            self.attempts += 1;
            self.turn.iter_mut().for_each(RunTurn::note_sending);
            if let (chosen, AttemptEnd::Events(stream)) = self.send_on().await? {
                self.chosen = chosen;
                self.sent = Instant::now();
                self.note(EventCode::StreamResumed, &format!("cause={cause}"));
                return Some(stream);
            }
        }
        None
    }

    /// Sends the request to another target, which is to go on after the last event; nothing where there is none.
    async fn send_on(&mut self) -> Option<(Chosen, AttemptEnd)> {
        loop {
            let (gateway, results) = (&self.gateway, self.results.as_ref());
            let passed = PassedTargets {
                tried: &self.tried,
                rated: false,
            };
            let next = next_target(gateway, &self.service, &self.ask, passed, results).await;
            let (chosen, placement) = next.ok()?;
            let attempt = Attempt {
                service: &self.service,
                chosen: &chosen,
                placement,
                results,
                last_event: self.last_event.as_deref(),
            };
            let end = send_attempt(gateway, &self.ask, attempt, false).await;
            self.tried.push(chosen.id.clone());
            if !matches!(end, AttemptEnd::Withheld) {
                return Some((chosen, end));
            }
        }
    }
}

/// Where a stream stands.
enum Stage {
    /// Events that are to be handed out before more are read.
    Holding(Relay, Box<EventStream>),
    /// Events are to be read.
    Reading(Relay, Box<EventStream>),
    /// It has ended.
    Ended,
}

/// Answers with a stream. The head is that of the first target, whichever goes on later.
pub(crate) fn relay_events(relay: Relay, stream: Box<EventStream>) -> Response<AnswerBody> {
    let (status, headers) = (stream.status, stream.headers.clone());
    let chunks = stream::unfold(Stage::Holding(relay, stream), next_chunk);
    answer_of(status, &headers, AnswerBody::Chunks(Box::pin(chunks)))
}

async fn next_chunk(stage: Stage) -> Option<(Result<Bytes, BrokenAnswer>, Stage)> {
    let (mut relay, mut stream) = match stage {
        Stage::Holding(mut relay, mut stream) => {
            let first = std::mem::take(&mut stream.first);
            relay.take(&first);
            return Some((Ok(first), Stage::Reading(relay, stream)));
        }
        Stage::Reading(relay, stream) => (relay, stream),
        Stage::Ended => return None,
    };
    let deadline = relay.ask.deadline.saturating_duration_since(Instant::now());
    match timeout(deadline, read_events(&mut stream)).await {
        Ok(Ok(Some(events))) => {
            relay.take(&events);
            Some((Ok(events), Stage::Reading(relay, stream)))
        }
        Ok(Ok(None)) => {
            let EventStream { lease, headers, .. } = *stream;
            lease.finish(&headers);
            // The end of a target looks like the end of an answer that ends with its connection.
            if is_framed(&headers) {
                relay.gateway.note_whole_run(&relay.ask, &relay.chosen.id);
            } else {
                relay.note_break().await;
            }
            relay.end(EventCode::RequestFinished, "outcome=stream ended");
            None
        }
        Ok(Err(error)) => {
            if is_break(&error) {
                relay.note_break().await;
            }
            go_on(relay, stream, &format!("stream cut short: {error}")).await
        }
        Err(_) => {
            relay.end(EventCode::RequestFailed, "outcome=timed out in its stream");
            Some((Err(BrokenAnswer), Stage::Ended))
        }
    }
}

async fn go_on(
    mut relay: Relay,
    stream: Box<EventStream>,
    cause: &str,
) -> Option<(Result<Bytes, BrokenAnswer>, Stage)> {
    drop(stream);
    match relay.resume(cause).await {
        Some(mut stream) => {
            let first = std::mem::take(&mut stream.first);
            relay.take(&first);
            Some((Ok(first), Stage::Reading(relay, stream)))
        }
        None => {
            relay.end(
                EventCode::RequestFailed,
                &format!("outcome=stream cut cause={cause}"),
            );
            Some((Err(BrokenAnswer), Stage::Ended))
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
