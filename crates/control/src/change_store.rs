//! Remembers which change keys were taken, so that a resent change is answered as the first time.

use std::collections::{HashMap, VecDeque};

use linnet_table::TableChange;
use serde::{Deserialize, Serialize};

/// Changes that are remembered: 25 days of them at 390 a day.
pub const MAX_CHANGE_RECORDS: usize = 10_000;

/// What is remembered of a change that was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The version that it made.
    pub version: u64,
    /// A digest of its rows.
    pub content_digest: [u8; 16],
}

/// The changes that were taken, by their keys.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ChangeStore {
    order: VecDeque<String>,
    records: HashMap<String, ChangeRecord>,
}

impl ChangeStore {
    /// Finds the record of a change key.
    pub fn find(&self, change_key: &str) -> Option<ChangeRecord> {
        self.records.get(change_key).copied()
    }

    /// Notes a change that was taken.
    pub fn record(&mut self, change: &TableChange, version: u64) {
        let record = ChangeRecord {
            version,
            content_digest: content_digest(change),
        };
        self.records.insert(change.change_key.clone(), record);
        self.order.push_back(change.change_key.clone());
        if self.order.len() > MAX_CHANGE_RECORDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.records.remove(&oldest);
        }
    }
}

/// Returns a digest of the rows of a change; its base version may differ when it is sent again.
pub(crate) fn content_digest(change: &TableChange) -> [u8; 16] {
    let bytes = postcard::to_stdvec(&(&change.upserts, &change.deletes)).unwrap_or_default();
    let mut short = [0; 16];
    short.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..16]);
    short
}
