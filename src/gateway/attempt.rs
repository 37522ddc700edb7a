//! One attempt to have a call answered by one server.

use super::{backends, clients, refusal, socket, stopped_runs};
use crate::{api_error, control, fingerprint, logging, snapshot, timer, upstream};
use bytes::Bytes;
use doorswitch_core::{ids, routes, servers};
use doorswitch_platform::{answers, headers, runs};
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use std::cell::Cell;
use std::future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time;

/// A server that is reached sends something within this time after its client has left.
pub const CLOSE_SILENCE_MAX: Duration = Duration::from_millis(150);

/// A client's request, read in full, with what is needed to send it to a server.
#[derive(Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path and query string.
    pub uri: Uri,
    /// The headers that the client sent.
    pub headers: HeaderMap,
    /// The whole request body, which each attempt sends.
    pub body: Bytes,

    /// What this router reads from the headers: the id, the token counts and the deadline.
    pub parameters: headers::ClientHeaders,
    /// The route that matches the host and path.
    pub route: routes::Route,
    /// The workspace whose budget pays; `None` on a public route without a key.
    pub workspace: Option<String>,
    /// The fingerprints of the parts that its prompt may share with other requests.
    pub part_fingerprints: Vec<ids::Fingerprint>,
    /// What is known of the servers of the service.
    pub engine: Engine,
    /// When the request is abandoned.
    pub deadline: Instant,
}

/// What is known of the servers of a service.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// The maximum number of tokens in one event of an answer.
    pub event_tokens: u64,
    /// Whether they are model servers, which may keep the state of runs that are stopped.
    pub is_model: bool,
}

/// Where the answer to a call goes on.
#[derive(Clone, Debug, Default)]
pub struct Position {
    /// The id of the last event that was forwarded.
    pub last_event_id: Option<String>,
    /// The run that goes on, if it was stopped at its server.
    pub stopped_run: Option<runs::StoppedRun>,
    /// Whether the server may have been asked to stop the run by a request that it carries out late.
    pub stop_asked: bool,
}

impl Call {
    /// Whether an answer is forwarded as a stream of events.
    pub fn is_streamed(&self, answer: &backends::Answer) -> bool {
        self.route.kind == routes::RouteKind::Stream && answer.status().is_success()
    }

    /// Whether what its server has made is seen as it is made: each event of a stream is sent at once, and calls to
    /// plain services have a price of their own.
    pub fn shows_tokens(&self) -> bool {
        self.route.kind == routes::RouteKind::Stream || !self.engine.is_model
    }

    /// A digest of everything but the body.
    pub fn head_digest(&self) -> fingerprint::HeadDigest {
        head_digest(self.workspace.as_deref(), &self.method, &self.route, &self.uri)
    }

    /// The field of a log line that names the parts of its prompt, if `error` refuses it because of one.
    pub fn parts_field(&self, error: &api_error::ApiError) -> String {
        refusal::parts_field(error, &self.parameters.parts, &self.part_fingerprints)
    }

    /// The fingerprint: equal for requests with the same workspace, method, host, target and body.
    pub fn fingerprint(&self) -> ids::Fingerprint {
        self.head_digest().with_body(&self.body)
    }
}

/// A digest of everything in a request but its body.
pub fn head_digest(
    workspace: Option<&str>,
    method: &Method,
    route: &routes::Route,
    uri: &Uri,
) -> fingerprint::HeadDigest {
    let head = fingerprint::Head {
        workspace: workspace.unwrap_or_default(),
        method: method.as_str(),
        host: &route.host,
        target: uri.path_and_query().map_or_else(|| uri.path(), |target| target.as_str()),
    };
    head.digest()
}

/// The outcome of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The server has begun to answer the request.
    Answered {
        /// The head of the answer, with its body still to be read.
        answer: Box<backends::Answer>,
        /// The connection from which the body is read.
        connection: backends::Connection,
    },
    /// No connection was established, or not a byte of the request was sent.
    NotSent,
    /// Nothing was sent: neither this router nor another one that it asked reaches the server.
    NoRoute,
    /// The server stated that it did not run the request, on a connection that had been used like this.
    Rejected(backends::Usage),
    /// The request was sent, and the connection ended before the head of an answer.
    ConnectionLost,
    /// The request was sent, and the answer belongs to another request.
    Unknown,
    /// The client left before the head of the answer, and the server ended the connection without one.
    EndedWithClient,
    /// The client left before the head of the answer, and nothing more was heard on this connection.
    SilentSinceClientLeft {
        /// The connection, which is still open.
        connection: backends::Connection,
        /// When the server was told.
        closed: Instant,
    },
}

/// The parts of the router that an attempt uses.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The connections to backend servers.
    pub backends: &'a Rc<backends::Backends>,
    /// The address of the control thread.
    pub control: &'a actix::Addr<control::Control>,
    /// The state that the control thread publishes.
    pub published: &'a snapshot::Published,
}

