//! Connections to backend servers: few, kept warm, and closed at the first odd byte.

use super::{body, socket};
use crate::{control, probe, snapshot, upstream};
use actix::prelude::Addr;
use bytes::Bytes;
use doorswitch_core::ids;
use http::{HeaderMap, header};
use http_body_util::Full;
use hyper::client::conn::http1;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use std::{io, net};
use tokio::sync::OnceCell;
use tokio::task;

/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a connection that ended its last exchange may take until it can be used again.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// A connection is not used again this long before the server would close it.
const CLOSING_MARGIN: Duration = Duration::from_millis(1_500);
/// A server that does not say how long it keeps a connection is taken to keep it this long.
const KEPT_DEFAULT: Duration = Duration::from_secs(4);
/// Resting connections kept for one server.
const IDLE_MAX: usize = 32;

/// How often a connection is looked at that came up when its server was looked at.
const SURVIVOR_LOOK: Duration = Duration::from_millis(10);

/// A connection that came up this short a time before a server's start was heard of may lead to its new life.
const STARTING: Duration = Duration::from_secs(1);

/// The body of a request to a server.
pub type RequestBody = Full<Bytes>;

/// Why no connection could be had.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("the address {address:?} is not one"))]
    Address { address: String },
    #[snafu(display("cannot connect: {source}"), context(false))]
    Connect { source: io::Error },
    #[snafu(display("the connection did not come up in time"))]
    Timeout,
    #[snafu(display("the connection failed: {source}"), context(false))]
    Handshake { source: hyper::Error },
}

impl Error {
    /// Whether nothing listens at the address: the process that did is over.
    pub fn refused(&self) -> bool {
        matches!(self, Self::Connect { source } if probe::is_refusal(source))
    }
}

/// A connection that serves one exchange; dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    /// Sends the request.
    pub sender: http1::SendRequest<RequestBody>,
    driver: task::JoinHandle<()>,
    upstream: Upstream,
    /// Whether it carried an exchange before.
    pub used: bool,
    keeps: Option<Duration>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// Does not use it again.
    pub fn close_after_exchange(&mut self) {
        self.keeps = None;
    }

    /// Reads from an answer's head how long the server keeps the connection.
    pub fn note_keep_alive(&mut self, headers: &HeaderMap) {
        let closes = headers
            .get(header::CONNECTION)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok());
        let seconds = stated.and_then(|value| {
            let timeout = value.split(',').find_map(|item| item.trim().strip_prefix("timeout="));
            timeout?.trim().parse::<u64>().ok()
        });
        self.keeps = match (closes, seconds) {
            (true, _) => None,
            (false, Some(seconds)) => Duration::from_secs(seconds).checked_sub(CLOSING_MARGIN),
            (false, None) => Some(KEPT_DEFAULT),
        };
    }
}

/// Where a connection leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Upstream {
    address: String,
    /// Another life of the server at the address knows nothing of this connection.
    life: ids::ServerLife,
}

/// A connection that may be in use.
#[derive(Debug)]
struct Open {
    vm: String,
    life: ids::ServerLife,
    since: Instant,
    breaker: socket::Breaker,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// The resting connections of one router.
#[derive(Debug)]
pub struct Backends {
    local: net::IpAddr,
    idle: RefCell<HashMap<Upstream, Vec<Idle>>>,
    open: RefCell<Vec<Open>>,
    probes: RefCell<HashMap<Upstream, Rc<OnceCell<probe::Probed>>>>,
    /// Connections that came up when a server was looked at, until it is clear that they last.
    watches: RefCell<task::JoinSet<()>>,
}

impl Backends {
    /// No connections yet; new ones come from the address `local`.
    pub fn new(local: net::IpAddr) -> Self {
        Self {
            local,
            idle: Default::default(),
            open: Default::default(),
            probes: Default::default(),
            watches: Default::default(),
        }
    }

