//! The configurations that a control host can send to subscribers.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::{DocumentKey, DocumentPayload, StoredDocument};

/// Maximum number of configurations retained, including the newest. The older ones serve as bases
/// for changes, and for subscribers in the middle of a transfer.
const MAX_DOCUMENTS: usize = 8;

/// Maximum bytes of configurations retained beside the newest: an eighth of the memory available to
/// a control host.
const MAX_OLDER_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of cached payloads. Up-to-date subscribers all have the same base.
const MAX_CACHED_PAYLOADS: usize = 6;

/// The newest configuration, some before it, and recently requested payloads.
#[derive(Default)]
pub(crate) struct DocumentHistory {
    /// Oldest first.
    documents: VecDeque<Arc<StoredDocument>>,
    /// Oldest first.
    payloads: VecDeque<Arc<DocumentPayload>>,
}

impl DocumentHistory {
    /// Adds the configuration that is in force from now on.
    pub(crate) fn push(&mut self, newest: Arc<StoredDocument>) {
        self.documents.push_back(newest);
        while self.documents.len() > MAX_DOCUMENTS || self.older_bytes() > MAX_OLDER_BYTES {
            self.documents.pop_front();
        }
    }

    pub(crate) fn newest(&self) -> Option<&Arc<StoredDocument>> {
        self.documents.back()
    }

    /// Returns the payload for a subscriber that has `base` and requests `wanted`. If `wanted` is
    /// not retained, the payload carries the newest configuration.
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
                log::error!(target: "linnetdale", "cannot compress the configuration, {}: {error}", document.key());
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
