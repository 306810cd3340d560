//! The order of the pieces of one rank in a queue.

use std::time::Instant;

use super::batch::BatchKey;
use super::pool::QueuedPiece;
use super::queue_return::ReturnRule;
use crate::rank::Rank;

/// The place of a piece among the pieces of its rank: the earlier batch is first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueOrder {
    /// The batch itself; for a returned batch the queued one that it precedes.
    place: BatchKey,
    /// Orders the batches of one place.
    deadline: Instant,
    batch: BatchKey,
}

impl QueueOrder {
    /// Returns the order of a batch that was submitted for the first time.
    pub(super) fn new(batch: BatchKey, deadline: Instant) -> Self {
        Self {
            place: batch,
            deadline,
            batch,
        }
    }

    /// Returns the order of a batch. One that was returned has waited at another host, so it precedes
    /// the first queued piece of its rank with a later deadline.
    pub(super) fn among(
        queue: &[QueuedPiece],
        batch: BatchKey,
        rank: Rank,
        deadline: Instant,
        rule: ReturnRule,
    ) -> Self {
        let own = Self::new(batch, deadline);
        if rule != ReturnRule::ReturnedBefore {
            return own;
        }
        let mut same_rank = queue.iter().filter(|piece| piece.rank == rank);
        let later = same_rank.find(|piece| piece.deadline > deadline);
        let place = later.map_or(batch, |piece| piece.order.place);
        Self { place, ..own }
    }
}
