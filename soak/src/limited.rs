//! Servers that announce changing rate limits, and a client that sends requests to them through all routers in turn.

use crate::{fleet, observe, prober, servers};
use doorswitch_standins::{backend, store, wire};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{fmt, thread};

/// The number of servers; the first one never announces a limit.
const SERVERS: usize = 3;
/// The time between two requests of the client.
const SEND_INTERVAL: Duration = Duration::from_millis(25);
/// The time after which a request counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The time from the first answer with a limit until the limit is checked.
const LIMIT_PROPAGATION_TIME: Duration = Duration::from_millis(3_000);
/// The length of the sliding window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The number of requests that a server may receive in a window beyond 150 % of its limit.
const EXTRA_REQUESTS: f64 = 5.0;
/// How long a server keeps one limit, or none, in milliseconds.
const LIMIT_DURATION_MS: std::ops::Range<u64> = 6_000..12_000;
/// When the first server started, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_798_000_000_000;

/// The results of the client.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The number of requests, and how many of them were served.
    pub requests: (usize, usize),
    /// The number of limits that were announced for long enough to be checked.
    pub limits: usize,
    /// The maximum number of requests that a server received within a window, in percent of the allowed number.
    pub most_percent: u64,
}

impl fmt::Display for Summary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (requests, served) = self.requests;
        write!(
            out,
            "limited={requests} limited_served={served} limits={} most_percent={}",
            self.limits, self.most_percent
        )
    }
}

/// The limit that a server announces.
#[derive(Debug, Default)]
struct AnnouncedLimit {
    per_s: Option<f64>,
    /// When an answer first contained the limit.
    since: Option<Instant>,
}

/// The period of one limit, from the first answer that contained it until the next change.
#[derive(Clone, Copy, Debug)]
struct Period {
    per_s: f64,
    since: Instant,
    until: Instant,
}

struct Server {
    backend: backend::Backend,
    limit: Arc<Mutex<AnnouncedLimit>>,
    next_change: Instant,
    periods: Vec<Period>,
}

struct Client {
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    servers: Vec<Server>,
    rng: StdRng,
    /// The router of each request that was sent while its router was connected, by request id.
    connected_routers: HashMap<String, usize>,
    summary: Summary,
}

fn lock(limit: &Mutex<AnnouncedLimit>) -> MutexGuard<'_, AnnouncedLimit> {
    limit.lock().unwrap_or_else(PoisonError::into_inner)
}

fn limiting_script(limit: Arc<Mutex<AnnouncedLimit>>) -> backend::Script {
    Box::new(move |_, _| {
        let mut limit = lock(&limit);
        let value = limit.per_s.map(|per_s| format!("{per_s:.2}"));
        if value.is_some() {
            limit.since.get_or_insert_with(Instant::now);
        }
        vec![backend::response_with_headers(
            "200 OK",
            &backend::limit_line(value.as_deref()),
            "answer",
        )]
    })
}

/// Starts the servers and the client.
pub fn start(
    store: &store::Store,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    seed: u64,
) -> Result<thread::JoinHandle<Summary>, fleet::Error> {
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let limit = Arc::new(Mutex::new(AnnouncedLimit::default()));
        let backend = servers::start(limiting_script(limit.clone()))?;
        let name = format!("i-limited-{index}");
        let started_ms = FIRST_START_MS + index as u64;
        servers::record(store, fleet::LIMITED_SERVICE, &name, &backend, started_ms);
        servers.push(Server { backend, limit, next_change: Instant::now(), periods: Vec::new() });
    }
    let rng = StdRng::seed_from_u64(seed ^ 0x11a1);
    let (connected_routers, summary) = (HashMap::new(), Summary::default());
    let client = Client { routers, shared, servers, rng, connected_routers, summary };
    Ok(thread::spawn(move || client.run()))
}

impl Client {
    fn run(mut self) -> Summary {
        let mut number = 0;
        while !self.shared.ended() {
            let sent = Instant::now();
            (1..SERVERS).for_each(|index| self.change_limit(index, sent));
            self.send(number % self.routers.len(), number);
            number += 1;
            thread::sleep(SEND_INTERVAL.saturating_sub(sent.elapsed()));
        }
        (1..SERVERS).for_each(|index| self.end_period(index));
        (1..SERVERS).for_each(|index| self.check_limits(index));
        self.summary
    }

    /// Changes the limit of a server if a change is due.
    fn change_limit(&mut self, index: usize, now: Instant) {
        if now < self.servers[index].next_change {
            return;
        }
        self.end_period(index);
        let per_s = match self.rng.random_range(0..5) {
            0 => None,
            1 => Some(0.0),
            2 => Some(self.rng.random_range(0.1..2.0)),
            _ => Some(self.rng.random_range(1.0..8.0)),
        };
        *lock(&self.servers[index].limit) = AnnouncedLimit { per_s, since: None };
        let duration = Duration::from_millis(self.rng.random_range(LIMIT_DURATION_MS));
        self.servers[index].next_change = now + duration;
    }

    fn end_period(&mut self, index: usize) {
        let server = &mut self.servers[index];
        let limit = lock(&server.limit);
        if let (Some(per_s), Some(since)) = (limit.per_s, limit.since) {
            server.periods.push(Period { per_s, since, until: Instant::now() });
        }
    }

    fn send(&mut self, router: usize, number: usize) {
        let id = format!("limited-{number}");
        let sent = Instant::now();
        if self.shared.observations().is_connected(router) {
            self.connected_routers.insert(id.clone(), router);
        }
        let path = format!("{}x", fleet::LIMITED_PATH);
        let answer = wire::get(self.routers[router], fleet::HOST, &path, &id, ANSWER_TIMEOUT).ok();
        let refused_for_limit =
            answer.as_ref().is_some_and(|answer| answer.body.contains("\"limited\""));
        if refused_for_limit {
            // The first server accepts all requests.
            self.shared.observations().record_violation(
                observe::ViolationKind::RefusedWithFreeServer,
                router,
                sent,
            );
        }
        self.summary.requests.0 += 1;
        self.summary.requests.1 += usize::from(answer.is_some_and(|answer| answer.status == 200));
    }

    /// Checks the requests that a server received from connected routers against its limits.
    fn check_limits(&mut self, index: usize) {
        let server = &self.servers[index];
        let arrivals = server.backend.requests().into_iter().zip(server.backend.arrivals());
        let arrivals: Vec<(usize, Instant)> = arrivals
            .filter_map(|(request, at)| {
                let router = self.connected_routers.get(request.id()?)?;
                Some((*router, at))
            })
            .collect();
        for period in &server.periods {
            let from = period.since + LIMIT_PROPAGATION_TIME;
            let counted: Vec<&(usize, Instant)> =
                arrivals.iter().filter(|(_, at)| *at >= from && *at < period.until).collect();
            let allowed = 1.5 * period.per_s * WINDOW.as_secs_f64() + EXTRA_REQUESTS;
            let count_window = |(first, (_, from)): (usize, &&(usize, Instant))| {
                counted[first..].iter().take_while(|(_, at)| *at < *from + WINDOW).count()
            };
            let max_count = counted.iter().enumerate().map(count_window).max().unwrap_or(0);
            self.summary.limits += usize::from(period.until > from);
            let percent = (max_count as f64 / allowed * 100.0) as u64;
            self.summary.most_percent = self.summary.most_percent.max(percent);
            if max_count as f64 > allowed {
                let (router, at) = *counted[0];
                let kind = observe::ViolationKind::LimitExceeded;
                self.shared.observations().record_violation(kind, router, at);
            }
        }
    }
}
