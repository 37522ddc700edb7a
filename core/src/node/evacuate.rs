//! Evacuated failure domains, and the live routers that share cold servers.

use super::{Action, Node, Notice};
use crate::{evacuation, servers, store};
use std::collections;

impl Node {
    /// The failure domains that are evacuated, according to the store or the configuration.
    pub fn evacuated(&self) -> &collections::BTreeSet<String> {
        self.servers.evacuated()
    }

    /// Applies the evacuations in an answer of the store.
    pub(super) fn apply_evacuations(
        &mut self,
        position: store::Position,
        update: evacuation::Update,
        now_ms: u64,
    ) {
        self.retain_evacuations(position, &update, now_ms);
        self.evacuations.apply(position, update);
        self.update_evacuated_domains(now_ms);
    }

    /// Merges the evacuations reported by a peer; returns whether the set of evacuated failure domains changed.
    pub(super) fn merge_evacuations(
        &mut self,
        reported: &evacuation::Evacuations,
        now_ms: u64,
    ) -> bool {
        if reported.position > self.evacuations.position {
            let all = evacuation::Update::All(reported.domains.clone());
            self.retain_evacuations(reported.position, &all, now_ms);
        }
        self.evacuations.replace_if_newer(reported);
        self.update_evacuated_domains(now_ms)
    }

    /// Updates the servers' table and reports changes; returns whether the set of evacuated failure domains changed.
    pub(super) fn update_evacuated_domains(&mut self, now_ms: u64) -> bool {
        let published = self.config.iter().flat_map(|config| &config.document.evacuated);
        let evacuated: collections::BTreeSet<String> = self
            .evacuations
            .domains
            .iter()
            .chain(published)
            .chain(self.eras.evacuated())
            .cloned()
            .collect();
        if evacuated == *self.servers.evacuated() {
            return false;
        }
        for domain in evacuated.symmetric_difference(self.servers.evacuated()) {
            let servers = self.servers.iter();
            let servers = servers.filter(|(_, server)| server.vm.failure_domain == *domain);
            let notice = Notice::Evacuation {
                failure_domain: domain.clone(),
                evacuated: evacuated.contains(domain),
                servers: servers.count(),
            };
            self.actions.push(Action::Notice(notice));
        }
        self.servers.evacuate(evacuated, now_ms);
        true
    }

    /// Updates the live routers in the servers' table. The requests that cold servers can run are divided among them.
    pub(super) fn update_fleet(&mut self, now_ms: u64) {
        let own = self.settings.incarnation;
        let fleet = servers::Fleet {
            own,
            members: self.members.live().map(|record| record.id).chain([own]).collect(),
            routers: self.max_live_routers,
            settled: now_ms >= self.started_ms + super::watching::MEMBERSHIP_SETTLE_MS,
        };
        self.servers.set_fleet(fleet);
    }
}
