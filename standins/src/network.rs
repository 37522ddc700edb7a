//! A faulty network: a proxy for connections and datagrams that can cut, silence and delay them.
//!
//! A source is told by its loopback address, so that one proxy before each process is enough to cut
//! any pair of them.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::time::Duration;
use std::{io, thread};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::{net, sync, time};

/// What the network does to a proxy's traffic.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Sources that do not get through; their open connections are reset.
    pub cut: HashSet<IpAddr>,
    /// Nothing gets through.
    pub cut_all: bool,
    /// What is sent on connections waits, and arrives when this is over; meanwhile the kernel acknowledges it.
    pub stalled: bool,
    /// Added to everything that passes, one way.
    pub delay_ms: u64,
    /// What one connection passes on in a second, one way; 0 for no limit.
    pub bytes_per_s: u64,
    /// Of a hundred datagrams, so many are lost.
    pub lose_datagrams_percent: u64,
}

impl Faults {
    fn blocks(&self, source: IpAddr) -> bool {
        self.cut_all || self.cut.contains(&source)
    }
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens, for connections and datagrams alike.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<thread::JoinHandle<()>>,
}

/// A socket filter that drops every segment: nothing that arrives is acknowledged any more.
const DROP_ALL: socket2::SockFilter = socket2::SockFilter::new(BPF_RETURN, 0, 0, 0);
/// The instruction that ends a classic socket filter; its operand says how many bytes pass.
const BPF_RETURN: u16 = 0x06;

#[derive(Debug)]
struct Shared {
    faults: Mutex<Faults>,
    /// How often the open connections were silenced.
    silences: AtomicU64,
    /// How often the open connections were made to swallow what they carry.
    swallows: AtomicU64,
    target: Mutex<Option<SocketAddr>>,
    stop: sync::Notify,
}

impl Shared {
    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn target(&self) -> Option<SocketAddr> {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Proxy {
    /// Starts a proxy on a free port of `ip`. Nothing passes until it has a target.
    pub fn start(ip: IpAddr, target: Option<SocketAddr>) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            faults: Mutex::default(),
            silences: AtomicU64::new(0),
            swallows: AtomicU64::new(0),
            target: Mutex::new(target),
            stop: sync::Notify::new(),
        });
        let (sender, receiver) = mpsc::channel();
        let inner = shared.clone();
        let thread = thread::spawn(move || {
            let system = actix_web::rt::System::new();
            system.block_on(run(ip, inner, sender));
        });
        let address = receiver.recv().map_err(io::Error::other)??;
        Ok(Self { address, shared, thread: Some(thread) })
    }

    /// Says where traffic goes.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    /// Changes the faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.faults() = faults;
    }

    /// Lets all connections that are open go silent for good: nothing passes, nothing is acknowledged and nothing is
    /// closed. New ones work.
    pub fn silence_connections(&self) {
        self.shared.silences.fetch_add(1, Ordering::Relaxed);
    }

    /// Lets all connections that are open swallow what is sent on them: it is acknowledged and passed on to nobody, and
    /// nothing is closed. New ones work.
    pub fn swallow_connections(&self) {
        self.shared.swallows.fetch_add(1, Ordering::Relaxed);
    }

    /// Changes some of the faults.
    pub fn change(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.stop.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn run(ip: IpAddr, shared: Arc<Shared>, sender: mpsc::Sender<io::Result<SocketAddr>>) {
    let bound = bind(ip).await;
    let (listener, socket) = match bound {
        Ok(bound) => bound,
        Err(error) => {
            let _ = sender.send(Err(error));
            return;
        }
    };
    let _ = sender.send(listener.local_addr());
    let connections = accept(listener, shared.clone());
    let datagrams = relay_datagrams(socket, shared.clone());
    tokio::select! {
        () = connections => {}
        () = datagrams => {}
        () = shared.stop.notified() => {}
    }
}

async fn bind(ip: IpAddr) -> io::Result<(net::TcpListener, net::UdpSocket)> {
    let mut last = io::Error::other("no port");
    for _ in 0..50 {
        let listener = net::TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        match net::UdpSocket::bind(address).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => last = error,
        }
    }
    Err(last)
}

