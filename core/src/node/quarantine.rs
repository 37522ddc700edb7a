//! Quarantine of requests and prompt parts that crash the servers that run them: detects them, exchanges them with
//! peers and the store, and prevents their dispatch.

use super::{Action, AttemptFailure, Node, Notice, QuarantineSource, Reason, platform};
use crate::{ids, quarantine, servers, store};
use rand::rngs;
use std::collections;

/// Interval between pushes of reports that are not urgent, while there are any: after one crash under 64 requests all
/// reports are sent within 0.6 s.
const PUSH_INTERVAL_MS: u64 = 200;
/// Interval at which expired reports and runs are removed.
const EXPIRY_INTERVAL_MS: u64 = 1_000;

/// A request that was running on a backend server when the server's answer broke off before its end. If the server
/// turns out to have crashed, the crash counts against the request, which is quarantined after several crashes.
#[derive(Clone, Debug)]
pub struct BrokenRun {
    /// The request, as long as this router has it.
    pub slot: ids::RequestSlot,
    /// The server incarnation that ran it.
    pub server: quarantine::ServerInstance,
    /// Address at which the server accepted the request.
    pub address: String,
    /// Fingerprint by which equal requests are recognized.
    pub request: ids::Fingerprint,
    /// Fingerprints of the parts that its prompt may share with other requests.
    pub parts: Vec<ids::Fingerprint>,
}

/// State of the quarantine on this router.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    pub(super) table: quarantine::Table,
    runs: quarantine::Runs,
    record_sync: quarantine::RecordSync,
    pushed_ms: u64,
    /// Whether the next datagram goes to a peer whose table differs from this router's.
    pub(super) peer_differs: bool,
    last_expiry_ms: u64,
}

impl Quarantine {
    /// Schedules a read of the record after a restore of the store, and a write if it lacks a request.
    pub(super) fn handle_store_restored(&mut self, now_ms: u64, rng: &mut rngs::StdRng) {
        let stores_any = !self.table.reports_to_store(now_ms).is_empty();
        self.record_sync.handle_store_restored(stores_any, now_ms, rng);
    }
}

impl Node {
    /// The requests that are suspected of crashing servers, on this router.
    pub fn quarantine(&self) -> &quarantine::Table {
        &self.quarantine.table
    }

    /// Heads of the fingerprints of all requests that are suspected or have an open broken run, for which a successful
    /// run is evidence.
    pub fn suspected_heads(&self) -> collections::HashSet<u64> {
        let mut heads = self.quarantine.table.suspected_heads();
        heads.extend(self.quarantine.runs.heads());
        heads
    }

    /// Revision of [`Node::suspected_heads`], which grows with each change.
    pub fn suspected_revision(&self) -> u64 {
        self.quarantine.table.revision() + self.quarantine.runs.revision()
    }

    /// Records a run that broke off.
    pub fn run_broken(&mut self, run: &BrokenRun, now_ms: u64) {
        if let Some(request) = self.requests.get_mut(run.slot) {
            request.admission.fingerprint = Some(run.request);
        }
        let BrokenRun { server, address, request, parts, .. } = run;
        let subjects = quarantine::Subjects { request: Some(*request), parts };
        for subject in subjects.iter() {
            if self.quarantine.runs.record_interrupted(server, address, subject, now_ms) {
                self.record_crash_under(subject, server, now_ms);
            }
        }
    }

    /// Records that a server's address refuses connections, so that the process that listened there has ended.
    pub fn record_connection_refused(&mut self, server: &quarantine::ServerInstance, now_ms: u64) {
        if let Some(slot) = self.servers.find_incarnation(&server.vm, server.incarnation) {
            self.servers.record_refused(slot, now_ms);
        }
        // A server that leaves ends as planned.
        if !self.is_leaving(server) {
            let broken = self.quarantine.runs.record_refused(server, now_ms);
            self.record_server_crash(server, broken, now_ms);
        }
    }

