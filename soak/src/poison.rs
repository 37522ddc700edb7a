//! A client that sends a request again and again that crashes each server which runs it, and an innocent one beside it.

use crate::{fleet, observe, prober, servers};
use doorswitch_standins::{backend, store, wire};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fmt, thread};

/// Servers that it may crash.
const SERVERS: usize = 5;
/// A crashed server starts again after this time, and its record then tells a later start.
const DOWN: Duration = Duration::from_millis(1_500);
/// When the first life of a server started, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_797_000_000_000;
/// The time between two sends, of the poison request and of the innocent one in turn.
const SEND_EVERY: Duration = Duration::from_millis(150);
/// An answer that takes longer counts as none.
const ANSWER_MAX: Duration = Duration::from_millis(1_500);
/// Crashes after which the request must be kept from servers, and the time until that is known everywhere.
const CRASHES: usize = 3;
const KNOWN: Duration = Duration::from_millis(3_000);
/// Sends later than that which are allowed.
const LATE_SENDS: usize = 3;

/// What was seen of it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Crashes of servers.
    pub crashes: usize,
    /// Sends by routers in touch, long after the third crash.
    pub late_sends: usize,
    /// Innocent requests, and how many of them were served.
    pub innocent: (usize, usize),
}

impl fmt::Display for Seen {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (innocent, served) = self.innocent;
        write!(
            out,
            "crashes={} late_sends={} innocent={innocent} innocent_served={served}",
            self.crashes, self.late_sends
        )
    }
}

struct Client {
    store: Arc<store::Store>,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    servers: Vec<backend::Backend>,
    /// The start that each server's record tells, counted from 1.
    recorded: Vec<usize>,
    third_crash: Option<Instant>,
    seen: Seen,
}

/// Starts the servers and the client.
pub fn start(
    store: Arc<store::Store>,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
) -> Result<thread::JoinHandle<Seen>, fleet::Error> {
    let script = || -> backend::Script {
        Box::new(|_, seen| match seen.line.contains("poison") {
            true => vec![backend::Step::Crash(DOWN)],
            false => vec![backend::whole("200 OK", "answer")],
        })
    };
    let servers: Result<Vec<_>, _> = (0..SERVERS).map(|_| servers::start(script())).collect();
    let servers = servers?;
    let recorded = vec![0; SERVERS];
    let seen = Seen::default();
    let mut client = Client { store, routers, shared, servers, recorded, third_crash: None, seen };
    client.record_servers();
    Ok(thread::spawn(move || client.run()))
}

impl Client {
    fn run(mut self) -> Seen {
        let mut number = 0;
        while !self.shared.ended() {
            let sent = Instant::now();
            self.record_servers();
            let router = number % self.routers.len();
            match number % 2 {
                0 => self.send_poison(router, number),
                _ => self.send_innocent(router, number),
            }
            number += 1;
            thread::sleep(SEND_EVERY.saturating_sub(sent.elapsed()));
        }
        self.seen
    }

    fn record_servers(&mut self) {
        for (place, server) in self.servers.iter().enumerate() {
            let starts = server.starts();
            if self.recorded[place] < starts {
                self.recorded[place] = starts;
                let name = format!("i-fragile-{place}");
                let started_ms = FIRST_START_MS + starts as u64;
                let service = fleet::FRAGILE_SERVICE;
                servers::record(&self.store, service, &name, server, started_ms);
            }
        }
    }

    fn arrivals(&self) -> usize {
        let poison = |server: &backend::Backend| {
            server.seen().iter().filter(|seen| seen.line.contains("poison")).count()
        };
        self.servers.iter().map(poison).sum()
    }

    fn ask(&self, router: usize, what: &str, number: usize) -> Option<wire::Answer> {
        let path = format!("{}{what}", fleet::FRAGILE_PATH);
        let id = format!("{what}-{number}");
        wire::get(self.routers[router], fleet::HOST, &path, &id, ANSWER_MAX).ok()
    }

    fn send_poison(&mut self, router: usize, number: usize) {
        let sent = Instant::now();
        let in_touch = self.shared.record().in_touch(router);
        let before = self.arrivals();
        self.ask(router, "poison", number);
        let reached = self.arrivals() > before;
        let late = self.third_crash.is_some_and(|at| sent > at + KNOWN);
        if reached && late && in_touch {
            self.seen.late_sends += 1;
            if self.seen.late_sends > LATE_SENDS {
                self.shared.record().break_promise(observe::Broken::PoisonSent, router, sent);
            }
        }
        self.seen.crashes = self.servers.iter().map(|server| server.crashes().len()).sum();
        if self.seen.crashes >= CRASHES {
            self.third_crash.get_or_insert_with(Instant::now);
        }
    }

    fn send_innocent(&mut self, router: usize, number: usize) {
        let sent = Instant::now();
        let answer = self.ask(router, "innocent", number);
        let kept = answer.as_ref().is_some_and(|answer| answer.body.contains("\"quarantined\""));
        if kept {
            self.shared.record().break_promise(observe::Broken::InnocentKept, router, sent);
        }
        let (sends, served) = &mut self.seen.innocent;
        *sends += 1;
        *served += usize::from(answer.is_some_and(|answer| answer.status == 200));
    }
}
