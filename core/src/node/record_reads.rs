//! Reads of the store's record of versions for streams whose origin no router knows.
//!
//! A version is in the record before a stream begins at it. A read that began after a client took a stream up therefore
//! shows each version that can have written it, whatever this router has missed before. A router that does not reach the
//! store has peers read for it; what a peer knows without such a read proves nothing, as it may be cut off too.

use super::{Node, platform};
use crate::{ids, message, store, version_record};
use rand::seq::IteratorRandom;
use std::collections;

/// Time after which a read without a result is abandoned.
pub(super) const READ_TIMEOUT_MS: u64 = 400;
/// Minimum interval between the beginnings of reads.
const READ_INTERVAL_MS: u64 = 20;
/// Time after which a read counts as slow: peers are asked to read as well, and more routers for the origin.
pub(super) const SLOW_READ_MS: u64 = 80;
/// Time after which a request to a peer that has not replied is repeated.
const REQUEST_REPEAT_MS: u64 = 60;
/// Time for which the store may be out of reach after a read has failed. Polls tell if it lasts.
const FAILURE_REMEMBERED_MS: u64 = 5_000;
/// Number of peers that are asked.
const PEERS_ASKED_MAX: usize = 3;

/// The number of a read. The reads of one router are numbered in the order in which they begin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReadNumber(u64);

/// The state of this router's own call for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnCall {
    Pending(ids::CallId),
    Failed,
}

/// A read that has no result yet.
#[derive(Debug)]
struct Read {
    begun_ms: u64,
    own_call: OwnCall,
    /// The number of the requests to peers, and the peers that have not replied; `None` before they are asked.
    peers: Option<(u64, collections::BTreeSet<ids::Incarnation>)>,
    asked_ms: u64,
}

impl Read {
    fn is_pending(&self, now_ms: u64) -> bool {
        let peers_pending = self.peers.as_ref().is_some_and(|(_, pending)| !pending.is_empty());
        (self.own_call != OwnCall::Failed || peers_pending)
            && now_ms < self.begun_ms + READ_TIMEOUT_MS
    }
}

/// A peer that waits for a read which begins after its request.
#[derive(Debug)]
struct WaitingPeer {
    router: ids::Incarnation,
    /// The peer's number for its request.
    number: u64,
    after: ReadNumber,
    since_ms: u64,
}

/// The reads of the record that searches and peers wait for.
#[derive(Debug, Default)]
pub(super) struct RecordReads {
    last_begun: ReadNumber,
    last_begun_ms: Option<u64>,
    last_succeeded: ReadNumber,
    last_failed: ReadNumber,
    last_failed_ms: u64,
    reads: collections::BTreeMap<ReadNumber, Read>,
    waiting_peers: Vec<WaitingPeer>,
}

impl RecordReads {
    /// The last read that has begun.
    pub(super) fn last_begun(&self) -> ReadNumber {
        self.last_begun
    }

    /// Numbers a read that begins now.
    pub(super) fn begin(&mut self) -> ReadNumber {
        self.last_begun.0 += 1;
        self.last_begun
    }

    /// Records that a read has shown the record.
    pub(super) fn record_success(&mut self, read: Option<ReadNumber>) {
        self.last_succeeded = self.last_succeeded.max(read.unwrap_or_default());
    }

    /// Whether a read that began after `read` has shown the record.
    pub(super) fn has_succeeded_after(&self, read: ReadNumber) -> bool {
        self.last_succeeded > read
    }

    /// Whether a read that began after `read` has failed, at this router and at the peers that it asked.
    pub(super) fn has_failed_after(&self, read: ReadNumber) -> bool {
        self.last_failed > read
    }

    /// Whether the store may be out of reach, as the last read that ended has just failed.
    pub(super) fn may_be_out_of_reach(&self, now_ms: u64) -> bool {
        self.last_failed > self.last_succeeded
            && now_ms < self.last_failed_ms + FAILURE_REMEMBERED_MS
    }

    fn is_covered(&self, after: ReadNumber) -> bool {
        self.reads.keys().any(|number| *number > after)
    }
}

impl Node {
    /// Reads the record unless a read that began after `after` is under way.
    pub(super) fn read_record_after(&mut self, after: ReadNumber, now_ms: u64) {
        let state = &mut self.record_reads;
        let may_begin =
            state.last_begun_ms.is_none_or(|begun_ms| now_ms >= begun_ms + READ_INTERVAL_MS);
        if state.is_covered(after) || !may_begin || !self.read_limiter.try_take(now_ms) {
            return;
        }
        state.last_begun_ms = Some(now_ms);
        let number = state.begin();
        let call = self.register_call(platform::Purpose::RecordRead);
        let read =
            Read { begun_ms: now_ms, own_call: OwnCall::Pending(call), peers: None, asked_ms: 0 };
        self.record_reads.reads.insert(number, read);
        let key = version_record::KEY.to_owned();
        self.send_store_call(call, store::Request::Read { key });
    }

    /// Begins the reads that peers wait for, asks peers where the store does not answer, and ends reads without a result.
    pub(super) fn tick_record_reads(&mut self, now_ms: u64) {
        let waiting = &mut self.record_reads.waiting_peers;
        waiting.retain(|peer| now_ms < peer.since_ms + READ_TIMEOUT_MS);
        let waiting = waiting.iter().map(|peer| peer.after).max();
        if let Some(after) = waiting {
            self.read_record_after(after, now_ms);
        }
        let numbers: Vec<ReadNumber> = self.record_reads.reads.keys().copied().collect();
        for number in numbers {
            self.ask_peers_to_read(number, now_ms);
            self.end_read_without_result(number, now_ms);
        }
    }

