//! Pieces, the units of work of a stage, and the load of the pools that run them.

use std::collections::BTreeMap;

use derive_more::Display;
use linnet_forecast::StageInputs;
use linnet_quarantine::RequestKey;
use linnet_routing::StagePool;
use serde::{Deserialize, Serialize};

use crate::pool_key::PoolKey;
use crate::rank::Rank;

/// The input of a piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceInput {
    /// A key from the caller's request.
    Key(String),
    /// Handles of the results of earlier stages.
    Results(Vec<String>),
}

/// The part of the work that all pieces of one stage of one request have in common.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageWork {
    /// Id of the request.
    pub request: String,
    /// Index of the stage in the request's route, from 0.
    pub stage: usize,
    /// Input of the pieces.
    pub input: PieceInput,
}

/// The reason why a piece has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum PieceFault {
    /// The deadline passed before there was a result.
    #[display("late")]
    DeadlineExceeded,
    /// An input result no longer exists.
    #[display("input gone")]
    InputGone,
    /// The target has no memory left for the result.
    #[display("no room")]
    OutOfMemory,
    /// The target did not accept the call.
    #[display("call not taken")]
    CallRejected,
    /// The target failed to run the piece.
    #[display("failed")]
    Failed,
    /// Targets crashed while they ran the piece.
    #[display("its targets ended")]
    TargetsCrashed,
    /// The queue is too long for the time left; nothing was started.
    #[display("queue too long")]
    QueueTooLong,
    /// The coordinator could not be reached, or its connection was lost.
    #[display("coordinator lost")]
    CoordinatorLost,
}

/// The load of a stage pool or partition, as its coordinator reports it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Number of pieces that are queued or expected, by rank.
    pub waiting: Vec<(Rank, u32)>,
    /// Number of targets that accept calls.
    pub targets: u32,
    /// Number of targets that can be sent a call now.
    pub free: u32,
}

impl PoolLoad {
    /// Returns the load of a pool without work.
    pub fn idle(targets: u32) -> Self {
        Self {
            waiting: Vec::new(),
            targets,
            free: targets,
        }
    }

    /// Returns the number of queued or expected pieces that are served before new pieces of a rank.
    pub fn pieces_ahead(&self, rank: Rank) -> u32 {
        let same_or_higher = self.waiting.iter().filter(|(other, _)| *other <= rank);
        same_or_higher.map(|(_, count)| count).sum()
    }

    /// Adds the load of another partition of the same pool.
    pub fn add(&mut self, other: &Self) {
        let mut waiting: BTreeMap<Rank, u32> = self.waiting.iter().copied().collect();
        for (rank, count) in &other.waiting {
            *waiting.entry(*rank).or_default() += count;
        }
        self.waiting = waiting.into_iter().collect();
        self.targets += other.targets;
        self.free += other.free;
    }

    /// Returns the inputs of a forecast for new pieces of a rank, without measurements.
    pub(crate) fn stage_inputs(
        &self,
        pool: &StagePool,
        rank: Rank,
        pieces: u32,
    ) -> StageInputs<'static, Rank> {
        StageInputs {
            pieces,
            ahead: self.pieces_ahead(rank),
            targets: self.targets,
            free: self.free,
            batch: pool.batch,
            slots: pool.slots,
            call_ms: pool.call_ms,
            piece_ms: pool.piece_ms,
            start_ms: 0.0,
            rank,
            times: None,
        }
    }

    /// Estimates how long new pieces of a rank wait until they are sent in a call, in milliseconds.
    pub fn expected_wait_ms(&self, pool: &StagePool, rank: Rank, pieces: u32) -> f64 {
        let ahead = self.pieces_ahead(rank);
        if ahead == 0 && self.free > 0 {
            return 0.0;
        }
        let targets = self.targets.max(1);
        let full_call_ms = pool.call_time_ms(pool.batch as usize);
        let pieces_per_round = (pool.batch * pool.slots * targets).max(1);
        let next_free_ms = full_call_ms / f64::from(targets + 1);
        next_free_ms + f64::from((ahead + pieces) / pieces_per_round) * full_call_ms
    }
}

/// The capacity of one target that the calls and results of one coordinator occupy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUsage {
    /// Id of the target.
    pub target: String,
    /// Memory taken by results, in bytes.
    pub result_bytes: u64,
    /// Time until the last of the results expires, in milliseconds.
    pub expires_in_ms: u32,
    /// Time until the running call is expected to end, in milliseconds.
    pub busy_for_ms: u32,
}

/// Pieces that an admitted request will submit once its earlier stages are done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedPieces {
    /// The pool or partition that will run them.
    pub pool: PoolKey,
    /// Rank of the request.
    pub rank: Rank,
    /// Number of pieces.
    pub pieces: u32,
}

/// All pieces of one stage of one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PieceBatch {
    /// Number that identifies the batch on its connection.
    pub number: u64,
    /// The pool or partition that runs the pieces.
    pub pool: PoolKey,
    /// Rank of the request.
    pub rank: Rank,
    /// Whether this is a first stage of the request: no work is wasted if the batch is refused.
    pub first_stage: bool,
    /// Time within which the batch must complete for the request to meet its objective, in
    /// milliseconds.
    pub objective_ms: u64,
    /// Time until the deadline of the request, in milliseconds.
    pub remaining_ms: u64,
    /// The data hall that holds large inputs or consumes large results; `None` if the location does
    /// not matter.
    pub preferred_hall: Option<String>,
    /// Data halls in which the pieces may run; `None` for all.
    pub allowed_halls: Option<Vec<String>>,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
    /// Identifies the request when a caller repeats it.
    pub(crate) request_key: RequestKey,
    /// Whether the request is suspected of crashing targets, so that its pieces share no call with
    /// those of other requests.
    pub(crate) isolated: bool,
    /// What the pieces have in common. Sent once per batch, since the handles of many results are
    /// long.
    pub work: StageWork,
    /// Number of pieces; they are numbered from 0.
    pub piece_count: u32,
}

/// Returns the address of the target that produced a result, the first part of its handle.
pub(crate) fn target_address_of(handle: &str) -> &str {
    handle.split('/').next().unwrap_or_default()
}
