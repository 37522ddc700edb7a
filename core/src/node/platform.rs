//! Calls to the platform's store, within this router's share of the store's rates.

use super::{Action, CallOutcome, CallPurpose, Lifecycle, Node, Notice};
use crate::{ids, ledger, ledger_writer, message, store};
use std::collections;

/// Purpose of a call to the store, which determines the handler of its reply.
#[derive(Clone, Copy, Debug)]
pub(super) enum Purpose {
    Ledger(usize),
    Log(usize),
    /// The record of quarantined requests.
    Quarantine,
    /// The record of the store's era.
    EraRecord,
    /// The record of the software versions at which streams may begin.
    VersionRecord,
    /// The same, for streams of unknown origin.
    RecordRead,
}

/// A call to the store that has no reply yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreCall {
    purpose: Purpose,
    writes: bool,
}

impl StoreCall {
    /// The purpose under which metrics count the call.
    pub(super) fn metric_purpose(self) -> CallPurpose {
        match (self.purpose, self.writes) {
            (Purpose::Ledger(_) | Purpose::EraRecord, false) => CallPurpose::LedgerRead,
            (Purpose::Ledger(_) | Purpose::EraRecord, true) => CallPurpose::LedgerWrite,
            (Purpose::Log(_), false) => CallPurpose::LogRead,
            (Purpose::Log(_), true) => CallPurpose::LogWrite,
            (Purpose::VersionRecord | Purpose::RecordRead, false) => CallPurpose::VersionsRead,
            (Purpose::VersionRecord | Purpose::RecordRead, true) => CallPurpose::VersionsWrite,
            (Purpose::Quarantine, false) => CallPurpose::QuarantineRead,
            (Purpose::Quarantine, true) => CallPurpose::QuarantineWrite,
        }
    }
}

impl Node {
    /// Handles the store's reply to a call.
    pub fn handle_store_reply(&mut self, call: ids::CallId, reply: store::Reply, now_ms: u64) {
        let Some(completed) = self.calls.remove(&call) else { return };
        let reply = self.check_reply_era(reply, now_ms);
        match reply {
            store::Reply::Unknown => {
                self.counters.platform_unknown += 1;
                self.count_call(completed.metric_purpose(), CallOutcome::Silent);
            }
            store::Reply::Conflict | store::Reply::ConflictWith { .. } => {
                self.counters.platform_conflicts += 1;
                self.count_call(completed.metric_purpose(), CallOutcome::Overtaken);
            }
            _ => {}
        }
        match completed.purpose {
            Purpose::Ledger(shard) => self.handle_ledger_reply(shard, call, reply, now_ms),
            Purpose::Log(shard) => self.handle_log_reply(shard, call, reply, now_ms),
            Purpose::Quarantine => self.handle_record_reply(reply, now_ms),
            Purpose::EraRecord => self.handle_era_record_reply(reply, now_ms),
            Purpose::VersionRecord => self.handle_version_record_reply(reply, now_ms),
            Purpose::RecordRead => self.handle_record_read_reply(call, reply, now_ms),
        }
        self.tick_platform(now_ms);
    }

    /// Processes the era of a reply, and discards the content of a reply from an earlier era.
    fn check_reply_era(&mut self, reply: store::Reply, now_ms: u64) -> store::Reply {
        let Some(era) = reply.era() else { return reply };
        self.handle_store_era(era, now_ms);
        match era == self.store_era() {
            true => reply,
            false => store::Reply::Unknown,
        }
    }

    pub(super) fn register_call(&mut self, purpose: Purpose) -> ids::CallId {
        self.next_call += 1;
        let call = ids::CallId(self.next_call);
        self.calls.insert(call, StoreCall { purpose, writes: false });
        call
    }

    pub(super) fn send_store_call(&mut self, call: ids::CallId, request: store::Request) {
        let writes = request.is_write();
        match writes {
            true => self.counters.platform_writes += 1,
            false => self.counters.platform_reads += 1,
        }
        if let Some(pending) = self.calls.get_mut(&call) {
            pending.writes = writes;
            let purpose = pending.metric_purpose();
            self.count_call(purpose, CallOutcome::Sent);
        }
        self.actions.push(Action::Store { call, request });
    }

    /// Starts the calls that are due.
    pub(super) fn tick_platform(&mut self, now_ms: u64) {
        for shard in 0..self.logs.len() {
            if self.logs[shard].due(now_ms) && self.may_call_log(shard, now_ms) {
                let call = self.register_call(Purpose::Log(shard));
                let clock_s = self.settings.started_s + now_ms / 1_000;
                let request = self.logs[shard].start(call, clock_s, &mut self.rng);
                self.send_store_call(call, request);
            }
        }
        for shard in 0..self.ledgers.len() {
            if self.ledger_due(shard, now_ms) && self.read_limiter.try_take(now_ms) {
                self.start_ledger_sync(shard, now_ms);
            }
        }
    }

    fn start_ledger_sync(&mut self, shard: usize, now_ms: u64) {
        let call = self.register_call(Purpose::Ledger(shard));
        let description = self.ledger_holder();
        let termination = self.termination_check();
        let context = self.ledger_context(&description, &termination, now_ms);
        let request = self.ledgers[shard].start(call, &mut self.grants, &context);
        if request.is_write() {
            self.write_limiter.try_take(now_ms);
        }
        self.send_store_call(call, request);
    }

