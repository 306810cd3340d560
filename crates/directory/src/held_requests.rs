//! Held requests in the replicated log, so that they are still refused after the complete fleet
//! lost power.
//!
//! Processes also send held requests to each other directly, which is faster and needs no quorum.
//! In addition, the leading control host writes the held requests that it knows to the log.

use std::collections::BTreeMap;

use linnet_quarantine::{RequestKey, SuspectRecord};
use serde::{Deserialize, Serialize};

/// Maximum number of requests stored on disk. A record takes some 300 bytes, so a snapshot grows by
/// 150 KB at most.
const MAX_HELD_REQUESTS: usize = 512;

/// Records of held requests, by request. Each replica applies the same commands and so has the same
/// records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeldRequests {
    records: BTreeMap<RequestKey, SuspectRecord>,
}

impl HeldRequests {
    pub(crate) fn records(&self) -> Vec<SuspectRecord> {
        self.records.values().cloned().collect()
    }

    /// Applies a committed command. A request whose record lists no target crashes any more is
    /// removed.
    pub(crate) fn apply(&mut self, records: &[SuspectRecord]) {
        for record in records {
            let key = record.subject.key;
            let known = self.records.entry(key).or_insert_with(|| record.clone());
            known.merge(record);
            if known.crashes.is_empty() {
                self.records.remove(&key);
            }
        }
        while self.records.len() > MAX_HELD_REQUESTS {
            // Removes the request with the fewest target crashes first. The order is the same on
            // every replica.
            let weakest = self.records.iter();
            let weakest = weakest.min_by_key(|(key, one)| (one.crashes.len(), **key));
            let Some(key) = weakest.map(|(key, _)| *key) else {
                return;
            };
            self.records.remove(&key);
        }
    }

    /// Returns the records of held requests that the log lacks, if it has room for more, and the
    /// records that it has in another state.
    pub(crate) fn missing(&self, known: Vec<SuspectRecord>) -> Vec<SuspectRecord> {
        let is_missing = |record: &SuspectRecord| match self.records.get(&record.subject.key) {
            Some(kept) => kept.clone().merge(record),
            None => record.held && self.records.len() < MAX_HELD_REQUESTS,
        };
        let missing = known.into_iter().filter(is_missing);
        // The age depends on the time of reading, so the log does not store it.
        missing
            .map(|record| SuspectRecord {
                age_ms: 0,
                ..record
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
