//! Which of the requests that ran at targets when they ended is the cause.
//!
//! At each end most of those in flight are innocent, and one that was cut off comes again at another target
//! while the guilty one does so too. So a request is found to be the cause only by ends that no other one
//! explains: of two that were there at the same ends neither is, until one of them ends a target alone.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::{EndKey, RequestKey, SuspectRecord};

/// Ends of targets after which a request is held. One end is chance for all that ran there, two may be: a
/// request that was cut off is sent to a second target at once, and targets end in numbers.
pub const HOLDING_ENDS: usize = 3;

/// A request that may be a cause.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    pub(crate) record: &'a SuspectRecord,
    /// Whether all is known of its ends that will be. Until then it only casts doubt on others.
    pub(crate) decided: bool,
}

/// Returns, for each end that is explained, the request that explains it: those that are held already, and
/// those that are found to be causes now.
pub(crate) fn explain_ends(mut candidates: Vec<Candidate<'_>>) -> BTreeMap<EndKey, RequestKey> {
    candidates.sort_by_key(|one| {
        let record = one.record;
        (!record.held, Reverse(record.ends.len()), record.subject.key)
    });
    let mut explained = BTreeMap::new();
    for one in &candidates {
        let record = one.record;
        let fresh = unexplained(record, &explained);
        let is_cause = || {
            one.decided && fresh.len() >= HOLDING_ENDS && !is_covered(record, &fresh, &candidates)
        };
        if record.held || is_cause() {
            for end in fresh {
                explained.insert(end, record.subject.key);
            }
        }
    }
    explained
}

/// Returns the ends of a request that no other one explains.
pub(crate) fn unexplained(
    record: &SuspectRecord,
    explained: &BTreeMap<EndKey, RequestKey>,
) -> BTreeSet<EndKey> {
    let own = record.subject.key;
    let ends = record.ends.iter();
    let open = ends.filter(|end| explained.get(end).is_none_or(|cause| *cause == own));
    open.copied().collect()
}

/// Says whether another request was there at all of these ends.
fn is_covered(record: &SuspectRecord, ends: &BTreeSet<EndKey>, all: &[Candidate<'_>]) -> bool {
    let others = all.iter().map(|one| one.record);
    let mut others = others.filter(|one| one.subject.key != record.subject.key);
    others.any(|one| one.ends.is_superset(ends))
}
