//! Connections to backend servers: over this router's own link or, where that fails, through another router.
//!
//! The ways are raced as RFC 8305 describes it for addresses: the other router is asked if the own link has not
//! connected after a short time, and the first connection that is established is used. Nothing of a request is sent
//! before, so a request is never sent twice.

mod client;
mod race;
pub mod relay;

use crate::{keep_alive, settings};
use doorswitch_core::{ids, links};
use futures_util::future;
use rand::SeedableRng;
use rand::rngs;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{collections, io, net};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time;

/// The time within which a connection must be established.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// A connection through another router is not reused when it is older than this, so that it does not keep a router that
/// stops waiting and ends soon after the router's own link is restored.
pub const RELAYED_AGE_MAX: Duration = Duration::from_secs(2);
/// How often lost links are looked at for a check that is due.
const CHECK_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The number of servers that are connected to in order to find out whether this router reaches any.
const REACHED_OTHERS_MAX: usize = 4;

/// Why there is no connection to a server.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("the address {address:?} is not an IP address with a port"))]
    Address { address: String },
    #[snafu(display("the server refuses connections"))]
    Refused,
    #[snafu(display("cannot connect: {source}"))]
    Failed { source: io::Error },
    #[snafu(display("the connection was not established in time"))]
    Timeout,
    #[snafu(display("no way to the server: its link is lost, and no other router connects to it"))]
    NoRoute,
}

impl From<Error> for io::Error {
    fn from(error: Error) -> Self {
        let kind = match &error {
            Error::Address { .. } => io::ErrorKind::InvalidInput,
            Error::Refused => io::ErrorKind::ConnectionRefused,
            Error::Failed { source } => source.kind(),
            Error::Timeout => io::ErrorKind::TimedOut,
            Error::NoRoute => io::ErrorKind::NetworkUnreachable,
        };
        Self::new(kind, error)
    }
}

/// A connection to a server.
#[derive(Debug)]
pub struct Established {
    /// The connection.
    pub stream: TcpStream,
    /// The router through which it leads; `None` if it is direct.
    pub via: Option<links::Peer>,
}

/// The state of a router's links, for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub struct State {
    /// For how long no server has been reached over an own link, in milliseconds; `None` if one is.
    pub all_lost_ms: Option<u64>,
    /// For how long the links to single servers have been lost, in milliseconds, by address.
    pub lost_ms: collections::BTreeMap<String, u64>,
    /// The number of connections that this router forwards for others.
    pub relayed_connections: u64,
}

