//! A client that repeatedly requests from one router a route that exists only in the newest configuration.

use crate::{fleet, observe};
use doorswitch_standins::wire;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The time between two requests of a prober.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// The time after which a request counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The state that the run shares with its probers and other clients.
#[derive(Debug)]
pub struct Shared {
    observations: Mutex<observe::Observations>,
    ended: AtomicBool,
    /// The number of losses of all routers so far.
    losses: AtomicU64,
}

impl Shared {
    /// Creates the state of a run that begins.
    pub fn new(observations: observe::Observations) -> Arc<Self> {
        Arc::new(Self {
            observations: Mutex::new(observations),
            ended: AtomicBool::new(false),
            losses: AtomicU64::new(0),
        })
    }

    /// Locks and returns the observations of the run.
    pub fn observations(&self) -> MutexGuard<'_, observe::Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the run has ended.
    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Records that all routers have been killed.
    pub fn record_loss(&self) {
        self.losses.fetch_add(1, Ordering::Relaxed);
    }

    /// The number of losses of all routers so far.
    pub fn losses(&self) -> u64 {
        self.losses.load(Ordering::Relaxed)
    }

    /// Stops the probers and the other clients.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Starts the prober of a router.
pub fn start(router: usize, address: SocketAddr, shared: Arc<Shared>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut probes = 0;
        while !shared.ended.load(Ordering::Relaxed) {
            let version = shared.observations().newest_acknowledged();
            let sent = Instant::now();
            probes += 1;
            let answer = {
                let path = format!("{}x", fleet::added_path(version));
                wire::get(
                    address,
                    fleet::HOST,
                    &path,
                    &format!("{router}-{probes}"),
                    ANSWER_TIMEOUT,
                )
                .ok()
            };
            let (status, server_incarnation) = match answer {
                Some(answer) => (Some(answer.status), answer.body.parse().ok()),
                None => (None, None),
            };
            shared.observations().check_answer(observe::Answer {
                router,
                version,
                sent,
                received: Instant::now(),
                status,
                server_incarnation,
            });
            thread::sleep(PROBE_INTERVAL.saturating_sub(sent.elapsed()));
        }
    })
}
