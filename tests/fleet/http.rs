//! A plain HTTP client that uses one connection for each request, so that a test receives the answer's raw bytes.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

/// An HTTP answer as received by a caller.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or(serde_json::Value::Null)
    }

    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// The generated text of a completion, from a JSON body or from stream events.
    pub fn text(&self) -> String {
        if let Some(text) = self.json()["choices"][0]["message"]["content"].as_str() {
            return text.to_owned();
        }
        let events = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        let chunks = events.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
        let texts = chunks.filter_map(|chunk| {
            chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned)
        });
        texts.collect()
    }

    pub fn done(&self) -> bool {
        self.body.ends_with("data: [DONE]\n\n")
    }
}

/// Sends a request and reads the answer; `None` if the connection failed before an answer began.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let mut stream = send(address, method, path, key, headers, body)?;
    let mut received = Vec::new();
    let ended = stream.read_to_end(&mut received);
    if ended.is_err() && received.is_empty() {
        return None;
    }
    parse(&received)
}

/// Sends a request and returns the connection, from which the answer is still to be read.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<std::net::TcpStream> {
    use std::io::Write;
    let mut stream = std::net::TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(60))).ok()?;
    let extra: String = headers.iter().map(|(key, value)| format!("{key}: {value}\r\n")).collect();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\
         Authorization: Bearer {key}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n{extra}\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    Some(stream)
}

pub fn parse(received: &[u8]) -> Option<Answer> {
    let head_end = received.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
    let mut lines = head.lines();
    let status = lines.next()?.split_whitespace().nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect();
    let chunked = headers.iter().any(|(key, value)| {
        key.eq_ignore_ascii_case("transfer-encoding") && value.contains("chunked")
    });
    let body = &received[head_end + 4..];
    let body = if chunked { unchunk(body) } else { body.to_vec() };
    Some(Answer { status, headers, body: String::from_utf8_lossy(&body).into_owned() })
}

fn unchunk(mut body: &[u8]) -> Vec<u8> {
    let mut data = Vec::new();
    while let Some(end) = body.windows(2).position(|window| window == b"\r\n") {
        let length = std::str::from_utf8(&body[..end]).ok();
        let length = length.and_then(|text| usize::from_str_radix(text.trim(), 16).ok());
        let Some(length) = length.filter(|length| *length > 0) else { break };
        let start = end + 2;
        let stop = (start + length).min(body.len());
        data.extend_from_slice(&body[start..stop]);
        body = &body[(stop + 2).min(body.len())..];
    }
    data
}
