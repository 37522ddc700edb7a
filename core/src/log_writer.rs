//! Appends entries to one shard of the log, in batches, and reports when an entry is durable.
//!
//! A batch becomes the next segment by a write that succeeds only if the segment doesn't exist yet. A writer that loses
//! the race reads the winner's segment, applies it and continues with the next number. A write without a reply is
//! resolved by a read: the segment is this writer's, another writer's, or still absent.

mod replies;

use crate::{backoff, ids, log_index, store};
use rand::RngExt;
use rand::rngs;

/// The maximum number of entries in one segment, so that a segment is well below the size limit of a value in the
/// store.
pub const SEGMENT_ENTRIES: usize = 1_000;
/// The largest checkpoint, in bytes; well below the size limit of a value in the store.
const CHECKPOINT_BYTES_MAX: usize = 900_000;
/// The first delay after a failed call.
const BACKOFF_BASE_MS: u64 = 20;
/// The longest delay after failed calls.
const BACKOFF_LIMIT_MS: u64 = 2_000;
/// How long an entry that no caller waits for may be delayed, so that more entries are written together.
const BATCH_DELAY_MS: u64 = 1_000;

/// The recipient of the [`Completed`] report on an entry of the log, once it is durable, that is, in the platform's
/// store. An entry is a claim (of the sole right to run a request), the release of one, or a settlement (what a request
/// cost). The recipient is the request that needs the entry, the router that sent it, or this router itself, which
/// hands over the settlements of the requests that it served until they are durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiter {
    /// A request that this router serves, and that waits for the decision on its claim.
    Local(ids::RequestSlot),
    /// Another router, which sent the entry.
    Peer(ids::Incarnation),
    /// This router itself, which keeps a settlement in its [`crate::outbox::Outbox`] until it is durable. Nothing waits
    /// for a release of a claim, which has this waiter too.
    Outbox,
}

/// Whether an entry of the log of claims (of the sole right to run a request) and settlements (what a request cost) is
/// written to the store at once, because a caller waits for it, or may be delayed and written together with others. The
/// router sets it for each entry that it appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A caller waits for it.
    Immediate,
    /// It may be delayed and written with others, because no caller waits for it.
    Batched,
}

/// The report of a [`Writer`] that an entry is durable in the log, where routers record who may run a request (a claim)
/// and what it cost, or that the log already decides the claim in it. For a claim it contains whether the request may
/// run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completed {
    /// The entry that was to be appended.
    pub entry: log_index::Entry,
    /// The recipient of this report.
    pub waiter: Waiter,
    /// For a claim, whether its request may run; `None` for other entries.
    pub verdict: Option<log_index::ClaimVerdict>,
}

#[derive(Debug)]
struct Pending {
    entry: log_index::Entry,
    waiter: Waiter,
    due_ms: u64,
}

#[derive(Debug)]
enum State {
    Idle,
    LoadingCheckpoint(ids::CallId),
    ReadingSegment(ids::CallId),
    CreatingSegment { call: ids::CallId, segment: log_index::Segment },
    VerifyingCheckpoint(ids::CallId),
    SavingCheckpoint { call: ids::CallId, upto: u64 },
    DeletingEpoch(ids::CallId),
}

/// How far this writer has read the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadState {
    /// The checkpoint has not been read yet.
    None,
    /// Segments that have not been read yet may follow.
    Behind,
    /// The end was reached, but segments that were read or created may precede a newer checkpoint.
    Unverified,
    /// The end was reached, and none of them precedes the checkpoint.
    Verified,
}

/// One router's writer of one shard (part) of the log of claims (of the sole right to run a request) and settlements
/// (what a request cost): it appends entries to the shard in the store and reports when they are durable.
///
/// Old segments are deleted once a checkpoint contains their entries. A writer that was suspended could create a
/// deleted segment number again. Segments that were read or created are therefore not relied on until a later read of
/// the checkpoint shows that it doesn't extend beyond them.
#[derive(Debug)]
pub struct Writer {
    shard: u32,
    writer: ids::Incarnation,
    epoch_segments: u64,
    next: u64,
    index: log_index::Index,
    pending: Vec<Pending>,
    /// The segment of a write of `next` whose result is unknown.
    unresolved: Option<log_index::Segment>,
    state: State,
    read_state: ReadState,
    /// The number of the first segment applied since the last verification.
    unverified_from: Option<u64>,
    checkpoint_index: store::Position,
    checkpoint_upto: u64,
    /// Epochs whose segments are contained in a saved checkpoint and can be deleted.
    obsolete_epochs: Vec<u64>,
    backoff: backoff::Backoff,
    not_before_ms: u64,
}

impl Writer {
    /// Returns a writer that has not read the log yet.
    pub fn new(shard: u32, writer: ids::Incarnation, epoch_segments: u64) -> Self {
        Self {
            shard,
            writer,
            epoch_segments: epoch_segments.max(1),
            next: 0,
            index: log_index::Index::default(),
            pending: Vec::new(),
            unresolved: None,
            state: State::Idle,
            read_state: ReadState::None,
            unverified_from: None,
            checkpoint_index: store::Position::START,
            checkpoint_upto: 0,
            obsolete_epochs: Vec::new(),
            backoff: backoff::Backoff::new(BACKOFF_BASE_MS, BACKOFF_LIMIT_MS),
            not_before_ms: 0,
        }
    }

