//! A faulty network: a proxy for TCP connections and UDP datagrams that can block, blackhole, delay and throttle them.
//!
//! A source is identified by its loopback address, so that one proxy in front of each process is enough to cut the
//! network between any two of them.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::time::Duration;
use std::{io, thread};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::{net, sync, time};

/// The faults of a proxy's traffic.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Sources whose traffic is blocked; their open connections are closed.
    pub cut: HashSet<IpAddr>,
    /// Whether the traffic of all sources is blocked.
    pub cut_all: bool,
    /// Sources whose segments are dropped: new connections hang, and open ones go silent or are reset.
    pub dropped: HashMap<IpAddr, OpenConnections>,
    /// Whether data on connections is held until this is reset; meanwhile the kernel acknowledges it.
    pub stalled: bool,
    /// Added to the time that data on connections takes in each direction, in milliseconds.
    pub delay_ms: u64,
    /// The throughput of one connection in each direction; 0 for no limit.
    pub bytes_per_s: u64,
    /// Sources whose datagrams are dropped.
    pub dropped_datagrams: HashSet<IpAddr>,
    /// The percentage of datagrams that are dropped.
    pub lose_datagrams_percent: u64,
}

/// What happens to the open connections of a source whose segments are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenConnections {
    /// Nothing passes while the segments are dropped.
    Silent,
    /// They are reset.
    Reset,
    /// They are unaffected.
    Unaffected,
}

impl Faults {
    fn blocks(&self, source: IpAddr) -> bool {
        self.cut_all || self.cut.contains(&source)
    }
}

/// A running proxy; it stops when dropped.
#[derive(Debug)]
pub struct Proxy {
    /// The address on which the proxy receives connections and datagrams.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<thread::JoinHandle<()>>,
}

/// A socket filter that drops every segment, so that nothing that arrives is acknowledged.
const DROP_ALL: socket2::SockFilter = socket2::SockFilter::new(BPF_RETURN, 0, 0, 0);
/// The return instruction of a classic socket filter; its operand is the number of bytes to accept.
const BPF_RETURN: u16 = 0x06;
/// Loads a word at an absolute offset.
const BPF_LOAD_WORD: u16 = 0x20;
/// Jumps if the loaded word equals the operand.
const BPF_JUMP_EQUAL: u16 = 0x15;
/// The offset of the IPv4 source address, counted from the network header.
const IPV4_SOURCE_OFFSET: u32 = 0xfff0_0000 + 12;
/// How often the faults of a listening socket and of an open connection are applied.
const FILTER_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Debug)]
struct Shared {
    faults: Mutex<Faults>,
    /// How often the open connections were blackholed.
    blackhole_count: AtomicU64,
    /// How often the data of the open connections was set to be discarded.
    discard_count: AtomicU64,
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
    /// Starts a proxy on a free port of `ip`. Without a target, connections are closed and datagrams dropped.
    pub fn start(ip: IpAddr, target: Option<SocketAddr>) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            faults: Mutex::default(),
            blackhole_count: AtomicU64::new(0),
            discard_count: AtomicU64::new(0),
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

