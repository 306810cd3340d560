//! The first version of the messages between entry hosts, which has none about suspect requests and
//! permits.

mod reply;
mod request;

use linnet_wire::{MessageVersion, PeerWriter, WireError};

use crate::piece_message::{PieceReply, PieceRequest};

pub(crate) use reply::PieceReplyV1;
pub(crate) use request::PieceRequestV1;

use reply::to_reply_v1;
use request::to_request_v1;

/// Queues a request in a writer in the peer's message version and returns whether the writer is
/// full. A request that this version lacks is sent in its earlier form, or dropped if it has none.
///
/// # Errors
///
/// [`WireError`] of the connection.
pub(crate) fn queue_request(
    writer: &mut PeerWriter,
    version: MessageVersion,
    request: &PieceRequest,
) -> Result<bool, WireError> {
    match version {
        MessageVersion::V1 => {
            to_request_v1(request).map_or(Ok(false), |message| writer.queue(&message))
        }
        _ if version < request.min_message_version() => {
            let earlier = request.earlier_form();
            earlier.map_or(Ok(false), |message| writer.queue(&message))
        }
        _ => writer.queue(request),
    }
}

/// Queues a reply like [`queue_request`].
///
/// # Errors
///
/// [`WireError`] of the connection.
pub(crate) fn queue_reply(
    writer: &mut PeerWriter,
    version: MessageVersion,
    reply: &PieceReply,
) -> Result<bool, WireError> {
    match version {
        MessageVersion::V1 => {
            to_reply_v1(reply).map_or(Ok(false), |message| writer.queue(&message))
        }
        _ if version < reply.min_message_version() => Ok(false),
        _ => writer.queue(reply),
    }
}

#[cfg(test)]
mod tests;
