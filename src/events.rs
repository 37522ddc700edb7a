//! Splits a byte stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// The largest event. A server that sends more without an end of the event is faulty.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Why events can't be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("an event has more than {bytes_max} bytes"))]
    TooLarge { bytes_max: usize },
    #[snafu(display("the id of an event is not after that of the event before"))]
    OutOfOrder,
}

/// Complete events, as the server sent them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The bytes of the events.
    pub bytes: Bytes,
    /// The number of events that have an id.
    pub count: u64,
    /// The id of the last event that has one.
    pub last_id: Option<String>,
}

/// Buffers bytes until at least one event is complete.
#[derive(Debug)]
pub struct Splitter {
    event_bytes_max: usize,
    buffer: BytesMut,
    searched_bytes: usize,
    /// The number of the event after which those to come must be; `None` if it is not known.
    after: Option<u64>,
}

impl Default for Splitter {
    fn default() -> Self {
        Self::new(EVENT_BYTES_MAX)
    }
}

impl Splitter {
    /// Allows events of up to `event_bytes_max`.
    pub fn new(event_bytes_max: usize) -> Self {
        Self { event_bytes_max, buffer: BytesMut::new(), searched_bytes: 0, after: None }
    }

    /// A splitter of events that go on after the one with this id.
    pub fn after(last_id: &str) -> Self {
        Self { after: number(last_id), ..Self::default() }
    }

    /// Adds bytes, and returns the events that they complete, if any. No event of a batch can be forwarded if one of them
    /// is out of order.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Batch>, Error> {
        self.buffer.extend_from_slice(bytes);
        let Some(end) = self.end_of_last_event() else {
            let bytes_max = self.event_bytes_max;
            snafu::ensure!(self.buffer.len() <= bytes_max, TooLargeSnafu { bytes_max });
            return Ok(None);
        };
        let complete = self.buffer.split_to(end).freeze();
        self.searched_bytes = 0;
        let (mut count, mut last_id) = (0, None);
        for line in complete.split(|byte| *byte == b'\n').map(trim_cr) {
            if line.is_empty() {
                continue;
            }
            if let Some(id) = line.strip_prefix(b"id:") {
                count += 1;
                last_id = std::str::from_utf8(id).ok().map(|id| id.trim().to_owned());
                self.check_order(last_id.as_deref())?;
            }
        }
        Ok(Some(Batch { bytes: complete, count, last_id }))
    }

    /// Checks that an event is after the one before. Ids that are no numbers can't be compared.
    fn check_order(&mut self, id: Option<&str>) -> Result<(), Error> {
        let (Some(after), Some(number)) = (self.after, id.and_then(number)) else { return Ok(()) };
        snafu::ensure!(number > after, OutOfOrderSnafu);
        self.after = Some(number);
        Ok(())
    }

    /// Whether the buffer contains no part of an incomplete event.
    pub fn is_empty(&self) -> bool {
        self.buffer.iter().all(|byte| matches!(byte, b'\n' | b'\r'))
    }

    /// The offset just after the last blank line in the buffer.
    fn end_of_last_event(&mut self) -> Option<usize> {
        let from = self.searched_bytes.saturating_sub(3);
        self.searched_bytes = self.buffer.len();
        let bytes = &self.buffer[from..];
        let ends_blank_line = |index: &usize| {
            bytes[..=*index].ends_with(b"\n\n") || bytes[..=*index].ends_with(b"\n\r\n")
        };
        (0..bytes.len()).rev().find(ends_blank_line).map(|index| from + index + 1)
    }
}

fn number(id: &str) -> Option<u64> {
    id.parse().ok()
}

fn trim_cr(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}
