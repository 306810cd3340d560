//! Transfer of a configuration from a control host to one subscriber, in parts and as far as the
//! subscriber requested.
//!
//! The subscriber requests a few parts at a time. This keeps the connection's send queue short, and
//! other updates pass between the parts.

use std::sync::Arc;

use crate::{DocumentPart, DocumentPayload, DocumentRequest};

/// Bytes of one part: some 7 ms on a link of 10 Mbit/s, which is the longest that other updates
/// wait for it.
pub(crate) const PART_BYTES: u32 = 8 * 1024;

/// The transfer to one subscriber.
#[derive(Default)]
pub(crate) struct DocumentSender {
    current: Option<CurrentTransfer>,
}

struct CurrentTransfer {
    attempt: u32,
    payload: Arc<DocumentPayload>,
    sent: u32,
    limit: u32,
}

impl DocumentSender {
    /// Sets the current request of the subscriber; `find` returns the payload for it.
    pub(crate) fn set_request(
        &mut self,
        request: Option<&DocumentRequest>,
        find: impl FnOnce(&DocumentRequest) -> Option<Arc<DocumentPayload>>,
    ) {
        let Some(request) = request else {
            self.current = None;
            return;
        };
        match &mut self.current {
            Some(current) if current.attempt == request.attempt => {
                current.limit = current.limit.max(request.limit);
            }
            _ => self.current = find(request).map(|payload| CurrentTransfer::new(request, payload)),
        }
    }

    /// Returns the next part if one is due, and counts it as sent.
    pub(crate) fn next_part(&mut self) -> Option<DocumentPart> {
        let current = self.current.as_mut()?;
        let (bytes, start) = (current.payload.bytes(), current.sent as usize);
        let end = bytes.len().min(start + PART_BYTES as usize);
        if start >= bytes.len() || current.sent >= current.limit {
            return None;
        }
        current.sent = end as u32;
        Some(DocumentPart {
            payload: current.payload.key(),
            offset: start as u32,
            bytes: bytes[start..end].to_vec(),
        })
    }
}

impl CurrentTransfer {
    // If the subscriber has the first bytes of another payload, the transfer starts at 0.
    fn new(request: &DocumentRequest, payload: Arc<DocumentPayload>) -> Self {
        let resumes = request.partial == Some(payload.key());
        Self {
            attempt: request.attempt,
            sent: if resumes { request.offset } else { 0 },
            limit: request.limit,
            payload,
        }
    }
}

#[cfg(test)]
mod tests;
