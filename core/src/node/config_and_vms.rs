//! Applies configurations and lists of VMs that were received from the store or from peers.

use super::{Action, ConfigSource, Lifecycle, Node, Notice, ROUTER_SERVICE};
use crate::{config, grants, ids, leaving_servers, ledger_writer, log_writer, servers, store};
use std::collections;

impl Node {
    /// Applies a configuration of the store if it is newer than the one in force; returns whether it is.
    pub fn offer_config(&mut self, published: config::Published, now_ms: u64) -> bool {
        self.apply_config(published, ConfigSource::Store, now_ms)
    }

    /// Applies a configuration if it is newer than the one in force; returns whether it is.
    pub(super) fn apply_config(
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
            self.grants.set_machine_clock(self.settings.machine_clock.as_ref());
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
        self.request_syncs_for_config();
        let version = published.version;
        let limits = published.document.services.iter().map(|service| {
            let limit = servers::ColdLimit {
                milli_per_s: service.cold_milli_per_s,
                start_ms: service.cold_start_ms,
            };
            (service.name.clone(), limit)
        });
        self.servers.set_cold_limits(limits, now_ms);
        self.version_record.set_services(&published.document.routes);
        self.config = Some(published);
        self.update_evacuated_domains(now_ms);
        self.become_ready();
        self.actions.push(Action::ConfigInForce { version, source });
        true
    }

    /// Requests a sync of the ledger shards in which this router is a holder of a budget or has a grant: a new
    /// configuration may change prepaid amounts.
    fn request_syncs_for_config(&mut self) {
        for (shard, ledger) in self.ledgers.iter_mut().enumerate() {
            let mut slots = self.grants.in_shard(shard as u32).iter();
            let is_held = |slot: &ids::BudgetSlot| {
                let account = self.grants.account(*slot);
                account.holder || account.has_grant
            };
            if slots.any(is_held) {
                ledger.request_sync();
            }
        }
    }

    /// Applies the platform's list of VMs. An older list than the last one is ignored.
    pub fn offer_vms(&mut self, index: store::Position, vms: Vec<servers::Vm>, now_ms: u64) {
        self.offer_vms_and_lapsed(index, vms, Vec::new(), now_ms);
    }

    /// Applies the platform's list of VMs. Those of `lapsed` are missing from it because their records expired, but may
    /// be listed again soon. They are used until then, but not sent to peers, which may have later records.
    pub fn offer_vms_and_lapsed(
        &mut self,
        index: store::Position,
        vms: Vec<servers::Vm>,
        lapsed: Vec<servers::Vm>,
        now_ms: u64,
    ) {
        self.vms_received_ms = now_ms;
        self.lapsed = lapsed;
        // At the same index, the platform's client may have dropped an expired record that will not be written again.
        if index >= self.vms_index {
            let vms = self.records_in_use(vms, now_ms);
            self.replace_vms(index, vms, now_ms);
        }
    }

    /// Replaces the list of VMs and updates all that depends on it.
    pub(super) fn replace_vms(
        &mut self,
        index: store::Position,
        vms: Vec<servers::Vm>,
        now_ms: u64,
    ) {
        let previous_index = std::mem::replace(&mut self.vms_index, index);
        for vm in vms.iter().filter(|vm| vm.state == servers::VmState::Leaving) {
            self.record_leaving(&vm.vm, vm.incarnation, leaving_servers::Source::Record, None);
        }
        let routers = vms.iter().filter(|vm| vm.service == ROUTER_SERVICE);
        self.members.add_seeds(routers.map(|vm| vm.address.clone()));
        self.servers.apply_list(&self.backends(&vms), now_ms);
        self.merge_early_statements(now_ms);
        self.update_copied_services(now_ms);
        self.mark_recorded_versions();
        self.version_record.schedule_check();
        self.tick_version_record(now_ms);
        self.report_restarted();
        let previous_vms = std::mem::take(&mut self.vms);
        self.vms = vms.into_iter().map(|vm| (vm.vm.clone(), vm)).collect();
        let removed = |vm: &&servers::Vm| !self.vms.contains_key(&vm.vm);
        let router_removed =
            previous_vms.values().filter(removed).any(|vm| vm.service == ROUTER_SERVICE);
        for vm in previous_vms.values().filter(removed) {
            self.eras.record_removal(&vm.vm, vm.incarnation, previous_index, now_ms);
        }
        if self.listed_index == store::Position::START && self.vms.contains_key(&self.settings.vm) {
            self.listed_index = index;
        }
        self.detect_ended_servers(now_ms);
        self.expire_leaving_servers(now_ms);
        if router_removed {
            // The next router that reads the ledger writes off its grants.
            self.ledgers.iter_mut().for_each(ledger_writer::Writer::request_sync);
        }
        self.become_ready();
    }

