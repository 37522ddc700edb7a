//! A model server as the pages describe it: streams of events, one request at a time on a connection, `slots` runs at a
//! time and a queue of a few more.

use crate::server::read_request;
use crate::{Head, Record};
use serde_json::json;
use std::collections::HashMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub slots: usize,
    pub queue: usize,
    /// The time until the first event, and the pause between events.
    pub step: Duration,
    /// The tokens in an event.
    pub stride: u64,
    /// The prompt tokens that are read in a millisecond, of one prompt after the other; `None`: at once.
    pub read_per_ms: Option<f64>,
    /// The number of events of an answer, of at least 3.
    pub events: u64,
}

pub struct Engine {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    settings: Settings,
    pub shared: Arc<Shared>,
}

pub struct Shared {
    id: String,
    settings: Settings,
    record: Record,
    places: Mutex<(usize, usize)>,
    freed: Condvar,
    reading: Mutex<()>,
    seals: AtomicU64,
    /// Tokens taken in, once for each request, and handed out.
    pub tokens: AtomicU64,
    pub runs: Mutex<HashMap<String, u64>>,
    /// Runs that have not ended.
    pub running: AtomicU64,
    pub ended: AtomicBool,
}

impl Engine {
    pub fn start(id: &str, service: &str, settings: Settings, record: &Record) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            settings,
            record: record.clone(),
            places: Mutex::new((0, 0)),
            freed: Condvar::new(),
            reading: Mutex::new(()),
            seals: AtomicU64::new(0),
            tokens: AtomicU64::new(0),
            runs: Mutex::default(),
            running: AtomicU64::new(0),
            ended: AtomicBool::new(false),
        });
        let accepting = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = accepting.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        Self { id: id.to_owned(), service: service.to_owned(), address, settings, shared }
    }

    /// The record in the platform's store.
    pub fn entry(&self, state: &str) -> Vec<u8> {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": "zone-0",
            "version": "v1", "slots": self.settings.slots, "state": state, "coldLeftMs": 0,
            "callSeq": 0,
        })
        .to_string()
        .into_bytes()
    }
}

