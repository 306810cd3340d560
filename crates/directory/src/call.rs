//! A single request to a control host, on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use linnet_wire::{PeerGreeting, PeerIdentity, WireError, connect_peer};
use tokio::time::timeout;

use crate::message::{DirectoryCall, DirectoryReply};

/// Why a call to a control host failed.
#[derive(Debug, Display, derive_more::Error, derive_more::From)]
pub enum CallError {
    /// The connection failed.
    #[display("{_0}")]
    Wire(WireError),
    /// The control host did not reply within the timeout.
    #[display("call to {_0}: no reply in time")]
    #[from(ignore)]
    #[error(ignore)]
    TimedOut(SocketAddr),
}

pub(crate) async fn call(
    identity: &PeerIdentity,
    address: SocketAddr,
    request: &DirectoryCall,
    call_timeout: Duration,
) -> Result<DirectoryReply, CallError> {
    let exchange = async {
        let (mut reader, mut writer) = connect_peer(identity, address).await?;
        writer.send(&PeerGreeting::DirectoryCall).await?;
        writer.send(request).await?;
        Ok(reader.receive::<DirectoryReply>().await?)
    };
    match timeout(call_timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(CallError::TimedOut(address)),
    }
}
