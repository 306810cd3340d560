//! Relays a stream of events to the caller, and resumes it at another target if the route allows
//! that.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use derive_more::{Display, From};
use futures_util::stream;
use http::Response;
use http_body_util::BodyExt;
use linnet_telemetry::EventCode;
use tokio::time::timeout;

use crate::attempt::{Attempt, AttemptOutcome, EventStream, send_attempt};
use crate::body::IncompleteResponse;
use crate::body_framing::BodyFraming;
use crate::caller_request::CallerRequest;
use crate::events::{EventTooLong, last_event_id};
use crate::graph::RequestResults;
use crate::message_heads::build_response;
use crate::metrics::BodyEnd;
use crate::prompt::describe_parts;
use crate::retry_budget::RetryCause;
use crate::rollouts::ResponseQuality;
use crate::run_permit::{RunPermits, acquire_run_permits};
use crate::target::ChosenTarget;
use crate::target_crash::TargetState;
use crate::target_selection::ExcludedTargets;
use crate::target_selection::select_or_await_target;
use crate::upstream::is_peer_disconnect;
use crate::{Gateway, ResponseBody};

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
    last_event: Option<String>,
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
        request.bind_version(&chosen.version);
        let may_resume = request.route.is_repeatable() && attempts < request.route.max_attempts;
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
            last_event: None,
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

    fn record_events(&mut self, events: &Bytes) {
        self.chunks += 1;
        if let Some(id) = last_event_id(events) {
            self.last_event = Some(id);
        }
    }

    fn record(&self, code: EventCode, outcome: &str) {
        let detail = format!(
            "route={} account={} parts={} chunks={} last_event={} took_ms={} {outcome}",
            self.request.route.name,
            self.request.account.as_deref().unwrap_or("-"),
            describe_parts(self.request.prompt.as_deref()),
            self.chunks,
            self.last_event.as_deref().unwrap_or("-"),
            self.request.arrived_at.elapsed().as_millis()
        );
        self.gateway
            .record_request_event(code, &self.request.id, &self.chosen.id, detail);
    }

    fn count_body(&self, stream: &EventStream, end: BodyEnd) {
        self.gateway.metrics.count_body(stream.framing, end);
    }

    /// Logs the end of the stream.
    fn finish(&mut self, code: EventCode, outcome: &str) {
        self.ended = true;
        self.record(code, outcome);
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
        self.gateway
            .judge_unframed_end(target, &self.request, self.sent, unframed)
            .await
    }

    /// Finds another target that resumes the stream.
    async fn resume(&mut self, cause: &str) -> ResumeOutcome {
        let (service, target) = (&self.service, &self.chosen.id);
        self.gateway.record_target_failure(service, target, cause);
        let route = &self.request.route.name;
        self.gateway
            .count_response(service, target, route, ResponseQuality::Failed);
        while self.request.route.is_repeatable()
            && self.attempts < self.request.route.max_attempts
            && !self.gateway.may_crash_again(&self.service, &self.request)
            && self.acquire_run_permits().await
            && self.gateway.retry_budget.allow_retry(
                &self.request,
                &self.service,
                RetryCause::Resume,
            )
        {
            self.attempts += 1;
            self.run_permits.mark_sent();
            let Some((chosen, outcome)) = self.try_next_target().await else {
                return ResumeOutcome::Failed;
            };
            let resumed = match outcome {
                AttemptOutcome::Streaming(stream) => ResumeOutcome::Resumed(stream),
                AttemptOutcome::Complete(response) if response.is_empty_success() => {
                    ResumeOutcome::Complete
                }
                AttemptOutcome::OverBudget => return ResumeOutcome::Failed,
                _ => continue,
            };
            let former = std::mem::replace(&mut self.chosen, chosen);
            self.sent = Instant::now();
            let detail = format!(
                "version={} from_version={} cause={cause}",
                self.chosen.version, former.version
            );
            self.record(EventCode::StreamResumed, &detail);
            return resumed;
        }
        ResumeOutcome::Failed
    }

    async fn acquire_run_permits(&mut self) -> bool {
        let (gateway, request) = (&self.gateway, &self.request);
        let acquired =
            acquire_run_permits(gateway, &self.service, request, &mut self.run_permits).await;
        acquired.is_ok()
    }

    /// Sends the request to another target, which is to resume after the last event; returns `None`
    /// if no target is available.
    async fn try_next_target(&mut self) -> Option<(ChosenTarget, AttemptOutcome)> {
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

/// Outcome of an attempt to resume a stream.
enum ResumeOutcome {
    /// Another target continues the stream.
    Resumed(Box<EventStream>),
    /// The caller has received all events already: another target has no further one.
    Complete,
    Failed,
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
        Ok(Ok(None)) if stream.partial_bytes > 0 => {
            relay.count_body(&stream, BodyEnd::Broken);
            // Closing the connection also ends a body without framing, so the target may have crashed.
            if stream.framing == BodyFraming::Close {
                relay.probe_target().await;
            }
            resume_or_abort(relay, stream, "stream ended inside an event").await
        }
        Ok(Ok(None)) => {
            let state = relay.judge_end(&stream).await;
            if state != TargetState::Alive {
                relay.count_body(&stream, BodyEnd::Broken);
                return resume_or_abort(relay, stream, state.close_cause()).await;
            }
            let end = format!("{} outcome=stream ended", describe_body(&stream));
            relay.count_body(&stream, BodyEnd::Clean);
            let EventStream { lease, headers, .. } = *stream;
            lease.release(&headers);
            relay
                .gateway
                .record_complete_run(&relay.service, &relay.request, &relay.chosen);
            relay.finish(EventCode::RequestFinished, &end);
            None
        }
        Ok(Err(error)) => {
            let end = match &error {
                ReadError::Broken(broken) => {
                    if is_peer_disconnect(broken) {
                        relay.probe_target().await;
                    }
                    BodyEnd::Broken
                }
                ReadError::TooLong(_) => BodyEnd::TooLong,
            };
            relay.count_body(&stream, end);
            resume_or_abort(relay, stream, &error.to_string()).await
        }
        Err(_) => {
            relay.finish(EventCode::RequestFailed, "outcome=timed out in its stream");
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

async fn resume_or_abort(
    mut relay: StreamRelay,
    stream: Box<EventStream>,
    cause: &str,
) -> Option<(Result<Bytes, IncompleteResponse>, RelayState)> {
    let body = describe_body(&stream);
    drop(stream);
    match relay.resume(cause).await {
        ResumeOutcome::Resumed(mut stream) => {
            let first = std::mem::take(&mut stream.first);
            relay.record_events(&first);
            Some((Ok(first), RelayState::Reading(relay, stream)))
        }
        ResumeOutcome::Complete => {
            relay.finish(EventCode::RequestFinished, "outcome=stream ended");
            None
        }
        ResumeOutcome::Failed => {
            relay.finish(
                EventCode::RequestFailed,
                &format!("{body} outcome=stream cut cause={cause}"),
            );
            Some((Err(IncompleteResponse), RelayState::Ended))
        }
    }
}

/// Why no further event of a stream could be read.
#[derive(Debug, Display, From)]
enum ReadError {
    #[display("stream cut short: {_0}")]
    Broken(hyper::Error),
    #[display("{_0}")]
    TooLong(EventTooLong),
}

/// Reads until an event is complete; returns `None` at the end of the body. Bytes that only begin an
/// event are not returned.
async fn read_events(stream: &mut EventStream) -> Result<Option<Bytes>, ReadError> {
    loop {
        match stream.rest.frame().await {
            Some(Ok(frame)) => {
                let pushed = frame.data_ref().map(|bytes| stream.splitter.push(bytes));
                if let Some(events) = pushed.transpose()?.flatten() {
                    return Ok(Some(events));
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
