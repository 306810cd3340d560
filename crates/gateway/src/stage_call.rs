//! Calls to stage targets: their form between entry hosts, and the client that sends them.
//!
//! The body of a call to a target repeats the inputs for every piece. Between entry hosts the
//! inputs are sent once for all pieces of a request, which takes a tenth of the bytes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{Request, header};
use http_body::Body;
use http_body_util::Full;
use hyper::body::Incoming;
use linnet_clock::BootInstant;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::Protocol;
use crate::body_framing::BodyFraming;
use crate::notice::parse_notice;
use crate::notice_store::NoticeStore;
use crate::piece::{PieceFault, PieceInput, StageWork};
use crate::protocol::StageItem;
use crate::reported_load::ReportedLoad;
use crate::response_body::{MAX_CALL_BYTES, read_response_body};
use crate::send_error::SendError;
use crate::send_gate::SendKind;
use crate::target_restriction::TargetAvailability;
use crate::upstream::{ConnectionLease, UpstreamPool};

/// Approximate size of a piece in the body of a call without its inputs: field names and numbers.
const PIECE_OVERHEAD_BYTES: usize = 90;

/// Approximate size of the punctuation around one input.
const INPUT_OVERHEAD_BYTES: usize = 3;

/// Timeout for the send permit of a call. Calls are already scheduled by the rate limit of their
/// target, so a permit is late only by the inaccuracy of timers.
const CALL_PERMIT_TIMEOUT: Duration = Duration::from_millis(20);

/// Timeout of requests that run no pieces: releases of results and queries of free memory.
const CONTROL_REQUEST_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The pieces of one stage of one request in a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CallPart {
    /// What the pieces have in common.
    pub(crate) work: StageWork,
    /// Numbers of the pieces within their stage.
    pub(crate) numbers: Vec<u32>,
    /// Time until the deadline of their request, in milliseconds.
    pub(crate) remaining_ms: u64,
}

impl CallPart {
    /// Estimates the size of this part in the body of a call.
    fn estimated_body_bytes(&self) -> usize {
        let input_bytes = match &self.work.input {
            PieceInput::Key(key) => key.len() + INPUT_OVERHEAD_BYTES,
            PieceInput::Results(handles) => handles
                .iter()
                .map(|handle| handle.len() + INPUT_OVERHEAD_BYTES)
                .sum(),
        };
        self.numbers.len() * (PIECE_OVERHEAD_BYTES + input_bytes)
    }

    fn items(&self) -> impl Iterator<Item = StageItem<'_>> {
        self.numbers.iter().map(|number| StageItem {
            work: &self.work,
            number: *number,
            remaining_ms: self.remaining_ms,
        })
    }
}

/// A call to a stage target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StageCall {
    /// Id of the target.
    pub(crate) target: String,
    /// Address of the target.
    pub(crate) address: SocketAddr,
    /// The pieces, in the order of the results in the response.
    pub(crate) parts: Vec<CallPart>,
    /// Time after which the coordinator no longer waits for the response, in milliseconds.
    pub(crate) timeout_ms: u64,
}

impl StageCall {
    /// Estimates the size of the body of this call.
    pub(crate) fn estimated_body_bytes(&self) -> usize {
        self.parts.iter().map(CallPart::estimated_body_bytes).sum()
    }

    fn piece_count(&self) -> usize {
        self.parts.iter().map(|part| part.numbers.len()).sum()
    }
}

/// A release of results at one stage target that are no longer needed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StageRelease {
    /// Id of the target that stores the results.
    pub(crate) target: String,
    /// Address of the target.
    pub(crate) address: SocketAddr,
    /// Handles of the results.
    pub(crate) handles: Vec<String>,
}

/// The outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CallOutcome {
    /// The target responded: the outcome of each piece, and the load that the target reported.
    Responded(Vec<Result<String, PieceFault>>, Option<ReportedLoad>),
    /// The target is busy and did not run the call.
    Busy,
    /// Another incarnation of a target serves the address.
    OtherTarget,
    /// There was no usable response.
    Failed(String),
    /// The target closed the connection. The coordinator probes whether it crashed.
    ConnectionBroken(String),
    /// The target crashed.
    TargetCrashed(String),
    /// The entry host to which the call was delegated was lost; the state of the target is unknown.
    SenderLost,
}

/// Client that sends requests to stage targets. Cheap to clone.
#[derive(Clone)]
pub(crate) struct StageTargetClient {
    protocol: Protocol,
    pub(crate) upstream: UpstreamPool,
    notices: Rc<NoticeStore>,
}

impl StageTargetClient {
    pub(crate) fn new(
        protocol: Protocol,
        upstream: UpstreamPool,
        notices: Rc<NoticeStore>,
    ) -> Self {
        Self {
            protocol,
            upstream,
            notices,
        }
    }

