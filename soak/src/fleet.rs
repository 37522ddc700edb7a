//! A fleet of real router processes in front of stand-ins: how they are started, and the faults that can be injected
//! from outside.

use crate::{schedule, servers};
use doorswitch_standins::{backend, network, ports, store, wire};
use snafu::ResultExt;
use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;
use std::{io, thread};

/// The host name of all routes.
pub const HOST: &str = "soak.example";
/// The service of the servers that the fleet itself runs.
const SERVICE: &str = "app";
/// The service whose servers crash on some requests.
pub const FRAGILE_SERVICE: &str = "fragile";
/// The name of the service whose servers a part of prompts crashes.
pub const FRAGILE_PARTS_SERVICE: &str = "fragile-parts";
/// The path of the route to [`FRAGILE_PARTS_SERVICE`].
pub const FRAGILE_PARTS_PATH: &str = "/fragile-parts/";
/// The path of the route to [`FRAGILE_SERVICE`].
pub const FRAGILE_PATH: &str = "/fragile/";
/// The service whose servers announce rate limits.
pub const LIMITED_SERVICE: &str = "limited";
/// The path of the route to [`LIMITED_SERVICE`].
pub const LIMITED_PATH: &str = "/limited/";
/// The service whose servers announce in their answers that they are leaving, or request backoffs.
pub const DIRECTIVES_SERVICE: &str = "outspoken";
/// The path of the route to [`DIRECTIVES_SERVICE`].
pub const DIRECTIVES_PATH: &str = "/outspoken/";
/// The service whose servers have several software versions.
pub const VERSIONS_SERVICE: &str = "released";
/// The path of the route to [`VERSIONS_SERVICE`].
pub const VERSIONS_PATH: &str = "/released/";
/// The services that get a second version during partitions, and the paths of their routes.
pub const PARTITION_SERVICES: [(&str, &str); schedule::PARTITIONS_MAX] = [
    ("partitioned-0", "/partitioned-0/"),
    ("partitioned-1", "/partitioned-1/"),
    ("partitioned-2", "/partitioned-2/"),
    ("partitioned-3", "/partitioned-3/"),
];
/// The service whose servers send late copies of their answers.
pub const LATE_COPIES_SERVICE: &str = "copying";
/// The path of its calls that must run at most once.
pub const LATE_COPIES_CALLS_PATH: &str = "/copying-calls/";
/// The path of its calls that may be repeated.
pub const LATE_COPIES_REPEATABLE_PATH: &str = "/copying-repeatable/";
/// The path of its streams that must run at most once.
pub const LATE_COPIES_STREAMS_PATH: &str = "/copying-streams/";
/// The number of failure domains among which the routers are spread.
const FAILURE_DOMAINS: usize = 3;
/// The number of other routers that each router has as seeds.
const SEEDS_PER_ROUTER: usize = 3;
/// The number of earlier versions whose routes a configuration still contains.
const EARLIER_ROUTES: u64 = 8;
/// The name of the server that runs all the time.
pub const FIRST_SERVER: &str = "i-0";
/// The name of the server that leaves and restarts.
pub const SECOND_SERVER: &str = "i-1";
/// When the first server incarnation started, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_796_000_000_000;
/// Unreadable values that another writer stores.
const UNREADABLE_VALUES: &[&[u8]] = &[b"", b"\xff\xfe", b"{", b"[]", b"null", b"{\"service\":7}"];
/// The time between the starts of two processes.
const START_INTERVAL: Duration = Duration::from_millis(40);

/// Why a fleet could not be set up or changed.
#[derive(Debug, snafu::Snafu)]
#[snafu(visibility(pub(crate)))]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("cannot {what}: {source}"))]
    Io { what: String, source: io::Error },
    #[snafu(display("cannot send the signal {signal}"))]
    Signal { signal: &'static str },
}

/// One router: its process, its addresses and the proxies around it.
struct Router {
    child: Option<Child>,
    ip: IpAddr,
    clients: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    /// The proxy between its peers and the router.
    peer_network: network::Proxy,
    /// The proxy between the router and the store.
    store_network: network::Proxy,
}

/// Routers that reach neither the store nor other routers, except each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partition {
    /// The routers.
    pub routers: schedule::Routers,
    /// What happens to open connections.
    pub open: network::OpenConnections,
}

