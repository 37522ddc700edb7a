//! The records of the fake store, and its answers to polls of the routers.

use super::{CALL_TIMEOUT_MS, Fleet, OpenPoll, PendingOutcome, StoreMode};
use doorswitch_core::{evacuation, ids, servers, store, watch};
use rand::RngExt;

impl Fleet {
    /// Writes a server's record with the given state.
    pub fn put_server(&mut self, name: &str, state: servers::VmState) {
        self.put_server_with_slots(name, state, 4);
    }

    /// Like `put_server`, with the number of requests that the server runs at once.
    pub fn put_server_with_slots(&mut self, name: &str, state: servers::VmState, slots: u64) {
        let vm = servers::Vm {
            vm: name.to_owned(),
            service: self
                .server_services
                .get(name)
                .cloned()
                .unwrap_or_else(|| "service".to_owned()),
            address: "10.9.0.1:1".to_owned(),
            class: String::new(),
            version: self.server_versions.get(name).cloned().unwrap_or_default(),
            failure_domain: "a".to_owned(),
            state,
            slots,
            incarnation: self
                .latest_incarnations
                .get(name)
                .copied()
                .unwrap_or(ids::ServerIncarnation(1)),
            cold_ms: 0,
        };
        self.revision += 1;
        self.unreadable.remove(name);
        self.servers.insert(name.to_owned(), (self.revision, vm.clone()));
        let record = watch::ServerRecord::Listed(vm);
        self.record_change(watch::Topic::Servers, Some((name.to_owned(), record)));
    }

    /// Removes a server's record.
    pub fn remove_server(&mut self, name: &str) {
        self.revision += 1;
        self.servers.remove(name);
        self.unreadable.remove(name);
        self.record_change(
            watch::Topic::Servers,
            Some((name.to_owned(), watch::ServerRecord::Removed)),
        );
    }

    /// Starts a new incarnation of a server under the same name.
    pub fn restart_server(&mut self, name: &str, state: servers::VmState) {
        self.restart_server_with_slots(name, state, 4);
    }

    /// Like `restart_server`, with the number of requests that the server runs at once.
    pub fn restart_server_with_slots(&mut self, name: &str, state: servers::VmState, slots: u64) {
        self.latest_incarnations.entry(name.to_owned()).or_insert(ids::ServerIncarnation(1)).0 += 1;
        self.put_server_with_slots(name, state, slots);
    }

    /// Overwrites a server's record with an unreadable value, as a faulty writer would.
    pub fn corrupt_server_record(&mut self, name: &str) {
        self.revision += 1;
        self.servers.remove(name);
        self.unreadable.insert(name.to_owned());
        self.record_change(
            watch::Topic::Servers,
            Some((name.to_owned(), watch::ServerRecord::Unreadable)),
        );
    }

    /// Evacuates a failure domain or ends its evacuation, as an operator does.
    pub fn evacuate(&mut self, domain: &str, evacuated: bool) {
        self.revision += 1;
        match evacuated {
            true => self.evacuated.insert(domain.to_owned()),
            false => self.evacuated.remove(domain),
        };
        let domain = domain.to_owned();
        let position = self.position(self.revision);
        let change = evacuation::Change { position, domain, evacuated };
        self.evacuations.push((self.now_ms, change));
    }

    pub(super) fn position(&self, revision: u64) -> store::Position {
        store::Position { era: self.era, revision }
    }

    /// Whether a copy at `position` includes the change at `revision` of the current era.
    pub(super) fn includes(&self, position: store::Position, revision: u64) -> bool {
        position.era == self.era && revision <= position.revision
    }

    /// Leaves the open polls of a router unanswered forever.
    pub fn leave_polls_unanswered(&mut self, index: usize) {
        self.record_fault(index);
        for open in &mut self.routers[index].open_polls {
            open.unanswered = true;
        }
    }

    pub(super) fn reaches_store(&self, index: usize) -> bool {
        let router = &self.routers[index];
        self.store == StoreMode::Available && !router.cut && !router.rejected_by_store
    }

