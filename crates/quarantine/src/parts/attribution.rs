//! Attribution of target crashes to the parts of prompts that caused them.
//!
//! All parts of all prompts in flight at a crash are accused of it. The cause is told from the others
//! by four rules: requests with a cause seldom get far; a cause explains crashes that no other part
//! explains; crashes of one instant are no independent evidence; and different requests were in flight
//! at them, since a single one may itself be the cause. Parts that cannot be told apart, since they
//! always came together, are a group: only requests with all of them are refused.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::record::{HOLD_AGAIN_CRASHES, HOLD_PART_CRASHES};
use super::{PartKey, PartRecord};
use crate::CrashKey;
use crate::attribution::ISOLATED_HOLD_CRASHES;
use crate::instant::CrashInstants;

/// Crashes that have to remain if any one request, or account, is left out.
const INDEPENDENT_CRASHES: usize = 2;

/// Minimum number of different requests, or accounts, in flight at the crashes. Two popular requests of
/// one account are in flight everywhere.
const MIN_ORIGINS: usize = 3;

/// Crashes after which a part is held while it does not explain all known crashes of the service. A
/// part that is not the cause is then interrupted now and then by the crashes of others.
const HOLD_CRASHES_AMONG_OTHERS: usize = 5;

/// Fractions of a crash by which the candidates are ordered.
const SORT_PRECISION: f64 = 1_000.0;

/// Parts that were found to be the cause of crashes, and cannot be told apart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct HeldGroup {
    /// Never empty.
    pub(crate) parts: Vec<PartKey>,
    /// The crashes that are attributed to them.
    pub(crate) crashes: BTreeSet<CrashKey>,
}

/// Returns the groups of parts to which crashes are attributed. `is_decided` says whether all hosts
/// have had time to report a part; until then, it only prevents others from being found the cause.
/// `is_isolated` says whether this process learns nothing from others.
pub(crate) fn find_causes<'a>(
    records: impl Iterator<Item = &'a PartRecord>,
    instants: &CrashInstants,
    is_decided: impl Fn(PartKey) -> bool,
    is_isolated: bool,
) -> Vec<HeldGroup> {
    let records: Vec<&PartRecord> = records.collect();
    let mut candidates: Vec<&PartRecord> = records.clone();
    candidates.retain(|record| record.is_candidate(instants));
    if candidates.is_empty() {
        return Vec::new();
    }
    let mut unattributed = crashes_by_service(&records);
    let evidence = |record: &PartRecord, remaining: &BTreeSet<CrashKey>| {
        let own: BTreeSet<CrashKey> = own_crashes(record, remaining).collect();
        instants.evidence(own.iter(), remaining.iter())
    };
    candidates.sort_by_cached_key(|record| {
        let all = unattributed.get(record.subject.service.as_str());
        let evidence = all.map_or(0.0, |all| evidence(record, all));
        (
            Reverse((record.suspicion(instants, evidence) * SORT_PRECISION) as i64),
            record.run_count(),
            Reverse(record.crashes.len()),
            record.subject.key,
        )
    });
    let mut groups = Vec::new();
    let is_cause = |record: &PartRecord, remaining: &BTreeSet<CrashKey>| {
        let own: BTreeSet<CrashKey> = own_crashes(record, remaining).collect();
        let needed = match (record.was_held, is_isolated) {
            (true, _) => HOLD_AGAIN_CRASHES,
            (false, true) => ISOLATED_HOLD_CRASHES,
            (false, false) if own.len() == remaining.len() => HOLD_PART_CRASHES,
            (false, false) => HOLD_CRASHES_AMONG_OTHERS,
        };
        let (independent, origins) = record.independent_crashes(own.iter());
        let evidence = instants.evidence(own.iter(), remaining.iter());
        let evidence = record.retained_evidence(evidence, own.len());
        record.outweighs_runs(instants, evidence, needed)
            && independent >= INDEPENDENT_CRASHES
            && origins >= MIN_ORIGINS
            && is_decided(record.subject.key)
    };
    for record in &candidates {
        let Some(remaining) = unattributed.get_mut(record.subject.service.as_str()) else {
            continue;
        };
        if !is_cause(record, remaining) {
            continue;
        }
        let own: BTreeSet<CrashKey> = own_crashes(record, remaining).collect();
        let is_alike = |other: &&&PartRecord| {
            other.subject.service == record.subject.service
                && other.run_count() == record.run_count()
                && own_crashes(other, remaining).eq(own.iter().copied())
        };
        let alike = candidates.iter().filter(is_alike);
        let parts = alike.map(|other| other.subject.key).collect();
        remaining.retain(|crash| !own.contains(crash));
        let crashes = own;
        groups.push(HeldGroup { parts, crashes });
    }
    groups
}

fn own_crashes(
    record: &PartRecord,
    unattributed: &BTreeSet<CrashKey>,
) -> impl Iterator<Item = CrashKey> {
    let crashes = record.crashes.keys();
    crashes
        .filter(|crash| unattributed.contains(crash))
        .copied()
}

fn crashes_by_service<'a>(records: &[&'a PartRecord]) -> BTreeMap<&'a str, BTreeSet<CrashKey>> {
    let mut crashes: BTreeMap<&str, BTreeSet<CrashKey>> = BTreeMap::new();
    for record in records {
        let known = crashes.entry(&record.subject.service).or_default();
        known.extend(record.crashes.keys());
    }
    crashes
}