    /// The backend servers: the listed ones, and those whose records expired but may be listed again soon. A server
    /// that is leaving counts as leaving whatever the state in its record.
    fn backends(&self, vms: &[servers::Vm]) -> Vec<servers::Vm> {
        let is_not_leaving =
            |vm: &&servers::Vm| !self.leaving_servers.contains(&vm.vm, vm.incarnation);
        let lapsed = self.lapsed.iter().filter(is_not_leaving);
        let mut backends: Vec<servers::Vm> = vms
            .iter()
            .chain(lapsed)
            .filter(|vm| vm.service != ROUTER_SERVICE && !self.eras.holds_back(&vm.vm))
            .cloned()
            .collect();
        for vm in
            backends.iter_mut().filter(|vm| self.leaving_servers.contains(&vm.vm, vm.incarnation))
        {
            vm.state = servers::VmState::Leaving;
        }
        drop_undated(&mut backends);
        backends
    }

    /// Reports servers that restarted to the process and to the log.
    fn report_restarted(&mut self) {
        for restarted in self.servers.take_restarted() {
            let servers::Restarted { vm, incarnation, .. } = &restarted;
            self.actions
                .push(Action::ServerRestarted { vm: vm.clone(), incarnation: *incarnation });
            self.actions.push(Action::Notice(Notice::ServerRestarted(restarted)));
        }
    }

    /// Removes the entries of leaving servers that no longer apply. An entry doesn't apply to a later incarnation of
    /// the server; one that a server's answer caused stays valid for a while if the server's record expires.
    fn expire_leaving_servers(&mut self, now_ms: u64) {
        let vms = self.vms.values().chain(&self.lapsed);
        let incarnations: collections::HashMap<&str, ids::ServerIncarnation> =
            vms.map(|vm| (vm.vm.as_str(), vm.incarnation)).collect();
        for (vm, incarnation) in self.leaving_servers.remove_outdated(&incarnations, now_ms) {
            self.actions.push(Action::Notice(Notice::ServerLeavingEnded { vm, incarnation }));
        }
    }

    /// Starts admitting requests once both the configuration and the list of VMs have been received.
    fn become_ready(&mut self) {
        let complete = self.config.is_some() && self.vms_index > store::Position::START;
        if complete && self.lifecycle == Lifecycle::Starting {
            self.lifecycle = Lifecycle::Ready;
        }
    }
}

/// Drops records without a start time where servers record when they started: such a record comes from another writer.
/// At least half of a service's records decide whether they do, so that a single one doesn't decide over all others.
fn drop_undated(backends: &mut Vec<servers::Vm>) {
    let is_dated = |vm: &servers::Vm| vm.incarnation != ids::ServerIncarnation::UNKNOWN;
    let mut counts = collections::HashMap::<String, (usize, usize)>::new();
    for vm in backends.iter() {
        let (dated, undated) = counts.entry(vm.service.clone()).or_default();
        *if is_dated(vm) { dated } else { undated } += 1;
    }
    backends.retain(|vm| {
        let (dated, undated) = counts.get(&vm.service).copied().unwrap_or_default();
        is_dated(vm) || dated == 0 || dated < undated
    });
}
