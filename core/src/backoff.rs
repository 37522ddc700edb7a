//! Exponential backoff with full jitter, so that routers do not retry in step after an outage.

use rand::RngExt;
use rand::rngs;

/// The delays before the retries of one kind of call after failures. The upper bound of the delay doubles with each
/// failure up to a limit, and each delay is random below its bound.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    base_ms: u64,
    limit_ms: u64,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose first delay is at most `base_ms` and whose longest is at most
    /// `limit_ms`.
    pub fn new(base_ms: u64, limit_ms: u64) -> Self {
        Self { base_ms: base_ms.max(1), limit_ms: limit_ms.max(1), failures: 0 }
    }

    /// Returns the next delay in milliseconds; each call counts as one more failure.
    pub fn next_delay_ms(&mut self, rng: &mut rngs::StdRng) -> u64 {
        let doubled = self.base_ms.saturating_mul(1 << self.failures.min(16));
        self.failures = self.failures.saturating_add(1);
        rng.random_range(0..=doubled.min(self.limit_ms))
    }

    /// Changes the upper bound of all delays.
    pub fn set_limit_ms(&mut self, limit_ms: u64) {
        self.limit_ms = limit_ms.max(1);
    }

    /// Resets the number of failures after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
