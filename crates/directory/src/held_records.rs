//! Records of what is held, in the replicated log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum number of records of one kind stored on disk. A record takes some 300 bytes, so a
/// snapshot grows by 150 KB at most.
pub(crate) const MAX_HELD_RECORDS: usize = 512;

/// How records of one kind are treated.
pub(crate) struct RecordKind<K, R> {
    /// Returns the key of a record.
    pub(crate) key: fn(&R) -> K,
    /// Returns the number of target crashes that a record lists.
    pub(crate) crashes: fn(&R) -> usize,
    /// Merges the second record into the first; returns whether that changed it.
    pub(crate) merge: fn(&mut R, &R) -> bool,
}

/// Records by key. Each replica applies the same commands and so has the same records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeldRecords<K: Ord, R> {
    records: BTreeMap<K, R>,
}

impl<K: Ord, R> Default for HeldRecords<K, R> {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Copy, R: Clone> HeldRecords<K, R> {
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(crate) fn records(&self) -> Vec<R> {
        self.records.values().cloned().collect()
    }

    /// Applies a committed command. A record that lists no target crashes any more is removed.
    pub(crate) fn apply(&mut self, kind: &RecordKind<K, R>, received: &[R]) {
        for record in received {
            let key = (kind.key)(record);
            let known = self.records.entry(key).or_insert_with(|| record.clone());
            (kind.merge)(known, record);
            if (kind.crashes)(known) == 0 {
                self.records.remove(&key);
            }
        }
        while self.records.len() > MAX_HELD_RECORDS {
            // Removes the record with the fewest target crashes first. The order is the same on
            // every replica.
            let weakest = self.records.iter();
            let weakest = weakest.min_by_key(|(key, one)| ((kind.crashes)(one), **key));
            let Some(key) = weakest.map(|(key, _)| *key) else {
                return;
            };
            self.records.remove(&key);
        }
    }

    /// Returns the held records that the log lacks, if it has room for more, and the records that it
    /// has in another state.
    pub(crate) fn missing(
        &self,
        kind: &RecordKind<K, R>,
        known: Vec<R>,
        is_held: impl Fn(&R) -> bool,
    ) -> Vec<R> {
        let is_missing = |record: &R| match self.records.get(&(kind.key)(record)) {
            Some(kept) => (kind.merge)(&mut kept.clone(), record),
            None => is_held(record) && self.records.len() < MAX_HELD_RECORDS,
        };
        known.into_iter().filter(is_missing).collect()
    }
}
