//! Start of a fleet: its stand-ins, network proxies, configuration and router processes.

use super::{Fleet, OPERATOR_KEY, Options, Router, eventually};
use doorswitch_core::config;
use doorswitch_standins::{backend, engine, network, platform, ports, service};
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Stdio};

/// The second and third octet of a fleet's loopback addresses, distinct for each fleet so that fleets of parallel tests
/// do not exchange messages.
fn fleet_net() -> [u8; 2] {
    use std::sync::atomic::{AtomicU8, Ordering};
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = 1 + (std::process::id() % 250) as u8;
    [process, NEXT.fetch_add(1, Ordering::Relaxed)]
}

/// An address with a free port below the range from which the kernel assigns ports.
pub fn free_port(ip: IpAddr) -> SocketAddr {
    ports::free_address(ip).unwrap()
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub fn document(options: &Options) -> config::Document {
    let yaml = format!(
        r#"
layout: {{ ledger_shards: 2, log_shards: 2, log_epoch_segments: 8 }}
workspaces:
  - name: kitchen
    keys: [{{ name: one, sha256: {kitchen} }}]
    budgets:
      - {{ name: main, cover_s: {cover}, minimum_grant_tokens: {minimum} }}
  - name: gate
    keys: [{{ name: one, sha256: {gate} }}]
    budgets:
      - {{ name: main, cover_s: {cover}, minimum_grant_tokens: {minimum} }}
services:
  - {{ name: roast, kind: model, policy: model, models: [roast-7b], answer_tokens_max: 4096 }}
  - name: payments
    kind: plain
    policy: plain
    call_tokens: 1
    answer_time_ms: 20000
    unrepeatable: [{{ method: POST, path_prefix: /release }}]
  - {{ name: secret, kind: model, policy: secret, models: [secret-1b] }}
policies:
  - {{ name: model, program: 'allow("main", 5, [])' }}
  - {{ name: plain, program: 'allow("main", 9, [])' }}
  - name: secret
    program: 'if workspace == "gate" {{ allow("main", 5, []) }} else {{ deny("not yours") }}'
"#,
        kitchen = doorswitch::auth::digest_hex("kitchen-key"),
        gate = doorswitch::auth::digest_hex("gate-key"),
        cover = options.cover_s,
        minimum = options.minimum_grant_tokens,
    );
    doorswitch::document::parse(&yaml, "test.yaml".as_ref(), None).unwrap()
}

impl Fleet {
    /// Starts everything and waits until every router is ready and lists the others as alive.
    ///
    /// The budgets are paid before a router runs: a router that finds a budget empty reads it again only after ten
    /// seconds.
    pub fn start(name: &str, options: Options) -> Self {
        let mut fleet = Self::prepare(name, &options);
        fleet.publish(&fleet.document.clone());
        fleet.pay("kitchen", options.budget_tokens, "first");
        fleet.pay("gate", options.budget_tokens, "first");
        fleet.spawn_all();
        fleet.wait_ready();
        fleet
    }

    /// Starts everything without a configuration and doesn't wait until the routers are ready.
    pub fn start_unready(name: &str, options: &Options) -> Self {
        let mut fleet = Self::prepare(name, options);
        fleet.spawn_all();
        fleet
    }

    /// Starts the stand-ins and the network proxies, but no router.
    fn prepare(name: &str, options: &Options) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let platform = platform::Platform::start(any_port()).unwrap();
        let local = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let platform_proxy = network::Proxy::start(local, Some(platform.address())).unwrap();
        let engines: Vec<engine::Engine> = (0..options.engines)
            .map(|_| engine::Engine::start(any_port(), options.engine_mode).unwrap())
            .collect();
        let services: Vec<service::Service> =
            (0..options.services).map(|_| service::Service::start(any_port()).unwrap()).collect();
        let document = document(options);
        let mut fleet = Self {
            platform,
            engines,
            services,
            platform_proxy,
            routers: Vec::new(),
            folder,
            document,
            net: fleet_net(),
        };
        for index in 0..options.routers {
            let router = fleet.new_router(index, options.regions);
            fleet.routers.push(router);
        }
        fleet.platform.set_vms(fleet.vms());
        fleet
    }

    fn spawn_all(&mut self) {
        for index in 0..self.routers.len() {
            self.spawn(index);
        }
    }

    fn new_router(&self, index: usize, regions: usize) -> Router {
        let [high, low] = self.net;
        let ip = IpAddr::V4(Ipv4Addr::new(127, high, low, 10 + index as u8));
        let proxy = network::Proxy::start(ip, None).unwrap();
        Router {
            child: None,
            callers: free_port(ip),
            operators: free_port(ip),
            settings: self.folder.join(format!("router-{index}.yaml")),
            vm: format!("entry-{index}"),
            ip,
            region: index % regions,
            proxy,
            peer: None,
        }
    }

    /// Adds scripted servers to the list of VMs, each of the service that `service` returns for its index, and
    /// waits until all routers list them.
    pub fn add_scripted_servers(
        &self,
        servers: &[backend::Backend],
        service: impl Fn(usize) -> &'static str,
    ) {
        let mut vms = self.vms();
        for (index, server) in servers.iter().enumerate() {
            vms.push(platform::Vm {
                vm: format!("server-{index}"),
                service: service(index).to_owned(),
                address: server.address().to_string(),
                class: "new".to_owned(),
                version: String::new(),
                failure_domain: "a".to_owned(),
                state: "live".to_owned(),
            });
        }
        self.platform.set_vms(vms);
        for index in 0..self.routers.len() {
            eventually("the router lists the servers", || {
                self.dump(index)["servers"].as_object().map_or(0, |listed| listed.len())
                    == servers.len()
            });
        }
    }

    /// The VMs of all routers, engines and services, without scripted servers.
    pub fn vms(&self) -> Vec<platform::Vm> {
        let vm = |vm: String, service: &str, address: SocketAddr| platform::Vm {
            vm,
            service: service.to_owned(),
            address: address.to_string(),
            class: "new".to_owned(),
            version: String::new(),
            failure_domain: "a".to_owned(),
            state: "live".to_owned(),
        };
        let routers = self
            .routers
            .iter()
            .map(|router| vm(router.vm.clone(), "doorswitch", router.proxy.address));
        let engines = self
            .engines
            .iter()
            .enumerate()
            .map(|(index, engine)| vm(format!("engine-{index}"), "roast", engine.address()));
        let services =
            self.services.iter().enumerate().map(|(index, service)| {
                vm(format!("service-{index}"), "payments", service.address())
            });
        routers.chain(engines).chain(services).collect()
    }

    /// Starts or restarts a router's process with a new address for peers.
    pub fn spawn(&mut self, index: usize) {
        let peer = free_port(self.routers[index].ip);
        self.spawn_at(index, peer);
    }

    /// Starts or restarts a router's process with the given address for peers.
    pub fn spawn_at(&mut self, index: usize, peer: SocketAddr) {
        let platform = self.platform_proxy.address;
        let seeds: Vec<String> = self
            .routers
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index)
            .map(|(_, router)| router.proxy.address.to_string())
            .collect();
        let router = &mut self.routers[index];
        router.proxy.set_target(peer);
        router.peer = Some(peer);
        let settings = format!(
            r#"
vm: {vm}
region: region-{region}
failure_domain: domain-{index}
callers: {{ listen: "{callers}", traffic_threads: 1 }}
operators: {{ listen: "{operators}", key_sha256: {key} }}
peers: {{ listen: "{peer}", advertise: "{advertise}", seeds: [{seeds}] }}
platform: {{ url: "http://{platform}", timeout_ms: 500, reads_per_s: 2000, writes_per_s: 100 }}
limits: {{ load_poll_ms: 100, stop_grace_s: 60, body_read_ms: 1000, head_read_ms: 1000 }}
"#,
            vm = router.vm,
            region = router.region,
            callers = router.callers,
            operators = router.operators,
            key = doorswitch::auth::digest_hex(OPERATOR_KEY),
            advertise = router.proxy.address,
            seeds = seeds.iter().map(|seed| format!("{seed:?}")).collect::<Vec<_>>().join(", "),
        );
        fs::write(&router.settings, settings).unwrap();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("router-{index}.log")))
            .unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_doorswitch"))
            .arg("router")
            .arg("--settings")
            .arg(&router.settings)
            .stderr(log)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        router.child = Some(child);
    }
}
