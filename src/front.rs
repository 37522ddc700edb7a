//! The HTTP interface for callers: checks each request, has it admitted by the control thread, and runs it.

use crate::{
    answer_memory, answers, api_error, auth, clock, completion, control, fingerprint, http_client,
    links, model, plain, policy, reply, settings, snapshot, telemetry, upstream,
};
use actix::prelude::Addr;
use actix_web::http::{Method, StatusCode, header};
use actix_web::{HttpRequest, HttpResponse, web};
use doorswitch_core::{config, ids, node};
use sha2::Digest;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The number of pieces of an answer that are buffered for a slow caller.
const PIECES_BUFFERED: usize = 64;
/// The header with the caller's id for a request.
const ID_HEADER: &str = "idempotency-key";
/// The longest request id that is accepted, in bytes.
const ID_BYTES_MAX: usize = 256;

type Rejection = api_error::ApiError;

/// The state that all handlers share.
#[derive(Clone)]
pub struct Shared {
    /// The address of the control thread.
    pub control: Addr<control::Control>,
    /// The state that the control thread publishes.
    pub published: Arc<snapshot::Published>,
    /// The settings of this process.
    pub settings: Arc<settings::Settings>,
    /// The links of this router to servers.
    pub links: Arc<links::Links>,
    /// Running and recently completed model requests.
    pub answers: answers::Table,
    /// The memory of answers that are read in full before they are sent to clients.
    pub answer_memory: answer_memory::AnswerMemory,
}

/// The state of the handlers on one worker thread.
pub struct HandlerState {
    shared: Shared,
    http: http_client::ServerClients,
}

/// A caller whose key belongs to a workspace.
struct Caller {
    snapshot: Arc<snapshot::Snapshot>,
    workspace: config::Workspace,
}

/// Registers the routes of the interface.
pub fn routes(config: &mut web::ServiceConfig, shared: Shared) {
    let http = http_client::ServerClients::new(shared.links.clone());
    let state = HandlerState { shared, http };
    config
        .app_data(web::Data::new(state))
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics))
        .route("/v1/models", web::get().to(models))
        .route("/v1/chat/completions", web::post().to(chat_completion))
        .route("/v1/completions", web::post().to(text_completion))
        .route("/services/{service}/{path:.*}", web::route().to(plain_service))
        .default_service(web::route().to(not_found));
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

async fn readyz(state: web::Data<HandlerState>) -> HttpResponse {
    match state.shared.published.ready() {
        true => HttpResponse::Ok().body("ready\n"),
        false => HttpResponse::ServiceUnavailable().body("not ready\n"),
    }
}

async fn metrics() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(telemetry::render())
}

async fn not_found(request: HttpRequest) -> HttpResponse {
    let message = format!("{} {} is not served here", request.method(), request.path());
    Rejection::not_run(StatusCode::NOT_FOUND, "not_found", message).response()
}

async fn models(state: web::Data<HandlerState>, request: HttpRequest) -> HttpResponse {
    let caller = match state.caller(&request) {
        Ok(caller) => caller,
        Err(error) => return error.response(),
    };
    let services = caller.snapshot.document.services.iter();
    let models =
        services.flat_map(|service| service.models.iter().map(move |model| (service, model)));
    let allowed = models.filter(|(service, model)| {
        let facts = policy::Facts {
            workspace: caller.workspace.name.clone(),
            service: service.name.clone(),
            model: (*model).clone(),
            method: "POST".to_owned(),
            ..policy::Facts::default()
        };
        matches!(caller.snapshot.decide(service, &facts), policy::Decision::Allow { .. })
    });
    let data: Vec<serde_json::Value> = allowed
        .map(|(service, model)| {
            serde_json::json!({ "id": model, "object": "model", "owned_by": service.name })
        })
        .collect();
    HttpResponse::Ok().json(serde_json::json!({ "object": "list", "data": data }))
}

async fn chat_completion(
    state: web::Data<HandlerState>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    state.complete(completion::Endpoint::Chat, request, payload).await
}

async fn text_completion(
    state: web::Data<HandlerState>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    state.complete(completion::Endpoint::Text, request, payload).await
}

async fn plain_service(
    state: web::Data<HandlerState>,
    path: web::Path<(String, String)>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let (service, path) = path.into_inner();
    state
        .call_service(&service, &path, request, payload)
        .await
        .unwrap_or_else(|error| error.response())
}

