//! Messages between entry hosts about pieces, prompts and permits.

use linnet_forecast::PoolTimes;
use linnet_quarantine::{RequestKey, SuspectRecord};
use linnet_shares::{AccountLimit, UseReport};
use linnet_streams::{StreamKey, StreamOrigin};
use linnet_wire::MessageVersion;
use serde::{Deserialize, Serialize};

use crate::engine::{PlacementFacts, PlacementRequest};
use crate::piece::{ExpectedPieces, PieceBatch, PieceFault, PoolLoad, TargetUsage};
use crate::pool_key::PoolKey;
use crate::rank::Rank;
use crate::run_permit::RunPermitReply;
use crate::send_permit_issuer::{SendPermitReply, SendPermitRequest};
use crate::stage_call::{CallOutcome, StageCall, StageRelease};

/// A request from one entry host to another: to the coordinator of a pool, the placer of a service,
/// the issuer of permits, or a host that sends calls to nearby targets.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PieceRequest {
    /// Runs a batch of pieces.
    RunBatch(PieceBatch),
    /// Cancels a batch.
    CancelBatch(u64),
    /// Announces pieces that an admitted request will submit later.
    ExpectPieces {
        number: u64,
        expected: ExpectedPieces,
    },
    /// Ends an announcement: the pieces have been submitted or will not be.
    EndExpectation(u64),
    /// Releases results that are no longer needed, each of about `bytes` bytes.
    ReleaseResults {
        service: String,
        handles: Vec<String>,
        bytes: u64,
    },
    /// Requests the present choice of an engine for a prompt, without placing the prompt.
    PlanPlacement {
        number: u64,
        request: PlacementRequest,
    },
    /// Places a prompt on an engine.
    PlacePrompt {
        number: u64,
        request: PlacementRequest,
    },
    /// Reports that the engine has finished the prefill of a placed prompt.
    PrefillDone(u64),
    /// Ends a placement, since its request has ended.
    EndPlacement(u64),
    /// Delegates a call: the receiver sends it to its target and replies with the outcome.
    DelegateCall { number: u64, call: StageCall },
    /// Delegates a release: the receiver asks a target to drop results that are no longer needed.
    DelegateRelease(StageRelease),
    /// Reports that the sender could not reach the engine on which a prompt was placed.
    EngineUnreachable { service: String, engine: String },
    /// Reports the sender's records of suspect requests.
    Suspects(Vec<SuspectRecord>),
    /// Requests a permit to run a suspect or held request once. `id` is the id of this attempt, for
    /// the log.
    AcquireRunPermit {
        number: u64,
        key: RequestKey,
        id: String,
    },
    /// Releases a run permit, or withdraws the request for one.
    ReleaseRunPermit(u64),
    /// A heartbeat.
    Heartbeat,
    /// Requests a permit to send to a target with a rate limit.
    AcquireSendPermit {
        number: u64,
        request: SendPermitRequest,
    },
    /// Reports what client accounts asked of a pool at the sender since its last report.
    ReportUse {
        pool: PoolKey,
        report: UseReport<Rank>,
    },
    /// Runs a batch of pieces that another coordinator returned. It is not returned again.
    RunReturnedBatch(PieceBatch),
    /// Stores where a stream began, for callers that take it up.
    BindStream {
        stream: StreamKey,
        origin: StreamOrigin,
        lifetime_ms: u64,
    },
    /// Asks where a stream began.
    FindStream { number: u64, stream: StreamKey },
}

impl PieceRequest {
    /// Returns the oldest message version from the second on that has this request. For the first
    /// version see [`crate::message_v1`].
    pub(crate) fn min_message_version(&self) -> MessageVersion {
        match self {
            Self::AcquireSendPermit { .. } => MessageVersion::V4,
            Self::ReportUse { .. } => MessageVersion::V5,
            Self::RunReturnedBatch(_) => MessageVersion::V6,
            Self::BindStream { .. } | Self::FindStream { .. } => MessageVersion::V7,
            _ => MessageVersion::V2,
        }
    }

    /// Returns the request that stands for this one in earlier message versions; `None` if there is
    /// none. A coordinator of an earlier build returns no batches, so it need not know that a batch
    /// was returned.
    pub(crate) fn earlier_form(&self) -> Option<Self> {
        match self {
            Self::RunReturnedBatch(batch) => Some(Self::RunBatch(batch.clone())),
            _ => None,
        }
    }
}

/// A reply or report to the entry host that opened the connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PieceReply {
    /// The outcome of each piece of a completed batch.
    BatchDone {
        number: u64,
        results: Vec<Result<String, PieceFault>>,
    },
    /// The engine of a planned or placed prompt; `None` if no engine is available.
    Placed {
        number: u64,
        engine: Option<(String, PlacementFacts)>,
    },
    /// Whether a run permit was issued.
    RunPermit { number: u64, reply: RunPermitReply },
    /// The outcome of a delegated call.
    DelegatedCallEnded { number: u64, outcome: CallOutcome },
    /// The sender's use of the targets of a pool, sent to the hosts that would become its
    /// coordinator if the sender were lost.
    TargetUsage {
        pool: PoolKey,
        usage: Vec<TargetUsage>,
    },
    /// A heartbeat with the load of the pools that the sender coordinates.
    Heartbeat { loads: Vec<(PoolKey, PoolLoad)> },
    /// Whether a send permit was issued for a target with a rate limit.
    SendPermit { number: u64, reply: SendPermitReply },
    /// The measured times of pools that the sender coordinates.
    PoolTimes {
        times: Vec<(PoolKey, PoolTimes<Rank>)>,
    },
    /// The client accounts that are limited at a pool; in reply to a report of their use.
    AccountLimits {
        pool: PoolKey,
        limits: Vec<AccountLimit<Rank>>,
    },
    /// Returns a batch, as a better coordinator is reachable. None of its pieces was sent in a call.
    BatchReturned { number: u64 },
    /// Where a stream began; `None` if the sender does not hold it.
    StreamFound {
        number: u64,
        origin: Option<StreamOrigin>,
    },
}

impl PieceReply {
    /// Returns the oldest message version from the second on that has this reply. For the first
    /// version see [`crate::message_v1`].
    pub(crate) fn min_message_version(&self) -> MessageVersion {
        match self {
            Self::PoolTimes { .. } | Self::AccountLimits { .. } => MessageVersion::V5,
            Self::BatchReturned { .. } => MessageVersion::V6,
            Self::StreamFound { .. } => MessageVersion::V7,
            _ => MessageVersion::V2,
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
