//! Store of accepted change keys, so that a change that is sent again gets the same response as
//! before.

use std::collections::{HashMap, VecDeque};

use linnet_table::TableChange;
use serde::{Deserialize, Serialize};

/// Maximum number of stored changes; enough for 25 days at 390 changes per day.
pub const MAX_CHANGE_RECORDS: usize = 10_000;

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Table version that the change created.
    pub version: u64,
    /// Digest of the rows of the change.
    pub content_digest: [u8; 16],
}

/// The newest accepted changes, by change key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ChangeStore {
    order: VecDeque<String>,
    records: HashMap<String, ChangeRecord>,
}

impl ChangeStore {
    /// Returns the accepted change with a change key.
    pub fn find(&self, change_key: &str) -> Option<ChangeRecord> {
        self.records.get(change_key).copied()
    }

    /// Records an accepted change; removes the oldest one if there are too many.
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

/// Returns a digest of the rows of a change, without its base version, which may differ when it is
/// sent again.
pub(crate) fn content_digest(change: &TableChange) -> [u8; 16] {
    let bytes = postcard::to_stdvec(&(&change.upserts, &change.deletes)).unwrap_or_default();
    let mut short = [0; 16];
    short.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..16]);
    short
}
