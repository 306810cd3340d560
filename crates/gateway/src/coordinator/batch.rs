//! Batches: the pieces of one stage of one request, and the outcome of each piece.
//!
//! A piece may be sent to a second target while the first one is late. The first result of any copy
//! is used; a failure counts only if no other copy is pending.

use std::collections::HashMap;

use crate::piece::PieceFault;
use crate::pool_key::PoolKey;

/// Identifies a batch at its coordinator.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct BatchKey(u64);

/// Identifies one piece of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct PieceKey {
    pub(crate) batch: BatchKey,
    /// Index of the piece within its batch, from 0.
    pub(crate) index: usize,
}

/// The handle of a piece's result, or the reason there is none.
pub(crate) type PieceOutcome = Result<String, PieceFault>;

/// How a batch ended at its coordinator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum BatchOutcome {
    /// Each piece has an outcome.
    Completed(Vec<PieceOutcome>),
    /// The batch was returned to its submitter; none of its pieces was sent in a call.
    Returned,
}

/// Receives the outcome of a batch.
pub(crate) type BatchReply = Box<dyn FnOnce(BatchOutcome)>;

/// What has to be done after a copy of a piece has ended.
pub(super) enum CopyEffect {
    /// Nothing: other copies or other pieces are still pending.
    Pending,
    /// Release the result: its piece has another result already, or its batch was cancelled.
    Unneeded(String),
    /// Reply to the batch: this was its last pending piece.
    Complete(BatchReply, Vec<PieceOutcome>),
}

/// The state of one piece of a batch.
struct Piece {
    outcome: Option<PieceOutcome>,
    /// Copies that are queued or in a call.
    copies: u32,
}

struct Batch {
    pool: PoolKey,
    reply: BatchReply,
    pieces: Vec<Piece>,
    /// Whether the batch may be returned: its submitter accepts that, and no piece has been sent.
    returnable: bool,
}

/// The incomplete batches of one coordinator.
#[derive(Default)]
pub(super) struct OpenBatches {
    open: HashMap<BatchKey, Batch>,
    last: u64,
}

impl OpenBatches {
    /// Adds a batch whose pieces have one copy each.
    pub(super) fn add(&mut self, pool: PoolKey, count: usize, reply: BatchReply) -> BatchKey {
        self.last += 1;
        let key = BatchKey(self.last);
        let piece = || Piece {
            outcome: None,
            copies: 1,
        };
        let pieces = std::iter::repeat_with(piece).take(count).collect();
        let batch = Batch {
            pool,
            reply,
            pieces,
            returnable: false,
        };
        self.open.insert(key, batch);
        key
    }

    /// Records that a batch may be returned until one of its pieces is sent.
    pub(super) fn allow_return(&mut self, key: BatchKey) {
        if let Some(batch) = self.open.get_mut(&key) {
            batch.returnable = true;
        }
    }

    /// Records that a piece of a batch was sent in a call.
    pub(super) fn record_sent(&mut self, key: BatchKey) {
        if let Some(batch) = self.open.get_mut(&key) {
            batch.returnable = false;
        }
    }

    /// Removes a batch if it may be returned.
    pub(super) fn take_returnable(&mut self, key: BatchKey) -> Option<BatchReply> {
        let is_returnable = self.open.get(&key).is_some_and(|batch| batch.returnable);
        let batch = is_returnable.then(|| self.open.remove(&key)).flatten()?;
        Some(batch.reply)
    }

    /// Returns the number of incomplete batches in a pool.
    pub(super) fn count_in(&self, pool: &PoolKey) -> usize {
        let in_pool = self.open.values().filter(|batch| batch.pool == *pool);
        in_pool.count()
    }

    /// Drops a batch whose results are no longer needed.
    pub(super) fn cancel(&mut self, key: BatchKey) {
        self.open.remove(&key);
    }

    /// Returns the number of pending copies of a piece, or `None` if the piece has an outcome or
    /// its batch was dropped.
    pub(super) fn pending_copies(&self, key: PieceKey) -> Option<u32> {
        let piece = self.open.get(&key.batch)?.pieces.get(key.index)?;
        piece.outcome.is_none().then_some(piece.copies)
    }

    /// Counts another copy of a piece.
    pub(super) fn add_copy(&mut self, key: PieceKey) {
        if let Some(piece) = self.piece_mut(key) {
            piece.copies += 1;
        }
    }

    /// Records the outcome of one copy.
    pub(super) fn record_outcome(&mut self, key: PieceKey, outcome: PieceOutcome) -> CopyEffect {
        let Some(piece) = self.piece_mut(key) else {
            return unneeded(outcome);
        };
        piece.copies = piece.copies.saturating_sub(1);
        if piece.outcome.is_some() {
            return unneeded(outcome);
        }
        if outcome.is_err() && piece.copies > 0 {
            return CopyEffect::Pending;
        }
        piece.outcome = Some(outcome);
        self.complete(key.batch)
    }

    fn piece_mut(&mut self, key: PieceKey) -> Option<&mut Piece> {
        self.open.get_mut(&key.batch)?.pieces.get_mut(key.index)
    }

    fn complete(&mut self, key: BatchKey) -> CopyEffect {
        let is_complete = |batch: &Batch| batch.pieces.iter().all(|piece| piece.outcome.is_some());
        if !self.open.get(&key).is_some_and(is_complete) {
            return CopyEffect::Pending;
        }
        let Some(batch) = self.open.remove(&key) else {
            return CopyEffect::Pending;
        };
        let outcomes = batch.pieces.into_iter().filter_map(|piece| piece.outcome);
        CopyEffect::Complete(batch.reply, outcomes.collect())
    }
}

fn unneeded(outcome: PieceOutcome) -> CopyEffect {
    outcome.map_or(CopyEffect::Pending, CopyEffect::Unneeded)
}

#[cfg(test)]
mod tests;
