//! Servers that start again under their names. Each life has a slot of its own, so that nothing that was learned of one is
//! put to another's account.

use super::{Server, Table, Vm, VmState};
use crate::ids;
use std::cmp::Ordering;

/// A server that started again under its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restarted {
    /// Its VM.
    pub vm: String,
    /// Its life from now on.
    pub life: ids::ServerLife,
    /// Requests of this router that were open at the life before.
    pub open_requests: u64,
}

impl Table {
    /// Notes that a life of a server is leaving; it gets nothing new from here on.
    pub fn leaving(&mut self, vm: &str, life: ids::ServerLife) {
        if let Some(slot) = self.find_life(vm, life) {
            self.servers[slot].vm.state = VmState::Leaving;
        }
    }

    /// Takes the servers that started again under their names since the last call.
    pub fn take_restarted(&mut self) -> Vec<Restarted> {
        std::mem::take(&mut self.restarted)
    }

    pub(super) fn follow_vm(&mut self, vm: &Vm, now_ms: u64) {
        if let Some(slot) = self.find(&vm.vm) {
            match vm.life.cmp(&self.servers[slot].vm.life) {
                Ordering::Less => return,
                Ordering::Equal => return self.follow_life(slot, vm, now_ms),
                Ordering::Greater => self.end_life(slot, vm.life),
            }
        }
        let slot = self.servers.insert(Server::new(vm.clone()));
        self.servers[slot].evacuated = self.evacuated.contains(&vm.failure_domain);
        self.start_warm_up(slot, now_ms);
        self.by_vm.insert(vm.vm.clone(), slot);
        self.by_service.entry(vm.service.clone()).or_default().push(slot);
        self.paces.entry(vm.service.clone()).or_default();
    }

    /// A later life of a server begins. Nothing that was learned of this one holds for it: it gets a slot of its own.
    fn end_life(&mut self, slot: ids::ServerSlot, next: ids::ServerLife) {
        let server = &mut self.servers[slot];
        server.over = true;
        let (vm, open_requests) = (server.vm.vm.clone(), server.in_flight);
        self.restarted.push(Restarted { vm, life: next, open_requests });
        self.limits.forget(slot);
        for slots in self.by_service.values_mut() {
            slots.retain(|other| *other != slot);
        }
    }

    /// Follows what the list says of a life that is known.
    fn follow_life(&mut self, slot: ids::ServerSlot, vm: &Vm, now_ms: u64) {
        let server = &mut self.servers[slot];
        // The list lags: what peers said of a leaving VM stays true.
        let leaving = server.vm.state == VmState::Leaving;
        let cold_again = vm.cold_ms > 0 && vm.cold_ms != server.vm.cold_ms;
        server.vm = vm.clone();
        if leaving {
            server.vm.state = VmState::Leaving;
        }
        if cold_again {
            self.start_warm_up(slot, now_ms);
        }
    }
}
