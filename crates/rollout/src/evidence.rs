//! The counts of all entry hosts, as known to one control host.

use std::collections::BTreeMap;

use crate::{PhaseCounts, ReporterCounts, RolloutRecord, RolloutStore, RouteCounts};

/// Maximum number of entry host incarnations whose counts are retained.
const MAX_REPORTERS: usize = 4_096;

type Phase = (u64, u64);

/// The counts of one incarnation of an entry host.
#[derive(Debug, Clone, Default)]
struct Reporter {
    /// Store revision of the last change received from the host itself; 0 if all counts came from
    /// other control hosts.
    changed_at: u64,
    phases: BTreeMap<(String, Phase), PhaseCounts>,
}

/// Counts by entry host incarnation, so that a host that reports to several control hosts, or
/// reconnects, is counted once.
#[derive(Debug, Default)]
pub struct EvidenceStore {
    revision: u64,
    reporters: BTreeMap<String, Reporter>,
}

/// The total counts of one roll-out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutTotals {
    /// Counts by phase, in order, and route.
    pub phases: BTreeMap<(u64, u64), BTreeMap<String, RouteCounts>>,
    /// Requests in flight at targets of other versions.
    pub former_in_flight: u32,
    /// Entry hosts that reported counts for an earlier phase and none yet for the newest one.
    pub lagging_hosts: usize,
}

fn responses_of(counts: &PhaseCounts) -> u64 {
    let routes = counts.routes.iter();
    routes
        .map(|(_, one)| one.tested.responses + one.former.responses)
        .sum()
}

impl EvidenceStore {
    /// Records the counts that an entry host incarnation reported to this control host.
    pub fn record_report(&mut self, reporter: &str, reported: &[PhaseCounts]) {
        if !self.merge(reporter, reported) {
            return;
        }
        self.revision += 1;
        if let Some(entry) = self.reporters.get_mut(reporter) {
            entry.changed_at = self.revision;
        }
    }

    /// Merges counts that another control host received. They are not forwarded, since that host
    /// sends them to all others itself.
    pub fn merge_forwarded(&mut self, reported: &[ReporterCounts]) {
        for one in reported {
            self.merge(&one.reporter, &one.phases);
        }
    }

    /// Returns the counts that entry hosts reported directly to this control host after a revision,
    /// and the current revision.
    pub fn changed_after(&self, revision: u64) -> (Vec<ReporterCounts>, u64) {
        let changed = self
            .reporters
            .iter()
            .filter(|(_, one)| one.changed_at > revision);
        let reported = changed.map(|(name, one)| ReporterCounts {
            reporter: name.clone(),
            phases: one.phases.values().cloned().collect(),
        });
        (reported.collect(), self.revision)
    }

    /// Merges counts and returns whether any of them changed.
    fn merge(&mut self, reporter: &str, reported: &[PhaseCounts]) -> bool {
        if reported.is_empty() {
            return false;
        }
        if self.reporters.len() >= MAX_REPORTERS && !self.reporters.contains_key(reporter) {
            return false;
        }
        let entry = self.reporters.entry(reporter.to_owned()).or_default();
        let mut changed = false;
        for counts in reported {
            let key = (counts.service.clone(), counts.phase);
            let before = entry.phases.get(&key);
            if before.is_none_or(|before| is_newer(counts, before)) {
                entry.phases.insert(key, counts.clone());
                changed = true;
            }
        }
        changed
    }

    /// Removes the counts of all roll-outs that are not in progress.
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

    /// Returns whether the store has no counts.
    pub fn is_empty(&self) -> bool {
        self.reporters.is_empty()
    }

    /// Adds up the counts of one roll-out.
    pub fn totals(&self, service: &str, record: &RolloutRecord) -> RolloutTotals {
        let mut totals = RolloutTotals::default();
        let newest = (record.revision, record.step);
        for reporter in self.reporters.values() {
            let phases = reporter.phases.values();
            let phases =
                phases.filter(|one| one.service == service && one.phase.0 == record.revision);
            let mut is_lagging = false;
            for counts in phases {
                is_lagging = counts.phase != newest;
                if !is_lagging {
                    totals.former_in_flight = totals
                        .former_in_flight
                        .saturating_add(counts.former_in_flight);
                }
                let routes = totals.phases.entry(counts.phase).or_default();
                for (route, more) in &counts.routes {
                    routes.entry(route.clone()).or_default().add(more);
                }
            }
            totals.lagging_hosts += usize::from(is_lagging);
        }
        totals
    }
}

/// Returns whether counts are newer than others of the same host and phase. If no response was
/// counted in between, only the requests in flight may differ.
fn is_newer(counts: &PhaseCounts, before: &PhaseCounts) -> bool {
    let (new, old) = (responses_of(counts), responses_of(before));
    new > old || (new == old && counts != before)
}

impl RolloutTotals {
    /// Returns the responses over all phases, of the tested version and of others.
    pub fn responses(&self) -> (u64, u64) {
        let routes = self.phases.values().flat_map(BTreeMap::values);
        routes.fold((0, 0), |(tested, former), one| {
            (tested + one.tested.responses, former + one.former.responses)
        })
    }

    /// Returns the failures over all phases, of the tested version and of others.
    pub fn failures(&self) -> (u64, u64) {
        let routes = self.phases.values().flat_map(BTreeMap::values);
        routes.fold((0, 0), |(tested, former), one| {
            (tested + one.tested.failures, former + one.former.failures)
        })
    }
}

#[cfg(test)]
mod tests;