/// Router processes, their store and their backend servers.
pub struct Fleet {
    binary: PathBuf,
    folder: PathBuf,
    store: Arc<store::Store>,
    /// All server incarnations, by the number that their answers contain. Earlier incarnations still answer.
    server_incarnations: Vec<backend::Backend>,
    /// Routers that cannot connect to servers, one entry for each fault.
    cut_from_servers: Vec<usize>,
    routers: Vec<Router>,
    version: u64,
    /// Whether configurations contain [`PARTITION_SERVICES`].
    has_partitions: bool,
}

impl Fleet {
    /// Starts the stand-ins and proxies, but no routers. `net` is the second and third byte of the routers' loopback
    /// addresses, which must differ from those of other fleets.
    pub fn prepare(
        binary: &Path,
        folder: &Path,
        routers: usize,
        net: [u8; 2],
    ) -> Result<Self, Error> {
        fs::create_dir_all(folder).context(IoSnafu { what: "create the folder" })?;
        let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let start_context = |what: &str| IoSnafu { what: format!("start {what}") };
        let store = store::Store::start((local, 0).into()).context(start_context("the store"))?;
        let mut fleet = Self {
            binary: binary.to_owned(),
            folder: folder.to_owned(),
            store: Arc::new(store),
            server_incarnations: Vec::new(),
            cut_from_servers: Vec::new(),
            routers: Vec::new(),
            version: 0,
            has_partitions: false,
        };
        for index in 0..routers {
            let router = fleet.new_router(index, net).context(start_context("a network"))?;
            fleet.routers.push(router);
        }
        fleet.start_server(FIRST_SERVER)?;
        fleet.start_server(SECOND_SERVER)?;
        Ok(fleet)
    }

    /// Adds [`PARTITION_SERVICES`] to the configurations that are published from now on.
    pub fn add_partition_services(&mut self) {
        self.has_partitions = true;
    }

    /// Sets the partitions that are in force, which may overlap.
    pub fn set_partitions(&self, partitions: &[Partition]) {
        for (index, router) in self.routers.iter().enumerate() {
            let separated_from = |other: usize| {
                let separates = |partition: &&Partition| {
                    partition.routers.contains(&index) != partition.routers.contains(&other)
                };
                Some((self.ip(other), partitions.iter().find(separates)?.open))
            };
            let dropped: HashMap<IpAddr, network::OpenConnections> =
                (0..self.routers.len()).filter_map(separated_from).collect();
            router.peer_network.change(|faults| {
                faults.dropped_datagrams = dropped.keys().copied().collect();
                faults.dropped = dropped;
            });
            let separated = partitions.iter().find(|partition| partition.routers.contains(&index));
            router.store_network.change(|faults| {
                faults.dropped =
                    separated.map(|partition| (router.ip, partition.open)).into_iter().collect();
            });
        }
    }

    /// Starts a server, or another incarnation if one of this name was started before. Returns the number that its
    /// answers contain.
    pub fn start_server(&mut self, name: &str) -> Result<usize, Error> {
        let number = self.server_incarnations.len();
        let script: backend::Script =
            Box::new(move |_, _| vec![backend::response("200 OK", &format!("{number:04}"))]);
        let started = backend::Backend::start(script);
        self.server_incarnations.push(started.context(IoSnafu { what: "start a backend server" })?);
        self.apply_server_cuts();
        self.record_server(name, number, "ready");
        Ok(number)
    }

    /// Prevents these routers from opening connections to servers, until [`Self::reconnect_to_servers`] was called as
    /// often for them.
    pub fn cut_from_servers(&mut self, routers: &[usize]) {
        self.cut_from_servers.extend(routers);
        self.apply_server_cuts();
    }

    /// Ends one [`Self::cut_from_servers`] of these routers.
    pub fn reconnect_to_servers(&mut self, routers: &[usize]) {
        for router in routers {
            if let Some(index) = self.cut_from_servers.iter().position(|cut| cut == router) {
                self.cut_from_servers.swap_remove(index);
            }
        }
        self.apply_server_cuts();
    }