async fn accept(listener: net::TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((inbound, source)) = listener.accept().await else { continue };
        let shared = shared.clone();
        actix_web::rt::spawn(async move {
            let Some(target) = shared.target() else { return };
            if shared.faults().blocks(source.ip()) {
                return;
            }
            until_flowing(&shared).await;
            // The target sees the true source's address.
            let Ok(outbound) = connect_from(source.ip(), target).await else { return };
            relay(inbound, outbound, source.ip(), &shared).await;
        });
    }
}

async fn connect_from(source: IpAddr, target: SocketAddr) -> io::Result<net::TcpStream> {
    let socket = net::TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(target).await
}

async fn relay(
    mut inbound: net::TcpStream,
    mut outbound: net::TcpStream,
    source: IpAddr,
    shared: &Shared,
) {
    let silences = shared.silences.load(Ordering::Relaxed);
    let swallows = shared.swallows.load(Ordering::Relaxed);
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let end = {
        let (from_caller, to_caller) = inbound.split();
        let (from_target, to_target) = outbound.split();
        tokio::select! {
            () = pump(from_caller, to_target, source, shared) => End::Closed,
            () = pump(from_target, to_caller, source, shared) => End::Closed,
            () = until_cut(source, shared) => End::Closed,
            () = until_counted(silences, &shared.silences) => End::Silent,
            () = until_counted(swallows, &shared.swallows) => End::Swallows,
        }
    };
    match end {
        End::Closed => {}
        End::Silent => {
            for end in [&inbound, &outbound] {
                let _ = socket2::SockRef::from(end).attach_filter(&[DROP_ALL]);
            }
            std::future::pending::<()>().await;
        }
        End::Swallows => {
            let (from_caller, _to_caller) = inbound.split();
            let (from_target, _to_target) = outbound.split();
            tokio::join!(swallow(from_caller), swallow(from_target));
        }
    }
}

/// How a connection stops passing on what it carries.
enum End {
    Closed,
    Silent,
    Swallows,
}

async fn until_counted(known: u64, count: &AtomicU64) {
    while count.load(Ordering::Relaxed) == known {
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// What is passed on at once.
const CHUNK_BYTES: usize = 16 << 10;

/// Reads to the end and passes nothing on.
async fn swallow(mut from: net::tcp::ReadHalf<'_>) {
    let mut buffer = vec![0; 64 << 10];
    while matches!(from.read(&mut buffer).await, Ok(length) if length > 0) {}
}

async fn pump(
    mut from: net::tcp::ReadHalf<'_>,
    mut to: net::tcp::WriteHalf<'_>,
    source: IpAddr,
    shared: &Shared,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        let faults = shared.faults().clone();
        if faults.delay_ms > 0 {
            time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.bytes_per_s > 0 {
            time::sleep(Duration::from_secs_f64(length as f64 / faults.bytes_per_s as f64)).await;
        }
        until_flowing(shared).await;
        if length == 0 || shared.faults().blocks(source) {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

async fn until_flowing(shared: &Shared) {
    while shared.faults().stalled {
        time::sleep(Duration::from_millis(5)).await;
    }
}

async fn until_cut(source: IpAddr, shared: &Shared) {
    while !shared.faults().blocks(source) {
        time::sleep(Duration::from_millis(20)).await;
    }
}

async fn relay_datagrams(socket: net::UdpSocket, shared: Arc<Shared>) {
    let mut buffer = vec![0; 64 << 10];
    let mut count = 0_u64;
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else { continue };
        let Some(target) = shared.target() else { continue };
        let faults = shared.faults().clone();
        count += 1;
        let lost = (count * faults.lose_datagrams_percent) / 100
            > ((count - 1) * faults.lose_datagrams_percent) / 100;
        if faults.blocks(source.ip()) || lost {
            continue;
        }
        let _ = socket.send_to(&buffer[..length], target).await;
    }
}
