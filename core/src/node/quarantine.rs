//! Requests that crash the servers that run them: what this router sees, hears, keeps from servers and has kept.

use super::{Action, Node, Notice, QuarantineSource, Reason, platform};
use crate::{ids, quarantine, servers, store};
use rand::rngs;
use std::collections;

/// What is not urgent is told this often while there is any: after one crash under 64 requests all is told in 0.6 s.
const TELL_EVERY_MS: u64 = 200;
/// How often what is too old is looked for.
const EXPIRE_EVERY_MS: u64 = 1_000;

/// A run that broke off before its answer was whole.
#[derive(Clone, Debug)]
pub struct BrokenRun {
    /// The request, if this router still has it.
    pub slot: ids::RequestSlot,
    /// The life of the server that ran it.
    pub server: quarantine::ServerInstance,
    /// The server's address.
    pub address: String,
    /// What makes it the same request as another.
    pub request: ids::Fingerprint,
}

/// What this router does about such requests.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    pub(super) table: quarantine::Table,
    runs: quarantine::Runs,
    keeper: quarantine::RecordSync,
    told_ms: u64,
    /// Whether the next datagram goes to a peer that knows something else.
    pub(super) answers: bool,
    expired_ms: u64,
}

impl Quarantine {
    /// Schedules a read of the record after a restore of the store, and a write if it lacks a quarantined request.
    pub(super) fn store_restored(&mut self, now_ms: u64, rng: &mut rngs::StdRng) {
        let quarantines_any = !self.table.reports_of_quarantined(now_ms).is_empty();
        self.keeper.store_restored(quarantines_any, now_ms, rng);
    }
}

impl Node {
    /// Requests that crash servers, as this router knows them.
    pub fn quarantine(&self) -> &quarantine::Table {
        &self.quarantine.table
    }

    /// What the fingerprints have in common of requests whose good end would tell something.
    pub fn suspected_heads(&self) -> collections::HashSet<u64> {
        let mut heads = self.quarantine.table.suspected_heads();
        heads.extend(self.quarantine.runs.heads());
        heads
    }

    /// Grows with each change of [`Node::suspected_heads`].
    pub fn suspected_revision(&self) -> u64 {
        self.quarantine.table.revision() + self.quarantine.runs.revision()
    }

    /// Notes a run that broke off.
    pub fn run_broken(&mut self, run: &BrokenRun, now_ms: u64) {
        if let Some(request) = self.requests.get_mut(run.slot) {
            request.wanted.fingerprint = Some(run.request);
        }
        let BrokenRun { server, address, request, .. } = run;
        if self.quarantine.runs.record_interrupted(server, address, *request, now_ms) {
            self.note_crash_under(*request, server, now_ms);
        }
    }

    /// Notes that a server's address refuses connections: the process that listened there is over.
    pub fn server_refused(&mut self, server: &quarantine::ServerInstance, now_ms: u64) {
        if let Some(slot) = self.servers.find_life(&server.vm, server.life) {
            self.servers.refused(slot, now_ms);
        }
        // One that leaves ends as planned.
        if !self.leaves(server) {
            let broken = self.quarantine.runs.refused(server, now_ms);
            self.server_crashed(server, broken, now_ms);
        }
    }

    /// Notes that a server takes connections after a run broke off.
    pub fn server_accepted(&mut self, server: &quarantine::ServerInstance) {
        self.quarantine.runs.accepted(server);
    }

    /// Notes that a run of a request ended well: it does not crash servers.
    pub fn ended_well(&mut self, request: ids::Fingerprint, now_ms: u64) {
        self.quarantine.runs.ended_well(request);
        let change = self.quarantine.table.clear(request, now_ms);
        self.note_change(request, change, QuarantineSource::GoodEnd, now_ms);
    }

    /// Releases a request at an operator's word, everywhere; how many crashes counted against it. With `dry_run` nothing
    /// is changed.
    pub fn release(&mut self, request: ids::Fingerprint, dry_run: bool, now_ms: u64) -> usize {
        let crashes = self.quarantine.table.crashes(&request);
        if dry_run || crashes == 0 {
            return crashes;
        }
        let change = self.quarantine.table.clear(request, now_ms);
        self.quarantine.keeper.schedule_write();
        self.note_change(request, change, QuarantineSource::Operator, now_ms);
        crashes
    }

