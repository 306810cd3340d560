//! Batches that their coordinators return.

use std::net::SocketAddr;

use super::StageClient;
use super::batch_end::BatchEnd;
use crate::coordinator::ReturnRule;
use crate::piece::PieceBatch;
use crate::piece_message::PieceRequest;

/// Returns the rule for the next attempt of a batch. The last attempt is made at the submitting host,
/// which would choose itself again after a return.
pub(super) fn return_rule(was_returned: bool, is_last: bool) -> ReturnRule {
    match (was_returned, is_last) {
        (true, _) => ReturnRule::ReturnedBefore,
        (false, true) => ReturnRule::Excluded,
        (false, false) => ReturnRule::Allowed,
    }
}

/// Returns the request that has another host run a batch.
pub(super) fn run_request(batch: PieceBatch, rule: ReturnRule) -> PieceRequest {
    match rule {
        ReturnRule::ReturnedBefore => PieceRequest::RunReturnedBatch(batch),
        ReturnRule::Allowed | ReturnRule::Excluded => PieceRequest::RunBatch(batch),
    }
}

impl StageClient {
    /// Ends the wait for a batch that its coordinator returned. A return that comes twice, or after
    /// the request has ended, is only counted.
    pub(super) fn return_batch(&self, address: SocketAddr, number: u64) {
        if !self.complete_batch(address, number, BatchEnd::Returned) {
            self.metrics.unknown_returns.inc();
        }
    }
}
