//! The handshake: both ends prove possession of the shared key over fresh nonces and exchange
//! names.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use linnet_telemetry::HybridClock;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::stream::READ_BUFFER_BYTES;
use crate::{
    MessageVersion, PeerKey, PeerKeyRing, PeerReader, PeerWriter, Session, WireCause, WireError,
    WireStep,
};

/// Timeout of connecting and the handshake together.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum size of one handshake message.
const MAX_HANDSHAKE_BYTES: usize = 1_024;

/// Direction byte in the hashes of frames that the connecting peer sends.
const FROM_CALLING_END: u8 = 1;

/// Direction byte in the hashes of frames that the accepting peer sends.
const FROM_ACCEPTING_END: u8 = 2;

/// Identity of a process towards its peers.
#[derive(Debug, Clone)]
pub struct PeerIdentity {
    /// Name of the process.
    pub name: String,
    /// The shared keys.
    pub keys: PeerKeyRing,
    /// The clock that stamps sent messages.
    pub clock: Arc<HybridClock>,
}

#[derive(Serialize, Deserialize)]
struct Hello {
    key_id: String,
    name: String,
    nonce: [u8; 16],
}

#[derive(Serialize, Deserialize)]
struct Welcome {
    name: String,
    nonce: [u8; 16],
    proof: [u8; 32],
}

#[derive(Serialize, Deserialize)]
struct Proof {
    proof: [u8; 32],
}

/// Connects to a peer and performs the handshake.
///
/// # Errors
///
/// [`WireError`] with the address as peer; [`WireCause::TimedOut`] after [`HANDSHAKE_TIMEOUT`].
pub async fn connect_peer(
    identity: &PeerIdentity,
    address: SocketAddr,
) -> Result<(PeerReader, PeerWriter), WireError> {
    let peer = address.to_string();
    let work = async {
        let mut socket = TcpStream::connect(address)
            .await
            .map_err(|error| WireError::new(WireStep::Connect, &peer, WireCause::Io(error)))?;
        let session = perform_calling_handshake(identity, &mut socket, &peer).await?;
        Ok(split_stream(
            socket,
            session,
            FROM_CALLING_END,
            FROM_ACCEPTING_END,
        ))
    };
    with_handshake_timeout(&peer, work).await
}

/// Performs the handshake on an accepted connection and verifies that the peer has the shared key.
///
/// # Errors
///
/// [`WireError`] at [`WireStep::Handshake`].
pub async fn accept_peer(
    identity: &PeerIdentity,
    mut socket: TcpStream,
    address: SocketAddr,
) -> Result<(PeerReader, PeerWriter), WireError> {
    let peer = address.to_string();
    let work = async {
        let session = perform_accepting_handshake(identity, &mut socket, &peer).await?;
        Ok(split_stream(
            socket,
            session,
            FROM_ACCEPTING_END,
            FROM_CALLING_END,
        ))
    };
    with_handshake_timeout(&peer, work).await
}

async fn with_handshake_timeout<T>(
    peer: &str,
    work: impl Future<Output = Result<T, WireError>>,
) -> Result<T, WireError> {
    match timeout(HANDSHAKE_TIMEOUT, work).await {
        Ok(result) => result,
        Err(_) => Err(handshake_error(peer, WireCause::TimedOut)),
    }
}

async fn perform_calling_handshake(
    identity: &PeerIdentity,
    socket: &mut TcpStream,
    peer: &str,
) -> Result<Session, WireError> {
    let key = identity
        .keys
        .offered()
        .ok_or_else(|| handshake_error(peer, WireCause::UnknownKey(String::new())))?;
    let hello = Hello {
        key_id: key.id.clone(),
        name: identity.name.clone(),
        nonce: fresh_nonce(peer)?,
    };
    write_message(socket, peer, &(&hello, MessageVersion::NEWEST.number())).await?;
    let (welcome, version) = read_with_version::<Welcome>(socket, peer).await?;
    let transcript = Transcript::new(&key, &hello, &welcome.name, &welcome.nonce);
    if blake3::Hash::from_bytes(welcome.proof) != transcript.accepting_proof {
        return Err(handshake_error(peer, WireCause::BadHash));
    }
    let proof = Proof {
        proof: *transcript.calling_proof.as_bytes(),
    };
    write_message(socket, peer, &proof).await?;
    Ok(transcript.into_session(welcome.name, version, identity))
}

async fn perform_accepting_handshake(
    identity: &PeerIdentity,
    socket: &mut TcpStream,
    peer: &str,
) -> Result<Session, WireError> {
    let (hello, version) = read_with_version::<Hello>(socket, peer).await?;
    let key = identity
        .keys
        .find(&hello.key_id)
        .ok_or_else(|| handshake_error(peer, WireCause::UnknownKey(hello.key_id.clone())))?;
    let nonce = fresh_nonce(peer)?;
    let transcript = Transcript::new(&key, &hello, &identity.name, &nonce);
    let welcome = Welcome {
        name: identity.name.clone(),
        nonce,
        proof: *transcript.accepting_proof.as_bytes(),
    };
    write_message(socket, peer, &(&welcome, MessageVersion::NEWEST.number())).await?;
    let proof: Proof = read_message(socket, peer).await?;
    if blake3::Hash::from_bytes(proof.proof) != transcript.calling_proof {
        return Err(handshake_error(peer, WireCause::BadHash));
    }
    Ok(transcript.into_session(hello.name, version, identity))
}

