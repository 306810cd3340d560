//! One authenticated UDP datagram: key id, sender, clock stamp, message, keyed hash.
//!
//! A stamp that does not rise is for the receiver to drop: it is a replay or came out of order.

use linnet_telemetry::Stamp;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{PEER_TRAFFIC, PeerIdentity, PeerKeyRing, WireCause, WireError, WireStep};

/// The largest datagram, in bytes; it fits into one packet on usual links.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

const HASH_BYTES: usize = 16;

#[derive(Serialize, Deserialize)]
struct Envelope<M> {
    key_id: String,
    sender: String,
    stamp: Stamp,
    message: M,
}

/// A datagram whose hash was right.
#[derive(Debug)]
pub struct OpenDatagram<M> {
    /// The name of the sender.
    pub sender: String,
    /// The stamp that the sender gave it.
    pub stamp: Stamp,
    /// The message.
    pub message: M,
}

/// Seals a message into the bytes of one datagram.
///
/// # Errors
///
/// [`WireCause::TooLarge`] when it does not fit.
pub fn seal_datagram<M: Serialize>(
    identity: &PeerIdentity,
    message: &M,
) -> Result<Vec<u8>, WireError> {
    let error = |cause| WireError::new(WireStep::Send, &identity.name, cause);
    let key = identity
        .keys
        .offered()
        .ok_or_else(|| error(WireCause::UnknownKey(String::new())))?;
    let envelope = Envelope {
        key_id: key.id.clone(),
        sender: identity.name.clone(),
        stamp: identity.clock.tick(),
        message,
    };
    let mut bytes =
        postcard::to_stdvec(&envelope).map_err(|cause| error(WireCause::Malformed(cause)))?;
    let hash = key.hash(&[b"linnetdale datagram", &bytes]);
    bytes.extend_from_slice(&hash.as_bytes()[..HASH_BYTES]);
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(error(WireCause::TooLarge(bytes.len())));
    }
    Ok(bytes)
}

/// Opens a datagram.
///
/// # Errors
///
/// [`WireError`] at [`WireStep::Receive`] when it is no datagram of this type or its hash is wrong.
pub fn open_datagram<M: DeserializeOwned>(
    keys: &PeerKeyRing,
    bytes: &[u8],
) -> Result<OpenDatagram<M>, WireError> {
    let error = |cause| WireError::new(WireStep::Receive, "datagram", cause);
    let end = bytes.len().checked_sub(HASH_BYTES);
    let (body, hash) = end
        .and_then(|end| bytes.split_at_checked(end))
        .ok_or_else(|| error(WireCause::BadHash))?;
    // Only the key id is read before the hash is checked.
    PEER_TRAFFIC.count_received(bytes.len());
    let (key_id, _): (String, _) =
        postcard::take_from_bytes(body).map_err(|cause| error(WireCause::Malformed(cause)))?;
    let key = keys
        .find(&key_id)
        .ok_or_else(|| error(WireCause::UnknownKey(key_id)))?;
    let wanted = key.hash(&[b"linnetdale datagram", body]);
    let mut short = [0; HASH_BYTES];
    short.copy_from_slice(&wanted.as_bytes()[..HASH_BYTES]);
    let mut given = [0; HASH_BYTES];
    given.copy_from_slice(hash);
    if !crate::stream::equal_hashes(&short, &given) {
        return Err(error(WireCause::BadHash));
    }
    let envelope: Envelope<M> =
        postcard::from_bytes(body).map_err(|cause| error(WireCause::Malformed(cause)))?;
    Ok(OpenDatagram {
        sender: envelope.sender,
        stamp: envelope.stamp,
        message: envelope.message,
    })
}
