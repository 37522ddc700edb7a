//! Ejection of failing servers: after several failures in a row a server is ejected for a while,
//! then probed with one request.
//!
//! An ejection is only an estimate of this router and is ignored if no other server is left.

use super::{Server, Table};
use crate::ids;

/// Number of consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
const EJECTION_BASE_MS: u64 = 500;
const EJECTION_MAX_MS: u64 = 30_000;

impl Server {
    /// Whether the server is live, not ejected and not being probed after an ejection.
    pub(super) fn usable(&self, now_ms: u64) -> bool {
        let ejected = now_ms < self.ejected_until_ms || (self.failures > 0 && self.probing);
        self.is_live() && !ejected
    }

    /// Marks a server that was ejected as probed, so that it gets no second request before the
    /// first has ended.
    pub(super) fn mark_probed(&mut self) {
        self.probing = self.failures >= FAILURES_TO_EJECT;
    }
}

impl Table {
    /// Records a complete answer of a server and the time it took.
    pub fn record_success(&mut self, slot: ids::ServerSlot, took_ms: u64, now_ms: u64) {
        let Some(server) = self.servers.get_mut(slot) else { return };
        server.failures = 0;
        server.probing = false;
        if let Some(service) = self.service_answer_times.get_mut(&server.vm.service) {
            server.answer_time.record(took_ms, service, now_ms);
        }
    }

    /// Records that a server rejected a request that was sent at `sent_ms`; returns how long the
    /// server is ejected, if it is. Of requests that were in flight together only the first
    /// rejection counts, so that a server that is full for a moment is not ejected.
    pub fn record_rejection(
        &mut self,
        slot: ids::ServerSlot,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        let server = self.servers.get_mut(slot)?;
        if server.rejected_ms.is_some_and(|at_ms| sent_ms <= at_ms) {
            return None;
        }
        server.rejected_ms = Some(now_ms);
        self.record_failure(slot, sent_ms, now_ms)
    }

    /// Records that a request that was sent to a server at `sent_ms` failed; returns how long the server is ejected, if
    /// it is. Requests that were in flight together eject a server once, so that one that was silent for a moment is
    /// not ejected for longer than it was silent.
    pub fn record_failure(
        &mut self,
        slot: ids::ServerSlot,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        let server = self.servers.get_mut(slot)?;
        let in_flight_at_ejection =
            server.failures >= FAILURES_TO_EJECT && sent_ms < server.ejected_ms;
        if sent_ms < server.failures_count_from_ms || in_flight_at_ejection {
            return None;
        }
        server.failures = server.failures.saturating_add(1);
        server.probing = false;
        let doublings = server.failures.checked_sub(FAILURES_TO_EJECT)?;
        let ejected_ms = (EJECTION_BASE_MS << doublings.min(10)).min(EJECTION_MAX_MS);
        server.ejected_ms = now_ms;
        server.ejected_until_ms = now_ms + ejected_ms;
        Some(ejected_ms)
    }

    /// Records that a request to a server ended without showing whether the server works, so that another one may probe
    /// it.
    pub fn end_probe(&mut self, slot: ids::ServerSlot) {
        if let Some(server) = self.servers.get_mut(slot) {
            server.probing = false;
        }
    }

    /// Forgets the failures and the ejections of servers whose link was lost or restored, and of requests that were sent
    /// to them before; `address` is that of one server, or `None` for all.
    pub fn forgive_failures(&mut self, address: Option<&str>, now_ms: u64) {
        let servers = self.servers.values_mut();
        for server in
            servers.filter(|server| address.is_none_or(|address| server.vm.address == address))
        {
            server.failures = 0;
            server.probing = false;
            server.ejected_until_ms = 0;
            server.failures_count_from_ms = now_ms;
        }
    }

    /// Records that a server's address refuses connections. The server is ejected at once instead of after
    /// `FAILURES_TO_EJECT` failures, because every request to it would fail, and its next failure ejects it
    /// again. An ejection that already lasts longer stays as it is.
    pub fn record_refused(&mut self, slot: ids::ServerSlot, now_ms: u64) {
        if let Some(server) = self.servers.get_mut(slot) {
            server.failures = server.failures.max(FAILURES_TO_EJECT);
            server.probing = false;
            server.ejected_ms = now_ms;
            server.ejected_until_ms = server.ejected_until_ms.max(now_ms + EJECTION_BASE_MS);
        }
    }
}
