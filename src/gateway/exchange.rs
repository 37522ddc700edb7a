//! Handles one client request: checks it, has it admitted, and sends it to servers until one answers.

use super::{
    attempt, backends, body, clients, continuation, dispatch, listener, refusal, socket, ticket,
};
use crate::{api_error, control, fingerprint, logging, policy, probe, snapshot, upstream};
use bytes::Bytes;
use doorswitch_core::{config, ids, node, rendezvous, routes, servers, streams};
use doorswitch_platform::headers;
use http::{HeaderMap, HeaderValue, Request, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time;

/// The time within which a request body must arrive.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The turns of the thread until a request that was read can be sent: the control actor's, that of the decision, and that
/// of the connection.
const TURNS_TO_SERVER: u32 = 3;
/// The retry delay of requests that are refused because too much waits for the thread.
const LATE_RETRY_AFTER_MS: u64 = 1_000;

type Error = api_error::ApiError;

/// Handles a request until the head of its answer can be sent, or until the client closes the connection.
pub async fn handle(
    gateway: Rc<listener::Gateway>,
    client: socket::Socket,
    exchange: clients::Exchange,
    request: Request<Incoming>,
) -> Result<http::Response<clients::AnswerBody>, Infallible> {
    let open_answer = gateway.published.open_answer();
    let connection = client.peer_watch();
    let mut response = tokio::select! {
        response = gateway.clone().response_to(request, &exchange, connection) => response,
        // The client has closed the connection, so this response is never read.
        () = client.closed_by_peer() => refusal::response(&refusal::outcome_unknown()),
    };
    if gateway.draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| clients::AnswerBody::new(body, exchange, open_answer)))
}

/// What a request's head resolves to under the configuration in force.
pub(super) struct ResolvedHead {
    snapshot: Arc<snapshot::Snapshot>,
    pub(super) route: routes::Route,
    pub(super) workspace: Option<config::Workspace>,
    pub(super) parameters: headers::ClientHeaders,
    deadline: Instant,
}

impl listener::Gateway {
    async fn response_to(
        self: Rc<Self>,
        request: Request<Incoming>,
        exchange: &clients::Exchange,
        connection: socket::PeerWatch,
    ) -> backends::Response {
        match self.try_response_to(request, exchange, connection).await {
            Ok(response) => response,
            Err(error) => refusal::response(&error),
        }
    }

    /// Logs the version and age of the configuration by which a request is refused, so that a router with a stale
    /// configuration can be recognized.
    fn log_refused_by_configuration(&self, request: &Request<Incoming>, error: &Error) {
        let id =
            headers::decode(request.headers()).map_or_else(String::new, |parameters| parameters.id);
        let version = self.published.snapshot.load().as_ref().map(|snapshot| snapshot.version);
        log::info!(
            "event=refused_by_configuration id={id} code={} config_version={} config_age_ms={}",
            error.code,
            version.unwrap_or(0),
            logging::ms_or_never(self.published.config_age_ms()),
        );
    }

    async fn try_response_to(
        self: &Rc<Self>,
        request: Request<Incoming>,
        exchange: &clients::Exchange,
        connection: socket::PeerWatch,
    ) -> Result<backends::Response, Error> {
        let started = exchange.arrived_at(self.lag.current());
        let open_answer = self.published.open_answer();
        let head = self
            .resolve_head(&request, started)
            .inspect_err(|error| self.log_refused_by_configuration(&request, error))?;
        let (parts, body) = request.into_parts();
        let limit = head.snapshot.document.callers.body_bytes_max as usize;
        let body = read_body(body, limit).await?;
        exchange.record_request_read();
        self.check_time_left(&head, started)?;
        let origin = self.find_stream_origin(&head, started).await?;
        let (mut admission_request, cost, engine) =
            self.admission_request(&head, origin, &parts.method, parts.uri.path())?;
        let workspace = head.workspace.as_ref().map(|workspace| workspace.name.as_str());
        let digest = || attempt::head_digest(workspace, &parts.method, &head.route, &parts.uri);
        admission_request.fingerprint = self.published.suspected(digest, &body);
        let part_fingerprints = admission_request.part_fingerprints.clone();
        let config_version = head.snapshot.version;
        let log_fields = format!(
            "service={} budget={} bound_tokens={} priority={}{}",
            admission_request.service,
            admission_request.budget,
            admission_request.bound_tokens,
            admission_request.priority,
            continuation::log_fields(&head),
        );
        let call = attempt::Call {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            parameters: head.parameters,
            route: head.route,
            workspace: head.workspace.map(|workspace| workspace.name),
            part_fingerprints,
            engine,
            deadline: head.deadline,
        };
        let dispatch = dispatch::Dispatch {
            gateway: self.clone(),
            call,
            cost,
            log_fields,
            config_version,
            started,
            connection,
            open_answer,
        };
        dispatch.start(admission_request).await
    }

