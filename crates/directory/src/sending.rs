//! What a control host sends of a configuration to one subscriber: parts, as far as it asked.
//!
//! The subscriber asks for a few parts at a time. What waits in the connection then is small, and
//! other news of the directory pass between the parts.

use std::sync::Arc;

use crate::{DocumentPart, DocumentPayload, DocumentWant};

/// Bytes of one part: some 7 ms of a link of 10 Mbit/s, for which other news wait at most.
pub(crate) const PART_BYTES: u32 = 8 * 1024;

/// The transfer to one subscriber.
#[derive(Default)]
pub(crate) struct DocumentSending {
    current: Option<CurrentSending>,
}

struct CurrentSending {
    attempt: u32,
    payload: Arc<DocumentPayload>,
    sent: u32,
    until: u32,
}

impl DocumentSending {
    /// Takes what the subscriber wants now; `find` gives the payload for it.
    pub(crate) fn take_want(
        &mut self,
        want: Option<&DocumentWant>,
        find: impl FnOnce(&DocumentWant) -> Option<Arc<DocumentPayload>>,
    ) {
        let Some(want) = want else {
            self.current = None;
            return;
        };
        match &mut self.current {
            Some(current) if current.attempt == want.attempt => {
                current.until = current.until.max(want.until);
            }
            _ => self.current = find(want).map(|payload| CurrentSending::new(want, payload)),
        }
    }

    /// Returns the next part, where one is due, and counts it as sent.
    pub(crate) fn next_part(&mut self) -> Option<DocumentPart> {
        let current = self.current.as_mut()?;
        let (bytes, start) = (current.payload.bytes(), current.sent as usize);
        let end = bytes.len().min(start + PART_BYTES as usize);
        if start >= bytes.len() || current.sent >= current.until {
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

impl CurrentSending {
    // Where the subscriber has a beginning of other bytes than these it starts from nothing.
    fn new(want: &DocumentWant, payload: Arc<DocumentPayload>) -> Self {
        let begun = want.begun == Some(payload.key());
        Self {
            attempt: want.attempt,
            sent: if begun { want.offset } else { 0 },
            until: want.until,
            payload,
        }
    }
}

#[cfg(test)]
mod tests;
