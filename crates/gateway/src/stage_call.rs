//! One call to a stage target, as it travels between entry hosts, and how it is sent.
//!
//! The body of a call names the inputs of each of its pieces. Between entry hosts they travel once for
//! all pieces of a request, which is a tenth of that.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{Request, header};
use http_body_util::Full;
use linnet_clock::BootInstant;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::Dialect;
use crate::dialect::StageItem;
use crate::load::ReportedLoad;
use crate::notice::parse_notice;
use crate::notice_store::NoticeStore;
use crate::piece::{PieceFault, PieceInput, StageWork};
use crate::send_gate::SendKind;
use crate::send_permit::SendPermit;
use crate::target_restriction::TargetAvailability;
use crate::upstream::{SendError, UpstreamPool};

/// About what a piece takes in the body of a call beside its inputs, in bytes: its names and numbers.
const PIECE_BYTES: usize = 90;

/// About what the punctuation around one input takes, in bytes.
const INPUT_BYTES: usize = 3;

/// How long a call waits for leave by the rate of its target: it is sent by the same rate, as exactly as timers are.
const CALL_PATIENCE: Duration = Duration::from_millis(20);

/// How long a release of results or a question for a report may take.
const WORD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pieces of one stage of one request in a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CallPart {
    /// What they share.
    pub(crate) work: StageWork,
    /// Which pieces of the stage they are.
    pub(crate) numbers: Vec<u32>,
    /// Time that is left for them, in milliseconds.
    pub(crate) remaining_ms: u64,
}

impl CallPart {
    /// Returns about how many bytes it takes in the body of a call.
    fn body_bytes(&self) -> usize {
        let inputs = match &self.work.input {
            PieceInput::Key(key) => key.len() + INPUT_BYTES,
            PieceInput::Results(handles) => handles.iter().map(|one| one.len() + INPUT_BYTES).sum(),
        };
        self.numbers.len() * (PIECE_BYTES + inputs)
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
    /// The target that is meant.
    pub(crate) target: String,
    /// Where it is.
    pub(crate) address: SocketAddr,
    /// What it is to make, in the order of the results.
    pub(crate) parts: Vec<CallPart>,
    /// Time after which nobody waits for the answer, in milliseconds.
    pub(crate) bound_ms: u64,
}

impl StageCall {
    /// Returns about how many bytes its body takes.
    pub(crate) fn body_bytes(&self) -> usize {
        self.parts.iter().map(CallPart::body_bytes).sum()
    }

    fn pieces(&self) -> usize {
        self.parts.iter().map(|part| part.numbers.len()).sum()
    }
}

/// Results at one stage target that are not needed any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StageRelease {
    /// The target that holds them.
    pub(crate) target: String,
    /// Where it is.
    pub(crate) address: SocketAddr,
    /// Their handles.
    pub(crate) handles: Vec<String>,
}

/// How a call ended as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CallEnd {
    /// An outcome for each piece, and the load that the target told with it.
    Answered(Vec<Result<String, PieceFault>>, Option<ReportedLoad>),
    /// The target did not run it and is busy.
    Busy,
    /// Another start of a target is at the address.
    OtherTarget,
    /// No usable answer.
    Failed(String),
    /// The target broke the connection. Whoever gathers finds out whether it has ended.
    Broke(String),
    /// The target has ended.
    Ended(String),
    /// The entry host that was to send it was lost, so that nothing is known of the target.
    SenderLost,
}

/// Calls stage targets. Cheap to clone.
#[derive(Clone)]
pub(crate) struct StageCaller {
    dialect: Dialect,
    pub(crate) upstream: UpstreamPool,
    notices: Rc<NoticeStore>,
}

impl StageCaller {
    pub(crate) fn new(dialect: Dialect, upstream: UpstreamPool, notices: Rc<NoticeStore>) -> Self {
        Self {
            dialect,
            upstream,
            notices,
        }
    }

