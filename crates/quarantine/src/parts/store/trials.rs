//! Trials of held parts.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::{Part, PartStore};
use crate::CrashKey;
use crate::parts::PartKey;

/// Delay from the last crash or trial to the next trial, by the number of trials that crashed a
/// target and no other one at the same instant. Each trial of a part that is the cause crashes one, so
/// after the last of these an operator decides.
pub(super) const TRIAL_DELAYS: [Duration; 3] = [
    Duration::from_secs(4),
    Duration::from_secs(20),
    Duration::from_secs(300),
];

/// Maximum number of trials that do not count as failed since other targets crashed at the same instant.
/// The crash of a rack may interrupt trials as well as anything else.
const MAX_EXCUSED_TRIALS: usize = 2;

/// Instants with crashes beyond which the last of these trials is left out: so many are seldom a
/// coincidence.
const LAST_TRIAL_INSTANTS: usize = 6;

/// Delay from one trial to the next while all have completed. Several are needed to release a part,
/// since a part may crash targets in most runs only.
const PASSED_TRIAL_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of targets that a trial crashes at an instant: a held prompt runs at one, and is not sent
/// again after a crash.
const MAX_TRIAL_TARGETS: usize = 1;

impl PartStore {
    /// Records that a request with a held part runs as a trial of its group.
    pub fn record_trial(&mut self, key: PartKey, now: Instant) {
        for key in self.group_of(key) {
            if let Some(part) = self.parts.get_mut(&key) {
                part.record.trials += 1;
                part.last_seen = now;
                part.last_crash_or_trial = now;
                self.mark_changed(key);
            }
        }
    }

    /// Returns whether a part is in a held group, and a request with the group may run as a trial.
    pub fn is_trial_due(&self, key: PartKey, now: Instant) -> bool {
        let wait = self.time_to_trial(key, now);
        wait.is_some_and(|wait| wait.is_zero())
    }

    /// Returns the time until a request with the group of a held part may run as a trial; `None` if the
    /// part is not held, or is confirmed and only an operator can release it.
    pub fn time_to_trial(&self, key: PartKey, now: Instant) -> Option<Duration> {
        let part = self.parts.get(&key).filter(|_| self.is_held(key))?;
        let (trials, passed) = (part.record.trials, part.record.passed_trials);
        let (alone, beside_others) = self.count_trial_crashes(part);
        let excused = beside_others.min(MAX_EXCUSED_TRIALS);
        let failed = (trials.saturating_sub(passed) as usize).saturating_sub(excused);
        let failed = failed.max(alone);
        let is_certain = self.instants.count(part.record.crashes.keys()) > LAST_TRIAL_INSTANTS;
        let delay = match (failed, passed) {
            (0, 1..) => PASSED_TRIAL_DELAY,
            (2, _) if is_certain && alone > 0 => return None,
            (3.., _) if alone > 0 => return None,
            (failed, _) => TRIAL_DELAYS[failed.min(TRIAL_DELAYS.len() - 1)],
        };
        let elapsed = now.saturating_duration_since(part.last_crash_or_trial);
        Some(delay.saturating_sub(elapsed))
    }

    /// Returns whether a held part is known to be the cause: a trial crashed its target, and no other
    /// target crashed at the same instant, unless a trial of something else did that.
    pub fn is_confirmed(&self, key: PartKey) -> bool {
        let part = self.parts.get(&key).filter(|_| self.is_held(key));
        part.is_some_and(|part| self.count_trial_crashes(part).0 > 0)
    }

    /// Sets the crashes of targets during trials of held requests.
    pub fn set_request_trials(&mut self, crashes: BTreeSet<CrashKey>) {
        self.request_trials = crashes;
    }

    /// Returns the crashes of targets during trials of held parts.
    pub fn trial_crashes(&self) -> BTreeSet<CrashKey> {
        let held = self.held.iter().flat_map(|group| &group.parts);
        let held = held.filter_map(|key| self.parts.get(key));
        held.flat_map(|part| self.own_trial_crashes(part)).collect()
    }

    /// Returns the numbers of trials that crashed their target alone, and beside other targets.
    fn count_trial_crashes(&self, part: &Part) -> (usize, usize) {
        let is_alone = |crash: &CrashKey| {
            let mut others = self.instants.others(*crash);
            others.all(|other| self.is_trial_crash(*other))
        };
        let alone = self.own_trial_crashes(part).filter(is_alone).count();
        (alone, part.trial_crashes.len() - alone)
    }

    fn is_trial_crash(&self, crash: CrashKey) -> bool {
        let mut held = self.held.iter().flat_map(|group| &group.parts);
        let is_own = |key| {
            let part = self.parts.get(key);
            part.is_some_and(|part| self.own_trial_crashes(part).any(|own| own == crash))
        };
        self.request_trials.contains(&crash) || held.any(is_own)
    }

    fn own_trial_crashes(&self, part: &Part) -> impl Iterator<Item = CrashKey> {
        let is_own = |crash: &CrashKey| part.record.crashes.contains_key(crash);
        let crashes = &part.trial_crashes;
        crashes.plausible(&self.instants, MAX_TRIAL_TARGETS, is_own)
    }
}
