//! Opens a tunnel through another entry host.

use std::net::SocketAddr;
use std::time::Duration;

use linnet_paths::PeerAnswer;
use linnet_wire::{PeerGreeting, PeerIdentity, PeerReader, PeerWriter, WireError, connect_peer};
use socket2::SockRef;
use tokio::time::timeout;

use super::{TunnelReply, TunnelRequest, TunnelStream};
use crate::dead_peer::detect_dead_tunnel;

/// Timeout of one peer: three round trips to it and the time that it waits for the target, at a host
/// that is busy. Another peer is asked meanwhile.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Asks a peer for a connection to a target.
///
/// # Errors
///
/// The answer of the peer if it did not open the connection.
pub(crate) async fn open_tunnel(
    identity: &PeerIdentity,
    peer: SocketAddr,
    target: SocketAddr,
) -> Result<TunnelStream, PeerAnswer> {
    let asked = async {
        let connected = connect_peer(identity, peer).await;
        let (mut reader, mut writer) = connected.map_err(|_| PeerAnswer::Unreachable)?;
        detect_dead_tunnel(writer.socket());
        // Dropping the tunnel resets the connection, so that the helping host notices it even if
        // bytes are still queued.
        let _ = SockRef::from(writer.socket()).set_linger(Some(Duration::ZERO));
        match exchange(&mut reader, &mut writer, target).await {
            Ok(TunnelReply::Opened) => Ok(TunnelStream::new(reader, writer)),
            Ok(refusal) => Err(refusal.into()),
            // Builds before tunnels close the connection on the greeting.
            Err(_) => Err(PeerAnswer::Unsupported),
        }
    };
    let answer = timeout(OPEN_TIMEOUT, asked).await;
    answer.unwrap_or(Err(PeerAnswer::TimedOut))
}

async fn exchange(
    reader: &mut PeerReader,
    writer: &mut PeerWriter,
    target: SocketAddr,
) -> Result<TunnelReply, WireError> {
    writer.queue(&PeerGreeting::Tunnel)?;
    writer.send(&TunnelRequest { target }).await?;
    reader.receive().await
}
