//! What each router of the fleet is held to after every step.

use super::{CONTACT_MS, Change, Fleet};
use doorswitch_core::{node, servers, watch};

impl Fleet {
    /// Holds every router against the store's history.
    pub(super) fn check(&mut self) {
        for place in 0..self.routers.len() {
            let router = &mut self.routers[place];
            if !router.alive || router.frozen {
                continue;
            }
            let revision = router.node.vms_index();
            let seen = (router.node.config_version(), revision);
            assert!(seen.0 >= router.seen.0, "an older configuration after a newer one");
            assert!(seen.1 >= router.seen.1, "an older list after a newer one");
            router.seen = seen;
            self.check_leaving(place);
            self.check_incarnations(place);
            self.check_staleness(place);
        }
    }

    /// Nothing is sent to a server that was seen to leave or to go.
    fn check_leaving(&self, place: usize) {
        let node = &self.routers[place].node;
        let known = node.vms_index();
        for (name, (revision, vm)) in &self.servers {
            if vm.state == servers::VmState::Leaving && self.includes(known, *revision) {
                let live = node.servers().iter().any(|(_, server)| {
                    let of_incarnation =
                        server.vm.vm == *name && server.vm.incarnation == vm.incarnation;
                    of_incarnation && server.vm.state == servers::VmState::Live
                });
                assert!(!live, "{name} is used by entry-{place} after it was heard to leave");
            }
        }
    }

    /// Nothing of an earlier life of a server is used once a later one was heard of.
    fn check_incarnations(&self, place: usize) {
        let node = &self.routers[place].node;
        let known = node.vms_index();
        let heard = |(_, it): &(&String, &(u64, servers::Vm))| self.includes(known, it.0);
        for (name, (revision, vm)) in self.servers.iter().filter(heard) {
            let earlier =
                node.servers().iter().filter(|(_, server)| !server.is_superseded()).any(
                    |(_, server)| server.vm.vm == *name && server.vm.incarnation < vm.incarnation,
                );
            assert!(!earlier, "entry-{place} uses an earlier life of {name} after {revision}");
        }
    }

    /// No request goes to an earlier life of a server.
    pub(super) fn check_answer(&self, place: usize, answer: &node::Answer) {
        let node::Answer::Dispatch { vm, incarnation, .. } = answer else { return };
        let mut known = self.routers[place].node.servers().iter();
        let later =
            known.any(|(_, server)| server.vm.vm == *vm && server.vm.incarnation > *incarnation);
        assert!(!later, "entry-{place} sends a request to an earlier life of {vm}");
    }

    /// The servers that a router may send to are those of the revision that its copy stands for. Its table also holds some
    /// that are gone: of which it has requests open or had until the last list, and that back off.
    fn check_content(&self, place: usize) {
        let node = &self.routers[place].node;
        let known = node.vms_index();
        for (_, server) in node.servers().iter().filter(|(_, server)| server.is_live()) {
            let name = &server.vm.vm;
            let mut earlier =
                self.history.iter().rev().filter(|it| self.includes(known, it.revision));
            let last = earlier.find_map(|change| {
                let (changed, record) = change.server.as_ref()?;
                (changed == name).then_some(record)
            });
            let listed = matches!(last, Some(watch::ServerRecord::Listed(_)));
            assert!(listed, "entry-{place} uses {name}, which {known} does not list");
        }
    }

    /// What a router in touch uses follows what is evacuated within the configuration's bound.
    fn check_evacuations(&self, place: usize) {
        let node = &self.routers[place].node;
        let Some((at_ms, change)) = self.evacuations.last() else { return };
        let stale_ms = self.now_ms - at_ms;
        let knows = node.evacuated().contains(&change.domain) == change.evacuated;
        assert!(
            knows || stale_ms <= self.bounds.configuration_ms,
            "entry-{place} has missed {change:?} for {stale_ms} ms"
        );
    }

    fn check_staleness(&mut self, place: usize) {
        let router = &self.routers[place];
        let calm_ms = self.now_ms - router.calm_since_ms.max(self.store_calm_since_ms);
        if calm_ms < CONTACT_MS || !self.reaches_store(place) {
            return;
        }
        self.check_content(place);
        self.check_evacuations(place);
        let missed = |change: &&Change| match change.topic {
            watch::Topic::Configuration => {
                change.revision == self.config_revision
                    && router.node.config_version() < self.published.version
            }
            watch::Topic::Servers => !self.includes(router.node.vms_index(), change.revision),
        };
        let oldest = self.history.iter().rev().take(50).filter(missed).min_by_key(|it| it.at_ms);
        let Some(oldest) = oldest else { return };
        let stale_ms = self.now_ms - oldest.at_ms;
        let bound_ms = match oldest.topic {
            watch::Topic::Configuration => self.bounds.configuration_ms,
            watch::Topic::Servers => self.bounds.servers_ms,
        };
        let topic = oldest.topic;
        assert!(
            stale_ms <= bound_ms,
            "entry-{place} has missed a change of {topic:?} for {stale_ms} ms at {}",
            self.now_ms,
        );
        let stalest = self.stalest_ms.entry(topic).or_default();
        *stalest = (*stalest).max(stale_ms);
    }
}