    /// A connection to a server: a resting one if there is one, and if `fresh` does not forbid it.
    pub async fn connect(
        &self,
        place: &upstream::Placement,
        fresh: bool,
    ) -> Result<Connection, Error> {
        let address = &place.address;
        let upstream = Upstream { address: address.clone(), life: place.life };
        while let Some(mut connection) = (!fresh).then(|| self.resting(&upstream)).flatten() {
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(connection);
            }
        }
        let target = address.parse().map_err(|_| Error::Address { address: address.clone() })?;
        let connecting = socket::Socket::connect(target, self.local);
        let socket = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| Error::Timeout)??;
        self.open_on(socket, place).await
    }

    /// Speaks HTTP on a connection that came up.
    async fn open_on(
        &self,
        socket: socket::Socket,
        place: &upstream::Placement,
    ) -> Result<Connection, Error> {
        let upstream = Upstream { address: place.address.clone(), life: place.life };
        self.open.borrow_mut().push(Open {
            vm: place.vm.clone(),
            life: place.life,
            since: Instant::now(),
            breaker: socket.breaker(),
        });
        let (sender, driver) = http1::handshake::<_, RequestBody>(socket).await?;
        let driver = task::spawn_local(async move {
            let _ = driver.await;
        });
        Ok(Connection { sender, driver, upstream, used: false, keeps: None })
    }

    /// Looks whether a server still takes connections; all that ask meanwhile share the answer. What comes up is kept for
    /// the next request, so that looking costs no connection more than the one that broke.
    pub async fn probe(
        &self,
        place: &upstream::Placement,
        control: &Addr<control::Control>,
    ) -> probe::Probed {
        let upstream = Upstream { address: place.address.clone(), life: place.life };
        let shared = self.probes.borrow_mut().entry(upstream.clone()).or_default().clone();
        let probed = *shared.get_or_init(|| self.probe_alone(place, control)).await;
        let mut probes = self.probes.borrow_mut();
        if probes.get(&upstream).is_some_and(|known| Rc::ptr_eq(known, &shared)) {
            probes.remove(&upstream);
        }
        probed
    }

    async fn probe_alone(
        &self,
        place: &upstream::Placement,
        control: &Addr<control::Control>,
    ) -> probe::Probed {
        let broke = Instant::now();
        let others_live = || self.outlived(place, broke);
        let (probed, socket) = probe::probe(&place.address, self.local, others_live).await;
        let Some(socket) = socket else { return probed };
        let breaker = socket.breaker();
        if let Ok(mut connection) = self.open_on(socket, place).await {
            connection.keeps = Some(KEPT_DEFAULT);
            self.rest(connection);
        }
        let ended = async move {
            while breaker.in_use() {
                tokio::time::sleep(SURVIVOR_LOOK).await;
            }
        };
        let (control, address) = (control.clone(), place.address.clone());
        let watch = probe::watch_survivor(control, place.server(), address, self.local, ended);
        let mut watches = self.watches.borrow_mut();
        while watches.try_join_next().is_some() {}
        watches.spawn_local(watch);
        probed
    }

    /// Whether a connection to a server is still in use that came up before a moment.
    fn outlived(&self, place: &upstream::Placement, moment: Instant) -> bool {
        self.open.borrow().iter().any(|open| {
            let same = open.vm == place.vm && open.life == place.life;
            same && open.since < moment && open.breaker.in_use()
        })
    }

    /// Takes a connection back whose exchange ended well.
    pub fn rest(&self, mut connection: Connection) {
        let Some(keeps) = connection.keeps else { return };
        connection.used = true;
        let mut idle = self.idle.borrow_mut();
        let resting = idle.entry(connection.upstream.clone()).or_default();
        if resting.len() < IDLE_MAX {
            resting.push(Idle { connection, until: Instant::now() + keeps });
        }
    }

    /// Closes the resting connections to a server.
    pub fn close_resting(&self, place: &upstream::Placement) {
        let upstream = Upstream { address: place.address.clone(), life: place.life };
        self.idle.borrow_mut().remove(&upstream);
    }

    /// Closes connections that rested too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for resting in idle.values_mut() {
            resting.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, resting| !resting.is_empty());
        self.open.borrow_mut().retain(|open| open.breaker.in_use());
    }

    /// Breaks off the connections to earlier lives of servers: requests that are open there end as if the server had
    /// crashed, also where its machine went silent.
    pub fn end_earlier_lives(&self, lives: &snapshot::Lives) {
        for open in self.open.borrow().iter() {
            let earlier = lives.get(&open.vm).is_some_and(|present| *present > open.life);
            if earlier && open.since.elapsed() >= STARTING {
                open.breaker.break_off();
            }
        }
    }

    fn resting(&self, upstream: &Upstream) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let resting = idle.get_mut(upstream)?;
        let now = Instant::now();
        // The last one used is the least likely to have been closed.
        while let Some(Idle { connection, until }) = resting.pop() {
            if now < until && !connection.sender.is_closed() {
                return Some(connection);
            }
        }
        None
    }
}

/// The answer of a server, in the types that the rest uses.
pub type Answer = http::Response<hyper::body::Incoming>;
/// The answer to a client.
pub type Response = http::Response<body::Body>;
