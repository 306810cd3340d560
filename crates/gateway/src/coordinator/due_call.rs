//! A call to a stage target that is ready to be sent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::pool::QueuedPiece;
use super::stage_target::StageTarget;
use crate::pool_key::PoolKey;

/// A call that is ready to be sent.
#[derive(Clone)]
pub(crate) struct DueCall {
    pub(crate) pool: PoolKey,
    pub(crate) target: String,
    pub(crate) born: u64,
    pub(crate) address: SocketAddr,
    /// The target's data hall.
    pub(crate) hall: String,
    pub(crate) started: Instant,
    /// Expected duration according to the pool's settings.
    pub(crate) expected: Duration,
    /// Time after which the call counts as late.
    pub(crate) late_after: Duration,
    pub(crate) pieces: Vec<QueuedPiece>,
    /// Whether it was sent while another call was running at the target.
    pub(super) overlapping: bool,
    /// Time after which the next call may be sent to the target, if that is before the end of this
    /// one.
    pub(crate) next_call_after: Option<Duration>,
    /// Whether the call only tests if the target is healthy, with a copy of a piece.
    pub(crate) trial: bool,
    pub(super) reserved_bytes: u64,
}

impl DueCall {
    pub(super) fn new(pool: &PoolKey, id: &str, target: &StageTarget, now: Instant) -> Self {
        Self {
            pool: pool.clone(),
            target: id.to_owned(),
            born: target.born,
            address: target.address,
            hall: target.hall.clone(),
            started: now,
            expected: Duration::ZERO,
            late_after: Duration::ZERO,
            pieces: Vec::new(),
            overlapping: target.running > 0,
            next_call_after: None,
            trial: false,
            reserved_bytes: 0,
        }
    }

    /// Returns the number of pieces whose requests had missed their objective when it was sent.
    pub(super) fn overdue_pieces(&self) -> usize {
        let overdue = |piece: &&QueuedPiece| piece.objective_at < self.started;
        self.pieces.iter().filter(overdue).count()
    }

    /// Returns whether it was sent while another call was running at the target.
    pub(crate) fn is_overlapping(&self) -> bool {
        self.overlapping
    }

    /// Returns whether a piece may be added to the call. A piece that may crash its target shares a
    /// call only with pieces of its own request.
    pub(super) fn accepts(&self, piece: &QueuedPiece) -> bool {
        let mut others = self
            .pieces
            .iter()
            .filter(|one| one.request_key != piece.request_key);
        others.all(|one| !one.isolated && !piece.isolated)
    }

    pub(super) fn push(&mut self, piece: QueuedPiece) {
        self.reserved_bytes += piece.result_bytes;
        self.pieces.push(piece);
    }
}
