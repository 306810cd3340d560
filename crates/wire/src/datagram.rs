//! Authenticated UDP datagrams: key id, sender, clock stamp, message, keyed hash.
//!
//! The receiver must drop a datagram whose stamp is not greater than the previous one of its
//! sender: it is a replay or arrived out of order.

use linnet_telemetry::Stamp;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{PEER_TRAFFIC, PeerIdentity, PeerKeyRing, WireCause, WireError, WireStep};

/// Maximum size of a datagram; it fits into one packet on common links.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

const HASH_BYTES: usize = 16;

#[derive(Serialize, Deserialize)]
struct Envelope<M> {
    key_id: String,
    sender: String,
    stamp: Stamp,
    message: M,
}

/// A datagram whose keyed hash was verified.
#[derive(Debug)]
pub struct OpenDatagram<M> {
    /// Name of the sender.
    pub sender: String,
    /// Clock stamp of the sender.
    pub stamp: Stamp,
    /// The message.
    pub message: M,
}

/// Encodes and authenticates a message as one datagram.
///
/// # Errors
///
/// [`WireCause::TooLarge`] if the datagram would exceed [`MAX_DATAGRAM_BYTES`].
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

/// Verifies and decodes a datagram.
///
/// # Errors
///
/// [`WireError`] at [`WireStep::Receive`] if the bytes are not a datagram of this type or the hash
/// does not match.
pub fn open_datagram<M: DeserializeOwned>(
    keys: &PeerKeyRing,
    bytes: &[u8],
) -> Result<OpenDatagram<M>, WireError> {
    let error = |cause| WireError::new(WireStep::Receive, "datagram", cause);
    let end = bytes.len().checked_sub(HASH_BYTES);
    let (body, hash) = end
        .and_then(|end| bytes.split_at_checked(end))
        .ok_or_else(|| error(WireCause::BadHash))?;
    // Only the key id is decoded before the hash is verified.
    PEER_TRAFFIC.count_received(bytes.len());
    let (key_id, _): (String, _) =
        postcard::take_from_bytes(body).map_err(|cause| error(WireCause::Malformed(cause)))?;
    let key = keys
        .find(&key_id)
        .ok_or_else(|| error(WireCause::UnknownKey(key_id)))?;
    let full_hash = key.hash(&[b"linnetdale datagram", body]);
    let mut expected = [0; HASH_BYTES];
    expected.copy_from_slice(&full_hash.as_bytes()[..HASH_BYTES]);
    let mut received = [0; HASH_BYTES];
    received.copy_from_slice(hash);
    if !crate::stream::equal_hashes(&expected, &received) {
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
