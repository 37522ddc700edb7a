//! Token buckets that keep a router within its share of the platform's rates.

/// A token bucket, counted in thousandths of a call so that slow rates stay exact.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    rate_per_s: u64,
    burst: u64,
    level_milli: u64,
    updated_ms: u64,
}

impl Limiter {
    /// A full bucket that refills at `rate_per_s` and holds `burst` calls.
    pub fn new(rate_per_s: u64, burst: u64, now_ms: u64) -> Self {
        let (rate_per_s, burst) = (rate_per_s.max(1), burst.max(1));
        Self { rate_per_s, burst, level_milli: burst * 1000, updated_ms: now_ms }
    }

    /// Changes the rate, as when the number of routers that share the platform's rate changes.
    pub fn set_rate(&mut self, rate_per_s: u64) {
        self.rate_per_s = rate_per_s.max(1);
    }

    /// Whether there is a call in the bucket.
    pub fn has_one(mut self, now_ms: u64) -> bool {
        self.try_take(now_ms)
    }

    /// Takes one call out of the bucket, if there is one.
    pub fn try_take(&mut self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        let refilled = self.level_milli.saturating_add(elapsed_ms.saturating_mul(self.rate_per_s));
        self.level_milli = refilled.min(self.burst * 1000);
        let Some(left) = self.level_milli.checked_sub(1000) else { return false };
        self.level_milli = left;
        true
    }
}
