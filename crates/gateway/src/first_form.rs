//! Messages between entry hosts as the first form has them: nothing is told of requests that may end their
//! targets.

use linnet_quarantine::RequestKey;
use linnet_wire::{MessageForm, PeerWriter, WireError};
use serde::{Deserialize, Serialize};

use crate::ask::{Prompt, Rank};
use crate::engine::{PlaceAsk, PlaceFacts};
use crate::hall_bytes::HallBytes;
use crate::load::ReportedLoad;
use crate::piece::{ExpectedPieces, PieceBatch, PieceFault, PoolLoad, StageWork, TargetUse};
use crate::piece_message::{PieceReply, PieceRequest};
use crate::pool_key::PoolKey;
use crate::stage_call::{CallEnd, StageCall, StageRelease};

/// A [`PieceFault`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FirstFault {
    Late,
    InputGone,
    NoRoom,
    NotTaken,
    Failed,
    Refused,
    Lost,
}

impl From<FirstFault> for PieceFault {
    fn from(told: FirstFault) -> Self {
        match told {
            FirstFault::Late => Self::Late,
            FirstFault::InputGone => Self::InputGone,
            FirstFault::NoRoom => Self::NoRoom,
            FirstFault::NotTaken => Self::NotTaken,
            FirstFault::Failed => Self::Failed,
            FirstFault::Refused => Self::Refused,
            FirstFault::Lost => Self::Lost,
        }
    }
}

impl From<PieceFault> for FirstFault {
    fn from(fault: PieceFault) -> Self {
        match fault {
            PieceFault::Late => Self::Late,
            PieceFault::InputGone => Self::InputGone,
            PieceFault::NoRoom => Self::NoRoom,
            PieceFault::NotTaken => Self::NotTaken,
            PieceFault::Failed | PieceFault::TargetsEnded => Self::Failed,
            PieceFault::Refused => Self::Refused,
            PieceFault::Lost => Self::Lost,
        }
    }
}

/// The outcome of a piece.
type FirstOutcome = Result<String, FirstFault>;

fn read_outcomes(told: Vec<FirstOutcome>) -> Vec<Result<String, PieceFault>> {
    let outcomes = told.into_iter();
    outcomes.map(|one| one.map_err(PieceFault::from)).collect()
}

fn write_outcomes(outcomes: Vec<Result<String, PieceFault>>) -> Vec<FirstOutcome> {
    let outcomes = outcomes.into_iter();
    outcomes.map(|one| one.map_err(FirstFault::from)).collect()
}

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

/// A [`CallEnd`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum FirstCallEnd {
    Answered(Vec<FirstOutcome>, Option<ReportedLoad>),
    Busy,
    OtherTarget,
    Failed(String),
    SenderLost,
}

impl From<FirstCallEnd> for CallEnd {
    fn from(told: FirstCallEnd) -> Self {
        match told {
            FirstCallEnd::Answered(outcomes, load) => Self::Answered(read_outcomes(outcomes), load),
            FirstCallEnd::Busy => Self::Busy,
            FirstCallEnd::OtherTarget => Self::OtherTarget,
            FirstCallEnd::Failed(cause) => Self::Failed(cause),
            FirstCallEnd::SenderLost => Self::SenderLost,
        }
    }
}

impl From<CallEnd> for FirstCallEnd {
    fn from(end: CallEnd) -> Self {
        match end {
            CallEnd::Answered(outcomes, load) => Self::Answered(write_outcomes(outcomes), load),
            CallEnd::Busy => Self::Busy,
            CallEnd::OtherTarget => Self::OtherTarget,
            CallEnd::Failed(cause) | CallEnd::Broke(cause) | CallEnd::Ended(cause) => {
                Self::Failed(cause)
            }
            CallEnd::SenderLost => Self::SenderLost,
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
fn first_request(request: &PieceRequest) -> Option<FirstRequest> {
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
        PieceRequest::Suspects(_) | PieceRequest::TakeTurn { .. } | PieceRequest::EndTurn(_) => {
            return None;
        }
    };
    Some(told)
}

/// A [`PieceReply`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum FirstReply {
    Done {
        number: u64,
        results: Vec<FirstOutcome>,
    },
    Placed {
        number: u64,
        engine: Option<(String, PlaceFacts)>,
    },
    Called {
        number: u64,
        end: FirstCallEnd,
    },
    Uses {
        pool: PoolKey,
        uses: Vec<TargetUse>,
    },
    Alive {
        loads: Vec<(PoolKey, PoolLoad)>,
    },
}

impl From<FirstReply> for PieceReply {
    fn from(told: FirstReply) -> Self {
        match told {
            FirstReply::Done { number, results } => Self::Done {
                number,
                results: read_outcomes(results),
            },
            FirstReply::Placed { number, engine } => Self::Placed { number, engine },
            FirstReply::Called { number, end } => Self::Called {
                number,
                end: end.into(),
            },
            FirstReply::Uses { pool, uses } => Self::Uses { pool, uses },
            FirstReply::Alive { loads } => Self::Alive { loads },
        }
    }
}

/// Returns a reply in the first form; nothing where that has no word for it.
fn first_reply(reply: &PieceReply) -> Option<FirstReply> {
    let told = match reply.clone() {
        PieceReply::Done { number, results } => FirstReply::Done {
            number,
            results: write_outcomes(results),
        },
        PieceReply::Placed { number, engine } => FirstReply::Placed { number, engine },
        PieceReply::Called { number, end } => FirstReply::Called {
            number,
            end: end.into(),
        },
        PieceReply::Uses { pool, uses } => FirstReply::Uses { pool, uses },
        PieceReply::Alive { loads } => FirstReply::Alive { loads },
        PieceReply::Turn { .. } => return None,
    };
    Some(told)
}

/// Lets a request wait in a writer, in the form that the other side speaks; says whether it is full.
///
/// # Errors
///
/// [`WireError`] of the connection.
pub(crate) fn queue_request(
    writer: &mut PeerWriter,
    form: MessageForm,
    request: &PieceRequest,
) -> Result<bool, WireError> {
    match form {
        MessageForm::Second => writer.queue(request),
        MessageForm::First => first_request(request).map_or(Ok(false), |told| writer.queue(&told)),
    }
}

/// Does the same with a reply.
///
/// # Errors
///
/// [`WireError`] of the connection.
pub(crate) fn queue_reply(
    writer: &mut PeerWriter,
    form: MessageForm,
    reply: &PieceReply,
) -> Result<bool, WireError> {
    match form {
        MessageForm::Second => writer.queue(reply),
        MessageForm::First => first_reply(reply).map_or(Ok(false), |told| writer.queue(&told)),
    }
}

#[cfg(test)]
mod tests;
