//! Which of the requests that ran at targets when they ended is the cause.
//!
//! At each crash most of those in flight are innocent, and one that was cut off comes again at another target
//! while the guilty one does so too. So a request is found to be the cause only by crashes that no other one
//! explains: of two that were there at the same crashes neither is, until one of them crashes a target alone.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::{CrashKey, RequestKey, SuspectRecord};

/// Ends of targets after which a request is held. One crash is chance for all that ran there, two may be: a
/// request that was cut off is sent to a second target at once, and targets crash in numbers.
pub const HOLD_CRASHES: usize = 3;

/// A request that may be a cause.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    pub(crate) record: &'a SuspectRecord,
    /// Whether all is known of its crashes that will be. Until then it only casts doubt on others.
    pub(crate) decided: bool,
}

/// Returns, for each crash that is attributed, the request that explains it: those that are held already, and
/// those that are found to be causes now.
pub(crate) fn attribute_crashes(
    mut candidates: Vec<Candidate<'_>>,
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
            one.decided
                && unattributed_crashes.len() >= HOLD_CRASHES
                && !is_explained_by_another(record, &unattributed_crashes, &candidates)
        };
        if record.held || is_cause() {
            for crash in unattributed_crashes {
                attributed.insert(crash, record.subject.key);
            }
        }
    }
    attributed
}

/// Returns the crashes of a request that no other one explains.
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

/// Says whether another request was there at all of these crashes.
fn is_explained_by_another(
    record: &SuspectRecord,
    crashes: &BTreeSet<CrashKey>,
    all: &[Candidate<'_>],
) -> bool {
    let others = all.iter().map(|one| one.record);
    let mut others = others.filter(|one| one.subject.key != record.subject.key);
    others.any(|one| one.crashes.is_superset(crashes))
}
