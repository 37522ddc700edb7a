//! One try at one server.

use super::backends;
use crate::{control, fingerprint, snapshot, upstream};
use bytes::Bytes;
use doorswitch_core::{ids, routes, servers};
use doorswitch_platform::{answers, headers};
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use std::rc::Rc;
use std::time::Instant;

/// A request as the client sent it, read in full.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The client's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// What the headers say.
    pub asked: headers::Asked,
    /// The route that it took.
    pub route: routes::Route,
    /// The workspace that pays; `None` on a public route without a key.
    pub workspace: Option<String>,
    /// The most tokens in one event of the answer.
    pub event_tokens: u64,
    /// When to give up.
    pub deadline: Instant,
}

impl Call {
    /// A digest of all but the body.
    pub fn head_digest(&self) -> fingerprint::HeadDigest {
        head_digest(self.workspace.as_deref(), &self.method, &self.route, &self.uri)
    }

    /// What makes it the same request as another.
    pub fn fingerprint(&self) -> ids::Fingerprint {
        self.head_digest().with_body(&self.body)
    }
}

/// A digest of all of a request but its body.
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

/// What came of a try.
#[derive(Debug)]
pub enum Outcome {
    /// The server ran it; this is the head of its answer.
    Answered {
        /// The answer.
        answer: Box<backends::Answer>,
        /// The connection on which the body comes.
        connection: backends::Connection,
    },
    /// No connection came up, or not a byte of it was sent.
    NotSent,
    /// The server said that it did not run it.
    TurnedAway,
    /// It was sent, and its connection ended before an answer.
    BrokenOff,
    /// It was sent, and no answer to it came.
    Unknown,
}

/// What a try needs of the router.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// The connections to servers.
    pub backends: &'a Rc<backends::Backends>,
    /// The control thread.
    pub control: &'a actix::Addr<control::Control>,
    /// What it published.
    pub published: &'a snapshot::Published,
}

/// Sends a call to the server at `place`.
pub async fn send(
    context: Context<'_>,
    call: &Call,
    place: &upstream::Placement,
    last_event_id: Option<&str>,
) -> Outcome {
    let mut fresh = false;
    loop {
        let mut connection = match context.backends.connect(place, fresh).await {
            Ok(connection) => connection,
            Err(error) => {
                if error.refused() {
                    context.control.do_send(control::ServerRefused(place.server()));
                }
                return Outcome::NotSent;
            }
        };
        let request = request(call, place, last_event_id);
        let sent = Instant::now();
        let error = match connection.sender.try_send_request(request).await {
            Ok(answer) => return answered(context, call, place, sent, answer, connection).await,
            Err(error) => error,
        };
        // Given back whole: not a byte of it was written.
        let unsent = error.message().is_some();
        match (unsent, connection.used) {
            (true, true) => fresh = true,
            (true, false) => return Outcome::NotSent,
            (false, _) => return Outcome::BrokenOff,
        }
    }
}

async fn answered(
    context: Context<'_>,
    call: &Call,
    place: &upstream::Placement,
    sent: Instant,
    answer: backends::Answer,
    mut connection: backends::Connection,
) -> Outcome {
    let head = answers::head(answer.status().as_u16(), answer.headers(), &call.asked.id);
    if let Some((running, queued, slots)) = head.load {
        let load = servers::Load { running, queued, slots };
        context.control.do_send(control::Reported { vm: place.vm.clone(), life: place.life, load });
    }
    // Another instance speaks for itself, and an answer to another request comes from no known time.
    let misdirected = answer.status() == StatusCode::MISDIRECTED_REQUEST;
    let of_server = !misdirected && (head.not_run || head.echoes);
    if of_server {
        upstream::report_head(context.control, context.published, place, head.said, sent);
    }
    connection.note_keep_alive(answer.headers());
    if of_server && head.said.is_leaving == servers::Directive::Value(true) {
        connection.close_after_exchange();
        context.backends.close_resting(place);
    }
    if head.not_run || misdirected {
        rest_after_body(context.backends, answer, connection).await;
        return Outcome::TurnedAway;
    }
    if !head.echoes {
        // An answer to another request: what became of this one is not known.
        return Outcome::Unknown;
    }
    Outcome::Answered { answer: Box::new(answer), connection }
}

/// Reads a short body that nobody wants, so that the connection can be used again.
async fn rest_after_body(
    backends: &Rc<backends::Backends>,
    answer: backends::Answer,
    connection: backends::Connection,
) {
    use http_body_util::BodyExt;
    let limit = std::time::Duration::from_millis(20);
    let body = http_body_util::Limited::new(answer.into_body(), 4 << 10).collect();
    if matches!(tokio::time::timeout(limit, body).await, Ok(Ok(_))) {
        backends.rest(connection);
    }
}

fn request(
    call: &Call,
    place: &upstream::Placement,
    last_event_id: Option<&str>,
) -> Request<backends::RequestBody> {
    let told = headers::Told {
        server: &place.vm,
        workspace: call.workspace.as_deref(),
        left: call.deadline.saturating_duration_since(Instant::now()),
        last_event_id,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = headers::for_server(&call.headers, &told);
    request
}
