//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use http::{HeaderMap, header};

/// Maximum size of an event, and of what comes before the first one.
pub(crate) const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("event longer than {MAX_EVENT_BYTES} bytes")]
pub(crate) struct EventTooLong;

/// Buffers bytes until an event is complete.
#[derive(Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    /// How much of the buffer was searched for ends of events.
    searched: SearchedPart,
}

/// A searched part of a buffer. Its line ends are not searched for again.
#[derive(Debug, Clone, Copy, Default)]
struct SearchedPart {
    end: usize,
    /// Start of the line that is not complete.
    line_start: usize,
}

impl EventSplitter {
    /// Appends bytes and returns all events that are complete now, concatenated.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if no event is complete and the one that has begun is too long.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        self.buffer.extend_from_slice(bytes);
        let end = last_event_end(&self.buffer, &mut self.searched);
        let events = end.map(|end| {
            self.searched.end = self.searched.end.saturating_sub(end);
            self.searched.line_start = self.searched.line_start.saturating_sub(end);
            self.buffer.split_to(end).freeze()
        });
        match events.is_none() && self.buffer.len() > MAX_EVENT_BYTES {
            true => Err(EventTooLong),
            false => Ok(events),
        }
    }

    /// Returns the number of bytes that are buffered.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the bytes after the last complete event.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.searched = SearchedPart::default();
        self.buffer.split().freeze()
    }

    /// Returns the number of bytes after the last complete event if they begin another event, and 0
    /// otherwise: blank lines and comments are part of no event.
    pub(crate) fn partial_bytes(&self) -> usize {
        if has_event_lines(&self.buffer) {
            self.buffer.len()
        } else {
            0
        }
    }
}

/// Returns whether there is a line that belongs to an event, other than a comment.
pub(crate) fn has_event_lines(bytes: &[u8]) -> bool {
    let mut lines = bytes.split(|byte| is_line_end(*byte));
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// Returns whether a response on a streaming route is a stream of events: one of another type is not,
/// such as a JSON document.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let Some(media_type) = headers.get(header::CONTENT_TYPE) else {
        return true;
    };
    let media_type = media_type.to_str().unwrap_or_default();
    let essence = media_type.split(';').next().unwrap_or_default().trim();
    essence.eq_ignore_ascii_case("text/event-stream")
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

/// Returns the end of the last blank line after the searched part, which completes an event. Lines
/// end with LF, CR or both.
fn last_event_end(bytes: &[u8], searched: &mut SearchedPart) -> Option<usize> {
    let mut event_end = None;
    let SearchedPart {
        end: mut at,
        mut line_start,
    } = *searched;
    while at < bytes.len() {
        let width = match &bytes[at..] {
            [b'\r', b'\n', ..] => 2,
            [byte, ..] if is_line_end(*byte) => 1,
            _ => 0,
        };
        // A CR at the end may be the first half of a line end.
        if !bytes[at..].starts_with(b"\r") || at + 1 < bytes.len() {
            *searched = SearchedPart {
                end: at + width.max(1),
                line_start: if width > 0 { at + width } else { line_start },
            };
        }
        if width == 0 {
            at += 1;
            continue;
        }
        let is_blank = line_start == at;
        at += width;
        line_start = at;
        if is_blank {
            event_end = Some(at);
        }
    }
    event_end
}

/// What the lines of a complete event tell about its place in a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EventHead<'a> {
    /// Length of the event, with the blank line at its end.
    pub(crate) len: usize,
    /// Value of its last valid `id` line.
    pub(crate) id: Option<&'a [u8]>,
    pub(crate) has_data: bool,
}

/// Parses the first event of `bytes`; returns `None` if no event is complete.
pub(crate) fn next_event(bytes: &[u8]) -> Option<EventHead<'_>> {
    let mut event = EventHead {
        len: 0,
        id: None,
        has_data: false,
    };
    loop {
        let rest = &bytes[event.len..];
        let line_len = rest.iter().position(|byte| is_line_end(*byte))?;
        let (line, end) = rest.split_at(line_len);
        event.len += line_len + if end.starts_with(b"\r\n") { 2 } else { 1 };
        if line.is_empty() {
            return Some(event);
        }
        match split_field(line) {
            // An id with NUL is ignored, as the format of event streams says.
            (b"id", value) if !value.contains(&0) => event.id = Some(value),
            (b"data", _) => event.has_data = true,
            _ => {}
        }
    }
}

/// Splits a line into the name and the value of its field.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return (line, b"");
    };
    let (name, value) = (&line[..colon], &line[colon + 1..]);
    (name, value.strip_prefix(b" ").unwrap_or(value))
}

/// Returns the id of the first event that has one.
pub(crate) fn first_event_id(mut events: &[u8]) -> Option<&[u8]> {
    while let Some(event) = next_event(events) {
        if event.id.is_some() {
            return event.id;
        }
        events = &events[event.len..];
    }
    None
}

#[cfg(test)]
mod tests;
