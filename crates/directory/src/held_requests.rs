//! Held requests and parts of prompts in the replicated log, so that they are still refused after
//! the complete fleet lost power.
//!
//! Processes also send them to each other directly, which is faster and needs no quorum. In
//! addition, the leading control host writes those that it knows to the log.

use linnet_quarantine::{PartKey, PartRecord, RequestKey, SuspectRecord};
use serde::{Deserialize, Serialize};

use crate::held_records::{HeldRecords, RecordKind};

const REQUESTS: RecordKind<RequestKey, SuspectRecord> = RecordKind {
    key: |record| record.subject.key,
    crashes: |record| record.crashes.len(),
    merge: SuspectRecord::merge,
};

const PARTS: RecordKind<PartKey, PartRecord> = RecordKind {
    key: |record| record.subject.key,
    crashes: |record| record.crashes.len(),
    merge: PartRecord::merge,
};

/// Records of held requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeldRequests(HeldRecords<RequestKey, SuspectRecord>);

impl HeldRequests {
    pub(crate) fn records(&self) -> Vec<SuspectRecord> {
        self.0.records()
    }

    /// Applies a committed command.
    pub(crate) fn apply(&mut self, records: &[SuspectRecord]) {
        self.0.apply(&REQUESTS, records);
    }

    /// Returns the records of held requests that the log lacks, if it has room for more, and the
    /// records that it has in another state.
    pub(crate) fn missing(&self, known: Vec<SuspectRecord>) -> Vec<SuspectRecord> {
        let missing = self.0.missing(&REQUESTS, known, |record| record.held);
        // The age depends on the time of reading, so the log does not store it.
        let without_age = |record| SuspectRecord {
            age_ms: 0,
            ..record
        };
        missing.into_iter().map(without_age).collect()
    }
}

/// Records of held parts of prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HeldParts(HeldRecords<PartKey, PartRecord>);

impl HeldParts {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn records(&self) -> Vec<PartRecord> {
        self.0.records()
    }

    /// Applies a committed command.
    pub(crate) fn apply(&mut self, records: &[PartRecord]) {
        self.0.apply(&PARTS, records);
    }

    /// Returns the records of held parts that the log lacks, if it has room for more, and the records
    /// that it has in another state.
    pub(crate) fn missing(
        &self,
        known: Vec<PartRecord>,
        is_held: impl Fn(&PartRecord) -> bool,
    ) -> Vec<PartRecord> {
        let missing = self.0.missing(&PARTS, known, is_held);
        let without_age = |record| PartRecord {
            age_ms: 0,
            ..record
        };
        missing.into_iter().map(without_age).collect()
    }
}

#[cfg(test)]
mod tests;
