//! A connection to a target that may send bytes without end.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::interim_count::InterimCount;

/// Maximum number of bytes that are read before other tasks run: one thread serves all connections.
const READ_BATCH_BYTES: usize = 32 * 1024;

/// Yields to other tasks while bytes keep coming, and fails once too many interim responses have come.
pub(super) struct BoundedStream<T> {
    stream: T,
    interims: InterimCount,
    /// Bytes read since other tasks ran.
    batch_bytes: usize,
}

impl<T> BoundedStream<T> {
    pub(super) fn new(stream: T, interims: InterimCount) -> Self {
        Self {
            stream,
            interims,
            batch_bytes: 0,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for BoundedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.interims.check()?;
        if self.batch_bytes >= READ_BATCH_BYTES {
            self.batch_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let max_bytes = buffer.remaining().min(READ_BATCH_BYTES - self.batch_bytes);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let count = part.filled().len();
        buffer.advance(count);
        match read {
            Poll::Pending => self.batch_bytes = 0,
            Poll::Ready(_) => self.batch_bytes += count,
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for BoundedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
