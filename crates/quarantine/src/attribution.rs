//! Attribution of target crashes to the requests that caused them.
//!
//! Most requests in flight at a crash did not cause it, and an interrupted one is retried at
//! another target just as the causing one is. A request is therefore found to be the cause only by
//! crashes that no other request explains: of two requests that were present at the same crashes,
//! neither is found to be the cause until one of them crashes a target without the other. Crashes that
//! held parts of prompts explain do not count, and those of one instant are weighed together.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::instant::CrashInstants;
use crate::{CrashKey, RequestKey, SuspectRecord};

/// Target crashes after which a request is held. One crash may be a coincidence for any request
/// that ran there, and so may two: an interrupted request is retried at a second target at once,
/// and many targets may crash at the same time.
pub const HOLD_CRASHES: usize = 3;

/// Target crashes after which a process without contact to any control host holds a request or a
/// part. It does not learn what else ran at the targets, so it cannot tell the cause from what is in
/// flight everywhere.
pub(crate) const ISOLATED_HOLD_CRASHES: usize = 6;

/// A request that may be the cause of crashes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    pub(crate) record: &'a SuspectRecord,
    /// Whether all hosts have had time to report its crashes. Until then the candidate only
    /// prevents other requests from being found to be the cause.
    pub(crate) decided: bool,
}

/// The crashes that need a cause.
#[derive(Clone, Copy)]
pub(crate) struct CrashEvidence<'a> {
    pub(crate) instants: &'a CrashInstants,
    /// All crashes at which some request was in flight.
    pub(crate) known: &'a BTreeSet<CrashKey>,
    /// Those of them that parts of prompts explain.
    pub(crate) explained: &'a BTreeSet<CrashKey>,
}

impl CrashEvidence<'_> {
    /// Returns the evidence of the crashes `own` of a request, in crashes.
    fn weigh(&self, own: &BTreeSet<CrashKey>, attributed: &BTreeMap<CrashKey, RequestKey>) -> f64 {
        let is_open = |crash: &&CrashKey| {
            own.contains(crash)
                || !attributed.contains_key(crash) && !self.explained.contains(crash)
        };
        let all = self.known.iter().filter(is_open);
        self.instants.evidence(own.iter(), all)
    }
}

/// Returns the request to which each crash is attributed: requests that are held already, and those
/// that are found to be causes now, which takes evidence of `hold_crashes`.
pub(crate) fn attribute_crashes(
    mut candidates: Vec<Candidate<'_>>,
    evidence: CrashEvidence<'_>,
    hold_crashes: usize,
) -> BTreeMap<CrashKey, RequestKey> {
    candidates.sort_by_key(|one| {
        let record = one.record;
        (
            !record.held,
            Reverse(record.crashes.len()),
            record.subject.key,
        )
    });
    let mut attributed = BTreeMap::new();
    for one in &candidates {
        let record = one.record;
        let unattributed_crashes = unattributed(record, &attributed);
        let is_cause = || {
            let mut open = unattributed_crashes.clone();
            open.retain(|crash| !evidence.explained.contains(crash));
            one.decided
                && evidence.weigh(&open, &attributed) >= hold_crashes as f64
                && !is_explained_by_another(record, &open, &candidates)
        };
        if record.held || is_cause() {
            for crash in unattributed_crashes {
                attributed.insert(crash, record.subject.key);
            }
        }
    }
    attributed
}

/// Returns the crashes of a request that are not attributed to another one.
pub(crate) fn unattributed(
    record: &SuspectRecord,
    attributed: &BTreeMap<CrashKey, RequestKey>,
) -> BTreeSet<CrashKey> {
    let own = record.subject.key;
    let crashes = record.crashes.iter();
    let own_or_unattributed =
        crashes.filter(|crash| attributed.get(crash).is_none_or(|cause| *cause == own));
    own_or_unattributed.copied().collect()
}

/// Returns whether another request was present at all of the given crashes.
fn is_explained_by_another(
    record: &SuspectRecord,
    crashes: &BTreeSet<CrashKey>,
    all: &[Candidate<'_>],
) -> bool {
    let others = all.iter().map(|one| one.record);
    let mut others = others.filter(|one| one.subject.key != record.subject.key);
    others.any(|one| one.crashes.is_superset(crashes))
}