    /// Records that a server accepts connections after a run broke off.
    pub fn record_connection_accepted(&mut self, server: &quarantine::ServerInstance) {
        self.quarantine.runs.record_accepted(server);
    }

    /// Records that a run of a request succeeded, so that neither the request nor a part of its prompt crashes servers.
    pub fn run_succeeded(&mut self, request: quarantine::Subjects<'_>, now_ms: u64) {
        for subject in request.iter() {
            self.quarantine.runs.record_success(subject);
            let table = &mut self.quarantine.table;
            if table.stored_as(&subject, now_ms).is_some() {
                self.quarantine.record_sync.schedule_write();
            }
            let change = match subject.is_part() {
                true => table.record_sound_part(subject, now_ms),
                false => table.clear(subject, now_ms),
            };
            self.report_change(subject, change, QuarantineSource::SuccessfulRun, now_ms);
        }
    }

    /// Releases a request from quarantine on all routers, on an operator's command; returns the number of crashes that
    /// were recorded for it. With `dry_run` nothing is changed.
    pub fn release(&mut self, request: ids::Fingerprint, dry_run: bool, now_ms: u64) -> usize {
        let crashes = self.quarantine.table.crashes(&request);
        if dry_run || crashes == 0 {
            return crashes;
        }
        let change = self.quarantine.table.clear(request, now_ms);
        self.quarantine.record_sync.schedule_write();
        self.report_change(request, change, QuarantineSource::Operator, now_ms);
        crashes
    }

    /// Why a request must not be dispatched now, and for how many milliseconds; `None` if it may be.
    pub fn quarantine_refusal(
        &self,
        request: quarantine::Subjects<'_>,
        now_ms: u64,
    ) -> Option<(Reason, u64)> {
        let table = &self.quarantine.table;
        let suspended = request.iter().filter_map(|subject| table.suspended_ms(&subject, now_ms));
        let suspended = suspended.max().map(|ms| (Reason::Suspended, ms));
        self.quarantined(request, now_ms).or(suspended)
    }

    /// Why a request is quarantined, and for how many milliseconds; `None` if it is not.
    fn quarantined(&self, request: quarantine::Subjects<'_>, now_ms: u64) -> Option<(Reason, u64)> {
        let table = &self.quarantine.table;
        let fingerprint = request.request.as_ref();
        if let Some(ms) = fingerprint.and_then(|request| table.quarantined_ms(request, now_ms)) {
            return Some((Reason::Quarantined, ms));
        }
        let (_, ms) = table.quarantined_part(request, now_ms)?;
        Some((Reason::PartQuarantined, ms))
    }

    /// Records that a request is sent to a server without having been admitted here; [`Node::admit`] records its own.
    pub fn record_send(&mut self, request: quarantine::Subjects<'_>, now_ms: u64) {
        let id = quarantine::SendId { router: self.settings.incarnation, sent_ms: now_ms };
        self.quarantine.table.record_send(request, id);
    }

    /// Records that a request that was sent to a server at `sent_ms` did not reach it or was rejected by it.
    pub(super) fn withdraw_send(&mut self, slot: ids::RequestSlot, sent_ms: u64) {
        let Some(request) = self.requests.get(slot) else { return };
        let id = quarantine::SendId { router: self.settings.incarnation, sent_ms };
        self.quarantine.table.withdraw_send(request.admission.subjects(), id);
    }

    /// Why a request whose attempt failed is not sent to another server; `None` if it may be.
    pub(super) fn retry_refusal(
        &self,
        request: quarantine::Subjects<'_>,
        failure: AttemptFailure,
        now_ms: u64,
    ) -> Option<Reason> {
        if let Some((reason, _)) = self.quarantined(request, now_ms) {
            return Some(reason);
        }
        if self.must_not_retry(request) {
            return Some(Reason::RetriesExhausted);
        }
        // The crash under a request that has run is its own, which may be repeated once.
        let has_run = failure == AttemptFailure::MayHaveRun;
        let table = &self.quarantine.table;
        let is_paused = |subject: ids::Fingerprint| table.suspended_ms(&subject, now_ms).is_some();
        (!has_run && request.iter().any(is_paused)).then_some(Reason::Suspended)
    }