impl Shared {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut received = Vec::new();
        while let Some((head, _body)) = read_request(&mut stream, &mut received) {
            if self.answer(&head, &mut stream).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, stream: &mut TcpStream) -> std::io::Result<()> {
        let path = head.line.split(' ').nth(1).unwrap_or_default();
        if path == "/health" {
            return write!(
                stream,
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
        }
        if path == "/kv-move" {
            // It keeps no such run.
            return stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        }
        let Some(id) = head.header("attempt-id") else {
            return stream.write_all(
                b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            );
        };
        if head.header("expect-instance").is_some_and(|expected| expected != self.id) {
            return self.reject(stream, "421 Misdirected Request", id);
        }
        let deadline_ms = head.header("deadline-ms").and_then(|value| value.parse::<f64>().ok());
        let deadline =
            Instant::now() + Duration::from_millis(deadline_ms.unwrap_or(60_000.0) as u64);
        if !self.take_place(deadline) {
            self.record.note(&format!("rejected id={id} server={} 503", self.id));
            return self.reject(stream, "503 Service Unavailable", id);
        }
        *self.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        let (prompt, most) = head
            .header("token-count")
            .and_then(|value| value.split_once(','))
            .map_or((0, 0), |(prompt, most)| {
                (prompt.parse().unwrap_or(0), most.parse().unwrap_or(0))
            });
        self.tokens.fetch_add(prompt, Ordering::Relaxed);
        self.running.fetch_add(1, Ordering::Relaxed);
        let (result, made) = match path.starts_with("/ask/") {
            true => self.run_whole(id, (prompt, most), stream),
            false => self.run(id, (prompt, most), deadline, stream),
        };
        self.tokens.fetch_add(made, Ordering::Relaxed);
        self.running.fetch_sub(1, Ordering::Relaxed);
        let end = if result.is_ok() { "ended" } else { "closed" };
        self.record
            .note(&format!("run id={id} server={} prompt={prompt} made={made} {end}", self.id));
        self.places.lock().unwrap().0 -= 1;
        self.freed.notify_one();
        result
    }

    /// Runs a request: returns the tokens that it has made.
    fn run(
        &self,
        id: &str,
        (prompt, most): (u64, u64),
        deadline: Instant,
        stream: &mut TcpStream,
    ) -> (std::io::Result<()>, u64) {
        let number = self.seals.fetch_add(1, Ordering::Relaxed);
        // Most answers are much shorter than the most that they may have.
        let events = (self.settings.events + number % 5).min(most / self.settings.stride);
        let mut made = 0;
        if let Some(read_per_ms) = self.settings.read_per_ms {
            let _reading = self.reading.lock().unwrap();
            if closed(stream) {
                return (Err(std::io::ErrorKind::BrokenPipe.into()), made);
            }
            std::thread::sleep(Duration::from_secs_f64(prompt as f64 / read_per_ms / 1_000.0));
        }
        std::thread::sleep(self.settings.step);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: {}.{number}\r\nServer-Load: {}\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nKeep-Alive: timeout=30\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id,
            self.load()
        );
        if closed(stream) {
            return (Err(std::io::ErrorKind::BrokenPipe.into()), made);
        }
        if let Err(error) = stream.write_all(head.as_bytes()) {
            return (Err(error), made);
        }
        for event in 1..=events {
            if event > 1 {
                std::thread::sleep(self.settings.step);
            }
            if closed(stream) || Instant::now() >= deadline {
                return (Err(std::io::ErrorKind::BrokenPipe.into()), made);
            }
            made += self.settings.stride;
            let text = format!("id: {event}\ndata: {id} {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if let Err(error) = stream.write_all(chunk.as_bytes()) {
                return (Err(error), made);
            }
        }
        (stream.write_all(b"0\r\n\r\n"), made)
    }

    /// Runs a request whose answer is no stream: returns the tokens that it has made.
    fn run_whole(
        &self,
        id: &str,
        (_, most): (u64, u64),
        stream: &mut TcpStream,
    ) -> (std::io::Result<()>, u64) {
        let number = self.seals.fetch_add(1, Ordering::Relaxed);
        let made = (self.settings.events + number % 5).min(most / self.settings.stride)
            * self.settings.stride;
        std::thread::sleep(self.settings.step * (made / self.settings.stride) as u32);
        if closed(stream) {
            return (Err(std::io::ErrorKind::BrokenPipe.into()), made);
        }
        let body = "token ".repeat(made as usize);
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: {}.{number}\r\nServer-Load: {}\r\nWeight-Versions: 1\r\nKeep-Alive: timeout=30\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            self.load(),
            body.len()
        );
        (stream.write_all(head.as_bytes()), made)
    }

    fn reject(&self, stream: &mut TcpStream, status: &str, id: &str) -> std::io::Result<()> {
        write!(
            stream,
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nServer-Load: {}\r\nContent-Length: 0\r\n\r\n",
            self.load()
        )
    }

    fn load(&self) -> String {
        let (running, waiting) = *self.places.lock().unwrap();
        format!("{running},{waiting},{}", self.settings.slots)
    }

    fn take_place(&self, deadline: Instant) -> bool {
        let mut places = self.places.lock().unwrap();
        if places.0 < self.settings.slots && places.1 == 0 {
            places.0 += 1;
            return true;
        }
        if places.1 >= self.settings.queue {
            return false;
        }
        places.1 += 1;
        loop {
            let (next, _) = self.freed.wait_timeout(places, Duration::from_millis(5)).unwrap();
            places = next;
            if Instant::now() >= deadline {
                places.1 -= 1;
                return false;
            }
            if places.0 < self.settings.slots {
                places.1 -= 1;
                places.0 += 1;
                return true;
            }
        }
    }
}

/// Whether the caller has closed the connection.
fn closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0; 1];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
