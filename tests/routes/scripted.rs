//! Servers whose replies a test changes while clients send requests, and the requests that reached them.

#![allow(clippy::unwrap_used, missing_docs, dead_code)]

use super::load::{self, RequestResult};
use super::{STREAM_HEAD, World, event, last_chunk};
use doorswitch_standins::backend;
use doorswitch_standins::replies::{Replies, Reply};
use std::time::{Duration, Instant};

/// A script that takes its replies from `replies`, and sends a stream if the path contains "stream".
fn script(replies: Replies) -> backend::Script {
    Box::new(move |_, seen| {
        let reply = replies.next(seen);
        let pause = backend::Step::Pause(reply.work);
        if !reply.executed() || !seen.line.contains("stream") {
            return vec![
                pause,
                backend::response_with_headers(reply.status, &reply.lines, "answer"),
            ];
        }
        let head = STREAM_HEAD.replace("\r\n\r\n", &format!("\r\n{}\r\n", reply.lines));
        vec![pause, backend::Step::Write(head), event(1), event(2), last_chunk()]
    })
}

pub struct ScriptedWorld {
    pub world: World,
    pub servers: Vec<Replies>,
    routers: usize,
}

impl ScriptedWorld {
    /// Starts routers and servers that answer each request after `work`.
    pub fn start(name: &str, routers: usize, servers: usize, work: Duration) -> Self {
        let servers: Vec<Replies> =
            (0..servers).map(|_| Replies::new(Reply::served(work))).collect();
        let scripts = servers.iter().cloned().map(script).collect();
        let world = load::start(name, routers, scripts);
        Self { world, servers, routers }
    }

    /// Sends requests to all routers, one to each every `interval_ms`.
    pub fn send(&self, path: &str, interval_ms: u64, duration_ms: u64) -> Vec<RequestResult> {
        let interval = Duration::from_millis(interval_ms);
        let routers = load::router_indices(self.routers);
        load::send(&self.world, &routers, path, interval, Duration::from_millis(duration_ms))
    }

    /// Arrival times and ids of the requests that reached a server between two times.
    pub fn arrivals(&self, server: usize, from: Instant, to: Instant) -> Vec<(Instant, String)> {
        let server = &self.world.backends[server];
        let seen = server.arrivals().into_iter().zip(server.requests());
        let seen = seen.map(|(at, seen)| (at, seen.id().unwrap_or_default().to_owned()));
        seen.filter(|(at, _)| (from..to).contains(at)).collect()
    }

    /// The number of requests that reached each server within `window` before now.
    pub fn request_counts(&self, window: Duration) -> Vec<usize> {
        let now = Instant::now();
        let servers = 0..self.servers.len();
        servers.map(|server| self.arrivals(server, now - window, now).len()).collect()
    }

    /// Checks that a server received at least half of an even share of the requests that reached all servers
    /// within `window` before now.
    pub fn check_share(&self, server: usize, window: Duration) {
        let counts = self.request_counts(window);
        let even_share = counts.iter().sum::<usize>() / counts.len();
        assert!(
            counts[server] * 2 >= even_share,
            "server {server} received too few of the requests: {counts:?}"
        );
    }
}
