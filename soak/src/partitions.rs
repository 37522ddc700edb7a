//! Services that get a second software version while some routers reach neither the store nor other routers, and clients
//! that begin streams at the other routers and take broken ones up at the separated routers.

use crate::{fleet, observe, prober, servers, streams};
use doorswitch_standins::{backend, store, wire};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{fmt, thread};

/// The versions of a service's servers, before and during a partition.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// The number of servers of each version of a service.
const SERVERS: usize = 2;
/// The number of clients, each of which follows one stream after the other.
const CLIENTS: usize = 6;
/// One in this many answers is broken off by its server.
const BROKEN_EVERY: u64 = 2;
/// How long a client waits for a whole stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(3);
/// The time between two attempts to continue a stream.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The time after a partition during which its routers count as separated for the choice of clients.
const HEALING_TIME: Duration = Duration::from_millis(1_000);
/// The probability that a client begins a stream of the service whose second version joined last.
const NEWEST_RELEASE: f64 = 0.8;
/// The probability that a client continues a stream at a separated router.
const AT_SEPARATED: f64 = 0.6;
/// The Unix millisecond before the start of the first server.
const FIRST_START_MS: u64 = 1_802_000_000_000;

/// The results of the clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// The number of streams whose first event arrived, and how many of them were received whole.
    pub streams: (usize, usize),
    /// The number of attempts to continue streams at separated routers, and how many of them brought events.
    pub at_separated: (usize, usize),
    /// The same, only for streams of a version that joined after the router was separated.
    pub of_unseen_version: (usize, usize),
    /// The number of streams that hold events of both versions.
    pub mixed: usize,
}

impl fmt::Display for Summary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (streams, whole) = self.streams;
        let (at_separated, continued) = self.at_separated;
        let (unseen, unseen_continued) = self.of_unseen_version;
        write!(
            out,
            "partition_streams={streams} partition_whole={whole} taken_up_separated={at_separated} \
             taken_up_separated_continued={continued} taken_up_unseen={unseen} \
             taken_up_unseen_continued={unseen_continued} partition_mixed={}",
            self.mixed
        )
    }
}

/// When a router was separated, and when this ended, if it has.
#[derive(Clone, Copy, Debug)]
struct Separation {
    router: usize,
    since: Instant,
    until: Option<Instant>,
}

/// What clients need to know of partitions and releases.
#[derive(Debug, Default)]
struct State {
    separations: Vec<Separation>,
    /// The services whose second version has joined, in this order, and when.
    releases: Vec<(usize, Instant)>,
}

impl State {
    /// The routers that are separated, or were until shortly before.
    fn separated(&self) -> Vec<Separation> {
        let counts = |separation: &&Separation| {
            separation.until.is_none_or(|until| until.elapsed() < HEALING_TIME)
        };
        self.separations.iter().filter(counts).copied().collect()
    }
}

/// The servers, and the clients while they run.
pub struct Partitions {
    store: Arc<store::Store>,
    backends: Vec<backend::Backend>,
    state: Arc<Mutex<State>>,
    clients: thread::JoinHandle<Summary>,
}

/// Starts servers of the first version of each service, and the clients.
pub fn start(
    store: Arc<store::Store>,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    seed: u64,
) -> Result<Partitions, fleet::Error> {
    let state = Arc::new(Mutex::new(State::default()));
    let clients = {
        let state = state.clone();
        thread::spawn(move || run_clients(&routers, &shared, &state, seed))
    };
    let mut partitions = Partitions { store, backends: Vec::new(), state, clients };
    for service in 0..fleet::PARTITION_SERVICES.len() {
        partitions.start_servers(service, 0)?;
    }
    Ok(partitions)
}

impl Partitions {
    /// Sets the routers that are separated from the store and from others.
    pub fn set_separated(&self, routers: &[usize]) {
        let (mut state, now) = (lock(&self.state), Instant::now());
        let mut begun = routers.to_vec();
        let active = state.separations.iter_mut().filter(|separation| separation.until.is_none());
        for separation in active {
            match routers.contains(&separation.router) {
                true => begun.retain(|router| *router != separation.router),
                false => separation.until = Some(now),
            }
        }
        let begun = begun.into_iter();
        state.separations.extend(begun.map(|router| Separation {
            router,
            since: now,
            until: None,
        }));
    }

    /// Starts servers of the second version of a service; if `replaces`, those of the first version leave the list.
    pub fn release(&mut self, service: usize, replaces: bool) -> Result<(), fleet::Error> {
        self.start_servers(service, 1)?;
        if replaces {
            (0..SERVERS).for_each(|index| self.store.remove_server(&name(service, 0, index)));
        }
        lock(&self.state).releases.push((service, Instant::now()));
        Ok(())
    }

    /// Waits for the clients, which end with the run.
    pub fn join(self) -> Summary {
        self.clients.join().unwrap_or_default()
    }

