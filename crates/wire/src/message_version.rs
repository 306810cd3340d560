//! Which form of messages two builds speak.
//!
//! A message knows its fields by their place, so each change of one is a new form. A build announces the
//! newest form that it knows in the handshake, behind what earlier builds read of it; both ends speak the older
//! of their two. Builds from before that announce nothing, and speak the first form or the second: their
//! first messages tell which, see [`MessageVersion::detect`].

use derive_more::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The form of messages between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum MessageVersion {
    /// Targets have no births, and nothing is told of requests that end targets.
    #[display("1")]
    V1,
    /// They have, and it is.
    #[display("2")]
    V2,
    /// The log has roll-outs, and tails stand behind some messages; the messages are those of the second form.
    #[display("3")]
    V3,
    /// Entry hosts give each other leave to send to targets that name a rate, and control hosts tell such rates; else
    /// as the third form.
    #[display("4")]
    V4,
}

impl MessageVersion {
    /// The newest form that this build speaks.
    pub const NEWEST: Self = Self::V4;

    /// Returns the number by which a form is announced.
    pub const fn number(self) -> u16 {
        match self {
            Self::V1 => 1,
            Self::V2 => 2,
            Self::V3 => 3,
            Self::V4 => 4,
        }
    }

    /// Returns the form that is spoken with a peer that announces `number`: the newest one where it knows that
    /// or a later one.
    pub fn negotiate(number: u16) -> Self {
        match number {
            0 | 1 => Self::V1,
            2 => Self::V2,
            3 => Self::V3,
            _ => Self::NEWEST,
        }
    }

    /// Reads a message of a peer that announced no form, and tells by it which form it speaks: a message is whole
    /// in the form that it was written in. Nothing where both forms have the same bytes for it.
    ///
    /// # Errors
    ///
    /// What is wrong with it in the second form, where it is whole in neither.
    pub fn detect<N, F>(bytes: &[u8]) -> Result<(N, Option<Self>), postcard::Error>
    where
        N: Serialize + DeserializeOwned + From<F>,
        F: DeserializeOwned,
    {
        match (read_whole::<N>(bytes), read_whole::<F>(bytes)) {
            (Ok(message), Ok(first)) => {
                let is_same = postcard::to_stdvec(&N::from(first))? == bytes;
                Ok((message, (!is_same).then_some(Self::V2)))
            }
            (Ok(message), Err(_)) => Ok((message, Some(Self::V2))),
            (Err(_), Ok(first)) => Ok((first.into(), Some(Self::V1))),
            (Err(fault), Err(_)) => Err(fault),
        }
    }
}

/// Reads a message that ends where the bytes do: the beginning of one may look like another.
fn read_whole<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, postcard::Error> {
    match postcard::take_from_bytes(bytes)? {
        (message, []) => Ok(message),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}
