//! How fast the events of an answer come.

use std::time::{Duration, Instant};

/// When the events of one answer came.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    since: Instant,
    first_event: Option<Duration>,
    last_event: Instant,
    longest_gap: Duration,
}

impl Pace {
    /// A request that was admitted just now.
    pub fn new() -> Self {
        let now = Instant::now();
        Self { since: now, first_event: None, last_event: now, longest_gap: Duration::ZERO }
    }

    /// Notes that events came.
    pub fn note_events(&mut self) {
        let now = Instant::now();
        let gap = now.duration_since(self.last_event);
        self.last_event = now;
        if self.first_event.is_none() {
            self.first_event = Some(now.duration_since(self.since));
            return;
        }
        self.longest_gap = self.longest_gap.max(gap);
    }

    /// From the request's admission to the first event; 0 if none came.
    pub fn first_event_ms(&self) -> u128 {
        self.first_event.unwrap_or_default().as_millis()
    }

    /// The longest time between two events.
    pub fn longest_gap_ms(&self) -> u128 {
        self.longest_gap.as_millis()
    }
}
