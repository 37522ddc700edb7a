//! Accepts client connections and serves HTTP on them.

use super::{attempt, backends, clients, exchange, lag, silence, socket};
use crate::{answer_memory, control, descriptors, links, logging, snapshot};
use actix::prelude::Addr;
use doorswitch_core::config;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioTimer;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::{io, net};
use tokio::sync::watch;
use tokio::task;

/// An idle connection is kept this much longer than configured, so that a client that uses it just before the timeout
/// is served.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// How often expired connections to backend servers are closed.
const CLOSE_EXPIRED_INTERVAL: Duration = Duration::from_secs(1);
/// The smallest buffer that `hyper` accepts.
const BUFFER_BYTES_MIN: usize = 8 << 10;
/// How long to wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A connection counts as unused if it was so at two moments this far apart.
const UNUSED_TIME: Duration = Duration::from_millis(100);

/// The phases from normal operation to the end of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// New connections are accepted, and connections are kept open between requests.
    Serving,
    /// New connections are still accepted; each connection is closed after its next answer.
    Draining,
    /// No new connections are accepted; idle ones are closed.
    Closing,
}

/// The state that all client connections share.
pub struct Gateway {
    /// The address of the control thread.
    pub control: Addr<control::Control>,
    /// The state that the control thread publishes.
    pub published: Arc<snapshot::Published>,
    /// The connections to backend servers.
    pub backends: Rc<backends::Backends>,
    /// The memory of answers that are read in full before they are sent to clients.
    pub answer_memory: answer_memory::AnswerMemory,
    /// How late the gateway's thread is.
    pub(super) lag: lag::Lag,
    clients: Rc<clients::Clients>,
    phase: watch::Sender<Phase>,
}

impl Gateway {
    /// The parts of the gateway that an attempt uses.
    pub fn attempts(&self) -> attempt::Context<'_> {
        let Self { backends, control, published, .. } = self;
        attempt::Context { backends, control, published }
    }

    /// Creates a gateway that connects to backend servers over `links`, and keeps no more connections open than its
    /// shares of the descriptors.
    pub fn new(
        control: Addr<control::Control>,
        published: Arc<snapshot::Published>,
        links: Arc<links::Links>,
        answer_memory: answer_memory::AnswerMemory,
        shares: descriptors::Shares,
    ) -> Self {
        let backends = Rc::new(backends::Backends::new(links, shares.servers));
        let clients = Rc::new(clients::Clients::new(shares.clients));
        let phase = watch::Sender::new(Phase::Serving);
        let lag = lag::Lag::default();
        Self { control, published, backends, answer_memory, lag, clients, phase }
    }

    /// Whether a planned stop is under way.
    pub fn draining(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Enters a phase; all client connections follow it.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// The number of answers that are not yet complete.
    pub fn open_answers(&self) -> u64 {
        self.published.open_answers()
    }
}

/// Accepts client connections until the phase is `Closing`.
pub async fn serve(listener: net::TcpListener, gateway: Rc<Gateway>) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let expiry = task::spawn_local(close_expired(gateway.backends.clone()));
    let restarts = task::spawn_local(follow_restarts(gateway.clone()));
    let mut phase = gateway.phase.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    // Without room, the connection is closed unread, so that the client can use another router.
                    if let Some(connection) = gateway.clients.admit(gateway.lag.current()) {
                        let socket = socket::Socket::new(stream);
                        task::spawn_local(serve_connection(socket, connection, gateway.clone()));
                    }
                }
                Err(error) => {
                    log::warn!("event=accept_failed fault={}", logging::quoted(error));
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
        }
    }
    expiry.abort();
    restarts.abort();
    Ok(())
}

/// Detects connections to servers that went silent, and measures the lag of the thread, until it is dropped.
pub async fn watch_silence_and_lag(gateway: Rc<Gateway>) {
    let silence = silence::watch(gateway.backends.clone());
    tokio::join!(silence, gateway.lag.measure());
}

async fn serve_connection(
    client: socket::Socket,
    connection: clients::Connection,
    gateway: Rc<Gateway>,
) {
    let limits = limits(&gateway);
    let idle_timeout = Duration::from_millis(limits.idle_ms.max(limits.head_read_ms)) + IDLE_MARGIN;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size((limits.head_bytes_max as usize).max(BUFFER_BYTES_MIN));
    let mut phase = gateway.phase.subscribe();
    let client_socket = client.clone();
    let exchanges = service::service_fn(|request| {
        let exchange = connection.begin_exchange();
        exchange::handle(gateway.clone(), client_socket.clone(), exchange, request)
    });
    let serving = builder.serve_connection(client, exchanges);
    tokio::pin!(serving);
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {
            // The end of an answer may still wait for the client to read.
            let open_answer = gateway.published.open_answer();
            serving.as_mut().graceful_shutdown();
            let ended = tokio::select! {
                ended = serving.as_mut() => Some(ended),
                () = unused_for(&connection, &client_socket, UNUSED_TIME) => None,
            };
            drop(open_answer);
            match ended {
                Some(ended) => ended,
                None => serving.await,
            }
        }
        () = connection.evicted() => {
            serving.as_mut().graceful_shutdown();
            tokio::select! {
                ended = serving => ended,
                () = unused_for(&connection, &client_socket, UNUSED_TIME) => Ok(()),
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("event=connection_failed fault={}", logging::quoted(error));
    }
}

/// Returns once a connection was unused at two moments this far apart: no request was handled, and no rest of an answer
/// waited for the client.
async fn unused_for(connection: &clients::Connection, client: &socket::Socket, time: Duration) {
    let is_unused = || !connection.in_use() && !client.write_blocked();
    loop {
        let unused_before = is_unused();
        tokio::time::sleep(time).await;
        if unused_before && is_unused() {
            return;
        }
    }
}

fn limits(gateway: &Gateway) -> config::CallerLimits {
    let snapshot = gateway.published.snapshot.load();
    snapshot.as_ref().map_or_else(Default::default, |snapshot| snapshot.document.callers)
}

/// Aborts the connections to earlier incarnations of servers whenever a server has restarted.
async fn follow_restarts(gateway: Rc<Gateway>) {
    let mut restarted = gateway.published.subscribe_restarts();
    while restarted.changed().await.is_ok() {
        gateway.backends.abort_earlier_incarnations(&restarted.borrow_and_update());
    }
}

async fn close_expired(backends: Rc<backends::Backends>) {
    loop {
        tokio::time::sleep(CLOSE_EXPIRED_INTERVAL).await;
        backends.close_expired();
    }
}
