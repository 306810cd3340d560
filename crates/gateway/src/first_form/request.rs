//! What an entry host asks of the one that gathers or places, in the first form.

use linnet_quarantine::RequestKey;
use serde::{Deserialize, Serialize};

use crate::caller_request::{Prompt, Rank};
use crate::engine::PlaceAsk;
use crate::hall_bytes::HallBytes;
use crate::piece::{ExpectedPieces, PieceBatch, StageWork};
use crate::piece_message::PieceRequest;
use crate::pool_key::PoolKey;
use crate::stage_call::{StageCall, StageRelease};

/// A [`PieceBatch`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct FirstBatch {
    number: u64,
    pool: PoolKey,
    rank: Rank,
    first: bool,
    wanted_ms: u64,
    remaining_ms: u64,
    hall: Option<String>,
    homes: Option<Vec<String>>,
    result_bytes: u64,
    work: StageWork,
    count: u32,
}

impl From<FirstBatch> for PieceBatch {
    fn from(told: FirstBatch) -> Self {
        // Its own request's, so that nothing is held against another one.
        let key = RequestKey::new("", "", [&told.work.request, ""], &[]);
        Self {
            number: told.number,
            pool: told.pool,
            rank: told.rank,
            first: told.first,
            wanted_ms: told.wanted_ms,
            remaining_ms: told.remaining_ms,
            hall: told.hall,
            homes: told.homes,
            result_bytes: told.result_bytes,
            key,
            apart: false,
            work: told.work,
            count: told.count,
        }
    }
}

impl From<PieceBatch> for FirstBatch {
    fn from(batch: PieceBatch) -> Self {
        Self {
            number: batch.number,
            pool: batch.pool,
            rank: batch.rank,
            first: batch.first,
            wanted_ms: batch.wanted_ms,
            remaining_ms: batch.remaining_ms,
            hall: batch.hall,
            homes: batch.homes,
            result_bytes: batch.result_bytes,
            work: batch.work,
            count: batch.count,
        }
    }
}

/// A [`PlaceAsk`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FirstPlaceAsk {
    service: String,
    prompt: Prompt,
    heavy_stage: Option<String>,
    results: HallBytes,
    avoid: Vec<String>,
    closed: Vec<String>,
    homes: Option<Vec<String>>,
}

impl From<FirstPlaceAsk> for PlaceAsk {
    fn from(told: FirstPlaceAsk) -> Self {
        Self {
            service: told.service,
            prompt: told.prompt,
            heavy_stage: told.heavy_stage,
            results: told.results,
            avoid: told.avoid,
            closed: told.closed,
            homes: told.homes,
            apart: false,
        }
    }
}

impl From<PlaceAsk> for FirstPlaceAsk {
    fn from(ask: PlaceAsk) -> Self {
        Self {
            service: ask.service,
            prompt: ask.prompt,
            heavy_stage: ask.heavy_stage,
            results: ask.results,
            avoid: ask.avoid,
            closed: ask.closed,
            homes: ask.homes,
        }
    }
}

/// A [`PieceRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum FirstRequest {
    Run(FirstBatch),
    Cancel(u64),
    Expect {
        number: u64,
        expected: ExpectedPieces,
    },
    Arrived(u64),
    Free {
        service: String,
        handles: Vec<String>,
        bytes: u64,
    },
    Plan {
        number: u64,
        ask: FirstPlaceAsk,
    },
    Place {
        number: u64,
        ask: FirstPlaceAsk,
    },
    Read(u64),
    End(u64),
    Call {
        number: u64,
        call: StageCall,
    },
    Release(StageRelease),
    Unreachable {
        service: String,
        engine: String,
    },
    Alive,
}

impl From<FirstRequest> for PieceRequest {
    fn from(told: FirstRequest) -> Self {
        match told {
            FirstRequest::Run(batch) => Self::Run(batch.into()),
            FirstRequest::Cancel(number) => Self::Cancel(number),
            FirstRequest::Expect { number, expected } => Self::Expect { number, expected },
            FirstRequest::Arrived(number) => Self::Arrived(number),
            FirstRequest::Free {
                service,
                handles,
                bytes,
            } => Self::Free {
                service,
                handles,
                bytes,
            },
            FirstRequest::Plan { number, ask } => Self::Plan {
                number,
                ask: ask.into(),
            },
            FirstRequest::Place { number, ask } => Self::Place {
                number,
                ask: ask.into(),
            },
            FirstRequest::Read(number) => Self::Read(number),
            FirstRequest::End(number) => Self::End(number),
            FirstRequest::Call { number, call } => Self::Call { number, call },
            FirstRequest::Release(release) => Self::Release(release),
            FirstRequest::Unreachable { service, engine } => Self::Unreachable { service, engine },
            FirstRequest::Alive => Self::Alive,
        }
    }
}

/// Returns a request in the first form; nothing where that has no word for it.
pub(crate) fn first_request(request: &PieceRequest) -> Option<FirstRequest> {
    let told = match request.clone() {
        PieceRequest::Run(batch) => FirstRequest::Run(batch.into()),
        PieceRequest::Cancel(number) => FirstRequest::Cancel(number),
        PieceRequest::Expect { number, expected } => FirstRequest::Expect { number, expected },
        PieceRequest::Arrived(number) => FirstRequest::Arrived(number),
        PieceRequest::Free {
            service,
            handles,
            bytes,
        } => FirstRequest::Free {
            service,
            handles,
            bytes,
        },
        PieceRequest::Plan { number, ask } => FirstRequest::Plan {
            number,
            ask: ask.into(),
        },
        PieceRequest::Place { number, ask } => FirstRequest::Place {
            number,
            ask: ask.into(),
        },
        PieceRequest::Read(number) => FirstRequest::Read(number),
        PieceRequest::End(number) => FirstRequest::End(number),
        PieceRequest::Call { number, call } => FirstRequest::Call { number, call },
        PieceRequest::Release(release) => FirstRequest::Release(release),
        PieceRequest::Unreachable { service, engine } => {
            FirstRequest::Unreachable { service, engine }
        }
        PieceRequest::Alive => FirstRequest::Alive,
        PieceRequest::Suspects(_)
        | PieceRequest::TakeTurn { .. }
        | PieceRequest::EndTurn(_)
        | PieceRequest::TakeRate { .. } => return None,
    };
    Some(told)
}
