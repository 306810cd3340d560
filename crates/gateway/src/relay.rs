//! Relays a stream of events to the caller, and resumes it at another target if the route allows
//! that.

mod resumption;

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use derive_more::{Display, From};
use futures_util::stream;
use http::Response;
use http_body_util::BodyExt;
use linnet_telemetry::EventCode;
use tokio::time::timeout;

use crate::attempt::EventStream;
use crate::body::IncompleteResponse;
use crate::body_framing::BodyFraming;
use crate::caller_request::CallerRequest;
use crate::event_cursor::{EventCursor, EventDisorder};
use crate::events::{EventTooLong, first_event_id};
use crate::graph::RequestResults;
use crate::held_bytes::ShareExceeded;
use crate::message_heads::build_response;
use crate::metrics::BodyEnd;
use crate::part_suspects::AnswerRun;
use crate::prompt::describe_parts;
use crate::run_permit::RunPermits;
use crate::send_error::is_peer_disconnect;
use crate::stream_trace::{LogText, StreamEnd};
use crate::takeup_trace::TakeupEnd;
use crate::target::ChosenTarget;
use crate::target_state::TargetState;
use crate::{Gateway, ResponseBody};

use resumption::ResumeOutcome;

/// State of a relayed stream, with everything that resuming it needs.
pub(crate) struct StreamRelay {
    gateway: Rc<Gateway>,
    request: Rc<CallerRequest>,
    service: String,
    chosen: ChosenTarget,
    /// Retained if the stream may have to start again at another target.
    results: Option<RequestResults>,
    tried: Vec<String>,
    attempts: u32,
    /// Approximate time when the stream began at its target.
    sent: Instant,
    /// The present run, for the parts of the prompt.
    answer: AnswerRun,
    /// Position of the caller.
    cursor: EventCursor,
    /// What ends the present run, once the events before it are passed on.
    disorder: Option<EventDisorder>,
    /// First event of the present run that has an id.
    run_first: Option<String>,
    chunks: u64,
    /// Whether the end of the stream has been logged.
    ended: bool,
    /// The run permits of the request.
    run_permits: RunPermits,
}

// The HTTP library drops a stream when its caller closes the connection.
impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.ended {
            let outcome = "outcome=the caller left its stream";
            self.gateway.metrics.count_stream_end(StreamEnd::CallerLeft);
            self.record(EventCode::RequestCancelled, outcome);
        }
    }
}

impl StreamRelay {
    pub(crate) fn new(
        gateway: &Rc<Gateway>,
        request: &Rc<CallerRequest>,
        service: String,
        chosen: ChosenTarget,
        results: Option<RequestResults>,
        attempts: u32,
    ) -> Self {
        let may_resume = request.may_resume() && attempts < request.route.max_attempts;
        Self {
            gateway: gateway.clone(),
            request: request.clone(),
            service,
            tried: vec![chosen.id.clone()],
            chosen,
            // The target has consumed the results by the time of its first event.
            results: results.filter(|_| may_resume),
            attempts,
            sent: Instant::now(),
            answer: AnswerRun::new(),
            cursor: EventCursor::default(),
            disorder: None,
            run_first: None,
            chunks: 0,
            ended: false,
            run_permits: RunPermits::default(),
        }
    }

    /// Sets the run permits that the request holds.
    pub(crate) fn with_run_permits(mut self, run_permits: RunPermits) -> Self {
        self.run_permits = run_permits;
        self
    }

    /// Sets the position of the caller, which may take up a stream.
    pub(crate) fn with_cursor(mut self, cursor: EventCursor) -> Self {
        self.cursor = cursor;
        self
    }

    /// Returns whether another target may go on with the stream, if it gets a retry.
    fn may_resume(&self) -> bool {
        self.request.may_resume() && self.attempts < self.request.route.max_attempts
    }

    /// Returns those of the next events that may be passed on. The run ends at the first one that is
    /// out of order.
    fn admit_events(&mut self, mut events: Bytes) -> Bytes {
        let (accepted, disorder) = self.cursor.advance(&events);
        self.disorder = disorder;
        events.truncate(accepted);
        self.chunks += 1;
        // A part may crash targets late in its answers, so its trial counts at the end.
        if !self.run_permits.has_part_permit() {
            self.gateway
                .record_events(&self.service, &self.request, &self.chosen, &self.answer);
        }
        if self.run_first.is_none() {
            self.run_first = first_event_text(&events);
        }
        events
    }

    fn record(&self, code: EventCode, outcome: &str) {
        let detail = format!(
            "route={} account={} parts={} born={} target_version={} attempts={} run_first={} chunks={} last_event={} took_ms={} {outcome}",
            self.request.route.name,
            self.request.account.as_deref().unwrap_or("-"),
            describe_parts(self.request.prompt.as_deref()),
            self.chosen.born,
            LogText(&self.chosen.version),
            self.attempts,
            LogText(self.run_first.as_deref().unwrap_or_default()),
            self.chunks,
            LogText(&self.cursor.last_id()),
            self.request.arrived_at.elapsed().as_millis()
        );
        self.gateway
            .record_request_event(code, &self.request.id, &self.chosen.id, detail);
    }

