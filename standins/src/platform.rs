//! A stand-in for the platform: a key-value service with compare-and-swap and watches, and the list of VMs.
//!
//! The key-value part implements a subset of the Consul HTTP API: `GET /v1/kv/<key>` (with `index` and
//! `wait` for a watch, `recurse` for a prefix) and `PUT /v1/kv/<key>?cas=<index>`, `DELETE`. `GET /v1/vms`
//! returns the list of VMs. The stand-in can simulate outages, slow calls, replies that are lost after a write took
//! effect, and rate limits.

use crate::server;
use actix_web::{HttpResponse, web};
use base64::Engine as _;
use base64::engine::general_purpose;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{io, net};
use tokio::sync;

/// How long the connection of a lost reply stays open.
const LOST_REPLY_HOLD_TIME: Duration = Duration::from_secs(20);

/// The faults that the platform simulates.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// Whether every call fails with 503.
    pub out: bool,
    /// The delay that is added to every call, in milliseconds.
    pub slow_ms: u64,
    /// The percentage of writes that take effect without a reply.
    pub lose_write_replies_percent: u32,
    /// The maximum number of writes that are admitted per second; 0 means no limit.
    pub writes_per_s: u64,
    /// The maximum number of reads that are admitted per second; 0 means no limit.
    pub reads_per_s: u64,
    /// The time until a change to the list of VMs is visible, in milliseconds.
    pub vms_lag_ms: u64,
}

/// The numbers of calls received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// The number of reads, including watches.
    pub reads: u64,
    /// The number of writes and deletes.
    pub writes: u64,
    /// The number of calls that were rejected by a rate limit.
    pub limited: u64,
}

/// An entry of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name of the VM.
    pub vm: String,
    /// The service that runs on it.
    pub service: String,
    /// The address of the service on this VM.
    pub address: String,
    /// The hardware class of the VM.
    pub class: String,
    /// The software version of the service.
    #[serde(default)]
    pub version: String,
    /// The failure domain of the VM.
    pub failure_domain: String,
    /// The state: `live` or `leaving`.
    pub state: String,
}

#[derive(Clone, Debug)]
struct Value {
    index: u64,
    bytes: Vec<u8>,
}

#[derive(Debug, Default)]
struct RateWindow {
    started_at: Option<Instant>,
    count: u64,
}

impl RateWindow {
    fn try_acquire(&mut self, per_s: u64) -> bool {
        let expired = self.started_at.is_none_or(|start| start.elapsed() >= Duration::from_secs(1));
        if expired {
            *self = Self { started_at: Some(Instant::now()), count: 0 };
        }
        self.count += 1;
        per_s == 0 || self.count <= per_s
    }
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    calls: Calls,
    index: u64,
    values: BTreeMap<String, Value>,
    vms_index: u64,
    vms: Vec<Vm>,
    visible_vms: (u64, Vec<Vm>),
    pending_vms: Vec<(Instant, u64, Vec<Vm>)>,
    reads: RateWindow,
    writes: RateWindow,
    write_count: u64,
}

/// A running platform; it stops when dropped.
#[derive(Debug)]
pub struct Platform {
    server: server::Server,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: sync::Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Platform {
    /// Starts a platform; with port 0 it listens on any free port.
    pub fn start(address: net::SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let data = web::Data::from(shared.clone());
        let server = server::Server::start(address, move |config| {
            config
                .app_data(data.clone())
                .route("/v1/kv/{key:.*}", web::get().to(get))
                .route("/v1/kv/{key:.*}", web::put().to(put))
                .route("/v1/kv/{key:.*}", web::delete().to(delete))
                .route("/v1/vms", web::get().to(vms))
                .route("/v1/vms", web::put().to(put_vms))
                .route("/mode", web::put().to(set_mode))
                .route("/calls", web::get().to(calls));
        })?;
        Ok(Self { server, shared })
    }

    /// The address on which the platform listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Replaces all faults that the platform simulates.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.lock().mode = mode;
    }