impl HandlerState {
    async fn complete(
        &self,
        endpoint: completion::Endpoint,
        request: HttpRequest,
        payload: web::Payload,
    ) -> HttpResponse {
        match self.start_completion(endpoint, request, payload).await {
            Ok(response) => response,
            Err(error) => error.response(),
        }
    }

    async fn start_completion(
        &self,
        endpoint: completion::Endpoint,
        http: HttpRequest,
        payload: web::Payload,
    ) -> Result<HttpResponse, Rejection> {
        let caller = self.caller(&http)?;
        let body = self.body(payload).await?;
        let request = completion::Request::parse(endpoint, &body)?;
        let service = caller
            .snapshot
            .document
            .service_of_model(&request.model)
            .ok_or_else(|| unknown_model(&request.model))?;
        let answer_tokens = request.answer_tokens(service)?;
        let bound_tokens = request.prompt_bound_tokens.saturating_add(answer_tokens);
        let facts = policy::Facts {
            workspace: caller.workspace.name.clone(),
            service: service.name.clone(),
            model: request.model.clone(),
            method: "POST".to_owned(),
            path: endpoint.path().to_owned(),
            max_tokens: answer_tokens,
            bound_tokens,
            workspace_priority: caller.workspace.priority,
            ..policy::Facts::default()
        };
        let id = self.request_id(&http)?;
        let deadline_ms = self.deadline_ms(&http)?;
        let (mut admission_request, priority) =
            admission_request(&caller, service, &facts, &id, deadline_ms)?;
        admission_request.body_hash = body_hash(endpoint.path(), &body);
        let reports = self.run_reports(&caller, &http, &body);
        admission_request.fingerprint = reports.suspected();
        admission_request.prefix_hash = Some(request.prefix_hash);
        admission_request.keyed = http.headers().contains_key(ID_HEADER);
        let (stream, include_usage) = (request.stream, request.include_usage);
        let lookup = self
            .shared
            .answers
            .find_or_start(admission_request.key, admission_request.body_hash)
            .await;
        let table_entry = match lookup {
            answers::Lookup::First(table_entry) => table_entry,
            answers::Lookup::Answered(recorded) => {
                return Ok(reply::replayed(&request, stream, &recorded));
            }
            answers::Lookup::Conflict => {
                return Err(api_error::refusal(node::Reason::IdConflict, 0));
            }
        };
        let open_answer = self.shared.published.open_answer();
        let placement = match upstream::admit(&self.shared.control, admission_request).await {
            upstream::Admission::Placed(placement) => placement,
            upstream::Admission::Refused(error) => return Err(error),
            upstream::Admission::Replay(outcome) => return Ok(plain::replay(outcome)),
        };
        let envelope = completion::Envelope {
            id: format!("cmpl-{:016x}", placement.attempt.0),
            model: request.model.clone(),
            endpoint,
            created_s: clock::unix_time_s(),
        };
        let call = model::Call {
            control: self.shared.control.clone(),
            http: self.http.clone(),
            request,
            answer_tokens,
            priority,
            deadline: model::deadline(service.answer_time_ms, deadline_ms),
            reports,
            id: envelope.id.clone(),
            created_s: envelope.created_s,
            table_entry,
        };
        let (sender, pieces) = mpsc::channel(PIECES_BUFFERED);
        let run = actix_web::rt::spawn(async move {
            let _open_answer = open_answer;
            call.run(placement, sender).await
        });
        match stream {
            true => Ok(reply::streamed(envelope, include_usage, pieces, run)),
            false => reply::whole(envelope, pieces, run).await,
        }
    }

