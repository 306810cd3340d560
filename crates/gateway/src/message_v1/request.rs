//! The first message version of [`PieceRequest`] and the types in it.

use linnet_quarantine::RequestKey;
use serde::{Deserialize, Serialize};

use crate::engine::PlacementRequest;
use crate::hall_bytes::HallBytes;
use crate::piece::{ExpectedPieces, PieceBatch, StageWork};
use crate::piece_message::PieceRequest;
use crate::pool_key::PoolKey;
use crate::prompt::Prompt;
use crate::rank::Rank;
use crate::stage_call::{StageCall, StageRelease};

/// The first version of [`PieceBatch`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct PieceBatchV1 {
    number: u64,
    pool: PoolKey,
    rank: Rank,
    first_stage: bool,
    objective_ms: u64,
    remaining_ms: u64,
    preferred_hall: Option<String>,
    allowed_halls: Option<Vec<String>>,
    result_bytes: u64,
    work: StageWork,
    piece_count: u32,
}

impl From<PieceBatchV1> for PieceBatch {
    fn from(message: PieceBatchV1) -> Self {
        // The batch carries no key. One made from the request's id is shared with no other request,
        // so a crash is not attributed to another one.
        let request_key = RequestKey::new("", "", [&message.work.request, ""], &[]);
        Self {
            number: message.number,
            pool: message.pool,
            rank: message.rank,
            first_stage: message.first_stage,
            objective_ms: message.objective_ms,
            remaining_ms: message.remaining_ms,
            preferred_hall: message.preferred_hall,
            allowed_halls: message.allowed_halls,
            result_bytes: message.result_bytes,
            request_key,
            isolated: false,
            work: message.work,
            piece_count: message.piece_count,
        }
    }
}

impl From<PieceBatch> for PieceBatchV1 {
    fn from(batch: PieceBatch) -> Self {
        Self {
            number: batch.number,
            pool: batch.pool,
            rank: batch.rank,
            first_stage: batch.first_stage,
            objective_ms: batch.objective_ms,
            remaining_ms: batch.remaining_ms,
            preferred_hall: batch.preferred_hall,
            allowed_halls: batch.allowed_halls,
            result_bytes: batch.result_bytes,
            work: batch.work,
            piece_count: batch.piece_count,
        }
    }
}

/// The first version of [`PlacementRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlacementRequestV1 {
    service: String,
    prompt: Prompt,
    large_result_stage: Option<String>,
    results: HallBytes,
    tried: Vec<String>,
    excluded: Vec<String>,
    allowed_halls: Option<Vec<String>>,
}

impl From<PlacementRequestV1> for PlacementRequest {
    fn from(message: PlacementRequestV1) -> Self {
        Self {
            service: message.service,
            prompt: message.prompt,
            large_result_stage: message.large_result_stage,
            results: message.results,
            tried: message.tried,
            excluded: message.excluded,
            allowed_halls: message.allowed_halls,
            isolated: false,
        }
    }
}

impl From<PlacementRequest> for PlacementRequestV1 {
    fn from(request: PlacementRequest) -> Self {
        Self {
            service: request.service,
            prompt: request.prompt,
            large_result_stage: request.large_result_stage,
            results: request.results,
            tried: request.tried,
            excluded: request.excluded,
            allowed_halls: request.allowed_halls,
        }
    }
}

/// The first version of [`PieceRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PieceRequestV1 {
    RunBatch(PieceBatchV1),
    CancelBatch(u64),
    ExpectPieces {
        number: u64,
        expected: ExpectedPieces,
    },
    EndExpectation(u64),
    ReleaseResults {
        service: String,
        handles: Vec<String>,
        bytes: u64,
    },
    PlanPlacement {
        number: u64,
        request: PlacementRequestV1,
    },
    PlacePrompt {
        number: u64,
        request: PlacementRequestV1,
    },
    PrefillDone(u64),
    EndPlacement(u64),
    DelegateCall {
        number: u64,
        call: StageCall,
    },
    DelegateRelease(StageRelease),
    EngineUnreachable {
        service: String,
        engine: String,
    },
    Heartbeat,
}

