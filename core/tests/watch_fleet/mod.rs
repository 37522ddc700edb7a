//! Simulates core routers that follow a fake store with revisions and long polls, in simulated time.
//!
//! The fake store records every change with its time. After every step, the state of each router is checked against
//! this history.

#![allow(dead_code, missing_docs, clippy::unwrap_used)]

mod backup;
mod checks;
#[path = "store.rs"]
mod fake_store;
pub mod take_ups;
pub mod traffic;

#[allow(unused_imports)]
pub use backup::Backup;

use doorswitch_core::{
    config, evacuation, ids, members, message, node, routes, servers, store, watch,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub const TICK_MS: u64 = 20;
/// How long a router waits for an answer of the store beyond the wait that its poll asks for.
const CALL_TIMEOUT_MS: u64 = 1_000;
/// The staleness of a router is checked again this long after the last fault of the router or of the store.
pub const FAULT_RECOVERY_MS: u64 = 3_000;

/// How the store reacts to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Available,
    Rejecting,
    Silent,
}

/// A message or a reply that is in transit.
enum Event {
    Message { to: String, envelope: message::Envelope },
    Gossip { to: String, gossip: Box<message::Gossip> },
    StoreReply { router: usize, incarnation: u64, call: ids::CallId, reply: store::Reply },
}

/// A poll that a router has sent and that has no outcome yet.
struct OpenPoll {
    poll: watch::Poll,
    sent_ms: u64,
    /// Whether the store received the poll and never answers it.
    unanswered: bool,
}

/// The outcome of a poll that the router has not received yet.
struct PendingOutcome {
    arrives_ms: u64,
    /// The store's era when it answered; `None` if there is no answer.
    era: Option<u64>,
    poll: watch::Poll,
    outcome: watch::Outcome,
}

/// A simulated router process.
pub struct Router {
    pub node: node::Node,
    pub incarnation: u64,
    pub address: String,
    pub alive: bool,
    pub frozen: bool,
    /// Whether the router cannot reach the store.
    pub cut: bool,
    /// Whether the store rejects the calls of this router only.
    pub rejected_by_store: bool,
    /// Whether connections to and from other routers are silent. Datagrams arrive.
    pub silent_links: bool,
    /// The number of next polls of the configuration that are sent on connections that have gone silent.
    pub silent_polls: u32,
    /// The network partition of the router; routers in different partitions cannot reach each other.
    pub partition: u64,
    /// When a fault of this router last began or ended.
    last_fault_ms: u64,
    open_polls: Vec<OpenPoll>,
    /// Outcomes of polls that are on their way to the router.
    pending_outcomes: Vec<PendingOutcome>,
    /// The configuration version and the position of the server list that the router had applied at the last check.
    last_applied: (u64, store::Position),
    /// Events that arrived while the router was frozen.
    deferred: Vec<Event>,
}

/// A change in the store's history.
#[derive(Clone)]
struct Change {
    at_ms: u64,
    revision: u64,
    topic: watch::Topic,
    server: Option<(String, watch::ServerRecord)>,
}

