//! One line of a log.

use std::io::{self, BufRead};

use linnet_telemetry::EventCode;

/// A line that tells one event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// When it was written, as RFC 3339 in UTC, so that texts sort as times do.
    pub time: String,
    /// The event.
    pub code: EventCode,
    /// The host that wrote it.
    pub host: String,
    /// The request, where the event is about one.
    pub request: Option<String>,
    /// The other side, where there is one.
    pub peer: Option<String>,
    /// What follows the name of the event.
    pub detail: String,
}

impl LogLine {
    /// Reads a line; nothing where it tells no event that this program knows. What stands before the
    /// time, as collectors write it, is passed over.
    pub fn parse(text: &str) -> Option<Self> {
        let (before, after) = text.split_once(" event=")?;
        let time = before.split_whitespace().rev().nth(1)?.to_owned();
        let (number, after) = after.split_once(' ')?;
        let code = find_code(number.parse().ok()?)?;
        let (marks, detail) = after.split_once(&format!("{}: ", code.name()))?;
        let mark = |name: &str| {
            let found = marks.split(' ').find_map(|mark| mark.strip_prefix(name));
            found.map(str::to_owned)
        };
        Some(Self {
            time,
            code,
            host: mark("host=")?,
            request: mark("request="),
            peer: mark("peer="),
            detail: detail.trim_end().to_owned(),
        })
    }

    /// Returns the value of a field of its detail.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.detail.split(' ');
        fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns a field in milliseconds.
    pub fn field_ms(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Returns how a request ended, up to its details: `answered`, `overloaded`, `target_failed`.
    pub fn outcome(&self) -> Option<&str> {
        let (_, outcome) = self.detail.split_once("outcome=")?;
        Some(outcome.split(':').next().unwrap_or(outcome))
    }

    /// Says whether it is about a request.
    pub fn concerns(&self, request: &str) -> bool {
        let own = self.request.as_deref() == Some(request);
        let among = |all: &str| all.split(',').any(|one| one == request);
        own || self.field("requests").is_some_and(among)
    }
}

fn find_code(number: u16) -> Option<EventCode> {
    let mut all = EventCode::ALL.iter().copied();
    all.find(|code| code.number() == number)
}

/// Reads all lines that tell an event; other lines are passed over.
///
/// # Errors
///
/// [`io::Error`] of the reader.
pub fn read_lines(reader: impl BufRead) -> io::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for line in reader.split(b'\n') {
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&line?)));
    }
    Ok(lines)
}

#[cfg(test)]
mod tests;
