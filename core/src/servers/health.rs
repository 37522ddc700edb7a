//! What a router makes of a server's failures: after a few in a row it is ejected for a while, then tried with one request.
//!
//! That is a guess, and gives way where nothing else is left.

use super::{Server, Table};
use crate::ids;

/// After this many failures in a row a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;
const EJECTED_BASE_MS: u64 = 500;
const EJECTED_LIMIT_MS: u64 = 30_000;

impl Server {
    /// Whether it may be used, as far as its failures tell.
    pub(super) fn usable(&self, now_ms: u64) -> bool {
        let ejected = now_ms < self.ejected_until_ms || (self.failures > 0 && self.probing);
        self.is_live() && !ejected
    }

    /// One that was ejected is tried with one request before it gets more.
    pub(super) fn note_probing(&mut self) {
        self.probing = self.failures >= FAILURES_TO_EJECT;
    }
}

impl Table {
    /// Notes that a server answered in full, and its pace.
    pub fn succeeded(&mut self, slot: ids::ServerSlot, took_ms: u64, now_ms: u64) {
        let Some(server) = self.servers.get_mut(slot) else { return };
        server.failures = 0;
        server.probing = false;
        if let Some(service) = self.paces.get_mut(&server.vm.service) {
            server.pace.heard(took_ms, service, now_ms);
        }
    }

    /// Notes that a server turned a request away that was sent then; returns for how long it is ejected. Of requests that
    /// were under way together only the first counts: a server that is full for one moment is not ejected for it.
    pub fn turned_away(&mut self, slot: ids::ServerSlot, sent_ms: u64, now_ms: u64) -> Option<u64> {
        let server = self.servers.get_mut(slot)?;
        if server.turned_away_ms.is_some_and(|at_ms| sent_ms <= at_ms) {
            return None;
        }
        server.turned_away_ms = Some(now_ms);
        self.failed(slot, now_ms)
    }

    /// Notes that a server failed; after a few in a row it is ejected for a while: returns how long.
    pub fn failed(&mut self, slot: ids::ServerSlot, now_ms: u64) -> Option<u64> {
        let server = self.servers.get_mut(slot)?;
        server.failures = server.failures.saturating_add(1);
        server.probing = false;
        let times = server.failures.checked_sub(FAILURES_TO_EJECT)?;
        let ejected_ms = (EJECTED_BASE_MS << times.min(10)).min(EJECTED_LIMIT_MS);
        server.ejected_until_ms = now_ms + ejected_ms;
        Some(ejected_ms)
    }

    /// Notes that a server's address refuses connections: it is ejected with its next failure, which each send to it
    /// would be.
    pub fn refused(&mut self, slot: ids::ServerSlot, now_ms: u64) {
        if let Some(server) = self.servers.get_mut(slot) {
            server.failures = server.failures.max(FAILURES_TO_EJECT);
            server.probing = false;
            server.ejected_until_ms = server.ejected_until_ms.max(now_ms + EJECTED_BASE_MS);
        }
    }
}
