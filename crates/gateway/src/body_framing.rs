//! How a response delimits its body.

use derive_more::Display;
use http::{HeaderMap, header};

/// How a response delimits its body (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub(crate) enum BodyFraming {
    /// By its length.
    #[display("length")]
    Length,
    /// By chunks, the last of which is empty.
    #[display("chunks")]
    Chunks,
    /// By the close of its connection.
    #[display("close")]
    Close,
}

impl BodyFraming {
    /// Returns the framing of a response that may have a body.
    pub(crate) fn of_response(headers: &HeaderMap) -> Self {
        let codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        match codings.filter_map(|value| value.to_str().ok()).next_back() {
            Some(codings) if is_chunked(codings) => Self::Chunks,
            Some(_) => Self::Close,
            None if headers.contains_key(header::CONTENT_LENGTH) => Self::Length,
            None => Self::Close,
        }
    }
}

/// Returns whether `chunked` is the last of the listed codings; otherwise the body ends with its
/// connection.
fn is_chunked(codings: &str) -> bool {
    let last = codings.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}

#[cfg(test)]
mod tests;
