//! A client that asks one router, again and again, for a route that only the newest configuration has.

use crate::{fleet, observe};
use doorswitch_standins::wire;
use std::net::SocketAddr;
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

    /// Whether the run has ended.
    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
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
            let answer = {
                let path = format!("{}x", fleet::added_path(version));
                wire::get(address, fleet::HOST, &path, &format!("{router}-{asked}"), ANSWER_MAX)
                    .ok()
            };
            let (status, life) = match answer {
                Some(answer) => (Some(answer.status), answer.body.parse().ok()),
                None => (None, None),
            };
            shared.record().take(observe::Answer { router, version, sent, status, life });
            thread::sleep(ASK_EVERY.saturating_sub(sent.elapsed()));
        }
    })
}
