//! Real routers before stand-ins: how they start, and what can be done to them from outside.

use doorswitch_standins::{backend, network, ports, store, wire};
use snafu::ResultExt;
use std::fs::{self, File, OpenOptions};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;
use std::{io, thread};

/// The host of all routes.
pub const HOST: &str = "soak.example";
/// The service of the first two servers.
const SERVICE: &str = "app";
/// The service whose servers crash.
pub const FRAGILE_SERVICE: &str = "fragile";
/// The path of its route.
pub const FRAGILE_PATH: &str = "/fragile/";
/// The service whose servers name how many requests they take.
pub const LIMITED_SERVICE: &str = "limited";
/// The path of its route.
pub const LIMITED_PATH: &str = "/limited/";
/// The service whose servers leave, or ask for backoffs, by their answers.
pub const OUTSPOKEN_SERVICE: &str = "outspoken";
/// The path of its route.
pub const OUTSPOKEN_PATH: &str = "/outspoken/";
/// The failure domains that the routers lie in.
const FAILURE_DOMAINS: usize = 3;
/// A router names so many others as seeds.
const SEEDS: usize = 3;
/// Routes of so many earlier versions stay.
const ROUTES_KEPT: u64 = 8;
/// Always there.
pub const FIRST_SERVER: &str = "i-0";
/// Leaves and starts again.
pub const SECOND_SERVER: &str = "i-1";
/// When the first life of a server started, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_796_000_000_000;
/// What another writer puts.
const BAD_VALUES: &[&[u8]] = &[b"", b"\xff\xfe", b"{", b"[]", b"null", b"{\"service\":7}"];
/// Processes start within this time of each other.
const START_APART: Duration = Duration::from_millis(40);

/// Why a fleet could not be set up or changed.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("cannot {what}: {source}"))]
    Io { what: String, source: io::Error },
    #[snafu(display("the signal {signal} was not taken"))]
    Signal { signal: &'static str },
}

/// One router: its process and the networks around it.
struct Router {
    child: Option<Child>,
    ip: IpAddr,
    clients: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    /// Between its peers and it.
    peer_network: network::Proxy,
    /// Between it and the store.
    store_network: network::Proxy,
}

/// Routers, their store, and the servers behind them.
pub struct Fleet {
    binary: PathBuf,
    folder: PathBuf,
    store: Arc<store::Store>,
    /// Every life of every server, by the number that its answers name. The earlier ones still answer.
    lives: Vec<backend::Backend>,
    routers: Vec<Router>,
    version: u64,
}

impl Fleet {
    /// Sets the stand-ins and networks up; no router runs yet. `net` tells its loopback addresses from other fleets'.
    pub fn prepare(
        binary: &Path,
        folder: &Path,
        routers: usize,
        net: [u8; 2],
    ) -> Result<Self, Error> {
        fs::create_dir_all(folder).context(IoSnafu { what: "create the folder" })?;
        let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let starting = |what: &str| IoSnafu { what: format!("start {what}") };
        let store = store::Store::start((local, 0).into()).context(starting("the store"))?;
        let mut fleet = Self {
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            store: Arc::new(store),
            lives: Vec::new(),
            routers: Vec::new(),
            version: 0,
        };
        for place in 0..routers {
            let router = fleet.new_router(place, net).context(starting("a network"))?;
            fleet.routers.push(router);
        }
        fleet.start_server(FIRST_SERVER)?;
        fleet.start_server(SECOND_SERVER)?;
        Ok(fleet)
    }

    /// Starts a server, anew under its name if it ran before; returns the number that its answers name.
    pub fn start_server(&mut self, name: &str) -> Result<usize, Error> {
        let number = self.lives.len();
        let script: backend::Script =
            Box::new(move |_, _| vec![backend::whole("200 OK", &format!("{number:04}"))]);
        let started = backend::Backend::start(script);
        self.lives.push(started.context(IoSnafu { what: "start a backend server" })?);
        self.record_server(name, number, "ready");
        Ok(number)
    }

    /// A life of a server records its state.
    pub fn record_server(&self, name: &str, number: usize, state: &str) {
        let record = wire::Record {
            service: SERVICE,
            address: self.lives[number].address(),
            state,
            started_ms: FIRST_START_MS + number as u64,
        };
        self.store.record_server(name, &record);
    }

    /// Another writer spoils a server's record.
    pub fn spoil_record(&self, name: &str) {
        self.store.spoil_server(name);
    }

    /// Another writer puts entries that cannot be read under every prefix that routers follow.
    pub fn put_bad_entries(&self) {
        self.store.put_bad_entries(BAD_VALUES);
    }

    fn new_router(&self, place: usize, net: [u8; 2]) -> io::Result<Router> {
        let [high, low] = net;
        let ip = IpAddr::V4(Ipv4Addr::new(127, high, low, 10 + place as u8));
        let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let peers = ports::free_address(ip)?;
        Ok(Router {
            child: None,
            ip,
            clients: ports::free_address(ip)?,
            operators: ports::free_address(ip)?,
            peers,
            peer_network: network::Proxy::start(ip, Some(peers))?,
            store_network: network::Proxy::start(local, Some(self.store.address()))?,
        })
    }

