//! Records, configurations and requests as servers, operators and clients of the users' platform write them, for tests
//! that need only these.

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
            "version": "v1", "slots": 64, "state": self.state, "coldLeftMs": 0,
            "born": self.started_ms,
        });
        record.to_string().into_bytes()
    }
}

/// A configuration with public routes, each given by its path and service.
pub fn configuration<'a>(
    version: u64,
    host: &str,
    services: &[&str],
    routes: impl Iterator<Item = (String, &'a str)>,
) -> Vec<u8> {
    let route = |(path, service): (String, &str)| {
        json!({
            "name": path.trim_matches('/'), "host": host, "pathPrefix": path,
            "routeType": "idempotent", "timeoutMs": 1_000, "targetLatencyMs": 200, "priority": 1,
            "service": service, "maxAttempts": 1, "public": true,
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
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1000\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
    let body = answer.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
    match (status, body) {
        (Some(status), Some(body)) => Ok(Answer { status, body }),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}
