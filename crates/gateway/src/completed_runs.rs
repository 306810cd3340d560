//! The last runs that this host saw complete.
//!
//! A target may crash after its whole answer, so a run counts for the parts of its prompt only after a
//! while, and against them if its target crashes before. A long answer counts before its end.

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use linnet_quarantine::{RUN_SETTLE_TIME, RunTag};

use crate::prompt::Prompt;
use crate::target::ChosenTarget;

/// Number of runs that are retained.
const MAX_RUNS: usize = 512;

/// How long runs are retained. A part that begins to crash targets is not judged by older ones.
const RETENTION: Duration = Duration::from_secs(30);

/// A run whose whole response was received, or that counts while its answer goes on.
#[derive(Debug, Clone)]
pub(crate) struct CompletedRun {
    pub(crate) tag: RunTag,
    /// The request ID of this sending.
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) account: String,
    pub(crate) prompt: Rc<Prompt>,
    pub(crate) chosen: ChosenTarget,
    pub(crate) ended_at: Instant,
    /// Whether the run was counted before its answer ended.
    pub(crate) is_counted: bool,
}

/// The last runs, in the order of their ends.
#[derive(Default)]
pub(crate) struct CompletedRuns {
    settled: VecDeque<CompletedRun>,
    unsettled: VecDeque<CompletedRun>,
}

impl CompletedRuns {
    pub(crate) fn add(&mut self, run: CompletedRun) {
        if self.unsettled.len() == MAX_RUNS {
            self.unsettled.pop_front();
        }
        self.unsettled.push_back(run);
    }

    /// Adds a run that counts before its answer has ended.
    pub(crate) fn add_settled(&mut self, run: CompletedRun) {
        if self.settled.len() == MAX_RUNS {
            self.settled.pop_front();
        }
        self.settled.push_back(run);
    }

    /// Settles the runs that ended long enough ago; returns how many these are. They are the last
    /// ones of [`CompletedRuns::settled`].
    pub(crate) fn settle(&mut self, now: Instant) -> usize {
        let age = |run: &CompletedRun| now.saturating_duration_since(run.ended_at);
        let mut count = 0;
        while let Some(run) = self
            .unsettled
            .pop_front_if(|run| age(run) >= RUN_SETTLE_TIME)
        {
            if !run.is_counted {
                self.settled.push_back(run);
                count += 1;
            }
        }
        let is_outdated = |run: &mut CompletedRun| age(run) >= RETENTION;
        while self.settled.len() > MAX_RUNS || self.settled.pop_front_if(is_outdated).is_some() {
            if self.settled.len() > MAX_RUNS {
                self.settled.pop_front();
            }
        }
        count.min(self.settled.len())
    }

    /// Returns the runs that count as completed, the latest first.
    pub(crate) fn settled(&self) -> impl Iterator<Item = &CompletedRun> {
        self.settled.iter().rev()
    }

    /// Removes and returns the runs at a target that crashed before they were settled.
    pub(crate) fn take_unsettled(&mut self, target: &str, born: u64) -> Vec<CompletedRun> {
        let at_target = |run: &CompletedRun| run.chosen.id == target && run.chosen.born == born;
        let all = std::mem::take(&mut self.unsettled).into_iter();
        let (taken, rest): (Vec<_>, Vec<_>) = all.partition(at_target);
        self.unsettled = rest.into();
        taken
    }

    /// Removes a run that counted before a crash interrupted its answer.
    pub(crate) fn forget(&mut self, tag: RunTag) {
        self.settled.retain(|run| run.tag != tag);
    }

    /// Returns whether a run at a target is not settled.
    pub(crate) fn has_unsettled(&self, target: &str, born: u64) -> bool {
        let mut unsettled = self.unsettled.iter();
        unsettled.any(|run| run.chosen.id == target && run.chosen.born == born)
    }

    /// Returns the runs that are not settled, one for each incarnation of a target.
    pub(crate) fn unsettled_by_target(&self) -> Vec<CompletedRun> {
        let mut seen = HashSet::new();
        let unsettled = self.unsettled.iter();
        let first = unsettled.filter(|run| seen.insert((&run.chosen.id, run.chosen.born)));
        first.cloned().collect()
    }
}

#[cfg(test)]
mod tests;
