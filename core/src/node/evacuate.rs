//! Evacuated failure domains, and servers that are cold.

use super::{Action, Node, Notice};
use crate::{evacuation, servers, store};
use std::collections;

impl Node {
    /// The failure domains that are evacuated now, by the store's word or by the configuration.
    pub fn evacuated(&self) -> &collections::BTreeSet<String> {
        self.servers.evacuated()
    }

    /// Takes in what an answer of the store says of evacuations.
    pub(super) fn take_evacuations(
        &mut self,
        position: store::Position,
        news: evacuation::Update,
        now_ms: u64,
    ) {
        self.keep_evacuations(position, &news, now_ms);
        self.evacuations.apply(position, news);
        self.follow_evacuations(now_ms);
    }

    /// Takes in what a peer knows; returns whether that changed anything.
    pub(super) fn hear_evacuations(&mut self, told: &evacuation::Evacuations, now_ms: u64) -> bool {
        if told.position > self.evacuations.position {
            let all = evacuation::Update::All(told.domains.clone());
            self.keep_evacuations(told.position, &all, now_ms);
        }
        self.evacuations.replace_if_newer(told);
        self.follow_evacuations(now_ms)
    }

    /// Has the servers follow what is evacuated; returns whether anything changed.
    pub(super) fn follow_evacuations(&mut self, now_ms: u64) -> bool {
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

    /// Tells the servers' table what it needs to share out the requests that cold servers bear.
    pub(super) fn follow_fleet(&mut self, now_ms: u64) {
        let own = self.settings.incarnation;
        let fleet = servers::Fleet {
            own,
            members: self.members.live().map(|record| record.id).chain([own]).collect(),
            routers: self.most_routers,
            settled: now_ms >= self.started_ms + super::watching::SETTLE_MS,
        };
        self.servers.set_fleet(fleet);
    }
}
