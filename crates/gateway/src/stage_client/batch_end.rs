//! The outcome of one attempt to have a batch run.

use super::PieceResults;
use crate::coordinator::BatchOutcome;

/// The outcome of sending a batch to a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum BatchEnd {
    /// The host ran the batch.
    Done(PieceResults),
    /// The host was lost and cancels the batch.
    Lost,
    /// The connection to the host did not open, or not in time. The host did not get the batch.
    Unopened,
    /// The host returned the batch, of which no piece was sent in a call.
    Returned,
}

impl From<BatchOutcome> for BatchEnd {
    fn from(outcome: BatchOutcome) -> Self {
        match outcome {
            BatchOutcome::Completed(results) => Self::Done(results),
            BatchOutcome::Returned => Self::Returned,
        }
    }
}
