//! What the platform and peers tell of the world: configurations, lists of VMs, what earlier lives left.

use super::{Action, ConfigSource, Lifecycle, Node, Notice, ROUTER_SERVICE};
use crate::{config, grants, ids, leaving_servers, ledger_writer, log_writer, servers, store};
use std::collections;

impl Node {
    /// Takes over a configuration of the store, if it is newer than the one in force.
    pub fn offer_config(&mut self, published: config::Published, now_ms: u64) -> bool {
        self.adopt_config(published, ConfigSource::Store, now_ms)
    }

    /// Takes over a configuration, if it is newer than the one in force.
    pub(super) fn adopt_config(
        &mut self,
        published: config::Published,
        source: ConfigSource,
        now_ms: u64,
    ) -> bool {
        if published.version <= self.config_version() {
            return false;
        }
        if self.config.is_none() {
            let layout = published.document.layout;
            let own = self.settings.incarnation;
            self.grants = grants::Table::new(layout.ledger_shards);
            self.grants.set_backup_age_ms(self.backup_age_ms);
            self.settled_in_shard = vec![0; layout.log_shards as usize];
            self.ledgers = (0..layout.ledger_shards).map(ledger_writer::Writer::new).collect();
            self.logs = (0..layout.log_shards)
                .map(|shard| log_writer::Writer::new(shard, own, layout.log_epoch_segments))
                .collect();
        }
        for workspace in &published.document.workspaces {
            for budget in &workspace.budgets {
                let name = config::budget_name(&workspace.name, &budget.name);
                let version = published.version;
                let prepaid =
                    budget.prepaid_tokens.map(|tokens| grants::Prepaid { tokens, version });
                self.grants.declare_prepaid(&name, budget.cover(), prepaid, now_ms);
            }
        }
        self.poke_ledgers_for_config();
        let version = published.version;
        let limits = published.document.services.iter().map(|service| {
            let limit = servers::ColdLimit {
                milli_per_s: service.cold_milli_per_s,
                start_ms: service.cold_start_ms,
            };
            (service.name.clone(), limit)
        });
        self.servers.set_cold_limits(limits, now_ms);
        self.config = Some(published);
        self.follow_evacuations(now_ms);
        self.become_ready();
        self.actions.push(Action::ConfigInForce { version, source });
        true
    }

    /// A new configuration may change what is paid in, which concerns who holds something in hand.
    fn poke_ledgers_for_config(&mut self) {
        for (shard, ledger) in self.ledgers.iter_mut().enumerate() {
            let mut slots = self.grants.in_shard(shard as u32).iter();
            let held = |slot: &ids::BudgetSlot| {
                let account = self.grants.account(*slot);
                account.holder || account.has_row
            };
            if slots.any(held) {
                ledger.poke();
            }
        }
    }

    /// Follows the platform's list of VMs. An older list than the last one is ignored.
    pub fn offer_vms(&mut self, index: store::Position, vms: Vec<servers::Vm>, now_ms: u64) {
        self.offer_vms_and_lapsed(index, vms, Vec::new(), now_ms);
    }

    /// Follows the platform's list of VMs. Those of `lapsed` are not in it but may be back soon; they are used
    /// meanwhile, and not told to peers, who may know better.
    pub fn offer_vms_and_lapsed(
        &mut self,
        index: store::Position,
        vms: Vec<servers::Vm>,
        lapsed: Vec<servers::Vm>,
        now_ms: u64,
    ) {
        self.vms_heard_ms = now_ms;
        self.lapsed = lapsed;
        // At the same index the platform's client may have learned that a record will not come back.
        if index >= self.vms_index {
            self.follow_vms(index, vms, now_ms);
        }
    }

    pub(super) fn follow_vms(
        &mut self,
        index: store::Position,
        vms: Vec<servers::Vm>,
        now_ms: u64,
    ) {
        let listed = std::mem::replace(&mut self.vms_index, index);
        let vms = vms.into_iter().map(|vm| {
            let known = self.vms.get(&vm.vm);
            vm.unless_superseded(known)
        });
        let vms: Vec<servers::Vm> = vms.collect();
        for vm in vms.iter().filter(|vm| vm.state == servers::VmState::Leaving) {
            self.hear_leaving(&vm.vm, vm.life, leaving_servers::Source::Record, None);
        }
        let routers = vms.iter().filter(|vm| vm.service == ROUTER_SERVICE);
        self.members.add_seeds(routers.map(|vm| vm.address.clone()));
        self.servers.apply_list(&self.backends(&vms), now_ms);
        self.note_restarted();
        let earlier = std::mem::take(&mut self.vms);
        self.vms = vms.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
        let gone = |vm: &&servers::Vm| !self.vms.contains_key(&vm.vm);
        let router_gone = earlier.values().filter(gone).any(|vm| vm.service == ROUTER_SERVICE);
        for vm in earlier.values().filter(gone) {
            self.eras.note_removed(&vm.vm, vm.life, listed, now_ms);
        }
        if self.listed_index == store::Position::START && self.vms.contains_key(&self.settings.vm) {
            self.listed_index = index;
        }
        self.note_ended_lives(now_ms);
        self.forget_leavings(now_ms);
        if router_gone {
            // What it held is written off by whoever reads the ledger next.
            self.ledgers.iter_mut().for_each(ledger_writer::Writer::poke);
        }
        self.become_ready();
    }

    /// The backend servers: those of the list, and those whose records lapsed but may be back soon. One that is known to
    /// leave does so whatever its record says.
    fn backends(&self, vms: &[servers::Vm]) -> Vec<servers::Vm> {
        let stays = |vm: &&servers::Vm| !self.leavings.contains(&vm.vm, vm.life);
        let back_soon = self.lapsed.iter().filter(stays);
        let mut backends: Vec<servers::Vm> = vms
            .iter()
            .chain(back_soon)
            .filter(|vm| vm.service != ROUTER_SERVICE && !self.eras.holds_back(&vm.vm))
            .cloned()
            .collect();
        // Where servers say when they started, a record that does not is another writer's.
        for vm in backends.iter_mut().filter(|vm| self.leavings.contains(&vm.vm, vm.life)) {
            vm.state = servers::VmState::Leaving;
        }
        if backends.iter().any(|vm| vm.life != ids::ServerLife::UNKNOWN) {
            backends.retain(|vm| vm.life != ids::ServerLife::UNKNOWN);
        }
        backends
    }

    /// Reports servers that started again.
    fn note_restarted(&mut self) {
        for restarted in self.servers.take_restarted() {
            let servers::Restarted { vm, life, .. } = &restarted;
            self.actions.push(Action::ServerRestarted { vm: vm.clone(), life: *life });
            self.actions.push(Action::Notice(Notice::ServerRestarted(restarted)));
        }
    }

    /// A leaving that was heard holds also for a record that lapsed meanwhile, and not for a later life.
    fn forget_leavings(&mut self, now_ms: u64) {
        let known = self.vms.values().chain(&self.lapsed);
        let lives: collections::HashMap<&str, ids::ServerLife> =
            known.map(|vm| (vm.vm.as_str(), vm.life)).collect();
        for (vm, life) in self.leavings.forget(&lives, now_ms) {
            self.actions.push(Action::Notice(Notice::ServerLeavingEnded { vm, life }));
        }
    }

    /// Requests are taken once both the configuration and the servers are known.
    fn become_ready(&mut self) {
        let known = self.config.is_some() && self.vms_index > store::Position::START;
        if known && self.lifecycle == Lifecycle::Starting {
            self.lifecycle = Lifecycle::Ready;
        }
    }
}
