//! Appends to one shard of the log, in batches, and answers when an entry is durable.
//!
//! A batch becomes the next segment by a write that succeeds only where no segment is yet. The loser
//! of a race reads the winner's segment, takes it in and goes on with the next number. A write with
//! no reply is settled by reading: the segment is this writer's, another's, or still free.

use crate::{backoff, ids, log_index, store};
use rand::RngExt;
use rand::rngs;

/// The most entries in one segment: they fit a value of the store with room to spare.
pub const SEGMENT_ENTRIES: usize = 1_000;
/// The largest checkpoint: it fits a value of the store with room to spare.
const CHECKPOINT_BYTES_MAX: usize = 900_000;
const BACKOFF_BASE_MS: u64 = 20;
const BACKOFF_LIMIT_MS: u64 = 2_000;
/// How long entries that nobody waits for may gather.
const GATHER_MS: u64 = 1_000;

/// Who waits for an entry to become durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiter {
    /// A request of this router.
    Local(ids::RequestSlot),
    /// Another router.
    Peer(ids::Incarnation),
    /// This router's own list of settlements that are not durable.
    Outbox,
}

/// How soon an entry is to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A caller waits for it.
    Waited,
    /// It may gather with others for a while: another router has it too.
    Gather,
}

/// An entry that became durable, or that the log already answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done {
    /// The entry.
    pub entry: log_index::Entry,
    /// Who waits.
    pub waiter: Waiter,
    /// For a claim: whether it may run.
    pub verdict: Option<log_index::Verdict>,
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
    Loading(ids::CallId),
    Reading(ids::CallId),
    Creating { call: ids::CallId, segment: log_index::Segment },
    Verifying(ids::CallId),
    Saving { call: ids::CallId, upto: u64 },
    Clearing(ids::CallId),
}

/// How much of the log is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Knowledge {
    /// The checkpoint is not read.
    None,
    /// Segments may follow.
    Behind,
    /// At the end, but what was read or created may have been below a newer checkpoint.
    Unverified,
    /// At the end, and none of it was.
    Verified,
}

/// The writer of one shard.
///
/// Old segments are cleared once a checkpoint holds what they say. A segment number that was cleared
/// could be created again by a writer that slept; so nothing that was read or created counts until
/// the checkpoint, read afterwards, does not lie beyond it.
#[derive(Debug)]
pub struct Writer {
    shard: u32,
    writer: ids::Incarnation,
    epoch_segments: u64,
    next: u64,
    index: log_index::Index,
    pending: Vec<Pending>,
    /// A write of `next` with no known end.
    unsettled: Option<log_index::Segment>,
    state: State,
    knowledge: Knowledge,
    /// The first segment taken in since the last verification.
    unverified_from: Option<u64>,
    checkpoint_index: store::Position,
    checkpoint_upto: u64,
    /// Epochs that a saved checkpoint has made superfluous.
    superfluous: Vec<u64>,
    backoff: backoff::Backoff,
    not_before_ms: u64,
}

impl Writer {
    /// A writer that has read nothing yet.
    pub fn new(shard: u32, writer: ids::Incarnation, epoch_segments: u64) -> Self {
        Self {
            shard,
            writer,
            epoch_segments: epoch_segments.max(1),
            next: 0,
            index: log_index::Index::default(),
            pending: Vec::new(),
            unsettled: None,
            state: State::Idle,
            knowledge: Knowledge::None,
            unverified_from: None,
            checkpoint_index: store::Position::START,
            checkpoint_upto: 0,
            superfluous: Vec::new(),
            backoff: backoff::Backoff::new(BACKOFF_BASE_MS, BACKOFF_LIMIT_MS),
            not_before_ms: 0,
        }
    }

    /// What the segments read so far say.
    pub fn index(&self) -> &log_index::Index {
        &self.index
    }

    /// Entries that are not durable yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// How many calls failed since one succeeded.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Whether the next call is a read.
    pub fn reads_next(&self) -> bool {
        self.knowledge != Knowledge::Verified
    }

    /// Adds an entry, to be written soon, or at once if a caller waits for it. A claim that the log
    /// already decides is answered right away.
    pub fn append(
        &mut self,
        entry: log_index::Entry,
        waiter: Waiter,
        urgency: Urgency,
        now_ms: u64,
    ) -> Option<Done> {
        match self.answer(&entry, waiter) {
            // The holder may have ended since this router last read: read on before saying so.
            Some(done) if done.verdict == Some(log_index::Verdict::Taken) => {
                self.knowledge = Knowledge::Behind;
            }
            Some(done) => return Some(done),
            None => {}
        }
        let due_ms = match urgency {
            Urgency::Waited => now_ms,
            Urgency::Gather => now_ms + GATHER_MS,
        };
        let mut same = self.pending.iter_mut().filter(|other| other.waiter == waiter);
        match same.find(|other| other.entry == entry) {
            Some(known) => known.due_ms = known.due_ms.min(due_ms),
            None => self.pending.push(Pending { entry, waiter, due_ms }),
        }
        None
    }

