//! Bodies of answers: whole, or in pieces as they come.

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Why an answer ends before it is whole.
#[derive(Clone, Copy, Debug, snafu::Snafu)]
#[snafu(display("the answer broke off"))]
pub struct BrokenOff;

/// A piece of a streamed answer.
pub type Piece = Result<Bytes, BrokenOff>;

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All of it.
    Whole(Option<Bytes>),
    /// Pieces as they come; dropping it tells the sender that the client left.
    Pieces(mpsc::Receiver<Piece>),
}

impl Body {
    /// A body that is there.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()).filter(|bytes| !bytes.is_empty()))
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces) => {
                pieces.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
