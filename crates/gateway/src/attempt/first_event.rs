//! Waits for the first event of a stream.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{AttemptOutcome, CompleteResponse};
use crate::Gateway;
use crate::body_framing::BodyFraming;
use crate::caller_request::CallerRequest;
use crate::events::{EventSplitter, EventTooLong, MAX_EVENT_BYTES, has_event_lines};
use crate::held_bytes::HeldShare;
use crate::incomplete_answer::IncompleteCause;
use crate::metrics::BodyEnd;
use crate::stage_client::Placement;
use crate::upstream::ConnectionLease;

pub(super) type FirstEvent = (
    StatusCode,
    HeaderMap,
    Bytes,
    Incoming,
    (EventSplitter, HeldShare),
    ConnectionLease,
);

/// Waits for the first complete event. A response that ends before any event counts as a complete
/// one.
pub(super) async fn await_first_event(
    gateway: &Gateway,
    request: &CallerRequest,
    head: http::response::Parts,
    (mut body, framing): (Incoming, BodyFraming),
    lease: ConnectionLease,
    placement: Option<&Placement>,
    sent: Instant,
) -> Result<FirstEvent, AttemptOutcome> {
    let mut splitter = EventSplitter::default();
    let mut first = BytesMut::new();
    let mut held = gateway.upstream.held().begin();
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let pushed = frame.data_ref().map(|bytes| splitter.push(bytes));
                let events = match pushed.transpose() {
                    Ok(events) if first.len() <= MAX_EVENT_BYTES => events.flatten(),
                    Ok(_) | Err(EventTooLong) => {
                        gateway.metrics.count_body(framing, BodyEnd::TooLong);
                        let cause = EventTooLong.to_string();
                        return Err(AttemptOutcome::incomplete(IncompleteCause::Flood, cause));
                    }
                };
                first.extend_from_slice(&events.unwrap_or_default());
                if let Err(error) = held.set(first.len() + splitter.buffered_bytes()) {
                    gateway.metrics.count_body(framing, BodyEnd::TooLong);
                    let cause = format!("event {error}");
                    return Err(AttemptOutcome::incomplete(IncompleteCause::Flood, cause));
                }
                // Comments may come before the first event.
                if !has_event_lines(&first) {
                    continue;
                }
                if let Some(placement) = placement {
                    placement.report_prefill_done();
                }
                if let Some(prompt) = &request.prompt {
                    let unshared_tokens = prompt.unshared_tokens();
                    gateway
                        .engine_placer
                        .borrow_mut()
                        .learn_prefill_speed(unshared_tokens, sent.elapsed());
                }
                let first = first.freeze();
                let buffered = (splitter, held);
                return Ok((head.status, head.headers, first, body, buffered, lease));
            }
            Some(Err(error)) => {
                return Err(AttemptOutcome::cut_short("stream", &error));
            }
            None if splitter.partial_bytes() > 0 => {
                gateway.metrics.count_body(framing, BodyEnd::Broken);
                let kind = match framing {
                    BodyFraming::Close => IncompleteCause::Connection,
                    BodyFraming::Length | BodyFraming::Chunks => IncompleteCause::Unusable,
                };
                let cause = "stream ended inside its first event";
                return Err(AttemptOutcome::incomplete(kind, cause));
            }
            None => {
                lease.release(&head.headers);
                first.extend_from_slice(&splitter.take_remainder());
                return Err(AttemptOutcome::Complete(CompleteResponse {
                    status: head.status,
                    headers: head.headers,
                    body: first.freeze(),
                    is_confirmed: framing != BodyFraming::Close,
                    unframed: None,
                }));
            }
        }
    }
}
