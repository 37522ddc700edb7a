//! Engines and plain services behind the callers' interface, whose replies a test changes while callers send
//! requests.

use super::{Answer, Fleet, Options, call};
use doorswitch_standins::backend;
use doorswitch_standins::replies::{Replies, Reply};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

pub const ROUTERS: usize = 3;
/// Default number of servers of each service.
const SERVERS: usize = 3;
const SEND_INTERVAL: Duration = Duration::from_millis(60);

/// The kind of request that callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Completion,
    Call,
    /// A call that is configured as unrepeatable.
    Release,
}

/// The result of one request; `status` is 0 if the connection failed.
#[derive(Clone, Debug)]
pub struct RequestResult {
    pub router: usize,
    pub sent: Instant,
    pub took: Duration,
    pub status: u16,
    pub body: String,
}

pub struct ScriptedFleet {
    pub fleet: Fleet,
    /// Engines first, then plain services.
    pub servers: Vec<backend::Backend>,
    /// Replies of the first server of each service; the other servers answer every request with success, after the same
    /// work as the first one at the start.
    pub replies: Replies,
    servers_per_service: usize,
    request_count: AtomicUsize,
}

/// The script of an engine or plain service that takes its replies from `replies`.
fn script(replies: Replies) -> backend::Script {
    Box::new(move |_, seen| {
        let is_load_poll = seen.line.contains("/load ");
        let reply = if is_load_poll { Reply::served(Duration::ZERO) } else { replies.next(seen) };
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

impl ScriptedFleet {
    pub fn start(name: &str) -> Self {
        Self::with_servers(name, SERVERS)
    }

    /// Starts servers that work on each request for this long, so that load spreads the requests over them if callers
    /// don't wait for answers. Servers that answer at once share by chance.
    pub fn start_slow(name: &str, work: Duration) -> Self {
        Self::with_work(name, SERVERS, work)
    }

    pub fn with_servers(name: &str, servers_per_service: usize) -> Self {
        Self::with_work(name, servers_per_service, Duration::ZERO)
    }

    fn with_work(name: &str, servers_per_service: usize, work: Duration) -> Self {
        let options = Options { routers: ROUTERS, engines: 0, services: 0, ..Options::default() };
        let fleet = Fleet::start(name, options);
        let replies = Replies::new(Reply::served(work));
        let start = |index: usize| {
            let is_first = index.is_multiple_of(servers_per_service);
            let served = || Replies::new(Reply::served(work));
            let replies = if is_first { replies.clone() } else { served() };
            backend::Backend::start(script(replies)).unwrap()
        };
        let servers: Vec<backend::Backend> = (0..2 * servers_per_service).map(start).collect();
        fleet.add_scripted_servers(&servers, |index| {
            if index < servers_per_service { "roast" } else { "payments" }
        });
        Self { fleet, servers, replies, servers_per_service, request_count: AtomicUsize::new(0) }
    }

    /// Sends requests to all routers for the given time, to each the next one after the answer to the last; returns
    /// their results.
    pub fn send(&self, kind: RequestKind, duration: Duration) -> Vec<RequestResult> {
        let got = Mutex::new(Vec::new());
        let started = Instant::now();
        thread::scope(|scope| {
            for router in 0..ROUTERS {
                let got = &got;
                scope.spawn(move || {
                    while started.elapsed() < duration {
                        let result = self.send_one(kind, router);
                        let took = result.took;
                        got.lock().unwrap().push(result);
                        thread::sleep(SEND_INTERVAL.saturating_sub(took));
                    }
                });
            }
        });
        got.into_inner().unwrap()
    }

    /// The same with callers that don't wait for the answers to earlier requests.
    pub fn send_at_a_rate(&self, kind: RequestKind, duration: Duration) -> Vec<RequestResult> {
        let got = Mutex::new(Vec::new());
        let started = Instant::now();
        thread::scope(|scope| {
            while started.elapsed() < duration {
                for router in 0..ROUTERS {
                    let got = &got;
                    scope.spawn(move || {
                        let result = self.send_one(kind, router);
                        got.lock().unwrap().push(result);
                    });
                }
                thread::sleep(SEND_INTERVAL);
            }
        });
        got.into_inner().unwrap()
    }

    fn send_one(&self, kind: RequestKind, router: usize) -> RequestResult {
        let sent = Instant::now();
        let answer = self.request(kind, router);
        let took = sent.elapsed();
        let (status, body) =
            answer.map_or((0, String::new()), |answer| (answer.status, answer.body));
        RequestResult { router, sent, took, status, body }
    }

    fn request(&self, kind: RequestKind, router: usize) -> Option<Answer> {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        // Different numbers: requests with a common prompt prefix are routed to the same server.
        let id = format!("{router}-{number}");
        let headers = [("Idempotency-Key", id.as_str())];
        let post = |path: &str, headers: &[(&str, &str)]| {
            call(self.fleet.routers[router].callers, "POST", path, "kitchen-key", headers, "x")
        };
        match kind {
            RequestKind::Completion => {
                self.fleet.complete(router, &format!("prompt {number}"), 4, false)
            }
            RequestKind::Call => post("/services/payments/lookup?card=7", &headers),
            RequestKind::Release => post("/services/payments/release", &headers),
        }
    }

    /// Index of the first server of the service that handles this kind of request.
    pub fn first_server(&self, kind: RequestKind) -> usize {
        if kind == RequestKind::Completion { 0 } else { self.servers_per_service }
    }

    /// Times at which requests of callers reached a server, without polls of its load.
    pub fn arrivals(&self, server: usize, after: Instant) -> Vec<Instant> {
        let server = &self.servers[server];
        let seen = server.requests().into_iter().zip(server.arrivals());
        let counted = seen.filter(|(seen, at)| !seen.line.contains("/load ") && *at >= after);
        counted.map(|(_, at)| at).collect()
    }

    /// Checks that at least 97 % of the requests were answered with status 200.
    pub fn check_served(got: &[RequestResult]) {
        let served = got.iter().filter(|result| result.status == 200).count();
        let others: Vec<&RequestResult> =
            got.iter().filter(|result| result.status != 200).take(3).collect();
        assert!(served * 100 >= got.len() * 97, "{served} of {}: {others:?}", got.len());
    }

    /// Checks that the first server of a service received at least half of an even share of the requests that
    /// reached the service within `window` before now.
    pub fn check_share(&self, kind: RequestKind, window: Duration) {
        let after = Instant::now() - window;
        let first = self.first_server(kind);
        let counts: Vec<usize> = (first..first + self.servers_per_service)
            .map(|server| self.arrivals(server, after).len())
            .collect();
        let total: usize = counts.iter().sum();
        assert!(
            counts[0] * self.servers_per_service * 2 >= total,
            "the first server received too few of the requests: {counts:?}"
        );
    }
}
