//! A socket that stays accessible while the HTTP library reads and writes it.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connected socket. Cheap to clone.
#[derive(Clone)]
pub(super) struct SharedSocket(Rc<TcpStream>);

impl SharedSocket {
    pub(super) fn new(socket: TcpStream) -> Self {
        Self(Rc::new(socket))
    }

    /// Returns a reference that does not keep the socket open.
    pub(super) fn downgrade(&self) -> Weak<TcpStream> {
        Rc::downgrade(&self.0)
    }

    /// Sets how long sent data may stay unacknowledged before the operating system closes the connection.
    pub(super) fn set_unacknowledged_limit(&self, limit: Duration) {
        if let Err(error) = SockRef::from(&*self.0).set_tcp_user_timeout(Some(limit)) {
            log::warn!("cannot set how long data for a target may stay unacknowledged: {error}");
        }
    }

    /// Returns whether the peer has closed or reset the connection, or sent bytes that were not asked
    /// for. The task that drives the connection may not have seen that yet.
    pub(super) fn has_unread_end(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.0).peek(&mut byte) {
            Ok(_) => true,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

impl AsyncRead for SharedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SharedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                outcome => return Poll::Ready(outcome),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            match self.0.try_write_vectored(buffers) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                outcome => return Poll::Ready(outcome),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shutdown = SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write);
        Poll::Ready(shutdown)
    }
}
