//! Servers that say in their answers that they leave, or turn requests away and ask for a backoff, for a while each, and a
//! client that sends to them through all routers in turn.

use crate::{fleet, observe, prober, servers};
use doorswitch_standins::replies::{Given, Replies, Reply};
use doorswitch_standins::{backend, store, wire};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fmt, thread};

/// Servers; the first one always serves.
const SERVERS: usize = 3;
const SEND_EVERY: Duration = Duration::from_millis(25);
/// An answer that takes longer counts as none.
const ANSWER_MAX: Duration = Duration::from_millis(700);
/// What a client sends later than this after its router passed on that a server leaves must not reach that server.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Requests may still reach a server for so long after it asked for a backoff, and then so many of each router.
const FREE: Duration = Duration::from_millis(500);
const ALLOWED: usize = 2;
/// For how long, in milliseconds, a server behaves in one way.
const BEHAVES_FOR_MS: std::ops::Range<u64> = 2_000..8_000;
/// When the first life of a server started, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_799_000_000_000;

/// What was seen of it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Requests, and how many of them were served.
    pub requests: (usize, usize),
    /// Answers that told a router that a server leaves, and requests that reached one too late.
    pub leaving: (usize, usize),
    /// Backoffs that servers asked for, and the most requests that reached one from one router.
    pub backoffs: (usize, usize),
}

impl fmt::Display for Seen {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (requests, served) = self.requests;
        let (leaving, late) = self.leaving;
        let (backoffs, most) = self.backoffs;
        write!(
            out,
            "outspoken={requests} outspoken_served={served} leaving={leaving} leaving_late={late} \
             backoffs={backoffs} most_in_backoff={most}"
        )
    }
}

/// One life of a router.
type RouterLife = (usize, u64);

/// A request of the client.
#[derive(Clone, Copy, Debug)]
struct Sent {
    router: RouterLife,
    at: Instant,
    answered: Instant,
}

struct Server {
    backend: backend::Backend,
    replies: Replies,
    changes: Instant,
    leaves: bool,
    /// When its lives began.
    lives: Vec<Instant>,
}

impl Server {
    /// Which of its lives it was in.
    fn life_at(&self, at: Instant) -> usize {
        self.lives.iter().filter(|began| **began <= at).count()
    }
}

struct Client {
    store: Arc<store::Store>,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    servers: Vec<Server>,
    rng: StdRng,
    sent: HashMap<String, Sent>,
    seen: Seen,
}

fn script(replies: Replies) -> backend::Script {
    Box::new(move |_, seen| {
        let reply = replies.next(seen);
        vec![backend::whole_with(reply.status, &reply.lines, "answer")]
    })
}

