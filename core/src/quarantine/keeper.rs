//! When a router reads and writes what the store keeps: it reads after its start, and where it misses routers after a
//! crash that it saw; it writes after such a crash has put a request into quarantine, or an operator took one out.

use crate::{backoff, store};
use rand::{RngExt, rngs};

/// Pauses after calls that failed.
const PAUSE_FIRST_MS: u64 = 500;
const PAUSE_LONGEST_MS: u64 = 10_000;
/// Routers spread their rewrites after a restore of the store over this time.
const REWRITE_SPREAD_MS: u64 = 3_000;
/// Crashes that come together cost one read.
const READ_AGAIN_MS: u64 = 500;

/// What the store's reply says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// This lies there.
    Value(Vec<u8>),
    /// What lies there is not encoded as the store encodes values.
    Undecodable,
    /// Nothing that is new here.
    Nothing,
}

/// The calls of one router for the record.
#[derive(Debug)]
pub struct Keeper {
    /// The modification index of what lies there; `None` if it is not known.
    index: Option<store::Position>,
    read_wanted: bool,
    write_wanted: bool,
    /// The write is wanted only because a restore of the store may have lost the record.
    rewrite_only: bool,
    calling: bool,
    not_before_ms: u64,
    pause: backoff::Backoff,
}

impl Default for Keeper {
    fn default() -> Self {
        Self {
            index: None,
            read_wanted: true,
            write_wanted: false,
            rewrite_only: false,
            calling: false,
            not_before_ms: 0,
            pause: backoff::Backoff::new(PAUSE_FIRST_MS, PAUSE_LONGEST_MS),
        }
    }
}

impl Keeper {
    /// Has the record read once more.
    pub fn want_read(&mut self) {
        self.read_wanted = true;
    }

    /// Has the record written.
    pub fn want_write(&mut self) {
        self.write_wanted = true;
        self.rewrite_only = false;
    }

    /// Schedules a read of the record after a restore of the store, and a write if this router quarantines requests
    /// that the record lacks. A random delay lets one router write for all.
    pub fn store_restored(&mut self, quarantines_any: bool, now_ms: u64, rng: &mut rngs::StdRng) {
        self.index = None;
        self.calling = false;
        if quarantines_any {
            self.read_wanted = true;
            self.rewrite_only |= !self.write_wanted;
            self.write_wanted = true;
            self.not_before_ms = now_ms + rng.random_range(0..REWRITE_SPREAD_MS);
        }
    }

    /// Cancels the rewrite because the stored record is complete.
    pub fn cancel_rewrite(&mut self) {
        self.write_wanted &= !self.rewrite_only;
        self.rewrite_only = false;
    }

    /// Whether a call is due.
    pub fn due(&self, now_ms: u64) -> bool {
        let wanted = self.read_wanted || self.write_wanted;
        wanted && !self.calling && now_ms >= self.not_before_ms
    }

    /// Starts the call that is due: the index to write at, or `None` for a read.
    pub fn start(&mut self) -> Option<store::Position> {
        self.calling = true;
        let index = self.index.filter(|_| self.write_wanted && !self.read_wanted);
        if index.is_some() {
            self.write_wanted = false;
        }
        index
    }

    /// Takes the reply to a call.
    pub fn reply(&mut self, reply: store::Reply, now_ms: u64, rng: &mut rngs::StdRng) -> Reply {
        self.calling = false;
        match reply {
            store::Reply::Found { index, value } => {
                self.has_read(index);
                self.not_before_ms = now_ms + READ_AGAIN_MS;
                Reply::Value(value)
            }
            store::Reply::Undecodable { index } => {
                self.has_read(index);
                Reply::Undecodable
            }
            store::Reply::Missing { era } => {
                self.has_read(store::Position { era, revision: 0 });
                self.not_before_ms = now_ms + READ_AGAIN_MS;
                Reply::Nothing
            }
            store::Reply::WrittenAt { index } => {
                self.index = Some(index);
                self.pause.reset();
                Reply::Nothing
            }
            store::Reply::Written { .. } => {
                self.index = None;
                self.pause.reset();
                Reply::Nothing
            }
            store::Reply::ConflictWith { index, value } => {
                self.has_read(index);
                self.write_wanted = true;
                Reply::Value(value)
            }
            store::Reply::Conflict => {
                self.index = None;
                self.write_wanted = true;
                Reply::Nothing
            }
            store::Reply::Unknown => {
                // A write may have been done or not: what lies there is read before the next.
                self.write_wanted |= !self.read_wanted;
                self.index = None;
                self.not_before_ms = now_ms + self.pause.next_delay_ms(rng);
                Reply::Nothing
            }
        }
    }

    fn has_read(&mut self, index: store::Position) {
        self.index = Some(index);
        self.read_wanted = false;
        self.pause.reset();
    }
}
