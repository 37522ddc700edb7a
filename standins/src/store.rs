//! The users' platform's store: keys with revisions, conditional transactions, ranges and watches.

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

/// How often a waiting watch looks for changes.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// How the store misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It does not.
    #[default]
    Well,
    /// Every call is answered with 503 and nothing is done.
    Down,
    /// Writes are done, and their answers never come.
    LoseAnswers,
    /// No call is answered or done.
    Silent,
}

/// The era header of the store's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EraHeader {
    /// Contains the current era.
    #[default]
    Named,
    /// Is not sent.
    Absent,
    /// Contains this text.
    Text(&'static str),
}

/// How a restore affects open watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenWatches {
    /// They are answered with 503.
    Ended,
    /// They continue from their revisions in the restored history.
    Kept,
}

/// A snapshot of the store's state that can be restored.
#[derive(Clone, Debug)]
pub struct Backup {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Item>,
    forgotten: u64,
}

/// The running store.
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
    /// Changes in order; those before `forgotten` are gone.
    changes: Vec<Item>,
    forgotten: u64,
    calls: u64,
    /// Watches that wait now.
    waiting: usize,
    /// Watches up to this call are never answered.
    unanswered: u64,
    /// Watches hear of no change after this revision.
    deaf_after: Option<u64>,
    /// The number of restores.
    era: u64,
    era_header: EraHeader,
    /// The last call before the latest restore that ended open watches.
    watches_ended: u64,
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
    /// Starts an answer with the era header.
    fn answer(&self, status: StatusCode) -> HttpResponseBuilder {
        let mut response = HttpResponse::build(status);
        match self.era_header {
            EraHeader::Named => response.insert_header(("Store-Era", self.era.to_string())),
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

    fn under(&self, prefix: &str) -> Vec<Item> {
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
    /// Starts an empty store; port 0 takes a free one.
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

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Changes how it misbehaves.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.lock().mode = mode;
    }

    /// Writes a key as an operator or a server would.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.shared.lock().write(key, Some(STANDARD.encode(value)));
    }

    /// Writes a key with a value that is not encoded as all others are.
    pub fn put_undecodable(&self, key: &str) {
        self.shared.lock().write(key, Some("%".to_owned()));
    }

    /// The operator publishes a configuration.
    pub fn publish(&self, configuration: &[u8]) {
        self.put("op/config", configuration);
    }

    /// A server records itself.
    pub fn record_server(&self, name: &str, record: &wire::Record<'_>) {
        self.put(&format!("servers/{name}"), &record.value());
    }

    /// Another writer spoils a server's record.
    pub fn spoil_server(&self, name: &str) {
        self.put_undecodable(&format!("servers/{name}"));
    }

    /// Another writer puts these values, and one that cannot be decoded, under every prefix that routers follow.
    pub fn put_bad_entries(&self, values: &[&[u8]]) {
        for prefix in ["op/", "servers/", "doorswitch/routers/"] {
            for (place, value) in values.iter().enumerate() {
                self.put(&format!("{prefix}bad-{place}"), value);
            }
            self.put_undecodable(&format!("{prefix}undecodable"));
        }
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.shared.lock().write(key, None);
    }

    /// Forgets the history so far.
    pub fn forget(&self) {
        let mut state = self.shared.lock();
        state.forgotten = state.revision;
        state.changes.clear();
        state.deaf_after = None;
    }

    /// Returns a backup of the store's state.
    pub fn back_up(&self) -> Backup {
        let state = self.shared.lock();
        Backup {
            revision: state.revision,
            items: state.items.clone(),
            changes: state.changes.clone(),
            forgotten: state.forgotten,
        }
    }

    /// Restores a backup and starts the next era: later writes are lost, and their revisions are assigned again.
    pub fn restore(&self, backup: &Backup, open_watches: OpenWatches) {
        let mut state = self.shared.lock();
        state.revision = backup.revision;
        state.items = backup.items.clone();
        state.changes = backup.changes.clone();
        state.forgotten = backup.forgotten;
        state.deaf_after = None;
        state.era += 1;
        if open_watches == OpenWatches::Ended {
            state.watches_ended = state.calls;
        }
    }

    /// Sets the era header of later answers.
    pub fn set_era_header(&self, header: EraHeader) {
        self.shared.lock().era_header = header;
    }

    /// Watches hear of no change from now on, until the store forgets its history.
    pub fn go_deaf(&self) {
        let mut state = self.shared.lock();
        state.deaf_after = Some(state.revision);
    }

    /// How many watches wait now.
    pub fn open_watches(&self) -> usize {
        self.shared.lock().waiting
    }

    /// The watches that wait now are never answered; their connections live, and all other calls are answered.
    pub fn leave_open_watches_unanswered(&self) {
        let mut state = self.shared.lock();
        state.unanswered = state.calls;
    }

    /// What lies under a key.
    pub fn get(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.lock();
        STANDARD.decode(state.items.get(key)?.value.as_ref()?).ok()
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.shared.lock().calls
    }
}

