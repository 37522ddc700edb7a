//! Determines how much of a budget is kept in reserve: tokens that no router may draw yet, so that a restore of the
//! store from a backup cannot lose the record of draws of them.

use super::account;
use crate::{ids, ledger};

/// The greatest age of a backup of the store when it is restored, unless the settings set another one.
pub const DEFAULT_BACKUP_AGE_MS: u64 = 30_000;
/// A holder is idle after it has spent nothing for this long.
const IDLE_MS: u64 = 5_000;
/// At least one part in this many of the undrawn tokens stays outside of the reserve.
const DRAWABLE_DIVISOR: u64 = 4;
/// The tokens that are spent in this many times the age of a backup stay outside of the reserve at least. A router
/// raises no reserve before it has had the budget for that long.
const DRAWABLE_BACKUP_AGES: u64 = 4;
/// A reserve or a change of it by less than one part in this many of the undrawn tokens doesn't justify a write.
const MIN_CHANGE_DIVISOR: u64 = 4;

/// What one router read about one budget in the ledger, the stored record of all budgets: the tokens that no router has
/// taken, and how much other routers use the budget. The router computes from it the [`ledger::Reserve`], the part of
/// these tokens that no router may take yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct UndrawnSnapshot {
    /// The tokens that are neither drawn, that is, in a router's grant, nor withheld ([`ledger::Withheld`]).
    pub tokens: u64,
    /// The part of them that may not be drawn yet.
    pub reserve: ledger::Reserve,
    /// The spend rate that the other holders last reported.
    pub others_rate_tokens_per_s: u64,
    /// Whether all other holders last reported that they are idle.
    pub others_idle: bool,
    /// Whether this router's grant is marked as idle in the ledger or does not exist.
    pub grant_is_idle: bool,
}

impl UndrawnSnapshot {
    /// Takes the figures from the budget's state in the ledger; `holder` is this router.
    pub fn new(budget: &ledger::Budget, holder: ids::Incarnation) -> Self {
        let grant = budget.grants.get(&holder);
        Self {
            tokens: budget.undrawn_tokens(),
            reserve: budget.reserve,
            others_rate_tokens_per_s: budget.others_rate_tokens_per_s(holder),
            others_idle: budget.others_idle(holder),
            grant_is_idle: grant.is_none_or(|grant| grant.idle),
        }
    }

    /// The reserve for a spend rate; 0 if it is too small to justify a write. It leaves out the tokens that are spent
    /// before a lower reserve can come into effect.
    fn target_reserve_tokens(&self, rate_tokens_per_s: u64, backup_age_ms: u64) -> u64 {
        let spent_tokens = rate_tokens_per_s.saturating_mul(backup_age_ms) / 1_000;
        let drawable_tokens = self
            .tokens
            .div_ceil(DRAWABLE_DIVISOR)
            .max(spent_tokens.saturating_mul(DRAWABLE_BACKUP_AGES));
        let reserve_tokens = self.tokens.saturating_sub(drawable_tokens);
        if reserve_tokens < self.tokens / MIN_CHANGE_DIVISOR { 0 } else { reserve_tokens }
    }
}

impl account::Account {
    /// Whether the budget has a reserve, and a request for `tokens` can be covered once the reserve may be drawn.
    pub fn is_covered_by_reserve(&self, tokens: u64) -> bool {
        let later_tokens = self.free_or_locked_tokens().saturating_add(self.undrawn.tokens);
        self.undrawn.reserve.tokens > 0 && later_tokens >= tokens
    }

    /// Whether this router has had the budget for long enough to estimate its use.
    fn has_usage_history(&self) -> bool {
        self.measured_ms >= self.declared_ms + self.backup_age_ms * DRAWABLE_BACKUP_AGES
    }

    /// Whether the budget has not been spent here, or drawn from by any router, for a while.
    pub fn idle(&self) -> bool {
        let unmeasured = self.spent_tokens() > self.measured_tokens;
        let in_use = unmeasured || self.reserved_tokens > 0 || self.shortage_tokens > 0;
        !in_use && self.measured_ms >= self.last_use_ms + IDLE_MS
    }

    /// The higher reserve for the present spend rate; `None` if the rate is not known well enough or the present
    /// reserve is not much lower.
    pub fn higher_reserve_tokens(&self) -> Option<u64> {
        let idle = self.idle() && self.undrawn.others_idle;
        let steady = self.rate_tokens_per_s() > 0
            && self.measured_ms >= self.spending_since_ms + self.backup_age_ms;
        let reserve_target_tokens = Some(self.target_reserve_tokens())
            .filter(|_| self.has_usage_history() && (idle || steady));
        reserve_target_tokens
            .filter(|tokens| self.is_significant_change(*tokens, self.undrawn.reserve.tokens))
    }

    /// The lower reserve for the present spend rate; `None` if the change doesn't justify a write or a lower reserve is
    /// already pending.
    pub fn lower_reserve_tokens(&self) -> Option<u64> {
        let reserve_target_tokens = self.target_reserve_tokens();
        let significant =
            self.is_significant_change(self.undrawn.reserve.tokens, reserve_target_tokens);
        (significant && self.undrawn.reserve.next.is_none()).then_some(reserve_target_tokens)
    }

    fn target_reserve_tokens(&self) -> u64 {
        // A pause may be short, so the peak rate is used.
        let own_rate = self.peak_milli_tokens_per_s.div_ceil(1_000);
        let rate = own_rate.saturating_add(self.undrawn.others_rate_tokens_per_s);
        self.undrawn.target_reserve_tokens(rate, self.backup_age_ms)
    }

    /// Whether a write should raise the reserve, or report this holder as idle so that the last holder to become idle
    /// can raise it.
    pub fn should_raise_reserve(&self) -> bool {
        let reserve_target_tokens = self.target_reserve_tokens();
        let should_report_idle = self.has_usage_history()
            && self.idle()
            && !self.undrawn.grant_is_idle
            && self.is_significant_change(reserve_target_tokens, self.undrawn.reserve.tokens);
        self.holder && (should_report_idle || self.higher_reserve_tokens().is_some())
    }

    /// Whether a reserve is so much higher than another one that a write is justified.
    fn is_significant_change(&self, higher_tokens: u64, lower_tokens: u64) -> bool {
        higher_tokens > lower_tokens.saturating_add(self.undrawn.tokens / MIN_CHANGE_DIVISOR)
    }
}