/// Keyed hashes over both names and nonces of a handshake.
struct Transcript {
    accepting_proof: blake3::Hash,
    calling_proof: blake3::Hash,
    session_secret: [u8; 32],
}

impl Transcript {
    fn new(key: &PeerKey, hello: &Hello, accepting_name: &str, nonce: &[u8; 16]) -> Self {
        let hash = |label: &[u8]| {
            let calling_name = hello.name.as_bytes();
            key.hash(&[
                label,
                &hello.nonce,
                nonce,
                calling_name,
                accepting_name.as_bytes(),
            ])
        };
        Self {
            accepting_proof: hash(b"linnetdale accepting end"),
            calling_proof: hash(b"linnetdale calling end"),
            session_secret: *hash(b"linnetdale session").as_bytes(),
        }
    }

    fn into_session(
        self,
        peer: String,
        message_version: Option<MessageVersion>,
        identity: &PeerIdentity,
    ) -> Session {
        Session {
            secret: self.session_secret,
            peer,
            message_version,
            clock: identity.clock.clone(),
        }
    }
}

fn split_stream(
    socket: TcpStream,
    session: Session,
    sending: u8,
    receiving: u8,
) -> (PeerReader, PeerWriter) {
    // Small messages must not wait for a TCP acknowledgement; a failure here only costs latency.
    let _ = socket.set_nodelay(true);
    let (read_half, write_half) = socket.into_split();
    let reader = PeerReader {
        socket: BufReader::with_capacity(READ_BUFFER_BYTES, read_half),
        session: session.clone(),
        direction: receiving,
        sequence: 0,
        silence_timeout: None,
    };
    let writer = PeerWriter {
        socket: write_half,
        session,
        direction: sending,
        sequence: 0,
        silence_timeout: None,
        queued: Vec::new(),
    };
    (reader, writer)
}

fn fresh_nonce(peer: &str) -> Result<[u8; 16], WireError> {
    let mut nonce = [0; 16];
    getrandom::fill(&mut nonce).map_err(|error| {
        handshake_error(
            peer,
            WireCause::Io(std::io::Error::other(error.to_string())),
        )
    })?;
    Ok(nonce)
}

async fn write_message<M: Serialize>(
    socket: &mut TcpStream,
    peer: &str,
    message: &M,
) -> Result<(), WireError> {
    let body = postcard::to_stdvec(message)
        .map_err(|error| handshake_error(peer, WireCause::Malformed(error)))?;
    let mut bytes = (body.len() as u16).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    socket
        .write_all(&bytes)
        .await
        .map_err(|error| handshake_error(peer, WireCause::Io(error)))
}

async fn read_message<M: DeserializeOwned>(
    socket: &mut TcpStream,
    peer: &str,
) -> Result<M, WireError> {
    let body = read_body(socket, peer).await?;
    postcard::from_bytes(&body).map_err(|error| handshake_error(peer, WireCause::Malformed(error)))
}

/// Reads a message and the message version that follows it; `None` for builds that announce no
/// version. The proof does not cover the version: with a wrong one messages fail to decode, which
/// ends the connection, and frames are authenticated in any version.
async fn read_with_version<M: DeserializeOwned>(
    socket: &mut TcpStream,
    peer: &str,
) -> Result<(M, Option<MessageVersion>), WireError> {
    let body = read_body(socket, peer).await?;
    let malformed = |error| handshake_error(peer, WireCause::Malformed(error));
    let (message, rest) = postcard::take_from_bytes(&body).map_err(malformed)?;
    if rest.is_empty() {
        return Ok((message, None));
    }
    // Later builds may append more data after the version; it is ignored.
    let number: u16 = postcard::from_bytes(rest).map_err(malformed)?;
    Ok((message, Some(MessageVersion::negotiate(number))))
}

async fn read_body(socket: &mut TcpStream, peer: &str) -> Result<Vec<u8>, WireError> {
    let io_error = |error| handshake_error(peer, WireCause::Io(error));
    let mut length = [0; 2];
    socket.read_exact(&mut length).await.map_err(io_error)?;
    let length = u16::from_le_bytes(length) as usize;
    if length > MAX_HANDSHAKE_BYTES {
        return Err(handshake_error(peer, WireCause::TooLarge(length)));
    }
    let mut body = vec![0; length];
    socket.read_exact(&mut body).await.map_err(io_error)?;
    Ok(body)
}

fn handshake_error(peer: &str, cause: WireCause) -> WireError {
    WireError::new(WireStep::Handshake, peer, cause)
}

#[cfg(test)]
mod tests;
