//! The open connections of clients. If there are too many, the one that has waited for a whole request for the longest
//! time makes room for a new one.

use super::{body, socket};
use crate::snapshot;
use http_body::{Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio_util::sync;

/// A connection is not closed for another one before it has waited this long: its request may be on the way.
const WAIT_MIN: Duration = Duration::from_secs(1);
/// The minimum time between two log lines on connections that were closed for others, or refused.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Identifies a connection; later ones have higher keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key(u64);

/// The open connections of clients.
#[derive(Debug)]
pub struct Clients {
    connections_max: usize,
    open: RefCell<BTreeMap<Key, Rc<State>>>,
    next_key: Cell<Key>,
    logged_at: Cell<Option<Instant>>,
}

#[derive(Debug)]
struct State {
    /// Since when the connection waits for a whole request; `None` while one is being handled.
    waiting_since: Cell<Option<Instant>>,
    /// Wakes the connection's task when the connection has to make room.
    evicted: Notify,
    /// No part of the next request arrived before.
    request_not_before: Cell<Instant>,
    /// The number of turns that the next request waits for from its arrival until it is handled.
    turns: Cell<u32>,
}

/// The turns that a request waits for whose connection has just been accepted: its task starts, then reads.
const TURNS_NEW: u32 = 2;
/// The turns that a later request of a connection waits for.
const TURNS_KEPT: u32 = 1;

/// The place of one open connection, until it is dropped.
#[derive(Debug)]
pub struct Connection {
    clients: Rc<Clients>,
    key: Key,
    state: Rc<State>,
}

/// A request on a connection, from its head until its answer has been written.
#[derive(Debug)]
pub struct Exchange(Rc<State>);

impl Clients {
    /// Starts without connections, of which `connections_max` may be open at a time.
    pub fn new(connections_max: usize) -> Self {
        Self {
            connections_max,
            open: Default::default(),
            next_key: Cell::new(Key(0)),
            logged_at: Cell::new(None),
        }
    }

    /// Admits a new connection, for which another one may have to be closed; `None` if requests are being handled or may
    /// still arrive on all of them. The connection may have waited for `lag` until it was accepted.
    pub fn admit(self: &Rc<Self>, lag: Duration) -> Option<Connection> {
        let full = self.open.borrow().len() >= self.connections_max;
        if full && !self.evict(Instant::now()) {
            metrics::counter!("doorswitch_client_connections_refused_total").increment(1);
            self.log_full();
            return None;
        }
        let key = self.next_key.get();
        self.next_key.set(Key(key.0 + 1));
        let now = Instant::now();
        let state = Rc::new(State {
            waiting_since: Cell::new(Some(now)),
            evicted: Notify::new(),
            request_not_before: Cell::new(now.checked_sub(lag).unwrap_or(now)),
            turns: Cell::new(TURNS_NEW),
        });
        self.open.borrow_mut().insert(key, state.clone());
        self.report_count();
        Some(Connection { clients: self.clone(), key, state })
    }

    /// Has the connection closed that has waited for the longest time; returns whether there is one.
    fn evict(&self, now: Instant) -> bool {
        let mut open = self.open.borrow_mut();
        let waiting =
            open.iter().filter_map(|(key, state)| Some((state.waiting_since.get()?, *key)));
        let longest = waiting.min().filter(|(since, _)| now.duration_since(*since) >= WAIT_MIN);
        let Some((_, key)) = longest else { return false };
        if let Some(state) = open.remove(&key) {
            state.evicted.notify_one();
        }
        drop(open);
        metrics::counter!("doorswitch_client_connections_evicted_total").increment(1);
        self.log_full();
        true
    }

    fn log_full(&self) {
        let now = Instant::now();
        if self.logged_at.get().is_none_or(|at| now.duration_since(at) >= LOG_INTERVAL) {
            self.logged_at.set(Some(now));
            log::warn!("event=client_connections_full connections_max={}", self.connections_max);
        }
    }

    fn report_count(&self) {
        metrics::gauge!("doorswitch_client_connections").set(self.open.borrow().len() as f64);
    }
}

impl Connection {
    /// Returns once the connection has to make room for another one.
    pub async fn evicted(&self) {
        self.state.evicted.notified().await;
    }

    /// Whether a request is being handled.
    pub fn in_use(&self) -> bool {
        self.state.waiting_since.get().is_none()
    }

    /// Begins an exchange, whose request has still to arrive as a whole.
    pub fn begin_exchange(&self) -> Exchange {
        Exchange(self.state.clone())
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.clients.open.borrow_mut().remove(&self.key);
        self.clients.report_count();
    }
}

impl Exchange {
    /// The earliest time at which the request may have arrived if it is handled now and each turn takes up to `lag`.
    pub fn arrived_at(&self, lag: Duration) -> Instant {
        let now = Instant::now();
        let waited = lag * self.0.turns.get();
        let earliest = now.checked_sub(waited).unwrap_or(now);
        earliest.max(self.0.request_not_before.get())
    }

    /// Records that the request has arrived as a whole.
    pub fn record_request_read(&self) {
        self.0.waiting_since.set(None);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let now = Instant::now();
        self.0.waiting_since.set(Some(now));
        self.0.request_not_before.set(now);
        self.0.turns.set(TURNS_KEPT);
    }
}

/// The client of a call.
#[derive(Clone, Debug)]
pub struct Client {
    left: sync::CancellationToken,
    connection: Option<socket::PeerWatch>,
    request_arrived: Instant,
}

impl Client {
    /// The client at `connection`, which has left once `left` is cancelled.
    pub fn new(
        left: sync::CancellationToken,
        connection: socket::PeerWatch,
        request_arrived: Instant,
    ) -> Self {
        Self { left, connection: Some(connection), request_arrived }
    }

    /// The client of a stream, whose task notices when it leaves.
    pub fn of_stream() -> Self {
        let left = sync::CancellationToken::new();
        Self { left, connection: None, request_arrived: Instant::now() }
    }

    /// Whether the client has left. One that closes its sending side with its request has
    /// [`socket::CLOSE_CHECK_INTERVAL`] for its answer.
    pub fn has_left(&self) -> bool {
        let closed = || self.connection.as_ref().is_some_and(socket::PeerWatch::is_closed);
        let may_be_closed = self.request_arrived.elapsed() >= socket::CLOSE_CHECK_INTERVAL;
        self.left.is_cancelled() || may_be_closed && closed()
    }

    /// Returns once the client is reported to have left.
    pub async fn left(&self) {
        self.left.cancelled().await;
    }
}

/// The body of an answer, with the exchange that ends with it.
#[derive(Debug)]
pub struct AnswerBody {
    body: body::Body,
    _exchange: Exchange,
    _open_answer: snapshot::OpenAnswer,
}

impl AnswerBody {
    /// Has the exchange end, and no longer counts the answer as open, when the body was taken to be written or is dropped.
    pub fn new(body: body::Body, exchange: Exchange, open_answer: snapshot::OpenAnswer) -> Self {
        Self { body, _exchange: exchange, _open_answer: open_answer }
    }
}

impl http_body::Body for AnswerBody {
    type Data = <body::Body as http_body::Body>::Data;
    type Error = <body::Body as http_body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
