//! Runs one router: binds its addresses, starts its threads, and joins them at a planned stop.

use crate::{
    answers, clock, control, descriptors, front, gateway, links, logging, operator, reload,
    settings, snapshot, telemetry,
};
use actix::prelude::{Actor, Addr, Arbiter};
use actix_web::{App, HttpServer, dev};
use doorswitch_core::ids;
use snafu::ResultExt;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use std::{io, net};

/// The time between two checks of whether a planned stop has finished.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The part of the time for a stop that is reserved for returning the grants.
const STOP_RESERVE: Duration = Duration::from_millis(1_000);
/// The time between two log lines on the answers that a stop waits for.
const STOP_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Why a router could not run or stop as planned.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("cannot listen for {purpose} at {address}: {source}"))]
    Listen { purpose: &'static str, address: net::SocketAddr, source: io::Error },
    #[snafu(display("cannot start: {source}"))]
    Start { source: io::Error },
    #[snafu(display(
        "the planned stop took longer than {grace_s} s; {open_answers} answers were cut off"
    ))]
    StopTooLong { grace_s: u64, open_answers: u64 },
}

/// Requests the planned stop of a running router.
#[derive(Clone, Debug)]
pub struct StopHandle(Arc<tokio::sync::Notify>);

impl Default for StopHandle {
    fn default() -> Self {
        Self(Arc::new(tokio::sync::Notify::new()))
    }
}

impl StopHandle {
    /// Starts the planned stop.
    pub fn stop(&self) {
        self.0.notify_one();
    }
}

/// Runs a router until the planned stop that a signal or `stop` requests has finished. `file` is the settings file to
/// watch for changes, if there is one.
pub fn run(
    settings: settings::Settings,
    file: Option<PathBuf>,
    stop: StopHandle,
) -> Result<(), Error> {
    telemetry::start();
    let shares = descriptors::Shares::of(descriptors::raise_limit());
    let limits = &settings.limits;
    // All addresses are bound before anything starts, so that a second process at the same address fails here.
    let sockets = bind_peers(&settings)?;
    // Rounded up: the address was bound by then.
    let address_bound_ms = clock::machine_time_ms().map(|now_ms| now_ms + 1);
    let callers = settings
        .callers
        .as_ref()
        .map(|callers| bind("callers", callers.listen, limits))
        .transpose()?;
    let clients = settings
        .gateway
        .as_ref()
        .map(|gateway| bind("clients", gateway.listen, limits))
        .transpose()?;
    let operators = bind("operators", settings.operators.listen, limits)?;
    let settings = Arc::new(settings);
    let published = Arc::new(snapshot::Published::default());
    let incarnation = ids::Incarnation(rand::random());
    log_start(&settings, incarnation);
    let links = Arc::new(links::Links::new(&settings, incarnation));
    let system = actix::System::new();
    let parts = control::Parts {
        settings: settings.clone(),
        published: published.clone(),
        sockets,
        address_bound_ms,
        incarnation,
        links: links.clone(),
    };
    system.block_on(async move {
        // The callers' API is served on threads of its own; the control actor then has one too.
        let arbiter = settings.callers.is_some().then(Arbiter::new);
        let control = match &arbiter {
            Some(arbiter) => start_control(arbiter, parts)?,
            None => control::Control::new(parts).start(),
        };
        let watching_links = actix::spawn({
            let links = links.clone();
            async move { links.watch().await }
        });
        let shared = front::Shared {
            control: control.clone(),
            links,
            published,
            settings: settings.clone(),
            answers: answers::Table::default(),
            answer_memory: Default::default(),
        };
        let mut running = vec![serve_operators(operators, shared.clone()).context(StartSnafu)?];
        if let Some(callers) = callers {
            running.push(serve_callers(callers, shared.clone(), shares).context(StartSnafu)?);
        }
        let handles: Vec<dev::ServerHandle> = running.iter().map(dev::Server::handle).collect();
        let servers: Vec<_> = running.into_iter().map(actix_web::rt::spawn).collect();
        if let Some(file) = file {
            actix::spawn(reload::follow(file, control.clone()));
        }
        let gateway = clients.map(|listener| start_gateway(listener, &shared, shares));
        let watching = gateway.as_ref().map(|(gateway, _)| {
            tokio::task::spawn_local(gateway::watch_silence_and_lag(gateway.clone()))
        });
        wait_for_stop(&stop).await;
        let stop_started = Instant::now();
        shared.published.set_draining();
        if let Some((gateway, serving)) = gateway {
            drain_gateway(&gateway, &shared, stop_started).await;
            let _ = serving.await;
        }
        drain_relayed(&shared, stop_started).await;
        watching_links.abort();
        if let Some(watching) = watching {
            watching.abort();
        }
        control.do_send(control::Stop);
        let result = wait_until_stopped(&shared, stop_started).await;
        for handle in handles {
            handle.stop(true).await;
        }
        for server in servers {
            let _ = server.await;
        }
        if let Some(arbiter) = arbiter {
            arbiter.stop();
            let _ = arbiter.join();
        }
        log::info!("event=stopped");
        result
    })
}

fn start_control(
    arbiter: &Arbiter,
    parts: control::Parts,
) -> Result<Addr<control::Control>, Error> {
    let (sender, receiver) = mpsc::channel();
    arbiter.spawn_fn(move || {
        let control = control::Control::new(parts).start();
        let _ = sender.send(control);
    });
    receiver.recv().map_err(io::Error::other).context(StartSnafu)
}

