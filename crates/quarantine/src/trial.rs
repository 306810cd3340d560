//! Trials of what is held: single runs that show whether it crashes targets.

use crate::CrashKey;
use crate::instant::CrashInstants;

/// Crashes of targets that a process learned of since the first trial of a held request, or while trials
/// of a held part had not completed.
#[derive(Debug, Default)]
pub(crate) struct TrialCrashes {
    crashes: Vec<CrashKey>,
}

impl TrialCrashes {
    /// Adds a crash.
    pub(crate) fn add(&mut self, crash: CrashKey) {
        self.crashes.push(crash);
    }

    /// Removes all crashes.
    pub(crate) fn clear(&mut self) {
        self.crashes.clear();
    }

    /// Returns the number of crashes.
    pub(crate) fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the crashes that a trial may have caused: those at instants with at most `max_targets` crashes
    /// of the suspect, of which `is_own` tells all. More than a trial runs at had another cause.
    pub(crate) fn plausible(
        &self,
        instants: &CrashInstants,
        max_targets: usize,
        is_own: impl Fn(&CrashKey) -> bool,
    ) -> impl Iterator<Item = CrashKey> {
        let plausible = self.crashes.iter().copied();
        plausible.filter(move |crash| {
            let others = instants.others(*crash).filter(|other| is_own(other));
            is_own(crash) && others.count() < max_targets
        })
    }
}
