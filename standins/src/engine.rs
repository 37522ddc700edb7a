//! A stand-in for a model engine: continuous batching in a limited number of slots, streaming, usage accounting,
//! resumed and cancelled requests.
//!
//! It implements the OpenAI-compatible API with usage in every chunk. Tokens depend only on the prompt and their
//! position, so that a test can check whether an answer is complete and belongs to its prompt, also after it was
//! resumed on another engine (`resume_from_token`).

use crate::server;
use actix_web::{HttpRequest, HttpResponse, web};
use futures_util::stream;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{io, net};
use tokio::sync;

/// The speed of the engine and the faults that it simulates.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// The maximum number of requests that run at once.
    pub slots: usize,
    /// The time per token of a request, in milliseconds.
    pub token_ms: u64,
    /// The time to process a prompt, of which no part is cached, in milliseconds.
    pub prompt_ms: u64,
    /// The age of the state that a load report contains, in milliseconds.
    pub report_lag_ms: u64,
    /// Each stream is broken off after this many tokens; 0 means never.
    pub break_after_tokens: u64,
    /// Whether answers contain invalid JSON.
    pub garbage: bool,
    /// The number of completion tokens that are reported in excess of those generated, also beyond `max_tokens`.
    pub overreport_tokens: u64,
    /// Whether every request is rejected, as by an engine without free slots.
    pub refuse: bool,
    /// The software version, which is appended to each token in brackets; 0 appends nothing.
    pub version: u64,
}

impl Default for Mode {
    fn default() -> Self {
        Self {
            slots: 8,
            token_ms: 1,
            prompt_ms: 1,
            report_lag_ms: 0,
            break_after_tokens: 0,
            garbage: false,
            overreport_tokens: 0,
            refuse: false,
            version: 0,
        }
    }
}

/// Counters of what the engine has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// The number of requests that got a slot.
    pub started: u64,
    /// The number of tokens that were generated.
    pub made_tokens: u64,
    /// Requests that were cancelled because the caller closed the stream, and streams that were broken off.
    pub cancelled: u64,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Load {
    running: usize,
    queued: usize,
    slots: usize,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    counts: Counts,
    running: usize,
    queued: usize,
    history: Vec<(Instant, Load)>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    slot_freed: sync::Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running engine; it stops when dropped.
#[derive(Debug)]
pub struct Engine {
    server: server::Server,
    shared: Arc<Shared>,
}

impl Engine {
    /// Starts an engine; with port 0 it listens on any free port.
    pub fn start(address: net::SocketAddr, mode: Mode) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        shared.lock().mode = mode;
        let data = web::Data::from(shared.clone());
        let server = server::Server::start(address, move |config| {
            config
                .app_data(data.clone())
                .route("/load", web::get().to(load))
                .route("/mode", web::put().to(set_mode))
                .route("/counts", web::get().to(counts))
                .route("/v1/chat/completions", web::post().to(complete))
                .route("/v1/completions", web::post().to(complete));
        })?;
        Ok(Self { server, shared })
    }

    /// The address on which the engine listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Replaces the speed and the simulated faults of later requests.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.lock().mode = mode;
    }

    /// The counters since the start of the engine.
    pub fn counts(&self) -> Counts {
        self.shared.lock().counts
    }

    /// The number of requests that run now.
    pub fn running(&self) -> usize {
        self.shared.lock().running
    }
}

/// The token at a position of the answer to a prompt.
pub fn token(prompt: &str, position: u64) -> String {
    let hash = prompt.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    format!("{:04x}.{position} ", hash & 0xffff)
}

/// The complete answer to a prompt with this number of tokens.
pub fn answer(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|position| token(prompt, position)).collect()
}

/// The number of tokens of a prompt: one per word.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.split_whitespace().count() as u64
}

#[derive(Debug, Deserialize)]
struct Request {
    #[serde(default)]
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    resume_from_token: u64,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

/// Occupies a slot of the engine until it is dropped.
struct Slot {
    shared: Arc<Shared>,
    finished: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.running -= 1;
        if !self.finished {
            state.counts.cancelled += 1;
        }
        state.record_load();
        drop(state);
        self.shared.slot_freed.notify_one();
    }
}

struct QueuedRequest(Arc<Shared>);

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.0.lock().queued -= 1;
    }
}

impl State {
    fn load(&self) -> Load {
        Load { running: self.running, queued: self.queued, slots: self.mode.slots }
    }

    fn record_load(&mut self) {
        let load = self.load();
        self.history.push((Instant::now(), load));
        if self.history.len() > 10_000 {
            self.history.drain(..5_000);
        }
    }

