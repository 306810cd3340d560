//! The first message version of [`PieceReply`] and the types in it.

use serde::{Deserialize, Serialize};

use crate::engine::PlacementFacts;
use crate::piece::{PieceFault, PoolLoad, TargetUsage};
use crate::piece_message::PieceReply;
use crate::pool_key::PoolKey;
use crate::reported_load::ReportedLoad;
use crate::stage_call::CallOutcome;

/// The first version of [`PieceFault`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PieceFaultV1 {
    DeadlineExceeded,
    InputGone,
    OutOfMemory,
    CallRejected,
    Failed,
    QueueTooLong,
    CoordinatorLost,
}

impl From<PieceFaultV1> for PieceFault {
    fn from(message: PieceFaultV1) -> Self {
        match message {
            PieceFaultV1::DeadlineExceeded => Self::DeadlineExceeded,
            PieceFaultV1::InputGone => Self::InputGone,
            PieceFaultV1::OutOfMemory => Self::OutOfMemory,
            PieceFaultV1::CallRejected => Self::CallRejected,
            PieceFaultV1::Failed => Self::Failed,
            PieceFaultV1::QueueTooLong => Self::QueueTooLong,
            PieceFaultV1::CoordinatorLost => Self::CoordinatorLost,
        }
    }
}

impl From<PieceFault> for PieceFaultV1 {
    fn from(fault: PieceFault) -> Self {
        match fault {
            PieceFault::DeadlineExceeded => Self::DeadlineExceeded,
            PieceFault::InputGone => Self::InputGone,
            PieceFault::OutOfMemory => Self::OutOfMemory,
            PieceFault::CallRejected => Self::CallRejected,
            PieceFault::Failed | PieceFault::TargetsCrashed => Self::Failed,
            PieceFault::QueueTooLong => Self::QueueTooLong,
            PieceFault::CoordinatorLost => Self::CoordinatorLost,
        }
    }
}

/// The first version of a piece's outcome.
type PieceOutcomeV1 = Result<String, PieceFaultV1>;

fn from_v1_outcomes(outcomes: Vec<PieceOutcomeV1>) -> Vec<Result<String, PieceFault>> {
    let outcomes = outcomes.into_iter();
    outcomes
        .map(|outcome| outcome.map_err(PieceFault::from))
        .collect()
}

fn to_v1_outcomes(outcomes: Vec<Result<String, PieceFault>>) -> Vec<PieceOutcomeV1> {
    let outcomes = outcomes.into_iter();
    outcomes
        .map(|outcome| outcome.map_err(PieceFaultV1::from))
        .collect()
}

/// The first version of [`CallOutcome`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CallOutcomeV1 {
    Responded(Vec<PieceOutcomeV1>, Option<ReportedLoad>),
    Busy,
    OtherTarget,
    Failed(String),
    SenderLost,
}

impl From<CallOutcomeV1> for CallOutcome {
    fn from(message: CallOutcomeV1) -> Self {
        match message {
            CallOutcomeV1::Responded(outcomes, load) => {
                Self::Responded(from_v1_outcomes(outcomes), load)
            }
            CallOutcomeV1::Busy => Self::Busy,
            CallOutcomeV1::OtherTarget => Self::OtherTarget,
            CallOutcomeV1::Failed(cause) => Self::Failed(cause),
            CallOutcomeV1::SenderLost => Self::SenderLost,
        }
    }
}

impl From<CallOutcome> for CallOutcomeV1 {
    fn from(outcome: CallOutcome) -> Self {
        match outcome {
            CallOutcome::Responded(outcomes, load) => {
                Self::Responded(to_v1_outcomes(outcomes), load)
            }
            CallOutcome::Busy => Self::Busy,
            CallOutcome::OtherTarget => Self::OtherTarget,
            CallOutcome::Failed(cause)
            | CallOutcome::ConnectionBroken(cause)
            | CallOutcome::TargetCrashed(cause) => Self::Failed(cause),
            CallOutcome::SenderLost => Self::SenderLost,
        }
    }
}

/// The first version of [`PieceReply`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PieceReplyV1 {
    BatchDone {
        number: u64,
        results: Vec<PieceOutcomeV1>,
    },
    Placed {
        number: u64,
        engine: Option<(String, PlacementFacts)>,
    },
    DelegatedCallEnded {
        number: u64,
        outcome: CallOutcomeV1,
    },
    TargetUsage {
        pool: PoolKey,
        usage: Vec<TargetUsage>,
    },
    Heartbeat {
        loads: Vec<(PoolKey, PoolLoad)>,
    },
}

impl From<PieceReplyV1> for PieceReply {
    fn from(message: PieceReplyV1) -> Self {
        match message {
            PieceReplyV1::BatchDone { number, results } => Self::BatchDone {
                number,
                results: from_v1_outcomes(results),
            },
            PieceReplyV1::Placed { number, engine } => Self::Placed { number, engine },
            PieceReplyV1::DelegatedCallEnded { number, outcome } => Self::DelegatedCallEnded {
                number,
                outcome: outcome.into(),
            },
            PieceReplyV1::TargetUsage { pool, usage } => Self::TargetUsage { pool, usage },
            PieceReplyV1::Heartbeat { loads } => Self::Heartbeat { loads },
        }
    }
}

/// Converts a reply to the first message version; `None` if that version lacks it.
pub(crate) fn to_reply_v1(reply: &PieceReply) -> Option<PieceReplyV1> {
    let message = match reply.clone() {
        PieceReply::BatchDone { number, results } => PieceReplyV1::BatchDone {
            number,
            results: to_v1_outcomes(results),
        },
        PieceReply::Placed { number, engine } => PieceReplyV1::Placed { number, engine },
        PieceReply::DelegatedCallEnded { number, outcome } => PieceReplyV1::DelegatedCallEnded {
            number,
            outcome: outcome.into(),
        },
        PieceReply::TargetUsage { pool, usage } => PieceReplyV1::TargetUsage { pool, usage },
        PieceReply::Heartbeat { loads } => PieceReplyV1::Heartbeat { loads },
        PieceReply::RunPermit { .. }
        | PieceReply::SendPermit { .. }
        | PieceReply::PoolTimes { .. }
        | PieceReply::AccountLimits { .. }
        | PieceReply::BatchReturned { .. }
        | PieceReply::StreamFound { .. } => return None,
    };
    Some(message)
}
