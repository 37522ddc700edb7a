//! Limits how fast the last part of a budget is spent after crashes of routers lost a part of it.
//!
//! Without a limit, a budget serves every request until its last token and none from then on, and a few large requests
//! take the tokens of many small ones. A budget from which crashes took tokens would end early. With `loss_spread_s`
//! its last part is spent ever more slowly instead, and most of it on requests of at most the median size. A budget
//! that lost nothing is not limited: nobody is refused tokens that were paid for and are there.

use super::account;

/// Losses of at most one part in this many of the paid tokens change nothing.
const TOLERATED_LOSS_DIVISOR: u64 = 33;
/// One part in this many of the rate is for requests of any size.
const ANY_SIZE_DIVISOR: u64 = 8;
/// The most that is saved up while little is spent, in milliseconds of the rate.
const SAVED_MS: u64 = 1_000;
/// Each request moves the estimate of the median size by one part in this many.
const MEDIAN_STEP_DIVISOR: u64 = 32;
/// Tokens are counted in thousandths, because few become available between two calls.
const MILLI: u64 = 1_000;

/// Tokens that become available at a rate. A request may take more than there are, as long as there are some; the next
/// one then waits until the debt is paid off.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    milli_tokens: i64,
}

impl Bucket {
    /// Adds tokens up to a maximum, and returns those above it.
    fn add(&mut self, milli_tokens: u64, max_milli_tokens: u64) -> u64 {
        let total = self.milli_tokens.saturating_add_unsigned(milli_tokens);
        let max = i64::try_from(max_milli_tokens).unwrap_or(i64::MAX);
        self.milli_tokens = total.min(max);
        total.saturating_sub(max).try_into().unwrap_or(0)
    }

    fn take(&mut self, tokens: u64) {
        self.milli_tokens = self.milli_tokens.saturating_sub_unsigned(tokens.saturating_mul(MILLI));
    }

    fn is_available(&self) -> bool {
        self.milli_tokens > 0
    }

    fn available_tokens(&self) -> u64 {
        u64::try_from(self.milli_tokens).unwrap_or(0) / MILLI
    }
}

/// The limit on how fast one router spends its part of a budget. It consists of the tokens that requests may take now,
/// and the median size of the requests, by which they are told apart. The average would not do: a few large requests raise
/// it, and what then counts as small takes the tokens of several smaller ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    any_size: Bucket,
    small: Bucket,
    median_milli_tokens: u64,
    started: bool,
}

impl Throttle {
    /// Records the size of a request, whether it is served or not.
    pub fn record_request(&mut self, tokens: u64) {
        let milli_tokens = tokens.saturating_mul(MILLI);
        let step = self.median_milli_tokens / MEDIAN_STEP_DIVISOR + 1;
        self.median_milli_tokens = match self.median_milli_tokens {
            0 => milli_tokens,
            median if milli_tokens > median => median.saturating_add(step),
            median if milli_tokens < median => median - step.min(median - 1),
            median => median,
        };
    }

    /// Makes tokens available for the time since the last call, at a rate at which `left_tokens` last for `lasting_ms`.
    /// The first call makes all available that may be saved up.
    fn refill(&mut self, left_tokens: u64, lasting_ms: u64, elapsed_ms: u64) {
        let spent_milli_tokens = |time_ms: u64| {
            let milli_tokens = u128::from(left_tokens) * u128::from(MILLI) * u128::from(time_ms);
            u64::try_from(milli_tokens / u128::from(lasting_ms.max(1))).unwrap_or(u64::MAX)
        };
        let max = spent_milli_tokens(SAVED_MS);
        if !std::mem::replace(&mut self.started, true) {
            self.small.add(max, max);
            self.any_size.add(max, max);
            return;
        }
        let added = spent_milli_tokens(elapsed_ms);
        let for_any_size = added / ANY_SIZE_DIVISOR;
        let unused = self.small.add(added - for_any_size, max);
        self.any_size.add(for_any_size.saturating_add(unused), max);
    }

    /// Ends the limit until the next call of [`Throttle::refill`].
    fn reset(&mut self) {
        *self = Self { median_milli_tokens: self.median_milli_tokens, ..Self::default() };
    }

    /// Whether a request may be served now.
    fn admits(&self, tokens: u64) -> bool {
        self.any_size.is_available() || self.is_small(tokens) && self.small.is_available()
    }

    fn take(&mut self, tokens: u64) {
        match self.is_small(tokens) && self.small.is_available() {
            true => self.small.take(tokens),
            false => self.any_size.take(tokens),
        }
    }

    fn is_small(&self, tokens: u64) -> bool {
        tokens.saturating_mul(MILLI) <= self.median_milli_tokens
    }
}

impl account::Account {
    /// Whether this router must limit how fast it spends: it takes tokens from the ledger, where some were lost and some
    /// are left.
    fn is_limitable(&self) -> bool {
        let draws = self.holder || self.draws_on_demand;
        draws && self.lasting_ms() > 0 && self.unspent_tokens() > 0
    }

    /// Whether the limit is in effect: it starts with the first call of [`Self::refill_throttle`].
    fn is_throttled(&self) -> bool {
        self.throttle.started && self.is_limitable()
    }

    /// Whether a request must be refused because the last part of the budget is spread over time.
    pub fn is_refused_by_throttle(&self, tokens: u64) -> bool {
        tokens > 0 && self.is_throttled() && !self.throttle.admits(tokens)
    }

    /// Records that a request takes tokens from this router's part of the budget.
    pub(super) fn record_taken(&mut self, tokens: u64) {
        if self.is_throttled() {
            self.throttle.take(tokens);
        }
    }

    /// The time for which the tokens that are left must last: 0 if none were lost, otherwise
    /// `loss_spread_s * lost / (lost + left)`, which grows to `loss_spread_s` as the budget ends.
    fn lasting_ms(&self) -> u64 {
        if self.written_off_tokens <= self.paid_tokens / TOLERATED_LOSS_DIVISOR {
            return 0;
        }
        let lost = u128::from(self.written_off_tokens);
        let left = u128::from(self.unspent_tokens());
        let spread_ms = u128::from(self.settings.loss_spread_s) * 1_000;
        u64::try_from(spread_ms * lost / (lost + left).max(1)).unwrap_or(u64::MAX)
    }

    /// Makes tokens available to requests for the time since the last call.
    pub(super) fn refill_throttle(&mut self, elapsed_ms: u64) {
        if self.is_limitable() {
            let own_part_tokens = self.unspent_tokens() / self.drawing_routers.max(1);
            self.throttle.refill(own_part_tokens, self.lasting_ms(), elapsed_ms);
        } else {
            self.throttle.reset();
        }
    }

    /// Takes tokens from this router's part of the budget for another router, which needs some now and wants more in
    /// advance. Returns how many.
    pub(crate) fn take_for_transfer(
        &mut self,
        needed_tokens: u64,
        wanted_tokens: u64,
        now_ms: u64,
    ) -> u64 {
        self.record_taken(needed_tokens);
        let mut extra_tokens = wanted_tokens
            .saturating_sub(needed_tokens)
            .min(self.unneeded_tokens(now_ms).saturating_sub(needed_tokens));
        if self.is_throttled() {
            extra_tokens = extra_tokens.min(self.throttle.any_size.available_tokens());
            self.throttle.any_size.take(extra_tokens);
        }
        needed_tokens + extra_tokens
    }
}
