//! Parsing of log lines.

use std::io::{self, BufRead};

use linnet_telemetry::EventCode;

/// A log line that records an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Time of writing, as RFC 3339 in UTC, so that string order is time order.
    pub time: String,
    /// Code of the event.
    pub code: EventCode,
    /// Host that wrote the line.
    pub host: String,
    /// Id of the request, if the event concerns one.
    pub request: Option<String>,
    /// Peer or target of the event, if there is one.
    pub peer: Option<String>,
    /// Text after the name of the event.
    pub detail: String,
}

impl LogLine {
    /// Parses a line; returns `None` if it records no event known to this version. A prefix before
    /// the time, such as log collectors add, is ignored.
    pub fn parse(text: &str) -> Option<Self> {
        let (before, after) = text.split_once(" event=")?;
        let time = before.split_whitespace().rev().nth(1)?.to_owned();
        let (number, after) = after.split_once(' ')?;
        let code = find_code(number.parse().ok()?)?;
        let (fields, detail) = after.split_once(&format!("{}: ", code.name()))?;
        let field = |name: &str| {
            let found = fields.split(' ').find_map(|field| field.strip_prefix(name));
            found.map(str::to_owned)
        };
        Some(Self {
            time,
            code,
            host: field("host=")?,
            request: field("request="),
            peer: field("peer="),
            detail: detail.trim_end().to_owned(),
        })
    }

    /// Returns the value of a `name=value` field of the detail.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.detail.split(' ');
        fields.find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the value of a field in milliseconds; `None` if it is not a number.
    pub fn field_ms(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Returns the outcome of a request without its details: `answered`, `overloaded`,
    /// `target_failed`.
    pub fn outcome(&self) -> Option<&str> {
        let (_, outcome) = self.detail.split_once("outcome=")?;
        Some(outcome.split(':').next().unwrap_or(outcome))
    }

    /// Returns whether the line concerns a request, alone or among those of a call.
    pub fn concerns(&self, request: &str) -> bool {
        let is_own = self.request.as_deref() == Some(request);
        let contains = |ids: &str| ids.split(',').any(|id| id == request);
        is_own || self.field("requests").is_some_and(contains)
    }
}

fn find_code(number: u16) -> Option<EventCode> {
    let mut all = EventCode::ALL.iter().copied();
    all.find(|code| code.number() == number)
}

/// Reads all lines that record an event; other lines are skipped.
///
/// # Errors
///
/// Returns any [`io::Error`] of the reader.
pub fn read_lines(reader: impl BufRead) -> io::Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    for line in reader.split(b'\n') {
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&line?)));
    }
    Ok(lines)
}

#[cfg(test)]
mod tests;
