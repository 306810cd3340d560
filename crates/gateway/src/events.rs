//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// Buffers bytes until an event is complete.
#[derive(Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Appends bytes and returns all events that are complete now, concatenated.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.buffer.extend_from_slice(bytes);
        let end = last_event_end(&self.buffer)?;
        Some(self.buffer.split_to(end).freeze())
    }

    /// Removes and returns the bytes after the last complete event.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let lf = bytes
        .windows(2)
        .rposition(|pair| pair == b"\n\n")
        .map(|at| at + 2);
    let crlf = bytes
        .windows(4)
        .rposition(|four| four == b"\r\n\r\n")
        .map(|at| at + 4);
    lf.max(crlf)
}

/// Returns the id of the last event that has one.
pub(crate) fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.split(|byte| *byte == b'\n');
    let mut ids = lines.rev().filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next()?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}

#[cfg(test)]
mod tests;
