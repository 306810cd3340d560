//! Which requests of a service go to the version that is rolled out.
//!
//! Each host gives the version the same share of its own requests, so that the share of all is the same without a
//! word between hosts, however unequal they are. A host that hears no control host would not learn that the version
//! was given up, and gives it none.

use std::collections::HashMap;

use linnet_rollout::{RolloutStore, VersionSide};

/// All requests, in thousandths.
const ALL: f64 = 1_000.0;

/// How the requests of one service are split.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct VersionSplit {
    version: String,
    /// The part of the requests that the version gets.
    share: f64,
}

impl VersionSplit {
    /// Returns the splits of all services, as a host has them that hears control hosts or does not.
    pub(crate) fn all_of(book: &RolloutStore, hears: bool) -> HashMap<String, Self> {
        let splits = book.in_progress().map(|(service, record)| {
            let share = if hears {
                f64::from(record.permille) / ALL
            } else {
                0.0
            };
            let version = record.version.clone();
            (service.to_owned(), Self { version, share })
        });
        splits.collect()
    }

    /// Returns the side of targets of a version.
    pub(crate) fn side_of(&self, version: &str) -> VersionSide {
        match version == self.version {
            true => VersionSide::Tested,
            false => VersionSide::Former,
        }
    }

    /// Draws the side of a request.
    pub(crate) fn draw(&self) -> VersionSide {
        match fastrand::f64() < self.share {
            true => VersionSide::Tested,
            false => VersionSide::Former,
        }
    }
}

/// Splits the calls of one pool of stage targets. Pieces wait where no target is free, and a draw for each look would
/// send what waits to whichever side is idle; so calls are counted.
#[derive(Debug, Clone)]
pub(crate) struct CallSplit {
    split: VersionSplit,
    calls: u64,
    tested: u64,
    /// Where in its turn a host begins, so that not all hosts try the version at the same moment.
    begin: f64,
}

impl CallSplit {
    pub(crate) fn new(split: VersionSplit) -> Self {
        Self {
            split,
            calls: 0,
            tested: 0,
            begin: fastrand::f64(),
        }
    }

    /// Takes what is known now. What was counted under another share says nothing any more.
    pub(crate) fn update(&mut self, split: &VersionSplit) {
        if self.split != *split {
            *self = Self::new(split.clone());
        }
    }

    /// Says whether a target of a version may get the next call.
    pub(crate) fn allows(&self, version: &str) -> bool {
        let due = (self.calls + 1) as f64 * self.split.share + self.begin;
        let is_due = self.split.share >= 1.0 || (self.tested + 1) as f64 <= due;
        match self.split.side_of(version) {
            VersionSide::Tested => self.split.share > 0.0 && is_due,
            VersionSide::Former => self.split.share < 1.0,
        }
    }

    /// Counts a call.
    pub(crate) fn note(&mut self, version: &str) {
        self.calls += 1;
        self.tested += u64::from(self.split.side_of(version) == VersionSide::Tested);
    }
}

#[cfg(test)]
mod tests;