    async fn call_service(
        &self,
        name: &str,
        path: &str,
        http: HttpRequest,
        payload: web::Payload,
    ) -> Result<HttpResponse, Rejection> {
        let caller = self.caller(&http)?;
        let service = caller
            .snapshot
            .document
            .service(name)
            .filter(|service| service.kind == config::Kind::Plain)
            .ok_or_else(|| unknown_service(name))?;
        let body = self.body(payload).await?;
        let path = format!("/{path}");
        let facts = policy::Facts {
            workspace: caller.workspace.name.clone(),
            service: service.name.clone(),
            method: http.method().to_string(),
            path: path.clone(),
            bound_tokens: service.call_tokens,
            workspace_priority: caller.workspace.priority,
            ..policy::Facts::default()
        };
        let unrepeatable = is_unrepeatable(service, http.method(), &path);
        if unrepeatable && !http.headers().contains_key(ID_HEADER) {
            let message = "this call runs at most once and requires an Idempotency-Key header";
            return Err(Rejection::invalid("id_missing", message));
        }
        let id = self.request_id(&http)?;
        let deadline_ms = self.deadline_ms(&http)?;
        let (mut admission_request, _) =
            admission_request(&caller, service, &facts, &id, deadline_ms)?;
        let query = http.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
        let target = format!("{path}{query}");
        admission_request.body_hash = body_hash(&format!("{} {target}", http.method()), &body);
        let reports = self.run_reports(&caller, &http, &body);
        admission_request.fingerprint = reports.suspected();
        admission_request.unrepeatable = unrepeatable;
        admission_request.keyed = http.headers().contains_key(ID_HEADER);
        let open_answer = self.shared.published.open_answer();
        let placement = match upstream::admit(&self.shared.control, admission_request).await {
            upstream::Admission::Placed(placement) => placement,
            upstream::Admission::Refused(error) => return Err(error),
            upstream::Admission::Replay(outcome) => return Ok(plain::replay(outcome)),
        };
        let call = plain::Call {
            control: self.shared.control.clone(),
            http: self.http.clone(),
            method: http.method().clone(),
            path: target,
            content_type: http.headers().get(header::CONTENT_TYPE).cloned(),
            id,
            body,
            unrepeatable,
            call_tokens: service.call_tokens,
            deadline: model::deadline(service.answer_time_ms, deadline_ms),
            reports,
            answer_memory: self.shared.answer_memory.clone(),
        };
        // The call runs in a task of its own, so that it is not cancelled if its caller closes the connection: an
        // unrepeatable call that was sent must not be sent again.
        let run = actix_web::rt::spawn(async move {
            let _open_answer = open_answer;
            call.run(placement).await
        });
        run.await.map_err(|_| Rejection::closing())
    }

    /// Creates the reporter for the runs of a request. The host of the request is not part of its fingerprint, because
    /// this interface has no routes by host.
    fn run_reports(
        &self,
        caller: &Caller,
        request: &HttpRequest,
        body: &bytes::Bytes,
    ) -> upstream::RunReports {
        let target = request.uri().path_and_query().map(|target| target.as_str());
        let head = fingerprint::Head {
            workspace: &caller.workspace.name,
            method: request.method().as_str(),
            host: "",
            target: target.unwrap_or_else(|| request.path()),
        };
        upstream::RunReports {
            control: self.shared.control.clone(),
            published: self.shared.published.clone(),
            links: self.shared.links.clone(),
            head: head.digest(),
            body: body.clone(),
        }
    }

    fn caller(&self, request: &HttpRequest) -> Result<Caller, Rejection> {
        let snapshot = self.shared.published.snapshot.load_full();
        let snapshot = snapshot.ok_or_else(|| api_error::refusal(node::Reason::NotReady, 1_000))?;
        let key = auth::bearer(request.headers());
        let workspace = key.and_then(|key| snapshot.workspace(key)).cloned();
        let workspace = workspace.ok_or_else(unauthorized)?;
        Ok(Caller { snapshot, workspace })
    }

    async fn body(&self, payload: web::Payload) -> Result<bytes::Bytes, Rejection> {
        let limits = &self.shared.settings.limits;
        let read_timeout = Duration::from_millis(limits.body_read_ms);
        let read = payload.to_bytes_limited(limits.body_bytes_max as usize);
        match tokio::time::timeout(read_timeout, read).await {
            Err(_) => Err(Rejection::not_run(
                StatusCode::REQUEST_TIMEOUT,
                "body_too_slow",
                format!("the request body was not received within {} ms", limits.body_read_ms),
            )),
            Ok(Err(_)) => Err(Rejection::not_run(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
                format!("the request body is larger than {} bytes", limits.body_bytes_max),
            )),
            Ok(Ok(Err(error))) => Err(Rejection::invalid("body_broken", error.to_string())),
            Ok(Ok(Ok(body))) => Ok(body),
        }
    }

