//! Bodies of responses to clients.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Bytes, Frame, SizeHint};
use tokio::sync::mpsc;

/// A part of a streamed response body.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The body of a response.
pub enum ResponseBody {
    /// Fully buffered.
    Full(Option<Bytes>),
    /// Forwarded as it is received; complete only after [`Chunk::End`].
    Stream(mpsc::Receiver<Chunk>),
}

/// The body ended early; the connection is closed so that the client does not
/// take it for a complete one.
#[derive(Clone, Copy, Debug)]
pub struct TruncatedBody;

impl fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response body truncated")
    }
}

impl std::error::Error for TruncatedBody {}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(chunks) => chunks.poll_recv(cx).map(|chunk| match chunk {
                Some(Chunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Chunk::End) => None,
                None => Some(Err(TruncatedBody)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
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