    fn count_body(&self, stream: &EventStream, end: BodyEnd) {
        self.gateway.metrics.count_body(stream.framing, end);
    }

    /// Logs and counts the end of the stream.
    fn finish(&mut self, code: EventCode, end: StreamEnd, outcome: &str) {
        self.ended = true;
        self.gateway.record_run_time(&self.request);
        self.gateway.metrics.count_stream_end(end);
        self.request.end_takeup(match code {
            EventCode::RequestFinished => TakeupEnd::Complete,
            _ => TakeupEnd::Cut,
        });
        self.record(code, outcome);
    }

    /// Same as [`StreamRelay::finish`] for a stream that is cut.
    fn abort(&mut self, end: StreamEnd, outcome: &str) {
        let incomplete = self.gateway.count_incomplete(end.into());
        let outcome = format!("{incomplete} {outcome}");
        self.finish(EventCode::RequestFailed, end, &outcome);
    }

    /// Starts the check whether the target that broke the connection has crashed.
    async fn probe_target(&self) {
        let target = (self.service.as_str(), &self.chosen);
        self.gateway
            .probe_after_break(target, &self.request, self.sent)
            .await;
    }

    /// Finds out whether a body is complete. One without framing ends with its connection, and so does one
    /// that is cut by a crash.
    async fn judge_end(&self, stream: &EventStream) -> TargetState {
        let Some(unframed) = &stream.unframed else {
            return TargetState::Alive;
        };
        let target = (self.service.as_str(), &self.chosen);
        let judge = |give_up_at| {
            let times = (self.sent, give_up_at);
            self.gateway
                .judge_unframed_end(target, &self.request, times, unframed)
        };
        if self.may_resume() {
            // Another target needs the rest of the time.
            let half_time = Instant::now() + self.request.time_left() / 2;
            let state = judge(half_time).await;
            if state != TargetState::Unknown || self.gateway.retry_budget.has_left(&self.service) {
                return state;
            }
        }
        judge(self.request.deadline).await
    }
}

/// The state of a relayed stream.
enum RelayState {
    /// The first events have arrived and are returned before any more are read.
    FirstEvents(StreamRelay, Box<EventStream>),
    /// More events are to be read.
    Reading(StreamRelay, Box<EventStream>),
    /// The stream has ended.
    Ended,
}

/// Builds the streamed response. Its head is that of the first target, even if another target
/// resumes the stream.
pub(crate) fn relay_stream(relay: StreamRelay, stream: Box<EventStream>) -> Response<ResponseBody> {
    let (status, headers) = (stream.status, stream.headers.clone());
    let chunks = stream::unfold(RelayState::FirstEvents(relay, stream), next_chunk);
    build_response(status, &headers, ResponseBody::Stream(Box::pin(chunks)))
}

async fn next_chunk(state: RelayState) -> Option<(Result<Bytes, IncompleteResponse>, RelayState)> {
    let (mut relay, mut stream) = match state {
        RelayState::FirstEvents(mut relay, mut stream) => {
            let first = relay.admit_events(std::mem::take(&mut stream.first));
            return Some((Ok(first), RelayState::Reading(relay, stream)));
        }
        RelayState::Reading(relay, stream) => (relay, stream),
        RelayState::Ended => return None,
    };
    if let Some(disorder) = relay.disorder.take() {
        return end_disordered_run(relay, stream, disorder).await;
    }
    let deadline = relay
        .request
        .deadline
        .saturating_duration_since(Instant::now());
    let read = tokio::select! {
        read = timeout(deadline, read_events(&mut stream)) => read,
        () = relay.gateway.wait_for_stop_deadline() => {
            relay.abort(StreamEnd::Stopped, "outcome=the host stopped in its stream");
            return Some((Err(IncompleteResponse), RelayState::Ended));
        }
    };
    match read {
        Ok(Ok(Some(events))) => {
            let events = relay.admit_events(events);
            match relay.disorder.take_if(|_| events.is_empty()) {
                Some(disorder) => end_disordered_run(relay, stream, disorder).await,
                None => Some((Ok(events), RelayState::Reading(relay, stream))),
            }
        }
        Ok(Ok(None)) if stream.partial_bytes > 0 => {
            relay.count_body(&stream, BodyEnd::Broken);
            // Closing the connection also ends a body without framing, so the target may have crashed.
            if stream.framing == BodyFraming::Close {
                relay.probe_target().await;
            }
            let cause = "stream ended inside an event";
            resume_or_abort(relay, stream, StreamEnd::InsideEvent, cause).await
        }
        Ok(Ok(None)) => {
            let state = tokio::select! {
                state = relay.judge_end(&stream) => state,
                () = relay.gateway.wait_for_stop_deadline() => TargetState::Unknown,
            };
            if state != TargetState::Alive {
                relay.count_body(&stream, BodyEnd::Broken);
                let end = match state {
                    TargetState::Unknown => StreamEnd::SilentTarget,
                    _ => StreamEnd::UnconfirmedClose,
                };
                let cause = state.close_cause();
                return resume_or_abort(relay, stream, end, cause).await;
            }
            let end = format!("{} outcome=stream ended", describe_body(&stream));
            relay.count_body(&stream, BodyEnd::Clean);
            let EventStream { lease, headers, .. } = *stream;
            lease.release(&headers);
            relay.gateway.record_complete_run(
                &relay.service,
                &relay.request,
                &relay.chosen,
                &relay.answer,
            );
            relay.finish(EventCode::RequestFinished, StreamEnd::Complete, &end);
            None
        }
        Ok(Err(error)) => {
            let (body_end, end) = match &error {
                ReadError::Broken(broken) => {
                    if is_peer_disconnect(broken) {
                        relay.probe_target().await;
                    }
                    (BodyEnd::Broken, StreamEnd::Connection)
                }
                ReadError::TooLong(_) | ReadError::ShareExceeded(_) => {
                    (BodyEnd::TooLong, StreamEnd::TooLong)
                }
            };
            relay.count_body(&stream, body_end);
            resume_or_abort(relay, stream, end, &error.to_string()).await
        }
        Err(_) => {
            relay.abort(StreamEnd::TimedOut, "outcome=timed out in its stream");
            Some((Err(IncompleteResponse), RelayState::Ended))
        }
    }
}