    /// The numbers of calls received so far.
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.shared.lock().set_vms(vms);
        self.shared.changed.notify_waiters();
    }

    /// The current list of VMs, including changes that are not visible to clients yet.
    pub fn vms(&self) -> Vec<Vm> {
        self.shared.lock().vms.clone()
    }

    /// Reads the values under a prefix directly, without simulated faults.
    pub fn values(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.shared.lock();
        let range = state.values.range(prefix.to_owned()..);
        range
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, value)| (key.clone(), value.bytes.clone()))
            .collect()
    }
}

impl State {
    fn set_vms(&mut self, vms: Vec<Vm>) {
        self.vms_index += 1;
        self.vms = vms.clone();
        let visible_at = Instant::now() + Duration::from_millis(self.mode.vms_lag_ms);
        self.pending_vms.push((visible_at, self.vms_index, vms));
    }

    fn visible_vms(&mut self) -> (u64, Vec<Vm>) {
        let now = Instant::now();
        while self.pending_vms.first().is_some_and(|(visible_at, _, _)| *visible_at <= now) {
            let (_, index, vms) = self.pending_vms.remove(0);
            self.visible_vms = (index, vms);
        }
        self.visible_vms.clone()
    }

    fn admit_read(&mut self) -> Result<Mode, Box<HttpResponse>> {
        self.calls.reads += 1;
        let per_s = self.mode.reads_per_s;
        let within_limit = self.reads.try_acquire(per_s);
        self.admit(within_limit)
    }

    fn admit_write(&mut self) -> Result<Mode, Box<HttpResponse>> {
        self.calls.writes += 1;
        let per_s = self.mode.writes_per_s;
        let within_limit = self.writes.try_acquire(per_s);
        self.admit(within_limit)
    }

    fn admit(&mut self, within_limit: bool) -> Result<Mode, Box<HttpResponse>> {
        if self.mode.out {
            return Err(Box::new(HttpResponse::ServiceUnavailable().body("out")));
        }
        if !within_limit {
            self.calls.limited += 1;
            return Err(Box::new(HttpResponse::TooManyRequests().body("rate limit")));
        }
        Ok(self.mode)
    }

    fn find(&self, key: &str, recurse: bool) -> (u64, Vec<serde_json::Value>) {
        let range = self.values.range(key.to_owned()..);
        let matching = range
            .take_while(|(name, _)| name.starts_with(key))
            .filter(|(name, _)| recurse || *name == key);
        let mut newest = 0;
        let mut rows = Vec::new();
        for (name, value) in matching {
            newest = newest.max(value.index);
            rows.push(serde_json::json!({
                "Key": name,
                "Value": general_purpose::STANDARD.encode(&value.bytes),
                "CreateIndex": value.index,
                "ModifyIndex": value.index,
                "LockIndex": 0,
                "Flags": 0,
            }));
        }
        (newest, rows)
    }

    fn write(&mut self, key: String, cas: Option<u64>, bytes: Vec<u8>) -> bool {
        let current = self.values.get(&key).map_or(0, |value| value.index);
        if cas.is_some_and(|expected| expected != current) {
            return false;
        }
        self.index += 1;
        self.values.insert(key, Value { index: self.index, bytes });
        true
    }

    fn loses_reply(&mut self) -> bool {
        self.write_count += 1;
        let percent = u64::from(self.mode.lose_write_replies_percent);
        // Lost replies are spread evenly and without chance, so that the same sequence of writes loses the same
        // replies.
        (self.write_count * percent) / 100 > ((self.write_count - 1) * percent) / 100
    }
}

