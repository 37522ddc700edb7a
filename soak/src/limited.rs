//! Servers that name how many requests a second they take, for a while each, and a client that sends to them through all
//! routers in turn.

use crate::{fleet, observe, prober, servers};
use doorswitch_standins::{backend, store, wire};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{fmt, thread};

/// Servers; the first one never names a limit.
const SERVERS: usize = 3;
/// The time between two requests.
const SEND_EVERY: Duration = Duration::from_millis(25);
/// An answer that takes longer counts as none.
const ANSWER_MAX: Duration = Duration::from_millis(700);
/// A limit holds from this time on after an answer first named it.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Requests are counted over windows of this length.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that a server may get beyond half as much again as it names.
const EXTRA: f64 = 5.0;
/// For how long, in milliseconds, a server names one value, or none.
const NAMES_FOR_MS: std::ops::Range<u64> = 6_000..12_000;
/// When the first life of a server started, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_798_000_000_000;

/// What was seen of it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Requests, and how many of them were served.
    pub requests: (usize, usize),
    /// Values that servers named for long enough to be held to.
    pub limits: usize,
    /// The most requests at a server within a window, in percent of what was allowed.
    pub most_percent: u64,
}

impl fmt::Display for Seen {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (requests, served) = self.requests;
        write!(
            out,
            "limited={requests} limited_served={served} limits={} most_percent={}",
            self.limits, self.most_percent
        )
    }
}

/// What a server names.
#[derive(Debug, Default)]
struct Named {
    per_s: Option<f64>,
    /// When an answer first named that.
    since: Option<Instant>,
}

/// A value that a server named, from its first answer on until another one.
#[derive(Clone, Copy, Debug)]
struct Period {
    per_s: f64,
    since: Instant,
    until: Instant,
}

struct Server {
    backend: backend::Backend,
    named: Arc<Mutex<Named>>,
    changes: Instant,
    periods: Vec<Period>,
}

struct Client {
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    servers: Vec<Server>,
    rng: StdRng,
    /// By which router each request was sent, if that one was in touch.
    in_touch: HashMap<String, usize>,
    seen: Seen,
}

fn lock(named: &Mutex<Named>) -> MutexGuard<'_, Named> {
    named.lock().unwrap_or_else(PoisonError::into_inner)
}

fn naming(named: Arc<Mutex<Named>>) -> backend::Script {
    Box::new(move |_, _| {
        let mut named = lock(&named);
        let value = named.per_s.map(|per_s| format!("{per_s:.2}"));
        if value.is_some() {
            named.since.get_or_insert_with(Instant::now);
        }
        vec![backend::whole_with("200 OK", &backend::limit_line(value.as_deref()), "answer")]
    })
}

/// Starts the servers and the client.
pub fn start(
    store: &store::Store,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    seed: u64,
) -> Result<thread::JoinHandle<Seen>, fleet::Error> {
    let mut servers = Vec::new();
    for place in 0..SERVERS {
        let named = Arc::new(Mutex::new(Named::default()));
        let backend = servers::start(naming(named.clone()))?;
        let name = format!("i-limited-{place}");
        let started_ms = FIRST_START_MS + place as u64;
        servers::record(store, fleet::LIMITED_SERVICE, &name, &backend, started_ms);
        servers.push(Server { backend, named, changes: Instant::now(), periods: Vec::new() });
    }
    let rng = StdRng::seed_from_u64(seed ^ 0x11a1);
    let (in_touch, seen) = (HashMap::new(), Seen::default());
    let client = Client { routers, shared, servers, rng, in_touch, seen };
    Ok(thread::spawn(move || client.run()))
}

impl Client {
    fn run(mut self) -> Seen {
        let mut number = 0;
        while !self.shared.ended() {
            let sent = Instant::now();
            (1..SERVERS).for_each(|place| self.change(place, sent));
            self.send(number % self.routers.len(), number);
            number += 1;
            thread::sleep(SEND_EVERY.saturating_sub(sent.elapsed()));
        }
        (1..SERVERS).for_each(|place| self.end_period(place));
        (1..SERVERS).for_each(|place| self.judge(place));
        self.seen
    }

    /// Lets a server name another value, if it is time.
    fn change(&mut self, place: usize, now: Instant) {
        if now < self.servers[place].changes {
            return;
        }
        self.end_period(place);
        let per_s = match self.rng.random_range(0..5) {
            0 => None,
            1 => Some(0.0),
            2 => Some(self.rng.random_range(0.1..2.0)),
            _ => Some(self.rng.random_range(1.0..8.0)),
        };
        *lock(&self.servers[place].named) = Named { per_s, since: None };
        let names_for = Duration::from_millis(self.rng.random_range(NAMES_FOR_MS));
        self.servers[place].changes = now + names_for;
    }

    fn end_period(&mut self, place: usize) {
        let server = &mut self.servers[place];
        let named = lock(&server.named);
        if let (Some(per_s), Some(since)) = (named.per_s, named.since) {
            server.periods.push(Period { per_s, since, until: Instant::now() });
        }
    }

    fn send(&mut self, router: usize, number: usize) {
        let id = format!("limited-{number}");
        let sent = Instant::now();
        if self.shared.record().in_touch(router) {
            self.in_touch.insert(id.clone(), router);
        }
        let path = format!("{}x", fleet::LIMITED_PATH);
        let answer = wire::get(self.routers[router], fleet::HOST, &path, &id, ANSWER_MAX).ok();
        let limited = answer.as_ref().is_some_and(|answer| answer.body.contains("\"limited\""));
        if limited {
            // The first server takes all that comes.
            self.shared.record().break_promise(observe::Broken::RefusedBesideFree, router, sent);
        }
        self.seen.requests.0 += 1;
        self.seen.requests.1 += usize::from(answer.is_some_and(|answer| answer.status == 200));
    }

    /// Holds what a server got from routers in touch against what it named.
    fn judge(&mut self, place: usize) {
        let server = &self.servers[place];
        let arrivals = server.backend.seen().into_iter().zip(server.backend.arrivals());
        let arrivals: Vec<(usize, Instant)> = arrivals
            .filter_map(|(seen, at)| {
                let router = self.in_touch.get(seen.id()?)?;
                Some((*router, at))
            })
            .collect();
        for period in &server.periods {
            let from = period.since + CONTACT;
            let counted: Vec<&(usize, Instant)> =
                arrivals.iter().filter(|(_, at)| *at >= from && *at < period.until).collect();
            let allowed = 1.5 * period.per_s * WINDOW.as_secs_f64() + EXTRA;
            let within = |(first, (_, from)): (usize, &&(usize, Instant))| {
                counted[first..].iter().take_while(|(_, at)| *at < *from + WINDOW).count()
            };
            let most = counted.iter().enumerate().map(within).max().unwrap_or(0);
            self.seen.limits += usize::from(period.until > from);
            let percent = (most as f64 / allowed * 100.0) as u64;
            self.seen.most_percent = self.seen.most_percent.max(percent);
            if most as f64 > allowed {
                let (router, at) = *counted[0];
                let broken = observe::Broken::LimitExceeded;
                self.shared.record().break_promise(broken, router, at);
            }
        }
    }
}
