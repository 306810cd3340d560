//! The right to send one attempt to one target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::{LoadReport, PoolId, TargetDispatcher, TargetId};

/// How an attempt ended, as far as the target is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered as it should.
    Success,
    /// The target said that it has no room; it did not run.
    Busy,
    /// The target said that it is leaving; it did not run.
    Leaving,
    /// The target failed, was too slow or could not be reached.
    Failure,
    /// The attempt was given up for reasons of ours; says nothing of the target.
    Cancelled,
}

/// The end of an attempt, as the dispatcher takes it in.
pub(crate) struct AttemptFinish {
    pub(crate) pool: PoolId,
    pub(crate) route: u32,
    pub(crate) target: TargetId,
    pub(crate) outcome: AttemptOutcome,
    pub(crate) elapsed: Duration,
    pub(crate) report: Option<LoadReport>,
}

/// A place at a target. Dropped without [`TargetPermit::finish`] it counts as cancelled.
pub struct TargetPermit {
    pub(crate) dispatcher: Arc<TargetDispatcher>,
    pub(crate) pool: PoolId,
    pub(crate) route: u32,
    pub(crate) target: TargetId,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) since: Instant,
    pub(crate) settled: bool,
}

impl TargetPermit {
    /// Returns the key of the target.
    pub fn target(&self) -> TargetId {
        self.target
    }

    /// Returns the name of the target.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns where the target is reached.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how long the permit has been held.
    pub fn held(&self) -> Duration {
        self.since.elapsed()
    }

    /// Says how the attempt ended and what the target told of its load.
    pub fn finish(mut self, outcome: AttemptOutcome, report: Option<LoadReport>) {
        self.settle(outcome, report);
    }

    fn settle(&mut self, outcome: AttemptOutcome, report: Option<LoadReport>) {
        if !self.settled {
            self.settled = true;
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
        self.settle(AttemptOutcome::Cancelled, None);
    }
}
