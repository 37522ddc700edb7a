//! Exponential backoff with full jitter, so that routers do not return in step after an outage.

use rand::RngExt;
use rand::rngs;

/// Delays that double up to a limit, each drawn at random below its bound.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base_ms: u64,
    limit_ms: u64,
    failures: u32,
}

impl Backoff {
    /// A backoff whose first delay is below `base_ms` and whose longest is below `limit_ms`.
    pub fn new(base_ms: u64, limit_ms: u64) -> Self {
        Self { base_ms: base_ms.max(1), limit_ms: limit_ms.max(1), failures: 0 }
    }

    /// The next delay, in milliseconds; each call counts as one more failure.
    pub fn next_delay_ms(&mut self, rng: &mut rngs::StdRng) -> u64 {
        let doubled = self.base_ms.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        rng.random_range(0..=doubled.min(self.limit_ms))
    }

    /// Changes the limit.
    pub fn set_limit_ms(&mut self, limit_ms: u64) {
        self.limit_ms = limit_ms.max(1);
    }

    /// Forgets earlier failures.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// How many failures came since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