    fn request_id(&self, request: &HttpRequest) -> Result<String, Rejection> {
        let Some(value) = request.headers().get(ID_HEADER) else {
            return Ok(uuid::Uuid::new_v4().to_string());
        };
        let id = value.to_str().ok().filter(|id| (1..=ID_BYTES_MAX).contains(&id.len()));
        let message =
            format!("Idempotency-Key: must be 1 to {ID_BYTES_MAX} visible ASCII characters");
        id.map(str::to_owned).ok_or_else(|| Rejection::invalid("invalid_id", message))
    }

    fn deadline_ms(&self, request: &HttpRequest) -> Result<u64, Rejection> {
        let limit_ms = self.shared.settings.limits.deadline_ms;
        let Some(value) = request.headers().get("x-deadline-ms") else { return Ok(limit_ms) };
        let requested_ms = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
        let message = "X-Deadline-Ms: must be a whole number of milliseconds";
        let requested_ms =
            requested_ms.ok_or_else(|| Rejection::invalid("invalid_deadline", message))?;
        Ok(requested_ms.min(limit_ms))
    }
}

/// Evaluates the service's policy, and builds the request for admission and its priority if the policy allows it.
fn admission_request(
    caller: &Caller,
    service: &config::Service,
    facts: &policy::Facts,
    id: &str,
    deadline_ms: u64,
) -> Result<(node::AdmissionRequest, u8), Rejection> {
    match caller.snapshot.decide(service, facts) {
        policy::Decision::Deny { reason } => {
            Err(Rejection::not_run(StatusCode::FORBIDDEN, "policy_denied", reason))
        }
        policy::Decision::Allow { budget, priority, classes } => {
            let admission_request = node::AdmissionRequest {
                key: request_key(&caller.workspace.name, id),
                keyed: true,
                body_hash: 0,
                budget: config::budget_name(&caller.workspace.name, &budget),
                service: service.name.clone(),
                classes,
                priority,
                bound_tokens: facts.bound_tokens,
                unrepeatable: false,
                attempts_max: u32::MAX,
                prefix_hash: None,
                fingerprint: None,
                part_fingerprints: Vec::new(),
                parts: Vec::new(),
                stream: None,
                deadline_ms,
            };
            Ok((admission_request, priority))
        }
    }
}

/// Whether the configuration of a service lists the call as one that must run at most once.
fn is_unrepeatable(service: &config::Service, method: &Method, path: &str) -> bool {
    let matches = |pattern: &config::CallPattern| {
        pattern.method.eq_ignore_ascii_case(method.as_str())
            && path.starts_with(&pattern.path_prefix)
    };
    service.unrepeatable.iter().any(matches)
}

/// The key of a request: a digest of its workspace and its id, so that workspaces cannot affect each other's requests.
fn request_key(workspace: &str, id: &str) -> ids::RequestKey {
    let mut hasher = sha2::Sha256::new();
    hasher.update(workspace.as_bytes());
    hasher.update([0]);
    hasher.update(id.as_bytes());
    let digest = hasher.finalize();
    ids::RequestKey { high: first_u64(&digest[..8]), low: first_u64(&digest[8..16]) }
}

/// A digest that distinguishes a repeated request from another one with the same id.
fn body_hash(target: &str, body: &[u8]) -> u64 {
    let mut hasher = sha2::Sha256::new();
    hasher.update(target.as_bytes());
    hasher.update([0]);
    hasher.update(body);
    first_u64(&hasher.finalize()[..8])
}

/// The bytes, at most 8, as a big-endian number.
fn first_u64(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |value, byte| value << 8 | u64::from(*byte))
}

fn unauthorized() -> Rejection {
    let message = "a valid API key is required (Authorization: Bearer <key>)";
    Rejection::not_run(StatusCode::UNAUTHORIZED, "invalid_key", message)
}

fn unknown_model(model: &str) -> Rejection {
    let message = format!("model {model:?} is not served here");
    Rejection::not_run(StatusCode::NOT_FOUND, "unknown_model", message)
}

fn unknown_service(name: &str) -> Rejection {
    let message = format!("service {name:?} is not served here");
    Rejection::not_run(StatusCode::NOT_FOUND, "unknown_service", message)
}