    /// Why a request must not reach a server now, and for how long; `None` if it may.
    pub fn kept_back(
        &self,
        request: Option<ids::Fingerprint>,
        now_ms: u64,
    ) -> Option<(Reason, u64)> {
        let request = request?;
        let table = &self.quarantine.table;
        let quarantined =
            table.quarantined_ms(&request, now_ms).map(|ms| (Reason::Quarantined, ms));
        quarantined.or_else(|| Some((Reason::Suspended, table.suspended_ms(&request, now_ms)?)))
    }

    /// Whether a request has crashed so many servers that this router does not send it on to another by itself.
    pub(super) fn not_to_be_retried(&self, request: Option<ids::Fingerprint>) -> bool {
        let table = &self.quarantine.table;
        let crashes = request.map_or(0, |request| table.servers_crashed(&request));
        crashes >= quarantine::CRASHES_TO_STOP_RETRIES
    }

    /// Notes that a server answered in full a request that was sent to it then.
    pub(super) fn server_answered(&mut self, server: ids::ServerSlot, sent_ms: u64) {
        if self.quarantine.runs.is_empty() {
            return;
        }
        if let Some(server) = self.servers.get(server) {
            let server =
                quarantine::ServerInstance { vm: server.vm.vm.clone(), life: server.vm.life };
            self.quarantine.runs.answered(&server, sent_ms);
        }
    }

    /// Looks, after a change of the list of servers, which servers with broken runs are over.
    pub(super) fn note_ended_lives(&mut self, now_ms: u64) {
        let open = self.quarantine.runs.open();
        let over: Vec<quarantine::ServerInstance> = open
            .filter(|(server, address)| self.is_over(server, address))
            .map(|(server, _)| server.clone())
            .collect();
        for server in over {
            let broken = self.quarantine.runs.crashed(&server, now_ms);
            self.server_crashed(&server, broken, now_ms);
        }
    }

    /// Whether a life of a server said that it leaves.
    fn leaves(&self, server: &quarantine::ServerInstance) -> bool {
        self.leavings.contains(&server.vm, server.life)
    }

    fn is_over(&self, server: &quarantine::ServerInstance, address: &str) -> bool {
        if self.leaves(server) || self.lapsed.iter().any(|vm| vm.vm == server.vm) {
            return false;
        }
        match self.vms.get(&server.vm) {
            Some(vm) if vm.life > server.life => true,
            Some(vm) if vm.state == servers::VmState::Leaving => false,
            Some(_) => {
                let succeeds = |vm: &servers::Vm| vm.address == address && vm.vm != server.vm;
                self.vms.values().any(succeeds)
            }
            None => true,
        }
    }

    fn server_crashed(
        &mut self,
        server: &quarantine::ServerInstance,
        broken: Vec<(ids::Fingerprint, u64)>,
        now_ms: u64,
    ) {
        if broken.is_empty() {
            return;
        }
        let requests = broken.len();
        self.counters.server_crashes += 1;
        self.actions.push(Action::Notice(Notice::ServerCrashed {
            vm: server.vm.clone(),
            life: server.life,
            requests,
        }));
        for (request, at_ms) in broken {
            self.note_crash_under(request, server, at_ms.min(now_ms));
        }
    }

    fn note_crash_under(
        &mut self,
        request: ids::Fingerprint,
        server: &quarantine::ServerInstance,
        at_ms: u64,
    ) {
        let digest = quarantine::Server::new(&server.vm, server.life);
        let change = self.quarantine.table.crashed(request, digest, at_ms);
        if change == quarantine::Change::Quarantined {
            self.quarantine.keeper.schedule_write();
        }
        // Routers that this one does not reach may have put it into quarantine already.
        if self.members.live_count() < self.most_routers {
            self.quarantine.keeper.schedule_read();
        }
        self.note_change(request, change, QuarantineSource::Seen, at_ms);
    }

