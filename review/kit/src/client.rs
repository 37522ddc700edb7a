//! A client that sends requests as the pages say.

use crate::{Head, head_end};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub const HOST: &str = "shop.example";

/// How an attempt of a client ended.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The head and the body, and whether the body is whole.
    Answered { head: Head, body: Vec<u8>, whole: bool },
    /// The connection ended, or the time passed, without the head of an answer.
    None(&'static str),
}

impl Answer {
    pub fn status(&self) -> u16 {
        match self {
            Self::Answered { head, .. } => head.status(),
            Self::None(_) => 0,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Self::Answered { head, body, whole } => {
                let seal = head.header("server-seal").unwrap_or("none");
                format!("{} seal={seal} bytes={} whole={whole}", head.status(), body.len())
            }
            Self::None(cause) => (*cause).to_owned(),
        }
    }
}

/// A request; its body has a length.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub deadline_ms: u64,
    pub headers: &'a str,
    pub body: &'a str,
}

impl Request<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let key =
            self.key.map_or_else(String::new, |key| format!("Authorization: Bearer {key}\r\n"));
        format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n{key}{}Content-Length: {}\r\n\r\n{}",
            self.method, self.path, self.id, self.deadline_ms, self.headers, self.body.len(), self.body
        )
        .into_bytes()
    }
}

/// Sends a request on a connection and reads the answer for as long as the deadline allows.
pub fn exchange(stream: &mut TcpStream, request: &Request<'_>) -> Answer {
    let time = Duration::from_millis(request.deadline_ms + 500);
    let _ = stream.set_read_timeout(Some(time));
    if stream.write_all(&request.bytes()).is_err() {
        return Answer::None("closed before it was sent");
    }
    read_answer(stream)
}

/// Sends a request on a new connection.
pub fn call(address: SocketAddr, request: &Request<'_>) -> Answer {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Answer::None("not connected");
    };
    let _ = stream.set_nodelay(true);
    exchange(&mut stream, request)
}

pub fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut received = Vec::new();
    let mut chunk = [0; 8192];
    let mut ended = false;
    loop {
        if let Some(end) = head_end(&received) {
            let head = Head::parse(&received[..end]);
            let rest = &received[end..];
            let chunked =
                head.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
            let (body, whole) = match (chunked, head.length()) {
                (true, _) => unchunk(rest),
                (false, Some(length)) => {
                    (rest[..rest.len().min(length)].to_vec(), rest.len() >= length)
                }
                (false, None) => (rest.to_vec(), ended),
            };
            if whole || ended {
                return Answer::Answered { head, body, whole };
            }
        } else if ended {
            return Answer::None("closed without an answer");
        }
        match stream.read(&mut chunk) {
            Ok(0) => ended = true,
            Ok(length) => received.extend_from_slice(&chunk[..length]),
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                return match head_end(&received) {
                    Some(end) => Answer::Answered {
                        head: Head::parse(&received[..end]),
                        body: received[end..].to_vec(),
                        whole: false,
                    },
                    None => Answer::None("no answer in time"),
                };
            }
            Err(_) => {
                return match head_end(&received) {
                    Some(end) => Answer::Answered {
                        head: Head::parse(&received[..end]),
                        body: received[end..].to_vec(),
                        whole: false,
                    },
                    None => Answer::None("reset without an answer"),
                };
            }
        }
    }
}

/// The data of the chunks, and whether the last chunk has arrived.
pub fn unchunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut data = Vec::new();
    while let Some(end) = bytes.windows(2).position(|window| window == b"\r\n") {
        let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let Ok(length) = usize::from_str_radix(text.trim(), 16) else { break };
        if length == 0 {
            return (data, true);
        }
        let start = end + 2;
        if bytes.len() < start + length + 2 {
            break;
        }
        data.extend_from_slice(&bytes[start..start + length]);
        bytes = &bytes[start + length + 2..];
    }
    (data, false)
}
