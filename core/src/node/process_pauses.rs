//! Detects pauses of this process, to correct the ages in messages that were queued meanwhile, and not to take its own
//! pauses for failures of servers.

use super::{Action, Node, Notice};

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

    /// Records a tick; returns the length of the pause that it ends, if any, in milliseconds.
    fn tick(&mut self, now_ms: u64) -> Option<u64> {
        let paused = now_ms >= self.last_tick_ms + PAUSE_MIN_MS;
        let started_ms = std::mem::replace(&mut self.last_tick_ms, now_ms);
        paused.then(|| {
            self.last_pause_ms = Some((started_ms, now_ms));
            now_ms - started_ms
        })
    }

    /// Whether the timer of an attempt that began at `began_ms` may have expired during a pause, while an answer could
    /// not be read.
    fn may_have_expired(&self, began_ms: u64, now_ms: u64) -> bool {
        let tick_delayed = now_ms >= self.last_tick_ms + PAUSE_MIN_MS;
        let in_last_pause =
            |(_, ended_ms): (u64, u64)| began_ms < ended_ms && now_ms < ended_ms + BACKLOG_DRAIN_MS;
        tick_delayed || self.last_pause_ms.is_some_and(in_last_pause)
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
        if let Some(paused_ms) = self.pauses.tick(now_ms) {
            self.actions.push(Action::Notice(Notice::ProcessPaused { paused_ms }));
        }
    }

    /// Whether an attempt that began at `began_ms` and failed now may have failed only because this process was paused.
    pub(super) fn failed_by_pause(&self, began_ms: u64, now_ms: u64) -> bool {
        self.pauses.may_have_expired(began_ms, now_ms)
    }

    /// Upper bound, in milliseconds, on the time a message read now was queued; `None` without a recent pause.
    pub(super) fn max_queued_ms(&self, now_ms: u64) -> Option<u64> {
        Some(self.pauses.max_queued_ms(now_ms)).filter(|queued_ms| *queued_ms > 0)
    }
}
