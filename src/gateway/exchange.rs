//! One request from its head to its answer.

use super::{attempt, backends, body, listener, refusal, socket, streaming, ticket};
use crate::{api_error, control, logging, policy, probe, snapshot, upstream};
use bytes::Bytes;
use doorswitch_core::{config, ids, node, rendezvous, routes, servers};
use doorswitch_platform::headers;
use http::{HeaderMap, HeaderValue, Request, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time;

/// The longest that the body of a request may take.
const BODY_READ_MAX: Duration = Duration::from_secs(10);
/// The largest whole answer.
const ANSWER_BYTES_MAX: usize = 32 << 20;

type Error = api_error::ApiError;

/// Serves a request until its answer's head, or until the client leaves.
pub async fn handle(
    gateway: Rc<listener::Gateway>,
    client: socket::Socket,
    request: Request<Incoming>,
) -> Result<backends::Response, Infallible> {
    let mut response = tokio::select! {
        response = gateway.clone().exchange(request) => response,
        // Nobody is there to read this.
        () = client.closed_by_peer() => refusal::response(&refusal::outcome_unknown()),
    };
    if gateway.draining() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Why an answer is not whole.
enum Incomplete {
    /// Its connection ended.
    BrokenOff,
    /// It is larger than answers may be.
    TooLarge,
}

/// What the head of a request says, and what the configuration says to it.
struct Head {
    snapshot: Arc<snapshot::Snapshot>,
    route: routes::Route,
    workspace: Option<config::Workspace>,
    asked: headers::ClientHeaders,
    deadline: Instant,
}

impl listener::Gateway {
    async fn exchange(self: Rc<Self>, request: Request<Incoming>) -> backends::Response {
        let started = Instant::now();
        let open = self.published.open_answer();
        match self.try_exchange(request, started, open).await {
            Ok(response) => response,
            Err(error) => refusal::response(&error),
        }
    }

    /// Writes which configuration decided that a request is refused: a router that lags behind shows here.
    fn log_refused_by_configuration(&self, request: &Request<Incoming>, error: &Error) {
        let id = headers::decode(request.headers()).map_or_else(String::new, |asked| asked.id);
        let version = self.published.snapshot.load().as_ref().map(|snapshot| snapshot.version);
        log::info!(
            "event=refused_by_configuration id={id} code={} config_version={} config_age_ms={}",
            error.code,
            version.unwrap_or(0),
            logging::ms_or_never(self.published.config_age_ms()),
        );
    }

    async fn try_exchange(
        self: &Rc<Self>,
        request: Request<Incoming>,
        started: Instant,
        open: snapshot::OpenAnswer,
    ) -> Result<backends::Response, Error> {
        let head = self
            .head(&request, started)
            .inspect_err(|error| self.log_refused_by_configuration(&request, error))?;
        let (parts, body) = request.into_parts();
        let limit = head.snapshot.document.callers.body_bytes_max as usize;
        let body = read_body(body, limit).await?;
        let (mut wanted, cost, event_tokens) =
            self.wanted(&head, &parts.method, parts.uri.path())?;
        let workspace = head.workspace.as_ref().map(|workspace| workspace.name.as_str());
        let digest = || attempt::head_digest(workspace, &parts.method, &head.route, &parts.uri);
        wanted.fingerprint = self.published.suspected(digest, &body);
        let id = head.asked.id.clone();
        let config_version = head.snapshot.version;
        let asked = format!(
            "service={} budget={} bound_tokens={} priority={}",
            wanted.service, wanted.budget, wanted.bound_tokens, wanted.priority
        );
        let placement = match upstream::admit(&self.control, wanted).await {
            upstream::Admission::Placed(placement) => placement,
            upstream::Admission::Refused(error) => {
                let waited_ms = started.elapsed().as_millis();
                log::info!(
                    "event=refused id={id} {asked} code={} waited_ms={waited_ms}",
                    error.code
                );
                return Err(error);
            }
            upstream::Admission::Replay(_) => return Err(refusal::outcome_unknown()),
        };
        let ticket = ticket::Ticket::new(self.control.clone(), placement.slot, cost, id);
        log::info!(
            "event=placed id={} {asked} vm={} unread_tokens={} config_version={config_version} attempt=1",
            head.asked.id,
            placement.vm,
            placement.unread_tokens,
        );
        let call = attempt::Call {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            asked: head.asked,
            route: head.route,
            workspace: head.workspace.map(|workspace| workspace.name),
            event_tokens,
            deadline: head.deadline,
        };
        self.carry(call, ticket, placement, open).await
    }

    fn head(&self, request: &Request<Incoming>, started: Instant) -> Result<Head, Error> {
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
        let asked = headers::decode(request.headers()).ok_or_else(refusal::bad_head)?;
        let timeout = Duration::from_millis(route.timeout_ms);
        let deadline = started + asked.deadline.unwrap_or(timeout).min(timeout);
        Ok(Head { snapshot, route, workspace, asked, deadline })
    }

    fn wanted(
        &self,
        head: &Head,
        method: &http::Method,
        path: &str,
    ) -> Result<(node::Wanted, ticket::Cost, u64), Error> {
        let asked = &head.asked;
        let digest = rendezvous::digest(&asked.id);
        let service = head.route.service(digest);
        let service = service.and_then(|name| head.snapshot.document.service(name));
        let service = service.ok_or_else(|| api_error::refusal(node::Reason::NoServer, 1_000))?;
        let metered = service.kind == config::Kind::Model;
        let bound_tokens = match metered {
            true => asked.prompt_tokens.saturating_add(asked.answer_tokens),
            false => service.call_tokens,
        };
        let (budget, priority, classes) = self.decide(head, service, method, path, bound_tokens)?;
        let (high, low) = (digest, rand::random());
        let left = head.deadline.saturating_duration_since(Instant::now());
        let parts = servers::chain(asked.parts.iter().map(|part| (part.id, part.tokens)));
        let wanted = node::Wanted {
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
            parts,
            deadline_ms: left.as_millis() as u64,
        };
        let cost =
            ticket::Cost { prompt_tokens: asked.prompt_tokens, bound_tokens, answer_tokens: 0 };
        Ok((wanted, cost, service.event_tokens))
    }

    /// What the service's policy says: the budget, the priority and the classes of VM.
    fn decide(
        &self,
        head: &Head,
        service: &config::Service,
        method: &http::Method,
        path: &str,
        bound_tokens: u64,
    ) -> Result<(Option<String>, u8, Vec<String>), Error> {
        let workspace = head.workspace.as_ref();
        let facts = policy::Facts {
            workspace: workspace.map(|it| it.name.clone()).unwrap_or_default(),
            service: service.name.clone(),
            model: String::new(),
            method: method.to_string(),
            path: path.to_owned(),
            max_tokens: head.asked.answer_tokens,
            bound_tokens,
            workspace_priority: workspace.map_or(0, |it| it.priority),
            route_priority: head.route.priority,
        };
        match head.snapshot.decide(service, &facts) {
            policy::Decision::Allow { budget, priority, classes } => {
                let name = workspace.map(|it| config::budget_name(&it.name, &budget));
                Ok((name, priority, classes))
            }
            policy::Decision::Deny { reason } => {
                let status = actix_web::http::StatusCode::FORBIDDEN;
                Err(Error::not_run(status, "policy_denied", reason))
            }
        }
    }

    /// Carries an admitted call to servers until one answers.
    async fn carry(
        self: &Rc<Self>,
        call: attempt::Call,
        ticket: ticket::Ticket,
        placement: upstream::Placement,
        open: snapshot::OpenAnswer,
    ) -> Result<backends::Response, Error> {
        let deadline = time::Instant::from_std(call.deadline);
        let repeatable = call.route.repeatable();
        let mut place = placement;
        let mut may_have_run = false;
        let mut failure = None;
        let mut given_up_at = patience(&call);
        loop {
            let sending = attempt::send(self.attempts(), &call, &place, None);
            let outcome = time::timeout_at(given_up_at.unwrap_or(deadline), sending).await;
            log_outcome(&call, &place, &outcome);
            let tried = match outcome {
                Err(_) if given_up_at.is_some() => {
                    given_up_at = None;
                    node::Tried::MayHaveRun
                }
                Err(_) => {
                    ticket.unknown();
                    return Err(refusal::too_late());
                }
                Ok(attempt::Outcome::Answered { answer, connection }) => {
                    let streams = call.route.kind == routes::RouteKind::Stream;
                    if streams && answer.status().is_success() {
                        let stream = streaming::Stream {
                            gateway: self.clone(),
                            call,
                            ticket,
                            place,
                            connection,
                            _open: open,
                        };
                        return Ok(stream.start(*answer));
                    }
                    let failed = answer.status().is_server_error();
                    match time::timeout_at(deadline, self.whole(*answer, connection)).await {
                        Err(_) => {
                            ticket.unknown();
                            return Err(refusal::too_late());
                        }
                        Ok(Ok(response)) if failed && repeatable => failure = Some(response),
                        Ok(Ok(response)) => {
                            if response.status().is_success() {
                                self.ended_well(&call);
                            }
                            ticket.ran(!failed);
                            return Ok(response);
                        }
                        Ok(Err(Incomplete::BrokenOff)) => self.run_broken(&call, &place).await,
                        Ok(Err(Incomplete::TooLarge)) => {}
                    }
                    node::Tried::MayHaveRun
                }
                Ok(attempt::Outcome::BrokenOff) => {
                    self.run_broken(&call, &place).await;
                    node::Tried::MayHaveRun
                }
                Ok(attempt::Outcome::Unknown) => node::Tried::MayHaveRun,
                Ok(attempt::Outcome::TurnedAway) => node::Tried::TurnedAway,
                Ok(attempt::Outcome::NotSent) => node::Tried::NotSent,
            };
            may_have_run |= tried == node::Tried::MayHaveRun;
            if may_have_run && !repeatable {
                ticket.unknown();
                return Err(refusal::outcome_unknown());
            }
            match ticket.retry(tried).await {
                upstream::Admission::Placed(next) => {
                    let id = &call.asked.id;
                    log::info!("event=placed_again id={id} vm={} after={}", next.vm, place.vm);
                    place = next;
                }
                refused => return give_up(ticket, failure, may_have_run, refused),
            }
        }
    }

    /// Notes that a server's connection ended while it ran a request.
    pub async fn run_broken(&self, call: &attempt::Call, place: &upstream::Placement) {
        let probing = self.backends.probe(place, &self.control);
        let (id, request) = (&call.asked.id, call.fingerprint());
        probe::run_broken(&self.control, place, id, request, probing).await;
    }

    /// Notes that a run of a request ended well.
    pub fn ended_well(&self, call: &attempt::Call) {
        if let Some(request) = self.published.suspected(|| call.head_digest(), &call.body) {
            self.control.do_send(control::RunSucceeded(request));
        }
    }

    /// Reads an answer to its end.
    async fn whole(
        &self,
        answer: backends::Answer,
        connection: backends::Connection,
    ) -> Result<backends::Response, Incomplete> {
        let (parts, incoming) = answer.into_parts();
        let bytes = match Limited::new(incoming, ANSWER_BYTES_MAX).collect().await {
            Ok(bytes) => bytes.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => return Err(Incomplete::TooLarge),
            Err(_) => return Err(Incomplete::BrokenOff),
        };
        self.backends.rest(connection);
        Ok(with_head(&parts, body::Body::whole(bytes)))
    }
}

/// When a first try is given up for one at another server: one that answers nothing by half of the time may have lost
/// the request, and the other half is left for a server that has not. `None` where only the deadline ends it: a stream
/// may wait for its first event for long, and what may not repeat has one try.
fn patience(call: &attempt::Call) -> Option<time::Instant> {
    let plain = call.route.kind != routes::RouteKind::Stream;
    let repeats = plain && call.route.repeatable() && call.route.attempts_max > 1;
    let now = Instant::now();
    let half = call.deadline.saturating_duration_since(now) / 2;
    repeats.then(|| time::Instant::from_std(now + half))
}

/// No further server is tried: the last failure of one is the answer, or the refusal.
fn give_up(
    ticket: ticket::Ticket,
    failure: Option<backends::Response>,
    may_have_run: bool,
    refused: upstream::Admission,
) -> Result<backends::Response, Error> {
    if let Some(response) = failure {
        ticket.ran(false);
        return Ok(response);
    }
    if may_have_run {
        ticket.unknown();
        return Err(refusal::outcome_unknown());
    }
    ticket.not_run();
    match refused {
        upstream::Admission::Refused(error) => Err(error),
        _ => Err(Error::closing()),
    }
}

/// A server's status and headers with a body.
pub fn with_head(parts: &http::response::Parts, body: body::Body) -> backends::Response {
    let mut response = backends::Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers::for_client(&parts.headers);
    response
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Error> {
    let reading = Limited::new(body, limit).collect();
    match time::timeout(BODY_READ_MAX, reading).await {
        Err(_) => Err(refusal::body_too_slow()),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(refusal::body_too_large()),
        Ok(Err(error)) => Err(Error::invalid("body_broken", error.to_string())),
    }
}

/// The host that a request names, without a port.
fn host(request: &Request<Incoming>) -> Option<&str> {
    let named = request.uri().host().or_else(|| header_host(request.headers()))?;
    Some(named.rsplit_once(':').map_or(named, |(host, _)| host))
}

fn header_host(headers: &HeaderMap) -> Option<&str> {
    headers.get(header::HOST)?.to_str().ok()
}

fn log_outcome(
    call: &attempt::Call,
    place: &upstream::Placement,
    outcome: &Result<attempt::Outcome, time::error::Elapsed>,
) {
    let word = match outcome {
        Err(_) => "timeout",
        Ok(attempt::Outcome::Answered { answer, .. }) if answer.status().is_success() => return,
        Ok(attempt::Outcome::Answered { .. }) => "failed",
        Ok(attempt::Outcome::NotSent) => "not_sent",
        Ok(attempt::Outcome::TurnedAway) => "not_run",
        Ok(attempt::Outcome::BrokenOff) => "broken_off",
        Ok(attempt::Outcome::Unknown) => "unknown",
    };
    log::info!("event=attempt_ended id={} vm={} outcome={word}", call.asked.id, place.vm);
}
