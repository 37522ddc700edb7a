//! Restarts of servers under the same name. Each incarnation has its own slot, so that nothing that
//! was recorded about one is attributed to another.

use super::{Server, Table, Vm, VmState};
use crate::ids;
use std::cmp::Ordering;

/// A restart of a VM's backend server that this router detected, with the number of its requests that were open on the
/// server at that moment. It is logged, and connections to the earlier incarnation are aborted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restarted {
    /// VM of the server.
    pub vm: String,
    /// Incarnation of the server after the restart.
    pub incarnation: ids::ServerIncarnation,
    /// Number of this router's requests that were open at the previous incarnation.
    pub open_requests: u64,
}

impl Table {
    /// Marks an incarnation of a server as leaving; it receives no new requests from now on.
    pub fn mark_leaving(&mut self, vm: &str, incarnation: ids::ServerIncarnation) {
        if let Some(slot) = self.find_incarnation(vm, incarnation) {
            self.servers[slot].vm.state = VmState::Leaving;
        }
    }

    /// Takes the restarts that were detected since the last call.
    pub fn take_restarted(&mut self) -> Vec<Restarted> {
        std::mem::take(&mut self.restarted)
    }

    /// Applies a listed record of a server: updates the slot of its incarnation, or creates one for a new server or a
    /// later incarnation. A record of an earlier incarnation is ignored. An incarnation has one software version, so a
    /// record with another one is that of a later incarnation, also where servers do not record their start.
    pub(super) fn apply_vm(&mut self, vm: &Vm, now_ms: u64) {
        let of_service = self.by_service.get(&vm.service).map_or(&[][..], Vec::as_slice);
        let brittle = self.seats.latest_statement(of_service);
        if let Some(slot) = self.find(&vm.vm) {
            let known = &self.servers[slot].vm;
            match vm.incarnation.cmp(&known.incarnation) {
                Ordering::Less => return,
                Ordering::Equal if vm.version == known.version => {
                    return self.update_incarnation(slot, vm, now_ms);
                }
                Ordering::Equal | Ordering::Greater => self.end_incarnation(slot, vm.incarnation),
            }
        }
        let slot = self.servers.insert(Server::new(vm.clone()));
        // The servers of a service are brittle together: this one may be so before its first answer.
        if let Some((rejections_per_s, stated_ms)) = brittle {
            self.seats.record_statement(slot, rejections_per_s, stated_ms);
        }
        self.servers[slot].evacuated = self.evacuated.contains(&vm.failure_domain);
        self.start_warm_up(slot, now_ms);
        self.by_vm.insert(vm.vm.clone(), slot);
        self.by_service.entry(vm.service.clone()).or_default().push(slot);
        self.service_answer_times.entry(vm.service.clone()).or_default();
    }

    /// Ends the present incarnation of a VM's server, so that one with an earlier start can follow it.
    pub fn end_present(&mut self, vm: &str, next: ids::ServerIncarnation) {
        if let Some(slot) = self.by_vm.remove(vm) {
            self.end_incarnation(slot, next);
        }
    }

    /// Ends an incarnation of a server. The next one gets its own slot, because nothing that was
    /// recorded about this one applies to it.
    fn end_incarnation(&mut self, slot: ids::ServerSlot, next: ids::ServerIncarnation) {
        let server = &mut self.servers[slot];
        server.superseded = true;
        let (vm, open_requests) = (server.vm.vm.clone(), server.in_flight);
        self.restarted.push(Restarted { vm, incarnation: next, open_requests });
        self.limits.remove(slot);
        self.seats.remove(slot);
        for slots in self.by_service.values_mut() {
            slots.retain(|other| *other != slot);
        }
    }

    /// Applies the listed state of an incarnation that has a slot already.
    fn update_incarnation(&mut self, slot: ids::ServerSlot, vm: &Vm, now_ms: u64) {
        let server = &mut self.servers[slot];
        // The list is delayed: a VM that was reported as leaving stays so.
        let leaving = server.vm.state == VmState::Leaving;
        // A record that is listed again has the same time, and must not start the warm-up again.
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