async fn get(
    shared: web::Data<Shared>,
    key: web::Path<String>,
    query: web::Query<HashMap<String, String>>,
) -> HttpResponse {
    let mode = match shared.lock().admit_read() {
        Ok(mode) => mode,
        Err(refused) => return *refused,
    };
    delay(mode).await;
    let recurse = query.contains_key("recurse");
    let known_index: u64 = query.get("index").and_then(|text| text.parse().ok()).unwrap_or(0);
    let deadline = Instant::now() + watch_time(&query);
    loop {
        let notified = shared.changed.notified();
        let (newest, rows) = shared.lock().find(&key, recurse);
        if newest > known_index || Instant::now() >= deadline || known_index == 0 {
            let index = ("X-Consul-Index", newest.max(1).to_string());
            if rows.is_empty() {
                return HttpResponse::NotFound().insert_header(index).finish();
            }
            return HttpResponse::Ok().insert_header(index).json(rows);
        }
        if shared.lock().mode.out {
            return HttpResponse::ServiceUnavailable().body("out");
        }
        let _ = tokio::time::timeout(Duration::from_millis(200), notified).await;
    }
}

async fn put(
    shared: web::Data<Shared>,
    key: web::Path<String>,
    query: web::Query<HashMap<String, String>>,
    body: web::Bytes,
) -> HttpResponse {
    let mode = match shared.lock().admit_write() {
        Ok(mode) => mode,
        Err(refused) => return *refused,
    };
    delay(mode).await;
    if body.len() > 1 << 20 {
        return HttpResponse::PayloadTooLarge().body("the value is larger than 1 MiB");
    }
    let cas = query.get("cas").and_then(|text| text.parse().ok());
    let (written, lost) = {
        let mut state = shared.lock();
        let written = state.write(key.into_inner(), cas, body.to_vec());
        (written, state.loses_reply())
    };
    shared.changed.notify_waiters();
    if lost {
        tokio::time::sleep(LOST_REPLY_HOLD_TIME).await;
        return HttpResponse::GatewayTimeout().finish();
    }
    HttpResponse::Ok().json(written)
}

async fn delete(
    shared: web::Data<Shared>,
    key: web::Path<String>,
    query: web::Query<HashMap<String, String>>,
) -> HttpResponse {
    let mode = match shared.lock().admit_write() {
        Ok(mode) => mode,
        Err(refused) => return *refused,
    };
    delay(mode).await;
    let recurse = query.contains_key("recurse");
    let is_deleted = |name: &String| *name == *key || (recurse && name.starts_with(key.as_str()));
    shared.lock().values.retain(|name, _| !is_deleted(name));
    shared.changed.notify_waiters();
    HttpResponse::Ok().json(true)
}

async fn vms(
    shared: web::Data<Shared>,
    query: web::Query<HashMap<String, String>>,
) -> HttpResponse {
    let mode = match shared.lock().admit_read() {
        Ok(mode) => mode,
        Err(refused) => return *refused,
    };
    delay(mode).await;
    let known_index: u64 = query.get("index").and_then(|text| text.parse().ok()).unwrap_or(0);
    let deadline = Instant::now() + watch_time(&query);
    loop {
        let notified = shared.changed.notified();
        let (index, vms) = shared.lock().visible_vms();
        if index > known_index || Instant::now() >= deadline {
            let body = serde_json::json!({ "index": index, "vms": vms });
            return HttpResponse::Ok().json(body);
        }
        if shared.lock().mode.out {
            return HttpResponse::ServiceUnavailable().body("out");
        }
        let _ = tokio::time::timeout(Duration::from_millis(100), notified).await;
    }
}

async fn put_vms(shared: web::Data<Shared>, vms: web::Json<Vec<Vm>>) -> HttpResponse {
    shared.lock().set_vms(vms.into_inner());
    shared.changed.notify_waiters();
    HttpResponse::Ok().finish()
}

async fn set_mode(shared: web::Data<Shared>, mode: web::Json<Mode>) -> HttpResponse {
    shared.lock().mode = mode.into_inner();
    HttpResponse::Ok().finish()
}

async fn calls(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.lock().calls)
}

async fn delay(mode: Mode) {
    if mode.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(mode.slow_ms)).await;
    }
}

fn watch_time(query: &HashMap<String, String>) -> Duration {
    let text = query.get("wait").map_or("0", String::as_str);
    let seconds = text.trim_end_matches('s').parse().unwrap_or(0);
    Duration::from_secs(seconds)
}
