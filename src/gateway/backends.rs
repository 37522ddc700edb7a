//! Connections to backend servers. Idle connections are kept for reuse, a limited number for each server; a connection
//! whose exchange did not end cleanly is closed.

use super::{body, history, socket};
use crate::{control, links, logging, probe, snapshot, upstream};
use actix::prelude::Addr;
use bytes::Bytes;
use doorswitch_core::ids;
use doorswitch_platform::answers;
use http::{HeaderMap, header};
use http_body::Body as _;
use http_body_util::Full;
use hyper::client::conn::http1;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::OnceCell;
use tokio::task;

/// How long to wait until an idle connection is ready for the next request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// An idle connection is discarded this long before the server would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);
/// How long an idle connection is kept if the server sends no `Keep-Alive` timeout.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// The number of idle connections that are kept for one server.
const IDLE_MAX: usize = 32;

/// How often a connection that a probe established is checked for its end.
const PROBE_CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A connection that was established less than this before a server's new incarnation is reported may already lead to
/// the new incarnation.
const NEW_INCARNATION_MARGIN: Duration = Duration::from_secs(1);

/// The body of a request to a server.
pub type RequestBody = Full<Bytes>;

/// Why there is no connection to a server.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("cannot connect: {source}"), context(false))]
    Connect { source: links::Error },
    #[snafu(display("the connection failed: {source}"), context(false))]
    Handshake { source: hyper::Error },
}

impl Error {
    /// Whether the connection was refused: nothing listens at the address, so the server process has ended.
    pub fn refused(&self) -> bool {
        matches!(self, Self::Connect { source: links::Error::Refused })
    }

    /// Whether there is no way to the server, which says nothing about the server itself.
    pub fn no_route(&self) -> bool {
        matches!(self, Self::Connect { source: links::Error::NoRoute })
    }
}

/// A connection that is used for one exchange at a time. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    /// The sending side of the HTTP/1 connection.
    pub sender: http1::SendRequest<RequestBody>,
    /// The task that reads from and writes to the socket; aborted when the connection is dropped.
    driver: task::JoinHandle<()>,
    upstream: Upstream,
    /// The router through which the connection leads; `None` if it is direct.
    pub via: Option<Rc<str>>,
    established: Instant,
    handle: Rc<socket::ConnectionHandle>,
    /// The requests that it has carried.
    history: Rc<RefCell<history::History>>,
    /// Whether an earlier exchange used this connection.
    pub used: bool,
    /// How long it may be idle after the exchange; `None` closes it.
    idle_max: Option<Duration>,
    /// Whether the answer ends with it.
    ends_answer: bool,
}

/// A request that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Outgoing<'a> {
    /// Its id.
    pub id: &'a str,
    /// Whether it may be repeated at another server.
    pub repeatable: bool,
}

/// How a connection has been used, as the fields of a log line.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    age: Duration,
    requests: usize,
    /// How often it has carried the id of the present request.
    sends_of_id: usize,
}

impl fmt::Display for Usage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { age, requests, sends_of_id } = self;
        write!(
            formatter,
            "connection_age_ms={} connection_requests={requests} sends_of_id={sends_of_id}",
            age.as_millis()
        )
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    /// The handle by which an exchange learns that the link is lost.
    pub fn handle(&self) -> Rc<socket::ConnectionHandle> {
        self.handle.clone()
    }

    /// Records that a request with this id is sent next.
    pub fn record_sent(&self, id: &str) {
        self.history.borrow_mut().record_sent(id);
    }

    /// Records that the server refused the request that was sent last.
    pub fn record_refused(&self) {
        self.history.borrow_mut().record_refused();
    }

    /// Whether the server refused a request with this id on this connection.
    pub fn was_refused(&self, id: &str) -> bool {
        self.history.borrow().was_refused(id)
    }

    /// How it has been used by the time that it carries a request with this id.
    pub fn usage(&self, id: &str) -> Usage {
        let history = self.history.borrow();
        Usage {
            age: self.established.elapsed(),
            requests: history.len(),
            sends_of_id: history.sends_of(id),
        }
    }

    /// Closes the connection when its exchange ends.
    pub fn close_after_exchange(&mut self) {
        self.idle_max = None;
    }

    /// Whether it leads through another router and is too old to be reused.
    fn is_aged_relay(&self) -> bool {
        self.via.is_some() && self.established.elapsed() >= links::RELAYED_AGE_MAX
    }

    /// Whether the answer has neither a length nor chunks, so that it ends with the connection.
    pub fn ends_answer(&self) -> bool {
        self.ends_answer
    }

    /// Whether the answer may be incomplete although the connection ended without an error: a server ends an answer
    /// without a length in the same way when it stops the run.
    pub fn may_end_early(&self) -> bool {
        self.ends_answer && self.handle.stop_asked()
    }

    /// Reads from an answer how its end is told, and how long the server keeps the connection open.
    pub fn record_answer(&mut self, answer: &Answer) {
        self.ends_answer = answer.body().size_hint().exact().is_none() && !is_chunked(answer);
        self.record_keep_alive(answer.headers());
    }

    fn record_keep_alive(&mut self, headers: &HeaderMap) {
        let closes = headers
            .get(header::CONNECTION)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        let keep_alive = headers.get("keep-alive").and_then(|value| value.to_str().ok());
        let seconds = keep_alive.and_then(|value| {
            let timeout = value.split(',').find_map(|item| item.trim().strip_prefix("timeout="));
            timeout?.trim().parse::<u64>().ok()
        });
        self.idle_max = match (closes, seconds) {
            (true, _) => None,
            (false, Some(seconds)) => Duration::from_secs(seconds).checked_sub(KEEP_ALIVE_MARGIN),
            (false, None) => Some(IDLE_DEFAULT),
        };
    }
}

