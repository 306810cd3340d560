//! Pieces of stages, and how busy the pools are that run them.

use std::collections::BTreeMap;

use derive_more::Display;
use linnet_quarantine::RequestKey;
use linnet_routing::StagePool;
use serde::{Deserialize, Serialize};

use crate::caller_request::Rank;
use crate::pool_key::PoolKey;

/// What a piece works on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceInput {
    /// A key that the caller gave.
    Key(String),
    /// Handles of results of earlier stages.
    Results(Vec<String>),
}

/// What all pieces of one stage of one request share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageWork {
    /// The request.
    pub request: String,
    /// The stage of its route, from 0.
    pub stage: usize,
    /// What its pieces work on.
    pub input: PieceInput,
}

/// Why there is no result of a piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum PieceFault {
    /// The time that was left had run out.
    #[display("late")]
    Late,
    /// A result that it works on is gone.
    #[display("input gone")]
    InputGone,
    /// The target has no memory for the result.
    #[display("no room")]
    NoRoom,
    /// The target did not take the call.
    #[display("call not taken")]
    NotTaken,
    /// The target failed.
    #[display("failed")]
    Failed,
    /// Targets ended while they worked on it.
    #[display("its targets ended")]
    TargetsEnded,
    /// The queue is too long for the time that is left; nothing was started.
    #[display("queue too long")]
    Refused,
    /// The host that gathers the pieces could not be reached or was lost.
    #[display("coordinator lost")]
    Lost,
}

/// How busy the targets of a stage pool are, as its coordinator knows it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Pieces that wait or are expected, by rank.
    pub waiting: Vec<(Rank, u32)>,
    /// Targets that take calls.
    pub targets: u32,
    /// Targets that are free now.
    pub free: u32,
}

impl PoolLoad {
    /// Adds the load of another part of the same pool.
    pub fn add(&mut self, other: &Self) {
        let mut waiting: BTreeMap<Rank, u32> = self.waiting.iter().copied().collect();
        for (rank, count) in &other.waiting {
            *waiting.entry(*rank).or_default() += count;
        }
        self.waiting = waiting.into_iter().collect();
        self.targets += other.targets;
        self.free += other.free;
    }

    /// Returns about how long pieces of a rank wait for their call, in milliseconds.
    pub fn wait_ms(&self, pool: &StagePool, rank: Rank, pieces: u32) -> f64 {
        let before = self.waiting.iter().filter(|(other, _)| *other <= rank);
        let ahead: u32 = before.map(|(_, count)| count).sum();
        if ahead == 0 && self.free > 0 {
            return 0.0;
        }
        let targets = self.targets.max(1);
        let full_call = pool.call_time_ms(pool.batch as usize);
        let a_round = (pool.batch * pool.slots * targets).max(1);
        let next_end = full_call / f64::from(targets + 1);
        next_end + f64::from((ahead + pieces) / a_round) * full_call
    }
}

/// What the calls of one host, and their results, take at a target of a pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUse {
    /// The target.
    pub target: String,
    /// Bytes of results.
    pub bytes: u64,
    /// Time until the last of them expires, in milliseconds.
    pub lasts_ms: u32,
    /// Time until its call is expected to end, in milliseconds.
    pub busy_ms: u32,
}

/// Pieces that an admitted request will bring when its earlier stages are done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedPieces {
    /// The pool, or the part of one, that will run them.
    pub pool: PoolKey,
    /// Rank of the request.
    pub rank: Rank,
    /// How many there are.
    pub pieces: u32,
}

/// All pieces of one stage of one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PieceBatch {
    /// Number of the batch on its connection.
    pub number: u64,
    /// The pool, or the part of one, that runs them.
    pub pool: PoolKey,
    /// Rank of the request.
    pub rank: Rank,
    /// Whether no stage of the request has run yet, so that refusing it wastes nothing.
    pub first: bool,
    /// Time within which the batch has to be done for the request to meet its objective, in
    /// milliseconds.
    pub wanted_ms: u64,
    /// Time until the request is given up, in milliseconds.
    pub remaining_ms: u64,
    /// The data hall from which or to which large results would cross, where that matters.
    pub hall: Option<String>,
    /// Halls in which the pieces may run; nothing where they may in all.
    pub homes: Option<Vec<String>>,
    /// About how large one result is, in bytes.
    pub result_bytes: u64,
    /// By what the request is known when it comes again.
    pub(crate) key: RequestKey,
    /// Whether the request may end its targets, so that no other's pieces go with these.
    pub(crate) apart: bool,
    /// What the pieces share; sent once, since the handles of many results are long.
    pub work: StageWork,
    /// How many pieces there are, numbered from 0.
    pub count: u32,
}

/// Returns the address of the target that made a result.
pub(crate) fn maker_of(handle: &str) -> &str {
    handle.split('/').next().unwrap_or_default()
}