/// A simulated fleet and its store.
pub struct Fleet {
    pub now_ms: u64,
    pub routers: Vec<Router>,
    pub store: StoreMode,
    /// Percentage of gossip datagrams that are lost.
    pub loss_percent: u32,
    /// Percentage of the messages in datagrams that are lost.
    pub message_loss_percent: u32,
    /// The maximum time that an answer of the store is in transit, in milliseconds.
    pub answer_delay_max_ms: u64,
    /// Number of calls of routers that reached the store: polls and announcements.
    pub calls: u64,
    pub bounds: watch::Bounds,
    /// The largest staleness of a checked router, by topic, in milliseconds.
    pub staleness_max_ms: BTreeMap<watch::Topic, u64>,
    /// Addresses of routers that announced themselves to the store.
    pub announced: BTreeSet<String>,
    seeds: usize,
    /// The store's era: the number of its restores.
    era: u64,
    revision: u64,
    /// The store has no history of changes before this revision.
    history_start: u64,
    published: config::Published,
    config_revision: u64,
    servers: BTreeMap<String, (u64, servers::Vm)>,
    /// Values that routers wrote, with the revision of each.
    pub values: BTreeMap<String, (u64, Vec<u8>)>,
    /// Number of calls that read or write these values.
    pub value_calls: u64,
    /// The latest incarnation of each server, also of removed ones.
    latest_incarnations: BTreeMap<String, ids::ServerIncarnation>,
    /// Servers whose records are unreadable.
    unreadable: BTreeSet<String>,
    /// The evacuated failure domains.
    evacuated: BTreeSet<String>,
    /// Every change of `evacuated`, with its time.
    evacuations: Vec<(u64, evacuation::Change)>,
    history: Vec<Change>,
    /// When a fault of the store last began or ended.
    store_last_fault_ms: u64,
    /// Messages and replies in transit, by their arrival times and numbers.
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    incarnations: u64,
    /// Answers of routers to requests: the router's index, its incarnation, the request's slot and the answer.
    pub answers: Vec<(usize, u64, ids::RequestSlot, node::Answer)>,
    /// Results of searches for the origins of streams: the router's index, its incarnation, the search and the result.
    pub origins_found: Vec<(usize, u64, ids::OriginSearchSlot, node::OriginFound)>,
    /// The number and the bytes of the messages about origins of streams that routers sent.
    pub origin_messages: (u64, u64),
    /// The software version in the records of each server; empty for the others.
    pub server_versions: BTreeMap<String, String>,
    /// The service of each server; `service` for the others.
    pub server_services: BTreeMap<String, String>,
    rng: StdRng,
    /// A separate generator for delays of value calls, so that the schedule of a seed does not depend on these calls.
    value_rng: StdRng,
}

/// Staleness bounds that most tests use.
pub const BOUNDS: watch::Bounds = watch::Bounds { configuration_ms: 4_000, servers_ms: 4_000 };

/// Returns a fleet that has run long enough for all routers to be up to date.
pub fn up_to_date_fleet(routers: usize, bounds: watch::Bounds, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(routers, 3, bounds, seed);
    fleet.run_ms(15_000);
    assert!(fleet.all_up_to_date());
    fleet
}

impl Fleet {
    /// Starts all routers at once, with the addresses of the first `seeds` routers as seeds and six servers in the
    /// store.
    pub fn new(routers: usize, seeds: usize, bounds: watch::Bounds, seed: u64) -> Self {
        let mut fleet = Self {
            now_ms: 1_000,
            routers: Vec::new(),
            store: StoreMode::Available,
            loss_percent: 0,
            message_loss_percent: 0,
            answer_delay_max_ms: TICK_MS,
            calls: 0,
            bounds,
            staleness_max_ms: BTreeMap::new(),
            announced: BTreeSet::new(),
            seeds,
            era: 0,
            revision: 1,
            history_start: 0,
            published: config::Published::next(None, "first", document()),
            config_revision: 1,
            servers: BTreeMap::new(),
            values: BTreeMap::new(),
            value_calls: 0,
            latest_incarnations: BTreeMap::new(),
            unreadable: BTreeSet::new(),
            evacuated: BTreeSet::new(),
            evacuations: Vec::new(),
            history: Vec::new(),
            store_last_fault_ms: 0,
            events: BTreeMap::new(),
            next_event: 0,
            incarnations: 0,
            answers: Vec::new(),
            origins_found: Vec::new(),
            origin_messages: (0, 0),
            server_versions: BTreeMap::new(),
            server_services: BTreeMap::new(),
            rng: StdRng::seed_from_u64(seed),
            value_rng: StdRng::seed_from_u64(!seed),
        };
        for index in 0..6 {
            fleet.put_server(&format!("server-{index}"), servers::VmState::Live);
        }
        for index in 0..routers {
            let router = fleet.new_router(index);
            fleet.routers.push(router);
        }
        fleet
    }

