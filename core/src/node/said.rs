//! What servers say of themselves in the heads of their answers.

use super::{Action, Node, Notice};
use crate::{ids, leaving_servers, message, servers};

/// Leavings are told no more often than this.
const TELL_EVERY_MS: u64 = 100;

impl Node {
    /// Takes in what the head of an answer says of its server.
    pub fn report_said(
        &mut self,
        vm: &str,
        life: ids::ServerLife,
        said: &servers::Directives,
        age: servers::AnswerAge,
        now_ms: u64,
    ) {
        for header in said.unreadable() {
            self.note_unreadable(vm, life, header);
        }
        // What ends a limit lets requests go that wait, so what forbids them comes before it.
        if said.is_leaving == servers::Directive::Value(true) {
            self.hear_leaving(vm, life, leaving_servers::Source::Answer, None);
        }
        if let servers::Directive::Value(backoff_ms) = said.backoff_ms {
            let left_ms = backoff_ms.saturating_sub(age.received_ms);
            self.hear_backoff(vm, life, now_ms + left_ms, now_ms);
        }
        self.report_limit(vm, life, said.limit_milli_per_s, age.sent_ms, now_ms);
    }

    fn note_unreadable(&mut self, vm: &str, life: ids::ServerLife, header: servers::Header) {
        let Some(slot) = self.servers.find_life(vm, life) else { return };
        if self.servers.note_unreadable(slot, header) {
            let notice = Notice::HeaderUnreadable { vm: vm.to_owned(), header };
            self.actions.push(Action::Notice(notice));
        }
    }

    fn hear_backoff(&mut self, vm: &str, life: ids::ServerLife, until_ms: u64, now_ms: u64) {
        let Some(slot) = self.servers.find_life(vm, life) else { return };
        if !self.servers.back_off(slot, until_ms, now_ms, &mut self.rng) {
            return;
        }
        let service = self.servers.get(slot).map(|server| server.vm.service.clone());
        let service = service.unwrap_or_default();
        *self.counters.server_backoffs.entry(service.clone()).or_default() += 1;
        let for_ms = until_ms - now_ms;
        let notice = Notice::ServerBackoff { vm: vm.to_owned(), life, service, for_ms };
        self.actions.push(Action::Notice(notice));
    }

    /// Takes in that a life of a server leaves; `from` is the router that told.
    pub(super) fn hear_leaving(
        &mut self,
        vm: &str,
        life: ids::ServerLife,
        source: leaving_servers::Source,
        from: Option<ids::Incarnation>,
    ) {
        self.servers.mark_leaving(vm, life);
        if !self.leavings.record(vm, life, source) {
            return;
        }
        let slot = self.servers.find_life(vm, life);
        let service = slot.and_then(|slot| Some(self.servers.get(slot)?.vm.service.clone()));
        let service = service.unwrap_or_default();
        let vm = vm.to_owned();
        let notice = Notice::ServerLeaving { vm, life, service, source, from };
        self.actions.push(Action::Notice(notice));
    }

    /// Takes in that a peer knows of a server that leaves.
    pub(super) fn hear_leaving_of(&mut self, from: ids::Incarnation, leaving: &message::Leaving) {
        let message::Leaving { vm, life, source } = leaving;
        // A record that is not known here as live tells nothing new: the peer's list may be the older one.
        let live =
            |known: &servers::Vm| known.state == servers::VmState::Live && known.life == *life;
        if *source == leaving_servers::Source::Answer || self.vms.get(vm).is_some_and(live) {
            self.hear_leaving(vm, *life, *source, Some(from));
        }
    }

    /// Ends backoffs that are over, and tells which servers leave.
    pub(super) fn tick_said(&mut self, now_ms: u64) {
        for slot in self.servers.end_backoffs(now_ms) {
            let Some(server) = self.servers.get(slot) else { continue };
            let (vm, service) = (server.vm.vm.clone(), server.vm.service.clone());
            let notice = Notice::ServerBackoffEnded { vm, service };
            self.actions.push(Action::Notice(notice));
        }
        if self.leavings.has_unsent() && now_ms >= self.leavings_told_ms + TELL_EVERY_MS {
            self.leavings_told_ms = now_ms;
            self.push_to_some(now_ms);
        }
    }
}
