//! Response bodies: buffered, or streamed in pieces.

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The error with which the body of an incomplete answer ends.
#[derive(Clone, Copy, Debug, snafu::Snafu)]
#[snafu(display("the answer ended before it was complete"))]
pub struct Truncated;

/// A piece of a streamed answer.
pub type Piece = Result<Bytes, Truncated>;

/// The body of a response to a client.
#[derive(Debug)]
pub enum Body {
    /// The rest of a body whose bytes are all available, in pieces that are not empty.
    Whole(VecDeque<Bytes>),
    /// Pieces from a channel. If the client closes its connection, the body is dropped and with it the receiver, which
    /// the sender detects.
    Pieces(mpsc::Receiver<Piece>),
}

impl Body {
    /// A body whose bytes are all available.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = Some(bytes.into()).filter(|bytes| !bytes.is_empty());
        Self::Whole(bytes.into_iter().collect())
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut *self {
            Self::Whole(pieces) => {
                Poll::Ready(pieces.pop_front().map(|piece| Ok(Frame::data(piece))))
            }
            Self::Pieces(pieces) => {
                pieces.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(pieces) if pieces.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(pieces) => {
                SizeHint::with_exact(pieces.iter().map(|piece| piece.len() as u64).sum())
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
