//! Servers whose replies a test changes while clients send, and what reached them.

#![allow(clippy::unwrap_used, missing_docs, dead_code)]

use super::load::{self, Got};
use super::{STREAM_HEAD, World, event, last_chunk};
use doorswitch_standins::backend;
use doorswitch_standins::replies::{Replies, Reply};
use std::time::{Duration, Instant};

/// A script that replies as `replies` says, with a stream where the path asks for one.
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

pub struct Replying {
    pub world: World,
    pub servers: Vec<Replies>,
    routers: usize,
}

impl Replying {
    /// Routers that serve before servers that all work for so long.
    pub fn start(name: &str, routers: usize, servers: usize, work: Duration) -> Self {
        let servers: Vec<Replies> =
            (0..servers).map(|_| Replies::new(Reply::served(work))).collect();
        let scripts = servers.iter().cloned().map(script).collect();
        let world = load::start(name, routers, scripts);
        Self { world, servers, routers }
    }

    /// Sends to all routers.
    pub fn send(&self, path: &str, every_ms: u64, for_ms: u64) -> Vec<Got> {
        let every = Duration::from_millis(every_ms);
        let routers = load::all(self.routers);
        load::send(&self.world, &routers, path, every, Duration::from_millis(for_ms))
    }

    /// The requests that reached a server in a span of time: when they came, and their ids.
    pub fn arrivals(&self, server: usize, from: Instant, to: Instant) -> Vec<(Instant, String)> {
        let server = &self.world.backends[server];
        let seen = server.arrivals().into_iter().zip(server.requests());
        let seen = seen.map(|(at, seen)| (at, seen.id().unwrap_or_default().to_owned()));
        seen.filter(|(at, _)| (from..to).contains(at)).collect()
    }

    /// Each server's part of what reached them in the last while.
    pub fn parts(&self, last: Duration) -> Vec<usize> {
        let now = Instant::now();
        let servers = 0..self.servers.len();
        servers.map(|server| self.arrivals(server, now - last, now).len()).collect()
    }

    /// A server has at least half of an even part of what reached all in the last while.
    pub fn check_part(&self, server: usize, last: Duration) {
        let parts = self.parts(last);
        let even = parts.iter().sum::<usize>() / parts.len();
        assert!(parts[server] * 2 >= even, "server {server} has too little of {parts:?}");
    }
}