    /// Returns the index of the segments read so far.
    pub fn index(&self) -> &log_index::Index {
        &self.index
    }

    /// Returns the number of entries that are not durable yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of calls that failed since the last successful one.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Returns whether the next call is a read.
    pub fn reads_next(&self) -> bool {
        self.read_state != ReadState::Verified
    }

    /// Adds an entry, which is written at once if a caller waits for it, otherwise after a delay. Returns the result if
    /// the log already contains the entry or decides the claim.
    pub fn append(
        &mut self,
        entry: log_index::Entry,
        waiter: Waiter,
        urgency: Urgency,
        now_ms: u64,
    ) -> Option<Completed> {
        match self.completed(&entry, waiter) {
            // The attempt with the claim may have ended since the last read: read further before reporting it.
            Some(done) if done.verdict == Some(log_index::ClaimVerdict::Taken) => {
                self.read_state = ReadState::Behind;
            }
            Some(done) => return Some(done),
            None => {}
        }
        let due_ms = match urgency {
            Urgency::Immediate => now_ms,
            Urgency::Batched => now_ms + BATCH_DELAY_MS,
        };
        let mut of_waiter = self.pending.iter_mut().filter(|pending| pending.waiter == waiter);
        match of_waiter.find(|pending| pending.entry == entry) {
            Some(existing) => existing.due_ms = existing.due_ms.min(due_ms),
            None => self.pending.push(Pending { entry, waiter, due_ms }),
        }
        None
    }

    /// Discards the pending claim of a request that no longer waits for it. The claim may already be in the log.
    pub fn withdraw_claim(&mut self, slot: ids::RequestSlot) {
        self.pending.retain(|pending| pending.waiter != Waiter::Local(slot));
    }

    /// Returns whether a call to the store is due.
    pub fn due(&self, now_ms: u64) -> bool {
        if !matches!(self.state, State::Idle) || now_ms < self.not_before_ms {
            return false;
        }
        let must_verify = self.read_state == ReadState::Unverified && !self.pending.is_empty();
        if self.unresolved.is_some()
            || must_verify
            || self.checkpoint_due()
            || !self.obsolete_epochs.is_empty()
        {
            return true;
        }
        self.pending.len() >= SEGMENT_ENTRIES
            || self.pending.iter().any(|pending| now_ms >= pending.due_ms)
    }

    /// Starts the next call: reads until the end of the log is reached, then creates a segment.
    pub fn start(
        &mut self,
        call: ids::CallId,
        clock_s: u64,
        rng: &mut rngs::StdRng,
    ) -> store::Request {
        match self.read_state {
            ReadState::None => {
                self.state = State::LoadingCheckpoint(call);
                store::Request::Read { key: log_index::checkpoint_key(self.shard) }
            }
            ReadState::Behind => {
                self.state = State::ReadingSegment(call);
                store::Request::Read {
                    key: log_index::key(self.shard, self.next, self.epoch_segments),
                }
            }
            ReadState::Unverified => {
                self.state = State::VerifyingCheckpoint(call);
                store::Request::Read { key: log_index::checkpoint_key(self.shard) }
            }
            ReadState::Verified => self.start_write(call, clock_s, rng),
        }
    }

    fn start_write(
        &mut self,
        call: ids::CallId,
        clock_s: u64,
        rng: &mut rngs::StdRng,
    ) -> store::Request {
        if self.checkpoint_due() && self.unresolved.is_none() {
            let value = self.index.checkpoint(self.next).encode();
            if value.len() <= CHECKPOINT_BYTES_MAX {
                self.state = State::SavingCheckpoint { call, upto: self.next };
                let key = log_index::checkpoint_key(self.shard);
                let expected_index = self.checkpoint_index;
                return store::Request::Write {
                    key,
                    expected_index,
                    value,
                    sets_era_marker: false,
                };
            }
            // The checkpoint is too large for one value, so the segments are kept and read one by one.
            self.checkpoint_upto = self.next;
        }
        if let Some(epoch) = self.obsolete_epochs.last().copied() {
            self.state = State::DeletingEpoch(call);
            let prefix = log_index::epoch_prefix(self.shard, epoch);
            return store::Request::DeletePrefix { prefix };
        }
        let segment = self.unresolved.take().unwrap_or_else(|| self.batch(clock_s, rng));
        let value = segment.encode();
        self.state = State::CreatingSegment { call, segment };
        let key = log_index::key(self.shard, self.next, self.epoch_segments);
        let expected_index = store::Position::START;
        store::Request::Write { key, expected_index, value, sets_era_marker: false }
    }

    fn checkpoint_due(&self) -> bool {
        let since = self.next.saturating_sub(self.checkpoint_upto);
        self.read_state == ReadState::Verified && since >= self.epoch_segments
    }

    fn batch(&self, clock_s: u64, rng: &mut rngs::StdRng) -> log_index::Segment {
        let mut entries: Vec<log_index::Entry> = Vec::new();
        for pending in &self.pending {
            if entries.len() < SEGMENT_ENTRIES && !entries.contains(&pending.entry) {
                entries.push(pending.entry.clone());
            }
        }
        let nonce = rng.random();
        log_index::Segment { writer: self.writer, nonce, written_s: clock_s, entries }
    }
}
