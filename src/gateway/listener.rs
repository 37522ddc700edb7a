//! The address that clients connect to.

use super::{attempt, backends, exchange, socket};
use crate::{control, logging, snapshot};
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

/// A resting connection is kept this much longer than the configuration says, so that a client that
/// uses it at the last moment is served.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// How often resting connections to servers are looked through.
const SWEEP_EVERY: Duration = Duration::from_secs(1);
/// `hyper` takes no smaller buffer.
const BUFFER_BYTES_MIN: usize = 8 << 10;
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Where the gateway is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Connections are kept.
    Serving,
    /// New connections are still taken; each is closed after its next answer.
    Draining,
    /// No new connections; resting ones are closed.
    Closing,
}

/// What every exchange needs.
pub struct Gateway {
    /// The control thread.
    pub control: Addr<control::Control>,
    /// What it published.
    pub published: Arc<snapshot::Published>,
    /// Connections to servers.
    pub backends: Rc<backends::Backends>,
    phase: watch::Sender<Phase>,
}

impl Gateway {
    /// What a try at a server needs.
    pub fn attempts(&self) -> attempt::Context<'_> {
        let Self { backends, control, published, .. } = self;
        attempt::Context { backends, control, published }
    }

    /// A gateway whose connections to servers come from `local`.
    pub fn new(
        control: Addr<control::Control>,
        published: Arc<snapshot::Published>,
        local: net::IpAddr,
    ) -> Self {
        let backends = Rc::new(backends::Backends::new(local));
        Self { control, published, backends, phase: watch::Sender::new(Phase::Serving) }
    }

    /// Whether a planned stop is under way.
    pub fn draining(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Goes on to the next part of its life.
    pub fn enter(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Answers that are being given.
    pub fn open_answers(&self) -> u64 {
        self.published.open_answers()
    }
}

/// Takes connections until the gateway closes.
pub async fn serve(listener: net::TcpListener, gateway: Rc<Gateway>) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let sweeper = task::spawn_local(sweep(gateway.backends.clone()));
    let follower = task::spawn_local(follow_restarted(gateway.clone()));
    let mut phase = gateway.phase.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let socket = socket::Socket::new(stream);
                    task::spawn_local(serve_connection(socket, gateway.clone()));
                }
                Err(error) => {
                    log::warn!("event=accept_failed fault={}", logging::quoted(error));
                    tokio::time::sleep(ACCEPT_AGAIN).await;
                }
            },
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
        }
    }
    sweeper.abort();
    follower.abort();
    Ok(())
}

async fn serve_connection(client: socket::Socket, gateway: Rc<Gateway>) {
    let limits = limits(&gateway);
    let rest = Duration::from_millis(limits.idle_ms.max(limits.head_read_ms)) + IDLE_MARGIN;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(rest)
        .max_buf_size((limits.head_bytes_max as usize).max(BUFFER_BYTES_MIN));
    let mut phase = gateway.phase.subscribe();
    let watched = client.clone();
    let exchanges = service::service_fn(move |request| {
        exchange::handle(gateway.clone(), watched.clone(), request)
    });
    let connection = builder.serve_connection(client, exchanges);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("event=connection_failed fault={}", logging::quoted(error));
    }
}

fn limits(gateway: &Gateway) -> config::CallerLimits {
    let snapshot = gateway.published.snapshot.load();
    snapshot.as_ref().map_or_else(Default::default, |snapshot| snapshot.document.callers)
}

async fn follow_restarted(gateway: Rc<Gateway>) {
    let mut restarted = gateway.published.subscribe_restarts();
    while restarted.changed().await.is_ok() {
        gateway.backends.end_earlier_lives(&restarted.borrow_and_update());
    }
}

async fn sweep(backends: Rc<backends::Backends>) {
    loop {
        tokio::time::sleep(SWEEP_EVERY).await;
        backends.sweep();
    }
}
