//! How the fake store answers the routers' calls for news.

use super::{CALL_TIMEOUT_MS, Fleet, PendingOutcome, Store, Waiting};
use doorswitch_core::{evacuation, ids, servers, store, watch};
use rand::RngExt;

impl Fleet {
    /// A server records its state.
    pub fn put_server(&mut self, name: &str, state: servers::VmState) {
        self.put_server_with_slots(name, state, 4);
    }

    /// The same, and how many requests it works on at once.
    pub fn put_server_with_slots(&mut self, name: &str, state: servers::VmState, slots: u64) {
        let vm = servers::Vm {
            vm: name.to_owned(),
            service: "service".to_owned(),
            address: "10.9.0.1:1".to_owned(),
            class: String::new(),
            failure_domain: "a".to_owned(),
            state,
            slots,
            incarnation: self
                .incarnations_of
                .get(name)
                .copied()
                .unwrap_or(ids::ServerIncarnation(1)),
            cold_ms: 0,
        };
        self.revision += 1;
        self.unreadable.remove(name);
        self.servers.insert(name.to_owned(), (self.revision, vm.clone()));
        let record = watch::ServerRecord::Listed(vm);
        self.note(watch::Topic::Servers, Some((name.to_owned(), record)));
    }

    pub fn remove_server(&mut self, name: &str) {
        self.revision += 1;
        self.servers.remove(name);
        self.unreadable.remove(name);
        self.note(watch::Topic::Servers, Some((name.to_owned(), watch::ServerRecord::Gone)));
    }

    /// A server starts again under its name.
    pub fn restart_server(&mut self, name: &str, state: servers::VmState) {
        self.restart_server_with_slots(name, state, 4);
    }

    /// The same, and how many requests it works on at once.
    pub fn restart_server_with_slots(&mut self, name: &str, state: servers::VmState, slots: u64) {
        self.incarnations_of.entry(name.to_owned()).or_insert(ids::ServerIncarnation(1)).0 += 1;
        self.put_server_with_slots(name, state, slots);
    }

    /// Another writer spoils a server's record.
    pub fn spoil_server(&mut self, name: &str) {
        self.revision += 1;
        self.servers.remove(name);
        self.unreadable.insert(name.to_owned());
        self.note(watch::Topic::Servers, Some((name.to_owned(), watch::ServerRecord::Unreadable)));
    }

    /// The operator evacuates a failure domain, or takes that back.
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

    /// Whether a copy at position `known` includes the change at `revision` of the current era.
    pub(super) fn includes(&self, known: store::Position, revision: u64) -> bool {
        known.era == self.era && revision <= known.revision
    }

    /// The store never answers the calls that this router has in flight.
    pub fn leave_calls_unanswered(&mut self, place: usize) {
        self.trouble(place);
        for waiting in &mut self.routers[place].waiting {
            waiting.unanswered = true;
        }
    }

    pub(super) fn reaches_store(&self, place: usize) -> bool {
        let router = &self.routers[place];
        self.store == Store::Well && !router.cut && !router.turned_away
    }

    pub(super) fn answer_calls(&mut self, place: usize) {
        for waiting in std::mem::take(&mut self.routers[place].waiting) {
            let answer = self.answer(place, &waiting);
            let router = &self.routers[place];
            let answered = !waiting.unanswered && !router.cut && self.store != Store::Silent;
            let era = self.era;
            let arrives_ms = self.now_ms + self.rng.random_range(0..=self.answer_ms);
            let router = &mut self.routers[place];
            match answer {
                Some(outcome) => router.answers.push(PendingOutcome {
                    arrives_ms,
                    era: answered.then_some(era),
                    call: waiting.call,
                    outcome,
                }),
                None => router.waiting.push(waiting),
            }
        }
        let now_ms = self.now_ms;
        let arrived: Vec<_> =
            self.routers[place].answers.extract_if(.., |it| it.arrives_ms <= now_ms).collect();
        for PendingOutcome { era, call, outcome, .. } in arrived {
            let node = &mut self.routers[place].node;
            if let Some(era) = era {
                node.handle_store_era(era, now_ms);
            }
            node.poll_ended(call, outcome, now_ms);
            self.carry_out(place);
        }
    }

    fn answer(&self, place: usize, waiting: &Waiting) -> Option<watch::Outcome> {
        let Waiting { call, sent_ms, unanswered } = waiting;
        let waited_ms = self.now_ms - sent_ms;
        let router = &self.routers[place];
        if *unanswered || router.cut || self.store == Store::Silent {
            let over = waited_ms >= call.wait_ms + CALL_TIMEOUT_MS;
            return over.then_some(watch::Outcome::NoAnswer);
        }
        if router.turned_away || self.store == Store::Refuses {
            return Some(watch::Outcome::Rejected);
        }
        let unknown = |after: store::Position| {
            after.revision < self.forgotten || after.revision > self.revision
        };
        if call.after.is_some_and(unknown) {
            return Some(watch::Outcome::HistoryLost);
        }
        let update = self.news(call);
        (update.has_changes() || waited_ms >= call.wait_ms)
            .then_some(watch::Outcome::Answered { position: self.position(self.revision), update })
    }

    fn evacuations(&self, call: &watch::Poll) -> evacuation::Update {
        let Some(after) = call.after else {
            return evacuation::Update::All(self.evacuated.clone());
        };
        let later = self.evacuations.iter().map(|(_, change)| change);
        let later = later.filter(|change| change.position.revision > after.revision);
        let told = later.map(|change| {
            let position = self.position(change.position.revision);
            evacuation::Change { position, ..change.clone() }
        });
        evacuation::Update::Changes(told.collect())
    }

    fn news(&self, call: &watch::Poll) -> watch::Update {
        match call.topic {
            watch::Topic::Configuration => {
                let changed = call.after.is_none_or(|it| self.config_revision > it.revision);
                let published = changed.then(|| Box::new(self.published.clone()));
                let evacuations = self.evacuations(call);
                watch::Update::Configuration(watch::ConfigurationUpdate { published, evacuations })
            }
            watch::Topic::Servers if call.after.is_none() => {
                let listed = self.servers.values().map(|(_, vm)| vm.clone()).collect();
                let unreadable = self.unreadable.iter().cloned().collect();
                let written =
                    self.servers.iter().map(|(vm, (revision, _))| (vm.clone(), *revision));
                let revisions = written.collect();
                watch::Update::AllServers(watch::AllServers { listed, unreadable, revisions })
            }
            watch::Topic::Servers => {
                let after = call.after.map_or(0, |after| after.revision);
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