/// The links of this router to servers, shared by all threads.
#[derive(Debug)]
pub struct Links {
    incarnation: ids::Incarnation,
    failure_domain: String,
    local: net::IpAddr,
    started: Instant,
    table: Mutex<links::Table>,
    rng: Mutex<rngs::StdRng>,
    peers: arc_swap::ArcSwap<Vec<links::Peer>>,
    /// Changes that the control thread has not applied yet.
    changes: Mutex<Vec<links::Change>>,
    all_lost: watch::Sender<bool>,
    /// Addresses of servers that another router reaches, or may reach, and this one does not.
    comparisons: Mutex<Vec<String>>,
    comparison_due: Notify,
    relayed: Arc<AtomicU64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Links {
    /// The links of a router without connections.
    pub fn new(settings: &settings::Settings, incarnation: ids::Incarnation) -> Self {
        Self {
            incarnation,
            failure_domain: settings.failure_domain.clone(),
            local: settings.peers.listen.ip(),
            started: Instant::now(),
            table: Mutex::default(),
            rng: Mutex::new(rngs::StdRng::seed_from_u64(rand::random())),
            peers: arc_swap::ArcSwap::default(),
            changes: Mutex::default(),
            all_lost: watch::Sender::new(false),
            comparisons: Mutex::default(),
            comparison_due: Notify::new(),
            relayed: Arc::default(),
        }
    }

    /// Connects to the server at an address.
    pub async fn connect(&self, address: &str) -> Result<Established, Error> {
        let target: net::SocketAddr =
            address.parse().map_err(|_| Error::Address { address: address.to_owned() })?;
        if self.peers.load().is_empty() {
            let stream = self.connect_directly(address, target, CONNECT_TIMEOUT).await?;
            return Ok(Established { stream, via: None });
        }
        let (order, fault) = {
            let mut table = lock(&self.table);
            let now_ms = self.now_ms();
            (table.order(address, now_ms), table.server_fault(address, now_ms))
        };
        match order {
            _ if fault == Some(links::ServerFault::Unresponsive) => Err(Error::Timeout),
            _ if fault == Some(links::ServerFault::Unknown) => Err(Error::NoRoute),
            links::Order::OwnFirst { head_start_ms } => {
                self.race(address, target, Duration::from_millis(head_start_ms)).await
            }
            links::Order::None => Err(Error::NoRoute),
            links::Order::PeersOnly => self.connect_through_peers(address).await,
        }
    }

    /// Connects to the server at an address through the router on the VM `via`, unless that router is not live.
    pub async fn connect_via(&self, via: &str, address: &str) -> Result<Established, Error> {
        let peers = self.peers.load_full();
        let Some(peer) = peers.iter().find(|peer| peer.vm == via) else {
            return Err(Error::NoRoute);
        };
        match client::ask(self.incarnation, self.local, peer.clone(), address).await {
            (peer, Ok(stream)) => Ok(Established { stream, via: Some(peer) }),
            (_, Err(client::Error::Refused)) => Err(Error::Refused),
            (_, Err(client::Error::Unresponsive)) => Err(Error::Timeout),
            (peer, Err(_)) => {
                lock(&self.table).record_peer_failed(peer.id, None, self.now_ms());
                Err(Error::NoRoute)
            }
        }
    }

    /// Finds out whether the link to the server at an address is lost, after a poll of its load was not answered.
    pub async fn check_after_poll(&self, address: &str) {
        if !lock(&self.table).take_poll_check(address, self.now_ms()) {
            return;
        }
        if let Err(error) = self.connect(address).await {
            log::debug!(
                "event=link_check_failed server={address} fault={}",
                crate::logging::quoted(error)
            );
        }
    }

    /// Whether this router's own link to the server at an address is lost.
    pub fn is_lost(&self, address: &str) -> bool {
        lock(&self.table).is_lost(address)
    }

    /// The name of the service of the server at an address.
    pub fn service_of(&self, address: &str) -> Option<String> {
        lock(&self.table).service_of(address).map(str::to_owned)
    }

    /// Whether any link to a server is lost.
    pub fn any_lost(&self) -> bool {
        lock(&self.table).any_lost()
    }

    /// Records when data last arrived on an open connection over the own link to a server.
    pub fn record_received(&self, address: &str, at: Instant) {
        let at_ms = at.saturating_duration_since(self.started).as_millis() as u64;
        lock(&self.table).record_received(address, at_ms);
    }

    /// Whether open connections over the own link to a server work, also if new ones fail.
    pub fn open_connections_work(&self, address: &str) -> bool {
        lock(&self.table).open_connections_work(address, self.now_ms())
    }

    /// The address of another server of the same service that is not known to fail; `None` if there is none.
    pub fn another_of_service(&self, address: &str) -> Option<String> {
        lock(&self.table).another_of_service(address, &mut lock(&self.rng))
    }

    /// Sets the live routers that may be asked for connections.
    pub fn set_peers(&self, peers: Vec<links::Peer>) {
        if **self.peers.load() != peers {
            self.peers.store(Arc::new(peers));
        }
    }

    /// Sets the services of the servers in the list, by address.
    pub fn set_services(&self, services: collections::BTreeMap<String, String>) {
        lock(&self.table).set_services(services);
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&self) -> Vec<links::Change> {
        std::mem::take(&mut lock(&self.changes))
    }

    /// The number of connections that this router forwards for others.
    pub fn relayed(&self) -> u64 {
        self.relayed.load(Ordering::Relaxed)
    }

    /// The state for operators.
    pub fn state(&self) -> State {
        let now_ms = self.now_ms();
        let table = lock(&self.table);
        State {
            all_lost_ms: table.all_lost_ms(now_ms),
            lost_ms: table.lost(now_ms).map(|(address, ms)| (address.to_owned(), ms)).collect(),
            relayed_connections: self.relayed(),
        }
    }

    /// Checks lost links, and compares all links when a connection shows that one may be lost. Runs until it is
    /// dropped.
    pub async fn watch(&self) {
        loop {
            if self.any_lost() {
                let _ = time::timeout(CHECK_POLL_INTERVAL, self.comparison_due.notified()).await;
            } else {
                self.comparison_due.notified().await;
            }
            let suspects = std::mem::take(&mut *lock(&self.comparisons));
            for suspect in suspects {
                self.compare(&suspect).await;
            }
            let due = lock(&self.table).checks_due(self.now_ms(), &mut lock(&self.rng));
            self.reach(&due).await;
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn record(&self, change: Option<links::Change>) {
        let Some(change) = change else { return };
        match &change {
            links::Change::Lost(address) => log::warn!("event=link_lost server={address}"),
            links::Change::Restored(address) => log::info!("event=link_restored server={address}"),
            links::Change::ServiceLost { service, .. } => {
                log::warn!("event=service_links_lost service={service}");
            }
            links::Change::ServiceRestored { service, lost_ms, .. } => {
                log::warn!("event=service_links_restored service={service} lost_ms={lost_ms}");
            }
            links::Change::AllLost => log::warn!("event=all_links_lost"),
            links::Change::AllRestored { lost_ms } => {
                log::warn!("event=links_restored lost_ms={lost_ms}");
            }
        }
        let all_lost = lock(&self.table).all_lost();
        self.all_lost.send_if_modified(|current| std::mem::replace(current, all_lost) != all_lost);
        lock(&self.changes).push(change);
    }

    /// Connects over the own link, and records if that succeeds.
    async fn connect_directly(
        &self,
        address: &str,
        target: net::SocketAddr,
        timeout: Duration,
    ) -> Result<TcpStream, Error> {
        let began = Instant::now();
        let connected =
            match time::timeout(timeout, keep_alive::TRAFFIC.connect(target, self.local)).await {
                Err(_) => Err(Error::Timeout),
                Ok(Err(source)) if source.kind() == io::ErrorKind::ConnectionRefused => {
                    Err(Error::Refused)
                }
                Ok(Err(source)) => Err(Error::Failed { source }),
                Ok(Ok(stream)) => Ok(stream),
            };
        let stream = connected.inspect_err(|_| {
            lock(&self.table).record_not_reached(address, self.now_ms());
        })?;
        let took_ms = began.elapsed().as_millis() as u64;
        let change = lock(&self.table).record_reached(address, took_ms, self.now_ms());
        self.record(change);
        Ok(stream)
    }

    /// Returns once all links are lost.
    async fn all_lost(&self) {
        let mut all_lost = self.all_lost.subscribe();
        // The sender lives as long as `self`.
        let _ = all_lost.wait_for(|all_lost| *all_lost).await;
    }

    fn record_lost(&self, address: &str) {
        let change = lock(&self.table).record_lost(address, self.now_ms());
        let lost = change.is_some();
        self.record(change);
        if lost {
            self.request_comparison(address);
        }
    }

    fn request_comparison(&self, address: &str) {
        lock(&self.comparisons).push(address.to_owned());
        self.comparison_due.notify_one();
    }

    /// Finds out whether all links are lost, or all to servers of one service, after the one to the server at `address`
    /// failed.
    async fn compare(&self, address: &str) {
        let comparison =
            lock(&self.table).start_comparison(address, self.now_ms(), &mut lock(&self.rng));
        let Some(links::Comparison { of_service, of_others }) = comparison else { return };
        let own = [address.to_owned()];
        let (own_reached, of_service_reached, of_others_reached) =
            tokio::join!(self.reach(&own), self.reach(&of_service), self.reach(&of_others));
        let service_reached = own_reached == [true] || of_service_reached.contains(&true);
        let change = match (service_reached, of_others_reached.contains(&true)) {
            (false, false) => lock(&self.table).record_none_reached(self.now_ms()),
            (false, true) if !of_service.is_empty() => {
                lock(&self.table).record_service_not_reached(address, self.now_ms())
            }
            _ => None,
        };
        let is_explained = change.is_some();
        self.record(change);
        if is_explained {
            return;
        }
        // Single links may be lost.
        let addresses = of_service.iter().chain(&of_others);
        let compared = addresses.zip(of_service_reached.into_iter().chain(of_others_reached));
        let races = compared.filter(|(_, reached)| !reached).map(|(other, _)| self.connect(other));
        future::join_all(races).await;
    }

    /// Whether this router reaches other servers of the same service over its own links; `None` if there is no other
    /// that tells whether this one fails as in `fault`.
    async fn reaches_others(&self, address: &str, fault: links::ServerFault) -> Option<bool> {
        let others = {
            let table = lock(&self.table);
            table.others_of_service(address, fault, REACHED_OTHERS_MAX, &mut lock(&self.rng))?
        };
        // The first one is the most likely to be reached.
        let (first, others) = others.split_at(others.len().min(1));
        Some(self.reach(first).await == [true] || self.reach(others).await.contains(&true))
    }

    /// How long a connection over the own link may take that shows whether the link works.
    fn reach_timeout(&self, address: &str) -> Duration {
        2 * Duration::from_millis(lock(&self.table).patience_ms(address))
    }

    /// Connects to these servers over the own links; returns which of them were reached.
    async fn reach(&self, addresses: &[String]) -> Vec<bool> {
        let attempts = addresses.iter().map(|address| async move {
            let Ok(target) = address.parse() else { return false };
            self.connect_directly(address, target, self.reach_timeout(address)).await.is_ok()
        });
        future::join_all(attempts).await
    }
}
