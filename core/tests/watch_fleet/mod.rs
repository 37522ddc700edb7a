//! A fleet of core routers that follow a fake store with revisions and watches, in simulated time.
//!
//! The store keeps its own account of what was true when; after every step each router is held against it.

#![allow(dead_code, missing_docs, clippy::unwrap_used)]

mod backup;
mod checks;
#[path = "store.rs"]
mod fake_store;
pub mod traffic;

#[allow(unused_imports)]
pub use backup::Backup;

use doorswitch_core::{config, evacuation, ids, members, message, node, servers, store, watch};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub const TICK_MS: u64 = 20;
/// How long a call of a router waits for the store beyond the wait that it asked for.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// A router is held to its bound once it was untroubled for so long.
pub const CONTACT_MS: u64 = 3_000;

/// How the store treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    Well,
    Refuses,
    Silent,
}

/// What travels.
enum Event {
    Message { to: String, envelope: message::Envelope },
    Gossip { to: String, gossip: message::Gossip },
    StoreReply { place: usize, incarnation: u64, call: ids::CallId, reply: store::Reply },
}

struct Waiting {
    call: watch::Poll,
    sent_ms: u64,
    /// The store took it and never answers it.
    unanswered: bool,
}

/// The outcome of a call that the router has not received yet.
struct PendingOutcome {
    arrives_ms: u64,
    /// The store's era when it answered; `None` if it did not.
    era: Option<u64>,
    call: watch::Poll,
    outcome: watch::Outcome,
}

pub struct Router {
    pub node: node::Node,
    pub incarnation: u64,
    pub address: String,
    pub alive: bool,
    pub frozen: bool,
    /// Cut off from the store.
    pub cut: bool,
    /// The store refuses its calls.
    pub turned_away: bool,
    /// Routers of other groups cannot be reached.
    pub group: u64,
    /// Since when nothing has troubled it.
    calm_since_ms: u64,
    waiting: Vec<Waiting>,
    /// Outcomes of calls that have not arrived yet.
    answers: Vec<PendingOutcome>,
    seen: (u64, store::Position),
    held: Vec<Event>,
}

/// A change in the store's history.
#[derive(Clone)]
struct Change {
    at_ms: u64,
    revision: u64,
    topic: watch::Topic,
    server: Option<(String, watch::ServerRecord)>,
}

pub struct Fleet {
    pub now_ms: u64,
    pub routers: Vec<Router>,
    pub store: Store,
    /// Datagrams that are lost, in a hundred.
    pub loss_percent: u32,
    /// How long an answer of the store is on its way at most.
    pub answer_ms: u64,
    /// Calls that reached the store.
    pub calls: u64,
    pub bounds: watch::Bounds,
    /// How stale a router that was in touch was at most, by topic.
    pub stalest_ms: BTreeMap<watch::Topic, u64>,
    pub announced: BTreeSet<String>,
    seeds: usize,
    /// The number of restores of the store.
    era: u64,
    revision: u64,
    forgotten: u64,
    published: config::Published,
    config_revision: u64,
    servers: BTreeMap<String, (u64, servers::Vm)>,
    /// What routers wrote, with the revision of each value.
    pub values: BTreeMap<String, (u64, Vec<u8>)>,
    /// Calls for those values.
    pub value_calls: u64,
    /// The latest life of each server, also of those that are gone.
    incarnations_of: BTreeMap<String, ids::ServerIncarnation>,
    /// Servers whose records cannot be read.
    unreadable: BTreeSet<String>,
    /// What is evacuated, and every change of that.
    evacuated: BTreeSet<String>,
    evacuations: Vec<(u64, evacuation::Change)>,
    history: Vec<Change>,
    store_calm_since_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    incarnations: u64,
    /// What routers answered to requests: by which router, in which of its lives, to which request.
    pub answers: Vec<(usize, u64, ids::RequestSlot, node::Answer)>,
    rng: StdRng,
    /// Draws apart from the rest, so that a seed's schedule does not hang on these calls.
    value_rng: StdRng,
}

pub const BOUNDS: watch::Bounds = watch::Bounds { configuration_ms: 4_000, servers_ms: 4_000 };

/// A fleet that has known itself for a while.
pub fn settled(routers: usize, bounds: watch::Bounds, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(routers, 3, bounds, seed);
    fleet.run_ms(15_000);
    assert!(fleet.all_know_latest());
    fleet
}