    /// Refuses a request that cannot reach a server before its deadline, as too much waits for the thread.
    fn check_time_left(&self, head: &ResolvedHead, arrived: Instant) -> Result<(), Error> {
        let needed = self.lag.sustained() * TURNS_TO_SERVER;
        if Instant::now() + needed < head.deadline {
            return Ok(());
        }
        log::info!(
            "event=refused_late id={} waited_ms={} needed_ms={}",
            head.parameters.id,
            arrived.elapsed().as_millis(),
            needed.as_millis()
        );
        metrics::counter!("doorswitch_requests_refused_late_total").increment(1);
        Err(refusal::too_late(LATE_RETRY_AFTER_MS))
    }

    fn resolve_head(
        &self,
        request: &Request<Incoming>,
        started: Instant,
    ) -> Result<ResolvedHead, Error> {
        let snapshot = self.published.snapshot.load_full();
        let snapshot = snapshot.ok_or_else(|| api_error::refusal(node::Reason::NotReady, 1_000))?;
        let host = host(request).unwrap_or_default();
        let route = routes::find(&snapshot.document.routes, host, request.uri().path());
        let route = route.cloned().ok_or_else(refusal::no_route)?;
        let key = headers::key(request.headers());
        let workspace = key.and_then(|key| snapshot.workspace(key)).cloned();
        let keyless = route.public || snapshot.document.workspaces.is_empty();
        if workspace.is_none() && !keyless {
            return Err(refusal::unauthorized());
        }
        let parameters = headers::decode(request.headers()).ok_or_else(refusal::bad_head)?;
        let timeout = Duration::from_millis(route.timeout_ms);
        let deadline = started + parameters.deadline.unwrap_or(timeout).min(timeout);
        Ok(ResolvedHead { snapshot, route, workspace, parameters, deadline })
    }

    fn admission_request(
        &self,
        head: &ResolvedHead,
        origin: Option<streams::Origin>,
        method: &http::Method,
        path: &str,
    ) -> Result<(node::AdmissionRequest, ticket::Cost, attempt::Engine), Error> {
        let parameters = &head.parameters;
        let digest = rendezvous::digest(&parameters.id);
        let service = match &origin {
            Some(origin) => Some(origin.service.as_str()),
            None => head.route.service(digest),
        };
        let service = service.and_then(|name| head.snapshot.document.service(name));
        let service = service.ok_or_else(|| api_error::refusal(node::Reason::NoServer, 1_000))?;
        let metered = service.kind == config::Kind::Model;
        let bound_tokens = match metered {
            true => parameters.prompt_tokens.saturating_add(parameters.answer_tokens),
            false => service.call_tokens,
        };
        let (budget, priority, classes) =
            self.apply_policy(head, service, method, path, bound_tokens)?;
        let (high, low) = (digest, rand::random());
        let left = head.deadline.saturating_duration_since(Instant::now());
        let workspace_name =
            head.workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
        let parts = servers::chain(parameters.parts.iter().map(|part| (part.id, part.tokens)));
        let admission_request = node::AdmissionRequest {
            key: ids::RequestKey { high, low },
            keyed: false,
            body_hash: 0,
            budget: budget.unwrap_or_default(),
            service: service.name.clone(),
            classes,
            priority,
            bound_tokens,
            unrepeatable: !head.route.repeatable(),
            attempts_max: head.route.attempts_max,
            prefix_hash: None,
            fingerprint: None,
            part_fingerprints: fingerprint::shared_parts(
                &service.name,
                workspace_name,
                &parameters.parts,
            ),
            parts,
            stream: continuation::stream_request(head, origin),
            deadline_ms: left.as_millis() as u64,
        };
        let cost = ticket::Cost {
            prompt_tokens: parameters.prompt_tokens,
            bound_tokens,
            answer_tokens: 0,
        };
        let engine = attempt::Engine { event_tokens: service.event_tokens, is_model: metered };
        Ok((admission_request, cost, engine))
    }

