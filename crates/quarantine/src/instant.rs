//! Crashes that belong together since they happened at one instant.
//!
//! When a rack loses power, many targets crash at the same time. Such crashes have one cause, so they are
//! no independent evidence against what was in flight at them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::CrashKey;

/// Time from the first crash of an instant to the last one. Hosts notice the crashes of one moment by
/// broken connections and probes, and in a fleet of 300 learn them from each other in some 200 ms.
const INSTANT_WINDOW: Duration = Duration::from_millis(250);

/// Maximum evidence of one instant, in crashes. A cause whose runs come quickly is found by the crashes
/// of a single instant; what was merely in flight at many of them is cleared by a few completed runs.
const MAX_INSTANT_EVIDENCE: usize = 5;

/// The same where the suspect was in flight at nearly all crashes of the instant. A part that crashes
/// most of its runs has whole runs within that instant, which count in full.
const MAX_SOLE_EVIDENCE: usize = 6;

/// Crashes of a suspect for each other crash of an instant from which it counts as the only suspect.
const SOLE_CRASHES: usize = 4;

/// Number of crashes beyond which those that no record has any more are removed.
const MAX_CRASHES: usize = 4_096;

/// Identifies an instant within a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct InstantKey(u32);

/// The instants of the crashes that a process knows, by the times at which it learned of them.
#[derive(Debug, Default)]
pub(crate) struct CrashInstants {
    of_crash: HashMap<CrashKey, InstantKey>,
    last: Option<(InstantKey, Instant)>,
}

impl CrashInstants {
    /// Adds a crash that the process learned of; has no effect if it is known.
    pub(crate) fn add(&mut self, crash: CrashKey, now: Instant) {
        if self.of_crash.contains_key(&crash) {
            return;
        }
        let instant = match self.last {
            Some((key, began)) if now.saturating_duration_since(began) < INSTANT_WINDOW => key,
            Some((InstantKey(number), _)) => self.begin(number + 1, now),
            None => self.begin(0, now),
        };
        self.of_crash.insert(crash, instant);
    }

    fn begin(&mut self, number: u32, now: Instant) -> InstantKey {
        let key = InstantKey(number);
        self.last = Some((key, now));
        key
    }

    /// Removes the crashes that no record has any more, if there are many.
    pub(crate) fn trim(&mut self, known: impl FnOnce() -> HashSet<CrashKey>) {
        if self.of_crash.len() > MAX_CRASHES {
            let known = known();
            self.of_crash.retain(|crash, _| known.contains(crash));
        }
    }

    /// Returns the number of different instants of some crashes.
    pub(crate) fn count<'a>(&self, crashes: impl Iterator<Item = &'a CrashKey>) -> usize {
        self.sizes(crashes).len()
    }

    /// Returns an upper bound of the evidence of some crashes, whatever else crashed.
    pub(crate) fn max_evidence<'a>(&self, crashes: impl Iterator<Item = &'a CrashKey>) -> f64 {
        let sizes = self.sizes(crashes).into_values();
        sizes.map(|size| size.min(MAX_SOLE_EVIDENCE) as f64).sum()
    }

    /// Returns the evidence of the crashes `own` of a suspect among all crashes that need a cause, in
    /// crashes. Where the suspect was in flight at less than half of the crashes of an instant, something
    /// else is the likely cause of that instant.
    pub(crate) fn evidence<'a>(
        &self,
        own: impl Iterator<Item = &'a CrashKey>,
        all: impl Iterator<Item = &'a CrashKey>,
    ) -> f64 {
        let (own, all) = (self.sizes(own), self.sizes(all));
        let of_instant = |(key, size): (&Option<InstantKey>, &usize)| {
            let others = all.get(key).map_or(0, |all| all.saturating_sub(*size));
            let weight = (size + 1) as f64 / (others + 1) as f64;
            let limit = match others * SOLE_CRASHES <= *size {
                true => MAX_SOLE_EVIDENCE,
                false => MAX_INSTANT_EVIDENCE,
            };
            (*size).min(limit) as f64 * weight.min(1.0)
        };
        own.iter().map(of_instant).sum()
    }

    /// Returns the other crashes of the instant of a crash.
    pub(crate) fn others(&self, crash: CrashKey) -> impl Iterator<Item = &CrashKey> {
        let instant = self.of_crash.get(&crash);
        let of_instant = self.of_crash.iter();
        let of_instant = of_instant.filter(move |(_, one)| Some(*one) == instant);
        let keys = of_instant.map(|(other, _)| other);
        keys.filter(move |other| **other != crash)
    }

    /// Returns the numbers of crashes by instant.
    fn sizes<'a>(
        &self,
        crashes: impl Iterator<Item = &'a CrashKey>,
    ) -> BTreeMap<Option<InstantKey>, usize> {
        let mut sizes = BTreeMap::new();
        for crash in crashes {
            let instant = self.of_crash.get(crash).copied();
            *sizes.entry(instant).or_default() += 1;
        }
        sizes
    }
}

#[cfg(test)]
mod tests;
