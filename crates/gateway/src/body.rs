//! The body of an answer to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::Display;
use futures_util::Stream;
use http_body::{Body, Frame, SizeHint};

type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenAnswer>>>>;

/// An answer that cannot be completed; the caller's connection is broken off, so that the answer
/// does not look whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, derive_more::Error)]
#[display("the answer cannot be completed")]
pub struct BrokenAnswer;

/// A body that is whole, or one that comes in chunks.
pub enum AnswerBody {
    /// All of it; taken when it was handed out.
    Whole(Option<Bytes>),
    /// Chunks as they come; an error breaks the connection off.
    Chunks(ChunkStream),
}

impl AnswerBody {
    /// Creates a whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        match &mut *self {
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Chunks(chunks) => {
                let next = chunks.as_mut().poll_next(context);
                next.map(|item| item.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Chunks(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}