    fn apply_server_cuts(&self) {
        let mut sources: Vec<Ipv4Addr> = self
            .cut_from_servers
            .iter()
            .filter_map(|router| match self.ip(*router) {
                IpAddr::V4(ip) => Some(ip),
                IpAddr::V6(_) => None,
            })
            .collect();
        sources.sort_unstable();
        sources.dedup();
        for server in &self.server_incarnations {
            server.drop_connections_of(sources.clone());
        }
    }

    /// Stores a server record with the state of this incarnation.
    pub fn record_server(&self, name: &str, number: usize, state: &str) {
        let record = wire::Record {
            service: SERVICE,
            address: self.server_incarnations[number].address(),
            version: servers::VERSION,
            state,
            started_ms: FIRST_START_MS + number as u64,
        };
        self.store.record_server(name, &record);
    }

    /// Overwrites a server's record with an unreadable value, as a faulty writer would.
    pub fn corrupt_record(&self, name: &str) {
        self.store.corrupt_server_record(name);
    }

    /// Adds unreadable entries under every prefix that routers follow, as a faulty writer would.
    pub fn put_unreadable_entries(&self) {
        self.store.put_unreadable_entries(UNREADABLE_VALUES);
    }

    fn new_router(&self, index: usize, net: [u8; 2]) -> io::Result<Router> {
        let [high, low] = net;
        let ip = IpAddr::V4(Ipv4Addr::new(127, high, low, 10 + index as u8));
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

    /// The number of routers, whether or not they run.
    pub fn routers(&self) -> usize {
        self.routers.len()
    }

    /// The address of a router for its clients.
    pub fn clients_address(&self, index: usize) -> SocketAddr {
        self.routers[index].clients
    }

    /// Publishes a configuration with an additional route. Returns its version, which the store has acknowledged by
    /// then.
    pub fn publish(&mut self) -> u64 {
        self.version += 1;
        let first = self.version.saturating_sub(EARLIER_ROUTES).max(1);
        let added_routes = (first..=self.version).map(|version| (added_path(version), SERVICE));
        let fixed_routes = [
            (FRAGILE_PATH, FRAGILE_SERVICE),
            (FRAGILE_PARTS_PATH, FRAGILE_PARTS_SERVICE),
            (LIMITED_PATH, LIMITED_SERVICE),
            (DIRECTIVES_PATH, DIRECTIVES_SERVICE),
        ];
        let plain_routes =
            added_routes.chain(fixed_routes.map(|(path, service)| (path.to_owned(), service)));
        let route = |(path, service)| {
            let kind = wire::RouteKind::Repeatable;
            wire::Route { path, service, kind, attempts_max: 1 }
        };
        let partition_services: &[(&'static str, &str)] = match self.has_partitions {
            true => &PARTITION_SERVICES,
            false => &[],
        };
        let partition_routes = partition_services.iter().map(|(service, path)| {
            route_with_several_attempts(path, service, wire::RouteKind::ResumableStream)
        });
        let routes =
            plain_routes.map(route).chain(routes_with_several_attempts()).chain(partition_routes);
        let services = [
            SERVICE,
            FRAGILE_SERVICE,
            FRAGILE_PARTS_SERVICE,
            LIMITED_SERVICE,
            DIRECTIVES_SERVICE,
            VERSIONS_SERVICE,
            LATE_COPIES_SERVICE,
        ];
        let services: Vec<&str> = services
            .into_iter()
            .chain(partition_services.iter().map(|(service, _)| *service))
            .collect();
        self.store.publish(&wire::configuration(self.version, HOST, &services, routes));
        self.version
    }

    /// Starts a router's process. The log of earlier processes is continued.
    pub fn start(&mut self, index: usize) -> Result<(), Error> {
        let settings = self.folder.join(format!("router-{index}.yaml"));
        fs::write(&settings, self.settings(index)).context(IoSnafu { what: "write settings" })?;
        let log = self.open_log(index).context(IoSnafu { what: "open a log" })?;
        let child = Command::new(&self.binary)
            .args(["router", "--settings"])
            .arg(&settings)
            .stderr(log)
            .stdout(Stdio::null())
            .spawn()
            .context(IoSnafu { what: "start a router" })?;
        self.routers[index].child = Some(child);
        Ok(())
    }

    /// Starts routers in this order, with a short interval in between.
    pub fn start_all(&mut self, order: &[usize]) -> Result<(), Error> {
        for index in order {
            self.start(*index)?;
            thread::sleep(START_INTERVAL);
        }
        Ok(())
    }

    /// The path of a router's log.
    pub fn log_file(&self, index: usize) -> PathBuf {
        self.folder.join(format!("router-{index}.log"))
    }

    fn open_log(&self, index: usize) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(self.log_file(index))
    }

    fn settings(&self, index: usize) -> String {
        let router = &self.routers[index];
        let others = (1..self.routers.len()).map(|step| (index + step) % self.routers.len());
        let seeds: Vec<String> = others
            .take(SEEDS_PER_ROUTER)
            .map(|other| format!("{:?}", self.routers[other].peer_network.address.to_string()))
            .collect();
        format!(
            "vm: entry-{index}\nregion: r\nfailure_domain: domain-{}\n\
             gateway: {{ listen: \"{}\", drain_ms: 300 }}\noperators: {{ listen: \"{}\" }}\n\
             peers: {{ listen: \"{}\", advertise: \"{}\", seeds: [{}] }}\n\
             platform: {{ url: \"http://{}\", protocol: revisions, timeout_ms: 1000, configuration_ms: 2000, leaving_ms: 2000 }}\n",
            index % FAILURE_DOMAINS,
            router.clients,
            router.operators,
            router.peers,
            router.peer_network.address,
            seeds.join(", "),
            router.store_network.address,
        )
    }

    /// Kills a router without a graceful stop, as a loss of power would; does nothing if it does not run.
    pub fn kill(&mut self, index: usize) -> Result<(), Error> {
        if let Some(mut child) = self.routers[index].child.take() {
            child.kill().context(IoSnafu { what: "kill a router" })?;
            child.wait().context(IoSnafu { what: "wait for a router" })?;
        }
        Ok(())
    }

    /// Sends a signal to a router's process, if it runs.
    pub fn signal(&self, index: usize, signal: &'static str) -> Result<(), Error> {
        let Some(child) = &self.routers[index].child else { return Ok(()) };
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(child.id().to_string())
            .status()
            .context(IoSnafu { what: "send a signal" })?;
        snafu::ensure!(status.success(), SignalSnafu { signal });
        Ok(())
    }

    /// The first router whose process ended without being killed, if there is one.
    pub fn unexpectedly_ended(&mut self) -> Option<usize> {
        let ended = |router: &mut Router| {
            let child = router.child.as_mut();
            child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        };
        self.routers.iter_mut().position(ended)
    }

    /// The stand-in for the store.
    pub fn store(&self) -> &Arc<store::Store> {
        &self.store
    }

    /// The proxy between a router and the store.
    pub fn store_network(&self, index: usize) -> &network::Proxy {
        &self.routers[index].store_network
    }

    /// The proxy between a router's peers and the router.
    pub fn peer_network(&self, index: usize) -> &network::Proxy {
        &self.routers[index].peer_network
    }

    /// A router's loopback address.
    pub fn ip(&self, index: usize) -> IpAddr {
        self.routers[index].ip
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.routers.len() {
            if let Err(error) = self.kill(index) {
                eprintln!("event=kill_failed router={index} fault={error}");
            }
        }
    }
}

/// The routes whose requests may be sent to two servers.
fn routes_with_several_attempts() -> impl Iterator<Item = wire::Route<'static>> {
    use wire::RouteKind;
    let routes = [
        (VERSIONS_PATH, VERSIONS_SERVICE, RouteKind::ResumableStream),
        (LATE_COPIES_CALLS_PATH, LATE_COPIES_SERVICE, RouteKind::Unrepeatable),
        (LATE_COPIES_REPEATABLE_PATH, LATE_COPIES_SERVICE, RouteKind::Repeatable),
        (LATE_COPIES_STREAMS_PATH, LATE_COPIES_SERVICE, RouteKind::Stream),
    ];
    routes.into_iter().map(|(path, service, kind)| route_with_several_attempts(path, service, kind))
}

fn route_with_several_attempts(
    path: &str,
    service: &'static str,
    kind: wire::RouteKind,
) -> wire::Route<'static> {
    wire::Route { path: path.to_owned(), service, kind, attempts_max: 2 }
}

/// The path of the route that a configuration version adds.
pub fn added_path(version: u64) -> String {
    format!("/added-{version}/")
}
