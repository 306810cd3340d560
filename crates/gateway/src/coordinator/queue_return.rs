//! The return of queued batches to the hosts that submitted them.

use std::time::Instant;

use super::batch::{BatchOutcome, BatchReply};
use super::queue::Coordinator;
use super::state::QueueState;
use crate::pool_key::PoolKey;

/// Whether a coordinator may return a batch to its submitter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReturnRule {
    /// It may, until a piece of the batch is sent in a call.
    Allowed,
    /// It may not: the submitter is of a build that does not know returns, or this is the last attempt
    /// of the batch, which depends on no other host.
    Excluded,
    /// The batch was returned before, and is returned at most once.
    ReturnedBefore,
}

/// The batches of a pool whose queue was returned.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ReturnCounts {
    pub(crate) returned: usize,
    pub(crate) kept: usize,
}

impl QueueState {
    /// Removes the batches of a pool that may be returned, in the order of the queue. All their pieces
    /// are queued and have neither targets nor result memory.
    pub(super) fn take_returnable(&mut self, key: &PoolKey, now: Instant) -> Vec<BatchReply> {
        let Some(pool) = self.pools.get_mut(key) else {
            return Vec::new();
        };
        let (batches, mut taken) = (&mut self.batches, Vec::new());
        pool.queue.retain(|piece| {
            taken.extend(batches.take_returnable(piece.key.batch));
            batches.pending_copies(piece.key).is_some()
        });
        pool.record_queue(now);
        taken
    }
}

impl Coordinator {
    /// Returns the pools that have work at this host.
    pub(crate) fn active_pools(&self) -> Vec<PoolKey> {
        let state = self.state.borrow();
        let active = state.pools.iter().filter(|(_, pool)| pool.has_work());
        active.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the batches of a pool of which no piece has been sent to their submitters.
    pub(crate) fn return_queue(&self, key: &PoolKey) -> ReturnCounts {
        let (replies, kept) = {
            let mut state = self.state.borrow_mut();
            let replies = state.take_returnable(key, Instant::now());
            (replies, state.batches.count_in(key))
        };
        let returned = replies.len();
        for reply in replies {
            reply(BatchOutcome::Returned);
        }
        if returned > 0 {
            self.cached_loads.take();
        }
        ReturnCounts { returned, kept }
    }
}