    /// Whether a request has crashed so many servers that this router does not retry it on another one.
    fn must_not_retry(&self, request: quarantine::Subjects<'_>) -> bool {
        let table = &self.quarantine.table;
        let stops = |subject: ids::Fingerprint| {
            let shared = subject.is_part() && table.is_proven(&subject);
            !shared && table.servers_crashed(&subject) >= quarantine::CRASHES_TO_STOP_RETRIES
        };
        request.iter().any(stops)
    }

    /// Records that a server answered completely a request that was sent to it at `sent_ms`.
    pub(super) fn record_full_answer(&mut self, server: ids::ServerSlot, sent_ms: u64) {
        if self.quarantine.runs.is_empty() {
            return;
        }
        if let Some(server) = self.servers.get(server) {
            let server = quarantine::ServerInstance {
                vm: server.vm.vm.clone(),
                incarnation: server.vm.incarnation,
            };
            self.quarantine.runs.record_answer(&server, sent_ms);
        }
    }

    /// Determines, after a change of the list of servers, which server incarnations with broken runs have ended.
    pub(super) fn detect_ended_servers(&mut self, now_ms: u64) {
        let open = self.quarantine.runs.open();
        let ended: Vec<quarantine::ServerInstance> = open
            .filter(|(server, address)| self.has_ended(server, address))
            .map(|(server, _)| server.clone())
            .collect();
        for server in ended {
            let broken = self.quarantine.runs.record_crash(&server, now_ms);
            self.record_server_crash(&server, broken, now_ms);
        }
    }

    /// Whether a server incarnation announced that it leaves.
    fn is_leaving(&self, server: &quarantine::ServerInstance) -> bool {
        self.leaving_servers.contains(&server.vm, server.incarnation)
    }

    fn has_ended(&self, server: &quarantine::ServerInstance, address: &str) -> bool {
        if self.is_leaving(server) || self.lapsed.iter().any(|vm| vm.vm == server.vm) {
            return false;
        }
        match self.vms.get(&server.vm) {
            Some(vm) if vm.incarnation > server.incarnation => true,
            Some(vm) if vm.state == servers::VmState::Leaving => false,
            Some(_) => {
                let has_taken_over = |vm: &servers::Vm| vm.address == address && vm.vm != server.vm;
                self.vms.values().any(has_taken_over)
            }
            None => true,
        }
    }

    fn record_server_crash(
        &mut self,
        server: &quarantine::ServerInstance,
        broken: Vec<(ids::Fingerprint, u64)>,
        now_ms: u64,
    ) {
        if broken.is_empty() {
            return;
        }
        let requests = broken.iter().filter(|(subject, _)| !subject.is_part()).count();
        self.counters.server_crashes += 1;
        self.actions.push(Action::Notice(Notice::ServerCrashed {
            vm: server.vm.clone(),
            incarnation: server.incarnation,
            requests,
        }));
        for (subject, at_ms) in broken {
            self.record_crash_under(subject, server, at_ms.min(now_ms));
        }
    }

    /// Records a crash that counts against a request or a prompt part.
    fn record_crash_under(
        &mut self,
        request: ids::Fingerprint,
        server: &quarantine::ServerInstance,
        at_ms: u64,
    ) {
        let digest = quarantine::Server::new(&server.vm, server.incarnation);
        let change = self.quarantine.table.record_crash(request, digest, at_ms);
        let is_stored = self.quarantine.table.stored_as(&request, at_ms).is_some();
        if change != quarantine::Change::None && is_stored {
            self.quarantine.record_sync.schedule_write();
        }

        // Routers that this one does not reach may have quarantined it already.
        if self.members.live_count() < self.max_live_routers {
            self.quarantine.record_sync.schedule_read();
        }
        self.report_change(request, change, QuarantineSource::Observed, at_ms);
    }