    /// Sends a call to its target and takes the answer.
    pub(crate) async fn send_call(&self, call: &StageCall) -> CallEnd {
        let (targets, names) = (&self.dialect.targets, &self.dialect.headers);
        let items: Vec<StageItem<'_>> = call.parts.iter().flat_map(CallPart::items).collect();
        let longest = call.parts.iter().map(|part| part.remaining_ms).max();
        let body = (targets.encode_stage_run)(&items);
        let request = Request::post(targets.stage_run_path)
            .header(header::HOST, call.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .header(&names.deadline_ms, longest.unwrap_or(0))
            .header(&names.expect_target, &call.target)
            .body(Full::new(Bytes::from(body)));
        let request = match request {
            Ok(request) => request,
            Err(error) => return CallEnd::Failed(error.to_string()),
        };
        let sent = self.exchange(&call.target, call.address, request, SendKind::Work);
        let (head, body) = match sent.await {
            Ok(answered) => answered,
            // Whoever gathers lets its pieces wait, or gives them to another target.
            Err(SendError::Withheld) => return CallEnd::Busy,
            Err(SendError::MayHaveRun { cause, broke: true }) => return CallEnd::Broke(cause),
            Err(error) => return CallEnd::Failed(error.to_string()),
        };
        if head.status == targets.other_target {
            return CallEnd::OtherTarget;
        }
        if head.headers.contains_key(&names.not_run) {
            return CallEnd::Busy;
        }
        if !head.status.is_success() {
            return CallEnd::Failed(format!("status {}", head.status.as_u16()));
        }
        match (targets.decode_stage_run)(&body) {
            Some(results) if results.len() == call.pieces() => {
                let load = ReportedLoad::read(&head.headers, &names.load);
                CallEnd::Answered(results, load)
            }
            Some(results) => CallEnd::Failed(format!("{} results", results.len())),
            None => CallEnd::Failed("no answer in the dialect".to_owned()),
        }
    }

    /// Says whether a target takes calls of this host.
    pub(crate) fn standing(&self, target: &str) -> TargetAvailability {
        self.notices.availability(target, BootInstant::now())
    }

    /// Tells a target that results are not needed any more. A lost word costs only the time until the
    /// results expire by themselves, so one that the target does not want now is not kept for it.
    pub(crate) async fn send_release(&self, release: &StageRelease) {
        let targets = &self.dialect.targets;
        let body = (targets.encode_stage_free)(&release.handles);
        let request = Request::post(targets.stage_free_path)
            .header(header::HOST, release.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        let Ok(request) = request else {
            return;
        };
        let (target, address) = (&release.target, release.address);
        let sent = self.exchange(target, address, request, SendKind::Control);
        let _ = timeout(WORD_TIMEOUT, sent).await;
    }

    /// Asks a target how many bytes it has free for results; nothing where it does not tell in time.
    pub(crate) async fn ask_free_bytes(&self, target: &str, address: SocketAddr) -> Option<u64> {
        let targets = &self.dialect.targets;
        let request = Request::get(targets.report_path)
            .header(header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .ok()?;
        let asked = self.exchange(target, address, request, SendKind::Control);
        let (_, body) = timeout(WORD_TIMEOUT, asked).await.ok()?.ok()?;
        (targets.decode_free_bytes)(&body)
    }

    /// Sends a request to a target, and takes what its answer says of the target.
    async fn exchange(
        &self,
        target: &str,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        kind: SendKind,
    ) -> Result<(Parts, Bytes), SendError> {
        let asked = BootInstant::now();
        let permit = match kind {
            SendKind::Work => {
                self.notices
                    .rates
                    .acquire_permit(target, CALL_PATIENCE)
                    .await
            }
            // None is worth a request of those that the target takes.
            SendKind::Control => Some(SendPermit::UNRESTRICTED),
        };
        let Some(permit) = permit else {
            self.notices.count_withheld(target);
            return Err(SendError::Withheld);
        };
        let gate = self.notices.gate(target, kind).with_permit(permit);
        let (head, body) = self.upstream.exchange(address, request, gate).await?;
        let notice = parse_notice(&self.dialect, &head, None);
        self.notices.record_response(target, notice, asked);
        Ok((head, body))
    }
}

#[cfg(test)]
mod tests;
