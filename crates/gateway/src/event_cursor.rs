//! The position of a caller in its stream of events.
//!
//! Ids of events that are numbers rise. Ids of other forms are passed on as they are.

use derive_more::Display;
use http::HeaderValue;

use crate::caller_request::{CallerRequest, is_resumable};
use crate::events::{EventHead, next_event};
use crate::protocol::HeaderNames;

/// Maximum number of digits of an id that is compared as a number.
const MAX_DIGITS: usize = 19;

/// Position of a caller after the events that it has received. It never goes back.
#[derive(Debug, Clone, Default)]
pub(crate) struct EventCursor {
    /// Id of the last event that has one.
    last_id: Vec<u8>,
    numbering: IdNumbering,
    /// Whether an event without an id came after it, so that no id names the position.
    has_unnamed: bool,
    /// Whether the next event is the first one of another run.
    begins_run: bool,
}

/// What the ids of the events have in common.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum IdNumbering {
    /// No event has come.
    #[default]
    Empty,
    /// All ids are numbers.
    Numbers { last: u64, step: IdStep },
    /// Some are not.
    Opaque,
}

/// How the ids of one run follow each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IdStep {
    /// Only one id is known.
    Unknown,
    /// Each is the next number.
    Consecutive,
    /// Some numbers are left out, as with events that hold several tokens.
    WithGaps,
}

/// An event that must not be passed on, because events are missing before it or it came before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum EventDisorder {
    #[display("event {id} does not rise above event {last}")]
    NotRising { last: u64, id: u64 },
    #[display("a run that resumes after event {last} begins with event {id}")]
    Gap { last: u64, id: u64 },
}

/// The position of a caller cannot be named to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct UnknownPosition;

impl EventCursor {
    /// Creates the cursor of the caller of a request, which may take up a stream.
    pub(crate) fn of_request(request: &CallerRequest, names: &HeaderNames) -> Self {
        let last_event = request.headers.get(&names.last_event);
        match last_event.filter(|_| is_resumable(request)) {
            Some(id) => Self::after(id),
            None => Self::default(),
        }
    }

    /// Creates the cursor of a caller that has the events up to the one with this id.
    fn after(id: &HeaderValue) -> Self {
        let mut cursor = Self::default();
        if !id.is_empty() {
            cursor.set_last(id.as_bytes());
        }
        cursor
    }

    /// Returns the id after which another target has to go on; `None` if no event has come.
    ///
    /// # Errors
    ///
    /// [`UnknownPosition`] if the last event has no id, or one that no header can carry.
    pub(crate) fn position(&self) -> Result<Option<HeaderValue>, UnknownPosition> {
        if self.has_unnamed {
            return Err(UnknownPosition);
        }
        if self.numbering == IdNumbering::Empty {
            return Ok(None);
        }
        // A header loses the spaces around its value.
        if self.last_id.trim_ascii().len() != self.last_id.len() {
            return Err(UnknownPosition);
        }
        let value = HeaderValue::from_bytes(&self.last_id);
        value.map(Some).map_err(|_| UnknownPosition)
    }

    /// Returns the id of the last event that has one, for the log.
    pub(crate) fn last_id(&self) -> std::borrow::Cow<'_, str> {
        String::from_utf8_lossy(&self.last_id)
    }

    /// Returns why a run that begins with these events does not go on at the position.
    pub(crate) fn check_run(&self, events: &[u8]) -> Option<EventDisorder> {
        if self.numbering == IdNumbering::Empty {
            return None;
        }
        let mut cursor = self.clone();
        cursor.begin_run();
        match cursor.advance(events) {
            (0, disorder) => disorder,
            // What is wrong with a later event ends the run there.
            _ => None,
        }
    }

    /// Starts another run.
    pub(crate) fn begin_run(&mut self) {
        self.begins_run = true;
    }

    /// Moves behind complete events, up to the first one that is out of order. Returns the length of
    /// the events before it, and what is wrong with it.
    pub(crate) fn advance(&mut self, events: &[u8]) -> (usize, Option<EventDisorder>) {
        let mut accepted = 0;
        while let Some(event) = next_event(&events[accepted..]) {
            if let Err(disorder) = self.accept(&event) {
                return (accepted, Some(disorder));
            }
            accepted += event.len;
        }
        (events.len(), None)
    }

    fn accept(&mut self, event: &EventHead<'_>) -> Result<(), EventDisorder> {
        let Some(id) = event.id else {
            self.has_unnamed |= event.has_data;
            return Ok(());
        };
        if let (IdNumbering::Numbers { last, step }, Some(id)) = (self.numbering, parse_number(id))
        {
            if id <= last {
                return Err(EventDisorder::NotRising { last, id });
            }
            if self.begins_run && step == IdStep::Consecutive && id != last + 1 {
                return Err(EventDisorder::Gap { last, id });
            }
        }
        self.set_last(id);
        Ok(())
    }

    fn set_last(&mut self, id: &[u8]) {
        self.numbering = match (self.numbering, parse_number(id)) {
            (IdNumbering::Empty, Some(last)) => IdNumbering::Numbers {
                last,
                step: IdStep::Unknown,
            },
            (IdNumbering::Numbers { last, step }, Some(id)) => IdNumbering::Numbers {
                last: id,
                step: step.after(id - last),
            },
            (_, None) | (IdNumbering::Opaque, _) => IdNumbering::Opaque,
        };
        self.last_id.clear();
        self.last_id.extend_from_slice(id);
        // An empty id takes the last one back.
        self.has_unnamed = id.is_empty();
        self.begins_run = false;
    }
}

impl IdStep {
    fn after(self, difference: u64) -> Self {
        match (self, difference) {
            (Self::Unknown | Self::Consecutive, 1) => Self::Consecutive,
            _ => Self::WithGaps,
        }
    }
}

fn parse_number(id: &[u8]) -> Option<u64> {
    let is_number = id.len() <= MAX_DIGITS && id.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(id).ok().filter(|_| is_number)?;
    text.parse().ok()
}

#[cfg(test)]
mod tests;
