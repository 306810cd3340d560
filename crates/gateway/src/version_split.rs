//! The split of a service's requests between the version that is being rolled out and the former
//! one.
//!
//! Each host sends the same share of its own requests to the new version, so the total share is
//! right without any communication between hosts, however unequal their loads are. A host without a
//! connection to a control host would not learn that the roll-out was reverted, so it sends the
//! version no requests.

use std::collections::HashMap;

use linnet_rollout::{RolloutStore, VersionSide};

/// The share of all requests, in thousandths.
const FULL_PERMILLE: f64 = 1_000.0;

/// How the requests of one service are split.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct VersionSplit {
    version: String,
    /// Share of the requests that the version receives, from 0 to 1.
    share: f64,
}

impl VersionSplit {
    /// Returns the split of every service with a roll-out in progress, for a host that is or is not
    /// connected to a control host.
    pub(crate) fn all_in_progress(
        rollouts: &RolloutStore,
        is_connected: bool,
    ) -> HashMap<String, Self> {
        let splits = rollouts.in_progress().map(|(service, record)| {
            let share = if is_connected {
                f64::from(record.permille) / FULL_PERMILLE
            } else {
                0.0
            };
            let version = record.version.clone();
            (service.to_owned(), Self { version, share })
        });
        splits.collect()
    }

    /// Returns the side to which targets of a version belong.
    pub(crate) fn side_of(&self, version: &str) -> VersionSide {
        match version == self.version {
            true => VersionSide::Tested,
            false => VersionSide::Former,
        }
    }

    /// Draws the side of a request at random, by the share.
    pub(crate) fn draw_side(&self) -> VersionSide {
        match fastrand::f64() < self.share {
            true => VersionSide::Tested,
            false => VersionSide::Former,
        }
    }
}

/// Splits the calls of one pool of stage targets by counting them. Drawing a side at each
/// scheduling attempt would not keep the share: queued pieces would be drawn again and again until
/// they go to whichever side has an idle target.
#[derive(Debug, Clone)]
pub(crate) struct CallSplit {
    split: VersionSplit,
    calls: u64,
    tested_calls: u64,
    /// Random offset of the first call to the version, so that not all hosts send theirs at the
    /// same moment.
    phase: f64,
}

impl CallSplit {
    pub(crate) fn new(split: VersionSplit) -> Self {
        Self {
            split,
            calls: 0,
            tested_calls: 0,
            phase: fastrand::f64(),
        }
    }

    /// Sets the current split. If it has changed, the counts are reset, since they belong to
    /// another share.
    pub(crate) fn update(&mut self, split: &VersionSplit) {
        if self.split != *split {
            *self = Self::new(split.clone());
        }
    }

    /// Returns whether the next call may go to a target of a version.
    pub(crate) fn allows(&self, version: &str) -> bool {
        let due_calls = (self.calls + 1) as f64 * self.split.share + self.phase;
        let is_due = self.split.share >= 1.0 || (self.tested_calls + 1) as f64 <= due_calls;
        match self.split.side_of(version) {
            VersionSide::Tested => self.split.share > 0.0 && is_due,
            VersionSide::Former => self.split.share < 1.0,
        }
    }

    /// Counts a call to a target of a version.
    pub(crate) fn record_call(&mut self, version: &str) {
        self.calls += 1;
        self.tested_calls += u64::from(self.split.side_of(version) == VersionSide::Tested);
    }
}

#[cfg(test)]
mod tests;
