//! The software versions of each service's servers, now and a short time ago.

use super::{Table, Vm};
use crate::streams;
use std::collections;

#[derive(Clone, Copy, Debug)]
struct Version {
    listed: bool,
    /// When a server of the version was last known to be listed.
    listed_ms: u64,
}

/// The versions that servers of each service have, or had within [`streams::KEPT_MAX_MS`], so that a stream which may
/// be continued can have begun at them.
#[derive(Debug, Default)]
pub(super) struct Versions {
    by_service: collections::BTreeMap<String, collections::BTreeMap<String, Version>>,
}

impl Versions {
    /// Applies the present list of servers.
    pub(super) fn update<'a>(&mut self, listed: impl Iterator<Item = &'a Vm>, now_ms: u64) {
        for version in self.by_service.values_mut().flat_map(|versions| versions.values_mut()) {
            if std::mem::take(&mut version.listed) {
                version.listed_ms = now_ms;
            }
        }
        for vm in listed {
            let known = self.by_service.get_mut(&vm.service);
            match known.and_then(|versions| versions.get_mut(&vm.version)) {
                Some(version) => version.listed = true,
                None => {
                    let versions = self.by_service.entry(vm.service.clone()).or_default();
                    let version = Version { listed: true, listed_ms: now_ms };
                    versions.insert(vm.version.clone(), version);
                }
            }
        }
        for versions in self.by_service.values_mut() {
            versions.retain(|_, version| version.is_recent(now_ms));
        }
        self.by_service.retain(|_, versions| !versions.is_empty());
    }
}

impl Version {
    fn is_recent(&self, now_ms: u64) -> bool {
        self.listed || now_ms < self.listed_ms + streams::KEPT_MAX_MS
    }
}

impl Table {
    /// Returns the versions at which a stream of a service may have begun that can still be continued.
    pub fn recent_versions(&self, service: &str, now_ms: u64) -> Vec<&str> {
        let versions = self.versions.by_service.get(service).into_iter().flatten();
        let recent = versions.filter(|(_, version)| version.is_recent(now_ms));
        recent.map(|(name, _)| name.as_str()).collect()
    }

    /// Records that a service had a version until now, which this router may not have seen itself.
    pub fn record_recent_version(&mut self, service: &str, version: &str, now_ms: u64) {
        let versions = self.versions.by_service.entry(service.to_owned()).or_default();
        let unseen = Version { listed: false, listed_ms: now_ms };
        versions.entry(version.to_owned()).or_insert(unseen).listed_ms = now_ms;
    }

    /// Returns the services with several recent versions.
    pub fn services_of_several_versions(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        let services = self.versions.by_service.iter().filter(move |(_, versions)| {
            versions.values().filter(|version| version.is_recent(now_ms)).count() > 1
        });
        services.map(|(service, _)| service.as_str())
    }
}
