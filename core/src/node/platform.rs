//! Calls to the platform's store, within this router's share of its rates.

use super::{Action, CallOutcome, CallPurpose, Lifecycle, Node, Notice};
use crate::{ids, ledger, ledger_writer, message, store};
use std::collections;

/// What a call to the store is for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Purpose {
    Ledger(usize),
    Log(usize),
    /// The record of requests that are kept from servers.
    Quarantine,
    /// The record of the store's era.
    EraRecord,
}

/// A call to the store that has no reply yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreCall {
    purpose: Purpose,
    writes: bool,
}

impl StoreCall {
    /// What it is counted as.
    pub(super) fn counted_as(self) -> CallPurpose {
        match (self.purpose, self.writes) {
            (Purpose::Ledger(_) | Purpose::EraRecord, false) => CallPurpose::LedgerRead,
            (Purpose::Ledger(_) | Purpose::EraRecord, true) => CallPurpose::LedgerWrite,
            (Purpose::Log(_), false) => CallPurpose::LogRead,
            (Purpose::Log(_), true) => CallPurpose::LogWrite,
            (Purpose::Quarantine, false) => CallPurpose::QuarantineRead,
            (Purpose::Quarantine, true) => CallPurpose::QuarantineWrite,
        }
    }
}

impl Node {
    /// Takes the store's reply to a call.
    pub fn store_reply(&mut self, call: ids::CallId, reply: store::Reply, now_ms: u64) {
        let Some(answered) = self.calls.remove(&call) else { return };
        let reply = self.check_reply_era(reply, now_ms);
        match reply {
            store::Reply::Unknown => {
                self.counters.platform_unknown += 1;
                self.count_call(answered.counted_as(), CallOutcome::Silent);
            }
            store::Reply::Conflict | store::Reply::ConflictWith { .. } => {
                self.counters.platform_conflicts += 1;
                self.count_call(answered.counted_as(), CallOutcome::Overtaken);
            }
            _ => {}
        }
        match answered.purpose {
            Purpose::Ledger(shard) => self.ledger_reply(shard, call, reply, now_ms),
            Purpose::Log(shard) => self.log_reply(shard, call, reply, now_ms),
            Purpose::Quarantine => self.record_reply(reply, now_ms),
            Purpose::EraRecord => self.era_record_reply(reply, now_ms),
        }
        self.tick_platform(now_ms);
    }

    /// Processes the era of a reply, and discards the content of a reply from an earlier era.
    fn check_reply_era(&mut self, reply: store::Reply, now_ms: u64) -> store::Reply {
        let Some(era) = reply.era() else { return reply };
        self.hear_store_era(era, now_ms);
        match era == self.store_era() {
            true => reply,
            false => store::Reply::Unknown,
        }
    }

    pub(super) fn call(&mut self, purpose: Purpose) -> ids::CallId {
        self.next_call += 1;
        let call = ids::CallId(self.next_call);
        self.calls.insert(call, StoreCall { purpose, writes: false });
        call
    }

    pub(super) fn push_store(&mut self, call: ids::CallId, request: store::Request) {
        let writes = request.is_write();
        match writes {
            true => self.counters.platform_writes += 1,
            false => self.counters.platform_reads += 1,
        }
        if let Some(pending) = self.calls.get_mut(&call) {
            pending.writes = writes;
            let purpose = pending.counted_as();
            self.count_call(purpose, CallOutcome::Sent);
        }
        self.actions.push(Action::Store { call, request });
    }

    /// Starts the calls that are due.
    pub(super) fn tick_platform(&mut self, now_ms: u64) {
        for shard in 0..self.logs.len() {
            if self.logs[shard].due(now_ms) && self.may_call_log(shard, now_ms) {
                let call = self.call(Purpose::Log(shard));
                let clock_s = self.settings.started_s + now_ms / 1_000;
                let request = self.logs[shard].start(call, clock_s, &mut self.rng);
                self.push_store(call, request);
            }
        }
        for shard in 0..self.ledgers.len() {
            if self.ledger_due(shard, now_ms) && self.reads.try_take(now_ms) {
                self.start_ledger_round(shard, now_ms);
            }
        }
    }

    fn start_ledger_round(&mut self, shard: usize, now_ms: u64) {
        let call = self.call(Purpose::Ledger(shard));
        let description = self.ledger_holder();
        let gone = self.gone();
        let context = self.ledger_context(&description, &gone, now_ms);
        let request = self.ledgers[shard].start(call, &mut self.grants, &context);
        if request.is_write() {
            self.writes.try_take(now_ms);
        }
        self.push_store(call, request);
    }

    /// Tells whether a holder can certainly not run any more: its VM was listed and is gone from a list
    /// that is no older, or this process has bound its address. A lapsed lease or silence proves
    /// nothing.
    fn gone(&self) -> impl Fn(ids::Incarnation, &ledger::Holder) -> bool + use<> {
        let vms = self.vms.clone();
        let address = self.settings.address.clone();
        let vms_index = self.vms_index;
        move |_, holder| {
            let listed = holder.listed();
            // A list of another era may lack a VM that was listed in the lost history.
            let was_listed =
                listed.revision > 0 && listed <= vms_index && listed.era == vms_index.era;
            let gone = was_listed && !vms.is_empty() && !vms.contains_key(&holder.vm);
            holder.address == address || gone
        }
    }

