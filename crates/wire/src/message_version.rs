//! Negotiation of the message version between two builds.
//!
//! Messages are encoded without field names, so each change of a message needs a new version. A
//! build announces the newest version that it supports in the handshake, after the part that
//! earlier builds decode; both ends use the older one of the two announced versions. Builds that
//! predate the announcement use version 1 or 2, which is detected from their first messages, see
//! [`MessageVersion::detect`].

use derive_more::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Version of the messages between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum MessageVersion {
    /// Without start times of targets and without reports of requests that crash targets.
    #[display("1")]
    V1,
    /// Adds start times of targets and reports of requests that crash targets.
    #[display("2")]
    V2,
    /// Adds roll-outs to the log and tails after some messages; the messages are those of version
    /// 2.
    #[display("3")]
    V3,
    /// Adds send permits between entry hosts for targets with a rate limit, and reports of rate
    /// limits by control hosts; otherwise the same as version 3.
    #[display("4")]
    V4,
    /// Adds measured times of stage pools and shares of client accounts between entry hosts;
    /// otherwise the same as version 4.
    #[display("5")]
    V5,
    /// Adds the return of queued batches by a coordinator; otherwise the same as version 5.
    #[display("6")]
    V6,
    /// Adds the origins of streams between entry hosts; otherwise the same as version 6.
    #[display("7")]
    V7,
    /// Adds records of prompt parts that crash targets between entry hosts and control hosts, and to
    /// the log; otherwise the same as version 7.
    #[display("8")]
    V8,
}

impl MessageVersion {
    /// The newest version that this build supports.
    pub const NEWEST: Self = Self::V8;

    /// Returns the number that announces this version in the handshake.
    pub const fn number(self) -> u16 {
        match self {
            Self::V1 => 1,
            Self::V2 => 2,
            Self::V3 => 3,
            Self::V4 => 4,
            Self::V5 => 5,
            Self::V6 => 6,
            Self::V7 => 7,
            Self::V8 => 8,
        }
    }

    /// Returns the version to use with a peer that announces `number`: the newest one if the peer
    /// supports that or a later one.
    pub fn negotiate(number: u16) -> Self {
        match number {
            0 | 1 => Self::V1,
            2 => Self::V2,
            3 => Self::V3,
            4 => Self::V4,
            5 => Self::V5,
            6 => Self::V6,
            7 => Self::V7,
            _ => Self::NEWEST,
        }
    }

    /// Decodes a message of a peer that announced no version and detects the version from it: a
    /// message decodes without remaining bytes in the version in which it was written. `N` is its
    /// type as of version 2, `F` that of version 1. Returns no version if both encode the message
    /// to the same bytes.
    ///
    /// # Errors
    ///
    /// The decoding error of version 2 if the message decodes in neither version.
    pub fn detect<N, F>(bytes: &[u8]) -> Result<(N, Option<Self>), postcard::Error>
    where
        N: Serialize + DeserializeOwned + From<F>,
        F: DeserializeOwned,
    {
        match (decode_complete::<N>(bytes), decode_complete::<F>(bytes)) {
            (Ok(message), Ok(message_v1)) => {
                let is_same = postcard::to_stdvec(&N::from(message_v1))? == bytes;
                Ok((message, (!is_same).then_some(Self::V2)))
            }
            (Ok(message), Err(_)) => Ok((message, Some(Self::V2))),
            (Err(_), Ok(message_v1)) => Ok((message_v1.into(), Some(Self::V1))),
            (Err(error), Err(_)) => Err(error),
        }
    }
}

/// Decodes a message and rejects remaining bytes: a prefix of one message may decode as another
/// type.
fn decode_complete<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, postcard::Error> {
    match postcard::take_from_bytes(bytes)? {
        (message, []) => Ok(message),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}
