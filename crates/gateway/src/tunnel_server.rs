//! The helping host's end of a tunnel.

use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use linnet_telemetry::EventCode;
use linnet_wire::{PeerReader, PeerWriter, WireError};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::Gateway;
use crate::dead_peer::detect_dead_tunnel;
use crate::target_links::{SERVE_CONNECT_TIMEOUT, ServedTunnel};
use crate::tunnel::{BACKLOG_FRAMES, MAX_FRAME_BYTES, TunnelFrame, TunnelReply, TunnelRequest};

/// Opens a connection to a target for another entry host and carries its bytes, until either end is
/// closed.
///
/// # Errors
///
/// [`WireError`] of the connection to the asking host.
pub async fn serve_tunnel(
    gateway: &Rc<Gateway>,
    mut reader: PeerReader,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    detect_dead_tunnel(writer.socket());
    let Ok(request) = timeout(SERVE_CONNECT_TIMEOUT, reader.receive::<TunnelRequest>()).await
    else {
        return Ok(());
    };
    let target = request?.target;
    match open_target(gateway, target).await {
        Ok((socket, _served)) => {
            writer.send(&TunnelReply::Opened).await?;
            carry_bytes(socket, reader, writer).await
        }
        Err(refusal) => {
            gateway.metrics.tunnels_refused.inc();
            let detail = format!("target={target} reason={refusal}");
            let recorder = &gateway.config.recorder;
            recorder.record(EventCode::TunnelRefused, reader.peer(), detail);
            writer.send(&refusal).await
        }
    }
}

async fn open_target(
    gateway: &Gateway,
    target: SocketAddr,
) -> Result<(TcpStream, ServedTunnel), TunnelReply> {
    if !gateway.targets.borrow().has_address(target) {
        return Err(TunnelReply::UnknownTarget);
    }
    // The asking host learns from the directory that this host is about to stop.
    if gateway.is_stopping() {
        return Err(TunnelReply::Full);
    }
    let links = gateway.upstream.links();
    let served = links.begin_served().ok_or(TunnelReply::Full)?;
    let socket = links.connect_for_peer(target).await?;
    Ok((socket, served))
}

/// Carries bytes both ways until the asking host closes the tunnel or the target resets its
/// connection.
async fn carry_bytes(
    mut socket: TcpStream,
    reader: PeerReader,
    writer: PeerWriter,
) -> Result<(), WireError> {
    let (from_target, to_target) = socket.split();
    let (sender, received) = mpsc::channel(BACKLOG_FRAMES);
    tokio::select! {
        ended = receive_frames(reader, sender) => ended,
        ended = send_frames(from_target, writer) => ended,
        () = write_frames(received, to_target) => Ok(()),
    }
}

/// Receives frames until the asking host closes the tunnel. It does so by a reset, which is noticed
/// even while the target accepts no bytes.
async fn receive_frames(
    mut reader: PeerReader,
    sender: mpsc::Sender<TunnelFrame>,
) -> Result<(), WireError> {
    loop {
        let frame = reader.receive().await?;
        let is_closed = tokio::select! {
            sent = sender.send(frame) => sent.is_err(),
            _ = reader.socket().ready(Interest::ERROR) => true,
        };
        if is_closed {
            return Ok(());
        }
    }
}

/// Writes frames to the target. Once it accepts none, the rest is discarded: the reading direction
/// finds how the target ended the connection.
async fn write_frames(mut received: mpsc::Receiver<TunnelFrame>, mut to_target: WriteHalf<'_>) {
    let mut is_open = true;
    while let Some(frame) = received.recv().await {
        if !is_open {
            continue;
        }
        let written = match frame {
            TunnelFrame::Data(bytes) => to_target.write_all(&bytes).await,
            TunnelFrame::End | TunnelFrame::Reset => to_target.shutdown().await,
        };
        is_open = written.is_ok();
    }
    pending().await
}

async fn send_frames(
    mut from_target: ReadHalf<'_>,
    mut writer: PeerWriter,
) -> Result<(), WireError> {
    let mut buffer = vec![0; MAX_FRAME_BYTES];
    loop {
        match from_target.read(&mut buffer).await {
            Ok(0) => {
                writer.send(&TunnelFrame::End).await?;
                // The asking host may still send.
                return pending().await;
            }
            Ok(length) => {
                let frame = TunnelFrame::Data(buffer[..length].to_vec());
                writer.send(&frame).await?;
            }
            Err(error) if is_reset(&error) => return writer.send(&TunnelFrame::Reset).await,
            // The target is silent, which is no end of its own: the tunnel is lost.
            Err(_) => return Ok(()),
        }
    }
}

fn is_reset(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionAborted
    )
}
