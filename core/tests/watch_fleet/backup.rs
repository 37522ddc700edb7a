//! Backups and restores of the fake store.

use super::{Change, Fleet};
use doorswitch_core::{config, evacuation, servers};
use std::collections::{BTreeMap, BTreeSet};

/// A snapshot of the store's state.
#[derive(Clone)]
pub struct Backup {
    revision: u64,
    forgotten: u64,
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
    pub fn back_up(&self) -> Backup {
        Backup {
            revision: self.revision,
            forgotten: self.forgotten,
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

    /// Restores a backup and starts the next era.
    pub fn restore(&mut self, backup: &Backup) {
        let backup = backup.clone();
        self.era += 1;
        self.revision = backup.revision;
        self.forgotten = backup.forgotten;
        self.published = backup.published;
        self.config_revision = backup.config_revision;
        self.servers = backup.servers;
        self.values = backup.values;
        self.unreadable = backup.unreadable;
        self.evacuated = backup.evacuated;
        self.evacuations = backup.evacuations;
        self.history = backup.history;
        self.store_calm_since_ms = self.now_ms;
    }

    /// Repeats the writes of the operator and the servers that a restore from `before_restore` to `restored` lost, except
    /// where they wrote something else since.
    pub fn repeat_lost_writes(&mut self, before_restore: &Backup, restored: &Backup) {
        if before_restore.published.version > self.published.version {
            self.published = before_restore.published.clone();
            self.revision += 1;
            self.config_revision = self.revision;
            self.note(doorswitch_core::watch::Topic::Configuration, None);
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
                (Some((_, vm)), before) if before.map(|(_, vm)| vm) != Some(vm) => {
                    self.incarnations_of.insert(name.clone(), vm.incarnation);
                    self.put_server_with_slots(name, vm.state, vm.slots);
                }
                (None, Some(_)) => self.remove_server(name),
                _ => {}
            }
        }
    }
}
