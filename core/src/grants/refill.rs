//! Limits how fast a holder rebuilds its headroom of a budget with `held_percent` after an outage of the store.
//!
//! After an outage a holder has no headroom left. If it were rebuilt at once, all of it would be lost if the holders
//! terminated soon after, and an outage that affects all routers is often followed by further faults. So the headroom
//! is limited to one second of spending at first, and the limit grows by one second each second.

/// A holder that had not read the ledger for longer than this, and is low on tokens when it reads it, is assumed to
/// have been through an outage.
const OUTAGE_MS: u64 = 3_000;
/// The limit of the headroom right after an outage, in milliseconds of spending.
const INITIAL_HEADROOM_MS: u64 = 1_000;

/// Limits how fast one router takes tokens of one budget in advance after an outage, in which it could not read the
/// ledger, the stored record of all budgets. It consists of the times at which the router last read the ledger, and at
/// which it did so for the first time after the last outage.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refill {
    read_ms: Option<u64>,
    refill_started_ms: Option<u64>,
}

impl Refill {
    /// Records that the ledger was read. `low` is set if the holder is low on tokens.
    pub fn record_read(&mut self, low: bool, now_ms: u64) {
        let unreachable = self.read_ms.is_some_and(|at_ms| now_ms > at_ms + OUTAGE_MS);
        if unreachable && low {
            self.refill_started_ms = Some(now_ms);
        }
        self.read_ms = Some(now_ms);
    }

    /// The limit of the headroom in milliseconds of spending. It is `None` until a read finds the holder low on tokens
    /// more than [`OUTAGE_MS`] after the read before it; from the latest such read on, the limit grows without end.
    pub fn headroom_limit_ms(&self, now_ms: u64) -> Option<u64> {
        self.refill_started_ms
            .map(|started_ms| INITIAL_HEADROOM_MS + now_ms.saturating_sub(started_ms))
    }
}
