//! How a response delimits its body.

use derive_more::Display;
use http::{HeaderMap, HeaderValue, header};

/// How a response delimits its body (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub(crate) enum BodyFraming {
    /// By its length, or by its head if it has none.
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
    /// Returns the framing of a response; `has_ended` says that no body follows the head, as with
    /// status 204.
    pub(crate) fn of_response(headers: &HeaderMap, has_ended: bool) -> Self {
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        match codings.next_back() {
            _ if has_ended => Self::Length,
            Some(codings) if is_chunked(codings) => Self::Chunks,
            Some(_) => Self::Close,
            None if headers.contains_key(header::CONTENT_LENGTH) => Self::Length,
            None => Self::Close,
        }
    }
}

/// Returns whether `chunked` is the last of the listed codings; otherwise the body ends with its
/// connection.
fn is_chunked(codings: &HeaderValue) -> bool {
    let codings = codings.to_str().unwrap_or_default();
    let last = codings.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}

#[cfg(test)]
mod tests;
