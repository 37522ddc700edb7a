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
    Reading(ids::CallId),
    Creating { call: ids::CallId, segment: log_index::Segment },
}

/// The writer of one shard.
#[derive(Debug)]
pub struct Writer {
    shard: u32,
    writer: ids::Incarnation,
    next: u64,
    index: log_index::Index,
    pending: Vec<Pending>,
    /// A write of `next` with no known end.
    unsettled: Option<log_index::Segment>,
    state: State,
    caught_up: bool,
    backoff: backoff::Backoff,
    not_before_ms: u64,
}

impl Writer {
    /// A writer that has read nothing yet.
    pub fn new(shard: u32, writer: ids::Incarnation) -> Self {
        Self {
            shard,
            writer,
            next: 0,
            index: log_index::Index::default(),
            pending: Vec::new(),
            unsettled: None,
            state: State::Idle,
            caught_up: false,
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
        !self.caught_up
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
            Some(done) if done.verdict == Some(log_index::Verdict::Taken) => self.caught_up = false,
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
        if self.unsettled.is_some() {
            return true;
        }
        self.pending.len() >= SEGMENT_ENTRIES
            || self.pending.iter().any(|pending| now_ms >= pending.due_ms)
    }

    /// The next call: read on until the end of the log is reached, then create a segment.
    pub fn start(&mut self, call: ids::CallId, rng: &mut rngs::StdRng) -> store::Request {
        if !self.caught_up {
            self.state = State::Reading(call);
            return store::Request::Read { key: log_index::key(self.shard, self.next) };
        }
        let segment = self.unsettled.take().unwrap_or_else(|| self.batch(rng));
        let value = segment.encode();
        self.state = State::Creating { call, segment };
        store::Request::Write {
            key: log_index::key(self.shard, self.next),
            expected_index: 0,
            value,
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
            State::Reading(expected) if expected == call => self.on_read(reply, now_ms, rng),
            State::Creating { call: expected, segment } if expected == call => {
                self.on_created(reply, segment, now_ms, rng)
            }
            other => {
                self.state = other;
                Vec::new()
            }
        }
    }

    fn batch(&self, rng: &mut rngs::StdRng) -> log_index::Segment {
        let mut entries: Vec<log_index::Entry> = Vec::new();
        for pending in &self.pending {
            if entries.len() < SEGMENT_ENTRIES && !entries.contains(&pending.entry) {
                entries.push(pending.entry.clone());
            }
        }
        log_index::Segment { writer: self.writer, nonce: rng.random(), entries }
    }

    fn on_read(&mut self, reply: store::Reply, now_ms: u64, rng: &mut rngs::StdRng) -> Vec<Done> {
        match reply {
            store::Reply::Found { value, .. } => match log_index::Segment::decode(&value) {
                Ok(segment) => {
                    self.backoff.reset();
                    self.unsettled = None;
                    self.take_in(&segment)
                }
                // Going on past a segment that can't be read could run a claim twice.
                Err(_) => self.fail(now_ms, rng),
            },
            store::Reply::Missing => {
                self.backoff.reset();
                self.caught_up = true;
                self.answer_pending()
            }
            _ => self.fail(now_ms, rng),
        }
    }

    fn on_created(
        &mut self,
        reply: store::Reply,
        segment: log_index::Segment,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Vec<Done> {
        match reply {
            store::Reply::Written => {
                self.backoff.reset();
                self.take_in(&segment)
            }
            store::Reply::Conflict => {
                // Somebody's segment, perhaps this one written before its reply was lost.
                self.caught_up = false;
                Vec::new()
            }
            _ => {
                self.unsettled = Some(segment);
                self.caught_up = false;
                self.fail(now_ms, rng)
            }
        }
    }

    fn fail(&mut self, now_ms: u64, rng: &mut rngs::StdRng) -> Vec<Done> {
        self.not_before_ms = now_ms + self.backoff.next_delay_ms(rng);
        Vec::new()
    }

    /// Takes in the segment numbered `next` and answers what it decides.
    fn take_in(&mut self, segment: &log_index::Segment) -> Vec<Done> {
        self.next += 1;
        for entry in &segment.entries {
            self.index.apply(entry);
        }
        self.answer_pending()
    }

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
        let verdict = match entry {
            log_index::Entry::Claim(claim) => Some(self.index.verdict(claim)?),
            other if !self.index.contains(other) => return None,
            _ => None,
        };
        // While reading on, the end of another attempt may still be ahead.
        if verdict == Some(log_index::Verdict::Taken) && !self.caught_up {
            return None;
        }
        Some(Done { entry: entry.clone(), waiter, verdict })
    }
}
