//! The body of a response to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::Display;
use futures_util::Stream;
use http_body::{Body, Frame, SizeHint};

type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, IncompleteResponse>>>>;

/// Error that ends a response which cannot be completed. The caller's connection is aborted, so
/// that the response does not look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, derive_more::Error)]
#[display("the response cannot be completed")]
pub struct IncompleteResponse;

/// The body of a response, complete or streamed.
pub enum ResponseBody {
    /// The complete body; `None` once it has been sent.
    Full(Option<Bytes>),
    /// Chunks in the order of arrival; an error aborts the connection.
    Stream(ChunkStream),
}

impl ResponseBody {
    /// Creates a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Some(bytes.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        match &mut *self {
            Self::Full(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Stream(chunks) => {
                let next = chunks.as_mut().poll_next(context);
                next.map(|item| item.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
