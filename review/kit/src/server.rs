//! A server of a service without streams, as the pages describe it: it works on `slots` requests at a time, queues a
//! few more, and rejects the rest with `Not-Executed`.

use crate::{Head, Record, head_end};
use serde_json::json;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub slots: usize,
    pub queue: usize,
    pub work: Duration,
    /// The bytes of an answer, beyond a line that names the request.
    pub answer_bytes: usize,
}

/// The part of its answers for which a server hands out a second, late one while it is `on`.
#[derive(Clone, Copy, Debug)]
pub struct Surplus {
    pub share: f64,
}

pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

pub struct Shared {
    id: String,
    settings: Settings,
    record: Record,
    places: Mutex<Places>,
    freed: Condvar,
    seals: AtomicU64,
    /// Answers since the surplus ones began, and surplus ones.
    pub answers: AtomicU64,
    pub surplus: AtomicU64,
    pub surplus_on: AtomicBool,
    surplus_share: f64,
    /// How often each request has run here.
    pub runs: Mutex<HashMap<String, u64>>,
    pub ended: AtomicBool,
}

#[derive(Default)]
struct Places {
    running: usize,
    waiting: usize,
}

enum Place {
    Runs,
    Full,
    TooLate,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        settings: Settings,
        surplus: Option<Surplus>,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            settings,
            record: record.clone(),
            places: Mutex::default(),
            freed: Condvar::new(),
            seals: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            surplus: AtomicU64::new(0),
            surplus_on: AtomicBool::new(false),
            surplus_share: surplus.map_or(0.0, |surplus| surplus.share),
            runs: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        let accepting = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::Relaxed) {
                    return;
                }
                let shared = accepting.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        Self { id: id.to_owned(), service: service.to_owned(), address, shared }
    }

    /// The record in the platform's store.
    pub fn entry(&self, state: &str) -> Vec<u8> {
        json!({
            "service": self.service, "address": self.address.to_string(), "zone": "zone-0",
            "version": "v1", "slots": self.shared.settings.slots, "state": state, "coldLeftMs": 0,
            "callSeq": 0,
        })
        .to_string()
        .into_bytes()
    }

    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }
}

impl Shared {
    /// Serves one connection: one request at a time.
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let connection = stream.peer_addr().map_or(0, |address| address.port());
        let mut received = Vec::new();
        // An answer whose second copy comes in the place where the next answer is due.
        let mut late: Option<(String, Vec<u8>)> = None;
        while let Some((head, _body)) = read_request(&mut stream, &mut received) {
            if let Some((earlier, answer)) = late.take() {
                let id = head.header("attempt-id").unwrap_or("-");
                self.record.note(&format!(
                    "surplus server={} connection={connection} second answer to {earlier}, when {id} has come",
                    self.id
                ));
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
            let (answer, rejected_id) = self.answer(&head, connection);
            if stream.write_all(&answer).is_err() {
                return;
            }
            if self.surplus_on.load(Ordering::Relaxed) {
                let answers = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
                let surplus = self.surplus.load(Ordering::Relaxed) + 1;
                if let Some(id) = rejected_id
                    && surplus as f64 <= self.surplus_share * answers as f64
                {
                    self.surplus.fetch_add(1, Ordering::Relaxed);
                    late = Some((id, answer));
                }
            }
        }
    }

    /// Answers a request; also returns the id of a request that was rejected.
    fn answer(&self, head: &Head, connection: u16) -> (Vec<u8>, Option<String>) {
        let path = head.line.split(' ').nth(1).unwrap_or_default();
        if path == "/health" {
            let head =
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
            return (head.into_bytes(), None);
        }
        let Some(id) = head.header("attempt-id").map(str::to_owned) else {
            let answer = "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return (answer.as_bytes().to_vec(), None);
        };
        if head.header("expect-instance").is_some_and(|expected| expected != self.id) {
            self.record.note(&format!("rejected id={id} server={} 421", self.id));
            return (self.rejection("421 Misdirected Request", &id), Some(id));
        }
        let deadline_ms = head.header("deadline-ms").and_then(|value| value.parse::<f64>().ok());
        let deadline = deadline_ms.map(|ms| Instant::now() + Duration::from_millis(ms as u64));
        match self.take_place(deadline) {
            Place::Full => {
                self.record.note(&format!("rejected id={id} server={} 503 full", self.id));
                return (self.rejection("503 Service Unavailable", &id), Some(id));
            }
            Place::TooLate => {
                self.record.note(&format!("rejected id={id} server={} 503 too late", self.id));
                return (self.rejection("503 Service Unavailable", &id), Some(id));
            }
            Place::Runs => {}
        }
        *self.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        self.record.note(&format!("run id={id} server={} connection={connection}", self.id));
        std::thread::sleep(self.settings.work);
        self.leave_place();
        let number = self.seals.fetch_add(1, Ordering::Relaxed);
        let body = format!("done {id}\n{}", "x".repeat(self.settings.answer_bytes));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: {}.{number}\r\nServer-Load: {}\r\nKeep-Alive: timeout=30\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            self.load(),
            body.len()
        );
        (head.into_bytes(), None)
    }

    fn rejection(&self, status: &str, id: &str) -> Vec<u8> {
        format!(
            "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nServer-Load: {}\r\nKeep-Alive: timeout=30\r\nContent-Length: 0\r\n\r\n",
            self.load()
        )
        .into_bytes()
    }

    fn load(&self) -> String {
        let places = self.places.lock().unwrap();
        format!("{},{},{}", places.running, places.waiting, self.settings.slots)
    }

    fn take_place(&self, deadline: Option<Instant>) -> Place {
        let mut places = self.places.lock().unwrap();
        if places.running < self.settings.slots && places.waiting == 0 {
            places.running += 1;
            return Place::Runs;
        }
        if places.waiting >= self.settings.queue {
            return Place::Full;
        }
        places.waiting += 1;
        loop {
            let (next, _) = self.freed.wait_timeout(places, Duration::from_millis(5)).unwrap();
            places = next;
            if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
                places.waiting -= 1;
                return Place::TooLate;
            }
            if places.running < self.settings.slots {
                places.waiting -= 1;
                places.running += 1;
                return Place::Runs;
            }
        }
    }

    fn leave_place(&self) {
        self.places.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }
}

/// Reads one request; `None` when the connection has ended.
pub fn read_request(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<(Head, Vec<u8>)> {
    let mut chunk = [0; 8192];
    loop {
        if let Some(end) = head_end(received) {
            let head = Head::parse(&received[..end]);
            let length = head.length().unwrap_or(0);
            if received.len() >= end + length {
                let body = received[end..end + length].to_vec();
                received.drain(..end + length);
                return Some((head, body));
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(length) => received.extend_from_slice(&chunk[..length]),
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}
