//! Values of headers of callers, and the refusals of malformed ones.

use std::time::Duration;

use http::{HeaderMap, HeaderName};

use crate::outcome::{Refusal, RefusalReason};

/// Maximum number of characters of a caller's text in one place of a log line.
const MAX_LOGGED_CHARS: usize = 120;

/// Returns the text of a header; `None` if it is missing or not text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the duration that a header gives in milliseconds; `None` if it is missing or malformed.
pub(crate) fn parse_millis_header(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let millis = header_text(headers, name)?.trim().parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Returns the refusal of a request with a header that is not what was expected.
pub(crate) fn malformed_header(headers: &HeaderMap, name: &HeaderName, expected: &str) -> Refusal {
    let values = headers.get_all(name).iter();
    let values: Vec<String> = values
        .map(|value| loggable(&String::from_utf8_lossy(value.as_bytes())))
        .collect();
    let detail = format!("{name}: expected {expected}, got {}", values.join(" and "));
    Refusal::new(RefusalReason::BadRequest, detail)
}

/// Returns text of a caller for a log line: quoted, and cut if it is long.
pub(crate) fn loggable(text: &str) -> String {
    let mut chars = text.chars();
    let shown: String = chars.by_ref().take(MAX_LOGGED_CHARS).collect();
    let rest = if chars.next().is_some() { "..." } else { "" };
    format!("{shown:?}{rest}")
}