    /// Withdraws a claim that its request no longer waits for. It may be durable all the same.
    pub fn forget(&mut self, slot: ids::RequestSlot) {
        self.pending.retain(|pending| pending.waiter != Waiter::Local(slot));
    }

    /// Whether there is something to read or write now.
    pub fn due(&self, now_ms: u64) -> bool {
        if !matches!(self.state, State::Idle) || now_ms < self.not_before_ms {
            return false;
        }
        let created = self.knowledge == Knowledge::Unverified && !self.pending.is_empty();
        if self.unsettled.is_some() || created || self.save_due() || !self.superfluous.is_empty() {
            return true;
        }
        self.pending.len() >= SEGMENT_ENTRIES
            || self.pending.iter().any(|pending| now_ms >= pending.due_ms)
    }

    /// The next call: read on until the end of the log is reached, then create a segment.
    pub fn start(
        &mut self,
        call: ids::CallId,
        clock_s: u64,
        rng: &mut rngs::StdRng,
    ) -> store::Request {
        match self.knowledge {
            Knowledge::None => {
                self.state = State::Loading(call);
                store::Request::Read { key: log_index::checkpoint_key(self.shard) }
            }
            Knowledge::Behind => {
                self.state = State::Reading(call);
                store::Request::Read {
                    key: log_index::key(self.shard, self.next, self.epoch_segments),
                }
            }
            Knowledge::Unverified => {
                self.state = State::Verifying(call);
                store::Request::Read { key: log_index::checkpoint_key(self.shard) }
            }
            Knowledge::Verified => self.start_write(call, clock_s, rng),
        }
    }

