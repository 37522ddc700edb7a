//! A small deployment: the project's stand-in of the platform's store, and routers as processes, started as the deploy
//! file does it, each at its own address of loopback.

use doorswitch_standins::store;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Ports of the routers; each router has an address of its own, so that all have the same ports.
const FRONT: u16 = 8227;
const READY: u16 = 8220;
const PEERS: u16 = 7340;

pub struct Fleet {
    pub store: store::Store,
    pub routers: Vec<Router>,
    folder: PathBuf,
    /// The address at which routers reach the store.
    pub store_address: SocketAddr,
}

pub struct Router {
    pub ip: IpAddr,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Option<Child>,
}

/// The first address of a network of loopback in which the ports of `count` routers are free.
fn free_net(count: usize) -> [u8; 2] {
    let first = std::process::id();
    for step in 0..200_u32 {
        let net = [100 + (first.wrapping_add(step) % 100) as u8, (first / 100 % 200) as u8 + 1];
        let free = (0..count).all(|index| {
            let ip = Ipv4Addr::new(127, net[0], net[1], 10 + index as u8);
            [FRONT, READY, PEERS].iter().all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if free {
            return net;
        }
    }
    [100, 1]
}

impl Fleet {
    /// Starts the store; routers are started by [`Fleet::spawn`].
    pub fn new(count: usize) -> Self {
        let store = store::Store::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let net = free_net(count);
        let routers = (0..count).map(|index| {
            let ip = IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], 10 + index as u8));
            let at = |port| SocketAddr::new(ip, port);
            Router { ip, front: at(FRONT), ready: at(READY), child: None }
        });
        let store_address = store.address();
        Self { routers: routers.collect(), store, folder, store_address }
    }

    /// Starts or restarts the process of a router. `first` is whether the whole deployment starts for the first time.
    pub fn spawn(&mut self, index: usize, first: bool) {
        let seeds: Vec<String> =
            self.routers.iter().take(3).map(|router| format!("\"{}:8229\"", router.ip)).collect();
        let router = &mut self.routers[index];
        // `deploy/router.yaml`, filled as the platform fills it.
        let settings = format!(
            "vm: \"edge-{index}\"\nregion: \"r\"\nfailure_domain: \"zone-{domain}\"\n\
             gateway:\n  listen: \"{front}\"\noperators:\n  listen: \"{ready}\"\n\
             peers:\n  listen: \"{ip}:{PEERS}\"\n  seeds: [{seeds}]\n  seeds_port: {PEERS}\n\
             platform:\n  url: \"http://{store}\"\n  protocol: revisions\n  timeout_ms: 1000\n  \
             reads_per_s: 2000\n  writes_per_s: 400\n  configuration_ms: 2000\n  leaving_ms: 2000\n  \
             first_start: {first}\nlimits:\n  stop_grace_s: 8\n",
            domain = index % 3,
            front = router.front,
            ready = router.ready,
            ip = router.ip,
            seeds = seeds.join(", "),
            store = self.store_address,
        );
        let file = self.folder.join(format!("node-{index}.yaml"));
        std::fs::write(&file, settings).unwrap();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("router-{index}.log")))
            .unwrap();
        let child = Command::new("target/release/doorswitch")
            .args(["router", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap();
        router.child = Some(child);
    }

    pub fn spawn_all(&mut self) {
        (0..self.routers.len()).for_each(|index| self.spawn(index, true));
    }

    /// Waits until a router says that it is ready.
    pub fn wait_ready(&self, index: usize, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.ready(index) == Some(200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn ready(&self, index: usize) -> Option<u16> {
        get(self.routers[index].ready, "/readyz").map(|(status, _)| status)
    }

    pub fn metrics(&self, index: usize) -> String {
        get(self.routers[index].ready, "/metrics").map(|(_, body)| body).unwrap_or_default()
    }

    pub fn log(&self, index: usize) -> String {
        let file = self.folder.join(format!("router-{index}.log"));
        std::fs::read_to_string(file).unwrap_or_default()
    }

    /// Sends a signal to the process of a router.
    pub fn signal(&self, index: usize, signal: &str) {
        if let Some(child) = &self.routers[index].child {
            let id = child.id().to_string();
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(id).status();
        }
    }

    /// Kills the process of a router.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.routers[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.routers.len()).for_each(|index| self.kill(index));
        match std::env::var_os("KEEP_LOGS") {
            Some(folder) => {
                for index in 0..self.routers.len() {
                    let name = format!("router-{index}.log");
                    let _ =
                        std::fs::copy(self.folder.join(&name), PathBuf::from(&folder).join(&name));
                }
            }
            None => {}
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned()))
}
