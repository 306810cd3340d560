//! The counts of all entry hosts, as one control host knows them.

use std::collections::BTreeMap;

use crate::{PhaseCounts, ReporterCounts, RolloutBook, RolloutRecord, RouteCounts};

/// Entry hosts, each with its start, whose counts are kept.
const MAX_REPORTERS: usize = 4_096;

type Phase = (u64, u64);

/// What one start of an entry host counted.
#[derive(Debug, Clone, Default)]
struct Reporter {
    /// The number of the last change that came from the host itself; 0 where all came from other control hosts.
    changed: u64,
    phases: BTreeMap<(String, Phase), PhaseCounts>,
}

/// Counts by the start of the entry host that made them, so that a host which tells several control hosts, or
/// comes back, is counted once.
#[derive(Debug, Default)]
pub struct EvidenceBook {
    number: u64,
    reporters: BTreeMap<String, Reporter>,
}

/// All counts of one roll-out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutSums {
    /// By phase, in their order, and route.
    pub phases: BTreeMap<(u64, u64), BTreeMap<String, RouteCounts>>,
    /// Requests under way at targets of other versions.
    pub open_former: u32,
    /// Entry hosts that counted in an earlier phase and have not reported the newest one.
    pub behind: usize,
}

fn answers_of(counts: &PhaseCounts) -> u64 {
    let routes = counts.routes.iter();
    routes
        .map(|(_, one)| one.tested.answers + one.former.answers)
        .sum()
}

impl EvidenceBook {
    /// Takes what a start of an entry host told this control host.
    pub fn take(&mut self, reporter: &str, told: &[PhaseCounts]) {
        if !self.merge(reporter, told) {
            return;
        }
        self.number += 1;
        if let Some(known) = self.reporters.get_mut(reporter) {
            known.changed = self.number;
        }
    }

    /// Takes what another control host was told. It tells all others itself.
    pub fn take_told(&mut self, told: &[ReporterCounts]) {
        for one in told {
            self.merge(&one.reporter, &one.counted);
        }
    }

    /// Returns what changed after a change number by what entry hosts told this control host, and the number of the
    /// newest change.
    pub fn changed_after(&self, number: u64) -> (Vec<ReporterCounts>, u64) {
        let changed = self
            .reporters
            .iter()
            .filter(|(_, one)| one.changed > number);
        let told = changed.map(|(name, one)| ReporterCounts {
            reporter: name.clone(),
            counted: one.phases.values().cloned().collect(),
        });
        (told.collect(), self.number)
    }

    /// Takes counts; says whether any of them are news.
    fn merge(&mut self, reporter: &str, told: &[PhaseCounts]) -> bool {
        if told.is_empty() {
            return false;
        }
        if self.reporters.len() >= MAX_REPORTERS && !self.reporters.contains_key(reporter) {
            return false;
        }
        let known = self.reporters.entry(reporter.to_owned()).or_default();
        let mut news = false;
        for counts in told {
            let key = (counts.service.clone(), counts.phase);
            let before = known.phases.get(&key);
            if before.is_none_or(|before| is_later(counts, before)) {
                known.phases.insert(key, counts.clone());
                news = true;
            }
        }
        news
    }

    /// Forgets what was counted for other roll-outs than those under way.
    pub fn set_book(&mut self, book: &RolloutBook) {
        for reporter in self.reporters.values_mut() {
            reporter.phases.retain(|(service, (revision, _)), _| {
                let newest = book.newest(service);
                newest.is_some_and(|one| one.is_in_progress() && one.revision == *revision)
            });
        }
        self.reporters
            .retain(|_, reporter| !reporter.phases.is_empty());
    }

    /// Says whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.reporters.is_empty()
    }

    /// Sums up what was counted for one roll-out.
    pub fn sums(&self, service: &str, record: &RolloutRecord) -> RolloutSums {
        let mut sums = RolloutSums::default();
        let newest = (record.revision, record.step);
        for reporter in self.reporters.values() {
            let own = reporter.phases.values();
            let own = own.filter(|one| one.service == service && one.phase.0 == record.revision);
            let mut is_behind = false;
            for counts in own {
                is_behind = counts.phase != newest;
                if !is_behind {
                    sums.open_former = sums.open_former.saturating_add(counts.open_former);
                }
                let routes = sums.phases.entry(counts.phase).or_default();
                for (route, more) in &counts.routes {
                    routes.entry(route.clone()).or_default().add(more);
                }
            }
            sums.behind += usize::from(is_behind);
        }
        sums
    }
}

/// Says whether counts come after others of the same host and phase. Where no answer was counted between them only
/// what is under way may differ.
fn is_later(counts: &PhaseCounts, before: &PhaseCounts) -> bool {
    let (now, then) = (answers_of(counts), answers_of(before));
    now > then || (now == then && counts != before)
}

impl RolloutSums {
    /// Returns the answers of all phases, of the tested version and of others.
    pub fn answers(&self) -> (u64, u64) {
        let routes = self.phases.values().flat_map(BTreeMap::values);
        routes.fold((0, 0), |(tested, former), one| {
            (tested + one.tested.answers, former + one.former.answers)
        })
    }

    /// Returns the failures of all phases, of the tested version and of others.
    pub fn failures(&self) -> (u64, u64) {
        let routes = self.phases.values().flat_map(BTreeMap::values);
        routes.fold((0, 0), |(tested, former), one| {
            (tested + one.tested.failures, former + one.former.failures)
        })
    }
}

#[cfg(test)]
mod tests;