    fn reported_load(&self) -> Load {
        let lag = Duration::from_millis(self.mode.report_lag_ms);
        if lag.is_zero() {
            return self.load();
        }
        let old = self.history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old.map_or(Load { slots: self.mode.slots, ..Load::default() }, |(_, load)| *load)
    }
}

async fn load(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.lock().reported_load())
}

async fn set_mode(shared: web::Data<Shared>, mode: web::Json<Mode>) -> HttpResponse {
    shared.lock().mode = mode.into_inner();
    HttpResponse::Ok().finish()
}

async fn counts(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(shared.lock().counts)
}

async fn acquire_slot(shared: &Arc<Shared>) -> Slot {
    shared.lock().queued += 1;
    let _queued = QueuedRequest(shared.clone());
    loop {
        let slot_freed = shared.slot_freed.notified();
        {
            let mut state = shared.lock();
            if state.running < state.mode.slots {
                state.running += 1;
                state.counts.started += 1;
                state.record_load();
                return Slot { shared: shared.clone(), finished: false };
            }
        }
        let _ = tokio::time::timeout(Duration::from_millis(50), slot_freed).await;
    }
}

async fn complete(
    shared: web::Data<Shared>,
    http: HttpRequest,
    request: web::Json<Request>,
) -> HttpResponse {
    let shared = shared.into_inner();
    let mode = shared.lock().mode;
    if mode.refuse {
        let body = serde_json::json!({ "error": { "message": "no room", "ran": "not_run" } });
        return HttpResponse::ServiceUnavailable().json(body);
    }
    let chat = http.path().contains("chat");
    let prompt = match chat {
        true => request
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect::<Vec<_>>()
            .join(" "),
        false => request.prompt.clone(),
    };
    let slot = acquire_slot(&shared).await;
    delay(mode.prompt_ms).await;
    let generation = Generation {
        slot,
        mode,
        prompt_tokens: prompt_tokens(&prompt),
        prompt,
        model: request.model.clone(),
        chat,
        position: request.resume_from_token,
        first_position: request.resume_from_token,
        end_position: request.max_tokens.unwrap_or(16),
        stage: Stage::Tokens,
    };
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .streaming(stream::unfold(generation, |generation| generation.next()))
}

/// Waits for this time. For 0 it returns at once, because a sleep of the timer takes at least a millisecond.
async fn delay(time_ms: u64) {
    if time_ms > 0 {
        tokio::time::sleep(Duration::from_millis(time_ms)).await;
    }
}

enum Stage {
    Tokens,
    Done,
    Ended,
}

struct Generation {
    slot: Slot,
    mode: Mode,
    prompt: String,
    prompt_tokens: u64,
    model: String,
    chat: bool,
    position: u64,
    first_position: u64,
    end_position: u64,
    stage: Stage,
}

type Chunk = Result<web::Bytes, io::Error>;

impl Generation {
    async fn next(mut self) -> Option<(Chunk, Self)> {
        match self.stage {
            Stage::Tokens if self.should_break() => {
                self.stage = Stage::Ended;
                Some((Err(io::Error::other("broken")), self))
            }
            Stage::Tokens if self.position < self.end_position => {
                delay(self.mode.token_ms).await;
                let mut text = token(&self.prompt, self.position);
                if self.mode.version > 0 {
                    text.push_str(&format!("[{}]", self.mode.version));
                }
                self.position += 1;
                self.slot.shared.lock().counts.made_tokens += 1;
                let finish = (self.position == self.end_position).then_some("length");
                Some((Ok(self.chunk(&text, finish)), self))
            }
            Stage::Tokens => {
                self.stage = Stage::Done;
                self.slot.finished = true;
                Some((Ok(web::Bytes::from_static(b"data: [DONE]\n\n")), self))
            }
            Stage::Done | Stage::Ended => None,
        }
    }

    fn should_break(&self) -> bool {
        let after = self.mode.break_after_tokens;
        after > 0 && self.position - self.first_position >= after
    }

    fn chunk(&self, text: &str, finish: Option<&str>) -> web::Bytes {
        if self.mode.garbage {
            return web::Bytes::from_static(b"data: {\"choices\": [}\n\n");
        }
        let choice = match self.chat {
            true => serde_json::json!({
                "index": 0, "delta": { "content": text }, "finish_reason": finish
            }),
            false => serde_json::json!({ "index": 0, "text": text, "finish_reason": finish }),
        };
        let reported_tokens = self.position + self.mode.overreport_tokens;
        let body = serde_json::json!({
            "id": "engine",
            "object": if self.chat { "chat.completion.chunk" } else { "text_completion" },
            "created": 0,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": reported_tokens,
                "total_tokens": self.prompt_tokens + reported_tokens,
            },
        });
        web::Bytes::from(format!("data: {body}\n\n"))
    }
}
