//! Limit checks in the choice of a server.
//!
//! Every send passes these checks, so that no other code path exceeds a server's limit. Requests of
//! a router that applied the limit on its own, or only on some paths, would add to those of the
//! other routers.

use super::{LimitReport, Limits, Server, Table, Unavailable};
use crate::ids;
use std::collections;

impl Table {
    /// Limits of all servers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Mutable limits of all servers.
    pub fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// Takes the limit reports for the next datagram.
    pub fn take_limit_updates(&mut self) -> Vec<(ids::ServerSlot, LimitReport)> {
        let Self { limits, servers, .. } = self;
        limits.take_updates(|slot| servers.get(slot).map_or(0, |server| server.vm.vm.len()))
    }

    /// Slot of one incarnation of a VM's server.
    pub fn find_incarnation(
        &self,
        vm: &str,
        incarnation: ids::ServerIncarnation,
    ) -> Option<ids::ServerSlot> {
        self.find(vm).filter(|slot| self.servers[*slot].vm.incarnation == incarnation)
    }

    /// Resets the estimated answer time of a server: it is outdated or comes from a few requests
    /// under overload.
    pub fn reset_answer_time(&mut self, slot: ids::ServerSlot) {
        if let Some(server) = self.servers.get_mut(slot) {
            server.answer_time = Default::default();
        }
    }

    /// Live servers that are limited, by service.
    pub fn limited_services(&self) -> collections::BTreeMap<&str, Vec<ids::ServerSlot>> {
        let mut services: collections::BTreeMap<&str, Vec<ids::ServerSlot>> = Default::default();
        for (slot, _) in self.limits.iter_limited() {
            if let Some(server) = self.servers.get(slot).filter(|server| server.is_live()) {
                services.entry(&server.vm.service).or_default().push(slot);
            }
        }
        services
    }

    /// Whether every server of a service that may receive new requests is limited.
    pub fn all_limited(&self, service: &str, now_ms: u64) -> bool {
        let slots = self.by_service.get(service).into_iter().flatten();
        let accepts = |slot: &&ids::ServerSlot| {
            let server = &self.servers[**slot];
            server.is_live() && !server.backs_off(now_ms)
        };
        let mut accepting = slots.filter(accepts).peekable();
        accepting.peek().is_some() && accepting.all(|slot| self.limits.limited(*slot).is_some())
    }

    /// Number of requests that a limited server did not get because of its limit, by service.
    pub fn held_back(&self) -> &collections::BTreeMap<String, u64> {
        &self.held_back
    }

    /// Whether a request may still be sent to the server that was chosen for it at `chosen_ms`.
    pub fn may_still_send(&self, slot: ids::ServerSlot, chosen_ms: u64, now_ms: u64) -> bool {
        let limit_permits = self.limits.limited(slot).is_none_or(|known| {
            known.since_ms < chosen_ms && now_ms < chosen_ms + super::PERMIT_TTL_MS
        });
        let accepts = |server: &Server| server.is_live() && !server.backs_off(now_ms);
        limit_permits && self.servers.get(slot).is_some_and(accepts)
    }

    /// Whether a server has room, or a seat if it is brittle, and its limit permits a request of this router now.
    pub(super) fn is_open(&self, slot: ids::ServerSlot, now_ms: u64) -> bool {
        let server = &self.servers[slot];
        let has_room = match self.free_seats(slot, now_ms) {
            Some(free) => free > 0,
            None => server.has_room(),
        };
        has_room && !server.is_held_back(now_ms) && self.limits.may_send(slot, now_ms)
    }

    /// Whether a trial request is to be sent to a limited server now.
    pub(super) fn is_trial_due(&self, slot: ids::ServerSlot, now_ms: u64) -> bool {
        self.limits.limited(slot).is_some_and(|known| known.share.trial(now_ms))
    }

    /// Reason why none of these servers can take the request.
    pub(super) fn unavailability(&self, matching: &[ids::ServerSlot], now_ms: u64) -> Unavailable {
        let accepts = |slot: &&ids::ServerSlot| !self.servers[**slot].backs_off(now_ms);
        let mut accepting = matching.iter().filter(accepts).peekable();
        if accepting.peek().is_none() {
            return Unavailable::Backoff;
        }
        match accepting.all(|slot| self.limits.limited(*slot).is_some()) {
            true => Unavailable::Limited,
            false => Unavailable::Full,
        }
    }

    /// Counts a request for which a limited server was skipped.
    pub(super) fn count_held_back(
        &mut self,
        service: &str,
        matching: &[ids::ServerSlot],
        now_ms: u64,
    ) {
        if matching.iter().any(|slot| !self.limits.may_send(*slot, now_ms)) {
            *self.held_back.entry(service.to_owned()).or_default() += 1;
        }
    }
}
