//! The checks of each router against the store's history, after every step.

use super::{Change, FAULT_RECOVERY_MS, Fleet};
use doorswitch_core::{node, servers, watch};

impl Fleet {
    /// Checks every running router.
    pub(super) fn check(&mut self) {
        for index in 0..self.routers.len() {
            let router = &mut self.routers[index];
            if !router.alive || router.frozen {
                continue;
            }
            let position = router.node.vms_index();
            let applied = (router.node.config_version(), position);
            assert!(
                applied.0 >= router.last_applied.0,
                "a router applied an older configuration after a newer one"
            );
            assert!(
                applied.1 >= router.last_applied.1,
                "a router applied an older list of servers after a newer one"
            );
            router.last_applied = applied;
            self.check_leaving(index);
            self.check_server_incarnations(index);
            self.check_staleness(index);
        }
    }

    /// Checks that a router uses no server that is leaving according to its copy of the list.
    fn check_leaving(&self, index: usize) {
        let node = &self.routers[index].node;
        let position = node.vms_index();
        for (name, (revision, vm)) in &self.servers {
            if vm.state == servers::VmState::Leaving && self.includes(position, *revision) {
                let live = node.servers().iter().any(|(_, server)| {
                    let of_incarnation =
                        server.vm.vm == *name && server.vm.incarnation == vm.incarnation;
                    of_incarnation && server.vm.state == servers::VmState::Live
                });
                assert!(
                    !live,
                    "entry-{index} uses {name}, which is leaving in its copy of the list"
                );
            }
        }
    }

    /// Checks that a router uses no earlier incarnation of a server if its copy of the list includes a later one.
    fn check_server_incarnations(&self, index: usize) {
        let node = &self.routers[index].node;
        let position = node.vms_index();
        let included =
            |(_, entry): &(&String, &(u64, servers::Vm))| self.includes(position, entry.0);
        for (name, (revision, vm)) in self.servers.iter().filter(included) {
            let earlier =
                node.servers().iter().filter(|(_, server)| !server.is_superseded()).any(
                    |(_, server)| server.vm.vm == *name && server.vm.incarnation < vm.incarnation,
                );
            assert!(
                !earlier,
                "entry-{index} uses an earlier incarnation of {name} after revision {revision}"
            );
        }
    }

    /// Checks that a request is not dispatched to a server incarnation of which the router has a later one in its
    /// table.
    pub(super) fn check_answer(&self, index: usize, answer: &node::Answer) {
        let node::Answer::Dispatch { vm, incarnation, .. } = answer else { return };
        let mut servers = self.routers[index].node.servers().iter();
        let later =
            servers.any(|(_, server)| server.vm.vm == *vm && server.vm.incarnation > *incarnation);
        assert!(!later, "entry-{index} dispatches a request to an earlier incarnation of {vm}");
    }

    /// Checks that a router uses only servers that are listed at the revision of its copy. Its table also contains
    /// removed servers that back off, or that have open requests or had some until the last list.
    fn check_content(&self, index: usize) {
        let node = &self.routers[index].node;
        let position = node.vms_index();
        for (_, server) in node.servers().iter().filter(|(_, server)| server.is_live()) {
            let name = &server.vm.vm;
            let mut earlier =
                self.history.iter().rev().filter(|change| self.includes(position, change.revision));
            let last = earlier.find_map(|change| {
                let (changed, record) = change.server.as_ref()?;
                (changed == name).then_some(record)
            });
            let listed = matches!(last, Some(watch::ServerRecord::Listed(_)));
            assert!(listed, "entry-{index} uses {name}, which is not listed at {position}");
        }
    }

    /// Checks that a router applies the latest change of evacuations within the staleness bound of the configuration.
    fn check_evacuations(&self, index: usize) {
        let node = &self.routers[index].node;
        let Some((at_ms, change)) = self.evacuations.last() else { return };
        let stale_ms = self.now_ms - at_ms;
        let applied = node.evacuated().contains(&change.domain) == change.evacuated;
        assert!(
            applied || stale_ms <= self.bounds.configuration_ms,
            "entry-{index} has missed {change:?} for {stale_ms} ms"
        );
    }

    /// Checks that a router is within the staleness bounds of both topics, if neither it nor the store had a recent
    /// fault.
    fn check_staleness(&mut self, index: usize) {
        let router = &self.routers[index];
        let undisturbed_ms = self.now_ms - router.last_fault_ms.max(self.store_last_fault_ms);
        if undisturbed_ms < FAULT_RECOVERY_MS || !self.reaches_store(index) {
            return;
        }
        self.check_content(index);
        self.check_evacuations(index);
        let missed = |change: &&Change| match change.topic {
            watch::Topic::Configuration => {
                change.revision == self.config_revision
                    && router.node.config_version() < self.published.version
            }
            watch::Topic::Servers => !self.includes(router.node.vms_index(), change.revision),
        };
        let oldest =
            self.history.iter().rev().take(50).filter(missed).min_by_key(|change| change.at_ms);
        let Some(oldest) = oldest else { return };
        let stale_ms = self.now_ms - oldest.at_ms;
        let bound_ms = match oldest.topic {
            watch::Topic::Configuration => self.bounds.configuration_ms,
            watch::Topic::Servers => self.bounds.servers_ms,
        };
        let topic = oldest.topic;
        assert!(
            stale_ms <= bound_ms,
            "entry-{index} has missed a change of {topic:?} for {stale_ms} ms at {}",
            self.now_ms,
        );
        let stalest = self.staleness_max_ms.entry(topic).or_default();
        *stalest = (*stalest).max(stale_ms);
    }
}
