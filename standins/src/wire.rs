//! Records, configurations and requests as servers, operators and clients of the users' platform write them, for tests
//! that need only these.

use crate::backend;
use serde_json::json;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A server's record in the store.
#[derive(Clone, Copy, Debug)]
pub struct Record<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// The address on which the server accepts requests.
    pub address: SocketAddr,
    /// The software version.
    pub version: &'a str,
    /// The state, as the platform writes it.
    pub state: &'a str,
    /// When the server started, in Unix milliseconds.
    pub started_ms: u64,
}

impl Record<'_> {
    /// The record as JSON, as it is stored.
    pub fn value(&self) -> Vec<u8> {
        let record = json!({
            "service": self.service, "address": self.address.to_string(), "zone": "domain-0",
            "version": self.version, "slots": 64, "state": self.state, "coldLeftMs": 0,
            "born": self.started_ms,
        });
        record.to_string().into_bytes()
    }
}

/// The kind of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Calls that may be repeated at another server.
    Repeatable,
    /// Calls that must run at most once.
    Unrepeatable,
    /// Streams that may be continued at another server.
    ResumableStream,
    /// Streams that must run at most once.
    Stream,
}

/// A public route of a configuration.
#[derive(Clone, Debug)]
pub struct Route<'a> {
    /// The prefix of the paths.
    pub path: String,
    /// The name of the service.
    pub service: &'a str,
    /// The kind of its requests.
    pub kind: RouteKind,
    /// The number of servers to which a request may be sent.
    pub attempts_max: u32,
}

/// A configuration with public routes.
pub fn configuration<'a>(
    version: u64,
    host: &str,
    services: &[&str],
    routes: impl Iterator<Item = Route<'a>>,
) -> Vec<u8> {
    let route = |route: Route<'a>| {
        let (kind, timeout_ms) = match route.kind {
            RouteKind::Repeatable => ("idempotent", 1_000),
            RouteKind::Unrepeatable => ("non_idempotent", 1_000),
            RouteKind::ResumableStream | RouteKind::Stream => ("streaming", 4_000),
        };
        json!({
            "name": route.path.trim_matches('/'), "host": host, "pathPrefix": route.path,
            "routeType": kind, "timeoutMs": timeout_ms, "targetLatencyMs": 200, "priority": 1,
            "service": route.service, "maxAttempts": route.attempts_max, "public": true,
            "streamResume": route.kind == RouteKind::ResumableStream,
        })
    };
    let service =
        |name: &&str| json!({ "name": name, "healthPath": "/health", "maxConnections": 400 });
    let configuration = json!({
        "version": version,
        "routes": routes.map(route).collect::<Vec<_>>(),
        "services": services.iter().map(service).collect::<Vec<_>>(),
        "limits": {
            "maxHeaderBytes": 16_384, "maxBodyBytes": 65_536,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000,
        },
        "tenants": [],
    });
    configuration.to_string().into_bytes()
}

/// The ids of the parts of the prompt that a server received.
pub fn prompt_parts(request: &backend::ReceivedRequest) -> Vec<&str> {
    let parts = request.header("prompt-prefix").unwrap_or_default().split(',');
    parts.filter_map(|part| Some(part.split_once(':')?.0)).collect()
}

/// An HTTP answer as a client received it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status code of the answer.
    pub status: u16,
    /// The body, without decoding a transfer encoding.
    pub body: String,
}

/// Sends one GET request on a new connection. An answer that takes longer than `timeout` is an error.
pub fn get(
    address: SocketAddr,
    host: &str,
    path: &str,
    id: &str,
    timeout: Duration,
) -> io::Result<Answer> {
    get_with_prompt(address, host, path, id, &[], timeout)
}

/// The same for a request whose prompt consists of parts with these ids.
pub fn get_with_prompt(
    address: SocketAddr,
    host: &str,
    path: &str,
    id: &str,
    parts: &[String],
    timeout: Duration,
) -> io::Result<Answer> {
    let parts: Vec<String> = parts.iter().map(|part| format!("{part}:10")).collect();
    let prompt = match parts.is_empty() {
        true => String::new(),
        false => format!("Prompt-Prefix: {}\r\n", parts.join(",")),
    };
    let headers = format!("Attempt-Id: {id}\r\nDeadline-Ms: 1000\r\n{prompt}");
    let mut stream = send(address, host, path, &headers, timeout)?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
    match (status, body) {
        (Some(status), Some(body)) => Ok(Answer { status, body }),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// The head of a streamed answer; the id of the request takes the place of `{id}`.
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\n\
    Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The head of an answer with events that ends with its connection.
pub const UNFRAMED_STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\n\
    Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The id, a number.
    pub number: u64,
    /// The data, a single line.
    pub data: String,
}

/// Where a client continues a stream: after the event `last_id`, of the stream whose first event came in the answer to
/// the request `first`.
#[derive(Clone, Copy, Debug)]
pub struct Continuation<'a> {
    /// The id of the last event that the client received.
    pub last_id: u64,
    /// The id of the request that began the stream.
    pub first: &'a str,
}

impl Continuation<'_> {
    /// The header lines of a request that continues the stream.
    pub fn headers(&self) -> String {
        format!("Last-Event-Id: {}\r\nResumes: {}\r\n", self.last_id, self.first)
    }
}

/// Sends one GET request, usually for a stream, on a new connection, and reads the answer until the connection ends or
/// nothing arrives for `timeout`. Returns what arrived by then.
pub fn get_stream(
    address: SocketAddr,
    host: &str,
    path: &str,
    id: &str,
    continuation: Option<Continuation<'_>>,
    timeout: Duration,
) -> String {
    let continued = continuation.map_or_else(String::new, |continuation| continuation.headers());
    let headers = format!("Attempt-Id: {id}\r\nDeadline-Ms: 4000\r\n{continued}");
    let mut received = Vec::new();
    if let Ok(mut stream) = send(address, host, path, &headers, timeout) {
        // What arrived before an error stays in `received`.
        let _ = stream.read_to_end(&mut received);
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// The complete events of a streamed answer in chunks.
pub fn events(answer: &str) -> impl Iterator<Item = Event> {
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    body.split("id: ").skip(1).filter_map(|text| {
        let (event, _) = text.split_once("\n\n")?;
        let (number, data) = event.split_once("\ndata: ")?;
        Some(Event { number: number.parse().ok()?, data: data.to_owned() })
    })
}

fn send(
    address: SocketAddr,
    host: &str,
    path: &str,
    headers: &str,
    timeout: Duration,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let request =
        format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Connection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    Ok(stream)
}
