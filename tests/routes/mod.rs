//! Routers that serve by routes, with stand-ins for the store and the servers of the users' platform.

#![allow(clippy::unwrap_used, missing_docs, dead_code)]

pub mod crashing;
pub mod load;
pub mod scripted;
pub mod streams;

use crate::fleet;
use doorswitch_standins::{backend, network, store};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

pub const HOST: &str = "roastery.example";
pub const KEY: &str = "cafe-key";
/// Prepaid tokens of each tenant where a test sets no other number.
pub const PREPAID: u64 = 1_000_000;

pub struct World {
    pub store: store::Store,
    /// The proxy between the routers and the store, if a test injects faults there.
    pub store_proxy: Option<network::Proxy>,
    /// The proxies between the routers and each server, if a test injects faults there.
    pub server_proxies: Vec<network::Proxy>,
    /// The proxies between each router and its peers, if a test injects faults there.
    pub peer_proxies: Vec<network::Proxy>,
    pub backends: Vec<backend::Backend>,
    pub routers: Vec<Router>,
    pub version: u64,
    /// Whether routers write their logs to a pipe that is never read.
    pub unread_logs: bool,
    /// The number of files and sockets that a router's process may have open, if it is less than this process may.
    pub descriptors_max: Option<u64>,
    folder: PathBuf,
    /// Whether routers that are added get proxies between them and their peers.
    puts_proxies_before_peers: bool,
}

pub struct Router {
    child: Option<Child>,
    pub clients: SocketAddr,
    pub operators: SocketAddr,
    peers: SocketAddr,
}

/// An HTTP answer as received by a client.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body is complete according to its framing.
    pub whole: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> Option<String> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let line = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        line.map(|(_, value)| value.trim().to_owned())
    }
}

