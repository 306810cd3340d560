//! Permits to send one attempt to one target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::{LoadReport, PoolId, TargetDispatcher, TargetId};

/// The outcome of an attempt as it concerns the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target sent a valid response.
    Success,
    /// The target refused the attempt as it is at capacity; it did not run.
    Busy,
    /// The target refused the attempt as it is leaving; it did not run.
    Leaving,
    /// The target failed, timed out or could not be reached.
    Failure,
    /// This host gave up the attempt; the outcome does not count for or against the target.
    Cancelled,
}

/// A finished attempt, as reported to the dispatcher.
pub(crate) struct AttemptFinish {
    pub(crate) pool: PoolId,
    pub(crate) route: u32,
    pub(crate) target: TargetId,
    pub(crate) outcome: AttemptOutcome,
    pub(crate) elapsed: Duration,
    pub(crate) report: Option<LoadReport>,
}

/// A slot at a target. A permit that is dropped without [`TargetPermit::finish`] counts as
/// cancelled.
pub struct TargetPermit {
    pub(crate) dispatcher: Arc<TargetDispatcher>,
    pub(crate) pool: PoolId,
    pub(crate) route: u32,
    pub(crate) target: TargetId,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) since: Instant,
    pub(crate) finished: bool,
}

impl TargetPermit {
    /// Returns the id of the target.
    pub fn target(&self) -> TargetId {
        self.target
    }

    /// Returns the name of the target.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how long the permit has been held.
    pub fn held_for(&self) -> Duration {
        self.since.elapsed()
    }

    /// Ends the attempt with its outcome and the load that the target reported.
    pub fn finish(mut self, outcome: AttemptOutcome, report: Option<LoadReport>) {
        self.finish_once(outcome, report);
    }

    fn finish_once(&mut self, outcome: AttemptOutcome, report: Option<LoadReport>) {
        if !self.finished {
            self.finished = true;
            let finish = AttemptFinish {
                pool: self.pool,
                route: self.route,
                target: self.target,
                outcome,
                elapsed: self.since.elapsed(),
                report,
            };
            self.dispatcher.release(finish);
        }
    }
}

impl Drop for TargetPermit {
    fn drop(&mut self) {
        self.finish_once(AttemptOutcome::Cancelled, None);
    }
}
