//! A client that asks one router, again and again, for a route that only the newest configuration has.

use crate::{fleet, observe};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The time between two questions.
const ASK_EVERY: Duration = Duration::from_millis(50);
/// An answer that takes longer counts as none.
const ANSWER_MAX: Duration = Duration::from_millis(1_500);

/// What the probers and the run share.
#[derive(Debug)]
pub struct Shared {
    record: Mutex<observe::Record>,
    ended: AtomicBool,
}

impl Shared {
    /// For a run that begins.
    pub fn new(record: observe::Record) -> Arc<Self> {
        Arc::new(Self { record: Mutex::new(record), ended: AtomicBool::new(false) })
    }

    /// The record.
    pub fn record(&self) -> MutexGuard<'_, observe::Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the probers.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Starts the prober of a router.
pub fn start(router: usize, address: SocketAddr, shared: Arc<Shared>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut asked = 0;
        while !shared.ended.load(Ordering::Relaxed) {
            let version = shared.record().newest();
            let sent = Instant::now();
            asked += 1;
            let answer = ask(address, version, &format!("{router}-{asked}")).ok();
            let (status, life) = answer.map_or((None, None), |(status, life)| (Some(status), life));
            shared.record().take(observe::Answer { router, version, sent, status, life });
            thread::sleep(ASK_EVERY.saturating_sub(sent.elapsed()));
        }
    })
}

/// The status of one answer, and the life of a server that its body names.
fn ask(address: SocketAddr, version: u64, id: &str) -> io::Result<(u16, Option<usize>)> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_MAX)?;
    stream.set_read_timeout(Some(ANSWER_MAX))?;
    let request = format!(
        "GET {}x HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1000\r\n\
         Connection: close\r\n\r\n",
        fleet::added_path(version),
        fleet::HOST,
    );
    stream.write_all(request.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
    let life = answer.rsplit("\r\n").next().and_then(|body| body.parse().ok());
    status.map(|status| (status, life)).ok_or_else(|| io::ErrorKind::InvalidData.into())
}