/// The configuration of the tests: routes of several kinds to one service.
pub fn configuration(version: u64, keys: &[&str], prepaid: u64) -> Vec<u8> {
    let route = |name: &str, kind: &str, attempts: u32, resume: bool, timeout_ms: u64| {
        json!({
            "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "routeType": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": 500, "priority": 1, "service": "app",
            "maxAttempts": attempts, "public": false, "sessionAffinity": false,
            "streamResume": resume,
        })
    };
    let configuration = json!({
        "version": version,
        "routes": [
            route("read", "idempotent", 2, false, 3_000),
            route("pay", "non_idempotent", 2, false, 3_000),
            route("stream", "streaming", 1, false, 10_000),
            route("resume", "streaming", 2, true, 10_000),
            route("brief", "idempotent", 1, false, 300),
            // Timeouts longer than any test waits: a request that ends earlier did not end by its deadline.
            route("long", "idempotent", 2, false, 300_000),
            route("long-pay", "non_idempotent", 2, false, 300_000),
            route("long-stream", "streaming", 1, false, 300_000),
        ],
        "services": [{
            "name": "app", "healthPath": "/health", "maxConnections": 100,
            "engine": { "slots": 8, "stride": 3 },
        }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
        "tenants": [
            { "name": "cafe", "apiKeys": keys, "priority": 1, "prepaid": prepaid },
            { "name": "school", "apiKeys": ["school-key"], "priority": 0, "prepaid": prepaid },
        ],
    });
    configuration.to_string().into_bytes()
}

impl World {
    /// Starts servers that follow these scripts, and one router; waits until it is ready.
    pub fn start(name: &str, scripts: Vec<backend::Script>) -> Self {
        let mut world = Self::unready(name, scripts);
        world.publish(&[KEY], PREPAID);
        world.add_router();
        world.wait_ready(0);
        world
    }

    /// Starts servers that follow these scripts, without a router and without a configuration.
    pub fn unready(name: &str, scripts: Vec<backend::Script>) -> Self {
        let store = store::Store::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let start = |script| backend::Backend::start(script).unwrap();
        let backends: Vec<backend::Backend> = scripts.into_iter().map(start).collect();
        let folder = std::env::temp_dir().join(format!("doorswitch-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let world = Self {
            store,
            store_proxy: None,
            server_proxies: Vec::new(),
            peer_proxies: Vec::new(),
            backends,
            routers: Vec::new(),
            version: 0,
            unread_logs: false,
            descriptors_max: None,
            folder,
            puts_proxies_before_peers: false,
        };
        for index in 0..world.backends.len() {
            world.record_server(index, "ready");
        }
        world
    }

    /// Starts the same as [`World::start`], with proxies in front of the store and the servers.
    pub fn start_behind_proxies(name: &str, scripts: Vec<backend::Script>) -> Self {
        let mut world = Self::unready(name, scripts);
        world.store_proxy = Some(start_proxy(world.store.address()));
        world.put_proxies_before_servers();
        world.publish(&[KEY], PREPAID);
        world.add_router();
        world.wait_ready(0);
        world
    }

    /// Starts proxies in front of the store and of the peer address of each router that is added from now on.
    pub fn put_proxies_before_store_and_peers(&mut self) {
        self.store_proxy = Some(start_proxy(self.store.address()));
        self.puts_proxies_before_peers = true;
    }

    /// Starts a proxy in front of each server, and writes the servers' records with the proxies' addresses.
    pub fn put_proxies_before_servers(&mut self) {
        self.server_proxies =
            self.backends.iter().map(|backend| start_proxy(backend.address())).collect();
        for index in 0..self.backends.len() {
            self.record_server(index, "ready");
        }
    }

    fn store_address(&self) -> SocketAddr {
        self.store_proxy.as_ref().map_or_else(|| self.store.address(), |proxy| proxy.address)
    }

    fn server_address(&self, index: usize) -> SocketAddr {
        let proxy = self.server_proxies.get(index);
        proxy.map_or_else(|| self.backends[index].address(), |proxy| proxy.address)
    }

    /// Publishes a configuration with a higher version.
    pub fn publish(&mut self, keys: &[&str], prepaid: u64) {
        self.version += 2;
        self.store.put("op/config", &configuration(self.version, keys, prepaid));
    }

    /// Writes a server's record with this state, in failure domain `a`.
    pub fn record_server(&self, index: usize, state: &str) {
        self.record_server_in(index, state, "a");
    }

    /// Writes the record of a server of another service.
    pub fn record_server_of(&self, index: usize, service: &str) {
        let mut record = self.server_record(index, "ready", "a");
        record["service"] = service.into();
        self.put_record(&format!("i-{index}"), &record);
    }

    /// Writes a server's record with this state, in the given failure domain.
    pub fn record_server_in(&self, index: usize, state: &str, domain: &str) {
        self.record(index, &format!("i-{index}"), state, domain);
    }

    /// Writes a record with another id for the address of the server at `index`.
    pub fn record_server_as(&self, index: usize, id: &str, state: &str) {
        self.record(index, id, state, "a");
    }

    /// Writes a record with another id and software version for the address of the server at `index`.
    pub fn record_version(&self, index: usize, id: &str, version: &str, state: &str) {
        let mut record = self.server_record(index, state, "a");
        record["version"] = version.into();
        self.put_record(id, &record);
    }

    fn record(&self, index: usize, id: &str, state: &str, domain: &str) {
        self.put_record(id, &self.server_record(index, state, domain));
    }

    fn server_record(&self, index: usize, state: &str, domain: &str) -> serde_json::Value {
        json!({
            "service": "app", "address": self.server_address(index).to_string(), "zone": domain,
            "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
        })
    }

    fn put_record(&self, id: &str, record: &serde_json::Value) {
        self.store.put(&format!("servers/{id}"), record.to_string().as_bytes());
    }

    /// Removes the record of a server.
    pub fn remove_record(&self, id: &str) {
        self.store.remove(&format!("servers/{id}"));
    }

    /// Writes a server's record with the field `born`, the JSON value of the time of its start.
    pub fn record_server_born(&self, index: usize, state: &str, born: &str) {
        let mut record = self.server_record(index, state, "a");
        record["born"] = serde_json::from_str(born).unwrap();
        self.put_record(&format!("i-{index}"), &record);
    }

    pub fn add_router(&mut self) {
        self.add_router_at(IpAddr::V4(Ipv4Addr::LOCALHOST));
    }

    /// Starts a router at each of these addresses, and waits until all are ready and list each other.
    pub fn add_fleet(&mut self, addresses: impl Iterator<Item = IpAddr>) {
        addresses.for_each(|ip| self.add_router_at(ip));
        let count = self.routers.len();
        for router in 0..count {
            self.wait_ready(router);
            self.wait_for_peers(router, count - 1);
        }
    }

    /// Starts a router that listens and connects at an address of loopback, by which proxies identify it.
    pub fn add_router_at(&mut self, ip: IpAddr) {
        let [clients, operators, peers] = [(); 3].map(|()| fleet::free_port(ip));
        self.routers.push(Router { child: None, clients, operators, peers });
        if self.puts_proxies_before_peers {
            self.peer_proxies.push(network::Proxy::start(ip, Some(peers)).unwrap());
        }
        self.spawn(self.routers.len() - 1);
    }

    /// Starts or restarts a router's process at its addresses.
    pub fn spawn(&mut self, index: usize) {
        let store = self.store_address();
        let advertise = self
            .peer_proxies
            .get(index)
            .map_or_else(String::new, |proxy| format!(", advertise: \"{}\"", proxy.address));
        let router = &mut self.routers[index];
        let settings = format!(
            "vm: entry-{index}\nregion: r\nfailure_domain: a\n\
             gateway: {{ listen: \"{}\", drain_ms: 300 }}\n\
             operators: {{ listen: \"{}\", key_sha256: {} }}\npeers: {{ listen: \"{}\"{advertise} }}\n\
             platform: {{ url: \"http://{}\", protocol: revisions, timeout_ms: 500 }}\n\
             limits: {{ stop_grace_s: 8 }}\n",
            router.clients,
            router.operators,
            doorswitch::auth::digest_hex(fleet::OPERATOR_KEY),
            router.peers,
            store,
        );
        let file = self.folder.join(format!("router-{index}.yaml"));
        std::fs::write(&file, settings).unwrap();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("router-{index}.log")))
            .unwrap();
        let limit =
            self.descriptors_max.map_or_else(String::new, |max| format!("ulimit -n {max};"));
        let child = Command::new("sh")
            .args(["-c", &format!("{limit} exec \"$0\" \"$@\"")])
            .arg(env!("CARGO_BIN_EXE_doorswitch"))
            .args(["router", "--settings"])
            .arg(&file)
            .stderr(if self.unread_logs { Stdio::piped() } else { Stdio::from(log) })
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        router.child = Some(child);
    }

    pub fn wait_ready(&self, index: usize) {
        fleet::eventually("the router is ready", || self.ready(index) == Some(200));
    }

    /// The address at which a router receives connections of its peers.
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        self.routers[index].peers
    }

    /// Waits until a router lists this many peers as alive.
    pub fn wait_for_peers(&self, index: usize, count: usize) {
        fleet::eventually("the router lists its peers as alive", || {
            let dump = self.dump(index);
            let members = dump["members"].as_array().cloned().unwrap_or_default();
            members.iter().filter(|member| member["health"] == "Alive").count() == count
        });
    }

    pub fn dump(&self, index: usize) -> serde_json::Value {
        let operators = self.routers[index].operators;
        let answer = fleet::call(operators, "GET", "/dump", fleet::OPERATOR_KEY, &[], "");
        answer.map_or(serde_json::Value::Null, |answer| answer.json())
    }

    pub fn ready(&self, index: usize) -> Option<u16> {
        let answer = fleet::call(self.routers[index].operators, "GET", "/readyz", "", &[], "");
        answer.map(|answer| answer.status)
    }

    pub fn metrics(&self, index: usize) -> String {
        let answer = fleet::call(self.routers[index].operators, "GET", "/metrics", "", &[], "");
        answer.map(|answer| answer.body).unwrap_or_default()
    }

    pub fn log(&self, index: usize) -> String {
        let file = self.folder.join(format!("router-{index}.log"));
        std::fs::read_to_string(file).unwrap_or_default()
    }

    pub fn signal(&self, index: usize, signal: &str) {
        let id = self.routers[index].child.as_ref().unwrap().id();
        Command::new("kill").arg(format!("-{signal}")).arg(id.to_string()).status().unwrap();
    }

    /// The most memory that a router's process has used.
    pub fn peak_memory_bytes(&self, index: usize) -> u64 {
        let id = self.routers[index].child.as_ref().unwrap().id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() << 10
    }

    /// The number of clients' connections that a router has not closed, with those that it has not accepted yet.
    pub fn open_client_connections(&self, index: usize) -> usize {
        /// The states SYN_RECV, ESTABLISHED and CLOSE_WAIT, as the kernel lists them.
        const OPEN: [&str; 3] = ["03", "01", "08"];
        let port = format!(":{:04X}", self.routers[index].clients.port());
        let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let is_open = |line: &&str| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            fields[1].ends_with(&port) && OPEN.contains(&fields[3])
        };
        sockets.lines().skip(1).filter(is_open).count()
    }

    /// The address of a router for operators and health checks.
    pub fn operators(&self, index: usize) -> SocketAddr {
        self.routers[index].operators
    }

    /// Kills a router's process without a planned stop, as a loss of power does.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.routers[index].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until a router that received a stop signal exits; returns whether its exit status is success.
    pub fn wait_stopped(&mut self, index: usize) -> bool {
        let mut child = self.routers[index].child.take().unwrap();
        child.wait().unwrap().success()
    }

    /// Opens a connection and sends a request, without reading the answer.
    pub fn send(&self, index: usize, request: &Request<'_>) -> TcpStream {
        let mut stream = TcpStream::connect(self.routers[index].clients).unwrap();
        stream.write_all(request.bytes().as_bytes()).unwrap();
        stream
    }

    /// Sends a request on a new connection and reads the answer.
    pub fn call(&self, index: usize, request: &Request<'_>) -> Answer {
        let mut stream = self.send(index, request);
        read_answer(&mut stream)
    }
}

