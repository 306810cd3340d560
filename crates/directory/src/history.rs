//! The configurations that a control host can bring to subscribers.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::{DocumentKey, DocumentPayload, StoredDocument};

/// How many configurations are kept, the newest among them, as bases of changes and for subscribers
/// that are in the middle of one.
const MAX_DOCUMENTS: usize = 8;

/// Bytes of configurations that are kept beside the newest: an eighth of the memory that a control
/// host may take.
const MAX_OLDER_BYTES: usize = 8 * 1024 * 1024;

/// Payloads that are kept ready. Subscribers that follow well all have the same base.
const MAX_CACHED_PAYLOADS: usize = 6;

/// The newest configuration, some before it, and payloads that were asked for lately.
#[derive(Default)]
pub(crate) struct DocumentHistory {
    /// Oldest first.
    documents: VecDeque<Arc<StoredDocument>>,
    /// Oldest first.
    payloads: VecDeque<Arc<DocumentPayload>>,
}

impl DocumentHistory {
    /// Takes the configuration that is held from now on.
    pub(crate) fn push(&mut self, newest: Arc<StoredDocument>) {
        self.documents.push_back(newest);
        while self.documents.len() > MAX_DOCUMENTS || self.older_bytes() > MAX_OLDER_BYTES {
            self.documents.pop_front();
        }
    }

    /// Returns the newest configuration.
    pub(crate) fn newest(&self) -> Option<&Arc<StoredDocument>> {
        self.documents.back()
    }

    /// Returns a payload that brings the configuration `wanted`, or the newest where that one is not
    /// kept, to a subscriber that has `base`.
    pub(crate) fn payload(
        &mut self,
        wanted: DocumentKey,
        base: Option<DocumentKey>,
    ) -> Option<Arc<DocumentPayload>> {
        let document = self.find(wanted).or(self.newest().cloned())?;
        let base = base.and_then(|base| self.find(base));
        let base_key = base.as_ref().map(|base| base.key());
        let matches = |payload: &&Arc<DocumentPayload>| {
            let key = payload.key();
            key.document == document.key() && key.base == base_key
        };
        if let Some(cached) = self.payloads.iter().find(matches) {
            return Some(cached.clone());
        }
        let payload = match DocumentPayload::new(&document, base.as_deref()) {
            Ok(payload) => Arc::new(payload),
            Err(error) => {
                log::error!(target: "linnetdale", "packing {}: {error}", document.key());
                return None;
            }
        };
        self.payloads.push_back(payload.clone());
        if self.payloads.len() > MAX_CACHED_PAYLOADS {
            self.payloads.pop_front();
        }
        Some(payload)
    }

    fn find(&self, key: DocumentKey) -> Option<Arc<StoredDocument>> {
        self.documents
            .iter()
            .find(|document| document.key() == key)
            .cloned()
    }

    fn older_bytes(&self) -> usize {
        let count = self.documents.len().saturating_sub(1);
        let older = self.documents.iter().take(count);
        older.map(|document| document.body().len()).sum()
    }
}

#[cfg(test)]
mod tests;
