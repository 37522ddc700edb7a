//! What the choice of a server has to do with limits.
//!
//! Every send is chosen here, so that no way around it exceeds what a server takes: a router that kept to a limit by itself,
//! or only on some of its ways, would add to what the others send.

use super::{Lack, LimitReport, Limits, Server, Table};
use crate::ids;
use std::collections;

impl Table {
    /// What is known of servers' limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The same, to be changed.
    pub fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// What the next datagram tells of limits.
    pub fn take_limit_news(&mut self) -> Vec<(ids::ServerSlot, LimitReport)> {
        let Self { limits, servers, .. } = self;
        limits.take_news(|slot| servers.get(slot).map_or(0, |server| server.vm.vm.len()))
    }

    /// The slot of a life of a VM's server.
    pub fn find_life(&self, vm: &str, life: ids::ServerLife) -> Option<ids::ServerSlot> {
        self.find(vm).filter(|slot| self.servers[*slot].vm.life == life)
    }

    /// Forgets how fast a server is: what is known is that of a few requests while it was in need, or old.
    pub fn forget_pace(&mut self, slot: ids::ServerSlot) {
        if let Some(server) = self.servers.get_mut(slot) {
            server.pace = Default::default();
        }
    }

    /// The limited servers that are live, with their services.
    pub fn limited_services(&self) -> collections::BTreeMap<&str, Vec<ids::ServerSlot>> {
        let mut services: collections::BTreeMap<&str, Vec<ids::ServerSlot>> = Default::default();
        for (slot, _) in self.limits.iter_limited() {
            if let Some(server) = self.servers.get(slot).filter(|server| server.is_live()) {
                services.entry(&server.vm.service).or_default().push(slot);
            }
        }
        services
    }

    /// Whether every server of a service that may get new work is limited.
    pub fn all_limited(&self, service: &str, now_ms: u64) -> bool {
        let slots = self.by_service.get(service).into_iter().flatten();
        let takes = |slot: &&ids::ServerSlot| {
            let server = &self.servers[**slot];
            server.is_live() && !server.backs_off(now_ms)
        };
        let mut takers = slots.filter(takes).peekable();
        takers.peek().is_some() && takers.all(|slot| self.limits.limited(*slot).is_some())
    }

    /// Requests that a limited server did not get, by service.
    pub fn held_back(&self) -> &collections::BTreeMap<String, u64> {
        &self.held_back
    }

    /// Whether a request may still go to the server that was chosen for it a while ago.
    pub fn may_still_send(&self, slot: ids::ServerSlot, chosen_ms: u64, now_ms: u64) -> bool {
        let limit_holds = self.limits.limited(slot).is_none_or(|known| {
            known.since_ms < chosen_ms && now_ms < chosen_ms + super::PERMIT_KEPT_MS
        });
        let takes = |server: &Server| server.is_live() && !server.backs_off(now_ms);
        limit_holds && self.servers.get(slot).is_some_and(takes)
    }

    /// Whether a server has room and this router may send to it.
    pub(super) fn is_open(&self, slot: ids::ServerSlot, now_ms: u64) -> bool {
        self.limits.may_send(slot, now_ms) && self.servers[slot].has_room(now_ms)
    }

    /// Whether a request is to go to a limited server so that its limit is heard.
    pub(super) fn wants_trial(&self, slot: ids::ServerSlot, now_ms: u64) -> bool {
        self.limits.limited(slot).is_some_and(|known| known.share.trial(now_ms))
    }

    /// Why none of these servers is open.
    pub(super) fn lack(&self, fitting: &[ids::ServerSlot], now_ms: u64) -> Lack {
        let takes = |slot: &&ids::ServerSlot| !self.servers[**slot].backs_off(now_ms);
        let mut takers = fitting.iter().filter(takes).peekable();
        if takers.peek().is_none() {
            return Lack::Backoff;
        }
        match takers.all(|slot| self.limits.limited(*slot).is_some()) {
            true => Lack::Limited,
            false => Lack::Full,
        }
    }

    /// Counts a request that limited servers did not get.
    pub(super) fn count_held_back(
        &mut self,
        service: &str,
        fitting: &[ids::ServerSlot],
        now_ms: u64,
    ) {
        if fitting.iter().any(|slot| !self.limits.may_send(*slot, now_ms)) {
            *self.held_back.entry(service.to_owned()).or_default() += 1;
        }
    }
}