fn start_proxy(target: SocketAddr) -> network::Proxy {
    network::Proxy::start(IpAddr::V4(Ipv4Addr::LOCALHOST), Some(target)).unwrap()
}

impl Drop for World {
    fn drop(&mut self) {
        for index in 0..self.routers.len() {
            self.kill(index);
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A request of a client.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    /// Prompt tokens and the maximum of completion tokens.
    pub tokens: Option<(u64, u64)>,
    pub headers: &'a str,
    pub body: &'a str,
}

impl Request<'_> {
    pub fn bytes(&self) -> String {
        let tokens = self.tokens.map_or_else(String::new, |(prompt, completion)| {
            format!(
                "Model: m\r\nToken-Count: {prompt},{completion}\r\nPrompt-Prefix: 5c:{prompt}\r\n"
            )
        });
        format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n\
             Authorization: Bearer {}\r\n{tokens}{}Content-Length: {}\r\n\r\n{}",
            self.method,
            self.path,
            self.id,
            self.deadline_ms,
            self.key,
            self.headers,
            self.body.len(),
            self.body
        )
    }
}

/// A request to a path with the valid key [`KEY`].
pub fn request<'a>(path: &'a str, id: &'a str) -> Request<'a> {
    Request {
        method: "POST",
        path,
        id,
        key: KEY,
        deadline_ms: 3_000,
        tokens: None,
        headers: "",
        body: "",
    }
}

