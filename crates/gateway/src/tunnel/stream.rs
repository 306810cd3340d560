//! The asking host's end of a tunnel, as a byte stream.

use std::future::pending;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use linnet_wire::{PeerReader, PeerWriter, WireError};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, DuplexStream, ReadBuf};
use tokio::sync::{mpsc, oneshot};

use super::{BACKLOG_FRAMES, MAX_FRAME_BYTES, TunnelFrame};

/// A connection to a target through another entry host. Dropping it closes the tunnel, on which the
/// helping host closes its connection to the target.
///
/// Reads return the end of the stream only after the target's FIN, and `ConnectionReset` only after
/// its reset. The loss of the tunnel is an error of kind `Other`, which says nothing about the
/// target.
pub(crate) struct TunnelStream {
    received: mpsc::Receiver<TunnelFrame>,
    unread: Bytes,
    has_ended: bool,
    outgoing: DuplexStream,
    _closer: oneshot::Sender<()>,
}

impl TunnelStream {
    pub(super) fn new(reader: PeerReader, writer: PeerWriter) -> Self {
        let (outgoing, to_send) = tokio::io::duplex(MAX_FRAME_BYTES);
        let (sender, received) = mpsc::channel(BACKLOG_FRAMES);
        let (closer, closed) = oneshot::channel();
        ntex::rt::spawn(async move {
            // The reader of the stream learns of the loss by the end of `received`.
            tokio::select! {
                _ = receive_frames(reader, sender) => {}
                _ = send_frames(writer, to_send) => {}
                _ = closed => {}
            }
        });
        Self {
            received,
            unread: Bytes::new(),
            has_ended: false,
            outgoing,
            _closer: closer,
        }
    }
}

async fn receive_frames(
    mut reader: PeerReader,
    sender: mpsc::Sender<TunnelFrame>,
) -> Result<(), WireError> {
    loop {
        let frame: TunnelFrame = reader.receive().await?;
        let is_reset = frame == TunnelFrame::Reset;
        if sender.send(frame).await.is_err() {
            return Ok(());
        }
        if is_reset {
            // The end of this task would fail writes with another error than the reset.
            pending::<()>().await;
        }
    }
}

async fn send_frames(mut writer: PeerWriter, mut to_send: DuplexStream) -> Result<(), WireError> {
    let mut buffer = vec![0; MAX_FRAME_BYTES];
    loop {
        let length = to_send.read(&mut buffer).await.unwrap_or(0);
        if length == 0 {
            writer.send(&TunnelFrame::End).await?;
            // The target may still send.
            return pending().await;
        }
        let frame = TunnelFrame::Data(buffer[..length].to_vec());
        writer.send(&frame).await?;
    }
}

fn tunnel_lost() -> io::Error {
    io::Error::other("tunnel lost")
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() && !self.has_ended {
            match ready!(self.received.poll_recv(cx)) {
                Some(TunnelFrame::Data(bytes)) => self.unread = bytes.into(),
                Some(TunnelFrame::End) => self.has_ended = true,
                Some(TunnelFrame::Reset) => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                }
                None => return Poll::Ready(Err(tunnel_lost())),
            }
        }
        let length = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread[..length]);
        self.unread.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.outgoing).poll_write(cx, bytes);
        written.map_err(|_| tunnel_lost())
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.outgoing).poll_flush(cx);
        flushed.map_err(|_| tunnel_lost())
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.outgoing).poll_shutdown(cx)
    }
}
