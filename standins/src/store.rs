//! A stand-in for the store of the users' platform: a key-value store with revisions, conditional transactions, range
//! reads and watches.

mod rewrite;

use crate::{server, wire};
use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder, web};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{io, net};

/// The interval at which an open watch checks for changes.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The fault that the store simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// The store works without faults.
    #[default]
    Normal,
    /// Every call is answered with 503 and has no effect.
    Down,
    /// Writes take effect, but their answers are never sent.
    LoseAnswers,
    /// No call is answered or takes effect.
    Silent,
}

/// The `Store-Era` header of the store's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EraHeader {
    /// The header contains the current era.
    #[default]
    Current,
    /// The header is not sent.
    Absent,
    /// The header contains this text.
    Text(&'static str),
}

/// How a restore affects open watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenWatches {
    /// Open watches are answered with 503.
    Ended,
    /// Open watches continue from their revisions in the restored history.
    Kept,
}

/// A snapshot of the store's state that can be restored.
#[derive(Clone, Debug)]
pub struct Backup {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Item>,
    compacted_revision: u64,
}

/// A running store; it stops when dropped.
#[derive(Debug)]
pub struct Store {
    server: server::Server,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order of their revisions; those up to `compacted_revision` are discarded.
    changes: Vec<Item>,
    compacted_revision: u64,
    calls: u64,
    /// The number of watches that wait for changes.
    open_watches: usize,
    /// Watches that were opened up to this call are never answered.
    unanswered_until_call: u64,
    /// If set, watches report no change after this revision.
    last_visible_revision: Option<u64>,
    /// The number of restores so far.
    era: u64,
    era_header: EraHeader,
    /// Watches that were opened up to this call, the last one before a restore, are answered with 503.
    watches_ended_until_call: u64,
}

