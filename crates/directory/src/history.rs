//! The configurations that a control host can bring to subscribers.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::{DocumentKey, DocumentPayload, HeldDocument};

/// How many configurations are kept, the newest among them, as bases of changes and for subscribers
/// that are in the middle of one.
const MOST_KEPT: usize = 8;

/// Bytes of configurations that are kept beside the newest: an eighth of the memory that a control
/// host may take.
const KEPT_BYTES: usize = 8 * 1024 * 1024;

/// Payloads that are kept ready. Subscribers that follow well all have the same base.
const READY_PAYLOADS: usize = 6;

/// The newest configuration, some before it, and payloads that were asked for lately.
#[derive(Default)]
pub(crate) struct DocumentHistory {
    /// Oldest first.
    kept: VecDeque<Arc<HeldDocument>>,
    /// Oldest first.
    ready: VecDeque<Arc<DocumentPayload>>,
}

impl DocumentHistory {
    /// Takes the configuration that is held from now on.
    pub(crate) fn push(&mut self, newest: Arc<HeldDocument>) {
        self.kept.push_back(newest);
        while self.kept.len() > MOST_KEPT || self.bytes_before_newest() > KEPT_BYTES {
            self.kept.pop_front();
        }
    }

    /// Returns the newest configuration.
    pub(crate) fn newest(&self) -> Option<&Arc<HeldDocument>> {
        self.kept.back()
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
        let fits = |payload: &&Arc<DocumentPayload>| {
            let key = payload.key();
            key.document == document.key() && key.base == base_key
        };
        if let Some(ready) = self.ready.iter().find(fits) {
            return Some(ready.clone());
        }
        let payload = match DocumentPayload::new(&document, base.as_deref()) {
            Ok(payload) => Arc::new(payload),
            Err(error) => {
                log::error!(target: "linnetdale", "packing {}: {error}", document.key());
                return None;
            }
        };
        self.ready.push_back(payload.clone());
        if self.ready.len() > READY_PAYLOADS {
            self.ready.pop_front();
        }
        Some(payload)
    }

    fn find(&self, key: DocumentKey) -> Option<Arc<HeldDocument>> {
        self.kept.iter().find(|held| held.key() == key).cloned()
    }

    fn bytes_before_newest(&self) -> usize {
        let before = self.kept.len().saturating_sub(1);
        let kept = self.kept.iter().take(before);
        kept.map(|held| held.body().len()).sum()
    }
}

#[cfg(test)]
mod tests;