    /// Returns a function that tells of holders that have certainly terminated: the VM was listed and is missing from a
    /// list that is not older, or this process has bound the holder's address. An expired lease or missing messages do
    /// not prove it.
    fn termination_check(
        &self,
    ) -> impl Fn(ids::Incarnation, &ledger::Holder) -> Option<ledger::Termination> + use<> {
        let vms = self.vms.clone();
        let (own_vm, address) = (self.settings.vm.clone(), self.settings.address.clone());
        let clock = self.settings.machine_clock.clone();
        let vms_index = self.vms_index;
        move |_, holder| {
            let listed = holder.listed();
            // A list of another era may lack a VM that was listed in the history which a restore lost.
            let was_listed =
                listed.revision > 0 && listed <= vms_index && listed.era == vms_index.era;
            let was_removed = was_listed && !vms.is_empty() && !vms.contains_key(&holder.vm);
            if holder.address == address {
                let clock = clock.as_ref().filter(|_| holder.vm == own_vm);
                let ended_ms = clock
                    .zip(holder.clock_run.as_ref())
                    .and_then(|(clock, run)| clock.predecessor_ended_ms(run));
                return Some(match ended_ms {
                    Some(ended_ms) => ledger::Termination::OnThisMachine { ended_ms },
                    None => ledger::Termination::AtUnknownTime,
                });
            }
            was_removed.then_some(ledger::Termination::AtUnknownTime)
        }
    }

    fn may_call_log(&mut self, shard: usize, now_ms: u64) -> bool {
        let limiter = if self.logs[shard].reads_next() {
            &mut self.read_limiter
        } else {
            &mut self.write_limiter
        };
        limiter.try_take(now_ms)
    }

    fn ledger_due(&mut self, shard: usize, now_ms: u64) -> bool {
        if self.lifecycle == Lifecycle::Fenced || !self.ledgers[shard].may_be_due(now_ms) {
            return false;
        }
        let description = self.ledger_holder();
        let context = self.ledger_context(&description, &|_, _| None, now_ms);
        self.ledgers[shard].due(&self.grants, &context)
    }

    fn ledger_context<'a>(
        &self,
        description: &'a ledger::Holder,
        termination: &'a dyn Fn(ids::Incarnation, &ledger::Holder) -> Option<ledger::Termination>,
        now_ms: u64,
    ) -> ledger_writer::Context<'a> {
        ledger_writer::Context {
            now_ms,
            holder: self.settings.incarnation,
            description,
            routers: self.members.live_count(),
            stopping: self.stopping(),
            termination,
            recovery_window_over: self.recovery_window_over(now_ms),
            draw_not_before_ms: self.draw_not_before_ms(),
            prepaid_state: self.prepaid_state(),
        }
    }

    fn stopping(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Stopping | Lifecycle::Stopped)
    }

    fn handle_ledger_reply(
        &mut self,
        shard: usize,
        call: ids::CallId,
        reply: store::Reply,
        now_ms: u64,
    ) {
        let description = self.ledger_holder();
        let termination = self.termination_check();
        let context = self.ledger_context(&description, &termination, now_ms);
        let (write, events) = self.ledgers[shard].handle_reply(
            call,
            reply,
            &mut self.grants,
            &context,
            &mut self.rng,
        );
        if let Some(ledger_writer::Write { expected_index, value, sets_era_marker }) = write {
            let call = self.register_call(Purpose::Ledger(shard));
            self.ledgers[shard].set_write_call(call);

            // A write that follows its read takes a permit but does not wait for one: the sync was already limited by
            // its read.
            self.write_limiter.try_take(now_ms);
            let key = ledger::key(shard as u32);
            let request = store::Request::Write { key, expected_index, value, sets_era_marker };
            self.send_store_call(call, request);
        }
        self.tick_ledger_copies(now_ms);
        for event in events {
            self.ledger_event(shard, event, now_ms);
        }
    }

    fn ledger_event(&mut self, shard: usize, event: ledger_writer::Event, now_ms: u64) {
        match event {
            ledger_writer::Event::AccountsUpdated => {
                self.record_ledger_read(shard, now_ms);
                self.tick_waiting_budget(now_ms);
                self.answer_transfer_requests(now_ms);
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
            ledger_writer::Event::TerminatedHolderClosed { holder, written_off_tokens, grants } => {
                self.counters.written_off_tokens += written_off_tokens;
                let notice = Notice::TerminatedHolderClosed { holder, written_off_tokens, grants };
                self.actions.push(Action::Notice(notice));
            }
            ledger_writer::Event::Holders(holders) => {
                self.notify_successors(shard as u32, &holders);
            }
            ledger_writer::Event::Unusable(fault) => {
                self.actions.push(Action::Notice(Notice::UnusableValue(fault)));
            }
        }
    }

    /// Notifies the routers at whose addresses another incarnation has grants in a shard of the ledger; `holders` are
    /// all incarnations with grants and their addresses. Only a router that has bound the same address can be certain
    /// that its predecessor has terminated.
    fn notify_successors(&mut self, shard: u32, holders: &[(ids::Incarnation, String)]) {
        let successor = |(predecessor, address): &(ids::Incarnation, String)| {
            let live = self.members.live();
            live.filter(|record| record.address == *address && record.id != *predecessor)
                .map(|record| record.id)
                .next()
        };
        let successors: collections::BTreeSet<ids::Incarnation> =
            holders.iter().filter_map(successor).collect();
        for id in successors {
            self.send(id, message::Message::StaleHolder { shard });
        }
    }

    fn record_ledger_read(&mut self, shard: usize, now_ms: u64) {
        let budgets = self.grants.in_shard(shard as u32).to_vec();
        for budget in budgets {
            self.token_searches.entry(budget).or_default().synced_ms = now_ms;
        }
    }

    fn handle_log_reply(
        &mut self,
        shard: usize,
        call: ids::CallId,
        reply: store::Reply,
        now_ms: u64,
    ) {
        let done =
            self.logs[shard].handle_reply(call, reply.without_details(), now_ms, &mut self.rng);
        for appended in done {
            self.handle_appended(appended, now_ms);
        }
    }
}
