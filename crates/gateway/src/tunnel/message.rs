//! The messages of a tunnel. The asking host sends a request, the helping host a reply; after
//! [`TunnelReply::Opened`] both send frames.

use std::net::SocketAddr;

use derive_more::Display;
use linnet_paths::PeerAnswer;
use serde::{Deserialize, Serialize};

/// Asks for a connection to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TunnelRequest {
    pub(crate) target: SocketAddr,
}

/// Whether the connection was opened, or why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub(crate) enum TunnelReply {
    #[display("opened")]
    Opened,
    /// The directory of the helping host lists no target at the address.
    #[display("unknown_target")]
    UnknownTarget,
    /// Nothing listens at the address.
    #[display("refused")]
    Refused,
    /// The target did not respond in time.
    #[display("silent")]
    Silent,
    /// The helping host has lost its path to the target.
    #[display("path_lost")]
    PathLost,
    /// The helping host has lost several targets.
    #[display("cut_off")]
    CutOff,
    /// The helping host serves as many tunnels as it may.
    #[display("full")]
    Full,
}

impl From<TunnelReply> for PeerAnswer {
    fn from(reply: TunnelReply) -> Self {
        match reply {
            TunnelReply::Opened => Self::Opened,
            TunnelReply::UnknownTarget => Self::UnknownTarget,
            TunnelReply::Refused => Self::Refused,
            TunnelReply::Silent => Self::Silent,
            TunnelReply::PathLost => Self::PathLost,
            TunnelReply::CutOff => Self::CutOff,
            TunnelReply::Full => Self::Full,
        }
    }
}

/// What one direction of a connection carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum TunnelFrame {
    /// Bytes of the connection.
    Data(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The sender of this direction has sent everything (FIN).
    End,
    /// The target reset the connection.
    Reset,
}
