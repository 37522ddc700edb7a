//! Token buckets that keep a router within its share of the platform's rates.

/// One call in the unit of the bucket's level: millionths of a call, so that slow rates stay exact.
const CALL_MICRO: u64 = 1_000_000;

/// A token bucket that limits how often a router makes calls of one kind, such as reads of the platform's store or
/// requests to a server that has just started. Its tokens are calls, not the prepaid tokens of a budget.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiter {
    rate_milli_per_s: u64,
    burst: u64,
    level_micro: u64,
    updated_ms: u64,
}

impl RateLimiter {
    /// Creates a full bucket that refills at `rate_per_s` calls per second and holds `burst` calls.
    pub fn new(rate_per_s: u64, burst: u64, now_ms: u64) -> Self {
        Self::with_milli_rate(rate_per_s.max(1).saturating_mul(1_000), burst, now_ms)
    }

    /// Creates a full bucket with a rate in thousandths of a call per second.
    pub fn with_milli_rate(rate_milli_per_s: u64, burst: u64, now_ms: u64) -> Self {
        let burst = burst.max(1);
        let level_micro = burst.saturating_mul(CALL_MICRO);
        Self { rate_milli_per_s, burst, level_micro, updated_ms: now_ms }
    }

    /// Changes the rate, for example when the number of routers that share the platform's rate
    /// changes.
    pub fn set_rate(&mut self, rate_per_s: u64) {
        self.rate_milli_per_s = rate_per_s.max(1).saturating_mul(1_000);
    }

    /// Whether the bucket holds at least one call.
    pub fn has_one(mut self, now_ms: u64) -> bool {
        self.try_take(now_ms)
    }

    /// Takes one call from the bucket; returns whether there was one.
    pub fn try_take(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        let refill_micro = elapsed_ms.saturating_mul(self.rate_milli_per_s);
        let refilled = self.level_micro.saturating_add(refill_micro);
        self.level_micro = refilled.min(self.burst.saturating_mul(CALL_MICRO));
        let Some(left) = self.level_micro.checked_sub(CALL_MICRO) else { return false };
        self.level_micro = left;
        true
    }
}
