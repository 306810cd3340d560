//! Identifiers of exchanges with targets, by which responses are told apart.
//!
//! The place of a response on its connection does not tell to which request it belongs: a target may
//! send a surplus response late, in the place of the next one. So each request has an identifier, and
//! targets echo it.

use std::cell::RefCell;

use bytes::{Bytes, BytesMut};
use http::header::Entry;
use http::{HeaderMap, HeaderName, HeaderValue};

use crate::send_error::ForeignCause;

/// Length of a generated identifier in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// Number of identifiers that are generated at once, in one buffer that their values share.
const BLOCK_IDS: usize = 256;

/// Whether a response echoes the identifier of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IdEcho {
    Same,
    Missing,
    Foreign(ForeignCause),
}

/// Assigns identifiers to requests and reads them from responses.
pub(super) struct ExchangeIds {
    header: HeaderName,
    /// Identifiers that were generated and not assigned yet.
    block: RefCell<Bytes>,
}

impl ExchangeIds {
    /// Creates the identifiers that stand in a header.
    pub(super) fn new(header: HeaderName) -> Self {
        Self {
            header,
            block: RefCell::default(),
        }
    }

    /// Returns the identifier of a request, which is assigned if it has none.
    pub(super) fn assign(&self, headers: &mut HeaderMap) -> HeaderValue {
        match headers.entry(&self.header) {
            Entry::Occupied(entry) => entry.get().clone(),
            Entry::Vacant(entry) => entry.insert(self.generate()).clone(),
        }
    }

    /// Compares the identifier of a response with that of the request in whose place it was received.
    pub(super) fn echo_of(&self, headers: &HeaderMap, id: &HeaderValue) -> IdEcho {
        let mut echoed = headers.get_all(&self.header).iter();
        match (echoed.next(), echoed.next()) {
            (None, _) => IdEcho::Missing,
            (Some(echoed), None) if echoed.is_empty() => IdEcho::Missing,
            (Some(_), Some(_)) => IdEcho::Foreign(ForeignCause::SeveralIds),
            (Some(echoed), None) if echoed == id => IdEcho::Same,
            (Some(_), None) => IdEcho::Foreign(ForeignCause::OtherId),
        }
    }

    fn generate(&self) -> HeaderValue {
        let mut block = self.block.borrow_mut();
        if block.is_empty() {
            *block = generate_block();
        }
        let id = block.split_to(ID_DIGITS);
        // Hexadecimal digits are valid, and are shared rather than copied.
        HeaderValue::from_maybe_shared(id).unwrap_or_else(|_| HeaderValue::from(fastrand::u64(..)))
    }
}

fn generate_block() -> Bytes {
    let digits = b"0123456789abcdef";
    let mut block = BytesMut::with_capacity(BLOCK_IDS * ID_DIGITS);
    let random = std::iter::repeat_with(|| digits[fastrand::usize(..digits.len())]);
    block.extend(random.take(BLOCK_IDS * ID_DIGITS));
    block.freeze()
}

#[cfg(test)]
mod tests;