/// Starts the servers and the client.
pub fn start(
    store: Arc<store::Store>,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    seed: u64,
) -> Result<thread::JoinHandle<Seen>, fleet::Error> {
    let rng = StdRng::seed_from_u64(seed ^ 0x5a1d);
    let (sent, seen) = (HashMap::new(), Seen::default());
    let mut client = Client { store, routers, shared, servers: Vec::new(), rng, sent, seen };
    for place in 0..SERVERS {
        let replies = Replies::new(Reply::served(Duration::ZERO));
        let backend = servers::start(script(replies.clone()))?;
        let changes = Instant::now();
        let server = Server { backend, replies, changes, leaves: false, lives: Vec::new() };
        client.servers.push(server);
        client.begin_life(place);
    }
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
        for place in 0..SERVERS {
            self.judge_leaving(place);
            self.judge_backoffs(place);
        }
        self.seen
    }

    fn begin_life(&mut self, place: usize) {
        let server = &mut self.servers[place];
        server.replies.set(Reply::served(Duration::ZERO));
        server.leaves = false;
        server.lives.push(Instant::now());
        let started_ms = FIRST_START_MS + server.lives.len() as u64;
        let name = format!("i-outspoken-{place}");
        let service = fleet::OUTSPOKEN_SERVICE;
        servers::record(&self.store, service, &name, &server.backend, started_ms);
    }

    /// Lets a server behave otherwise, if it is time; after a life that left comes the next.
    fn change(&mut self, place: usize, now: Instant) {
        if now < self.servers[place].changes {
            return;
        }
        if self.servers[place].leaves {
            self.begin_life(place);
        }
        let backoff_s = self.rng.random_range(0.2..5.0);
        let serves = Reply::served(Duration::ZERO);
        let reply = match self.rng.random_range(0..4) {
            0 => serves,
            1 => serves.with(backend::LEAVING_LINE),
            _ => Reply::turned_away(&backend::retry_after_line(&format!("{backoff_s:.2}"))),
        };
        let server = &mut self.servers[place];
        server.leaves = reply.lines.contains(backend::LEAVING_LINE);
        server.replies.set(reply);
        server.changes = now + Duration::from_millis(self.rng.random_range(BEHAVES_FOR_MS));
    }

    fn send(&mut self, router: usize, number: usize) {
        let id = format!("outspoken-{number}");
        let at = Instant::now();
        let (in_touch, life) = {
            let record = self.shared.record();
            (record.in_touch(router), record.life(router))
        };
        let path = format!("{}x", fleet::OUTSPOKEN_PATH);
        let answer = wire::get(self.routers[router], fleet::HOST, &path, &id, ANSWER_MAX).ok();
        let answered = Instant::now();
        self.sent.insert(id, Sent { router: (router, life), at, answered });
        let lacks = |body: &str| body.contains("\"backoff\"") || body.contains("\"no_server\"");
        if in_touch && answer.as_ref().is_some_and(|answer| lacks(&answer.body)) {
            // The first server takes all that comes.
            self.shared.record().break_promise(observe::Broken::RefusedBesideFree, router, at);
        }
        self.seen.requests.0 += 1;
        self.seen.requests.1 += usize::from(answer.is_some_and(|answer| answer.status == 200));
    }

    /// What a server replied, with the requests that it replied to.
    fn given(&self, place: usize) -> Vec<(Given, Sent)> {
        let given = self.servers[place].replies.given().into_iter();
        given.filter_map(|one| Some((one.clone(), *self.sent.get(&one.id)?))).collect()
    }

    fn judge_leaving(&mut self, place: usize) {
        let mut told: HashMap<(RouterLife, usize), Instant> = HashMap::new();
        for (given, sent) in self.given(place) {
            let key = (sent.router, self.servers[place].life_at(given.at));
            if told.get(&key).is_some_and(|told| sent.at > *told + DRAIN) {
                self.seen.leaving.1 += 1;
                let broken = observe::Broken::SentToLeaving;
                self.shared.record().break_promise(broken, sent.router.0, sent.at);
            }
            if given.reply.lines.contains(backend::LEAVING_LINE) {
                told.entry(key).or_insert(sent.answered);
                self.seen.leaving.0 += 1;
            }
        }
    }

    fn judge_backoffs(&mut self, place: usize) {
        let given = self.given(place);
        let server = &self.servers[place];
        for (asked, by) in &given {
            let line = asked.reply.lines.lines().find_map(|it| it.strip_prefix("Retry-After: "));
            let Some(backoff_s) = line.and_then(|value| value.parse().ok()) else { continue };
            let span = asked.at + FREE..asked.at + Duration::from_secs_f64(backoff_s);
            let life = server.life_at(asked.at);
            let within = |(one, sent): &&(Given, Sent)| {
                let same = sent.router == by.router && server.life_at(one.at) == life;
                same && span.contains(&one.at)
            };
            let reached = given.iter().filter(within).count();
            self.seen.backoffs.0 += 1;
            self.seen.backoffs.1 = self.seen.backoffs.1.max(reached);
            if reached > ALLOWED {
                let broken = observe::Broken::SentInBackoff;
                self.shared.record().break_promise(broken, by.router.0, by.at);
            }
        }
    }
}
