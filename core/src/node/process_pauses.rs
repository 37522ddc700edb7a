//! Detects pauses of this process, to correct the ages in messages that were queued meanwhile.

use super::Node;

/// A gap of at least this between two ticks counts as a pause of the process.
const PAUSE_MIN_MS: u64 = 200;
/// Messages read within this time after a pause may have been queued during it.
const BACKLOG_DRAIN_MS: u64 = 200;

/// Time of the last tick, and the last pause.
#[derive(Debug, Default)]
pub(super) struct PauseDetector {
    last_tick_ms: u64,
    /// Start and end of the last pause.
    last_pause_ms: Option<(u64, u64)>,
}

impl PauseDetector {
    /// Creates the state of a process that starts at `now_ms`.
    pub(super) fn new(now_ms: u64) -> Self {
        Self { last_tick_ms: now_ms, last_pause_ms: None }
    }

    /// Records a tick, and the pause that it ends, if any.
    fn tick(&mut self, now_ms: u64) {
        if now_ms >= self.last_tick_ms + PAUSE_MIN_MS {
            self.last_pause_ms = Some((self.last_tick_ms, now_ms));
        }
        self.last_tick_ms = now_ms;
    }

    /// Upper bound, in milliseconds, on the time a message read now was queued because of a pause.
    fn max_queued_ms(&self, now_ms: u64) -> u64 {
        let tick_delayed = now_ms >= self.last_tick_ms + PAUSE_MIN_MS;
        let started_ms = match self.last_pause_ms {
            _ if tick_delayed => self.last_tick_ms,
            Some((started_ms, ended_ms)) if now_ms < ended_ms + BACKLOG_DRAIN_MS => started_ms,
            _ => now_ms,
        };
        now_ms.saturating_sub(started_ms)
    }
}

impl Node {
    pub(super) fn tick_process_pauses(&mut self, now_ms: u64) {
        self.pauses.tick(now_ms);
    }

    /// Upper bound, in milliseconds, on the time a message read now was queued; `None` without a recent pause.
    pub(super) fn max_queued_ms(&self, now_ms: u64) -> Option<u64> {
        Some(self.pauses.max_queued_ms(now_ms)).filter(|queued_ms| *queued_ms > 0)
    }
}
