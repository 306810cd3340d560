//! The handshake: both ends prove the shared key over fresh nonces and learn each other's names.

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

/// The longest time that connecting and the handshake may take together.
pub const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_500);

const MAX_HANDSHAKE_BYTES: usize = 1_024;
const FROM_CALLING_END: u8 = 1;
const FROM_ACCEPTING_END: u8 = 2;

/// What a process shows its peers.
#[derive(Debug, Clone)]
pub struct PeerIdentity {
    /// The name of the process.
    pub name: String,
    /// The keys.
    pub keys: PeerKeyRing,
    /// The clock whose stamps travel with the messages.
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

/// Connects to a peer and proves the shared key to it.
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
        let session = call_handshake(identity, &mut socket, &peer).await?;
        Ok(split_stream(
            socket,
            session,
            FROM_CALLING_END,
            FROM_ACCEPTING_END,
        ))
    };
    within_handshake_time(&peer, work).await
}

/// Accepts a peer on a fresh connection and checks that it has the shared key.
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
        let session = accept_handshake(identity, &mut socket, &peer).await?;
        Ok(split_stream(
            socket,
            session,
            FROM_ACCEPTING_END,
            FROM_CALLING_END,
        ))
    };
    within_handshake_time(&peer, work).await
}

async fn within_handshake_time<T>(
    peer: &str,
    work: impl Future<Output = Result<T, WireError>>,
) -> Result<T, WireError> {
    match timeout(HANDSHAKE_TIMEOUT, work).await {
        Ok(result) => result,
        Err(_) => Err(handshake_error(peer, WireCause::TimedOut)),
    }
}

async fn call_handshake(
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
    let (welcome, form) = read_announced::<Welcome>(socket, peer).await?;
    let transcript = Transcript::new(&key, &hello, &welcome.name, &welcome.nonce);
    if blake3::Hash::from_bytes(welcome.proof) != transcript.accepting_proof {
        return Err(handshake_error(peer, WireCause::BadHash));
    }
    let proof = Proof {
        proof: *transcript.calling_proof.as_bytes(),
    };
    write_message(socket, peer, &proof).await?;
    Ok(transcript.into_session(welcome.name, form, identity))
}

async fn accept_handshake(
    identity: &PeerIdentity,
    socket: &mut TcpStream,
    peer: &str,
) -> Result<Session, WireError> {
    let (hello, form) = read_announced::<Hello>(socket, peer).await?;
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
    Ok(transcript.into_session(hello.name, form, identity))
}

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
    // Small messages must not wait for an acknowledgement; a failure here only costs latency.
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

/// Reads a message behind which its sender announces a form; nothing where it is from a build that does not.
/// The proof does not cover the form: a wrong one leads to messages that cannot be read, which end the
/// connection, and frames are proved whatever their form.
async fn read_announced<M: DeserializeOwned>(
    socket: &mut TcpStream,
    peer: &str,
) -> Result<(M, Option<MessageVersion>), WireError> {
    let body = read_body(socket, peer).await?;
    let malformed = |error| handshake_error(peer, WireCause::Malformed(error));
    let (message, rest) = postcard::take_from_bytes(&body).map_err(malformed)?;
    if rest.is_empty() {
        return Ok((message, None));
    }
    // What a later build writes behind the form is its own.
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