impl Fleet {
    /// Routers that start at once and know some seeds, before a store that holds some servers.
    pub fn new(routers: usize, seeds: usize, bounds: watch::Bounds, seed: u64) -> Self {
        let mut fleet = Self {
            now_ms: 1_000,
            routers: Vec::new(),
            store: Store::Well,
            loss_percent: 0,
            answer_ms: TICK_MS,
            calls: 0,
            bounds,
            stalest_ms: BTreeMap::new(),
            announced: BTreeSet::new(),
            seeds,
            era: 0,
            revision: 1,
            forgotten: 0,
            published: config::Published::next(None, "first", document()),
            config_revision: 1,
            servers: BTreeMap::new(),
            values: BTreeMap::new(),
            value_calls: 0,
            incarnations_of: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            evacuations: Vec::new(),
            history: Vec::new(),
            store_calm_since_ms: 0,
            events: BTreeMap::new(),
            next_event: 0,
            incarnations: 0,
            answers: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            value_rng: StdRng::seed_from_u64(!seed),
        };
        for place in 0..6 {
            fleet.put_server(&format!("server-{place}"), servers::VmState::Live);
        }
        for place in 0..routers {
            let router = fleet.new_router(place);
            fleet.routers.push(router);
        }
        fleet
    }

    /// The same, and routers serve a service to whoever comes.
    pub fn with_service(routers: usize, seeds: usize, bounds: watch::Bounds, seed: u64) -> Self {
        let mut fleet = Self::new(routers, seeds, bounds, seed);
        let document = config::Document { services: vec![service()], ..document() };
        fleet.published = config::Published::next(None, "first", document);
        fleet
    }

    pub fn publish(&mut self) {
        self.revision += 1;
        let operation = format!("publish-{}", self.revision);
        let document = self.published.document.clone();
        self.published = config::Published::next(Some(&self.published), &operation, document);
        self.config_revision = self.revision;
        self.note(watch::Topic::Configuration, None);
    }

    /// Something that nobody follows is written.
    pub fn write_elsewhere(&mut self) {
        self.revision += 1;
    }

    pub fn forget_history(&mut self) {
        self.forgotten = self.revision;
    }

    pub fn set_store(&mut self, store: Store) {
        self.store = store;
        self.store_calm_since_ms = self.now_ms;
    }

    pub fn kill(&mut self, place: usize) {
        self.routers[place].alive = false;
        self.routers[place].waiting.clear();
        self.routers[place].answers.clear();
    }

    pub fn restart(&mut self, place: usize) {
        self.kill(place);
        let router = self.new_router(place);
        let group = self.routers[place].group;
        self.routers[place] = router;
        self.routers[place].group = group;
    }

    /// Notes that a router was troubled until now.
    pub fn trouble(&mut self, place: usize) {
        self.routers[place].calm_since_ms = self.now_ms;
    }

    pub fn set_frozen(&mut self, place: usize, frozen: bool) {
        self.trouble(place);
        self.routers[place].frozen = frozen;
        if !frozen {
            for event in std::mem::take(&mut self.routers[place].held) {
                self.deliver(event);
            }
        }
    }

    pub fn set_cut(&mut self, place: usize, cut: bool) {
        self.trouble(place);
        self.routers[place].cut = cut;
    }

    pub fn set_turned_away(&mut self, place: usize, turned_away: bool) {
        self.trouble(place);
        self.routers[place].turned_away = turned_away;
    }

    /// Delivers gossip with `digest` from a peer outside the fleet; the caller handles the node's resulting actions.
    pub fn gossip_from_unknown_peer(&mut self, place: usize, digest: message::Digest) {
        let from = members::Record {
            id: ids::Incarnation(77),
            address: "10.9.9.9:1".to_owned(),
            vm: "stranger".to_owned(),
            failure_domain: "nowhere".to_owned(),
            beat: 0,
            health: members::Health::Alive,
        };
        let gossip = message::Gossip {
            from,
            kind: message::GossipKind::Push,
            digest,
            member_updates: Vec::new(),
            leaving: Vec::new(),
            quarantine: Default::default(),
            limits: Vec::new(),
        };
        let now_ms = self.now_ms;
        self.routers[place].node.handle_gossip(&gossip, now_ms);
    }

    pub fn watchers(&self) -> Vec<usize> {
        let watches = |router: &Router| {
            router.alive && router.node.watch_role() == Some(watch::Role::Watcher)
        };
        (0..self.routers.len()).filter(|place| watches(&self.routers[*place])).collect()
    }