/// Counts a call; an answer means that the store is not well.
async fn admit(shared: &Shared) -> Option<HttpResponse> {
    let (mode, mut refusal) = {
        let mut state = shared.lock();
        state.calls += 1;
        (state.mode, state.answer(StatusCode::SERVICE_UNAVAILABLE))
    };
    match mode {
        Mode::Well | Mode::LoseAnswers => None,
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
    let items = state.under(&query.path_prefix);
    let body = json!({ "items": items, "more": false, "at": state.revision });
    state.answer(StatusCode::OK).json(body)
}

/// A watch that waits.
struct Waiting<'a> {
    shared: &'a Shared,
    call: u64,
}

impl<'a> Waiting<'a> {
    fn start(shared: &'a Shared) -> Self {
        let mut state = shared.lock();
        state.waiting += 1;
        Self { shared, call: state.calls }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.shared.lock().waiting -= 1;
    }
}

async fn watch(shared: web::Data<Shared>, query: web::Query<PrefixQuery>) -> HttpResponse {
    if let Some(refused) = admit(&shared).await {
        return refused;
    }
    let after = query.after_revision.as_deref().and_then(|text| text.parse().ok()).unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    let waiting = Waiting::start(&shared);
    if after > shared.lock().revision {
        return shared.lock().answer(StatusCode::GONE).finish();
    }
    loop {
        if shared.lock().unanswered >= waiting.call {
            std::future::pending::<()>().await;
        }
        {
            let state = shared.lock();
            if state.watches_ended >= waiting.call {
                return state.answer(StatusCode::SERVICE_UNAVAILABLE).finish();
            }
            if after < state.forgotten {
                return state.answer(StatusCode::GONE).finish();
            }
            let heard = state.deaf_after.unwrap_or(state.revision);
            let new = |item: &&Item| {
                let later = item.revision > after && item.revision <= heard;
                later && item.private_key.starts_with(&query.path_prefix)
            };
            let events: Vec<&Item> = state.changes.iter().filter(new).collect();
            if !events.is_empty() || Instant::now() >= until {
                let at = heard.max(after);
                return state.answer(StatusCode::OK).json(json!({ "events": events, "at": at }));
            }
        }
        actix_rt::time::sleep(LOOK_EVERY).await;
    }
}

async fn transact(shared: web::Data<Shared>, body: web::Json<Transaction>) -> HttpResponse {
    if let Some(refused) = admit(&shared).await {
        return refused;
    }
    let (answer, lost) = {
        let mut state = shared.lock();
        let holds = |expected: &Expected| {
            let item = state.items.get(&expected.private_key);
            item.map_or(0, |item| item.revision) == expected.revision
        };
        if !body.expected_rev.iter().all(holds) {
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