    /// Evaluates the service's policy: returns the budget, the priority and the VM classes for the request.
    fn apply_policy(
        &self,
        head: &ResolvedHead,
        service: &config::Service,
        method: &http::Method,
        path: &str,
        bound_tokens: u64,
    ) -> Result<(Option<String>, u8, Vec<String>), Error> {
        let workspace = head.workspace.as_ref();
        let facts = policy::Facts {
            workspace: workspace.map(|workspace| workspace.name.clone()).unwrap_or_default(),
            service: service.name.clone(),
            model: String::new(),
            method: method.to_string(),
            path: path.to_owned(),
            max_tokens: head.parameters.answer_tokens,
            bound_tokens,
            workspace_priority: workspace.map_or(0, |workspace| workspace.priority),
            route_priority: head.route.priority,
        };
        match head.snapshot.decide(service, &facts) {
            policy::Decision::Allow { budget, priority, classes } => {
                let name = workspace.map(|workspace| config::budget_name(&workspace.name, &budget));
                Ok((name, priority, classes))
            }
            policy::Decision::Deny { reason } => {
                let status = actix_web::http::StatusCode::FORBIDDEN;
                Err(Error::not_run(status, "policy_denied", reason))
            }
        }
    }

    /// Reports that the connection to a server ended while the server ran a request. Returns once it has been probed
    /// whether the server has crashed.
    pub async fn report_connection_lost(
        &self,
        call: &attempt::Call,
        placement: &upstream::Placement,
    ) {
        let probing = self.backends.probe(placement, &self.control);
        let request = probe::InterruptedRequest {
            id: &call.parameters.id,
            fingerprint: call.fingerprint(),
            parts: &call.parameters.parts,
            part_fingerprints: &call.part_fingerprints,
        };
        probe::report_connection_lost(&self.control, placement, request, probing).await;
    }

    /// Reports that a server ran a request without crashing, if the request is suspected of crashing servers or has parts
    /// that others may share.
    pub fn report_success(&self, call: &attempt::Call) {
        let request = self.published.suspected(|| call.head_digest(), &call.body);
        let parts = call.part_fingerprints.clone();
        if request.is_some() || !parts.is_empty() {
            self.control.do_send(control::RunSucceeded { request, parts });
        }
    }
}

/// Builds the response to the client from the status and headers of a server's answer and a body.
pub fn with_head(parts: &http::response::Parts, body: body::Body) -> backends::Response {
    let mut response = backends::Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers::for_client(&parts.headers);
    response
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Error> {
    let reading = Limited::new(body, limit).collect();
    match time::timeout(BODY_READ_TIMEOUT, reading).await {
        Err(_) => Err(refusal::body_too_slow()),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(refusal::body_too_large()),
        Ok(Err(error)) => Err(Error::invalid("body_broken", error.to_string())),
    }
}

/// The host that a request is addressed to, without its port.
fn host(request: &Request<Incoming>) -> Option<&str> {
    let authority = request.uri().host().or_else(|| header_host(request.headers()))?;
    Some(authority.rsplit_once(':').map_or(authority, |(host, _)| host))
}

fn header_host(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::HOST)?.to_str().ok()
}