    /// Handles the store's reply to this router's own call for a read.
    pub(super) fn handle_record_read_reply(
        &mut self,
        call: ids::CallId,
        reply: store::Reply,
        now_ms: u64,
    ) {
        let mut reads = self.record_reads.reads.iter();
        let found = reads.find(|(_, read)| read.own_call == OwnCall::Pending(call));
        let Some(number) = found.map(|(number, _)| *number) else { return };
        match self.apply_record_reply(reply, number, now_ms) {
            true => self.complete_read(number, now_ms),
            false => {
                if let Some(read) = self.record_reads.reads.get_mut(&number) {
                    read.own_call = OwnCall::Failed;
                }
                self.refuse_waiting_peers(number);
                self.ask_peers_to_read(number, now_ms);
                self.end_read_without_result(number, now_ms);
            }
        }
    }

    /// Reads the record for a peer that does not reach the store.
    pub(super) fn handle_record_request(
        &mut self,
        from: ids::Incarnation,
        number: u64,
        now_ms: u64,
    ) {
        let state = &mut self.record_reads;
        let is_known = |waiting: &WaitingPeer| (waiting.router, waiting.number) == (from, number);
        if state.waiting_peers.iter().any(is_known) {
            return;
        }
        let after = state.last_begun;
        state.waiting_peers.push(WaitingPeer { router: from, number, after, since_ms: now_ms });
        self.read_record_after(after, now_ms);
    }

    /// Handles what a peer has read.
    pub(super) fn handle_record_reply_of_peer(
        &mut self,
        from: ids::Incarnation,
        request: u64,
        copy: Option<version_record::Copy>,
        now_ms: u64,
    ) {
        let mut reads = self.record_reads.reads.iter_mut();
        let found = reads.find_map(|(number, read)| {
            let (asked, pending) = read.peers.as_mut()?;
            (*asked == request && pending.remove(&from)).then_some(*number)
        });
        let Some(number) = found else { return };
        match copy.filter(|copy| copy.position.era == self.store_era()) {
            Some(copy) => {
                self.adopt_version_record(copy, now_ms);
                self.complete_read(number, now_ms);
            }
            None => self.end_read_without_result(number, now_ms),
        }
    }

    fn complete_read(&mut self, number: ReadNumber, now_ms: u64) {
        let copy = self.version_record_copy();
        let state = &mut self.record_reads;
        state.record_success(Some(number));
        // This read answers all that began before it. Searches that arrived since wait for the later ones.
        state.reads.retain(|other, _| *other > number);
        let waiting = std::mem::take(&mut state.waiting_peers);
        let (served, waiting) = waiting.into_iter().partition(|peer| number > peer.after);
        state.waiting_peers = waiting;
        self.reply_to_peers(served, copy);
        self.conclude_answered_searches(now_ms);
    }

    /// Ends a read that failed at this router and at all peers, or takes too long.
    fn end_read_without_result(&mut self, number: ReadNumber, now_ms: u64) {
        let state = &mut self.record_reads;
        if state.reads.get(&number).is_none_or(|read| read.is_pending(now_ms)) {
            return;
        }
        state.reads.remove(&number);
        state.last_failed = state.last_failed.max(number);
        state.last_failed_ms = now_ms;
        self.refuse_waiting_peers(number);
        self.conclude_answered_searches(now_ms);
    }

    fn refuse_waiting_peers(&mut self, number: ReadNumber) {
        let waiting = std::mem::take(&mut self.record_reads.waiting_peers);
        let (refused, waiting) = waiting.into_iter().partition(|peer| number > peer.after);
        self.record_reads.waiting_peers = waiting;
        self.reply_to_peers(refused, None);
    }

    fn reply_to_peers(&mut self, peers: Vec<WaitingPeer>, copy: Option<version_record::Copy>) {
        for WaitingPeer { router, number, .. } in peers {
            let copy = copy.clone();
            self.send(router, message::Message::VersionRecordReply { number, copy });
        }
    }

    /// Asks peers for a read that searches of this router wait for, if its own call has failed or takes long.
    fn ask_peers_to_read(&mut self, number: ReadNumber, now_ms: u64) {
        let out_of_reach = self.record_reads.may_be_out_of_reach(now_ms);
        let Some(read) = self.record_reads.reads.get(&number) else { return };
        let is_slow = now_ms >= read.begun_ms + SLOW_READ_MS;
        let is_due = out_of_reach || read.own_call == OwnCall::Failed || is_slow;
        if !is_due || !self.awaits_record_read(number) {
            return;
        }
        let (request, peers) = match &read.peers {
            Some(_) if now_ms < read.asked_ms + REQUEST_REPEAT_MS => return,
            Some((request, pending)) => (*request, pending.clone()),
            None => {
                let live = self.members.live().map(|record| record.id);
                let chosen = live.sample(&mut self.rng, PEERS_ASKED_MAX);
                (self.stream_origins.next_number(), chosen.into_iter().collect())
            }
        };
        for peer in &peers {
            let message = message::Message::VersionRecordRequest { number: request };
            self.send(*peer, message);
        }
        if let Some(read) = self.record_reads.reads.get_mut(&number) {
            (read.peers, read.asked_ms) = (Some((request, peers)), now_ms);
        }
    }
}