/// Sends a call to the server at `placement` and returns once the head of its answer has arrived or the attempt has
/// failed. A reused connection that turns out to be closed before anything was sent is replaced by a new one; one whose
/// link is lost is replaced if the server stops the run, which then goes on. `sent` is set while a part of the call may
/// have been sent. Nothing is sent from the call's deadline on, or once the client has left. If it leaves later, the server
/// is told, and the attempt ends with what it has sent by then.
pub async fn send(
    context: Context<'_>,
    call: &Call,
    placement: &upstream::Placement,
    mut position: Position,
    sent: &Cell<bool>,
    client: &clients::Client,
) -> Outcome {
    let outcome = send_from(context, call, placement, &mut position, sent, client).await;
    match outcome {
        Outcome::NotSent | Outcome::NoRoute | Outcome::Rejected(_)
            if position.stopped_run.is_some() =>
        {
            // The part of the run before it was stopped has run.
            sent.set(true);
            Outcome::Unknown
        }
        outcome => outcome,
    }
}

async fn send_from(
    context: Context<'_>,
    call: &Call,
    placement: &upstream::Placement,
    position: &mut Position,
    sent: &Cell<bool>,
    client: &clients::Client,
) -> Outcome {
    let mut new_only = false;
    let id = call.parameters.id.as_str();
    let outgoing = backends::Outgoing { id, repeatable: call.route.repeatable() };
    loop {
        let connecting = connect(context.backends, placement, position, new_only, outgoing);
        let connected = tokio::select! {
            biased;
            () = client.left() => return Outcome::NotSent,
            connected = connecting => connected,
        };
        let mut connection = match connected {
            Ok(connection) => connection,
            Err(error) => {
                if error.refused() {
                    context.control.do_send(control::ServerRefused(placement.server()));
                }
                return if error.no_route() { Outcome::NoRoute } else { Outcome::NotSent };
            }
        };
        if let Some(via) = &connection.via {
            log::info!(
                "event=attempt_relayed id={} vm={} via={via}",
                call.parameters.id,
                placement.vm
            );
        }
        let sent_at = Instant::now();
        if sent_at >= call.deadline || client.has_left() {
            context.backends.keep_unsent(connection);
            return Outcome::NotSent;
        }
        let request = request(call, placement, position);
        connection.record_sent(&call.parameters.id);
        let handle = connection.handle();
        handle.send_before(call.deadline);
        if position.stop_asked {
            handle.record_stop_asked();
        }
        let sending_mark = SendingMark::new(sent, handle.clone());
        let mut sending = Box::pin(connection.sender.try_send_request(request));
        let mut closed = None;
        let answer = loop {
            tokio::select! {
                biased;
                answer = &mut sending => break Some(answer),
                () = client.left(), if closed.is_none() => {
                    handle.close_sending();
                    closed = Some(Instant::now());
                    continue;
                }
                closed = silence_after(closed) => {
                    return Outcome::SilentSinceClientLeft { connection, closed };
                }
                () = handle.link_lost(), if closed.is_none() => {}
            }
            let stop = stopped_runs::stop(context, call, placement).await;
            stop.record_at(&handle);
            if let stopped_runs::Stop::Stopped { run, .. } = stop {
                position.stopped_run = Some(run);
                position.stop_asked = handle.stop_asked();
                break None;
            }
        };
        drop(sending);
        let request_sent = handle.request_sent();
        drop(sending_mark);
        let error = match answer {
            None => continue,
            Some(Ok(answer)) => {
                handle.record_progress();
                return handle_head(context, call, placement, sent_at, answer, connection).await;
            }
            Some(Err(error)) => error,
        };
        // The request is returned in the error only if not a byte of it was written.
        let unsent = error.message().is_some() || !request_sent;
        if closed.is_some() && error.error().is_incomplete_message() {
            return Outcome::EndedWithClient;
        }
        match (unsent, connection.used) {
            (true, _) if closed.is_some() => return Outcome::NotSent,
            (true, true) => new_only = true,
            (true, false) => return Outcome::NotSent,
            (false, _) => return Outcome::ConnectionLost,
        }
    }
}

/// Connects to a server; around the own link for a run that goes on, as that link may fail any new connection.
async fn connect(
    backends: &backends::Backends,
    placement: &upstream::Placement,
    position: &Position,
    new_only: bool,
    outgoing: backends::Outgoing<'_>,
) -> Result<backends::Connection, backends::Error> {
    match position.stopped_run {
        Some(_) => backends.connect_around_link(placement, outgoing.repeatable).await,
        None => backends.connect(placement, new_only, outgoing).await,
    }
}

/// Marks a call as sent for as long as its connection may send it, and afterwards if it has.
struct SendingMark<'a> {
    sent: &'a Cell<bool>,
    sent_before: bool,
    handle: Rc<socket::ConnectionHandle>,
}

