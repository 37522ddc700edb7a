//! A small fleet for integration tests: router processes behind proxies that inject network faults, with
//! stand-ins for the platform and the backend servers in the test's own process.

#![allow(dead_code, clippy::unwrap_used, missing_docs, unused_imports)]

mod faults;
mod http;
mod observe;
pub mod scripted;
mod start;

pub use http::{Answer, call, parse, send};
pub use start::{document, free_port};

use doorswitch_core::config;
use doorswitch_standins::{engine, network, platform, service};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::Child;
use std::thread;
use std::time::{Duration, Instant};

/// Time within which a condition of [`eventually`] has to hold; reached only by a test that fails.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);

pub const OPERATOR_KEY: &str = "test-operator-key";

pub struct Options {
    pub routers: usize,
    pub engines: usize,
    pub services: usize,
    pub regions: usize,
    pub engine_mode: engine::Mode,
    pub budget_tokens: u64,
    pub cover_s: u64,
    pub minimum_grant_tokens: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            routers: 3,
            engines: 2,
            services: 1,
            regions: 1,
            engine_mode: engine::Mode::default(),
            budget_tokens: 100_000,
            cover_s: 60,
            minimum_grant_tokens: 2_000,
        }
    }
}

pub struct Router {
    pub child: Option<Child>,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub settings: PathBuf,
    pub vm: String,
    pub ip: IpAddr,
    pub region: usize,
    pub proxy: network::Proxy,
    peer: Option<SocketAddr>,
}

pub struct Fleet {
    pub platform: platform::Platform,
    pub engines: Vec<engine::Engine>,
    pub services: Vec<service::Service>,
    pub platform_proxy: network::Proxy,
    pub routers: Vec<Router>,
    pub folder: PathBuf,
    pub document: config::Document,
    net: [u8; 2],
}

/// Waits until a condition holds; panics after [`CONDITION_TIMEOUT`].
pub fn eventually(what: &str, condition: impl FnMut() -> bool) {
    assert!(holds_within(CONDITION_TIMEOUT, condition), "condition did not hold in time: {what}");
}

pub fn holds_within(time: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + time;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    condition()
}

impl Fleet {
    /// The address at which a router's process receives messages of its peers.
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        self.routers[index].peer.unwrap()
    }

    pub fn wait_ready(&self) {
        let count = self.routers.len();
        for index in 0..count {
            self.wait_router_ready(index);
            let all_alive =
                holds_within(CONDITION_TIMEOUT, || self.members_alive(index) == count - 1);
            assert!(
                all_alive,
                "router {index} does not list every peer as alive: {}",
                self.report()
            );
        }
    }

    pub fn wait_router_ready(&self, index: usize) {
        eventually("the router is ready and lists every server", || {
            let answer = self.get(index, "/readyz", "none");
            let dump = self.dump(index);
            let server_count = self.engines.len() + self.services.len();
            let servers = dump["servers"].as_object().map_or(0, serde_json::Map::len);
            answer.is_some_and(|answer| answer.status == 200) && servers == server_count
        });
    }

    pub fn members_alive(&self, index: usize) -> usize {
        let dump = self.dump(index);
        let members = dump["members"].as_array().cloned().unwrap_or_default();
        members.iter().filter(|member| member["health"] == "Alive").count()
    }

    pub fn dump(&self, index: usize) -> serde_json::Value {
        let url = self.routers[index].operators;
        let answer = call(url, "GET", "/dump", OPERATOR_KEY, &[], "");
        answer.map_or(serde_json::Value::Null, |answer| answer.json())
    }

    pub fn publish(&self, document: &config::Document) -> u64 {
        let platform = self.platform.address();
        let document = document.clone();
        on_system(move || async move {
            let client =
                doorswitch::platform::Client::new(&format!("http://{platform}"), 500, None);
            let base = doorswitch::publish::current(&client).await.unwrap().version();
            let operation = unique_operation_id();
            doorswitch::publish::publish(&client, &document, base, &operation, CONDITION_TIMEOUT)
                .await
                .unwrap()
        })
    }

    pub fn pay(&self, workspace: &str, tokens: u64, operation: &str) {
        let platform = self.platform.address();
        let (workspace, operation) = (workspace.to_owned(), operation.to_owned());
        on_system(move || async move {
            let client =
                doorswitch::platform::Client::new(&format!("http://{platform}"), 500, None);
            doorswitch::publish::pay(
                &client,
                &workspace,
                "main",
                tokens,
                &operation,
                CONDITION_TIMEOUT,
            )
            .await
            .unwrap();
        });
    }

    pub fn get(&self, index: usize, path: &str, key: &str) -> Option<Answer> {
        call(self.routers[index].callers, "GET", path, key, &[], "")
    }

    /// Requests a completion; `None` if the connection failed.
    pub fn complete(
        &self,
        index: usize,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> Option<Answer> {
        self.complete_as(index, "kitchen-key", None, prompt, tokens, stream)
    }

    pub fn complete_as(
        &self,
        index: usize,
        key: &str,
        id: Option<&str>,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> Option<Answer> {
        let headers: Vec<(&str, &str)> = id.map(|id| ("Idempotency-Key", id)).into_iter().collect();
        let body = completion_body(prompt, tokens, stream);
        call(self.routers[index].callers, "POST", "/v1/chat/completions", key, &headers, &body)
    }

    pub fn release(&self, index: usize, id: &str, body: &str) -> Option<Answer> {
        let headers = [("Idempotency-Key", id)];
        let path = "/services/payments/release/7";
        call(self.routers[index].callers, "POST", path, "kitchen-key", &headers, body)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{}", self.failure_report());
        }
        for index in 0..self.routers.len() {
            self.kill(index);
        }
    }
}

pub fn completion_body(prompt: &str, tokens: u64, stream: bool) -> String {
    serde_json::json!({
        "model": "roast-7b",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    })
    .to_string()
}

pub fn unique_operation_id() -> String {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let count = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("operation-{}-{count}", std::process::id())
}

/// Runs a future to its end on a new thread with its own actix system.
pub fn on_system<T, F>(start: impl FnOnce() -> F + Send + 'static) -> T
where
    T: Send + 'static,
    F: Future<Output = T>,
{
    thread::spawn(move || actix_web::rt::System::new().block_on(start())).join().unwrap()
}
