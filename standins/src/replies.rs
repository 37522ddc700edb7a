//! The reply of a scripted server, which a test can change while clients send requests, and a record of the replies
//! sent.

use crate::backend;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A scripted server's reply to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The code and reason phrase of the status line.
    pub status: &'static str,
    /// Further header lines, each of which ends with CRLF.
    pub lines: String,
    /// How long the server processes the request before it replies.
    pub work: Duration,
}

impl Reply {
    /// A reply of a server that executes the request.
    pub fn served(work: Duration) -> Self {
        Self { status: "200 OK", lines: String::new(), work }
    }

    /// A reply of a server that rejects the request without executing it; `lines` as in [`Reply::lines`].
    pub fn rejected(lines: &str) -> Self {
        let lines = format!("Not-Executed: full\r\n{lines}");
        Self { status: "503 Busy", lines, work: Duration::ZERO }
    }

    /// Adds header lines to the reply.
    pub fn with(mut self, lines: &str) -> Self {
        self.lines.push_str(lines);
        self
    }

    /// Whether the request was executed.
    pub fn executed(&self) -> bool {
        self.status.starts_with('2')
    }
}

/// A reply that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentReply {
    /// The request's `Attempt-Id` header, or else its `Idempotency-Key` header.
    pub id: String,
    /// The server instance for which the request was intended (`Expect-Instance`).
    pub expected: Option<String>,
    /// When its head was sent, or shortly before.
    pub at: Instant,
    /// The reply that was sent.
    pub reply: Reply,
}

#[derive(Debug)]
struct State {
    reply: Reply,
    sent: Vec<SentReply>,
}

/// The current reply of one server and the replies that it has sent.
#[derive(Clone, Debug)]
pub struct Replies(Arc<Mutex<State>>);

impl Replies {
    /// Creates the replies of a server that starts with this reply.
    pub fn new(reply: Reply) -> Self {
        Self(Arc::new(Mutex::new(State { reply, sent: Vec::new() })))
    }

    /// Sets the reply to all further requests.
    pub fn set(&self, reply: Reply) {
        self.lock().reply = reply;
    }

    /// All replies sent so far.
    pub fn sent(&self) -> Vec<SentReply> {
        self.lock().sent.clone()
    }

    /// Returns and records the reply to a request.
    pub fn next(&self, request: &backend::ReceivedRequest) -> Reply {
        let mut state = self.lock();
        let reply = state.reply.clone();
        let sent_reply = SentReply {
            id: request.id().or(request.header("idempotency-key")).unwrap_or_default().to_owned(),
            expected: request.header("expect-instance").map(str::to_owned),
            at: Instant::now() + reply.work,
            reply: reply.clone(),
        };
        state.sent.push(sent_reply);
        reply
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
