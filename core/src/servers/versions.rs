//! The software versions of each service's servers, now and a short time ago.

use super::{Criteria, Table, Vm};
use crate::streams;
use std::collections;

#[derive(Clone, Copy, Debug)]
struct Version {
    listed: bool,
    /// When a server of the version was last known to be listed.
    listed_ms: u64,
    /// Whether streams may begin at the version: it is in the store's record.
    recorded: bool,
    /// Whether streams can have begun at the version: it was in the record.
    was_recorded: bool,
}

/// The versions that servers of each service have, or had within [`streams::KEPT_MAX_MS`], so that a stream which may
/// be continued can have begun at them.
#[derive(Debug, Default)]
pub(super) struct Versions {
    by_service: collections::BTreeMap<String, collections::BTreeMap<String, Version>>,
}

impl Versions {
    /// Applies the present list of servers.
    fn update<'a>(&mut self, listed: impl Iterator<Item = &'a Vm>, now_ms: u64) {
        for version in self.by_service.values_mut().flat_map(|versions| versions.values_mut()) {
            if std::mem::take(&mut version.listed) {
                version.listed_ms = now_ms;
            }
        }
        for vm in listed {
            let known = self.by_service.get_mut(&vm.service);
            match known.and_then(|versions| versions.get_mut(&vm.version)) {
                Some(version) => {
                    version.listed = true;
                    version.listed_ms = now_ms;
                }
                None => {
                    let versions = self.by_service.entry(vm.service.clone()).or_default();
                    versions.insert(vm.version.clone(), Version::new(true, now_ms));
                }
            }
        }
        for versions in self.by_service.values_mut() {
            versions.retain(|_, version| version.is_recent(now_ms));
        }
        self.by_service.retain(|_, versions| !versions.is_empty());
    }

    fn is_recorded(&self, service: &str, version: &str) -> bool {
        let versions = self.by_service.get(service);
        versions.and_then(|versions| versions.get(version)).is_some_and(|known| known.recorded)
    }
}

impl Version {
    fn new(listed: bool, listed_ms: u64) -> Self {
        Self { listed, listed_ms, recorded: false, was_recorded: false }
    }

    fn is_recent(&self, now_ms: u64) -> bool {
        self.listed || now_ms < self.listed_ms + streams::KEPT_MAX_MS
    }
}

impl Table {
    /// Applies the versions of the listed servers.
    pub(super) fn update_versions(&mut self, now_ms: u64) {
        let listed = self.servers.values().filter(|server| server.listed && !server.superseded);
        self.versions.update(listed.map(|server| &server.vm), now_ms);
        self.mark_recorded_servers();
    }

    /// Returns the versions at which a stream of a service may have begun that can still be continued.
    pub fn recent_versions(&self, service: &str, now_ms: u64) -> Vec<&str> {
        let versions = self.versions.by_service.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, version)| version.is_recent(now_ms));
        recent.map(|(name, _)| name.as_str()).collect()
    }

    /// Returns those of the recent versions of a service that were in the store's record.
    pub fn recorded_versions(&self, service: &str, now_ms: u64) -> Vec<&str> {
        let versions = self.versions.by_service.get(service).into_iter().flatten();
        let recorded =
            versions.filter(|(_, version)| version.is_recent(now_ms) && version.was_recorded);
        recorded.map(|(name, _)| name.as_str()).collect()
    }

    /// Returns the versions that listed servers of a service have.
    pub fn listed_versions(&self, service: &str) -> impl Iterator<Item = &str> {
        let versions = self.versions.by_service.get(service).into_iter().flatten();
        versions.filter(|(_, version)| version.listed).map(|(name, _)| name.as_str())
    }

    /// Records that a service had a version until now, which this router may not have seen itself.
    pub fn record_recent_version(&mut self, service: &str, version: &str, now_ms: u64) {
        let versions = self.versions.by_service.entry(service.to_owned()).or_default();
        let known = versions.entry(version.to_owned()).or_insert(Version::new(false, now_ms));
        known.listed_ms = now_ms;
        known.was_recorded = true;
    }

    /// Applies the store's record: `state` returns whether streams may begin at a version, or `None` if it is not in
    /// the record.
    pub fn set_recorded_versions(&mut self, state: impl Fn(&str, &str) -> Option<bool>) {
        for (service, versions) in &mut self.versions.by_service {
            for (name, version) in versions {
                let state = state(service, name);
                version.recorded = state == Some(true);
                version.was_recorded |= state.is_some();
            }
        }
        self.mark_recorded_servers();
    }

    fn mark_recorded_servers(&mut self) {
        for server in self.servers.values_mut() {
            let vm = &server.vm;
            server.version_recorded = self.versions.is_recorded(&vm.service, &vm.version);
        }
    }

    /// Whether a live server could run a request if its version were in the store's record.
    pub fn awaits_record(&self, criteria: &Criteria<'_>) -> bool {
        let unrecorded = Criteria { recorded_versions_only: false, ..*criteria };
        criteria.recorded_versions_only
            && self.servers.iter().any(|(slot, server)| {
                !server.version_recorded
                    && server.vm.service == criteria.service
                    && server.matches(&unrecorded)
                    && !criteria.excluded.contains(&slot)
            })
    }

    /// Returns the services with several recent versions.
    pub fn services_of_several_versions(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        let services = self.versions.by_service.iter().filter(move |(_, versions)| {
            versions.values().filter(|version| version.is_recent(now_ms)).count() > 1
        });
        services.map(|(service, _)| service.as_str())
    }
}
