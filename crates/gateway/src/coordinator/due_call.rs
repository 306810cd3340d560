//! A call to a stage target that is due.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::pool::QueuedPiece;
use super::stage_target::StageTarget;
use crate::pool_key::PoolKey;

/// A call that is due.
pub(crate) struct DueCall {
    pub(crate) pool: PoolKey,
    pub(crate) target: String,
    pub(crate) born: u64,
    pub(crate) address: SocketAddr,
    /// The target's data hall.
    pub(crate) hall: String,
    pub(crate) started: Instant,
    /// How long it takes by the pool's settings.
    pub(crate) expected: Duration,
    /// How long it may take before it counts as late.
    pub(crate) late_after: Duration,
    pub(crate) pieces: Vec<QueuedPiece>,
    /// Whether it was sent while another call was at work at the target.
    pub(super) overlapping: bool,
    /// After which time the next call to the target may follow, where that is before the end of this
    /// one.
    pub(crate) next_call_after: Option<Duration>,
    /// Whether it only tries whether the target is sound, with a copy of a piece.
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

    /// Says whether it was sent while another call was at work at the target.
    pub(crate) fn is_overlapping(&self) -> bool {
        self.overlapping
    }

    /// Says whether a piece may go with those that are in the call: one that may end its target goes with
    /// those of its own request only.
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