/// The same with a deadline that no test reaches.
pub fn long_deadline_request<'a>(path: &'a str, id: &'a str) -> Request<'a> {
    Request { deadline_ms: 300_000, ..request(path, id) }
}

/// Reads one answer until it is complete or the connection ends or is silent for 20 s.
pub fn read_answer(stream: &mut TcpStream) -> Answer {
    read_answer_until(stream, |_| false)
}

/// The same, but stops as soon as `stop` holds for what has been received.
pub fn read_answer_until(stream: &mut TcpStream, stop: impl Fn(&Answer) -> bool) -> Answer {
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let mut received = Vec::new();
    loop {
        if let Some(answer) = parse(&received).filter(|answer| answer.whole || stop(answer)) {
            return answer;
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            // A process that was stopped by a signal reads on.
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            Ok(0) | Err(_) => return parse(&received).unwrap_or_default(),
            Ok(length) => received.extend_from_slice(&chunk[..length]),
        }
    }
}

fn parse(received: &[u8]) -> Option<Answer> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut answer = Answer { status, head, body: Vec::new(), whole: false };
    let rest = &received[end..];
    if let Some(length) =
        answer.header("content-length").and_then(|value| value.parse::<usize>().ok())
    {
        answer.whole = rest.len() >= length;
        answer.body = rest[..rest.len().min(length)].to_vec();
        return Some(answer);
    }
    (answer.body, answer.whole) = unchunk(rest);
    Some(answer)
}

/// The data of the chunks, and whether the last chunk was received.
fn unchunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut data = Vec::new();
    while let Some(end) = bytes.windows(2).position(|window| window == b"\r\n") {
        let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let Ok(length) = usize::from_str_radix(&text, 16) else { break };
        if length == 0 {
            return (data, true);
        }
        let start = end + 2;
        if bytes.len() < start + length + 2 {
            break;
        }
        data.extend_from_slice(&bytes[start..start + length]);
        bytes = &bytes[start + length + 2..];
    }
    (data, false)
}

pub use doorswitch_standins::wire::STREAM_HEAD;

/// A server-sent event in a chunk of its own.
pub fn event(number: u64) -> backend::Step {
    let event = format!("id: {number}\ndata: piece {number}\n\n");
    backend::Step::Write(format!("{:x}\r\n{event}\r\n", event.len()))
}

/// The last chunk, which ends a chunked body.
pub fn last_chunk() -> backend::Step {
    backend::Step::Write("0\r\n\r\n".to_owned())
}

/// The script of a server that answers every request with this text.
pub fn answers(text: &'static str) -> backend::Script {
    Box::new(move |_, _| vec![backend::response("200 OK", text)])
}
