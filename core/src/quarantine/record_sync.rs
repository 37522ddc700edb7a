//! Synchronization with the quarantine record in the store. A router reads the record after its
//! start, and after a crash that it observed while other routers are missing from its view. It
//! writes the record after such a crash has put a request into quarantine or close to it, or after a
//! successful run or an operator has released one.

use crate::{backoff, store};
use rand::{RngExt, rngs};

/// Bounds of the delays after failed calls.
const RETRY_DELAY_BASE_MS: u64 = 500;
const RETRY_DELAY_MAX_MS: u64 = 10_000;
/// Maximum random delay that spreads the rewrites of routers after a restore of the store.
const REWRITE_SPREAD_MS: u64 = 3_000;
/// Minimum interval between reads, so that simultaneous crashes cause a single read.
const READ_INTERVAL_MIN_MS: u64 = 500;

/// What the platform's store returned to a call for the [`Record`](super::Record) of quarantined requests (refused for
/// a while, because backend servers crashed during them): a value to merge into the router's own table of them, a value
/// that cannot be decoded, or nothing to merge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The value that the store returned for the record.
    Value(Vec<u8>),
    /// The stored value does not have the encoding that the store uses for values.
    Undecodable,
    /// No value that has to be merged.
    Nothing,
}

/// Schedules one router's reads and writes of the stored [`Record`](super::Record) of quarantined requests: those
/// during which backend servers crashed repeatedly, so that routers refuse them for a while instead of sending them to
/// more servers. It determines which call of the platform's store is needed, whether one is in flight, and when the
/// next may be made.
#[derive(Debug)]
pub struct RecordSync {
    /// Modification index of the stored record; `None` if it is not known.
    index: Option<store::Position>,
    read_needed: bool,
    write_needed: bool,
    /// Whether a write is only needed because a restore of the store may have lost the record.
    rewrite_only: bool,
    call_in_flight: bool,
    not_before_ms: u64,
    retry_delay: backoff::Backoff,
}

impl Default for RecordSync {
    fn default() -> Self {
        Self {
            index: None,
            read_needed: true,
            write_needed: false,
            rewrite_only: false,
            call_in_flight: false,
            not_before_ms: 0,
            retry_delay: backoff::Backoff::new(RETRY_DELAY_BASE_MS, RETRY_DELAY_MAX_MS),
        }
    }
}

impl RecordSync {
    /// Schedules another read of the record.
    pub fn schedule_read(&mut self) {
        self.read_needed = true;
    }

    /// Schedules a write of the record.
    pub fn schedule_write(&mut self) {
        self.write_needed = true;
        self.rewrite_only = false;
    }

    /// Schedules a read of the record after a restore of the store, and a write if this router
    /// has requests that the record lacks. A random delay lets one router write for all.
    pub fn handle_store_restored(&mut self, stores_any: bool, now_ms: u64, rng: &mut rngs::StdRng) {
        self.index = None;
        self.call_in_flight = false;
        if stores_any {
            self.read_needed = true;
            self.rewrite_only |= !self.write_needed;
            self.write_needed = true;
            self.not_before_ms = now_ms + rng.random_range(0..REWRITE_SPREAD_MS);
        }
    }

    /// Cancels the rewrite because the stored record is complete.
    pub fn cancel_rewrite(&mut self) {
        self.write_needed &= !self.rewrite_only;
        self.rewrite_only = false;
    }

    /// Whether a call is due.
    pub fn due(&self, now_ms: u64) -> bool {
        let needed = self.read_needed || self.write_needed;
        needed && !self.call_in_flight && now_ms >= self.not_before_ms
    }

    /// Starts the due call: returns the index for a conditional write, or `None` for a read.
    pub fn start(&mut self) -> Option<store::Position> {
        self.call_in_flight = true;
        let index = self.index.filter(|_| self.write_needed && !self.read_needed);
        if index.is_some() {
            self.write_needed = false;
        }
        index
    }

    /// Handles the reply to a call.
    pub fn handle_reply(
        &mut self,
        reply: store::Reply,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Reply {
        self.call_in_flight = false;
        match reply {
            store::Reply::Found { index, value } => {
                self.record_read(index);
                self.not_before_ms = now_ms + READ_INTERVAL_MIN_MS;
                Reply::Value(value)
            }
            store::Reply::Undecodable { index } => {
                self.record_read(index);
                Reply::Undecodable
            }
            store::Reply::Missing { era } => {
                self.record_read(store::Position { era, revision: 0 });
                self.not_before_ms = now_ms + READ_INTERVAL_MIN_MS;
                Reply::Nothing
            }
            store::Reply::WrittenAt { index } => {
                self.index = Some(index);
                self.retry_delay.reset();
                Reply::Nothing
            }
            store::Reply::Written { .. } => {
                self.index = None;
                self.retry_delay.reset();
                Reply::Nothing
            }
            store::Reply::ConflictWith { index, value } => {
                self.record_read(index);
                self.write_needed = true;
                Reply::Value(value)
            }
            store::Reply::Conflict => {
                self.index = None;
                self.write_needed = true;
                Reply::Nothing
            }
            store::Reply::Unknown => {
                // It is not known whether a write was applied, so the record is read before the
                // next one.
                self.write_needed |= !self.read_needed;
                self.index = None;
                self.not_before_ms = now_ms + self.retry_delay.next_delay_ms(rng);
                Reply::Nothing
            }
        }
    }

    fn record_read(&mut self, index: store::Position) {
        self.index = Some(index);
        self.read_needed = false;
        self.retry_delay.reset();
    }
}
