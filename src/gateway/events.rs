//! Cuts a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Whole events, as they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The bytes of the events.
    pub bytes: Bytes,
    /// How many there are.
    pub count: u64,
    /// The id of the last one that has an id.
    pub last_id: Option<String>,
}

/// Collects bytes until an event is whole.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    searched: usize,
}

impl Splitter {
    /// Takes bytes in; returns the events that are whole now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Batch> {
        self.buffer.extend_from_slice(bytes);
        let end = self.end_of_last_event()?;
        let whole = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let (mut count, mut last_id) = (0, None);
        for event in whole.split(|byte| *byte == b'\n').map(trim) {
            if event.is_empty() {
                continue;
            }
            if let Some(id) = event.strip_prefix(b"id:") {
                count += 1;
                last_id = std::str::from_utf8(id).ok().map(|id| id.trim().to_owned());
            }
        }
        Some(Batch { bytes: whole, count, last_id })
    }

    /// Whether nothing of an unfinished event is left.
    pub fn is_empty(&self) -> bool {
        self.buffer.iter().all(|byte| matches!(byte, b'\n' | b'\r'))
    }

    /// Where the last blank line ends.
    fn end_of_last_event(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        self.searched = self.buffer.len();
        let bytes = &self.buffer[from..];
        let blank = |place: &usize| {
            bytes[..=*place].ends_with(b"\n\n") || bytes[..=*place].ends_with(b"\n\r\n")
        };
        (0..bytes.len()).rev().find(blank).map(|place| from + place + 1)
    }
}

fn trim(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}
