//! The order in which the records of a store changed.

use std::collections::BTreeMap;

/// Records that changed, in the order of their changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordChanges<R> {
    /// The records.
    pub records: Vec<R>,
    /// The revision up to which the reader has seen all changes after merging them.
    pub revision: u64,
}

/// The keys of a store in the order of their last changes.
#[derive(Debug)]
pub(crate) struct ChangeLog<K> {
    by_revision: BTreeMap<u64, K>,
    revision: u64,
}

impl<K> Default for ChangeLog<K> {
    fn default() -> Self {
        Self {
            by_revision: BTreeMap::new(),
            revision: 0,
        }
    }
}

impl<K: Copy> ChangeLog<K> {
    /// Returns the latest revision.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Records a change of the record whose previous change had the revision `last`; returns the
    /// revision of this one.
    pub(crate) fn record(&mut self, last: u64, key: K) -> u64 {
        self.by_revision.remove(&last);
        self.revision += 1;
        self.by_revision.insert(self.revision, key);
        self.revision
    }

    /// Removes a record whose last change had the given revision.
    pub(crate) fn forget(&mut self, last: u64) {
        self.by_revision.remove(&last);
    }

    /// Returns at most `limit` records that changed after a revision, the oldest change first.
    /// `find` returns no record for a key that is not wanted.
    pub(crate) fn after<R>(
        &self,
        after: u64,
        limit: usize,
        find: impl Fn(K) -> Option<R>,
    ) -> RecordChanges<R> {
        let newer = self.by_revision.range(after.saturating_add(1)..);
        let wanted = newer.filter_map(|(revision, key)| Some((*revision, find(*key)?)));
        let found: Vec<(u64, R)> = wanted.take(limit).collect();
        let is_last_part = found.len() < limit;
        let last = found.last().map_or(after, |(revision, _)| *revision);
        RecordChanges {
            records: found.into_iter().map(|(_, record)| record).collect(),
            revision: if is_last_part {
                self.revision.max(after)
            } else {
                last
            },
        }
    }
}
