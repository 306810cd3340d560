//! Errors of peer connections, with their step and peer.

use std::io;
use std::time::Duration;

use derive_more::Display;

/// The step of a peer connection at which an error arose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum WireStep {
    /// Opening the TCP connection.
    #[display("connect")]
    Connect,
    /// Proving the shared key to each other.
    #[display("handshake")]
    Handshake,
    /// Sending a message.
    #[display("send")]
    Send,
    /// Receiving a message.
    #[display("receive")]
    Receive,
}

/// What went wrong.
#[derive(Debug, Display, derive_more::Error)]
pub enum WireCause {
    /// The socket failed or was closed.
    #[display("{_0}")]
    Io(io::Error),
    /// The peer did not act within the time allowed.
    #[display("no answer in time")]
    TimedOut,
    /// No byte passed for so long. What had passed of the message by then tells a link that is cut
    /// (nothing) from one that is full.
    #[display("no byte for {} ms, {passed} of {length} bytes of a message had passed", limit.as_millis())]
    #[error(ignore)]
    Silent {
        /// For how long no byte passed.
        limit: Duration,
        /// Bytes of the message that passed before.
        passed: usize,
        /// Bytes of the message, as far as is known.
        length: usize,
    },
    /// The peer names a key that is not in the ring.
    #[display("unknown key id {_0:?}")]
    #[error(ignore)]
    UnknownKey(String),
    /// A keyed hash does not match: wrong key, changed bytes or a replay.
    #[display("the keyed hash does not match")]
    BadHash,
    /// A message is larger than its limit, in bytes.
    #[display("a message of {_0} bytes is over the limit")]
    #[error(ignore)]
    TooLarge(usize),
    /// Bytes that are no message of the expected type.
    #[display("no message of the expected type: {_0}")]
    Malformed(postcard::Error),
}

/// An error of a peer connection.
#[derive(Debug, Display, derive_more::Error)]
#[display("{step} with {peer}: {cause}")]
pub struct WireError {
    /// The step that failed.
    pub step: WireStep,
    /// The peer's name or address.
    pub peer: String,
    /// What went wrong.
    #[error(source)]
    pub cause: WireCause,
}

impl WireError {
    /// Creates an error.
    pub fn new(step: WireStep, peer: impl Into<String>, cause: WireCause) -> Self {
        Self {
            step,
            peer: peer.into(),
            cause,
        }
    }

    /// Says whether the peer failed to prove itself, in contrast to a lost connection.
    pub fn is_refusal(&self) -> bool {
        matches!(
            self.cause,
            WireCause::UnknownKey(_) | WireCause::BadHash | WireCause::TooLarge(_)
        )
    }
}