    fn start_servers(&mut self, service: usize, version: usize) -> Result<(), fleet::Error> {
        for index in 0..SERVERS {
            let backend = servers::start(streams::script(VERSIONS[version], BROKEN_EVERY))?;
            let record = wire::Record {
                service: fleet::PARTITION_SERVICES[service].0,
                address: backend.address(),
                version: VERSIONS[version],
                state: "ready",
                started_ms: FIRST_START_MS + self.backends.len() as u64,
            };
            self.store.record_server(&name(service, version, index), &record);
            self.backends.push(backend);
        }
        Ok(())
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn name(service: usize, version: usize, index: usize) -> String {
    format!("i-{}-{}-{index}", fleet::PARTITION_SERVICES[service].0, VERSIONS[version])
}

fn run_clients(
    routers: &[SocketAddr],
    shared: &prober::Shared,
    state: &Mutex<State>,
    seed: u64,
) -> Summary {
    let summary = Mutex::new(Summary::default());
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let rng = StdRng::seed_from_u64(seed ^ (0x9a70 + number as u64));
            let client = Client { number, routers, shared, state, summary: &summary, rng };
            scope.spawn(move || client.run());
        }
    });
    summary.into_inner().unwrap_or_else(PoisonError::into_inner)
}

struct Client<'a> {
    number: usize,
    routers: &'a [SocketAddr],
    shared: &'a prober::Shared,
    state: &'a Mutex<State>,
    summary: &'a Mutex<Summary>,
    rng: StdRng,
}

/// Where a client sends a request.
struct Target {
    router: usize,
    /// Since when the router is separated; `None` if it is not.
    separated_since: Option<Instant>,
}

impl Client<'_> {
    fn run(mut self) {
        let mut streams = 0;
        while !self.shared.ended() {
            streams += 1;
            self.follow_stream(streams);
            thread::sleep(streams::EVENT_INTERVAL);
        }
    }

    fn summary(&self) -> MutexGuard<'_, Summary> {
        self.summary.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn random_service(&mut self) -> usize {
        let newest = lock(self.state).releases.last().map(|(service, _)| *service);
        match newest {
            Some(newest) if self.rng.random_bool(NEWEST_RELEASE) => newest,
            _ => self.rng.random_range(0..fleet::PARTITION_SERVICES.len()),
        }
    }

    /// Draws a router: one that is not separated to begin a stream, and preferably a separated one to continue it.
    fn random_target(&mut self, begins: bool) -> Target {
        let separated = lock(self.state).separated();
        let at_separated = !begins && self.rng.random_bool(AT_SEPARATED);
        if at_separated && let Some(separation) = separated.choose(&mut self.rng) {
            let separated_since = Some(separation.since);
            return Target { router: separation.router, separated_since };
        }
        let is_separated =
            |router: usize| separated.iter().any(|separation| separation.router == router);
        let all_routers = 0..self.routers.len();
        let others: Vec<usize> = all_routers.filter(|router| !is_separated(*router)).collect();
        let router = others.choose(&mut self.rng).copied();
        let router = router.unwrap_or_else(|| self.rng.random_range(0..self.routers.len()));
        Target { router, separated_since: None }
    }

    /// Receives one stream, and continues it through other routers when it breaks.
    fn follow_stream(&mut self, number: usize) {
        let (mut received, started) = (streams::Received::default(), Instant::now());
        let service = self.random_service();
        let path = format!("{}x", fleet::PARTITION_SERVICES[service].1);
        for attempt in 0.. {
            let target = self.random_target(received.last_id == 0);
            let (last_id, unseen) = (received.last_id, self.is_unseen(service, &received, &target));
            let id = format!("partitioned-{}-{number}-{attempt}", self.number);
            received.request(self.routers[target.router], &path, &id);
            let continued = usize::from(received.last_id > last_id);
            if target.separated_since.is_some() && last_id > 0 {
                self.summary().at_separated.0 += 1;
                self.summary().at_separated.1 += continued;
            }
            if unseen {
                self.summary().of_unseen_version.0 += 1;
                self.summary().of_unseen_version.1 += continued;
            }
            let mixed = received.versions.len() > 1;
            if mixed {
                self.summary().mixed += 1;
                let kind = observe::ViolationKind::StreamOfTwoVersions;
                self.shared.observations().record_violation(kind, target.router, started);
            }
            let timed_out = started.elapsed() >= STREAM_TIMEOUT;
            if mixed || received.is_whole() || timed_out || self.shared.ended() {
                break;
            }
            thread::sleep(RETRY_DELAY);
        }
        let mut summary = self.summary();
        summary.streams.0 += usize::from(received.last_id > 0);
        summary.streams.1 += usize::from(received.is_whole());
    }

    /// Whether a stream is of a version that joined after its next router was separated.
    fn is_unseen(&self, service: usize, received: &streams::Received, target: &Target) -> bool {
        let Some(since) = target.separated_since else { return false };
        let state = lock(self.state);
        let joined_unseen =
            state.releases.iter().any(|(released, at)| *released == service && *at >= since);
        joined_unseen && received.versions.contains(VERSIONS[1])
    }
}