    fn may_call_log(&mut self, shard: usize, now_ms: u64) -> bool {
        let limiter =
            if self.logs[shard].reads_next() { &mut self.reads } else { &mut self.writes };
        limiter.try_take(now_ms)
    }

    fn ledger_due(&mut self, shard: usize, now_ms: u64) -> bool {
        if self.lifecycle == Lifecycle::Fenced || !self.ledgers[shard].may_be_due(now_ms) {
            return false;
        }
        let description = self.ledger_holder();
        let context = self.ledger_context(&description, &|_, _| false, now_ms);
        self.ledgers[shard].due(&self.grants, &context)
    }

    fn ledger_context<'a>(
        &self,
        description: &'a ledger::Holder,
        gone: &'a dyn Fn(ids::Incarnation, &ledger::Holder) -> bool,
        now_ms: u64,
    ) -> ledger_writer::Context<'a> {
        ledger_writer::Context {
            now_ms,
            holder: self.settings.incarnation,
            description,
            routers: self.members.live_count(),
            stopping: self.stopping(),
            gone,
            recovery_window_over: self.recovery_window_over(now_ms),
            draw_not_before_ms: self.draw_not_before_ms(),
        }
    }

    fn stopping(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Stopping | Lifecycle::Stopped)
    }

    fn ledger_reply(&mut self, shard: usize, call: ids::CallId, reply: store::Reply, now_ms: u64) {
        let description = self.ledger_holder();
        let gone = self.gone();
        let context = self.ledger_context(&description, &gone, now_ms);
        let (write, events) =
            self.ledgers[shard].reply(call, reply, &mut self.grants, &context, &mut self.rng);
        if let Some(ledger_writer::Write { expected_index, value, sets_era_marker }) = write {
            let call = self.call(Purpose::Ledger(shard));
            self.ledgers[shard].writing(call);
            // A write that follows its read is paid for without waiting: the read was the limit.
            self.writes.try_take(now_ms);
            let key = ledger::key(shard as u32);
            let request = store::Request::Write { key, expected_index, value, sets_era_marker };
            self.push_store(call, request);
        }
        self.tick_copies(now_ms);
        for event in events {
            self.ledger_event(shard, event, now_ms);
        }
    }

    fn ledger_event(&mut self, shard: usize, event: ledger_writer::Event, now_ms: u64) {
        match event {
            ledger_writer::Event::Followed => {
                self.note_followed(shard, now_ms);
                self.tick_waiting_budget(now_ms);
                self.answer_questions(now_ms);
            }
            ledger_writer::Event::GrantsChanged => {
                self.send_ledger_copies(shard, &Default::default());
            }
            ledger_writer::Event::WrittenOff => {
                if self.lifecycle == Lifecycle::Ready {
                    self.lifecycle = Lifecycle::Fenced;
                    self.actions.push(Action::Notice(Notice::Fenced));
                }
            }
            ledger_writer::Event::ClosedDead { holder, written_off_tokens, grants } => {
                self.counters.written_off_tokens += written_off_tokens;
                let notice = Notice::ClosedDead { holder, written_off_tokens, grants };
                self.actions.push(Action::Notice(notice));
            }
            ledger_writer::Event::Holders(holders) => {
                self.tell_successors(shard as u32, &holders);
            }
            ledger_writer::Event::Unusable(fault) => {
                self.actions.push(Action::Notice(Notice::Unusable(fault)));
            }
        }
    }

    /// An earlier life left grants in a shard of the ledger, at the addresses of `holders`: its successors
    /// there are told, because only they can tell for sure that it is over.
    fn tell_successors(&mut self, shard: u32, holders: &[(ids::Incarnation, String)]) {
        let successor = |(life, address): &(ids::Incarnation, String)| {
            let live = self.members.live();
            live.filter(|record| record.address == *address && record.id != *life)
                .map(|record| record.id)
                .next()
        };
        let told: collections::BTreeSet<ids::Incarnation> =
            holders.iter().filter_map(successor).collect();
        for id in told {
            self.send(id, message::Message::StaleHolder { shard });
        }
    }

    fn note_followed(&mut self, shard: usize, now_ms: u64) {
        let budgets = self.grants.in_shard(shard as u32).to_vec();
        for budget in budgets {
            self.asks.entry(budget).or_default().followed_ms = now_ms;
        }
    }

    fn log_reply(&mut self, shard: usize, call: ids::CallId, reply: store::Reply, now_ms: u64) {
        let done = self.logs[shard].reply(call, reply.without_details(), now_ms, &mut self.rng);
        for item in done {
            self.log_done(item, now_ms);
        }
    }
}
