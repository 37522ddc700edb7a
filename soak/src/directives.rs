//! Servers that for some time announce in their answers that they are leaving, or reject requests and request a
//! backoff, and a client that sends requests to them through all routers in turn.

use crate::{fleet, observe, prober, servers};
use doorswitch_standins::replies::{Replies, Reply, SentReply};
use doorswitch_standins::{backend, store, wire};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fmt, thread};

/// The number of servers; the first one serves all requests.
const SERVERS: usize = 3;
/// The time between two requests of the client.
const SEND_INTERVAL: Duration = Duration::from_millis(25);
/// The time after which a request counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// A request that is sent later than this after its router passed on the announcement of a leaving server must not
/// reach that server.
const LEAVING_GRACE: Duration = Duration::from_millis(2_000);
/// The time after the request for a backoff during which any number of requests may still reach the server.
const BACKOFF_GRACE: Duration = Duration::from_millis(500);
/// The number of requests of each router that may reach the server during the rest of the backoff.
const ALLOWED_IN_BACKOFF: usize = 2;
/// How long a server keeps one kind of reply, in milliseconds.
const REPLY_DURATION_MS: std::ops::Range<u64> = 2_000..8_000;
/// The Unix millisecond before the start of the first server incarnation.
const FIRST_START_MS: u64 = 1_799_000_000_000;

/// The results of the client.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The number of requests, and how many of them were served.
    pub requests: (usize, usize),
    /// The number of answers that announced a leaving server, and of requests that reached such a server too late.
    pub leaving: (usize, usize),
    /// The number of backoffs that servers requested, and the most requests of one router that reached a server during
    /// one.
    pub backoffs: (usize, usize),
}

impl fmt::Display for Summary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (requests, served) = self.requests;
        let (leaving, late) = self.leaving;
        let (backoffs, max_in_backoff) = self.backoffs;
        write!(
            out,
            "outspoken={requests} outspoken_served={served} leaving={leaving} leaving_late={late} \
             backoffs={backoffs} most_in_backoff={max_in_backoff}"
        )
    }
}

/// A router process: the index of the router and the number of its restarts.
type RouterProcess = (usize, u64);

/// A request of the client.
#[derive(Clone, Copy, Debug)]
struct Sent {
    router: RouterProcess,
    at: Instant,
    answered: Instant,
}

struct Server {
    backend: backend::Backend,
    replies: Replies,
    next_change: Instant,
    is_leaving: bool,
    /// When each incarnation of the server began.
    incarnations: Vec<Instant>,
}

impl Server {
    /// The number of the incarnation that ran at this time, counted from 1.
    fn incarnation_at(&self, at: Instant) -> usize {
        self.incarnations.iter().filter(|began| **began <= at).count()
    }
}

struct Client {
    store: Arc<store::Store>,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    servers: Vec<Server>,
    rng: StdRng,
    sent: HashMap<String, Sent>,
    summary: Summary,
}

fn script(replies: Replies) -> backend::Script {
    Box::new(move |_, request| {
        let reply = replies.next(request);
        vec![backend::response_with_headers(reply.status, &reply.lines, "answer")]
    })
}

/// Starts the servers and the client.
pub fn start(
    store: Arc<store::Store>,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    seed: u64,
) -> Result<thread::JoinHandle<Summary>, fleet::Error> {
    let rng = StdRng::seed_from_u64(seed ^ 0x5a1d);
    let (sent, summary) = (HashMap::new(), Summary::default());
    let mut client = Client { store, routers, shared, servers: Vec::new(), rng, sent, summary };
    for index in 0..SERVERS {
        let replies = Replies::new(Reply::served(Duration::ZERO));
        let backend = servers::start(script(replies.clone()))?;
        let next_change = Instant::now();
        let server =
            Server { backend, replies, next_change, is_leaving: false, incarnations: Vec::new() };
        client.servers.push(server);
        client.start_incarnation(index);
    }
    Ok(thread::spawn(move || client.run()))
}

impl Client {
    fn run(mut self) -> Summary {
        let mut number = 0;
        while !self.shared.ended() {
            let sent = Instant::now();
            (1..SERVERS).for_each(|index| self.change_reply(index, sent));
            self.send(number % self.routers.len(), number);
            number += 1;
            thread::sleep(SEND_INTERVAL.saturating_sub(sent.elapsed()));
        }
        for index in 0..SERVERS {
            self.check_leaving(index);
            self.check_backoffs(index);
        }
        self.summary
    }

