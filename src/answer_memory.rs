//! Bounds the memory of answers that are buffered before they are sent to clients.

use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The most bytes of all buffered answers together, and thereby of one.
const TOTAL_BYTES_MAX: usize = 32 << 20;
/// An answer of up to this size is buffered even if the total is reached, so that servers that send too much do not
/// affect others.
const SMALL_BYTES_MAX: usize = 1 << 20;

/// The size of the pieces of a buffered answer. A single buffer would be copied, and take twice the memory, as it grows.
const PIECE_BYTES: usize = 64 << 10;

/// The number of bytes of all buffered answers. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct AnswerMemory {
    buffered_bytes: Arc<AtomicUsize>,
}

/// The error for an answer that exceeds its share of the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("the answer is too large to be buffered"))]
pub struct TooLarge;

/// An answer while it is read.
#[derive(Debug)]
pub struct Buffer<'a> {
    memory: &'a AnswerMemory,
    bytes: usize,
    full_pieces: VecDeque<Bytes>,
    last_piece: BytesMut,
}

impl AnswerMemory {
    /// Starts to buffer an answer.
    pub fn buffer(&self) -> Buffer<'_> {
        let (full_pieces, last_piece) = Default::default();
        Buffer { memory: self, bytes: 0, full_pieces, last_piece }
    }
}

impl Buffer<'_> {
    /// Adds a piece of the answer, if there is memory for it.
    pub fn push(&mut self, piece: &Bytes) -> Result<(), TooLarge> {
        let buffered_bytes = &self.memory.buffered_bytes;
        let total_bytes = buffered_bytes.fetch_add(piece.len(), Ordering::Relaxed) + piece.len();
        self.bytes += piece.len();
        if total_bytes > TOTAL_BYTES_MAX && self.bytes > SMALL_BYTES_MAX {
            return Err(TooLarge);
        }
        if self.last_piece.len() + piece.len() > PIECE_BYTES {
            self.end_piece();
        }
        self.last_piece.extend_from_slice(piece);
        Ok(())
    }

    /// The whole answer in pieces, which no longer counts as buffered.
    pub fn finish(mut self) -> VecDeque<Bytes> {
        self.end_piece();
        std::mem::take(&mut self.full_pieces)
    }

    fn end_piece(&mut self) {
        let piece = std::mem::take(&mut self.last_piece).freeze();
        self.full_pieces.extend(Some(piece).filter(|piece| !piece.is_empty()));
    }
}

impl Drop for Buffer<'_> {
    fn drop(&mut self) {
        self.memory.buffered_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
