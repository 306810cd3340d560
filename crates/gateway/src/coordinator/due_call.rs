//! A call to a stage target that is due.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::pool::Waiting;
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
    pub(crate) began: Instant,
    /// How long it takes by the pool's settings.
    pub(crate) expected: Duration,
    /// How long it may take before it counts as late.
    pub(crate) patience: Duration,
    pub(crate) pieces: Vec<Waiting>,
    /// Whether it was sent while another call was at work at the target.
    pub(super) ahead: bool,
    /// After which time the next call to the target may follow, where that is before the end of this
    /// one.
    pub(crate) handover: Option<Duration>,
    /// Whether it only tries whether the target is sound, with a copy of a piece.
    pub(crate) trial: bool,
    pub(super) reserved: u64,
}

impl DueCall {
    pub(super) fn new(pool: &PoolKey, id: &str, target: &StageTarget, now: Instant) -> Self {
        Self {
            pool: pool.clone(),
            target: id.to_owned(),
            born: target.born,
            address: target.address,
            hall: target.hall.clone(),
            began: now,
            expected: Duration::ZERO,
            patience: Duration::ZERO,
            pieces: Vec::new(),
            ahead: target.busy > 0,
            handover: None,
            trial: false,
            reserved: 0,
        }
    }

    /// Says whether it was sent while another call was at work at the target.
    pub(crate) fn is_ahead(&self) -> bool {
        self.ahead
    }

    /// Says whether a piece may go with those that are in the call: one that may end its target goes with
    /// those of its own request only.
    pub(super) fn takes(&self, waiting: &Waiting) -> bool {
        let mut others = self.pieces.iter().filter(|one| one.key != waiting.key);
        others.all(|one| !one.apart && !waiting.apart)
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        self.reserved += waiting.result_bytes;
        self.pieces.push(waiting);
    }
}
