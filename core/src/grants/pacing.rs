//! Bounds how fast a holder spends its grant, as the ledger states it, so that the next process on its machine can show
//! that the rest of the grant is unspent.

use super::account;
use crate::ledger;

/// The bound lets a holder spend all that it has in hand in this part of the cover time, in percent. While it spends as
/// fast as it did when it took the tokens, the bound stays ahead of it.
const COVER_PERCENT: u64 = 80;
/// The tokens that may be spent at once, in milliseconds of the bound on the rate.
const BURST_MS: u64 = 500;
/// The least sum of the burst and the time since spending began, in milliseconds: the rate is underestimated at first.
const FIRST_BURST_MS: u64 = 5_000;
/// The requests of the largest size that had to wait for tokens that may be served at once.
const BURST_REQUESTS: u64 = 2;

/// The bounds on one router's spending from one budget that the ledger may contain.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacing {
    /// Time 0 of the node on the machine's clock; `None` if the machine has no such clock.
    origin_ms: Option<u64>,
    /// The bound in the ledger when it was last read or written; `None` if there is none.
    stored: Option<ledger::Pace>,
    /// The lowest of the bounds in writes of unknown result.
    pending: Option<ledger::Pace>,
}

impl Pacing {
    /// Starts without bounds; `origin_ms` is time 0 of the node on the machine's clock, if it has one.
    pub fn new(origin_ms: Option<u64>) -> Self {
        Self { origin_ms, ..Self::default() }
    }

    /// Applies the bound that the ledger contains. `definite` means that no earlier write can still take effect.
    pub(super) fn apply(&mut self, stored: Option<ledger::Pace>, definite: bool) {
        self.stored = stored;
        if definite {
            self.pending = None;
        }
    }

    /// Records a bound that is about to be written.
    fn record_write(&mut self, pace: ledger::Pace) {
        self.pending = Some(match self.pending {
            None => pace,
            Some(pending) => lower(pending, pace),
        });
    }

    /// The tokens that may have left the grant at a time of the node; `None` if they are not bounded.
    fn limit_tokens(&self, now_ms: u64) -> Option<u64> {
        let at_ms = self.origin_ms?.saturating_add(now_ms);
        let limits = self.stored.iter().chain(&self.pending);
        limits.map(|pace| pace.limit_at(at_ms).unwrap_or(0)).min()
    }
}

/// A bound that is at no time from the later of two on above either of them.
fn lower(earlier: ledger::Pace, later: ledger::Pace) -> ledger::Pace {
    let earlier_limit_tokens = earlier.limit_at(later.at_ms).unwrap_or(0);
    ledger::Pace {
        limit_tokens: later.limit_tokens.min(earlier_limit_tokens),
        tokens_per_s: later.tokens_per_s.min(earlier.tokens_per_s),
        ..later
    }
}

impl account::Account {
    /// The tokens that have left this router, or may for requests that are running.
    fn outgoing_tokens(&self) -> u64 {
        let gone = self.consumed_tokens.saturating_add(self.sent_tokens);
        gone.saturating_add(self.reserved_tokens)
    }

    /// The free tokens that may be spent now: as many as the bound in the ledger allows.
    pub fn spendable_tokens(&self, now_ms: u64) -> u64 {
        let allowed = self.pacing.limit_tokens(now_ms).map(|limit| {
            // Tokens that were received from others are not part of the grant.
            limit.saturating_add(self.received_tokens).saturating_sub(self.outgoing_tokens())
        });
        self.free_tokens().min(allowed.unwrap_or(u64::MAX))
    }

    /// Whether the bound in the ledger keeps free tokens from being spent soon.
    pub fn needs_pace(&self, now_ms: u64) -> bool {
        let wanted_tokens = (self.burst_tokens(self.free_tokens()) / 2).max(self.shortage_tokens);
        self.spendable_tokens(now_ms) < wanted_tokens.min(self.free_tokens())
    }

    /// The bound for the next write in an era of the store, after which `free_tokens` are in hand. `None` if the machine
    /// has no steady clock, or if all routers hold tokens of the budget: they send each other all that they have at once.
    pub fn next_pace(&mut self, free_tokens: u64, era: u64, now_ms: u64) -> Option<ledger::Pace> {
        let origin_ms = self.pacing.origin_ms.filter(|_| self.settings.holders > 0)?;
        let at_ms = origin_ms.saturating_add(now_ms);
        let at_once_tokens =
            self.burst_tokens(free_tokens).saturating_add(self.shortage_tokens).min(free_tokens);
        let used_tokens = self.outgoing_tokens().saturating_sub(self.received_tokens);
        let pace = ledger::Pace {
            era,
            at_ms,
            limit_tokens: used_tokens.saturating_add(at_once_tokens),
            tokens_per_s: self.paced_tokens_per_s(free_tokens),
        };
        self.pacing.record_write(pace);
        Some(pace)
    }

    fn paced_tokens_per_s(&self, free_tokens: u64) -> u64 {
        let cover_ms = self.settings.cover_s.saturating_mul(1_000) / 100 * COVER_PERCENT;
        let in_cover = u128::from(free_tokens) * 1_000 / u128::from(cover_ms.max(1));
        let measured = self.rate_tokens_per_s().saturating_mul(100) / COVER_PERCENT;
        u64::try_from(in_cover).unwrap_or(u64::MAX).max(measured)
    }

    fn burst_tokens(&self, free_tokens: u64) -> u64 {
        let spent_for_ms = self.measured_ms.saturating_sub(self.spending_since_ms);
        let burst_ms = FIRST_BURST_MS.saturating_sub(spent_for_ms).max(BURST_MS);
        let at_rate = self.paced_tokens_per_s(free_tokens).saturating_mul(burst_ms) / 1_000;
        at_rate
            .max(self.needed_tokens.saturating_mul(BURST_REQUESTS))
            .max(self.settings.minimum_grant_tokens)
    }
}
