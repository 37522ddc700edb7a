//! The platform: a key-value service with compare-and-swap and watches, and the list of VMs.
//!
//! The key-value part speaks a subset of the Consul HTTP API: `GET /v1/kv/<key>` (with `index` and
//! `wait` for a watch, `recurse` for a prefix) and `PUT /v1/kv/<key>?cas=<index>`, `DELETE`. `GET /v1/vms`
//! gives the list of VMs. It can be out, slow, lose replies after a write took effect, and limit
//! its rates.

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

/// How long a lost reply keeps its connection open.
const LOST_REPLY: Duration = Duration::from_secs(20);

/// How the platform misbehaves.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// Every call fails.
    pub out: bool,
    /// Every call takes this much longer.
    pub slow_ms: u64,
    /// Of a hundred writes, so many take effect without a reply.
    pub lose_write_replies_percent: u32,
    /// Writes let through a second; 0 means no limit.
    pub writes_per_s: u64,
    /// Reads let through a second; 0 means no limit.
    pub reads_per_s: u64,
    /// A change to the list of VMs shows after this time.
    pub vms_lag_ms: u64,
}

/// Calls that arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads, watches among them.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls refused for their rate.
    pub limited: u64,
}

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: String,
    /// The service that runs on it.
    pub service: String,
    /// Where it is reached.
    pub address: String,
    /// Its class of hardware.
    pub class: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// `live` or `leaving`.
    pub state: String,
}

#[derive(Clone, Debug)]
struct Value {
    index: u64,
    bytes: Vec<u8>,
}

#[derive(Debug, Default)]
struct Bucket {
    window: Option<Instant>,
    taken: u64,
}

impl Bucket {
    fn try_take(&mut self, per_s: u64) -> bool {
        let fresh = self.window.is_none_or(|start| start.elapsed() >= Duration::from_secs(1));
        if fresh {
            *self = Self { window: Some(Instant::now()), taken: 0 };
        }
        self.taken += 1;
        per_s == 0 || self.taken <= per_s
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
    shown_vms: (u64, Vec<Vm>),
    pending_vms: Vec<(Instant, u64, Vec<Vm>)>,
    reads: Bucket,
    writes: Bucket,
    write_count: u64,
}

/// The running platform.
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
    /// Starts a platform; port 0 takes a free one.
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

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Changes how it misbehaves.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.lock().mode = mode;
    }

    /// The calls so far.
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.shared.lock().set_vms(vms);
        self.shared.changed.notify_waiters();
    }

    /// The true list of VMs, without lag.
    pub fn vms(&self) -> Vec<Vm> {
        self.shared.lock().vms.clone()
    }

    /// Reads values as they are, past all misbehaviour.
    pub fn values(&self, prefix: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.shared.lock();
        let found = state.values.range(prefix.to_owned()..);
        found
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, value)| (key.clone(), value.bytes.clone()))
            .collect()
    }
}

impl State {
    fn set_vms(&mut self, vms: Vec<Vm>) {
        self.vms_index += 1;
        self.vms = vms.clone();
        let shows = Instant::now() + Duration::from_millis(self.mode.vms_lag_ms);
        self.pending_vms.push((shows, self.vms_index, vms));
    }

    fn shown_vms(&mut self) -> (u64, Vec<Vm>) {
        let now = Instant::now();
        while self.pending_vms.first().is_some_and(|(shows, _, _)| *shows <= now) {
            let (_, index, vms) = self.pending_vms.remove(0);
            self.shown_vms = (index, vms);
        }
        self.shown_vms.clone()
    }

    fn admit_read(&mut self) -> Result<Mode, Box<HttpResponse>> {
        self.calls.reads += 1;
        let per_s = self.mode.reads_per_s;
        let within = self.reads.try_take(per_s);
        self.admit(within)
    }

    fn admit_write(&mut self) -> Result<Mode, Box<HttpResponse>> {
        self.calls.writes += 1;
        let per_s = self.mode.writes_per_s;
        let within = self.writes.try_take(per_s);
        self.admit(within)
    }

    fn admit(&mut self, within: bool) -> Result<Mode, Box<HttpResponse>> {
        if self.mode.out {
            return Err(Box::new(HttpResponse::ServiceUnavailable().body("out")));
        }
        if !within {
            self.calls.limited += 1;
            return Err(Box::new(HttpResponse::TooManyRequests().body("rate limit")));
        }
        Ok(self.mode)
    }

    fn find(&self, key: &str, recurse: bool) -> (u64, Vec<serde_json::Value>) {
        let range = self.values.range(key.to_owned()..);
        let wanted = range
            .take_while(|(name, _)| name.starts_with(key))
            .filter(|(name, _)| recurse || *name == key);
        let mut newest = 0;
        let mut rows = Vec::new();
        for (name, value) in wanted {
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
        let present = self.values.get(&key).map_or(0, |value| value.index);
        if cas.is_some_and(|expected| expected != present) {
            return false;
        }
        self.index += 1;
        self.values.insert(key, Value { index: self.index, bytes });
        true
    }

    fn loses_reply(&mut self) -> bool {
        self.write_count += 1;
        let percent = u64::from(self.mode.lose_write_replies_percent);
        // Spread evenly, so that the same run loses the same replies.
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
    pause(mode).await;
    let recurse = query.contains_key("recurse");
    let known: u64 = query.get("index").and_then(|text| text.parse().ok()).unwrap_or(0);
    let deadline = Instant::now() + watch_time(&query);
    loop {
        let notified = shared.changed.notified();
        let (newest, rows) = shared.lock().find(&key, recurse);
        if newest > known || Instant::now() >= deadline || known == 0 {
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
    pause(mode).await;
    if body.len() > 1 << 20 {
        return HttpResponse::PayloadTooLarge().body("a value holds up to a megabyte");
    }
    let cas = query.get("cas").and_then(|text| text.parse().ok());
    let (written, lost) = {
        let mut state = shared.lock();
        let written = state.write(key.into_inner(), cas, body.to_vec());
        (written, state.loses_reply())
    };
    shared.changed.notify_waiters();
    if lost {
        tokio::time::sleep(LOST_REPLY).await;
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
    pause(mode).await;
    let recurse = query.contains_key("recurse");
    let gone = |name: &String| *name == *key || (recurse && name.starts_with(key.as_str()));
    shared.lock().values.retain(|name, _| !gone(name));
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
    pause(mode).await;
    let known: u64 = query.get("index").and_then(|text| text.parse().ok()).unwrap_or(0);
    let deadline = Instant::now() + watch_time(&query);
    loop {
        let notified = shared.changed.notified();
        let (index, vms) = shared.lock().shown_vms();
        if index > known || Instant::now() >= deadline {
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

async fn pause(mode: Mode) {
    if mode.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(mode.slow_ms)).await;
    }
}

fn watch_time(query: &HashMap<String, String>) -> Duration {
    let text = query.get("wait").map_or("0", String::as_str);
    let seconds = text.trim_end_matches('s').parse().unwrap_or(0);
    Duration::from_secs(seconds)
}
