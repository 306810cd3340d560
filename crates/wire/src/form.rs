//! Which form of messages two builds speak.
//!
//! A message knows its fields by their place, so each change of one is a new form. A build announces the
//! newest form that it knows in the handshake, behind what earlier builds read of it; both ends speak the older
//! of their two. Builds from before that announce nothing, and speak the first form or the second: their
//! first message tells which, see [`MessageForm::tell`].

use derive_more::Display;
use serde::de::DeserializeOwned;

/// The form of messages between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum MessageForm {
    /// Targets have no births, and nothing is told of requests that end targets.
    #[display("1")]
    First,
    /// They have, and it is.
    #[display("2")]
    Second,
}

impl MessageForm {
    /// The newest form that this build speaks.
    pub const NEWEST: Self = Self::Second;

    /// Returns the number by which a form is announced.
    pub const fn number(self) -> u16 {
        match self {
            Self::First => 1,
            Self::Second => 2,
        }
    }

    /// Returns the form that is spoken with a peer that announces `number`: the newest one where it knows that
    /// or a later one.
    pub fn spoken(number: u16) -> Self {
        if number < Self::Second.number() {
            Self::First
        } else {
            Self::NEWEST
        }
    }

    /// Reads the first message of a peer that announced no form, and tells by it which form it speaks: a message
    /// of the first form ends too early for the second, or has what cannot stand at its place.
    ///
    /// # Errors
    ///
    /// What is wrong with it in the second form, where it is none in the first form either.
    pub fn tell<N, F>(bytes: &[u8]) -> Result<(N, Self), postcard::Error>
    where
        N: DeserializeOwned + From<F>,
        F: DeserializeOwned,
    {
        // Both whole, since the beginning of one may look like the other.
        let fault = match postcard::take_from_bytes::<N>(bytes) {
            Ok((message, [])) => return Ok((message, Self::Second)),
            Ok(_) => postcard::Error::DeserializeBadEncoding,
            Err(fault) => fault,
        };
        match postcard::take_from_bytes::<F>(bytes) {
            Ok((message, [])) => Ok((message.into(), Self::First)),
            _ => Err(fault),
        }
    }
}
