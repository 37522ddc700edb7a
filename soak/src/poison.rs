//! A client that alternates between a poison request, which crashes every server that executes it, and a harmless
//! request.

use crate::{fleet, observe, prober, servers};
use doorswitch_standins::{backend, store, wire};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fmt, thread};

/// The number of servers that the poison request may crash.
const SERVERS: usize = 5;
/// The time after a crash until the server restarts. Its record then contains a later start time.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// The Unix millisecond before the start of the first server incarnation.
const FIRST_START_MS: u64 = 1_797_000_000_000;
/// The time between two requests, which are poison and harmless in turn.
const SEND_INTERVAL: Duration = Duration::from_millis(150);
/// The time after which a request counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The number of crashes after which the poison request must be quarantined.
const CRASHES_UNTIL_QUARANTINE: usize = 3;
/// The time until all routers have received the quarantine.
const QUARANTINE_PROPAGATION_TIME: Duration = Duration::from_millis(3_000);
/// The number of later requests that may still reach a server.
const LATE_SENDS_ALLOWED: usize = 3;

/// The results of the client.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The number of server crashes.
    pub crashes: usize,
    /// The number of poison requests that connected routers sent to servers long after the third crash.
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
    store: Arc<store::Store>,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    servers: Vec<backend::Backend>,
    /// The number of the start, counted from 1, that each server's record contains.
    recorded: Vec<usize>,
    third_crash: Option<Instant>,
    summary: Summary,
}

/// Starts the servers and the client.
pub fn start(
    store: Arc<store::Store>,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
) -> Result<thread::JoinHandle<Summary>, fleet::Error> {
    let script = || -> backend::Script {
        Box::new(|_, request| match request.line.contains("poison") {
            true => vec![backend::Step::Crash(RESTART_DELAY)],
            false => vec![backend::response("200 OK", "answer")],
        })
    };
    let servers: Result<Vec<_>, _> = (0..SERVERS).map(|_| servers::start(script())).collect();
    let servers = servers?;
    let recorded = vec![0; SERVERS];
    let summary = Summary::default();
    let mut client =
        Client { store, routers, shared, servers, recorded, third_crash: None, summary };
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
                let name = format!("i-fragile-{index}");
                let started_ms = FIRST_START_MS + starts as u64;
                let service = fleet::FRAGILE_SERVICE;
                servers::record(&self.store, service, &name, server, started_ms);
            }
        }
    }

    fn poison_arrivals(&self) -> usize {
        let poison = |server: &backend::Backend| {
            server.requests().iter().filter(|request| request.line.contains("poison")).count()
        };
        self.servers.iter().map(poison).sum()
    }

    fn send(&self, router: usize, what: &str, number: usize) -> Option<wire::Answer> {
        let path = format!("{}{what}", fleet::FRAGILE_PATH);
        let id = format!("{what}-{number}");
        wire::get(self.routers[router], fleet::HOST, &path, &id, ANSWER_TIMEOUT).ok()
    }

    fn send_poison(&mut self, router: usize, number: usize) {
        let sent = Instant::now();
        let connected = self.shared.observations().is_connected(router);
        let before = self.poison_arrivals();
        self.send(router, "poison", number);
        let reached = self.poison_arrivals() > before;
        let late = self.third_crash.is_some_and(|at| sent > at + QUARANTINE_PROPAGATION_TIME);
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
        if self.summary.crashes >= CRASHES_UNTIL_QUARANTINE {
            self.third_crash.get_or_insert_with(Instant::now);
        }
    }

    fn send_harmless(&mut self, router: usize, number: usize) {
        let sent = Instant::now();
        let answer = self.send(router, "innocent", number);
        let quarantined =
            answer.as_ref().is_some_and(|answer| answer.body.contains("\"quarantined\""));
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
