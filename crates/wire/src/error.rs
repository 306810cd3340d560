//! Errors of peer connections.

use std::io;
use std::time::Duration;

use derive_more::Display;

/// The step of a peer connection at which an error occurred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum WireStep {
    /// Opening the TCP connection.
    #[display("connect")]
    Connect,
    /// Mutual authentication with the shared key.
    #[display("handshake")]
    Handshake,
    /// Sending a message.
    #[display("send")]
    Send,
    /// Receiving a message.
    #[display("receive")]
    Receive,
}

/// Cause of a [`WireError`].
#[derive(Debug, Display, derive_more::Error)]
pub enum WireCause {
    /// The socket failed or was closed.
    #[display("{_0}")]
    Io(io::Error),
    /// The peer did not complete the handshake within its timeout.
    #[display("handshake timed out")]
    TimedOut,
    /// No byte was transferred for the silence timeout. The number of bytes transferred before
    /// distinguishes an interrupted link (none) from an overloaded one.
    #[display(
        "no byte transferred for {} ms, after {transferred_bytes} of {message_bytes} bytes of a message",
        timeout.as_millis()
    )]
    #[error(ignore)]
    Silent {
        /// The silence timeout.
        timeout: Duration,
        /// Bytes transferred before the silence, of the current write or read.
        transferred_bytes: usize,
        /// Size of the current write or read.
        message_bytes: usize,
    },
    /// The peer uses a key that is not in the key ring.
    #[display("unknown key id {_0:?}")]
    #[error(ignore)]
    UnknownKey(String),
    /// A keyed hash does not match: wrong key, modified bytes or a replay.
    #[display("the keyed hash does not match")]
    BadHash,
    /// A message of this many bytes exceeds its size limit.
    #[display("a message of {_0} bytes exceeds the size limit")]
    #[error(ignore)]
    TooLarge(usize),
    /// The bytes do not decode as the expected type of message.
    #[display("not a message of the expected type: {_0}")]
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
    /// The cause.
    #[error(source)]
    pub cause: WireCause,
}

impl WireError {
    /// Creates an error at a step with a peer.
    pub fn new(step: WireStep, peer: impl Into<String>, cause: WireCause) -> Self {
        Self {
            step,
            peer: peer.into(),
            cause,
        }
    }

    /// Returns whether the peer failed authentication or a size limit, rather than lost the
    /// connection.
    pub fn is_refusal(&self) -> bool {
        matches!(
            self.cause,
            WireCause::UnknownKey(_) | WireCause::BadHash | WireCause::TooLarge(_)
        )
    }
}
