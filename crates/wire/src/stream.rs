//! Messages over an authenticated TCP connection.
//!
//! A frame is: length (4, little endian), body, keyed hash (16). The body is the sender's clock
//! stamp (8) and a `postcard` message. The hash covers direction and sequence number, so a frame
//! that is repeated, omitted or reflected to its sender is rejected.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use linnet_telemetry::HybridClock;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::key::keyed_hash;
use crate::{MessageVersion, PEER_TRAFFIC, WireCause, WireError, WireStep};

/// Maximum size of a message between peers.
pub const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// Size of the read buffer of a connection. Most messages are shorter, so that reading one takes
/// one system call instead of four: its length, its body, its hash, and an attempt at the next one.
/// A host with connections to 300 others uses 600 KB for these buffers.
pub(crate) const READ_BUFFER_BYTES: usize = 2 * 1024;

/// Size of the queued messages from which [`PeerWriter::queue`] requests a flush.
const FLUSH_THRESHOLD_BYTES: usize = 16 * 1024;

const HASH_BYTES: usize = 16;
const STAMP_BYTES: usize = 8;

/// State of a connection that both ends share after the handshake.
#[derive(Clone)]
pub struct Session {
    pub(crate) secret: [u8; 32],
    pub(crate) peer: String,
    /// The version in use; `None` until the peer has announced one or it was detected from a
    /// message.
    pub(crate) message_version: Option<MessageVersion>,
    pub(crate) clock: Arc<HybridClock>,
}

impl Session {
    fn hash(&self, direction: u8, sequence: u64, body: &[u8]) -> [u8; HASH_BYTES] {
        let hash = keyed_hash(&self.secret, &[&[direction], &sequence.to_le_bytes(), body]);
        let mut short = [0; HASH_BYTES];
        short.copy_from_slice(&hash.as_bytes()[..HASH_BYTES]);
        short
    }

    fn error(&self, step: WireStep, cause: WireCause) -> WireError {
        WireError::new(step, self.peer.clone(), cause)
    }
}

/// The sending half of a connection.
pub struct PeerWriter {
    pub(crate) socket: OwnedWriteHalf,
    pub(crate) session: Session,
    pub(crate) direction: u8,
    pub(crate) sequence: u64,
    pub(crate) silence_timeout: Option<Duration>,
    /// Frames to be written together.
    pub(crate) queued: Vec<u8>,
}

/// The receiving half of a connection.
pub struct PeerReader {
    pub(crate) socket: BufReader<OwnedReadHalf>,
    pub(crate) session: Session,
    pub(crate) direction: u8,
    pub(crate) sequence: u64,
    pub(crate) silence_timeout: Option<Duration>,
}

impl PeerWriter {
    /// Makes a send fail if the socket accepts no byte for `timeout`; without it a send waits
    /// without limit.
    pub fn with_silence_timeout(mut self, timeout: Duration) -> Self {
        self.silence_timeout = Some(timeout);
        self
    }

    /// Returns the socket, to set its options.
    pub fn socket(&self) -> &TcpStream {
        self.socket.as_ref()
    }

    /// Sends the queued messages and this one.
    ///
    /// # Errors
    ///
    /// [`WireError`] at [`WireStep::Send`]; the connection is unusable afterwards.
    pub async fn send<M: Serialize>(&mut self, message: &M) -> Result<(), WireError> {
        self.queue(message)?;
        self.flush().await
    }

    /// Queues a message until [`PeerWriter::flush`], so that several are sent in one write; returns
    /// whether the queue is large enough that it should be flushed now.
    ///
    /// # Errors
    ///
    /// [`WireError`] at [`WireStep::Send`]; the connection is unusable afterwards.
    pub fn queue<M: Serialize>(&mut self, message: &M) -> Result<bool, WireError> {
        let stamp = self.session.clock.tick();
        let mut body = stamp.to_le_bytes().to_vec();
        body = postcard::to_extend(message, body)
            .map_err(|error| self.error(WireCause::Malformed(error)))?;
        if body.len() > MAX_MESSAGE_BYTES {
            return Err(self.error(WireCause::TooLarge(body.len())));
        }
        let hash = self.session.hash(self.direction, self.sequence, &body);
        self.sequence += 1;
        let frame = &mut self.queued;
        frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
        frame.extend_from_slice(&body);
        frame.extend_from_slice(&hash);
        PEER_TRAFFIC.count_sent(4 + body.len() + HASH_BYTES);
        Ok(self.queued.len() >= FLUSH_THRESHOLD_BYTES)
    }

