//! Held requests as the replicated log keeps them, so that a fleet that lost all its power refuses them still.
//!
//! What is held is told from process to process without the log, which is faster and goes on without a
//! quorum. The leading control host puts what it knows into the log as well.

use std::collections::BTreeMap;

use linnet_quarantine::{RequestKey, SuspectRecord};
use serde::{Deserialize, Serialize};

/// Requests that are kept on disk. A record takes some 300 bytes, so a snapshot grows by 150 KB at most.
const MAX_HELD: usize = 512;

/// Records of held requests, by request. Each replica applies the same commands and so holds the same.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeldRequests {
    records: BTreeMap<RequestKey, SuspectRecord>,
}

impl HeldRequests {
    /// Returns every record.
    pub(crate) fn records(&self) -> Vec<SuspectRecord> {
        self.records.values().cloned().collect()
    }

    /// Takes a committed command. A request against which nothing stands any more goes.
    pub(crate) fn apply(&mut self, told: &[SuspectRecord]) {
        for record in told {
            let key = record.subject.key;
            let known = self.records.entry(key).or_insert_with(|| record.clone());
            known.merge(record);
            if known.crashes.is_empty() {
                self.records.remove(&key);
            }
        }
        while self.records.len() > MAX_HELD {
            // The weakest evidence goes first, the same at every replica.
            let weakest = self.records.iter();
            let weakest = weakest.min_by_key(|(key, one)| (one.crashes.len(), **key));
            let Some(key) = weakest.map(|(key, _)| *key) else {
                return;
            };
            self.records.remove(&key);
        }
    }

    /// Returns those of some records that the log does not have as they are.
    pub(crate) fn lacking(&self, known: Vec<SuspectRecord>) -> Vec<SuspectRecord> {
        let is_news = |record: &SuspectRecord| match self.records.get(&record.subject.key) {
            Some(kept) => kept.clone().merge(record),
            None => record.held && self.records.len() < MAX_HELD,
        };
        let news = known.into_iter().filter(is_news);
        // How long ago it was is nothing that a log can tell.
        news.map(|record| SuspectRecord {
            age_ms: 0,
            ..record
        })
        .collect()
    }
}

#[cfg(test)]
mod tests;
