//! How fast a holder fills up again after an outage of the store.
//!
//! After an outage a holder has nothing in hand. Filled up at once, all of that is lost if the holders die soon
//! after, and outages that all routers share are often followed by more trouble. So what it may have in hand grows
//! from a second of spending, by a second each second.

/// A holder that heard nothing of the ledger for so long and ran low meanwhile went through an outage.
const OUTAGE_MS: u64 = 3_000;
/// What a holder may have in hand at once after an outage, in milliseconds of its spending.
const FIRST_MS: u64 = 1_000;

/// A holder's way back from an outage.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refill {
    read_ms: Option<u64>,
    since_ms: Option<u64>,
}

impl Refill {
    /// Notes that the ledger was read; `low` tells that the holder has little in hand.
    pub fn note_read(&mut self, low: bool, now_ms: u64) {
        let silent = self.read_ms.is_some_and(|at_ms| now_ms > at_ms + OUTAGE_MS);
        if silent && low {
            self.since_ms = Some(now_ms);
        }
        self.read_ms = Some(now_ms);
    }

    /// The most spending that may be in hand, in milliseconds; `None` where nothing limits it.
    pub fn most_ms(&self, now_ms: u64) -> Option<u64> {
        self.since_ms.map(|since_ms| FIRST_MS + now_ms.saturating_sub(since_ms))
    }
}