fn is_chunked(answer: &Answer) -> bool {
    let codings = answer.headers().get_all(header::TRANSFER_ENCODING);
    let last = codings.iter().next_back().and_then(|value| value.to_str().ok());
    let last = last.and_then(|value| value.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// What is logged when a connection fails.
struct ConnectionLog {
    vm: String,
    established: Instant,
    handle: Rc<socket::ConnectionHandle>,
    history: Rc<RefCell<history::History>>,
}

impl ConnectionLog {
    /// Logs an answer that arrived while no request was under way, if that is why the connection failed.
    fn record_failure(&self, error: &hyper::Error) {
        let surplus = self.handle.take_surplus();
        let Some(answer) = answers::decode_surplus(&surplus) else {
            log::debug!("event=server_connection_failed vm={} cause={error}", self.vm);
            return;
        };
        let refused_here = self.history.borrow().was_refused(&answer.id);
        log::info!(
            "event=surplus_answer id={} vm={} status={} states_not_run={} refused_here={refused_here} connection_age_ms={} \
             connection_requests={}",
            logging::quoted(&answer.id),
            self.vm,
            answer.status,
            answer.not_run,
            self.established.elapsed().as_millis(),
            self.history.borrow().len(),
        );
        metrics::counter!("doorswitch_surplus_answers_total").increment(1);
        if refused_here && !answer.not_run {
            log_contradiction(&answer.id, &self.vm, answer.status);
        }
    }
}

/// Logs that a server answered a request after it had stated that the request was not run.
pub fn log_contradiction(id: &str, vm: &str, status: u16) {
    log::warn!("event=refusal_contradicted id={} vm={vm} status={status}", logging::quoted(id));
    metrics::counter!("doorswitch_contradicted_refusals_total").increment(1);
}

/// The server incarnation that a connection leads to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Upstream {
    address: String,
    /// Part of the key because a connection is not valid for another incarnation of the server at the same address.
    incarnation: ids::ServerIncarnation,
}

/// A connection that may be in use, with the means to abort it.
#[derive(Debug)]
struct Open {
    placement: Rc<upstream::Placement>,
    address: Rc<str>,
    service: Option<Rc<str>>,
    /// The router through which the connection leads; `None` if it is direct.
    via: Option<Rc<str>>,
    established: Instant,
    handle: Rc<socket::ConnectionHandle>,
}

/// A connection to a server, in an exchange or idle.
#[derive(Clone, Debug)]
pub struct OpenConnection {
    /// The server, and one of the requests that were sent to it.
    pub placement: Rc<upstream::Placement>,
    /// The address of the server.
    pub address: Rc<str>,
    /// The name of the server's service; `None` if the server was not in the list.
    pub service: Option<Rc<str>>,
    /// The router through which the connection leads; `None` if it is direct.
    pub via: Option<Rc<str>>,
    /// The exchange that uses the connection, if there is one.
    pub exchange: Option<socket::Exchange>,
    /// When data was last received on the connection, or else when it was established.
    pub received_at: Instant,
    handle: Rc<socket::ConnectionHandle>,
}

impl OpenConnection {
    /// Tells the exchange that the link is lost.
    pub fn report_link_lost(&self) {
        self.handle.report_link_lost();
    }

    /// Aborts the connection; its exchange ends as if the server had closed it.
    pub fn abort(&self) {
        self.handle.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Instant,
}

/// The connections of one router to backend servers.
#[derive(Debug)]
pub struct Backends {
    links: Arc<links::Links>,
    /// The number of open connections from which on none is kept idle.
    connections_max: usize,
    idle: RefCell<HashMap<Upstream, Vec<Idle>>>,
    /// All connections, idle ones included, so that those to earlier server incarnations can be aborted.
    open: RefCell<Vec<Open>>,
    /// Running probes, whose result concurrent callers share.
    probes: RefCell<HashMap<Upstream, Rc<OnceCell<probe::ProbeResult>>>>,
    /// Tasks that check for a while whether connections that probes established stay open.
    probe_watches: RefCell<task::JoinSet<()>>,
}

impl Backends {
    /// Starts without connections; new ones are made over `links`, and none is kept idle while `connections_max` are
    /// open.
    pub fn new(links: Arc<links::Links>, connections_max: usize) -> Self {
        Self {
            links,
            connections_max,
            idle: Default::default(),
            open: Default::default(),
            probes: Default::default(),
            probe_watches: Default::default(),
        }
    }

    /// Returns a connection to a server for one exchange: an idle one if there is one that the request may use and
    /// `new_only` is not set, otherwise a new one.
    pub async fn connect(
        &self,
        placement: &upstream::Placement,
        new_only: bool,
        request: Outgoing<'_>,
    ) -> Result<Connection, Error> {
        let Outgoing { id, repeatable } = request;
        let address = &placement.address;
        let upstream = Upstream { address: address.clone(), incarnation: placement.incarnation };
        while let Some(mut connection) =
            (!new_only).then(|| self.take_idle(&upstream, id)).flatten()
        {
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                connection.handle.begin_exchange(repeatable);
                return Ok(connection);
            }
        }
        self.connect_anew(placement, repeatable).await
    }

    /// Returns a new connection to a server for one exchange. `repeatable` is whether the request may be repeated at another
    /// server.
    pub async fn connect_anew(
        &self,
        placement: &upstream::Placement,
        repeatable: bool,
    ) -> Result<Connection, Error> {
        let established = self.links.connect(&placement.address).await?;
        let connection = self.start_http(established, placement).await?;
        connection.handle.begin_exchange(repeatable);
        Ok(connection)
    }

    /// Returns a new connection to a server for one exchange after another connection was lost: one through another
    /// router, or over the own link if no other router provides one.
    pub async fn connect_around_link(
        &self,
        placement: &upstream::Placement,
        repeatable: bool,
    ) -> Result<Connection, Error> {
        let address = &placement.address;
        let established = match self.links.connect_through_peers(address).await {
            Ok(established) => established,
            Err(_) => self.links.connect(address).await?,
        };
        let connection = self.start_http(established, placement).await?;
        connection.handle.begin_exchange(repeatable);
        Ok(connection)
    }

    /// Starts an HTTP client on an established connection.
    async fn start_http(
        &self,
        connected: links::Established,
        placement: &upstream::Placement,
    ) -> Result<Connection, Error> {
        let upstream =
            Upstream { address: placement.address.clone(), incarnation: placement.incarnation };
        let socket = socket::Socket::new(connected.stream);
        let handle = Rc::new(socket.handle());
        let via = connected.via.map(|peer| Rc::from(peer.vm));
        let established = Instant::now();
        self.open.borrow_mut().push(Open {
            placement: Rc::new(placement.clone()),
            address: Rc::from(placement.address.as_str()),
            service: self.links.service_of(&placement.address).map(Rc::from),
            via: via.clone(),
            established,
            handle: handle.clone(),
        });
        let (sender, driver) = http1::handshake::<_, RequestBody>(socket).await?;
        let history = Rc::<RefCell<history::History>>::default();
        let connection_log = ConnectionLog {
            vm: placement.vm.clone(),
            established,
            handle: handle.clone(),
            history: history.clone(),
        };
        let driver = task::spawn_local(async move {
            if let Err(error) = driver.await {
                connection_log.record_failure(&error);
            }
        });
        Ok(Connection {
            sender,
            driver,
            upstream,
            via,
            established,
            handle,
            history,
            used: false,
            idle_max: None,
            ends_answer: false,
        })
    }

    /// Probes whether a server still accepts connections. Concurrent callers share one probe and its result. The
    /// connection that the probe establishes is kept for the next request and so replaces the one that ended.
    pub async fn probe(
        &self,
        placement: &upstream::Placement,
        control: &Addr<control::Control>,
    ) -> probe::ProbeResult {
        let upstream =
            Upstream { address: placement.address.clone(), incarnation: placement.incarnation };
        let shared = self.probes.borrow_mut().entry(upstream.clone()).or_default().clone();
        let result = *shared.get_or_init(|| self.run_probe(placement, control)).await;
        let mut probes = self.probes.borrow_mut();
        if probes.get(&upstream).is_some_and(|current| Rc::ptr_eq(current, &shared)) {
            probes.remove(&upstream);
        }
        result
    }

    async fn run_probe(
        &self,
        placement: &upstream::Placement,
        control: &Addr<control::Control>,
    ) -> probe::ProbeResult {
        let lost = Instant::now();
        let others_open = || self.has_connection_before(placement, lost);
        let (result, established) =
            probe::probe(&placement.address, &self.links, others_open).await;
        let Some(established) = established else { return result };
        let Ok(connection) = self.start_http(established, placement).await else { return result };
        let handle = connection.handle.clone();
        self.keep_new_idle(connection);
        let ended = async move {
            while handle.in_use() {
                tokio::time::sleep(PROBE_CONNECTION_CHECK_INTERVAL).await;
            }
        };
        let (control, address) = (control.clone(), placement.address.clone());
        let links = self.links.clone();
        let watch = probe::watch_connection(control, placement.server(), address, links, ended);
        let mut probe_watches = self.probe_watches.borrow_mut();
        while probe_watches.try_join_next().is_some() {}
        probe_watches.spawn_local(watch);
        result
    }

    /// Whether a connection to the server that was established before `moment` is still in use.
    fn has_connection_before(&self, placement: &upstream::Placement, moment: Instant) -> bool {
        self.open.borrow().iter().any(|open| {
            let same = open.placement.vm == placement.vm
                && open.placement.incarnation == placement.incarnation;
            same && open.established < moment && open.handle.in_use()
        })
    }

    /// Keeps a connection that was not used for an exchange yet.
    fn keep_new_idle(&self, mut connection: Connection) {
        connection.idle_max = Some(IDLE_DEFAULT);
        self.keep_idle(connection);
    }

    /// Connects to a server anew after a connection ended, for the next request. Returns `false` if the server refuses it,
    /// which means that its process has ended.
    pub async fn replace_ended(&self, placement: &upstream::Placement) -> bool {
        match self.connect_anew(placement, false).await {
            Ok(connection) => {
                self.keep_new_idle(connection);
                true
            }
            Err(error) => !error.refused(),
        }
    }

    /// Keeps a connection on which nothing of its exchange was sent.
    pub fn keep_unsent(&self, connection: Connection) {
        match connection.used {
            true => self.keep_idle(connection),
            false => self.keep_new_idle(connection),
        }
    }

    /// Keeps a connection for reuse after its exchange ended cleanly, or closes it if it may not be idle or there are
    /// `IDLE_MAX` idle ones already.
    pub fn keep_idle(&self, mut connection: Connection) {
        connection.handle.end_exchange();
        let Some(idle_max) = connection.idle_max else { return };
        if connection.history.borrow().is_full() || self.is_full() {
            return;
        }
        connection.used = true;
        let mut idle = self.idle.borrow_mut();
        let idle_connections = idle.entry(connection.upstream.clone()).or_default();
        if idle_connections.len() < IDLE_MAX {
            idle_connections.push(Idle { connection, expires: Instant::now() + idle_max });
        }
    }

    fn is_full(&self) -> bool {
        let mut open = self.open.borrow_mut();
        if open.len() < self.connections_max {
            return false;
        }
        open.retain(|open| open.handle.in_use());
        open.len() >= self.connections_max
    }

    /// All connections, if an exchange waits on any of them; otherwise none.
    pub fn connections_if_waiting(&self) -> Vec<OpenConnection> {
        let open = self.open.borrow();
        if open.iter().all(|open| open.handle.exchange().is_none()) {
            return Vec::new();
        }
        let connections = open.iter().filter_map(|open| {
            Some(OpenConnection {
                exchange: open.handle.exchange(),
                received_at: open.handle.received_at()?,
                placement: open.placement.clone(),
                address: open.address.clone(),
                service: open.service.clone(),
                via: open.via.clone(),
                handle: open.handle.clone(),
            })
        });
        connections.collect()
    }

    /// The links over which new connections are made.
    pub fn links(&self) -> &links::Links {
        &self.links
    }

    /// Connects to a server to find out whether the way `via` works, and keeps the connection for the next request.
    /// Returns whether it does.
    pub async fn check_way(&self, placement: &upstream::Placement, via: Option<&str>) -> bool {
        let connected = match via {
            None => self.links.connect(&placement.address).await,
            Some(via) => self.links.connect_via(via, &placement.address).await,
        };
        let established = match connected {
            Ok(established) => established,
            Err(links::Error::NoRoute) => return false,
            // The way led to the server, which failed.
            Err(_) => return true,
        };
        if let Ok(connection) = self.start_http(established, placement).await {
            self.keep_new_idle(connection);
        }
        true
    }

    /// Whether something has arrived from a server on a connection of the way `via` since `moment`.
    pub fn has_received_since(
        &self,
        placement: &upstream::Placement,
        via: Option<&str>,
        moment: Instant,
    ) -> bool {
        self.open.borrow().iter().any(|open| {
            let same = open.placement.vm == placement.vm
                && open.placement.incarnation == placement.incarnation
                && open.via.as_deref() == via;
            same && open
                .handle
                .received_at()
                .is_some_and(|at| at >= moment && at > open.established)
        })
    }

    /// Whether the own link to a server is lost, if the way `via` is the own link. The state of a way through another
    /// router is not known here.
    pub fn is_way_lost(&self, placement: &upstream::Placement, via: Option<&str>) -> bool {
        via.is_none() && self.links.is_lost(&placement.address)
    }

    /// Closes the idle connections that lead through a router.
    pub fn close_idle_via(&self, via: &str) {
        for idle_connections in self.idle.borrow_mut().values_mut() {
            idle_connections.retain(|idle| idle.connection.via.as_deref() != Some(via));
        }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, placement: &upstream::Placement) {
        let upstream =
            Upstream { address: placement.address.clone(), incarnation: placement.incarnation };
        self.idle.borrow_mut().remove(&upstream);
    }

    /// Closes idle connections that have expired, and removes records of connections that are no longer in use.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        for idle_connections in idle.values_mut() {
            idle_connections.retain(|idle| {
                let open = now < idle.expires && !idle.connection.sender.is_closed();
                open && !idle.connection.is_aged_relay()
            });
        }
        idle.retain(|_, idle_connections| !idle_connections.is_empty());
        self.open.borrow_mut().retain(|open| open.handle.in_use());
    }

    /// Aborts the connections to earlier incarnations of servers. Requests on them end as if the server had crashed,
    /// also if its machine stopped responding and the connection would otherwise stay open.
    pub fn abort_earlier_incarnations(&self, current: &snapshot::ServerIncarnations) {
        for open in self.open.borrow().iter() {
            let earlier = current
                .get(&open.placement.vm)
                .is_some_and(|current| *current > open.placement.incarnation);
            if earlier && open.established.elapsed() >= NEW_INCARNATION_MARGIN {
                open.handle.abort();
            }
        }
    }

    fn take_idle(&self, upstream: &Upstream, id: &str) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle_connections = idle.get_mut(upstream)?;
        let now = Instant::now();
        idle_connections.retain(|idle| now < idle.expires && !idle.connection.sender.is_closed());
        // The server is the least likely to have closed the connection that was used last.
        let last = idle_connections.iter().rposition(|idle| {
            idle.connection.history.borrow().allows(id) && self.may_reuse(&idle.connection)
        })?;
        Some(idle_connections.remove(last).connection)
    }

    /// Whether the way of an idle connection still works.
    fn may_reuse(&self, connection: &Connection) -> bool {
        match connection.via {
            None => self.links.open_connections_work(&connection.upstream.address),
            Some(_) => !connection.is_aged_relay(),
        }
    }
}

/// A server's answer, with its body still to be read.
pub type Answer = http::Response<hyper::body::Incoming>;
/// The response to a client.
pub type Response = http::Response<body::Body>;