    /// Sends the queued messages.
    ///
    /// # Errors
    ///
    /// [`WireError`] at [`WireStep::Send`]; the connection is unusable afterwards.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        let frames = std::mem::take(&mut self.queued);
        self.write(&frames).await
    }

    async fn write(&mut self, frames: &[u8]) -> Result<(), WireError> {
        let mut written = 0;
        while written < frames.len() {
            let write = self.socket.write(&frames[written..]);
            let result = match with_timeout(self.silence_timeout, write).await {
                Ok(result) => result.map_err(WireCause::Io),
                Err(timeout) => Err(silence_error(timeout, written, frames.len())),
            };
            match result.map_err(|cause| self.error(cause))? {
                0 => return Err(self.error(WireCause::Io(ErrorKind::WriteZero.into()))),
                length => written += length,
            }
        }
        Ok(())
    }

    fn error(&self, cause: WireCause) -> WireError {
        self.session.error(WireStep::Send, cause)
    }
}

/// Decodes a message and the tails that follow it; a missing tail has its default value.
fn decode_with_tails<N, T, U, V, W>(bytes: &[u8]) -> Result<(N, T, U, V, W), postcard::Error>
where
    N: DeserializeOwned,
    T: DeserializeOwned + Default,
    U: DeserializeOwned + Default,
    V: DeserializeOwned + Default,
    W: DeserializeOwned + Default,
{
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    let (first, rest) = decode_tail(rest)?;
    let (second, rest) = decode_tail(rest)?;
    let (third, rest) = decode_tail(rest)?;
    let (fourth, _) = decode_tail(rest)?;
    Ok((message, first, second, third, fourth))
}

/// Decodes one tail; returns its default value if no bytes are left.
fn decode_tail<T: DeserializeOwned + Default>(bytes: &[u8]) -> Result<(T, &[u8]), postcard::Error> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}

impl PeerReader {
    /// Makes a receive fail if no byte arrives for `timeout`; without it a receive waits without
    /// limit.
    ///
    /// The timeout applies between bytes, not between messages: a peer whose large message crosses
    /// a slow link is alive, and reconnecting would restart the message. With a timeout of 1.6 s
    /// between messages, a message of 1.0 MB at 150 KB/s never arrived.
    pub fn with_silence_timeout(mut self, timeout: Duration) -> Self {
        self.silence_timeout = Some(timeout);
        self
    }

    /// Receives one message. Not cancel-safe: dropping the future in the middle of a frame leaves
    /// the connection unusable.
    ///
    /// # Errors
    ///
    /// [`WireError`] at [`WireStep::Receive`]; the connection is unusable afterwards.
    pub async fn receive<M: DeserializeOwned>(&mut self) -> Result<M, WireError> {
        self.receive_as(|bytes| postcard::from_bytes(bytes)).await
    }

    /// Receives one message whose type in version 1 is `F`. If the peer announced no version, each
    /// message is used to detect it until one does.
    ///
    /// # Errors
    ///
    /// As [`PeerReader::receive`].
    pub async fn receive_versioned<N, F>(&mut self) -> Result<N, WireError>
    where
        N: Serialize + DeserializeOwned + From<F>,
        F: DeserializeOwned,
    {
        match self.session.message_version {
            Some(MessageVersion::V1) => Ok(self.receive::<F>().await?.into()),
            Some(_) => self.receive().await,
            None => {
                let (message, version) = self.receive_as(MessageVersion::detect::<N, F>).await?;
                self.session.message_version = version;
                Ok(message)
            }
        }
    }

