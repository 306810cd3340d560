//! Reads the bodies of targets' responses within limits, since a target may send bytes without end.

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::held_bytes::{HeldBytes, ShareExceeded};
use crate::send_error::is_peer_disconnect;

/// Maximum size of a plain response, which is passed on once it is complete.
pub(crate) const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Maximum size of the response to a call with pieces: a handle for each of them.
pub(crate) const MAX_CALL_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of the response to a control request, such as one for a report.
pub(crate) const MAX_CONTROL_BYTES: usize = 1024 * 1024;

/// Maximum size of the rest of a body that nobody needs. Reading more costs more than a new
/// connection.
pub(crate) const MAX_UNREAD_BYTES: usize = 64 * 1024;

/// Why a body could not be read.
#[derive(Debug, Display)]
pub(crate) enum BodyError {
    /// The body was cut or malformed.
    #[display("{_0}")]
    Broken(hyper::Error),
    /// The body is larger than the limit in bytes.
    #[display("longer than {_0} bytes")]
    TooLong(usize),
    /// The host holds too much of unfinished answers.
    #[display("{_0}")]
    ShareExceeded(ShareExceeded),
}

impl BodyError {
    /// Returns whether the target closed or reset the connection.
    pub(crate) fn is_peer_disconnect(&self) -> bool {
        match self {
            Self::Broken(error) => is_peer_disconnect(error),
            Self::TooLong(_) | Self::ShareExceeded(_) => false,
        }
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// [`BodyError`] if the body is cut or malformed, or as soon as it is known to exceed the limit.
pub(crate) async fn read_response_body(
    mut body: Incoming,
    max_bytes: usize,
    held: &HeldBytes,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLong(max_bytes));
    }
    // The data of small frames is copied, since each frame keeps the buffer that it was read into.
    let mut read = BytesMut::new();
    let mut share = held.begin();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else {
            continue;
        };
        if read.len() + data.len() > max_bytes {
            return Err(BodyError::TooLong(max_bytes));
        }
        // The usual body of one frame is not copied.
        if read.is_empty() && body.is_end_stream() {
            return Ok(data);
        }
        share
            .set(read.len() + data.len())
            .map_err(BodyError::ShareExceeded)?;
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}
