//! Records with an earlier start than the record of the same server in use.
//!
//! A server process that has been replaced may write its record once more; its successor then overwrites it soon. So a
//! record with an earlier start is not used at first. If it stays, the record in use was not that of a later process, and
//! would hide all further records of the server.

use super::Node;
use crate::servers;
use std::collections;

/// The time within which a server has written its record again.
const REWRITE_TIME_MS: u64 = 1_500;

/// A record that is not used yet.
#[derive(Debug)]
struct Pending {
    vm: servers::Vm,
    since_ms: u64,
}

/// The records in the store that are not used yet.
#[derive(Debug, Default)]
pub(super) struct EarlierStarts {
    by_server: collections::BTreeMap<String, Pending>,
}

impl EarlierStarts {
    /// The record of a server to use instead of `present` after the store's one changed to `vm`: `present` while `vm` has
    /// an earlier start and may be overwritten soon.
    pub(super) fn record_in_use(
        &mut self,
        vm: servers::Vm,
        present: Option<&servers::Vm>,
        now_ms: u64,
    ) -> servers::Vm {
        let Some(present) = present.filter(|present| present.incarnation > vm.incarnation) else {
            self.by_server.remove(&vm.vm);
            return vm;
        };
        let since_ms = self.by_server.get(&vm.vm).map_or(now_ms, |pending| pending.since_ms);
        self.by_server.insert(vm.vm.clone(), Pending { vm, since_ms });
        present.clone()
    }

    /// Forgets the record of a server that has been removed from the store.
    pub(super) fn remove(&mut self, vm: &str) {
        self.by_server.remove(vm);
    }

    /// Takes the records that have stayed for long enough.
    fn take_due(&mut self, now_ms: u64) -> Vec<servers::Vm> {
        let due = self
            .by_server
            .extract_if(.., |_, pending| now_ms >= pending.since_ms + REWRITE_TIME_MS);
        due.map(|(_, pending)| pending.vm).collect()
    }
}

impl Node {
    /// The records of the servers to use after the store's list changed to `listed`.
    pub(super) fn records_in_use(
        &mut self,
        listed: Vec<servers::Vm>,
        now_ms: u64,
    ) -> Vec<servers::Vm> {
        let names: collections::HashSet<&str> = listed.iter().map(|vm| vm.vm.as_str()).collect();
        self.earlier_starts.by_server.retain(|vm, _| names.contains(vm.as_str()));
        let in_use = listed.into_iter().map(|vm| {
            let present = self.vms.get(&vm.vm);
            self.earlier_starts.record_in_use(vm, present, now_ms)
        });
        in_use.collect()
    }

    /// The records as they are in the store.
    pub(super) fn stored_records(&self) -> Vec<servers::Vm> {
        let pending = &self.earlier_starts.by_server;
        let stored =
            |vm: &servers::Vm| pending.get(&vm.vm).map_or(vm, |pending| &pending.vm).clone();
        self.vms.values().map(stored).collect()
    }

    /// Uses records with an earlier start that have stayed.
    pub(super) fn tick_earlier_starts(&mut self, now_ms: u64) {
        let due = self.earlier_starts.take_due(now_ms);
        if due.is_empty() {
            return;
        }
        let mut vms = self.vms.clone();
        for vm in due {
            self.servers.end_present(&vm.vm, vm.incarnation);
            vms.insert(vm.vm.clone(), vm);
        }
        self.replace_vms(self.vms_index, vms.into_values().collect(), now_ms);
    }
}