fn serve_callers(
    listener: net::TcpListener,
    shared: front::Shared,
    shares: descriptors::Shares,
) -> io::Result<dev::Server> {
    let settings = shared.settings.clone();
    let traffic_threads = settings.callers.as_ref().map_or(1, |callers| callers.traffic_threads);
    let share = (shares.clients / traffic_threads as usize).max(1);
    let server = HttpServer::new(move || {
        let shared = shared.clone();
        App::new().configure(move |config| front::routes(config, shared))
    });
    let server = server
        .workers(traffic_threads as usize)
        .max_connections(share.min(settings.limits.connections_max as usize))
        .client_request_timeout(Duration::from_millis(settings.limits.head_read_ms))
        .tcp_nodelay(true)
        .disable_signals()
        .shutdown_timeout(5)
        .listen(listener)?;
    Ok(server.run())
}

/// The task that serves the clients of the routes.
type GatewayTask = tokio::task::JoinHandle<io::Result<()>>;

fn start_gateway(
    listener: net::TcpListener,
    shared: &front::Shared,
    shares: descriptors::Shares,
) -> (Rc<gateway::Gateway>, GatewayTask) {
    let gateway = Rc::new(gateway::Gateway::new(
        shared.control.clone(),
        shared.published.clone(),
        shared.links.clone(),
        shared.answer_memory.clone(),
        shares,
    ));
    let serving = tokio::task::spawn_local(gateway::serve(listener, gateway.clone()));
    (gateway, serving)
}

/// Accepts connections until the load balancer has had time to exclude this router, then waits until the open answers
/// have ended.
async fn drain_gateway(gateway: &gateway::Gateway, shared: &front::Shared, stop_started: Instant) {
    let drain_ms = shared.settings.gateway.as_ref().map_or(0, |gateway| gateway.drain_ms);
    gateway.enter(gateway::Phase::Draining);
    tokio::time::sleep(Duration::from_millis(drain_ms)).await;
    gateway.enter(gateway::Phase::Closing);
    let grace = Duration::from_secs(shared.settings.limits.stop_grace_s);
    let wait_max = grace.saturating_sub(STOP_RESERVE);
    while gateway.open_answers() > 0 && stop_started.elapsed() < wait_max {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Waits until no connection is forwarded for another router.
async fn drain_relayed(shared: &front::Shared, stop_started: Instant) {
    let grace = Duration::from_secs(shared.settings.limits.stop_grace_s);
    let wait_max = grace.saturating_sub(STOP_RESERVE);
    while shared.links.relayed() > 0 && stop_started.elapsed() < wait_max {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

fn serve_operators(listener: net::TcpListener, shared: front::Shared) -> io::Result<dev::Server> {
    let server = HttpServer::new(move || {
        let shared = shared.clone();
        App::new().configure(move |config| operator::routes(config, shared))
    });
    Ok(server
        .workers(1)
        .tcp_nodelay(true)
        .disable_signals()
        .shutdown_timeout(1)
        .listen(listener)?
        .run())
}

fn address_text(address: Option<net::SocketAddr>) -> String {
    address.map_or_else(|| "none".to_owned(), |address| address.to_string())
}

async fn wait_for_stop(stop: &StopHandle) {
    use tokio::signal::unix;
    let terminate = unix::signal(unix::SignalKind::terminate());
    let terminated = async {
        match terminate {
            Ok(mut signal) => {
                signal.recv().await;
            }
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        () = terminated => {}
        _ = tokio::signal::ctrl_c() => {}
        () = stop.0.notified() => {}
    }
}

/// Waits until the core has stopped and every answer has ended; fails when the time for a stop has passed.
async fn wait_until_stopped(shared: &front::Shared, stop_started: Instant) -> Result<(), Error> {
    let grace_s = shared.settings.limits.stop_grace_s;
    let mut logged = stop_started;
    loop {
        let open_answers = shared.published.open_answers();
        if shared.published.stopped() && open_answers == 0 {
            return Ok(());
        }
        if stop_started.elapsed() >= Duration::from_secs(grace_s) {
            log::error!("event=stop_too_long open_answers={open_answers}");
            return StopTooLongSnafu { grace_s, open_answers }.fail();
        }
        if logged.elapsed() >= STOP_LOG_INTERVAL {
            logged = Instant::now();
            log::info!("event=stop_waits open_answers={open_answers}");
        }
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

fn bind(
    purpose: &'static str,
    address: net::SocketAddr,
    limits: &settings::Limits,
) -> Result<net::TcpListener, Error> {
    let listener = net::TcpListener::bind(address).context(ListenSnafu { purpose, address })?;
    // The standard library listens with a backlog of 128, which the second call replaces.
    let backlog = i32::try_from(limits.listen_backlog).unwrap_or(i32::MAX);
    let socket = socket2::SockRef::from(&listener);
    socket.listen(backlog).context(ListenSnafu { purpose, address })?;
    Ok(listener)
}

fn bind_peers(settings: &settings::Settings) -> Result<(net::TcpListener, net::UdpSocket), Error> {
    let address = settings.peers.listen;
    let listener = bind("peers", address, &settings.limits)?;
    let bound = listener.local_addr().context(ListenSnafu { purpose: "peers", address })?;
    let datagrams =
        net::UdpSocket::bind(bound).context(ListenSnafu { purpose: "peers", address })?;
    Ok((listener, datagrams))
}

fn log_start(settings: &settings::Settings, incarnation: ids::Incarnation) {
    log::info!(
        "event=started vm={} region={} failure_domain={} incarnation={incarnation} callers={} clients={} \
         operators={} peers={} platform={}",
        settings.vm,
        settings.region,
        settings.failure_domain,
        address_text(settings.callers.as_ref().map(|callers| callers.listen)),
        address_text(settings.gateway.as_ref().map(|gateway| gateway.listen)),
        settings.operators.listen,
        settings.advertised(),
        logging::quoted(&settings.platform.url),
    );
}