    /// How many routers there are.
    pub fn routers(&self) -> usize {
        self.routers.len()
    }

    /// Where a router's clients connect.
    pub fn clients_address(&self, place: usize) -> SocketAddr {
        self.routers[place].clients
    }

    /// Publishes a configuration with one route more; returns its version, which the store has acknowledged then.
    pub fn publish(&mut self) -> u64 {
        self.version += 1;
        let first = self.version.saturating_sub(ROUTES_KEPT).max(1);
        let added = (first..=self.version).map(|version| (added_path(version), SERVICE));
        let fixed = [
            (FRAGILE_PATH, FRAGILE_SERVICE),
            (LIMITED_PATH, LIMITED_SERVICE),
            (OUTSPOKEN_PATH, OUTSPOKEN_SERVICE),
        ];
        let routes = added.chain(fixed.map(|(path, service)| (path.to_owned(), service)));
        let services = [SERVICE, FRAGILE_SERVICE, LIMITED_SERVICE, OUTSPOKEN_SERVICE];
        self.store.publish(&wire::configuration(self.version, HOST, &services, routes));
        self.version
    }

    /// Starts a router's process, anew if it ran before.
    pub fn start(&mut self, place: usize) -> Result<(), Error> {
        let settings = self.folder.join(format!("router-{place}.yaml"));
        fs::write(&settings, self.settings(place)).context(IoSnafu { what: "write settings" })?;
        let log = self.open_log(place).context(IoSnafu { what: "open a log" })?;
        let child = Command::new(&self.binary)
            .args(["router", "--settings"])
            .arg(&settings)
            .stderr(log)
            .stdout(Stdio::null())
            .spawn()
            .context(IoSnafu { what: "start a router" })?;
        self.routers[place].child = Some(child);
        Ok(())
    }

    /// Starts routers in this order, a little apart.
    pub fn start_all(&mut self, order: &[usize]) -> Result<(), Error> {
        for place in order {
            self.start(*place)?;
            thread::sleep(START_APART);
        }
        Ok(())
    }

    /// Where a router's log lies.
    pub fn log_file(&self, place: usize) -> PathBuf {
        self.folder.join(format!("router-{place}.log"))
    }

    fn open_log(&self, place: usize) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(self.log_file(place))
    }

    fn settings(&self, place: usize) -> String {
        let router = &self.routers[place];
        let others = (1..self.routers.len()).map(|step| (place + step) % self.routers.len());
        let seeds: Vec<String> = others
            .take(SEEDS)
            .map(|other| format!("{:?}", self.routers[other].peer_network.address.to_string()))
            .collect();
        format!(
            "vm: entry-{place}\nregion: r\nfailure_domain: domain-{}\n\
             gateway: {{ listen: \"{}\", drain_ms: 300 }}\noperators: {{ listen: \"{}\" }}\n\
             peers: {{ listen: \"{}\", advertise: \"{}\", seeds: [{}] }}\n\
             platform: {{ url: \"http://{}\", protocol: revisions, timeout_ms: 1000, configuration_ms: 2000, leaving_ms: 2000 }}\n",
            place % FAILURE_DOMAINS,
            router.clients,
            router.operators,
            router.peers,
            router.peer_network.address,
            seeds.join(", "),
            router.store_network.address,
        )
    }

    /// Kills a router as a loss of power would.
    pub fn kill(&mut self, place: usize) -> Result<(), Error> {
        if let Some(mut child) = self.routers[place].child.take() {
            child.kill().context(IoSnafu { what: "kill a router" })?;
            child.wait().context(IoSnafu { what: "wait for a router" })?;
        }
        Ok(())
    }

    /// Sends a signal to a router's process, if it runs.
    pub fn signal(&self, place: usize, signal: &'static str) -> Result<(), Error> {
        let Some(child) = &self.routers[place].child else { return Ok(()) };
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(child.id().to_string())
            .status()
            .context(IoSnafu { what: "send a signal" })?;
        snafu::ensure!(status.success(), SignalSnafu { signal });
        Ok(())
    }

    /// A router whose process ended by itself, if there is one.
    pub fn ended_by_itself(&mut self) -> Option<usize> {
        let ended = |router: &mut Router| {
            let child = router.child.as_mut();
            child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        };
        self.routers.iter_mut().position(ended)
    }

    /// The store.
    pub fn store(&self) -> &Arc<store::Store> {
        &self.store
    }

    /// The network between a router and the store.
    pub fn store_network(&self, place: usize) -> &network::Proxy {
        &self.routers[place].store_network
    }

    /// The network between a router's peers and it.
    pub fn peer_network(&self, place: usize) -> &network::Proxy {
        &self.routers[place].peer_network
    }

    /// A router's own address.
    pub fn ip(&self, place: usize) -> IpAddr {
        self.routers[place].ip
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for place in 0..self.routers.len() {
            if let Err(error) = self.kill(place) {
                eprintln!("event=kill_failed router={place} fault={error}");
            }
        }
    }
}

/// The path of the route that a version adds.
pub fn added_path(version: u64) -> String {
    format!("/added-{version}/")
}
