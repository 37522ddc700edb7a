//! Servers of several software versions that are replaced and break streams off, and clients that continue the broken
//! streams through any router. Each event names the version that wrote it. In some runs all servers have one version, and
//! are replaced together while no router runs.

use crate::{fleet, observe, prober, servers, streams};
use doorswitch_standins::{backend, store, wire};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{fmt, thread};

/// The software versions of the servers.
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
/// The number of servers that run at the same time.
const SERVERS: usize = 4;
/// The number of clients, each of which follows one stream after the other.
const CLIENTS: usize = 6;
/// One in this many streams is broken off by its server.
const BROKEN_EVERY: u64 = 3;
/// How long a server runs until one of another version replaces it, in milliseconds.
const RELEASE_INTERVAL_MS: std::ops::Range<u64> = 1_500..4_000;
/// How long a server that leaves still serves.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// How long a client waits for a whole stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(4);
/// The time between two attempts to continue a stream.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The Unix millisecond before the start of the first server.
const FIRST_START_MS: u64 = 1_800_000_000_000;

/// The results of the clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// The number of streams whose first event arrived, and how many of them were received whole.
    pub streams: (usize, usize),
    /// The number of streams that broke after an event, and how many of them were received whole.
    pub broken: (usize, usize),
    /// The number of streams that hold events of several versions.
    pub mixed: usize,
}

impl fmt::Display for Summary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ((streams, whole), (broken, continued)) = (self.streams, self.broken);
        let mixed = self.mixed;
        write!(
            out,
            "streams={streams} streams_whole={whole} streams_broken={broken} \
             streams_continued={continued} streams_mixed={mixed}"
        )
    }
}

/// Starts the servers and the clients.
pub fn start(
    store: Arc<store::Store>,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    seed: u64,
) -> Result<thread::JoinHandle<Summary>, fleet::Error> {
    let mut releases = Releases {
        store,
        running: Vec::new(),
        leaving: Vec::new(),
        started: 0,
        replaced_at_losses: seed.is_multiple_of(2),
        losses: 0,
        rng: StdRng::seed_from_u64(seed),
    };
    for _ in 0..SERVERS {
        let version = releases.next_version();
        releases.start_server(version)?;
    }
    Ok(thread::spawn(move || {
        let summary = Mutex::new(Summary::default());
        thread::scope(|scope| {
            for number in 0..CLIENTS {
                let client = Client {
                    number,
                    routers: &routers,
                    shared: &shared,
                    summary: &summary,
                    rng: StdRng::seed_from_u64(seed ^ (number as u64 + 1)),
                };
                scope.spawn(move || client.run());
            }
            scope.spawn(|| releases.run(&shared));
        });
        summary.into_inner().unwrap_or_else(PoisonError::into_inner)
    }))
}

/// A server that runs, under its name.
struct Server {
    name: String,
    number: u64,
    backend: backend::Backend,
    version: &'static str,
}

/// The servers. At intervals one is replaced by one of another version, or all are replaced at a loss of all routers.
struct Releases {
    store: Arc<store::Store>,
    running: Vec<Server>,
    /// Servers that leave, and when they end.
    leaving: Vec<(Instant, Server)>,
    started: u64,
    replaced_at_losses: bool,
    /// The number of losses of all routers that this has seen.
    losses: u64,
    rng: StdRng,
}

impl Releases {
    fn run(mut self, shared: &prober::Shared) {
        let mut next = Instant::now();
        while !shared.ended() {
            if self.replaced_at_losses {
                if self.losses < shared.losses() {
                    self.losses = shared.losses();
                    self.replace_all();
                }
            } else if Instant::now() >= next {
                next += Duration::from_millis(self.rng.random_range(RELEASE_INTERVAL_MS));
                self.replace_server();
            }
            let now = Instant::now();
            let store = &self.store;
            self.leaving.retain(|(end, server)| {
                let stays = now < *end;
                if !stays {
                    store.remove_server(&server.name);
                }
                stays
            });
            thread::sleep(streams::EVENT_INTERVAL);
        }
    }

    fn replace_server(&mut self) {
        // A port that is not free is another process's; the next release tries again.
        let version = self.next_version();
        if let Err(error) = self.start_server(version) {
            eprintln!("event=server_not_started fault={error}");
            return;
        }
        let server = self.running.remove(0);
        self.record(&server, "draining");
        self.leaving.push((Instant::now() + DRAIN_TIME, server));
    }

    /// Ends all servers at once, and starts as many of the next version.
    fn replace_all(&mut self) {
        for server in std::mem::take(&mut self.running) {
            self.store.remove_server(&server.name);
        }
        for _ in 0..SERVERS {
            let version = self.next_version();
            if let Err(error) = self.start_server(version) {
                eprintln!("event=server_not_started fault={error}");
            }
        }
    }

    fn next_version(&mut self) -> &'static str {
        match self.replaced_at_losses {
            true => VERSIONS[self.losses as usize % VERSIONS.len()],
            false => VERSIONS.choose(&mut self.rng).copied().unwrap_or(VERSIONS[0]),
        }
    }

    fn start_server(&mut self, version: &'static str) -> Result<(), fleet::Error> {
        let backend = servers::start(streams::script(version, BROKEN_EVERY))?;
        self.started += 1;
        let (name, number) = (format!("i-version-{}", self.started), self.started);
        let server = Server { name, number, backend, version };
        self.record(&server, "ready");
        self.running.push(server);
        Ok(())
    }

    fn record(&self, server: &Server, state: &str) {
        let record = wire::Record {
            service: fleet::VERSIONS_SERVICE,
            address: server.backend.address(),
            version: server.version,
            state,
            started_ms: FIRST_START_MS + server.number,
        };
        self.store.record_server(&server.name, &record);
    }
}

struct Client<'a> {
    number: usize,
    routers: &'a [SocketAddr],
    shared: &'a prober::Shared,
    summary: &'a Mutex<Summary>,
    rng: StdRng,
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

    /// Receives one stream, and continues it through other routers when it breaks.
    fn follow_stream(&mut self, number: usize) {
        let (mut received, started) = (streams::Received::default(), Instant::now());
        let path = format!("{}x", fleet::VERSIONS_PATH);
        let mut broke = false;
        for attempt in 0.. {
            let router = self.rng.random_range(0..self.routers.len());
            let id = format!("stream-{}-{number}-{attempt}", self.number);
            received.request(self.routers[router], &path, &id);
            let whole = received.is_whole();
            broke |= !whole && received.last_id > 0;
            if received.versions.len() > 1 {
                self.summary().mixed += 1;
                let kind = observe::ViolationKind::StreamOfTwoVersions;
                self.shared.observations().record_violation(kind, router, started);
            }
            let ended = whole || self.shared.ended() || started.elapsed() >= STREAM_TIMEOUT;
            if ended || received.versions.len() > 1 {
                break;
            }
            thread::sleep(RETRY_DELAY);
        }
        if received.last_id == 0 {
            return;
        }
        let whole = usize::from(received.is_whole());
        let mut summary = self.summary();
        summary.streams.0 += 1;
        summary.streams.1 += whole;
        if broke {
            summary.broken.0 += 1;
            summary.broken.1 += whole;
        }
    }
}
