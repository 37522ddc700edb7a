//! Measures how late the gateway's thread handles what is due, because other tasks are ready before it or the process does
//! not run. A turn of the thread runs each task that is ready once; what becomes ready in it waits for the next turn.

use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::time;

/// The time between two measurements.
const INTERVAL: Duration = Duration::from_millis(50);

/// The lag of the thread that runs [`Lag::measure`].
#[derive(Debug)]
pub struct Lag {
    /// When the next measurement is due.
    due: Cell<Instant>,
    /// The last measurement, and the one before it.
    last: Cell<Duration>,
    previous: Cell<Duration>,
}

impl Default for Lag {
    fn default() -> Self {
        Self { due: Cell::new(Instant::now()), last: Cell::default(), previous: Cell::default() }
    }
}

impl Lag {
    /// Measures until it is dropped.
    pub async fn measure(&self) {
        loop {
            let due = Instant::now() + INTERVAL;
            self.due.set(due);
            time::sleep_until(due.into()).await;
            self.previous.set(self.last.replace(due.elapsed()));
        }
    }

    /// The longest time for which what is handled now may have waited for its turn.
    pub fn current(&self) -> Duration {
        self.last.get().max(self.due.get().elapsed())
    }

    /// The time that what becomes ready now is likely to wait for its turn. A single pause does not count.
    pub fn sustained(&self) -> Duration {
        self.last.get().min(self.previous.get())
    }
}
