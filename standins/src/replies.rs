//! What a scripted server replies now, which a test changes while clients send, and what it replied.

use crate::backend;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How a server replies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The status line's code and text.
    pub status: &'static str,
    /// Further lines of the head, each with its end.
    pub lines: String,
    /// How long the server works before it replies.
    pub work: Duration,
}

impl Reply {
    /// It serves the request.
    pub fn served(work: Duration) -> Self {
        Self { status: "200 OK", lines: String::new(), work }
    }

    /// It turns the request away without running it; `lines` as in [`Reply::lines`].
    pub fn turned_away(lines: &str) -> Self {
        let lines = format!("Not-Executed: full\r\n{lines}");
        Self { status: "503 Busy", lines, work: Duration::ZERO }
    }

    /// The same reply with further lines.
    pub fn with(mut self, lines: &str) -> Self {
        self.lines.push_str(lines);
        self
    }

    /// Whether the request ran.
    pub fn ran(&self) -> bool {
        self.status.starts_with('2')
    }
}

/// A reply that was given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Given {
    /// The request's id.
    pub id: String,
    /// The instance that the request was meant for.
    pub expected: Option<String>,
    /// When its head went out, or a moment before.
    pub at: Instant,
    /// The reply.
    pub reply: Reply,
}

#[derive(Debug)]
struct State {
    reply: Reply,
    given: Vec<Given>,
}

/// The replies of one server.
#[derive(Clone, Debug)]
pub struct Replies(Arc<Mutex<State>>);

impl Replies {
    /// A server that replies so at first.
    pub fn new(reply: Reply) -> Self {
        Self(Arc::new(Mutex::new(State { reply, given: Vec::new() })))
    }

    /// Replies otherwise from now on.
    pub fn set(&self, reply: Reply) {
        self.lock().reply = reply;
    }

    /// What was replied so far.
    pub fn given(&self) -> Vec<Given> {
        self.lock().given.clone()
    }

    /// The reply to a request.
    pub fn next(&self, seen: &backend::Seen) -> Reply {
        let mut state = self.lock();
        let reply = state.reply.clone();
        let given = Given {
            id: seen.id().or(seen.header("idempotency-key")).unwrap_or_default().to_owned(),
            expected: seen.header("expect-instance").map(str::to_owned),
            at: Instant::now() + reply.work,
            reply: reply.clone(),
        };
        state.given.push(given);
        reply
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
