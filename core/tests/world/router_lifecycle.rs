//! Starts, pauses, kills and stops router processes, and delivers the platform's state to them.

use super::{Event, Router, World};
use doorswitch_core::{config, ids, machine_clock, node, servers};
use rand::RngExt;
use std::collections::BTreeSet;

impl Router {
    /// The entry of the router in the platform's list of VMs.
    pub fn listed_vm(&self) -> servers::Vm {
        servers::Vm {
            vm: self.vm.clone(),
            service: node::ROUTER_SERVICE.to_owned(),
            address: self.address.clone(),
            class: "entry".to_owned(),
            version: String::new(),
            failure_domain: "a".to_owned(),
            state: servers::VmState::Live,
            slots: 0,
            incarnation: Default::default(),
            cold_ms: 0,
        }
    }
}

impl World {
    /// Kills a router. The engines finish its requests, so their tokens count as served at once.
    pub fn kill(&mut self, router: usize) {
        if !self.routers[router].alive {
            return;
        }
        self.kills += 1;
        self.routers[router].alive = false;
        self.routers[router].deferred.clear();
        let incarnation = self.routers[router].incarnation;
        for request in self
            .requests
            .iter_mut()
            .filter(|request| request.incarnation == incarnation && request.running)
        {
            request.running = false;
            let totals = &mut self.totals[request.budget];
            totals.outstanding_tokens -= request.bound_tokens;
            totals.served_tokens += request.actual_tokens;
        }
    }

    /// Starts a killed router again, either at its old address or on a new VM. In the latter case, the platform removes
    /// the old VM from its list after `vm_removal_delay_ms`.
    pub fn restart(&mut self, router: usize, same_address: bool) {
        if self.routers[router].alive {
            return;
        }
        let old = (self.routers[router].vm.clone(), self.routers[router].address.clone());
        let (vm, address) = match same_address {
            true => old,
            false => {
                let removal = Event::VmGone { vm: old.0 };
                self.schedule(self.vm_removal_delay_ms, removal);
                let number: u64 = self.rng.random();
                (format!("vm-{number}"), format!("10.1.{}.{}:1", number % 250, number / 250 % 250))
            }
        };
        self.routers[router] = self.new_router(router, vm, address);
        self.list_routers();
    }

    /// The steady clock of a VM for a process that binds its address now.
    fn machine_clock(&self, vm: &str) -> Option<machine_clock::MachineClock> {
        let boots = self.boots.get(vm).copied().unwrap_or(0);
        Some(machine_clock::MachineClock {
            run: machine_clock::ClockRun { boot: format!("{vm} {boots}"), epoch_ms: 0 },
            origin_ms: 0,
            address_bound_ms: self.now_ms,
        })
    }

    /// Kills a router in a loss of power of its VM, whose steady clock begins anew.
    pub fn cut_power(&mut self, router: usize) {
        self.kill(router);
        *self.boots.entry(self.routers[router].vm.clone()).or_default() += 1;
    }

    pub fn pause(&mut self, router: usize) {
        self.routers[router].paused = true;
    }

    /// Resumes a paused router and delivers the events that arrived in the meantime.
    pub fn resume(&mut self, router: usize) {
        if !self.routers[router].paused {
            return;
        }
        self.routers[router].paused = false;
        for event in std::mem::take(&mut self.routers[router].deferred) {
            self.deliver(event);
        }
    }

    /// Asks a router to shut down gracefully.
    pub fn stop(&mut self, router: usize) {
        if self.routers[router].alive && !self.routers[router].paused {
            self.routers[router].node.stop(self.now_ms);
            self.perform_actions(router);
        }
    }

    pub(super) fn new_router(&mut self, index: usize, vm: String, address: String) -> Router {
        let incarnation = ids::Incarnation(self.rng.random());
        let seeds = self.routers.iter().map(|router| router.address.clone()).collect();
        let settings = node::Settings {
            incarnation,
            vm: vm.clone(),
            address: address.clone(),
            failure_domain: format!("domain-{index}"),
            region: format!("region-{}", index % self.shape.regions),
            seeds,
            started_s: 0,
            machine_clock: self.machine_clock(&vm),
            platform_reads_per_s: 2_000,
            platform_writes_per_s: self.shape.writes_per_s,
            budget_wait_ms: 500,
            claim_wait_ms: 3_000,
            handover_wait_ms: 1_000,
            watch: None,
        };
        Router {
            node: node::Node::new(settings, self.rng.random(), self.now_ms),
            incarnation,
            vm,
            address,
            region: index % self.shape.regions,
            alive: true,
            paused: false,
            deferred: Vec::new(),
            last_version: 0,
        }
    }

    /// Adds routers to the platform's list of VMs.
    pub(super) fn list_routers(&mut self) {
        let routers = self.routers.iter().map(Router::listed_vm);
        let listed: BTreeSet<String> = self.vms.iter().map(|vm| vm.vm.clone()).collect();
        let new: Vec<servers::Vm> = routers.filter(|vm| !listed.contains(&vm.vm)).collect();
        self.vms.extend(new);
        self.vms_index += 1;
    }

    /// Delivers the configuration and the list of VMs to a router, as the platform has them now.
    pub fn deliver_platform_state(&mut self, index: usize) {
        if self.faults.store_unavailable || self.faults.store_cut.contains(&index) {
            return;
        }
        let router = &mut self.routers[index];
        if let Some((_, value)) = self.store.get(config::KEY) {
            let published = serde_json::from_slice(value).unwrap();
            router.node.offer_config(published, self.now_ms);
        }
        if !self.vms_stale.contains(&index) {
            let index = doorswitch_core::store::Position::new(0, self.vms_index);
            router.node.offer_vms(index, self.vms.clone(), self.now_ms);
        }
        self.perform_actions(index);
    }
}