    /// Takes a reply; returns what became durable.
    pub fn reply(
        &mut self,
        call: ids::CallId,
        reply: store::Reply,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Vec<Done> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Loading(expected) if expected == call => self.on_loaded(reply, now_ms, rng),
            State::Reading(expected) if expected == call => self.on_read(reply, now_ms, rng),
            State::Creating { call: expected, segment } if expected == call => {
                self.on_created(reply, segment, now_ms, rng)
            }
            State::Verifying(expected) if expected == call => {
                return self.on_verified(reply, now_ms, rng);
            }
            State::Saving { call: expected, upto } if expected == call => {
                self.on_saved(reply, upto, now_ms, rng)
            }
            State::Clearing(expected) if expected == call => self.on_cleared(reply, now_ms, rng),
            // A late reply to a call that was given up.
            other => self.state = other,
        }
        Vec::new()
    }

    fn start_write(
        &mut self,
        call: ids::CallId,
        clock_s: u64,
        rng: &mut rngs::StdRng,
    ) -> store::Request {
        if self.save_due() && self.unsettled.is_none() {
            let value = self.index.checkpoint(self.next).encode();
            if value.len() <= CHECKPOINT_BYTES_MAX {
                self.state = State::Saving { call, upto: self.next };
                let key = log_index::checkpoint_key(self.shard);
                let expected_index = self.checkpoint_index;
                return store::Request::Write {
                    key,
                    expected_index,
                    value,
                    sets_era_marker: false,
                };
            }
            // Too much to remember for one value: the segments stay, and are read one by one.
            self.checkpoint_upto = self.next;
        }
        if let Some(epoch) = self.superfluous.last().copied() {
            self.state = State::Clearing(call);
            let prefix = log_index::epoch_prefix(self.shard, epoch);
            return store::Request::DeletePrefix { prefix };
        }
        let segment = self.unsettled.take().unwrap_or_else(|| self.batch(clock_s, rng));
        let value = segment.encode();
        self.state = State::Creating { call, segment };
        let key = log_index::key(self.shard, self.next, self.epoch_segments);
        let expected_index = store::Position::START;
        store::Request::Write { key, expected_index, value, sets_era_marker: false }
    }

    fn save_due(&self) -> bool {
        let since = self.next.saturating_sub(self.checkpoint_upto);
        self.knowledge == Knowledge::Verified && since >= self.epoch_segments
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

    fn on_loaded(&mut self, reply: store::Reply, now_ms: u64, rng: &mut rngs::StdRng) {
        match reply {
            store::Reply::Found { index, value } => {
                match log_index::Checkpoint::decode(&value) {
                    Ok(checkpoint) => {
                        self.checkpoint_index = index;
                        self.checkpoint_upto = checkpoint.upto;
                        self.next = checkpoint.upto;
                        self.index = checkpoint.restore();
                        self.know(Knowledge::Behind);
                    }
                    // Going on without it could run a claim twice.
                    Err(_) => self.fail(now_ms, rng),
                }
            }
            store::Reply::Missing { .. } => {
                self.next = 0;
                self.index = log_index::Index::default();
                self.know(Knowledge::Behind);
            }
            _ => self.fail(now_ms, rng),
        }
    }

    fn on_read(&mut self, reply: store::Reply, now_ms: u64, rng: &mut rngs::StdRng) {
        match reply {
            store::Reply::Found { value, .. } => match log_index::Segment::decode(&value) {
                Ok(segment) => {
                    self.unsettled = None;
                    self.take_in(&segment);
                    self.know(Knowledge::Behind);
                }
                // Going on past a segment that can't be read could run a claim twice.
                Err(_) => self.fail(now_ms, rng),
            },
            store::Reply::Missing { .. } => self.know(Knowledge::Unverified),
            _ => self.fail(now_ms, rng),
        }
    }

    fn on_created(
        &mut self,
        reply: store::Reply,
        segment: log_index::Segment,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) {
        match reply {
            store::Reply::Written { .. } => {
                self.take_in(&segment);
                self.know(Knowledge::Unverified);
            }
            // Somebody's segment, perhaps this one written before its reply was lost.
            store::Reply::Conflict => self.know(Knowledge::Behind),
            _ => {
                self.unsettled = Some(segment);
                self.knowledge = Knowledge::Behind;
                self.fail(now_ms, rng);
            }
        }
    }

    fn on_verified(
        &mut self,
        reply: store::Reply,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Vec<Done> {
        let (index, upto) = match reply {
            store::Reply::Found { index, value } => match log_index::Checkpoint::decode(&value) {
                Ok(checkpoint) => (index, checkpoint.upto),
                Err(_) => {
                    self.fail(now_ms, rng);
                    return Vec::new();
                }
            },
            store::Reply::Missing { .. } => (store::Position::START, 0),
            _ => {
                self.fail(now_ms, rng);
                return Vec::new();
            }
        };
        if upto > self.unverified_from.unwrap_or(self.next) {
            // The log went on without this writer: what it took in may not be the log.
            self.unsettled = None;
            self.know(Knowledge::None);
            return Vec::new();
        }
        self.checkpoint_index = index;
        self.checkpoint_upto = self.checkpoint_upto.max(upto);
        self.know(Knowledge::Verified);
        self.answer_pending()
    }

    fn on_saved(&mut self, reply: store::Reply, upto: u64, now_ms: u64, rng: &mut rngs::StdRng) {
        match reply {
            store::Reply::Written { .. } => {
                let epoch = upto / self.epoch_segments;
                // Two, because the saver before may have died before it cleared.
                self.superfluous = (epoch.saturating_sub(2)..epoch).collect();
                self.checkpoint_upto = upto;
                self.know(Knowledge::Unverified);
            }
            store::Reply::Conflict => self.know(Knowledge::Unverified),
            _ => {
                self.knowledge = Knowledge::Unverified;
                self.fail(now_ms, rng);
            }
        }
    }

    fn on_cleared(&mut self, reply: store::Reply, now_ms: u64, rng: &mut rngs::StdRng) {
        match reply {
            store::Reply::Written { .. } => {
                self.superfluous.pop();
                self.backoff.reset();
            }
            _ => self.fail(now_ms, rng),
        }
    }

    fn know(&mut self, knowledge: Knowledge) {
        self.knowledge = knowledge;
        self.backoff.reset();
        if matches!(knowledge, Knowledge::Verified | Knowledge::None) {
            self.unverified_from = None;
        }
    }

    fn fail(&mut self, now_ms: u64, rng: &mut rngs::StdRng) {
        self.not_before_ms = now_ms + self.backoff.next_delay_ms(rng);
    }

    /// Takes in the segment numbered `next`.
    fn take_in(&mut self, segment: &log_index::Segment) {
        self.unverified_from.get_or_insert(self.next);
        self.next += 1;
        self.index.apply_segment(segment);
    }

    /// Answers what the verified log decides.
    fn answer_pending(&mut self) -> Vec<Done> {
        let mut done = Vec::new();
        let pending = std::mem::take(&mut self.pending);
        for waiting in pending {
            match self.answer(&waiting.entry, waiting.waiter) {
                Some(answer) => done.push(answer),
                None => self.pending.push(waiting),
            }
        }
        done
    }

    fn answer(&self, entry: &log_index::Entry, waiter: Waiter) -> Option<Done> {
        if self.knowledge != Knowledge::Verified {
            return None;
        }
        let verdict = match entry {
            log_index::Entry::Claim(claim) => Some(self.index.verdict(claim)?),
            other if !self.index.contains(other) => return None,
            _ => None,
        };
        Some(Done { entry: entry.clone(), waiter, verdict })
    }
}