    /// Like `new`, with a configuration of one service, to which requests can be submitted.
    pub fn with_service(routers: usize, seeds: usize, bounds: watch::Bounds, seed: u64) -> Self {
        let mut fleet = Self::new(routers, seeds, bounds, seed);
        let document = config::Document {
            services: vec![service()],
            routes: vec![route_of_streams()],
            ..document()
        };
        fleet.published = config::Published::next(None, "first", document);
        fleet
    }

    /// Publishes the next version of the configuration.
    pub fn publish(&mut self) {
        self.revision += 1;
        let operation = format!("publish-{}", self.revision);
        let document = self.published.document.clone();
        self.published = config::Published::next(Some(&self.published), &operation, document);
        self.config_revision = self.revision;
        self.record_change(watch::Topic::Configuration, None);
    }

    /// Publishes a configuration in which the route leads to this service.
    pub fn publish_route_to(&mut self, service: &str) {
        let document = &mut self.published.document;
        document.routes[0].targets[0].service = service.to_owned();
        if document.services.iter().all(|known| known.name != service) {
            let name = service.to_owned();
            document.services.push(config::Service { name, ..self::service() });
        }
        self.publish();
    }

    /// Writes a key that no router watches.
    pub fn write_unwatched_key(&mut self) {
        self.revision += 1;
    }

    /// Discards the store's history of changes up to now.
    pub fn discard_history(&mut self) {
        self.history_start = self.revision;
    }

    pub fn set_store(&mut self, store: StoreMode) {
        self.store = store;
        self.store_last_fault_ms = self.now_ms;
    }