    /// Sends a call to its target and returns the outcome.
    pub(crate) async fn send_call(&self, call: &StageCall) -> CallOutcome {
        let (targets, names) = (&self.protocol.targets, &self.protocol.headers);
        let items: Vec<StageItem<'_>> = call.parts.iter().flat_map(CallPart::items).collect();
        let max_remaining_ms = call.parts.iter().map(|part| part.remaining_ms).max();
        let body = (targets.encode_stage_run)(&items);
        let request = Request::post(targets.stage_run_path)
            .header(header::HOST, call.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(&names.deadline_ms, max_remaining_ms.unwrap_or(0))
            .header(&names.expect_target, &call.target)
            .body(Full::new(Bytes::from(body)));
        let request = match request {
            Ok(request) => request,
            Err(error) => return CallOutcome::Failed(error.to_string()),
        };
        let (head, body, lease) = match self.send_work(call, request).await {
            Ok(response) => response,
            Err(error) => return outcome_without_response(error),
        };
        if let Some(outcome) = self.refusal_outcome(&head) {
            lease.release_after(body, head.headers);
            return outcome;
        }
        let framing = BodyFraming::of_response(&head.headers, body.is_end_stream());
        let body = match read_response_body(body, MAX_CALL_BYTES, lease.pool().held()).await {
            Ok(body) => body,
            Err(error) if error.is_peer_disconnect() => {
                return CallOutcome::ConnectionBroken(error.to_string());
            }
            Err(error) => return CallOutcome::Failed(error.to_string()),
        };
        lease.release(&head.headers);
        if !head.status.is_success() {
            return CallOutcome::Failed(format!("status {}", head.status.as_u16()));
        }
        match (targets.decode_stage_run)(&body) {
            Some(results) if results.len() == call.piece_count() => {
                let load = ReportedLoad::read(&head.headers, &names.load);
                CallOutcome::Responded(results, load)
            }
            // A body that ends with its connection may have been cut by a crash of the target.
            _ if framing == BodyFraming::Close => CallOutcome::ConnectionBroken(
                "incomplete response, delimited by the close of its connection".to_owned(),
            ),
            Some(results) => CallOutcome::Failed(format!(
                "{} results for {} pieces",
                results.len(),
                call.piece_count()
            )),
            None => CallOutcome::Failed("response body could not be decoded".to_owned()),
        }
    }

    /// Returns the outcome of a call whose target did not run it, which the head of the response
    /// states whatever becomes of the body.
    fn refusal_outcome(&self, head: &Parts) -> Option<CallOutcome> {
        if head.status == self.protocol.targets.other_target {
            return Some(CallOutcome::OtherTarget);
        }
        let not_run = &self.protocol.headers.not_run;
        head.headers
            .contains_key(not_run)
            .then_some(CallOutcome::Busy)
    }

    /// Returns whether a target accepts calls from this host now.
    pub(crate) fn availability(&self, target: &str) -> TargetAvailability {
        self.notices.availability(target, BootInstant::now())
    }

    /// Asks a target to drop results that are no longer needed. A release that is lost or withheld
    /// is not repeated: the results expire anyway, only later.
    pub(crate) async fn send_release(&self, release: &StageRelease) {
        let targets = &self.protocol.targets;
        let body = (targets.encode_stage_free)(&release.handles);
        let request = Request::post(targets.stage_free_path)
            .header(header::HOST, release.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        let Ok(request) = request else {
            return;
        };
        let sent_at = BootInstant::now();
        let gate = self.notices.gate(&release.target, SendKind::Control);
        let response = self.upstream.send_release(release.address, request, gate);
        if let Ok(Ok(Some(head))) = timeout(CONTROL_REQUEST_TIMEOUT, response).await {
            self.record_notice(&release.target, &head, sent_at);
        }
    }

    /// Queries how much memory a target has free for results, in bytes; `None` if it does not
    /// respond in time.
    pub(crate) async fn query_free_bytes(&self, target: &str, address: SocketAddr) -> Option<u64> {
        let targets = &self.protocol.targets;
        let request = Request::get(targets.report_path)
            .header(header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .ok()?;
        let response = self.send_control(target, address, request);
        let (_, body) = timeout(CONTROL_REQUEST_TIMEOUT, response)
            .await
            .ok()?
            .ok()?;
        (targets.decode_free_bytes)(&body)
    }

    /// Sends a call to its target, and records the notice in the head of the response, without
    /// waiting for the body.
    async fn send_work(
        &self,
        call: &StageCall,
        request: Request<Full<Bytes>>,
    ) -> Result<(Parts, Incoming, ConnectionLease), SendError> {
        let sent_at = BootInstant::now();
        let rates = &self.notices.rates;
        let permit = rates.acquire_permit(&call.target, CALL_PERMIT_TIMEOUT);
        let Some(permit) = permit.await else {
            self.notices.count_withheld(&call.target);
            return Err(SendError::Withheld);
        };
        let gate = self.notices.gate(&call.target, SendKind::Work);
        let gate = gate.with_permit(permit);
        let (response, lease) = self.upstream.send(call.address, request, gate).await?;
        let (head, body) = response.into_parts();
        self.record_notice(&call.target, &head, sent_at);
        Ok((head, body, lease))
    }

    /// Sends a control request to a target, and records the notice that the response headers
    /// carry. Control requests take no permit from the rate limit of the target; the gate withholds
    /// them while there is one.
    async fn send_control(
        &self,
        target: &str,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Parts, Bytes), SendError> {
        let sent_at = BootInstant::now();
        let gate = self.notices.gate(target, SendKind::Control);
        let (head, body) = self.upstream.exchange(address, request, gate).await?;
        self.record_notice(target, &head, sent_at);
        Ok((head, body))
    }

    fn record_notice(&self, target: &str, head: &Parts, sent_at: BootInstant) {
        let notice = parse_notice(&self.protocol, head);
        self.notices.record_response(target, notice, sent_at);
    }
}

fn outcome_without_response(error: SendError) -> CallOutcome {
    match error {
        // The coordinator requeues the pieces or sends them to another target.
        SendError::Withheld => CallOutcome::Busy,
        SendError::MayHaveRun {
            cause,
            broken: true,
        } => CallOutcome::ConnectionBroken(cause),
        error => CallOutcome::Failed(error.to_string()),
    }
}

#[cfg(test)]
mod tests;