    fn note_change(
        &mut self,
        request: ids::Fingerprint,
        change: quarantine::Change,
        source: QuarantineSource,
        now_ms: u64,
    ) {
        let notice = match change {
            quarantine::Change::None => return,
            quarantine::Change::Suspected { crashes } => {
                Notice::RequestSuspected { request, crashes, source }
            }
            quarantine::Change::Quarantined => {
                let for_ms = self.quarantine.table.quarantined_ms(&request, now_ms).unwrap_or(0);
                Notice::RequestQuarantined { request, for_ms, source }
            }
            quarantine::Change::Cleared { crashes } => {
                Notice::RequestCleared { request, crashes, source }
            }
        };
        self.actions.push(Action::Notice(notice));
    }

    /// Takes in what a peer knows; whether it knows something else.
    pub(super) fn hear_quarantine(&mut self, news: &quarantine::Updates, now_ms: u64) -> bool {
        for report in &news.reports {
            let change = self.quarantine.table.merge_report(report, now_ms);
            self.note_change(report.request, change, QuarantineSource::Peer, now_ms);
        }
        news.summary != self.quarantine.table.summary()
    }

    /// Tells others what is new, forgets what is old, and makes the calls for what the store keeps.
    pub(super) fn tick_quarantine(&mut self, now_ms: u64) {
        if now_ms >= self.quarantine.expired_ms + EXPIRE_EVERY_MS {
            self.quarantine.expired_ms = now_ms;
            self.quarantine.table.expire(now_ms);
            self.quarantine.runs.forget_old(now_ms);
        }
        let due = match self.quarantine.table.urgency() {
            None => false,
            Some(quarantine::Urgency::AtOnce) => true,
            Some(quarantine::Urgency::Soon) => now_ms >= self.quarantine.told_ms + TELL_EVERY_MS,
        };
        if due {
            self.quarantine.told_ms = now_ms;
            self.push_to_some(now_ms);
        }
        if self.quarantine.keeper.due(now_ms) && self.reads.try_take(now_ms) {
            self.call_for_record(now_ms);
        }
    }

    fn call_for_record(&mut self, now_ms: u64) {
        let key = quarantine::KEY.to_owned();
        let call = self.call(platform::Purpose::Quarantine);
        let request = match self.quarantine.keeper.start() {
            None => store::Request::Read { key },
            Some(expected_index) => {
                self.writes.try_take(now_ms);
                let reports = self.quarantine.table.reports_of_quarantined(now_ms);
                let record = quarantine::Record::new(reports, self.unix_ms(now_ms));
                let (value, sets_era_marker) = (record.encode(), false);
                store::Request::Write { key, expected_index, value, sets_era_marker }
            }
        };
        self.push_store(call, request);
    }

    pub(super) fn record_reply(&mut self, reply: store::Reply, now_ms: u64) {
        let fault = match self.quarantine.keeper.reply(reply, now_ms, &mut self.rng) {
            quarantine::Reply::Nothing => return,
            quarantine::Reply::Undecodable => "the value is not encoded".to_owned(),
            quarantine::Reply::Value(value) => match quarantine::Record::decode(&value) {
                Ok(record) => {
                    let own = self.quarantine.table.reports_of_quarantined(now_ms);
                    if own.iter().all(|report| record.contains(report.request)) {
                        self.quarantine.keeper.cancel_rewrite();
                    }
                    for report in record.reports(self.unix_ms(now_ms)) {
                        let change = self.quarantine.table.merge_report(&report, now_ms);
                        let source = QuarantineSource::Store;
                        self.note_change(report.request, change, source, now_ms);
                    }
                    return;
                }
                Err(error) => error.to_string(),
            },
        };
        // Written over with the next quarantine: what it held, the routers in touch still know.
        self.actions.push(Action::Notice(Notice::RecordUnreadable { key: quarantine::KEY, fault }));
    }

    fn unix_ms(&self, now_ms: u64) -> u64 {
        self.settings.started_s * 1_000 + now_ms
    }
}
