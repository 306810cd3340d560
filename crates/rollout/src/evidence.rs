//! The counts of all entry hosts, as one control host knows them.

use std::collections::BTreeMap;

use crate::{PhaseCounts, ReporterCounts, RolloutRecord, RolloutStore, RouteCounts};

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
pub struct EvidenceStore {
    number: u64,
    reporters: BTreeMap<String, Reporter>,
}

/// All counts of one roll-out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutTotals {
    /// By phase, in their order, and route.
    pub phases: BTreeMap<(u64, u64), BTreeMap<String, RouteCounts>>,
    /// Requests under way at targets of other versions.
    pub former_in_flight: u32,
    /// Entry hosts that counted in an earlier phase and have not reported the newest one.
    pub lagging_hosts: usize,
}

fn responses_of(counts: &PhaseCounts) -> u64 {
    let routes = counts.routes.iter();
    routes
        .map(|(_, one)| one.tested.responses + one.former.responses)
        .sum()
}

impl EvidenceStore {
    /// Takes what a start of an entry host told this control host.
    pub fn record_report(&mut self, reporter: &str, reported: &[PhaseCounts]) {
        if !self.merge(reporter, reported) {
            return;
        }
        self.number += 1;
        if let Some(known) = self.reporters.get_mut(reporter) {
            known.changed = self.number;
        }
    }

    /// Takes what another control host was told. It tells all others itself.
    pub fn merge_forwarded(&mut self, reported: &[ReporterCounts]) {
        for one in reported {
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
        let reported = changed.map(|(name, one)| ReporterCounts {
            reporter: name.clone(),
            counted: one.phases.values().cloned().collect(),
        });
        (reported.collect(), self.number)
    }

    /// Takes counts; says whether any of them are news.
    fn merge(&mut self, reporter: &str, reported: &[PhaseCounts]) -> bool {
        if reported.is_empty() {
            return false;
        }
        if self.reporters.len() >= MAX_REPORTERS && !self.reporters.contains_key(reporter) {
            return false;
        }
        let known = self.reporters.entry(reporter.to_owned()).or_default();
        let mut changed = false;
        for counts in reported {
            let key = (counts.service.clone(), counts.phase);
            let before = known.phases.get(&key);
            if before.is_none_or(|before| is_newer(counts, before)) {
                known.phases.insert(key, counts.clone());
                changed = true;
            }
        }
        changed
    }

    /// Forgets what was counted for other roll-outs than those under way.
    pub fn retain_in_progress(&mut self, store: &RolloutStore) {
        for reporter in self.reporters.values_mut() {
            reporter.phases.retain(|(service, (revision, _)), _| {
                let newest = store.newest(service);
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
    pub fn totals(&self, service: &str, record: &RolloutRecord) -> RolloutTotals {
        let mut sums = RolloutTotals::default();
        let newest = (record.revision, record.step);
        for reporter in self.reporters.values() {
            let own = reporter.phases.values();
            let own = own.filter(|one| one.service == service && one.phase.0 == record.revision);
            let mut is_lagging = false;
            for counts in own {
                is_lagging = counts.phase != newest;
                if !is_lagging {
                    sums.former_in_flight = sums
                        .former_in_flight
                        .saturating_add(counts.former_in_flight);
                }
                let routes = sums.phases.entry(counts.phase).or_default();
                for (route, more) in &counts.routes {
                    routes.entry(route.clone()).or_default().add(more);
                }
            }
            sums.lagging_hosts += usize::from(is_lagging);
        }
        sums
    }
}

/// Says whether counts come after others of the same host and phase. Where no answer was counted between them only
/// what is under way may differ.
fn is_newer(counts: &PhaseCounts, before: &PhaseCounts) -> bool {
    let (now, then) = (responses_of(counts), responses_of(before));
    now > then || (now == then && counts != before)
}

impl RolloutTotals {
    /// Returns the answers of all phases, of the tested version and of others.
    pub fn responses(&self) -> (u64, u64) {
        let routes = self.phases.values().flat_map(BTreeMap::values);
        routes.fold((0, 0), |(tested, former), one| {
            (tested + one.tested.responses, former + one.former.responses)
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