    /// Sets the address to which traffic is forwarded.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    /// Replaces all faults of the proxy.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.faults() = faults;
    }

    /// Blackholes all open connections for good: no data passes, nothing is acknowledged and nothing is closed. New
    /// connections work.
    pub fn blackhole_connections(&self) {
        self.shared.blackhole_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Discards all further data on open connections: it is acknowledged but not forwarded, and nothing is closed. New
    /// connections work.
    pub fn discard_connection_data(&self) {
        self.shared.discard_count.fetch_add(1, Ordering::Relaxed);
    }

    /// Modifies the faults in place.
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

/// A socket filter that drops the segments of these sources.
pub(crate) fn drop_segments_of(sources: &[Ipv4Addr]) -> Vec<socket2::SockFilter> {
    let load = socket2::SockFilter::new(BPF_LOAD_WORD, 0, 0, IPV4_SOURCE_OFFSET);
    let accept_all = socket2::SockFilter::new(BPF_RETURN, 0, 0, u32::MAX);
    let mut filter = vec![load];
    for source in sources {
        filter.push(socket2::SockFilter::new(BPF_JUMP_EQUAL, 0, 1, u32::from(*source)));
        filter.push(DROP_ALL);
    }
    filter.push(accept_all);
    filter
}

/// Keeps a socket's filter equal to the faults.
async fn keep_filter(socket: &impl AsFd, shared: &Shared, only_silent: bool) {
    let mut current = None;
    loop {
        let dropped = shared.faults().dropped.clone();
        let applies = |open: &OpenConnections| !only_silent || *open == OpenConnections::Silent;
        let mut sources: Vec<Ipv4Addr> = dropped
            .iter()
            .filter(|(_, open)| applies(open))
            .filter_map(|(source, _)| match source {
                IpAddr::V4(source) => Some(*source),
                IpAddr::V6(_) => None,
            })
            .collect();
        sources.sort_unstable();
        if current.as_ref() != Some(&sources) {
            let descriptor = socket.as_fd();
            let _ = socket2::SockRef::from(&descriptor).attach_filter(&drop_segments_of(&sources));
            current = Some(sources);
        }
        time::sleep(FILTER_INTERVAL).await;
    }
}

async fn accept(listener: net::TcpListener, shared: Arc<Shared>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = keep_filter(&listener, &shared, false) => continue,
        };
        let Ok((inbound, source)) = accepted else { continue };
        let shared = shared.clone();
        actix_web::rt::spawn(async move {
            let Some(target) = shared.target() else { return };
            if shared.faults().blocks(source.ip()) {
                return;
            }
            wait_while_stalled(&shared).await;
            // Connects from the source's own address, so that the target can identify the source.
            let Ok(outbound) = connect_from(source.ip(), target).await else { return };
            let descriptor = inbound.as_fd().try_clone_to_owned();
            let Ok(descriptor) = descriptor else { return };
            tokio::select! {
                () = relay(inbound, outbound, source.ip(), &shared) => {}
                () = keep_filter(&descriptor, &shared, true) => {}
                () = wait_until_reset(source.ip(), &shared) => {
                    let _ = socket2::SockRef::from(&descriptor).set_linger(Some(Duration::ZERO));
                }
            }
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
    let blackhole_count = shared.blackhole_count.load(Ordering::Relaxed);
    let discard_count = shared.discard_count.load(Ordering::Relaxed);
    let _ = inbound.set_nodelay(true);
    let _ = outbound.set_nodelay(true);
    let end = {
        let (from_caller, to_caller) = inbound.split();
        let (from_target, to_target) = outbound.split();
        tokio::select! {
            () = forward(from_caller, to_target, source, shared) => RelayEnd::Closed,
            () = forward(from_target, to_caller, source, shared) => RelayEnd::Closed,
            () = wait_until_blocked(source, shared) => RelayEnd::Closed,
            () = wait_for_increment(blackhole_count, &shared.blackhole_count) => RelayEnd::Blackhole,
            () = wait_for_increment(discard_count, &shared.discard_count) => RelayEnd::Discard,
        }
    };
    match end {
        RelayEnd::Closed => {}
        RelayEnd::Blackhole => {
            for stream in [&inbound, &outbound] {
                let _ = socket2::SockRef::from(stream).attach_filter(&[DROP_ALL]);
            }
            std::future::pending::<()>().await;
        }
        RelayEnd::Discard => {
            let (from_caller, _to_caller) = inbound.split();
            let (from_target, _to_target) = outbound.split();
            tokio::join!(discard(from_caller), discard(from_target));
        }
    }
}

/// Why the relay of a connection ended, and what happens to its data afterwards.
enum RelayEnd {
    Closed,
    Blackhole,
    Discard,
}

async fn wait_for_increment(initial: u64, count: &AtomicU64) {
    while count.load(Ordering::Relaxed) == initial {
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// The maximum number of bytes that are read from a connection before they are forwarded.
const CHUNK_BYTES: usize = 16 << 10;

/// Reads until the end of the stream and discards the data.
async fn discard(mut from: net::tcp::ReadHalf<'_>) {
    let mut buffer = vec![0; 64 << 10];
    while matches!(from.read(&mut buffer).await, Ok(length) if length > 0) {}
}

async fn forward(
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
        wait_while_stalled(shared).await;
        wait_while_silent(source, shared).await;
        if length == 0 || shared.faults().blocks(source) {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

async fn wait_until_reset(source: IpAddr, shared: &Shared) {
    while shared.faults().dropped.get(&source) != Some(&OpenConnections::Reset) {
        time::sleep(FILTER_INTERVAL).await;
    }
}

async fn wait_while_silent(source: IpAddr, shared: &Shared) {
    while shared.faults().dropped.get(&source) == Some(&OpenConnections::Silent) {
        time::sleep(FILTER_INTERVAL).await;
    }
}

async fn wait_while_stalled(shared: &Shared) {
    while shared.faults().stalled {
        time::sleep(Duration::from_millis(5)).await;
    }
}

async fn wait_until_blocked(source: IpAddr, shared: &Shared) {
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
        let dropped = faults.dropped_datagrams.contains(&source.ip());
        if faults.blocks(source.ip()) || dropped || lost {
            continue;
        }
        let _ = socket.send_to(&buffer[..length], target).await;
    }
}
