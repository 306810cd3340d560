//! What entry hosts tell each other of pieces and prompts.

use linnet_quarantine::{RequestKey, SuspectRecord};
use linnet_wire::MessageVersion;
use serde::{Deserialize, Serialize};

use crate::engine::{PlaceAsk, PlaceFacts};
use crate::piece::{ExpectedPieces, PieceBatch, PieceFault, PoolLoad, TargetUse};
use crate::pool_key::PoolKey;
use crate::rate_turn::{RateAnswer, RateAsk};
use crate::stage_call::{CallEnd, StageCall, StageRelease};
use crate::turn::TurnAnswer;

/// What an entry host sends to the one that gathers the pieces of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PieceRequest {
    /// Run these.
    Run(PieceBatch),
    /// The batch is not wanted any more.
    Cancel(u64),
    /// A request that was admitted will bring pieces later.
    Expect {
        number: u64,
        expected: ExpectedPieces,
    },
    /// The pieces that were expected are there, or will not come.
    Arrived(u64),
    /// These results, each of about so many bytes, are not needed any more.
    Free {
        service: String,
        handles: Vec<String>,
        bytes: u64,
    },
    /// Say where a prompt would be placed now; changes nothing.
    Plan { number: u64, ask: PlaceAsk },
    /// Place a prompt on an engine.
    Place { number: u64, ask: PlaceAsk },
    /// The engine has read a prompt that was placed.
    Read(u64),
    /// A request that was placed has ended.
    End(u64),
    /// Send this call to its target and tell how it ended.
    Call { number: u64, call: StageCall },
    /// Tell a target that results are not needed any more.
    Release(StageRelease),
    /// This host could not reach an engine where a prompt was placed.
    Unreachable { service: String, engine: String },
    /// What this host holds against requests.
    Suspects(Vec<SuspectRecord>),
    /// Say whether a request may run now that may end its targets; `id` is that of the sending, for the log.
    TakeTurn {
        number: u64,
        key: RequestKey,
        id: String,
    },
    /// That request has ended, or does not wait any more.
    EndTurn(u64),
    /// A sign of life.
    Alive,
    /// Give leave to send to a target that names a rate.
    TakeRate { number: u64, ask: RateAsk },
}

impl PieceRequest {
    /// Returns the first form after the first one that knows it.
    pub(crate) fn first_known(&self) -> MessageVersion {
        match self {
            Self::TakeRate { .. } => MessageVersion::V4,
            _ => MessageVersion::V2,
        }
    }
}

/// What the host that gathers pieces answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum PieceReply {
    /// Every piece of the batch has an outcome.
    Done {
        number: u64,
        results: Vec<Result<String, PieceFault>>,
    },
    /// The engine for a prompt that was planned or placed; nothing where there is none.
    Placed {
        number: u64,
        engine: Option<(String, PlaceFacts)>,
    },
    /// Whether a request may run now.
    Turn { number: u64, answer: TurnAnswer },
    /// How a call ended that was sent for the other host.
    Called { number: u64, end: CallEnd },
    /// What this host uses of the targets of a pool; told to the hosts that would gather for the pool
    /// if this one were lost.
    Uses { pool: PoolKey, uses: Vec<TargetUse> },
    /// A sign of life, with the load of the pools that this host gathers for.
    Alive { loads: Vec<(PoolKey, PoolLoad)> },
    /// Whether a request may go to a target that names a rate; told to hosts that asked.
    Rate { number: u64, answer: RateAnswer },
}

#[cfg(test)]
pub(crate) mod tests;
