//! What is known of the incarnation that the record of a target names.

use std::time::{Duration, Instant};

/// How long a target is not asked again for a stream that must go on at its version.
const UNPROVED_TIME: Duration = Duration::from_millis(200);

/// What this host found out about the incarnation that a record names. A record of another incarnation
/// begins without marks.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TargetMarks {
    /// Start time of a later incarnation.
    later_born: Option<u64>,
    unproved_until: Option<Instant>,
}

impl TargetMarks {
    /// Records that a later incarnation runs; returns whether that was not known.
    pub(crate) fn set_outdated(&mut self, later_born: u64) -> bool {
        let is_new = !self.is_known(later_born);
        if is_new {
            self.later_born = Some(later_born);
        }
        is_new
    }

    /// Records that no connection proved which incarnation runs.
    pub(crate) fn set_unproved(&mut self, now: Instant) {
        self.unproved_until = Some(now + UNPROVED_TIME);
    }

    /// Returns whether the incarnation that started at `born` is known to run.
    pub(crate) fn is_known(&self, born: u64) -> bool {
        self.later_born.is_some_and(|known| known >= born)
    }

    /// Returns whether a later incarnation is known to run.
    pub(crate) fn is_outdated(&self) -> bool {
        self.later_born.is_some()
    }

    /// Returns whether a connection may prove that the listed incarnation runs.
    pub(crate) fn may_be_proved(&self, now: Instant) -> bool {
        !self.is_outdated() && self.unproved_until.is_none_or(|until| until <= now)
    }
}