impl<'a> SendingMark<'a> {
    fn new(sent: &'a Cell<bool>, handle: Rc<socket::ConnectionHandle>) -> Self {
        Self { sent, sent_before: sent.replace(true), handle }
    }
}

impl Drop for SendingMark<'_> {
    fn drop(&mut self) {
        self.sent.set(self.sent_before || self.handle.request_sent());
    }
}

/// Returns `closed` once the time has passed in which a server that is reached sends something after it was told, at
/// `closed`, that its client has left; never if it wasn't told. A pause of this process leaves time to read what arrived.
async fn silence_after(closed: Option<Instant>) -> Instant {
    let Some(closed) = closed else { return future::pending().await };
    let deadline = time::Instant::from_std(closed + CLOSE_SILENCE_MAX);
    // Ends with the timeout, as the future never completes.
    let _ = timer::timeout_at(deadline, future::pending::<()>()).await;
    closed
}

/// Evaluates the head of an answer: reports what the server states in it, and determines whether the request ran.
async fn handle_head(
    context: Context<'_>,
    call: &Call,
    placement: &upstream::Placement,
    sent: Instant,
    answer: backends::Answer,
    mut connection: backends::Connection,
) -> Outcome {
    let head =
        answers::decode_head(answer.status().as_u16(), answer.headers(), &call.parameters.id);
    if !head.id_matches {
        // An answer to another request states nothing about this one, which may have run. The connection is closed with
        // it: the answer to this request may still arrive there.
        let answered = answers::id(answer.headers()).unwrap_or_default();
        let refused_here = connection.was_refused(answered);
        log::info!(
            "event=answer_to_another_request id={} vm={} status={} states_not_run={} answered={} refused_here={refused_here} {}",
            call.parameters.id,
            placement.vm,
            answer.status().as_u16(),
            head.not_run,
            logging::quoted(answered),
            connection.usage(&call.parameters.id),
        );
        metrics::counter!("doorswitch_answers_to_other_requests_total").increment(1);
        if refused_here && !head.not_run {
            backends::log_contradiction(answered, &placement.vm, answer.status().as_u16());
        }
        return Outcome::Unknown;
    }
    connection.record_answer(&answer);
    // A misdirected request was answered by another server incarnation, whose load and directives are not those of this
    // one.
    let misdirected = answer.status() == StatusCode::MISDIRECTED_REQUEST;
    if !misdirected {
        report_head(context, placement, &head, sent);
        if head.directives.is_leaving == servers::Directive::Value(true) {
            connection.close_after_exchange();
            context.backends.close_idle(placement);
        }
    }
    if head.not_run {
        connection.record_refused();
        let usage = connection.usage(&call.parameters.id);
        discard_body(context.backends, answer, connection).await;
        return Outcome::Rejected(usage);
    }
    if head.seems_not_run {
        log::info!(
            "event=unstated_refusal id={} vm={} status={}",
            call.parameters.id,
            placement.vm,
            answer.status().as_u16()
        );
        metrics::counter!("doorswitch_unstated_refusals_total").increment(1);
        return Outcome::Unknown;
    }
    Outcome::Answered { answer: Box::new(answer), connection }
}

/// Reports what the server states in the head of an answer about its load and the requests that it accepts.
fn report_head(
    context: Context<'_>,
    placement: &upstream::Placement,
    head: &answers::Head,
    sent: Instant,
) {
    if let Some((running, queued, slots)) = head.load {
        let load = servers::Load { running, queued, slots };
        context.control.do_send(control::LoadReported {
            vm: placement.vm.clone(),
            incarnation: placement.incarnation,
            load,
        });
    }
    upstream::report_head(context.control, context.published, placement, head.directives, sent);
}

/// Reads and discards a short body so that the connection can be used again. A body of more than 4 KiB or 20 ms is not
/// read to its end, and its connection is closed.
async fn discard_body(
    backends: &Rc<backends::Backends>,
    answer: backends::Answer,
    connection: backends::Connection,
) {
    use http_body_util::BodyExt;
    let limit = std::time::Duration::from_millis(20);
    let body = http_body_util::Limited::new(answer.into_body(), 4 << 10).collect();
    if matches!(tokio::time::timeout(limit, body).await, Ok(Ok(_))) {
        backends.keep_idle(connection);
    }
}

fn request(
    call: &Call,
    placement: &upstream::Placement,
    position: &Position,
) -> Request<backends::RequestBody> {
    let forwarded = headers::SystemHeaders {
        server: &placement.vm,
        workspace: call.workspace.as_deref(),
        remaining: call.deadline.saturating_duration_since(Instant::now()),
        last_event_id: position.last_event_id.as_deref(),
        stopped_run: position.stopped_run.as_ref(),
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = headers::for_server(&call.headers, &forwarded);
    request
}
