//! Engines and plain services behind the callers' interface whose replies a test changes while callers send.

use super::{Answer, Fleet, Options, call};
use doorswitch_standins::backend;
use doorswitch_standins::replies::{Replies, Reply};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub const ROUTERS: usize = 3;
/// Servers of each service, where a test names no other number.
const SERVERS: usize = 3;
const SEND_EVERY: Duration = Duration::from_millis(60);

/// What callers ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    Completion,
    Call,
    /// It may not be repeated.
    Release,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Got {
    pub router: usize,
    pub sent: Instant,
    pub took: Duration,
    pub status: u16,
    pub body: String,
}

pub struct Scripted {
    pub fleet: Fleet,
    /// Engines first, then plain services.
    pub servers: Vec<backend::Backend>,
    /// The replies of the first of each service; the others serve.
    pub replies: Replies,
    /// Servers of each service.
    each: usize,
    number: AtomicUsize,
}

/// An engine or plain service that replies as `replies` says.
fn script(replies: Replies) -> backend::Script {
    Box::new(move |_, seen| {
        let load = seen.line.contains("/load ");
        let reply = if load { Reply::served(Duration::ZERO) } else { replies.next(seen) };
        let (status, lines) = (reply.status, &reply.lines);
        let pause = backend::Step::Pause(reply.work);
        if !reply.executed() {
            let body = r#"{"error":{"ran":"not_run"}}"#;
            return vec![pause, backend::response_with_headers(status, lines, body)];
        }
        if !seen.line.contains("/v1/") {
            return vec![pause, backend::response_with_headers(status, lines, "answer")];
        }
        let answer = serde_json::json!({
            "choices": [{ "index": 0, "delta": { "content": "a" }, "finish_reason": "length" }],
            "usage": { "prompt_tokens": 1, "completion_tokens": 1, "total_tokens": 2 },
        });
        let events = format!("data: {answer}\n\ndata: [DONE]\n\n");
        let text = format!(
            "HTTP/1.1 {status}\r\nContent-Type: text/event-stream\r\n{lines}\
             Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n0\r\n\r\n",
            events.len()
        );
        vec![pause, backend::Step::Write(text)]
    })
}

impl Scripted {
    pub fn start(name: &str) -> Self {
        Self::with_servers(name, SERVERS)
    }

    pub fn with_servers(name: &str, each: usize) -> Self {
        let options = Options { routers: ROUTERS, engines: 0, services: 0, ..Options::default() };
        let fleet = Fleet::start(name, options);
        let replies = Replies::new(Reply::served(Duration::ZERO));
        let start = |place: usize| {
            let first = place.is_multiple_of(each);
            let well = || Replies::new(Reply::served(Duration::ZERO));
            let replies = if first { replies.clone() } else { well() };
            backend::Backend::start(script(replies)).unwrap()
        };
        let servers: Vec<backend::Backend> = (0..2 * each).map(start).collect();
        fleet.put_servers(&servers, |place| if place < each { "roast" } else { "payments" });
        Self { fleet, servers, replies, each, number: AtomicUsize::new(0) }
    }

    /// Sends to all routers for a while; what callers got.
    pub fn send(&self, work: Work, for_: Duration) -> Vec<Got> {
        let got = Mutex::new(Vec::new());
        let began = Instant::now();
        thread::scope(|scope| {
            for router in 0..ROUTERS {
                let got = &got;
                scope.spawn(move || {
                    while began.elapsed() < for_ {
                        let sent = Instant::now();
                        let answer = self.ask(work, router);
                        let took = sent.elapsed();
                        let (status, body) =
                            answer.map_or((0, String::new()), |it| (it.status, it.body));
                        got.lock().unwrap().push(Got { router, sent, took, status, body });
                        thread::sleep(SEND_EVERY.saturating_sub(took));
                    }
                });
            }
        });
        got.into_inner().unwrap()
    }

    fn ask(&self, work: Work, router: usize) -> Option<Answer> {
        let number = self.number.fetch_add(1, Ordering::Relaxed);
        // Prompts that begin alike would all go where the first went.
        let id = format!("{router}-{number}");
        let headers = [("Idempotency-Key", id.as_str())];
        let post = |path: &str, headers: &[(&str, &str)]| {
            call(self.fleet.routers[router].callers, "POST", path, "kitchen-key", headers, "x")
        };
        match work {
            Work::Completion => self.fleet.complete(router, &format!("prompt {number}"), 4, false),
            Work::Call => post("/services/payments/lookup?card=7", &headers),
            Work::Release => post("/services/payments/release", &headers),
        }
    }

    /// The first server of the service that does some work.
    pub fn first_server(&self, work: Work) -> usize {
        if work == Work::Completion { 0 } else { self.each }
    }

    /// When requests of callers reached a server.
    pub fn arrivals(&self, server: usize, after: Instant) -> Vec<Instant> {
        let server = &self.servers[server];
        let seen = server.requests().into_iter().zip(server.arrivals());
        let counted = seen.filter(|(seen, at)| !seen.line.contains("/load ") && *at >= after);
        counted.map(|(_, at)| at).collect()
    }

    /// At least 97 in 100 were served.
    pub fn check_served(got: &[Got]) {
        let served = got.iter().filter(|one| one.status == 200).count();
        let others: Vec<&Got> = got.iter().filter(|one| one.status != 200).take(3).collect();
        assert!(served * 100 >= got.len() * 97, "{served} of {}: {others:?}", got.len());
    }

    /// The first server of a service has at least half of an even part of what reached it in the last while.
    pub fn check_part(&self, work: Work, last: Duration) {
        let after = Instant::now() - last;
        let first = self.first_server(work);
        let parts: Vec<usize> =
            (first..first + self.each).map(|server| self.arrivals(server, after).len()).collect();
        let all: usize = parts.iter().sum();
        assert!(parts[0] * self.each * 2 >= all, "the first of these has too little: {parts:?}");
    }
}
