//! The times between the events of an answer.

use std::time::{Duration, Instant};

/// The time to the first event of one answer, and the longest time between two events.
#[derive(Clone, Copy, Debug)]
pub struct EventGaps {
    admitted: Instant,
    first_event: Option<Duration>,
    last_event: Instant,
    longest_gap: Duration,
}

impl EventGaps {
    /// Starts the measurement for a request that has just been admitted.
    pub fn new() -> Self {
        let now = Instant::now();
        Self { admitted: now, first_event: None, last_event: now, longest_gap: Duration::ZERO }
    }

    /// Records that one or more events have arrived.
    pub fn record_events(&mut self) {
        let now = Instant::now();
        let gap = now.duration_since(self.last_event);
        self.last_event = now;
        if self.first_event.is_none() {
            self.first_event = Some(now.duration_since(self.admitted));
            return;
        }
        self.longest_gap = self.longest_gap.max(gap);
    }

    /// Milliseconds from the admission of the request to its first event; 0 if there was none.
    pub fn first_event_ms(&self) -> u128 {
        self.first_event.unwrap_or_default().as_millis()
    }

    /// The longest time between two events, in milliseconds.
    pub fn longest_gap_ms(&self) -> u128 {
        self.longest_gap.as_millis()
    }
}