#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Item {
    private_key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    revision: u64,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    gone: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct KeyQuery {
    private_key: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct PrefixQuery {
    path_prefix: String,
    #[serde(default)]
    after_revision: Option<String>,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Transaction {
    #[serde(default)]
    expected_rev: Vec<Expected>,
    #[serde(default)]
    put: Vec<Put>,
    #[serde(default)]
    remove: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Expected {
    private_key: String,
    revision: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Put {
    private_key: String,
    value: String,
}

impl State {
    /// Returns a response builder with the configured era header.
    fn answer(&self, status: StatusCode) -> HttpResponseBuilder {
        let mut response = HttpResponse::build(status);
        match self.era_header {
            EraHeader::Current => response.insert_header(("Store-Era", self.era.to_string())),
            EraHeader::Absent => &mut response,
            EraHeader::Text(text) => response.insert_header(("Store-Era", text)),
        };
        response
    }

    fn write(&mut self, key: &str, value: Option<String>) {
        self.revision += 1;
        let gone = value.is_none();
        let item = Item { private_key: key.to_owned(), value, revision: self.revision, gone };
        self.changes.push(item.clone());
        match gone {
            true => self.items.remove(key),
            false => self.items.insert(key.to_owned(), item),
        };
    }

    fn items_with_prefix(&self, prefix: &str) -> Vec<Item> {
        let found = self.items.range(prefix.to_owned()..);
        found.take_while(|(key, _)| key.starts_with(prefix)).map(|(_, item)| item.clone()).collect()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store {
    /// Starts an empty store; with port 0 it listens on any free port.
    pub fn start(address: net::SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let data = web::Data::from(shared.clone());
        let server = server::Server::start(address, move |config| {
            config
                .app_data(data.clone())
                .route("/kv-key", web::get().to(read))
                .route("/kv-range", web::get().to(range))
                .route("/kv-watch", web::get().to(watch))
                .route("/kv-txn", web::post().to(transact));
        })?;
        Ok(Self { server, shared })
    }

    /// The address on which the store listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Sets the fault that the store simulates from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.lock().mode = mode;
    }

    /// Writes a key on behalf of an operator or a server.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.shared.lock().write(key, Some(STANDARD.encode(value)));
    }

    /// Writes a key with a value that is not valid base64.
    pub fn put_undecodable(&self, key: &str) {
        self.shared.lock().write(key, Some("%".to_owned()));
    }

    /// Publishes a configuration on behalf of the operator.
    pub fn publish(&self, configuration: &[u8]) {
        self.put("op/config", configuration);
    }

    /// Writes a server's record on behalf of that server.
    pub fn record_server(&self, name: &str, record: &wire::Record<'_>) {
        self.put(&format!("servers/{name}"), &record.value());
    }

    /// Removes a server's record, as the platform does when the server has ended.
    pub fn remove_server(&self, name: &str) {
        self.remove(&format!("servers/{name}"));
    }

    /// Overwrites a server's record with a value that cannot be decoded, as a faulty writer would.
    pub fn corrupt_server_record(&self, name: &str) {
        self.put_undecodable(&format!("servers/{name}"));
    }

    /// Writes these values, and one that cannot be decoded, under every prefix that routers follow, as a faulty writer
    /// would.
    pub fn put_unreadable_entries(&self, values: &[&[u8]]) {
        for prefix in ["op/", "servers/", "doorswitch/routers/"] {
            for (index, value) in values.iter().enumerate() {
                self.put(&format!("{prefix}bad-{index}"), value);
            }
            self.put_undecodable(&format!("{prefix}undecodable"));
        }
    }

    /// Removes a key in a revision of its own.
    pub fn remove(&self, key: &str) {
        self.shared.lock().write(key, None);
    }

    /// Discards the history so far: watches from earlier revisions are answered with 410. Hidden changes are visible
    /// again.
    pub fn discard_history(&self) {
        let mut state = self.shared.lock();
        state.compacted_revision = state.revision;
        state.changes.clear();
        state.last_visible_revision = None;
    }

    /// Returns a snapshot of the store's state.
    pub fn back_up(&self) -> Backup {
        let state = self.shared.lock();
        Backup {
            revision: state.revision,
            items: state.items.clone(),
            changes: state.changes.clone(),
            compacted_revision: state.compacted_revision,
        }
    }

    /// Restores a backup and starts the next era: later writes are lost, and their revisions are assigned again.
    pub fn restore(&self, backup: &Backup, open_watches: OpenWatches) {
        let mut state = self.shared.lock();
        state.revision = backup.revision;
        state.items = backup.items.clone();
        state.changes = backup.changes.clone();
        state.compacted_revision = backup.compacted_revision;
        state.last_visible_revision = None;
        state.era += 1;
        if open_watches == OpenWatches::Ended {
            state.watches_ended_until_call = state.calls;
        }
    }

    /// Sets the era header of later answers.
    pub fn set_era_header(&self, header: EraHeader) {
        self.shared.lock().era_header = header;
    }

    /// Hides all later changes from watches until the history is discarded or a backup is restored.
    pub fn hide_changes(&self) {
        let mut state = self.shared.lock();
        state.last_visible_revision = Some(state.revision);
    }

    /// The number of watches that wait for changes.
    pub fn open_watches(&self) -> usize {
        self.shared.lock().open_watches
    }

    /// Never answers the watches that are open now. Their connections stay open, and all other calls are answered.
    pub fn leave_open_watches_unanswered(&self) {
        let mut state = self.shared.lock();
        state.unanswered_until_call = state.calls;
    }

    /// The decoded value of a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.lock();
        STANDARD.decode(state.items.get(key)?.value.as_ref()?).ok()
    }

    /// The number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

/// Counts a call. Returns the answer for a simulated outage, if there is one.
async fn admit(shared: &Shared) -> Option<HttpResponse> {
    let (mode, mut refusal) = {
        let mut state = shared.lock();
        state.calls += 1;
        (state.mode, state.answer(StatusCode::SERVICE_UNAVAILABLE))
    };
    match mode {
        Mode::Normal | Mode::LoseAnswers => None,
        Mode::Down => Some(refusal.finish()),
        Mode::Silent => std::future::pending().await,
    }
}

async fn read(shared: web::Data<Shared>, query: web::Query<KeyQuery>) -> HttpResponse {
    if let Some(refused) = admit(&shared).await {
        return refused;
    }
    let state = shared.lock();
    match state.items.get(&query.private_key) {
        Some(item) => state.answer(StatusCode::OK).json(item),
        None => state.answer(StatusCode::NOT_FOUND).finish(),
    }
}

async fn range(shared: web::Data<Shared>, query: web::Query<PrefixQuery>) -> HttpResponse {
    if let Some(refused) = admit(&shared).await {
        return refused;
    }
    let state = shared.lock();
    let items = state.items_with_prefix(&query.path_prefix);
    let body = json!({ "items": items, "more": false, "at": state.revision });
    state.answer(StatusCode::OK).json(body)
}

/// Counts an open watch until it is dropped.
struct OpenWatch<'a> {
    shared: &'a Shared,
    call: u64,
}

impl<'a> OpenWatch<'a> {
    fn start(shared: &'a Shared) -> Self {
        let mut state = shared.lock();
        state.open_watches += 1;
        Self { shared, call: state.calls }
    }
}

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        self.shared.lock().open_watches -= 1;
    }
}

async fn watch(shared: web::Data<Shared>, query: web::Query<PrefixQuery>) -> HttpResponse {
    if let Some(refused) = admit(&shared).await {
        return refused;
    }
    let after = query.after_revision.as_deref().and_then(|text| text.parse().ok()).unwrap_or(0);
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    let watch = OpenWatch::start(&shared);
    if after > shared.lock().revision {
        return shared.lock().answer(StatusCode::GONE).finish();
    }
    loop {
        if shared.lock().unanswered_until_call >= watch.call {
            std::future::pending::<()>().await;
        }
        {
            let state = shared.lock();
            if state.watches_ended_until_call >= watch.call {
                return state.answer(StatusCode::SERVICE_UNAVAILABLE).finish();
            }
            if after < state.compacted_revision {
                return state.answer(StatusCode::GONE).finish();
            }
            let visible_revision = state.last_visible_revision.unwrap_or(state.revision);
            let is_new = |item: &&Item| {
                let in_range = item.revision > after && item.revision <= visible_revision;
                in_range && item.private_key.starts_with(&query.path_prefix)
            };
            let events: Vec<&Item> = state.changes.iter().filter(is_new).collect();
            if !events.is_empty() || Instant::now() >= deadline {
                let at = visible_revision.max(after);
                return state.answer(StatusCode::OK).json(json!({ "events": events, "at": at }));
            }
        }
        actix_rt::time::sleep(WATCH_CHECK_INTERVAL).await;
    }
}

async fn transact(shared: web::Data<Shared>, body: web::Json<Transaction>) -> HttpResponse {
    if let Some(refused) = admit(&shared).await {
        return refused;
    }
    let (answer, lost) = {
        let mut state = shared.lock();
        let matches = |expected: &Expected| {
            let item = state.items.get(&expected.private_key);
            item.map_or(0, |item| item.revision) == expected.revision
        };
        if !body.expected_rev.iter().all(matches) {
            let keys = body.expected_rev.iter().map(|expected| &expected.private_key);
            let items: Vec<&Item> = keys.filter_map(|key| state.items.get(key)).collect();
            return state.answer(StatusCode::PRECONDITION_FAILED).json(json!({ "items": items }));
        }
        for put in &body.put {
            state.write(&put.private_key, Some(put.value.clone()));
        }
        for key in &body.remove {
            state.write(key, None);
        }
        let answer = state.answer(StatusCode::OK).json(json!({ "revision": state.revision }));
        (answer, state.mode == Mode::LoseAnswers)
    };
    if lost {
        std::future::pending::<()>().await;
    }
    answer
}
