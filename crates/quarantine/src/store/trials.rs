//! Trials of held requests.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::{Suspect, SuspectStore};
use crate::{CrashKey, RequestKey};

/// Delay from the last crash or trial to the first, second and later trials. The first trial
/// releases an unrelated request that was held during a series of crashes; a request that is the
/// cause crashes one target at each trial.
pub(super) const TRIAL_DELAYS: [Duration; 3] = [
    Duration::from_secs(2),
    Duration::from_secs(20),
    Duration::from_secs(1_800),
];

/// Number of the longest of these delays for a request of which no trial has shown that it is the cause.
const UNCONFIRMED_TRIAL_DELAY: usize = 1;

/// Maximum number of targets that a trial crashes at an instant. The pieces of a request run at several,
/// and go on to another one after a crash.
const MAX_TRIAL_TARGETS: usize = 4;

impl SuspectStore {
    /// Records that a held request runs as a trial.
    pub fn record_trial(&mut self, key: RequestKey, now: Instant) {
        let Some(suspect) = self.suspects.get_mut(&key) else {
            return;
        };
        suspect.record.trials += 1;
        suspect.last_seen = now;
        suspect.last_crash_or_trial = now;
        self.mark_changed(key);
    }

    /// Returns the time until a held request may run as a trial; `None` if it is not held.
    pub fn time_to_trial(&self, key: RequestKey, now: Instant) -> Option<Duration> {
        let suspect = self.suspects.get(&key).filter(|one| one.record.held)?;
        // The long delays are for requests that are known to be the cause.
        let last = match self.is_confirmed(key) {
            true => TRIAL_DELAYS.len() - 1,
            false => UNCONFIRMED_TRIAL_DELAY,
        };
        let delay = TRIAL_DELAYS[(suspect.record.trials as usize).min(last)];
        let elapsed = now.saturating_duration_since(suspect.last_crash_or_trial);
        Some(delay.saturating_sub(elapsed))
    }

    /// Returns whether a held request is known to be the cause: a trial crashed its target, and no
    /// other target crashed at the same instant, unless a trial of something else did that.
    pub fn is_confirmed(&self, key: RequestKey) -> bool {
        let suspect = self.suspects.get(&key).filter(|one| one.record.held);
        suspect.is_some_and(|one| {
            self.own_trial_crashes(one).any(|crash| {
                let mut others = self.instants.others(crash);
                others.all(|other| self.is_trial_crash(*other))
            })
        })
    }

    /// Sets the crashes of targets during trials of held parts of prompts.
    pub fn set_part_trials(&mut self, crashes: BTreeSet<CrashKey>) {
        self.part_trials = crashes;
    }

    /// Returns the crashes of targets during trials of held requests.
    pub fn trial_crashes(&self) -> BTreeSet<CrashKey> {
        let held = self.suspects.values().filter(|one| one.record.held);
        held.flat_map(|one| self.own_trial_crashes(one)).collect()
    }

    fn is_trial_crash(&self, crash: CrashKey) -> bool {
        let mut held = self.suspects.values().filter(|one| one.record.held);
        self.part_trials.contains(&crash)
            || held.any(|one| self.own_trial_crashes(one).any(|own| own == crash))
    }

    fn own_trial_crashes(&self, suspect: &Suspect) -> impl Iterator<Item = CrashKey> {
        let is_own = |crash: &CrashKey| suspect.record.crashes.contains(crash);
        let crashes = &suspect.trial_crashes;
        crashes.plausible(&self.instants, MAX_TRIAL_TARGETS, is_own)
    }
}
