//! Directives of servers in the headers of their answers: that the server leaves, backs off or limits its requests.

use super::{Action, Node, Notice};
use crate::{ids, leaving_servers, message, servers};

/// Minimum interval between pushes of updates about leaving servers.
const PUSH_INTERVAL_MS: u64 = 100;

impl Node {
    /// Applies the directives in the headers of an answer to the state of its server.
    pub fn report_directives(
        &mut self,
        vm: &str,
        incarnation: ids::ServerIncarnation,
        directives: &servers::Directives,
        age: servers::AnswerAge,
        now_ms: u64,
    ) {
        for header in directives.unreadable() {
            self.report_unreadable_header(vm, incarnation, header);
        }

        // The end of a limit dispatches waiting requests, so directives that prevent dispatches are applied before it.
        if directives.is_leaving == servers::Directive::Value(true) {
            self.record_leaving(vm, incarnation, leaving_servers::Source::Answer, None);
        }
        if let servers::Directive::Value(backoff_ms) = directives.backoff_ms {
            let left_ms = backoff_ms.saturating_sub(age.received_ms);
            self.start_backoff(vm, incarnation, now_ms + left_ms, now_ms);
        }
        let rejections_per_s = directives.rejections_per_s;
        self.report_brittle(vm, incarnation, rejections_per_s, age.sent_ms, now_ms);
        self.report_limit(vm, incarnation, directives.limit_milli_per_s, age.sent_ms, now_ms);
    }

    fn report_unreadable_header(
        &mut self,
        vm: &str,
        incarnation: ids::ServerIncarnation,
        header: servers::Header,
    ) {
        let Some(slot) = self.servers.find_incarnation(vm, incarnation) else { return };
        if self.servers.record_unreadable(slot, header) {
            let notice = Notice::HeaderUnreadable { vm: vm.to_owned(), header };
            self.actions.push(Action::Notice(notice));
        }
    }

    fn start_backoff(
        &mut self,
        vm: &str,
        incarnation: ids::ServerIncarnation,
        until_ms: u64,
        now_ms: u64,
    ) {
        let Some(slot) = self.servers.find_incarnation(vm, incarnation) else { return };
        if !self.servers.back_off(slot, until_ms, now_ms, &mut self.rng) {
            return;
        }
        let service = self.servers.get(slot).map(|server| server.vm.service.clone());
        let service = service.unwrap_or_default();
        *self.counters.server_backoffs.entry(service.clone()).or_default() += 1;
        let for_ms = until_ms - now_ms;
        let notice = Notice::ServerBackoff { vm: vm.to_owned(), incarnation, service, for_ms };
        self.actions.push(Action::Notice(notice));
    }

    /// Records that a server incarnation leaves; `from` is the router that reported it, if it was not this one.
    pub(super) fn record_leaving(
        &mut self,
        vm: &str,
        server_incarnation: ids::ServerIncarnation,
        source: leaving_servers::Source,
        from: Option<ids::Incarnation>,
    ) {
        self.servers.mark_leaving(vm, server_incarnation);
        if !self.leaving_servers.record(vm, server_incarnation, source) {
            return;
        }
        let slot = self.servers.find_incarnation(vm, server_incarnation);
        let service = slot.and_then(|slot| Some(self.servers.get(slot)?.vm.service.clone()));
        let service = service.unwrap_or_default();
        let vm = vm.to_owned();
        let notice =
            Notice::ServerLeaving { vm, incarnation: server_incarnation, service, source, from };
        self.actions.push(Action::Notice(notice));
    }

    /// Merges a peer's report of a leaving server.
    pub(super) fn merge_leaving(
        &mut self,
        from: ids::Incarnation,
        leaving: &message::LeavingUpdate,
    ) {
        let message::LeavingUpdate { vm, incarnation, source } = leaving;
        // Without a live record here the report is ignored: the peer's list may be the older one.
        let live = |listed: &servers::Vm| {
            listed.state == servers::VmState::Live && listed.incarnation == *incarnation
        };
        if *source == leaving_servers::Source::Answer || self.vms.get(vm).is_some_and(live) {
            self.record_leaving(vm, *incarnation, *source, Some(from));
        }
    }

    /// Ends expired backoffs, and pushes updates about leaving servers.
    pub(super) fn tick_directives(&mut self, now_ms: u64) {
        for slot in self.servers.end_backoffs(now_ms) {
            let Some(server) = self.servers.get(slot) else { continue };
            let (vm, service) = (server.vm.vm.clone(), server.vm.service.clone());
            let notice = Notice::ServerBackoffEnded { vm, service };
            self.actions.push(Action::Notice(notice));
        }
        if self.leaving_servers.has_unsent()
            && now_ms >= self.leaving_servers_pushed_ms + PUSH_INTERVAL_MS
        {
            self.leaving_servers_pushed_ms = now_ms;
            self.push_to_random_members(now_ms);
        }
    }
}
