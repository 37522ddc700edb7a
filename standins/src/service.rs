//! A stand-in for a plain service, which counts executions by the request id that it receives.

use crate::server;
use actix_web::{HttpRequest, HttpResponse, web};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use std::{io, net};

/// The faults that the service simulates.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mode {
    /// The duration of each call, in milliseconds.
    pub delay_ms: u64,
    /// Whether each call is executed without an answer.
    pub lose_answers: bool,
}

/// A running service; it stops when dropped.
#[derive(Debug)]
pub struct Service {
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
    executions: HashMap<String, u64>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service {
    /// Starts a service; with port 0 it listens on any free port.
    pub fn start(address: net::SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let data = web::Data::from(shared.clone());
        let server = server::Server::start(address, move |config| {
            config
                .app_data(data.clone())
                .route("/load", web::get().to(load))
                .default_service(web::route().to(run));
        })?;
        Ok(Self { server, shared })
    }

    /// The address on which the service listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address
    }

    /// Replaces all faults that the service simulates.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.lock().mode = mode;
    }

    /// The number of executions by request id.
    pub fn executions(&self) -> HashMap<String, u64> {
        self.shared.lock().executions.clone()
    }
}

async fn load() -> HttpResponse {
    HttpResponse::Ok().json(serde_json::json!({ "running": 0, "queued": 0, "slots": 64 }))
}

async fn run(shared: web::Data<Shared>, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    let id = request.headers().get("idempotency-key");
    let id = id.and_then(|value| value.to_str().ok()).unwrap_or("none").to_owned();
    let (executions, mode) = {
        let mut state = shared.lock();
        let executions = state.executions.entry(id.clone()).or_default();
        *executions += 1;
        (*executions, state.mode)
    };
    if mode.lose_answers {
        tokio::time::sleep(Duration::from_secs(600)).await;
    }
    tokio::time::sleep(Duration::from_millis(mode.delay_ms)).await;
    HttpResponse::Ok().json(serde_json::json!({
        "id": id,
        "path": request.path(),
        "executions": executions,
        "received_bytes": body.len(),
    }))
}