/// Describes the body of a stream that has ended, for the log.
fn describe_body(stream: &EventStream) -> String {
    let EventStream {
        framing,
        partial_bytes,
        ..
    } = stream;
    format!("framing={framing} partial_bytes={partial_bytes}")
}

/// Ends a run with an event that is out of order, without that event.
async fn end_disordered_run(
    relay: StreamRelay,
    stream: Box<EventStream>,
    disorder: EventDisorder,
) -> Option<(Result<Bytes, IncompleteResponse>, RelayState)> {
    relay.count_body(&stream, BodyEnd::Broken);
    let cause = disorder.to_string();
    resume_or_abort(relay, stream, StreamEnd::OutOfOrder, &cause).await
}

async fn resume_or_abort(
    mut relay: StreamRelay,
    stream: Box<EventStream>,
    end: StreamEnd,
    cause: &str,
) -> Option<(Result<Bytes, IncompleteResponse>, RelayState)> {
    let body = describe_body(&stream);
    drop(stream);
    let outcome = relay.resume(cause).await;
    relay.gateway.metrics.count_resumption(outcome.label());
    match outcome {
        ResumeOutcome::Resumed(mut stream) => {
            let first = relay.admit_events(std::mem::take(&mut stream.first));
            Some((Ok(first), RelayState::Reading(relay, stream)))
        }
        ResumeOutcome::Complete => {
            let (code, end) = (EventCode::RequestFinished, StreamEnd::NoFurtherEvent);
            relay.finish(code, end, "outcome=stream ended");
            None
        }
        ResumeOutcome::Failed(reason) => {
            let outcome = format!("{body} resumption={reason} outcome=stream cut cause={cause}");
            relay.abort(end, &outcome);
            Some((Err(IncompleteResponse), RelayState::Ended))
        }
    }
}

/// Returns the id of the first event that has one, for the log.
fn first_event_text(events: &[u8]) -> Option<String> {
    first_event_id(events).map(|id| String::from_utf8_lossy(id).into_owned())
}

/// Why no further event of a stream could be read.
#[derive(Debug, Display, From)]
enum ReadError {
    #[display("stream cut short: {_0}")]
    Broken(hyper::Error),
    #[display("{_0}")]
    TooLong(EventTooLong),
    #[display("event {_0}")]
    ShareExceeded(ShareExceeded),
}

/// Reads until an event is complete; returns `None` at the end of the body. Bytes that only begin an
/// event are not returned.
async fn read_events(stream: &mut EventStream) -> Result<Option<Bytes>, ReadError> {
    loop {
        match stream.rest.frame().await {
            Some(Ok(frame)) => {
                let pushed = frame.data_ref().map(|bytes| stream.splitter.push(bytes));
                let events = pushed.transpose()?.flatten();
                stream.held.set(stream.splitter.buffered_bytes())?;
                if events.is_some() {
                    return Ok(events);
                }
            }
            Some(Err(error)) => return Err(error.into()),
            None => {
                stream.partial_bytes = stream.splitter.partial_bytes();
                if stream.partial_bytes > 0 {
                    return Ok(None);
                }
                let rest = stream.splitter.take_remainder();
                return Ok((!rest.is_empty()).then_some(rest));
            }
        }
    }
}