impl From<PieceRequestV1> for PieceRequest {
    fn from(message: PieceRequestV1) -> Self {
        match message {
            PieceRequestV1::RunBatch(batch) => Self::RunBatch(batch.into()),
            PieceRequestV1::CancelBatch(number) => Self::CancelBatch(number),
            PieceRequestV1::ExpectPieces { number, expected } => {
                Self::ExpectPieces { number, expected }
            }
            PieceRequestV1::EndExpectation(number) => Self::EndExpectation(number),
            PieceRequestV1::ReleaseResults {
                service,
                handles,
                bytes,
            } => Self::ReleaseResults {
                service,
                handles,
                bytes,
            },
            PieceRequestV1::PlanPlacement { number, request } => Self::PlanPlacement {
                number,
                request: request.into(),
            },
            PieceRequestV1::PlacePrompt { number, request } => Self::PlacePrompt {
                number,
                request: request.into(),
            },
            PieceRequestV1::PrefillDone(number) => Self::PrefillDone(number),
            PieceRequestV1::EndPlacement(number) => Self::EndPlacement(number),
            PieceRequestV1::DelegateCall { number, call } => Self::DelegateCall { number, call },
            PieceRequestV1::DelegateRelease(release) => Self::DelegateRelease(release),
            PieceRequestV1::EngineUnreachable { service, engine } => {
                Self::EngineUnreachable { service, engine }
            }
            PieceRequestV1::Heartbeat => Self::Heartbeat,
        }
    }
}

/// Converts a request to the first message version; `None` if that version lacks it.
pub(crate) fn to_request_v1(request: &PieceRequest) -> Option<PieceRequestV1> {
    let message = match request.clone() {
        PieceRequest::RunBatch(batch) | PieceRequest::RunReturnedBatch(batch) => {
            PieceRequestV1::RunBatch(batch.into())
        }
        PieceRequest::CancelBatch(number) => PieceRequestV1::CancelBatch(number),
        PieceRequest::ExpectPieces { number, expected } => {
            PieceRequestV1::ExpectPieces { number, expected }
        }
        PieceRequest::EndExpectation(number) => PieceRequestV1::EndExpectation(number),
        PieceRequest::ReleaseResults {
            service,
            handles,
            bytes,
        } => PieceRequestV1::ReleaseResults {
            service,
            handles,
            bytes,
        },
        PieceRequest::PlanPlacement { number, request } => PieceRequestV1::PlanPlacement {
            number,
            request: request.into(),
        },
        PieceRequest::PlacePrompt { number, request } => PieceRequestV1::PlacePrompt {
            number,
            request: request.into(),
        },
        PieceRequest::PrefillDone(number) => PieceRequestV1::PrefillDone(number),
        PieceRequest::EndPlacement(number) => PieceRequestV1::EndPlacement(number),
        PieceRequest::DelegateCall { number, call } => {
            PieceRequestV1::DelegateCall { number, call }
        }
        PieceRequest::DelegateRelease(release) => PieceRequestV1::DelegateRelease(release),
        PieceRequest::EngineUnreachable { service, engine } => {
            PieceRequestV1::EngineUnreachable { service, engine }
        }
        PieceRequest::Heartbeat => PieceRequestV1::Heartbeat,
        PieceRequest::Suspects(_)
        | PieceRequest::AcquireRunPermit { .. }
        | PieceRequest::ReleaseRunPermit(_)
        | PieceRequest::AcquireSendPermit { .. }
        | PieceRequest::ReportUse { .. }
        | PieceRequest::BindStream { .. }
        | PieceRequest::FindStream { .. } => return None,
    };
    Some(message)
}