    /// Answers the open polls of a router and delivers the outcomes whose transit time is over.
    pub(super) fn deliver_outcomes(&mut self, index: usize) {
        for open in std::mem::take(&mut self.routers[index].open_polls) {
            let answer = self.answer(index, &open);
            let router = &self.routers[index];
            let answered = !open.unanswered && !router.cut && self.store != StoreMode::Silent;
            let era = self.era;
            let arrives_ms = self.now_ms + self.rng.random_range(0..=self.answer_delay_max_ms);
            let router = &mut self.routers[index];
            match answer {
                Some(outcome) => router.pending_outcomes.push(PendingOutcome {
                    arrives_ms,
                    era: answered.then_some(era),
                    poll: open.poll,
                    outcome,
                }),
                None => router.open_polls.push(open),
            }
        }
        let now_ms = self.now_ms;
        let arrived: Vec<_> = self.routers[index]
            .pending_outcomes
            .extract_if(.., |pending| pending.arrives_ms <= now_ms)
            .collect();
        for PendingOutcome { era, poll, outcome, .. } in arrived {
            let node = &mut self.routers[index].node;
            if let Some(era) = era {
                node.handle_store_era(era, now_ms);
            }
            node.poll_ended(poll, outcome, now_ms);
            self.perform_actions(index);
        }
    }

    /// The outcome of an open poll, or `None` while the store lets it wait.
    fn answer(&self, index: usize, open: &OpenPoll) -> Option<watch::Outcome> {
        let OpenPoll { poll, sent_ms, unanswered } = open;
        let waited_ms = self.now_ms - sent_ms;
        let router = &self.routers[index];
        if *unanswered || router.cut || self.store == StoreMode::Silent {
            let timed_out = waited_ms >= poll.wait_ms + CALL_TIMEOUT_MS;
            return timed_out.then_some(watch::Outcome::NoAnswer);
        }
        if router.rejected_by_store || self.store == StoreMode::Rejecting {
            return Some(watch::Outcome::Rejected);
        }
        let outside_history = |after: store::Position| {
            after.revision < self.history_start || after.revision > self.revision
        };
        if poll.after.is_some_and(outside_history) {
            return Some(watch::Outcome::HistoryLost);
        }
        let update = self.update_since(poll);
        (update.has_changes() || waited_ms >= poll.wait_ms)
            .then_some(watch::Outcome::Answered { position: self.position(self.revision), update })
    }

    fn evacuations_since(&self, poll: &watch::Poll) -> evacuation::Update {
        let Some(after) = poll.after else {
            return evacuation::Update::All(self.evacuated.clone());
        };
        let later = self.evacuations.iter().map(|(_, change)| change);
        let later = later.filter(|change| change.position.revision > after.revision);
        let changes = later.map(|change| {
            let position = self.position(change.position.revision);
            evacuation::Change { position, ..change.clone() }
        });
        evacuation::Update::Changes(changes.collect())
    }

    fn update_since(&self, poll: &watch::Poll) -> watch::Update {
        match poll.topic {
            watch::Topic::Configuration => {
                let changed = poll.after.is_none_or(|after| self.config_revision > after.revision);
                let published = changed.then(|| Box::new(self.published.clone()));
                let evacuations = self.evacuations_since(poll);
                watch::Update::Configuration(watch::ConfigurationUpdate { published, evacuations })
            }
            watch::Topic::Servers if poll.after.is_none() => {
                let listed = self.servers.values().map(|(_, vm)| vm.clone()).collect();
                let unreadable = self.unreadable.iter().cloned().collect();
                let written =
                    self.servers.iter().map(|(vm, (revision, _))| (vm.clone(), *revision));
                let revisions = written.collect();
                watch::Update::AllServers(watch::AllServers { listed, unreadable, revisions })
            }
            watch::Topic::Servers => {
                let after = poll.after.map_or(0, |after| after.revision);
                let later = self.history.iter().filter(|change| change.revision > after);
                let changes = later.filter_map(|change| {
                    let (vm, record) = change.server.clone()?;
                    let position = self.position(change.revision);
                    Some(watch::ServerChange { vm, position, record })
                });
                watch::Update::Servers(changes.collect())
            }
        }
    }
}