    fn report_change(
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

    /// Merges the reports of a peer; returns whether its table differs from this router's.
    pub(super) fn merge_quarantine(&mut self, updates: &quarantine::Updates, now_ms: u64) -> bool {
        for report in &updates.reports {
            let subject = &report.request;
            let table = &mut self.quarantine.table;
            let stored_before = table.stored_as(subject, now_ms);
            let change = table.merge_report(report, now_ms);
            // Routers that each observed one of the crashes learn of their sum here only.
            let must_store = table.stored_as(subject, now_ms) > stored_before;
            if must_store && table.is_observed(subject) {
                self.quarantine.record_sync.schedule_write();
            }
            self.report_change(*subject, change, QuarantineSource::Peer, now_ms);
        }
        for send in &updates.sends {
            self.quarantine.table.merge_send(send, now_ms);
        }
        updates.summary != self.quarantine.table.summary()
    }

    /// Pushes new reports to peers, removes expired ones, and starts the calls for the record in the store.
    pub(super) fn tick_quarantine(&mut self, now_ms: u64) {
        if now_ms >= self.quarantine.last_expiry_ms + EXPIRY_INTERVAL_MS {
            self.quarantine.last_expiry_ms = now_ms;
            self.quarantine.table.expire(now_ms);
            self.quarantine.runs.remove_expired(now_ms);
        }
        let due = match self.quarantine.table.urgency() {
            None => false,
            Some(quarantine::Urgency::AtOnce) => true,
            Some(quarantine::Urgency::Soon) => {
                now_ms >= self.quarantine.pushed_ms + PUSH_INTERVAL_MS
            }
        };
        if due {
            self.quarantine.pushed_ms = now_ms;
            self.push_to_random_members(now_ms);
        }
        if self.quarantine.record_sync.due(now_ms) && self.read_limiter.try_take(now_ms) {
            self.start_record_call(now_ms);
        }
    }

    fn start_record_call(&mut self, now_ms: u64) {
        let key = quarantine::KEY.to_owned();
        let call = self.register_call(platform::Purpose::Quarantine);
        let request = match self.quarantine.record_sync.start() {
            None => store::Request::Read { key },
            Some(expected_index) => {
                self.write_limiter.try_take(now_ms);
                let reports = self.quarantine.table.reports_to_store(now_ms);
                let record = quarantine::Record::new(reports, self.unix_ms(now_ms));
                let (value, sets_era_marker) = (record.encode(), false);
                store::Request::Write { key, expected_index, value, sets_era_marker }
            }
        };
        self.send_store_call(call, request);
    }

    pub(super) fn handle_record_reply(&mut self, reply: store::Reply, now_ms: u64) {
        let fault = match self.quarantine.record_sync.handle_reply(reply, now_ms, &mut self.rng) {
            quarantine::Reply::Nothing => return,
            quarantine::Reply::Undecodable => "the value is not encoded".to_owned(),
            quarantine::Reply::Value(value) => match quarantine::Record::decode(&value) {
                Ok(record) => {
                    let own = self.quarantine.table.reports_to_store(now_ms);
                    if own.iter().all(|report| record.contains(report.request)) {
                        self.quarantine.record_sync.cancel_rewrite();
                    }
                    for report in record.reports(self.unix_ms(now_ms)) {
                        let change = self.quarantine.table.merge_report(&report, now_ms);
                        let source = QuarantineSource::Store;
                        self.report_change(report.request, change, source, now_ms);
                    }
                    return;
                }
                Err(error) => error.to_string(),
            },
        };
        // The next quarantine overwrites it: the connected routers still have its content.
        self.actions.push(Action::Notice(Notice::RecordUnreadable { key: quarantine::KEY, fault }));
    }

    fn unix_ms(&self, now_ms: u64) -> u64 {
        self.settings.started_s * 1_000 + now_ms
    }
}
