//! What the host that gathers or places answers, in the first form.

use serde::{Deserialize, Serialize};

use crate::engine::PlacementFacts;
use crate::piece::{PieceFault, PoolLoad, TargetUse};
use crate::piece_message::PieceReply;
use crate::pool_key::PoolKey;
use crate::reported_load::ReportedLoad;
use crate::stage_call::CallEnd;

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

/// A [`PieceReply`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum FirstReply {
    Done {
        number: u64,
        results: Vec<FirstOutcome>,
    },
    Placed {
        number: u64,
        engine: Option<(String, PlacementFacts)>,
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
pub(crate) fn first_reply(reply: &PieceReply) -> Option<FirstReply> {
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
        PieceReply::Turn { .. } | PieceReply::Rate { .. } => return None,
    };
    Some(told)
}
