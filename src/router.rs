//! Runs one router: binds its addresses, starts its threads, and joins them at a planned stop.

use crate::{answers, control, front, logging, operator, settings, snapshot, telemetry};
use actix::prelude::{Actor, Addr, Arbiter};
use actix_web::{App, HttpServer, dev};
use doorswitch_core::ids;
use snafu::ResultExt;
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};
use std::{io, net};

/// How often a stopping router looks whether it is done.
const STOP_POLL: Duration = Duration::from_millis(50);
/// How often a stopping router logs what it still waits for.
const STOP_LOG_EVERY: Duration = Duration::from_secs(5);

/// Why a router could not run.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("cannot listen for {purpose} at {address}: {source}"))]
    Listen { purpose: &'static str, address: net::SocketAddr, source: io::Error },
    #[snafu(display("cannot start: {source}"))]
    Start { source: io::Error },
    #[snafu(display("the planned stop took longer than {grace_s} s; {open_answers} answers cut"))]
    StopTooLong { grace_s: u64, open_answers: u64 },
}

/// What asks a running router to stop.
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

/// Runs until a signal or `stop` asks for a planned stop, and that is done.
pub fn run(settings: settings::Settings, stop: StopHandle) -> Result<(), Error> {
    telemetry::start();
    // Every address is bound before anything starts: a second process at an address fails here.
    let sockets = bind_peers(&settings)?;
    let callers = bind("callers", settings.callers.listen)?;
    let operators = bind("operators", settings.operators.listen)?;
    let settings = Arc::new(settings);
    let published = Arc::new(snapshot::Published::default());
    let incarnation = ids::Incarnation(rand::random());
    log_start(&settings, incarnation);
    let system = actix::System::new();
    let parts = control::Parts {
        settings: settings.clone(),
        published: published.clone(),
        sockets,
        incarnation,
    };
    system.block_on(async move {
        let arbiter = Arbiter::new();
        let control = start_control(&arbiter, parts)?;
        let shared = front::Shared {
            control: control.clone(),
            published,
            settings: settings.clone(),
            answers: answers::Table::default(),
        };
        let front = serve_callers(callers, shared.clone()).context(StartSnafu)?;
        let office = serve_operators(operators, shared.clone()).context(StartSnafu)?;
        let handles = [front.handle(), office.handle()];
        let servers = [actix_web::rt::spawn(front), actix_web::rt::spawn(office)];
        wait_for_stop(&stop).await;
        control.do_send(control::Stop);
        let result = wait_until_stopped(&shared).await;
        for handle in handles {
            handle.stop(true).await;
        }
        for server in servers {
            let _ = server.await;
        }
        arbiter.stop();
        let _ = arbiter.join();
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

fn serve_callers(listener: net::TcpListener, shared: front::Shared) -> io::Result<dev::Server> {
    let settings = shared.settings.clone();
    let server = HttpServer::new(move || {
        let shared = shared.clone();
        App::new().configure(move |config| front::routes(config, shared))
    });
    let server = server
        .workers(settings.callers.traffic_threads as usize)
        .max_connections(settings.limits.connections_max as usize)
        .client_request_timeout(Duration::from_millis(settings.limits.head_read_ms))
        .tcp_nodelay(true)
        .disable_signals()
        .shutdown_timeout(5)
        .listen(listener)?;
    Ok(server.run())
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

/// Waits until everything is handed back and every answer was given.
async fn wait_until_stopped(shared: &front::Shared) -> Result<(), Error> {
    let grace_s = shared.settings.limits.stop_grace_s;
    let began = Instant::now();
    let mut logged = began;
    loop {
        let open_answers = shared.published.open_answers();
        if shared.published.stopped() && open_answers == 0 {
            return Ok(());
        }
        if began.elapsed() >= Duration::from_secs(grace_s) {
            log::error!("event=stop_too_long open_answers={open_answers}");
            return StopTooLongSnafu { grace_s, open_answers }.fail();
        }
        if logged.elapsed() >= STOP_LOG_EVERY {
            logged = Instant::now();
            log::info!("event=stop_waits open_answers={open_answers}");
        }
        tokio::time::sleep(STOP_POLL).await;
    }
}

fn bind(purpose: &'static str, address: net::SocketAddr) -> Result<net::TcpListener, Error> {
    net::TcpListener::bind(address).context(ListenSnafu { purpose, address })
}

fn bind_peers(settings: &settings::Settings) -> Result<(net::TcpListener, net::UdpSocket), Error> {
    let address = settings.peers.listen;
    let listener = bind("peers", address)?;
    let bound = listener.local_addr().context(ListenSnafu { purpose: "peers", address })?;
    let datagrams =
        net::UdpSocket::bind(bound).context(ListenSnafu { purpose: "peers", address })?;
    Ok((listener, datagrams))
}

fn log_start(settings: &settings::Settings, incarnation: ids::Incarnation) {
    log::info!(
        "event=started vm={} region={} failure_domain={} incarnation={incarnation} callers={} \
         operators={} peers={} platform={}",
        settings.vm,
        settings.region,
        settings.failure_domain,
        settings.callers.listen,
        settings.operators.listen,
        settings.advertised(),
        logging::quoted(&settings.platform.url),
    );
}