    fn start_incarnation(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.replies.set(Reply::served(Duration::ZERO));
        server.is_leaving = false;
        server.incarnations.push(Instant::now());
        let started_ms = FIRST_START_MS + server.incarnations.len() as u64;
        let name = format!("i-outspoken-{index}");
        let service = fleet::DIRECTIVES_SERVICE;
        servers::record(&self.store, service, &name, &server.backend, started_ms);
    }

    /// Changes the reply of a server if a change is due. A server that announced that it is leaving restarts first.
    fn change_reply(&mut self, index: usize, now: Instant) {
        if now < self.servers[index].next_change {
            return;
        }
        if self.servers[index].is_leaving {
            self.start_incarnation(index);
        }
        let backoff_s = self.rng.random_range(0.2..5.0);
        let served = Reply::served(Duration::ZERO);
        let reply = match self.rng.random_range(0..4) {
            0 => served,
            1 => served.with(backend::LEAVING_LINE),
            _ => Reply::rejected(&backend::retry_after_line(&format!("{backoff_s:.2}"))),
        };
        let server = &mut self.servers[index];
        server.is_leaving = reply.lines.contains(backend::LEAVING_LINE);
        server.replies.set(reply);
        server.next_change = now + Duration::from_millis(self.rng.random_range(REPLY_DURATION_MS));
    }

    fn send(&mut self, router: usize, number: usize) {
        let id = format!("outspoken-{number}");
        let at = Instant::now();
        let (connected, restarts) = {
            let observations = self.shared.observations();
            (observations.is_connected(router), observations.restarts(router))
        };
        let path = format!("{}x", fleet::DIRECTIVES_PATH);
        let answer = wire::get(self.routers[router], fleet::HOST, &path, &id, ANSWER_TIMEOUT).ok();
        let answered = Instant::now();
        self.sent.insert(id, Sent { router: (router, restarts), at, answered });
        let is_unavailable =
            |body: &str| body.contains("\"backoff\"") || body.contains("\"no_server\"");
        if connected && answer.as_ref().is_some_and(|answer| is_unavailable(&answer.body)) {
            // The first server accepts all requests.
            self.shared.observations().record_violation(
                observe::ViolationKind::RefusedWithFreeServer,
                router,
                at,
            );
        }
        self.summary.requests.0 += 1;
        self.summary.requests.1 += usize::from(answer.is_some_and(|answer| answer.status == 200));
    }

    /// All replies of a server, each with its request.
    fn replies_with_requests(&self, index: usize) -> Vec<(SentReply, Sent)> {
        let replies = self.servers[index].replies.sent().into_iter();
        replies.filter_map(|reply| Some((reply.clone(), *self.sent.get(&reply.id)?))).collect()
    }

    fn check_leaving(&mut self, index: usize) {
        let mut announced: HashMap<(RouterProcess, usize), Instant> = HashMap::new();
        for (sent_reply, sent) in self.replies_with_requests(index) {
            let key = (sent.router, self.servers[index].incarnation_at(sent_reply.at));
            if announced
                .get(&key)
                .is_some_and(|announced_at| sent.at > *announced_at + LEAVING_GRACE)
            {
                self.summary.leaving.1 += 1;
                let kind = observe::ViolationKind::SentToLeavingServer;
                self.shared.observations().record_violation(kind, sent.router.0, sent.at);
            }
            if sent_reply.reply.lines.contains(backend::LEAVING_LINE) {
                announced.entry(key).or_insert(sent.answered);
                self.summary.leaving.0 += 1;
            }
        }
    }

    fn check_backoffs(&mut self, index: usize) {
        let replies = self.replies_with_requests(index);
        let server = &self.servers[index];
        for (backoff_reply, request) in &replies {
            let value = backoff_reply
                .reply
                .lines
                .lines()
                .find_map(|line| line.strip_prefix("Retry-After: "));
            let Some(backoff_s) = value.and_then(|value| value.parse().ok()) else { continue };
            let backoff_period = backoff_reply.at + BACKOFF_GRACE
                ..backoff_reply.at + Duration::from_secs_f64(backoff_s);
            let incarnation = server.incarnation_at(backoff_reply.at);
            let in_backoff = |(reply, sent): &&(SentReply, Sent)| {
                let same_processes =
                    sent.router == request.router && server.incarnation_at(reply.at) == incarnation;
                same_processes && backoff_period.contains(&reply.at)
            };
            let reached = replies.iter().filter(in_backoff).count();
            self.summary.backoffs.0 += 1;
            self.summary.backoffs.1 = self.summary.backoffs.1.max(reached);
            if reached > ALLOWED_IN_BACKOFF {
                let kind = observe::ViolationKind::SentDuringBackoff;
                self.shared.observations().record_violation(kind, request.router.0, request.at);
            }
        }
    }
}