    /// Receives a message as [`PeerReader::receive_versioned`] does, with the optional tails that
    /// follow it. Builds that support no tail, or only the first ones, omit the others and ignore them
    /// when they receive them.
    ///
    /// # Errors
    ///
    /// As [`PeerReader::receive`].
    pub async fn receive_with_tails<N, F, T, U, V, W>(
        &mut self,
    ) -> Result<(N, T, U, V, W), WireError>
    where
        N: Serialize + DeserializeOwned + From<F>,
        F: DeserializeOwned,
        T: DeserializeOwned + Default,
        U: DeserializeOwned + Default,
        V: DeserializeOwned + Default,
        W: DeserializeOwned + Default,
    {
        match self.session.message_version {
            Some(version) if version > MessageVersion::V1 => {
                self.receive_as(decode_with_tails).await
            }
            _ => {
                let message = self.receive_versioned::<N, F>().await?;
                Ok((
                    message,
                    T::default(),
                    U::default(),
                    V::default(),
                    W::default(),
                ))
            }
        }
    }

    async fn receive_as<M>(
        &mut self,
        decode: impl FnOnce(&[u8]) -> Result<M, postcard::Error>,
    ) -> Result<M, WireError> {
        let body = self.receive_body().await?;
        let (stamp, message) = body.split_first_chunk::<STAMP_BYTES>().ok_or_else(|| {
            self.error(WireCause::Malformed(
                postcard::Error::DeserializeUnexpectedEnd,
            ))
        })?;
        self.session.clock.observe(u64::from_le_bytes(*stamp));
        decode(message).map_err(|error| self.error(WireCause::Malformed(error)))
    }

    /// Returns the socket, to wait for its readiness.
    pub fn socket(&self) -> &TcpStream {
        self.socket.get_ref().as_ref()
    }

    /// Returns the message version of the connection; `None` while it is unknown.
    pub fn message_version(&self) -> Option<MessageVersion> {
        self.session.message_version
    }

    /// Returns the authenticated name of the peer.
    pub fn peer(&self) -> &str {
        &self.session.peer
    }

    async fn receive_body(&mut self) -> Result<Vec<u8>, WireError> {
        let mut length = [0; 4];
        self.read(&mut length).await?;
        let length = u32::from_le_bytes(length) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(self.error(WireCause::TooLarge(length)));
        }
        let mut body = vec![0; length];
        self.read(&mut body).await?;
        let mut hash = [0; HASH_BYTES];
        self.read(&mut hash).await?;
        let expected = self.session.hash(self.direction, self.sequence, &body);
        if !equal_hashes(&expected, &hash) {
            return Err(self.error(WireCause::BadHash));
        }
        self.sequence += 1;
        PEER_TRAFFIC.count_received(4 + body.len() + HASH_BYTES);
        Ok(body)
    }

    async fn read(&mut self, buffer: &mut [u8]) -> Result<(), WireError> {
        let mut filled = 0;
        while filled < buffer.len() {
            let total = buffer.len();
            // Bytes that are buffered already need no timer.
            let is_buffered = !self.socket.buffer().is_empty();
            let timeout = self.silence_timeout.filter(|_| !is_buffered);
            let read = self.socket.read(&mut buffer[filled..]);
            let result = match with_timeout(timeout, read).await {
                Ok(result) => result.map_err(WireCause::Io),
                Err(timeout) => Err(silence_error(timeout, filled, total)),
            };
            match result.map_err(|cause| self.error(cause))? {
                0 => return Err(self.error(WireCause::Io(ErrorKind::UnexpectedEof.into()))),
                length => filled += length,
            }
        }
        Ok(())
    }

    fn error(&self, cause: WireCause) -> WireError {
        self.session.error(WireStep::Receive, cause)
    }
}

/// Waits for a socket operation, for at most `limit`; the error is the limit that was exceeded.
async fn with_timeout<T>(
    limit: Option<Duration>,
    operation: impl Future<Output = T>,
) -> Result<T, Duration> {
    match limit {
        Some(limit) => timeout(limit, operation).await.map_err(|_| limit),
        None => Ok(operation.await),
    }
}

fn silence_error(timeout: Duration, transferred_bytes: usize, message_bytes: usize) -> WireCause {
    WireCause::Silent {
        timeout,
        transferred_bytes,
        message_bytes,
    }
}

/// Compares truncated hashes in constant time, by way of `blake3::Hash`.
pub(crate) fn equal_hashes(a: &[u8; HASH_BYTES], b: &[u8; HASH_BYTES]) -> bool {
    let widen = |short: &[u8; HASH_BYTES]| {
        let mut long = [0; 32];
        long[..HASH_BYTES].copy_from_slice(short);
        blake3::Hash::from_bytes(long)
    };
    widen(a) == widen(b)
}
