//! Messages between entry hosts as the first form has them: nothing is told of requests that may end their
//! targets.

mod reply;
mod request;

use linnet_wire::{MessageVersion, PeerWriter, WireError};

use crate::piece_message::{PieceReply, PieceRequest};

pub(crate) use reply::FirstReply;
pub(crate) use request::FirstRequest;

use reply::first_reply;
use request::first_request;

/// Lets a request wait in a writer, in the form that the other side speaks; says whether it is full.
///
/// # Errors
///
/// [`WireError`] of the connection.
pub(crate) fn queue_request(
    writer: &mut PeerWriter,
    form: MessageVersion,
    request: &PieceRequest,
) -> Result<bool, WireError> {
    match form {
        MessageVersion::V1 => first_request(request).map_or(Ok(false), |told| writer.queue(&told)),
        _ if form < request.first_known() => Ok(false),
        _ => writer.queue(request),
    }
}

/// Does the same with a reply.
///
/// # Errors
///
/// [`WireError`] of the connection.
pub(crate) fn queue_reply(
    writer: &mut PeerWriter,
    form: MessageVersion,
    reply: &PieceReply,
) -> Result<bool, WireError> {
    match form {
        MessageVersion::V1 => first_reply(reply).map_or(Ok(false), |told| writer.queue(&told)),
        _ => writer.queue(reply),
    }
}

#[cfg(test)]
mod tests;