    pub fn run_ms(&mut self, time_ms: u64) {
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Runs until something holds, for at most `most_ms`; returns how long it took.
    pub fn run_until(&mut self, what: &str, most_ms: u64, holds: impl Fn(&Self) -> bool) -> u64 {
        let from_ms = self.now_ms;
        while !holds(self) {
            assert!(self.now_ms < from_ms + most_ms, "{what}: not within {most_ms} ms");
            self.step();
        }
        self.now_ms - from_ms
    }

    pub fn all_know_latest(&self) -> bool {
        let live = self.routers.iter().filter(|router| router.alive);
        live.map(|router| &router.node).all(|node| self.knows_latest(node))
    }

    /// Whether a router has the configuration and the servers as they are now.
    pub fn knows_latest(&self, node: &node::Node) -> bool {
        let identity =
            |vm: &servers::Vm| (vm.vm.clone(), vm.incarnation, vm.state == servers::VmState::Live);
        let listed: BTreeSet<_> =
            node.servers().iter().map(|(_, server)| identity(&server.vm)).collect();
        let wanted: BTreeSet<_> = self.servers.values().map(|(_, vm)| identity(vm)).collect();
        let evacuated = *node.evacuated() == self.evacuated;
        node.config_version() == self.published.version && listed == wanted && evacuated
    }

    pub fn step(&mut self) {
        self.now_ms += TICK_MS;
        while let Some((&(at_ms, number), _)) = self.events.first_key_value() {
            if at_ms > self.now_ms {
                break;
            }
            let event = self.events.remove(&(at_ms, number)).unwrap();
            self.deliver(event);
        }
        for place in 0..self.routers.len() {
            if self.routers[place].alive && !self.routers[place].frozen {
                self.answer_calls(place);
                self.routers[place].node.tick(self.now_ms);
                self.carry_out(place);
            }
        }
        self.check();
    }

    fn new_router(&mut self, place: usize) -> Router {
        self.incarnations += 1;
        let address = format!("10.0.0.{place}:1");
        let settings = node::Settings {
            incarnation: ids::Incarnation(self.rng.random()),
            vm: format!("entry-{place}"),
            address: address.clone(),
            failure_domain: format!("domain-{}", place % 4),
            region: "region".to_owned(),
            seeds: (0..self.seeds).map(|seed| format!("10.0.0.{seed}:1")).collect(),
            started_s: 0,
            platform_reads_per_s: 2_000,
            platform_writes_per_s: 400,
            watch: Some(self.bounds),
            budget_wait_ms: 500,
            claim_wait_ms: 3_000,
            handover_wait_ms: 1_000,
        };
        Router {
            node: node::Node::new(settings, self.rng.random(), self.now_ms),
            incarnation: self.incarnations,
            address,
            alive: true,
            frozen: false,
            cut: false,
            turned_away: false,
            group: 0,
            calm_since_ms: self.now_ms,
            waiting: Vec::new(),
            answers: Vec::new(),
            seen: Default::default(),
            held: Vec::new(),
        }
    }

    fn note(&mut self, topic: watch::Topic, server: Option<(String, watch::ServerRecord)>) {
        let (at_ms, revision) = (self.now_ms, self.revision);
        self.history.push(Change { at_ms, revision, topic, server });
    }

    pub fn carry_out(&mut self, place: usize) {
        for action in self.routers[place].node.take_actions() {
            match action {
                node::Action::Poll(call) => {
                    let router = &mut self.routers[place];
                    let unanswered = self.store == Store::Silent;
                    router.waiting.push(Waiting { call, sent_ms: self.now_ms, unanswered });
                    self.calls += u64::from(!router.cut);
                }
                node::Action::Announce => self.announce(place),
                node::Action::Send { address, envelope } => {
                    self.send(place, address.clone(), Event::Message { to: address, envelope });
                }
                node::Action::Gossip { address, gossip } => {
                    let lost = self.rng.random_range(0..100) < self.loss_percent;
                    let to = address.clone();
                    match lost {
                        true => {}
                        false => self.send(place, to, Event::Gossip { to: address, gossip }),
                    }
                }
                node::Action::Store { call, request } => self.call_store(place, call, &request),
                node::Action::Answer { slot, answer } => {
                    self.check_answer(place, &answer);
                    let incarnation = self.routers[place].incarnation;
                    self.answers.push((place, incarnation, slot, answer));
                }
                _ => {}
            }
        }
    }

    fn call_store(&mut self, place: usize, call: ids::CallId, request: &store::Request) {
        self.value_calls += 1;
        let answered = self.reaches_store(place);
        let reply = match (answered, request) {
            (false, _) => store::Reply::Unknown,
            (true, store::Request::Read { key }) => match self.values.get(key).cloned() {
                Some((revision, value)) => {
                    store::Reply::Found { index: self.position(revision), value }
                }
                None => store::Reply::Missing { era: self.era },
            },
            (true, store::Request::Write { key, expected_index, value, .. }) => {
                match self.values.get(key).cloned() {
                    Some((revision, value)) if revision != expected_index.revision => {
                        store::Reply::ConflictWith { index: self.position(revision), value }
                    }
                    None if expected_index.revision != 0 => store::Reply::Conflict,
                    _ => {
                        self.revision += 1;
                        self.values.insert(key.clone(), (self.revision, value.clone()));
                        store::Reply::WrittenAt { index: self.position(self.revision) }
                    }
                }
            }
            (true, store::Request::DeletePrefix { .. }) => store::Reply::Written { era: self.era },
        };
        let delay_ms = if answered {
            self.value_rng.random_range(0..=self.answer_ms)
        } else {
            CALL_TIMEOUT_MS
        };
        let incarnation = self.routers[place].incarnation;
        self.next_event += 1;
        let event = Event::StoreReply { place, incarnation, call, reply };
        self.events.insert((self.now_ms + delay_ms, self.next_event), event);
    }

    fn announce(&mut self, place: usize) {
        if !self.reaches_store(place) {
            return;
        }
        self.calls += 2;
        let known = self.announced.iter().cloned().collect();
        self.announced.insert(self.routers[place].address.clone());
        self.routers[place].node.offer_seeds(known);
    }

    /// Whether a router was untroubled for so long that it is held to its bounds.
    pub fn in_touch(&self, place: usize) -> bool {
        let router = &self.routers[place];
        let calm_ms = self.now_ms - router.calm_since_ms;
        let whole = router.alive && !router.frozen && router.group == 0;
        whole && calm_ms >= CONTACT_MS && self.reaches_store(place)
    }

    fn send(&mut self, from: usize, to: String, event: Event) {
        let reached = self.routers.iter().any(|router| {
            router.address == to && router.alive && router.group == self.routers[from].group
        });
        if reached {
            self.next_event += 1;
            let at_ms = self.now_ms + self.rng.random_range(1..10);
            self.events.insert((at_ms, self.next_event), event);
        }
    }

    fn deliver(&mut self, event: Event) {
        let place = match &event {
            Event::Message { to, .. } | Event::Gossip { to, .. } => {
                self.routers.iter().position(|router| router.address == *to)
            }
            Event::StoreReply { place, incarnation, .. } => {
                Some(*place).filter(|place| self.routers[*place].incarnation == *incarnation)
            }
        };
        let Some(place) = place else { return };
        let router = &mut self.routers[place];
        if !router.alive {
            return;
        }
        if router.frozen {
            router.held.push(event);
            return;
        }
        match event {
            Event::Message { envelope, .. } => router.node.handle_message(envelope, self.now_ms),
            Event::Gossip { gossip, .. } => router.node.handle_gossip(&gossip, self.now_ms),
            Event::StoreReply { call, reply, .. } => {
                router.node.handle_store_reply(call, reply, self.now_ms);
            }
        }
        self.carry_out(place);
    }
}

fn service() -> config::Service {
    config::Service {
        name: "service".to_owned(),
        kind: config::Kind::Plain,
        policy: String::new(),
        models: Vec::new(),
        answer_tokens_max: 1,
        call_tokens: 0,
        unrepeatable: Vec::new(),
        queue_length: 64,
        queue_age_ms: 500,
        answer_time_ms: 10_000,
        connections_max: None,
        event_tokens: 1,
        cold_milli_per_s: 0,
        cold_start_ms: 0,
    }
}

fn document() -> config::Document {
    config::Document {
        evacuated: Vec::new(),
        routes: Vec::new(),
        callers: config::CallerLimits::default(),
        layout: config::Layout { ledger_shards: 2, log_shards: 0, log_epoch_segments: 8 },
        workspaces: Vec::new(),
        services: Vec::new(),
        policies: Vec::new(),
    }
}
