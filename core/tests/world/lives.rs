//! How router processes start, sleep, die and stop, and what the platform tells them.

use super::{Event, Router, World};
use doorswitch_core::{config, ids, node, servers};
use rand::RngExt;
use std::collections::BTreeSet;

impl World {
    /// Kills a router; its streams may go on at the engines.
    pub fn kill(&mut self, at: usize) {
        if !self.routers[at].alive {
            return;
        }
        self.deaths += 1;
        self.routers[at].alive = false;
        self.routers[at].held.clear();
        let incarnation = self.routers[at].incarnation;
        for given in
            self.given.iter_mut().filter(|given| given.incarnation == incarnation && given.running)
        {
            given.running = false;
            let truth = &mut self.truth[given.budget];
            truth.outstanding_tokens -= given.bound_tokens;
            truth.served_tokens += given.actual_tokens;
        }
    }

    /// Starts a killed router again: at its old address, or on a new VM while the old one goes.
    pub fn restart(&mut self, at: usize, same_address: bool) {
        if self.routers[at].alive {
            return;
        }
        let old = (self.routers[at].vm.clone(), self.routers[at].address.clone());
        let (vm, address) = match same_address {
            true => old,
            false => {
                let gone = Event::VmGone { vm: old.0 };
                self.after(self.vms_lag_ms, gone);
                let number: u64 = self.rng.random();
                (format!("vm-{number}"), format!("10.1.{}.{}:1", number % 250, number / 250 % 250))
            }
        };
        self.routers[at] = self.new_router(at, vm, address);
        self.list_routers();
    }

    pub fn pause(&mut self, at: usize) {
        self.routers[at].paused = true;
    }

    pub fn resume(&mut self, at: usize) {
        if !self.routers[at].paused {
            return;
        }
        self.routers[at].paused = false;
        for event in std::mem::take(&mut self.routers[at].held) {
            self.deliver(event);
        }
    }

    pub fn stop(&mut self, at: usize) {
        if self.routers[at].alive && !self.routers[at].paused {
            self.routers[at].node.stop(self.now_ms);
            self.carry_out(at);
        }
    }

    pub(super) fn new_router(&mut self, place: usize, vm: String, address: String) -> Router {
        let incarnation = ids::Incarnation(self.rng.random());
        let seeds = self.routers.iter().map(|it| it.address.clone()).collect();
        let settings = node::Settings {
            incarnation,
            vm: vm.clone(),
            address: address.clone(),
            failure_domain: format!("domain-{place}"),
            region: format!("region-{}", place % self.shape.regions),
            seeds,
            started_s: 0,
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
            region: place % self.shape.regions,
            alive: true,
            paused: false,
            held: Vec::new(),
            version_seen: 0,
        }
    }

    pub(super) fn list_routers(&mut self) {
        let routers = self.routers.iter().map(|router| servers::Vm {
            vm: router.vm.clone(),
            service: node::ROUTER_SERVICE.to_owned(),
            address: router.address.clone(),
            class: "entry".to_owned(),
            failure_domain: "a".to_owned(),
            state: servers::VmState::Live,
            slots: 0,
            incarnation: Default::default(),
            cold_ms: 0,
        });
        let listed: BTreeSet<String> = self.vms.iter().map(|vm| vm.vm.clone()).collect();
        let new: Vec<servers::Vm> = routers.filter(|vm| !listed.contains(&vm.vm)).collect();
        self.vms.extend(new);
        self.vms_index += 1;
    }

    pub(super) fn tell_platform_news(&mut self, place: usize) {
        if self.faults.store_out || self.faults.store_cut.contains(&place) {
            return;
        }
        let router = &mut self.routers[place];
        if let Some((_, value)) = self.store.get(config::KEY) {
            let published = serde_json::from_slice(value).unwrap();
            router.node.offer_config(published, self.now_ms);
        }
        if !self.vms_stale.contains(&place) {
            let index = doorswitch_core::store::Position::new(0, self.vms_index);
            router.node.offer_vms(index, self.vms.clone(), self.now_ms);
        }
        self.carry_out(place);
    }
}
