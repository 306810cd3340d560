//! Messages over an authenticated TCP connection.
//!
//! A frame is: length (4, little endian), body, keyed hash (16). The body is the sender's clock
//! stamp (8) and a `postcard` message. The hash covers direction and sequence, so a frame that is
//! repeated, left out or turned back is refused.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use linnet_telemetry::HybridClock;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

use crate::key::keyed_hash;
use crate::{MessageVersion, PEER_TRAFFIC, WireCause, WireError, WireStep};

/// The largest message between peers, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// Bytes that are taken from the socket at one time. Most messages are shorter, so that one costs one
/// system call in place of four: its length, its body, its hash, and a try for the next one. A host
/// with connections to 300 others keeps 600 KB for it.
pub(crate) const READ_BUFFER_BYTES: usize = 2 * 1024;

/// Bytes of messages after which [`PeerWriter::queue`] wants them sent.
const FLUSH_THRESHOLD_BYTES: usize = 16 * 1024;

const HASH_BYTES: usize = 16;
const STAMP_BYTES: usize = 8;

/// What both ends of a connection know after the handshake.
#[derive(Clone)]
pub struct Session {
    pub(crate) secret: [u8; 32],
    pub(crate) peer: String,
    /// The form that both ends know; nothing while the peer has neither announced nor shown one.
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
    /// Frames that wait to be sent together.
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
    /// Ends a send once the peer has taken no byte for `limit`, in place of waiting for ever.
    pub fn with_silence_timeout(mut self, limit: Duration) -> Self {
        self.silence_timeout = Some(limit);
        self
    }

    /// Sends one message, and those that wait before it.
    ///
    /// # Errors
    ///
    /// [`WireError`] at [`WireStep::Send`]; the connection is of no use after it.
    pub async fn send<M: Serialize>(&mut self, message: &M) -> Result<(), WireError> {
        self.queue(message)?;
        self.flush().await
    }

    /// Lets a message wait for [`PeerWriter::flush`], so that several go out in one write; says whether
    /// so many wait that they should be sent now.
    ///
    /// # Errors
    ///
    /// [`WireError`] at [`WireStep::Send`]; the connection is of no use after it.
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

    /// Sends the messages that wait.
    ///
    /// # Errors
    ///
    /// [`WireError`] at [`WireStep::Send`]; the connection is of no use after it.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        let frames = std::mem::take(&mut self.queued);
        self.write(&frames).await
    }

    async fn write(&mut self, frame: &[u8]) -> Result<(), WireError> {
        let mut passed = 0;
        while passed < frame.len() {
            let writing = self.socket.write(&frame[passed..]);
            let written = match within(self.silence_timeout, writing).await {
                Ok(written) => written.map_err(WireCause::Io),
                Err(limit) => Err(silent(limit, passed, frame.len())),
            };
            match written.map_err(|cause| self.error(cause))? {
                0 => return Err(self.error(WireCause::Io(ErrorKind::WriteZero.into()))),
                length => passed += length,
            }
        }
        Ok(())
    }

    fn error(&self, cause: WireCause) -> WireError {
        self.session.error(WireStep::Send, cause)
    }
}

/// Reads a message and its tails, as many as it has.
fn read_tailed<N, T, U>(bytes: &[u8]) -> Result<(N, T, U), postcard::Error>
where
    N: DeserializeOwned,
    T: DeserializeOwned + Default,
    U: DeserializeOwned + Default,
{
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    let (first, rest) = read_tail(rest)?;
    let (second, _) = read_tail(rest)?;
    Ok((message, first, second))
}

/// Reads one tail; the one that says nothing where there is none.
fn read_tail<T: DeserializeOwned + Default>(bytes: &[u8]) -> Result<(T, &[u8]), postcard::Error> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}

impl PeerReader {
    /// Ends a receive once no byte came for `limit`, in place of waiting for ever.
    ///
    /// The limit holds between bytes, not between messages: a peer whose large message passes a
    /// slow link is alive, and to call it again would have it begin the message anew. Measured with
    /// a message of 1.0 MB at 150 KB a second and a limit of 1.6 s between messages: it never came.
    pub fn with_silence_timeout(mut self, limit: Duration) -> Self {
        self.silence_timeout = Some(limit);
        self
    }

