//! A client that alternates between poison requests, which crash every server that executes them, and harmless requests.

use crate::{fleet, observe, prober, servers};
use doorswitch_standins::{backend, store, wire};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fmt, thread};

/// The number of servers that poison requests may crash.
const SERVERS: usize = 5;
/// The time after a crash until the server restarts. Its record then contains a later start time.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// The Unix millisecond before the start of the first server incarnation.
const FIRST_START_MS: u64 = 1_797_000_000_000;
/// The time between two requests, which are poison and harmless in turn.
const SEND_INTERVAL: Duration = Duration::from_millis(150);
/// The time after which a request counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time until all routers have received the quarantine.
const QUARANTINE_PROPAGATION_TIME: Duration = Duration::from_millis(3_000);
/// The number of later requests that may still reach a server.
const LATE_SENDS_ALLOWED: usize = 3;

/// What all poison requests of a client have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Poison {
    /// The whole request.
    Request,
    /// A part of their prompts; no two requests are alike.
    Part,
}

impl Poison {
    /// The number of crashes after which the poison must be quarantined.
    fn crashes_until_quarantine(self) -> usize {
        match self {
            Self::Request => 3,
            Self::Part => 5,
        }
    }

    /// The service and its path.
    fn service(self) -> (&'static str, &'static str) {
        match self {
            Self::Request => (fleet::FRAGILE_SERVICE, fleet::FRAGILE_PATH),
            Self::Part => (fleet::FRAGILE_PARTS_SERVICE, fleet::FRAGILE_PARTS_PATH),
        }
    }

    /// The path below that of the service, and the parts of the prompt, of a request.
    fn request(self, poison: bool, number: usize) -> (String, Vec<String>) {
        let name = if poison { "poison" } else { "innocent" };
        match self {
            Self::Request => (name.to_owned(), Vec::new()),
            Self::Part => {
                let second = if poison { "bad2".to_owned() } else { format!("b2{}", number % 5) };
                let parts = vec!["a1".to_owned(), second, format!("c{number:x}")];
                (format!("{number}"), parts)
            }
        }
    }
}

/// Whether a request crashes the server that received it.
fn is_poison(request: &backend::ReceivedRequest) -> bool {
    request.line.contains("poison") || wire::prompt_parts(request).contains(&"bad2")
}

/// The results of the client.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The number of server crashes.
    pub crashes: usize,
    /// The number of poison requests that connected routers sent to servers long after the crash from which they had to
    /// be quarantined.
    pub late_sends: usize,
    /// The number of harmless requests, and how many of them were served.
    pub harmless: (usize, usize),
}

impl fmt::Display for Summary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (harmless, served) = self.harmless;
        write!(
            out,
            "crashes={} late_sends={} innocent={harmless} innocent_served={served}",
            self.crashes, self.late_sends
        )
    }
}

struct Client {
    poison: Poison,
    store: Arc<store::Store>,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    servers: Vec<backend::Backend>,
    /// The number of the start, counted from 1, that each server's record contains.
    recorded: Vec<usize>,
    /// When the last crash occurred that the quarantine may take.
    counted_crash: Option<Instant>,
    summary: Summary,
}

/// Starts the servers and the client.
pub fn start(
    poison: Poison,
    store: Arc<store::Store>,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
) -> Result<thread::JoinHandle<Summary>, fleet::Error> {
    let script = || -> backend::Script {
        Box::new(|_, request| match is_poison(request) {
            true => vec![backend::Step::Crash(RESTART_DELAY)],
            false => vec![backend::response("200 OK", "answer")],
        })
    };
    let servers: Result<Vec<_>, _> = (0..SERVERS).map(|_| servers::start(script())).collect();
    let servers = servers?;
    let recorded = vec![0; SERVERS];
    let summary = Summary::default();
    let mut client =
        Client { poison, store, routers, shared, servers, recorded, counted_crash: None, summary };
    client.record_servers();
    Ok(thread::spawn(move || client.run()))
}

impl Client {
    fn run(mut self) -> Summary {
        let mut number = 0;
        while !self.shared.ended() {
            let sent = Instant::now();
            self.record_servers();
            let router = number % self.routers.len();
            match number % 2 {
                0 => self.send_poison(router, number),
                _ => self.send_harmless(router, number),
            }
            number += 1;
            thread::sleep(SEND_INTERVAL.saturating_sub(sent.elapsed()));
        }
        self.summary
    }

    fn record_servers(&mut self) {
        for (index, server) in self.servers.iter().enumerate() {
            let starts = server.starts();
            if self.recorded[index] < starts {
                self.recorded[index] = starts;
                let (service, _) = self.poison.service();
                let name = format!("i-{service}-{index}");
                let started_ms = FIRST_START_MS + starts as u64;
                servers::record(&self.store, service, &name, server, started_ms);
            }
        }
    }

    fn poison_arrivals(&self) -> usize {
        let poison = |server: &backend::Backend| {
            server.requests().iter().filter(|request| is_poison(request)).count()
        };
        self.servers.iter().map(poison).sum()
    }

    fn send(&self, router: usize, poison: bool, number: usize) -> Option<wire::Answer> {
        let (service, service_path) = self.poison.service();
        let (path, parts) = self.poison.request(poison, number);
        let (path, id) = (format!("{service_path}{path}"), format!("{service}-{number}"));
        let (address, host) = (self.routers[router], fleet::HOST);
        wire::get_with_prompt(address, host, &path, &id, &parts, ANSWER_TIMEOUT).ok()
    }

    fn send_poison(&mut self, router: usize, number: usize) {
        let sent = Instant::now();
        let connected = self.shared.observations().is_connected(router);
        let before = self.poison_arrivals();
        self.send(router, true, number);
        let reached = self.poison_arrivals() > before;
        let late = self.counted_crash.is_some_and(|at| sent > at + QUARANTINE_PROPAGATION_TIME);
        if reached && late && connected {
            self.summary.late_sends += 1;
            if self.summary.late_sends > LATE_SENDS_ALLOWED {
                self.shared.observations().record_violation(
                    observe::ViolationKind::PoisonRequestSent,
                    router,
                    sent,
                );
            }
        }
        self.summary.crashes = self.servers.iter().map(|server| server.crashes().len()).sum();
        if self.summary.crashes >= self.poison.crashes_until_quarantine() {
            self.counted_crash.get_or_insert_with(Instant::now);
        }
    }

    fn send_harmless(&mut self, router: usize, number: usize) {
        let sent = Instant::now();
        let answer = self.send(router, false, number);
        let quarantined =
            answer.as_ref().is_some_and(|answer| answer.body.contains("quarantined\""));
        if quarantined {
            self.shared.observations().record_violation(
                observe::ViolationKind::HarmlessRequestQuarantined,
                router,
                sent,
            );
        }
        let (sends, served) = &mut self.summary.harmless;
        *sends += 1;
        *served += usize::from(answer.is_some_and(|answer| answer.status == 200));
    }
}
