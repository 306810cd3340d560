//! Connections to targets through another entry host, for a host that a network partition
//! separates from them.
//!
//! The asking host decides everything about the request. The helping host opens a direct connection
//! to the target, so there is one extra hop at most, and carries bytes both ways. The end of the
//! target's connection arrives as it was: a FIN as [`TunnelFrame::End`], a reset as
//! [`TunnelFrame::Reset`]. A tunnel that ends without either was lost itself.

mod message;
mod open;
mod stream;

pub(crate) use message::{TunnelFrame, TunnelReply, TunnelRequest};
pub(crate) use open::open_tunnel;
pub(crate) use stream::TunnelStream;

/// Maximum number of bytes of a connection in one frame.
pub(crate) const MAX_FRAME_BYTES: usize = 16 * 1024;

/// Number of received frames that may wait for the other connection to accept them.
pub(crate) const BACKLOG_FRAMES: usize = 4;

#[cfg(test)]
pub(crate) mod tests;