    /// Receives one message. Not to be dropped half-way: a frame cut in two spoils the connection.
    ///
    /// # Errors
    ///
    /// [`WireError`] at [`WireStep::Receive`]; the connection is of no use after it.
    pub async fn receive<M: DeserializeOwned>(&mut self) -> Result<M, WireError> {
        self.receive_as(|bytes| postcard::from_bytes(bytes)).await
    }

    /// Receives one message that has another shape, `F`, in the first form. Until a peer that announced no form
    /// has sent one that tells it, each is read for that.
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
                let (message, form) = self.receive_as(MessageVersion::detect::<N, F>).await?;
                self.session.message_version = form;
                Ok(message)
            }
        }
    }

    /// Receives a message as [`PeerReader::receive_versioned`] does, and the two tails that may stand behind it. Builds
    /// that know no tail, or only the first, send no more, and pass over those that they get.
    ///
    /// # Errors
    ///
    /// As [`PeerReader::receive`].
    pub async fn receive_with_tails<N, F, T, U>(&mut self) -> Result<(N, T, U), WireError>
    where
        N: Serialize + DeserializeOwned + From<F>,
        F: DeserializeOwned,
        T: DeserializeOwned + Default,
        U: DeserializeOwned + Default,
    {
        match self.session.message_version {
            Some(form) if form > MessageVersion::V1 => self.receive_as(read_tailed).await,
            _ => {
                let message = self.receive_versioned::<N, F>().await?;
                Ok((message, T::default(), U::default()))
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

    /// Returns the form that is spoken on the connection; nothing while that is not known.
    pub fn message_version(&self) -> Option<MessageVersion> {
        self.session.message_version
    }

    /// Returns the name that the peer proved.
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
        let wanted = self.session.hash(self.direction, self.sequence, &body);
        // `blake3::Hash` compares in constant time; the short form is compared through it.
        if !equal_hashes(&wanted, &hash) {
            return Err(self.error(WireCause::BadHash));
        }
        self.sequence += 1;
        PEER_TRAFFIC.count_received(4 + body.len() + HASH_BYTES);
        Ok(body)
    }

    async fn read(&mut self, buffer: &mut [u8]) -> Result<(), WireError> {
        let mut passed = 0;
        while passed < buffer.len() {
            let length = buffer.len();
            // What is here already needs no timer.
            let is_here = !self.socket.buffer().is_empty();
            let limit = self.silence_timeout.filter(|_| !is_here);
            let reading = self.socket.read(&mut buffer[passed..]);
            let read = match within(limit, reading).await {
                Ok(read) => read.map_err(WireCause::Io),
                Err(limit) => Err(silent(limit, passed, length)),
            };
            match read.map_err(|cause| self.error(cause))? {
                0 => return Err(self.error(WireCause::Io(ErrorKind::UnexpectedEof.into()))),
                length => passed += length,
            }
        }
        Ok(())
    }

    fn error(&self, cause: WireCause) -> WireError {
        self.session.error(WireStep::Receive, cause)
    }
}

/// Waits for one step of a socket, for at most `limit`, which is the error.
async fn within<T>(limit: Option<Duration>, step: impl Future<Output = T>) -> Result<T, Duration> {
    match limit {
        Some(limit) => timeout(limit, step).await.map_err(|_| limit),
        None => Ok(step.await),
    }
}

fn silent(limit: Duration, passed: usize, length: usize) -> WireCause {
    WireCause::Silent {
        limit,
        passed,
        length,
    }
}

pub(crate) fn equal_hashes(a: &[u8; HASH_BYTES], b: &[u8; HASH_BYTES]) -> bool {
    let widen = |short: &[u8; HASH_BYTES]| {
        let mut long = [0; 32];
        long[..HASH_BYTES].copy_from_slice(short);
        blake3::Hash::from_bytes(long)
    };
    widen(a) == widen(b)
}
