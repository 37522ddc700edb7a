//! Backups and restores of the fake store.

use super::{Change, Fleet};
use doorswitch_core::{config, evacuation, servers};
use std::collections::{BTreeMap, BTreeSet};

/// A backup of the store's state.
#[derive(Clone)]
pub struct Backup {
    revision: u64,
    history_start: u64,
    published: config::Published,
    config_revision: u64,
    servers: BTreeMap<String, (u64, servers::Vm)>,
    values: BTreeMap<String, (u64, Vec<u8>)>,
    unreadable: BTreeSet<String>,
    evacuated: BTreeSet<String>,
    evacuations: Vec<(u64, evacuation::Change)>,
    history: Vec<Change>,
}

impl Fleet {
    /// Returns a backup of the store.
    pub fn back_up(&self) -> Backup {
        Backup {
            revision: self.revision,
            history_start: self.history_start,
            published: self.published.clone(),
            config_revision: self.config_revision,
            servers: self.servers.clone(),
            values: self.values.clone(),
            unreadable: self.unreadable.clone(),
            evacuated: self.evacuated.clone(),
            evacuations: self.evacuations.clone(),
            history: self.history.clone(),
        }
    }

    /// Restores the store from a backup and starts the next era.
    pub fn restore(&mut self, backup: &Backup) {
        let backup = backup.clone();
        self.era += 1;
        self.revision = backup.revision;
        self.history_start = backup.history_start;
        self.published = backup.published;
        self.config_revision = backup.config_revision;
        self.servers = backup.servers;
        self.values = backup.values;
        self.unreadable = backup.unreadable;
        self.evacuated = backup.evacuated;
        self.evacuations = backup.evacuations;
        self.history = backup.history;
        self.store_last_fault_ms = self.now_ms;
    }

    /// Repeats the writes of the operator and the servers that were lost when the state `before_restore` was replaced
    /// by the backup `restored`, except for keys that were written again since.
    pub fn repeat_lost_writes(&mut self, before_restore: &Backup, restored: &Backup) {
        if before_restore.published.version > self.published.version {
            self.published = before_restore.published.clone();
            self.revision += 1;
            self.config_revision = self.revision;
            self.record_change(doorswitch_core::watch::Topic::Configuration, None);
        }
        for domain in before_restore.evacuated.symmetric_difference(&restored.evacuated) {
            if self.evacuated.contains(domain) == restored.evacuated.contains(domain) {
                self.evacuate(domain, before_restore.evacuated.contains(domain));
            }
        }
        let names: BTreeSet<&String> =
            before_restore.servers.keys().chain(restored.servers.keys()).collect();
        for name in names {
            if self.servers.get(name) != restored.servers.get(name) {
                continue;
            }
            match (before_restore.servers.get(name), restored.servers.get(name)) {
                (Some((_, vm)), restored_entry) if restored_entry.map(|(_, vm)| vm) != Some(vm) => {
                    self.latest_incarnations.insert(name.clone(), vm.incarnation);
                    self.put_server_with_slots(name, vm.state, vm.slots);
                }
                (None, Some(_)) => self.remove_server(name),
                _ => {}
            }
        }
    }
}