    pub fn kill(&mut self, index: usize) {
        self.routers[index].alive = false;
        self.routers[index].open_polls.clear();
        self.routers[index].pending_outcomes.clear();
    }

    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        let router = self.new_router(index);
        let partition = self.routers[index].partition;
        self.routers[index] = router;
        self.routers[index].partition = partition;
    }

    /// Records that a fault of a router begins or ends now.
    pub fn record_fault(&mut self, index: usize) {
        self.routers[index].last_fault_ms = self.now_ms;
    }

    pub fn set_frozen(&mut self, index: usize, frozen: bool) {
        self.record_fault(index);
        self.routers[index].frozen = frozen;
        if !frozen {
            for event in std::mem::take(&mut self.routers[index].deferred) {
                self.deliver(event);
            }
        }
    }

    pub fn set_cut(&mut self, index: usize, cut: bool) {
        self.record_fault(index);
        self.routers[index].cut = cut;
    }

    pub fn set_rejected_by_store(&mut self, index: usize, rejected_by_store: bool) {
        self.record_fault(index);
        self.routers[index].rejected_by_store = rejected_by_store;
    }

    /// Delivers gossip with `digest` from a peer outside the fleet. The caller handles the node's resulting actions.
    pub fn gossip_from_unknown_peer(&mut self, index: usize, digest: message::Digest) {
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
            brittle: Vec::new(),
            extension: None,
            confirmations: None,
        };
        let now_ms = self.now_ms;
        self.routers[index].node.handle_gossip(&gossip, now_ms);
    }

    pub fn watchers(&self) -> Vec<usize> {
        let is_watcher = |router: &Router| {
            router.alive && router.node.watch_role() == Some(watch::Role::Watcher)
        };
        (0..self.routers.len()).filter(|index| is_watcher(&self.routers[*index])).collect()
    }

    pub fn run_ms(&mut self, time_ms: u64) {
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Runs until `holds` returns true and returns the elapsed milliseconds; panics after `timeout_ms`.
    pub fn run_until(&mut self, what: &str, timeout_ms: u64, holds: impl Fn(&Self) -> bool) -> u64 {
        let from_ms = self.now_ms;
        while !holds(self) {
            assert!(
                self.now_ms < from_ms + timeout_ms,
                "{what}: not reached within {timeout_ms} ms"
            );
            self.step();
        }
        self.now_ms - from_ms
    }

    /// Whether all running routers are up to date.
    pub fn all_up_to_date(&self) -> bool {
        let running = self.routers.iter().filter(|router| router.alive);
        running.map(|router| &router.node).all(|node| self.is_up_to_date(node))
    }

    /// Whether a router has the current configuration, servers and evacuations.
    pub fn is_up_to_date(&self, node: &node::Node) -> bool {
        let identity =
            |vm: &servers::Vm| (vm.vm.clone(), vm.incarnation, vm.state == servers::VmState::Live);
        let listed: BTreeSet<_> =
            node.servers().iter().map(|(_, server)| identity(&server.vm)).collect();
        let expected: BTreeSet<_> = self.servers.values().map(|(_, vm)| identity(vm)).collect();
        let evacuated = *node.evacuated() == self.evacuated;
        node.config_version() == self.published.version && listed == expected && evacuated
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
        for index in 0..self.routers.len() {
            if self.routers[index].alive && !self.routers[index].frozen {
                self.deliver_outcomes(index);
                self.routers[index].node.tick(self.now_ms);
                self.perform_actions(index);
            }
        }
        self.check();
    }

    fn new_router(&mut self, index: usize) -> Router {
        self.incarnations += 1;
        let address = format!("10.0.0.{index}:1");
        let settings = node::Settings {
            incarnation: ids::Incarnation(self.rng.random()),
            vm: format!("entry-{index}"),
            address: address.clone(),
            failure_domain: format!("domain-{}", index % 4),
            region: "region".to_owned(),
            seeds: (0..self.seeds).map(|seed| format!("10.0.0.{seed}:1")).collect(),
            started_s: 0,
            machine_clock: None,
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
            rejected_by_store: false,
            silent_links: false,
            silent_polls: 0,
            partition: 0,
            last_fault_ms: self.now_ms,
            open_polls: Vec::new(),
            pending_outcomes: Vec::new(),
            last_applied: Default::default(),
            deferred: Vec::new(),
        }
    }

    fn record_change(
        &mut self,
        topic: watch::Topic,
        server: Option<(String, watch::ServerRecord)>,
    ) {
        let (at_ms, revision) = (self.now_ms, self.revision);
        self.history.push(Change { at_ms, revision, topic, server });
    }

    pub fn perform_actions(&mut self, index: usize) {
        for action in self.routers[index].node.take_actions() {
            match action {
                node::Action::Poll(poll) => {
                    let router = &mut self.routers[index];
                    let on_silent_connection =
                        poll.topic == watch::Topic::Configuration && router.silent_polls > 0;
                    router.silent_polls -= u32::from(on_silent_connection);
                    let unanswered = on_silent_connection || self.store == StoreMode::Silent;
                    router.open_polls.push(OpenPoll { poll, sent_ms: self.now_ms, unanswered });
                    self.calls += u64::from(!router.cut);
                }
                node::Action::Announce => self.announce(index),
                node::Action::Send { address, envelope } => {
                    self.count_origin_message(&envelope.message);
                    let lost = envelope.message.by_datagram()
                        && self.message_loss_percent > 0
                        && self.value_rng.random_range(0..100) < self.message_loss_percent;
                    let silent = !envelope.message.by_datagram()
                        && (self.routers[index].silent_links || self.has_silent_links(&address));
                    if lost || silent {
                        continue;
                    }
                    self.send(index, address.clone(), Event::Message { to: address, envelope });
                }
                node::Action::Gossip { address, gossip } => {
                    let lost = self.rng.random_range(0..100) < self.loss_percent;
                    let to = address.clone();
                    match lost {
                        true => {}
                        false => self.send(index, to, Event::Gossip { to: address, gossip }),
                    }
                }
                node::Action::Store { call, request } => self.call_store(index, call, &request),
                node::Action::Answer { slot, answer } => {
                    self.check_answer(index, &answer);
                    let incarnation = self.routers[index].incarnation;
                    self.answers.push((index, incarnation, slot, answer));
                }
                node::Action::OriginFound { search, found } => {
                    let incarnation = self.routers[index].incarnation;
                    self.origins_found.push((index, incarnation, search, found));
                }
                _ => {}
            }
        }
    }

    fn count_origin_message(&mut self, message: &message::Message) {
        let counted = matches!(
            message,
            message::Message::StreamOrigins { .. }
                | message::Message::StreamOriginsStored { .. }
                | message::Message::StreamOriginRequest { .. }
                | message::Message::StreamOriginReply { .. }
        );
        if counted {
            self.origin_messages.0 += 1;
            self.origin_messages.1 += postcard::to_stdvec(message).unwrap().len() as u64;
        }
    }

    fn call_store(&mut self, index: usize, call: ids::CallId, request: &store::Request) {
        self.value_calls += 1;
        let answered = self.reaches_store(index);
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
            self.value_rng.random_range(0..=self.answer_delay_max_ms)
        } else {
            CALL_TIMEOUT_MS
        };
        let incarnation = self.routers[index].incarnation;
        self.next_event += 1;
        let event = Event::StoreReply { router: index, incarnation, call, reply };
        self.events.insert((self.now_ms + delay_ms, self.next_event), event);
    }

    fn announce(&mut self, index: usize) {
        if !self.reaches_store(index) {
            return;
        }
        self.calls += 2;
        let addresses = self.announced.iter().cloned().collect();
        self.announced.insert(self.routers[index].address.clone());
        self.routers[index].node.offer_seeds(addresses);
    }

    /// Whether a router runs, is in the main partition, reaches the store, and had no fault of its own for
    /// `FAULT_RECOVERY_MS`.
    pub fn must_meet_bounds(&self, index: usize) -> bool {
        let router = &self.routers[index];
        let undisturbed_ms = self.now_ms - router.last_fault_ms;
        let running = router.alive && !router.frozen && router.partition == 0;
        running && undisturbed_ms >= FAULT_RECOVERY_MS && self.reaches_store(index)
    }

    fn has_silent_links(&self, address: &str) -> bool {
        self.routers.iter().any(|router| router.address == address && router.silent_links)
    }

    fn send(&mut self, from: usize, to: String, event: Event) {
        let reached = self.routers.iter().any(|router| {
            router.address == to && router.alive && router.partition == self.routers[from].partition
        });
        if reached {
            self.next_event += 1;
            let at_ms = self.now_ms + self.rng.random_range(1..10);
            self.events.insert((at_ms, self.next_event), event);
        }
    }

    fn deliver(&mut self, event: Event) {
        let index = match &event {
            Event::Message { to, .. } | Event::Gossip { to, .. } => {
                self.routers.iter().position(|router| router.address == *to)
            }
            Event::StoreReply { router, incarnation, .. } => {
                Some(*router).filter(|index| self.routers[*index].incarnation == *incarnation)
            }
        };
        let Some(index) = index else { return };
        let router = &mut self.routers[index];
        if !router.alive {
            return;
        }
        if router.frozen {
            router.deferred.push(event);
            return;
        }
        match event {
            Event::Message { envelope, .. } => router.node.handle_message(envelope, self.now_ms),
            Event::Gossip { gossip, .. } => router.node.handle_gossip(&gossip, self.now_ms),
            Event::StoreReply { call, reply, .. } => {
                router.node.handle_store_reply(call, reply, self.now_ms);
            }
        }
        self.perform_actions(index);
    }
}

/// A route whose streams clients may continue.
fn route_of_streams() -> routes::Route {
    routes::Route {
        name: "route".to_owned(),
        host: "host".to_owned(),
        path_prefix: "/".to_owned(),
        kind: routes::RouteKind::Stream,
        timeout_ms: 10_000,
        target_ms: 500,
        priority: 1,
        targets: vec![routes::Target { service: "service".to_owned(), weight: 1 }],
        attempts_max: 2,
        public: false,
        resumable: true,
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
