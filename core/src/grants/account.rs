//! The state of one budget at this router: which tokens are free, and how many to draw or to return.

use super::{pacing, refill, reserve, throttle};
use crate::{config, ids, ledger};

/// Limits of the window over which the spend rate of budgets without `held_percent` is averaged, which is half the
/// cover time. With a shorter window, single requests would make routers draw and return tokens in turn.
const RATE_WINDOW_MIN_MS: u64 = 20_000;
const RATE_WINDOW_MAX_MS: u64 = 600_000;
/// Windows of the spend rate of budgets with `held_percent`, where the headroom of all holders is at most a share of
/// the budget: the usual window, and the shortest one, for the first average.
const SHARE_RATE_WINDOW_MS: u64 = 10_000;
const SHARE_RATE_WINDOW_FIRST_MS: u64 = 3_000;
/// The shortest window for a budget that no other holder has spent from. A first window of 3 s underestimates the rate
/// for 3 s: the headroom is then too small, and requests are refused in an outage that begins soon after the first
/// request. For a budget that was spent from before, a window of 1 s would mistake the backlog of an outage for the
/// rate.
const SHARE_RATE_WINDOW_UNSPENT_MS: u64 = 1_000;
/// Holders keep a smaller share of a budget that lasts for less than this at the present rate: what is left of it would
/// not cover an outage of the length that holders are to bridge. See docs/POLICY.md.
const NEARLY_EXHAUSTED_MS: u64 = 10_000;
/// What crashes have taken from a budget with `held_percent`, and what they would take now, is together at most one part
/// in this many of what was paid.
const AT_RISK_DIVISOR: u64 = 3;
/// Once crashes have taken that much, the holders still keep one part in this many of their share.
const LOSSES_DIVISOR: u64 = 8;
/// The time constant of the peak rate: it decays to about a third in this time.
const PEAK_DECAY_MS: u64 = 600_000;
/// A holder is low on tokens if its free tokens last for less than this at its present rate.
const LOW_HEADROOM_MS: u64 = 2_000;
/// While a budget with `held_percent` is in use, the headroom covers at least this many requests of the largest size
/// that had to wait for tokens, as far as the holder's limit permits: a caller that sent one request soon sends more,
/// and the spend rate is not known yet.
const HEADROOM_REQUESTS: u64 = 8;
/// One part in this many of the share is divided equally among the holders, the rest in proportion to their spend
/// rates.
const EQUAL_SHARE_DIVISOR: u64 = 4;

/// The total number of tokens paid into a prepaid budget, where the operator sets it in the configuration instead of
/// making payments to the ledger, the stored record of all token budgets. A router reads it from the configuration and
/// writes it to the ledger as the budget's paid-in total, which limits how many tokens all routers together may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prepaid {
    /// The total number of tokens paid in.
    pub tokens: u64,
    /// The version of the configuration.
    pub version: u64,
}

/// One router's state of one token budget: its grant (the tokens of the budget that it may spend), the part of them
/// that requests have reserved or consumed, and what the ledger, the stored record of all budgets, contained at the
/// last read. It determines whether tokens can be reserved for a request, and how many the router takes from the ledger
/// or returns to it.
#[derive(Clone, Debug)]
pub struct Account {
    /// The budget's name in the ledger.
    pub name: String,
    /// The operator's settings of how much is drawn in advance.
    pub settings: config::Cover,
    /// This router's grant in the ledger, as last read or written.
    pub granted_tokens: u64,
    /// Whether the ledger contains a grant of this router.
    pub has_grant: bool,
    /// Whether this router has closed its own grant, which returned all its free tokens to the ledger.
    pub closed: bool,
    /// Tokens that are being returned to the ledger, in a write whose result is not known.
    pub returning_tokens: u64,
    /// Granted tokens that may not be spent until other routers have a copy of the grant.
    pub locked_tokens: u64,
    /// Tokens received from other holders.
    pub received_tokens: u64,
    /// Tokens sent to other holders.
    pub sent_tokens: u64,
    /// Tokens consumed by requests that have ended.
    pub consumed_tokens: u64,
    /// Tokens reserved for requests that have not ended.
    pub reserved_tokens: u64,
    /// The largest number of tokens that a waiting request, or a peer's transfer request, needed; reset once nothing is
    /// spent any more.
    pub needed_tokens: u64,
    /// The spent tokens ([`Account::spent_tokens`]) that this router last reported to the ledger.
    pub reported_tokens: u64,
    /// Tokens that waiting requests and transfer requests of peers need in total.
    pub shortage_tokens: u64,
    /// The part of `shortage_tokens` that waiting requests of this router need.
    pub own_shortage_tokens: u64,
    /// The tokens that could be drawn when the ledger was last read.
    pub remaining_tokens: Option<u64>,
    /// The tokens that no router had drawn at the last read, the reserve among them, and the use by other holders.
    pub undrawn: reserve::UndrawnSnapshot,
    /// The tokens withheld at the last read, because a restore of the store may have lost the record of their spending.
    pub withheld: ledger::Withheld,
    /// The greatest age of a backup of the store when it is restored.
    pub backup_age_ms: u64,
    /// The free tokens of all holders together, as of the last read of the ledger.
    pub held_tokens: u64,
    /// The total paid in, as of the last read of the ledger.
    pub paid_tokens: u64,
    /// The tokens that holders with closed grants have spent or lost, as of the last read of the ledger.
    pub closed_spent_tokens: u64,
    /// The part of `closed_spent_tokens` that was written off.
    pub written_off_tokens: u64,
    /// When the ledger was last read; `None` if it never was.
    pub ledger_read_ms: Option<u64>,
    /// The number of grants in the budget at the last read.
    pub grant_count: u64,
    /// The prepaid amount that the configuration sets; `None` if payments in the ledger do.
    pub prepaid: Option<Prepaid>,
    /// Whether more is granted than was paid in, so that all free tokens are returned.
    pub overdrawn: bool,
    /// The configuration version that lowered the prepaid amount; 0 if there is none. Nothing is spent until the ledger
    /// was read with this version.
    pub awaited_config_version: u64,
    /// Whether a restore of the store may have lost this router's grant. Nothing is spent until the ledger contains it
    /// again.
    pub awaits_recovery: bool,
    /// The number of routers that are holders of the budget, as known here.
    pub routers: u64,
    /// The number of routers that draw from the budget as this one does, as known here.
    pub drawing_routers: u64,
    /// Whether this router is a holder: one that keeps headroom of the budget.
    pub holder: bool,
    /// Whether this router draws on demand, for waiting requests, although it is not a holder.
    pub draws_on_demand: bool,
    /// The spend rate of the other holders, as of the last read of the ledger.
    pub others_rate_tokens_per_s: u64,
    rate_milli_tokens_per_s: u64,
    refill: refill::Refill,
    pub(super) pacing: pacing::Pacing,
    pub(crate) throttle: throttle::Throttle,
    pub(super) declared_ms: u64,
    /// The decaying peak of the spend rate, in thousandths of a token per second.
    pub(super) peak_milli_tokens_per_s: u64,
    pub(super) spending_since_ms: u64,
    /// When the budget was last spent or drawn from, as known here.
    pub(super) last_use_ms: u64,
    last_undrawn_tokens: u64,
    pub(super) measured_tokens: u64,
    pub(super) measured_ms: u64,
}

impl Account {
    pub(super) fn new(name: &str, settings: config::Cover, now_ms: u64) -> Self {
        Self {
            name: name.to_owned(),
            settings,
            granted_tokens: 0,
            has_grant: false,
            closed: false,
            returning_tokens: 0,
            locked_tokens: 0,
            received_tokens: 0,
            sent_tokens: 0,
            consumed_tokens: 0,
            reserved_tokens: 0,
            needed_tokens: 0,
            reported_tokens: 0,
            shortage_tokens: 0,
            own_shortage_tokens: 0,
            remaining_tokens: None,
            undrawn: reserve::UndrawnSnapshot::default(),
            withheld: ledger::Withheld::default(),
            backup_age_ms: reserve::DEFAULT_BACKUP_AGE_MS,
            held_tokens: 0,
            paid_tokens: 0,
            closed_spent_tokens: 0,
            written_off_tokens: 0,
            ledger_read_ms: None,
            grant_count: 0,
            prepaid: None,
            overdrawn: false,
            awaited_config_version: 0,
            awaits_recovery: false,
            routers: 1,
            drawing_routers: 1,
            holder: settings.holders == 0,
            draws_on_demand: false,
            others_rate_tokens_per_s: 0,
            rate_milli_tokens_per_s: 0,
            refill: refill::Refill::default(),
            pacing: pacing::Pacing::default(),
            throttle: throttle::Throttle::default(),
            declared_ms: now_ms,
            peak_milli_tokens_per_s: 0,
            spending_since_ms: now_ms,
            last_use_ms: now_ms,
            last_undrawn_tokens: 0,
            measured_tokens: 0,
            measured_ms: now_ms,
        }
    }

    /// The tokens against which a new request may be admitted.
    pub fn free_tokens(&self) -> u64 {
        if self.closed {
            return 0;
        }
        let available = self.granted_tokens.saturating_add(self.received_tokens);
        available
            .saturating_sub(self.returning_tokens)
            .saturating_sub(self.locked_tokens)
            .saturating_sub(self.sent_tokens)
            .saturating_sub(self.consumed_tokens)
            .saturating_sub(self.reserved_tokens)
    }

    /// The free tokens and those that become free once other routers have a copy of the grant.
    pub fn free_or_locked_tokens(&self) -> u64 {
        self.free_tokens().saturating_add(self.locked_tokens)
    }

    /// The tokens that have left this router's grant: consumed here, or sent to other holders and not sent back.
    pub fn spent_tokens(&self) -> u64 {
        self.consumed_tokens.saturating_add(self.sent_tokens).saturating_sub(self.received_tokens)
    }

    /// The averaged spend rate, rounded up.
    pub fn rate_tokens_per_s(&self) -> u64 {
        self.rate_milli_tokens_per_s.div_ceil(1000)
    }

    /// The headroom that this holder refills: what it spends in the cover time, but at least the minimum grant. With
    /// `held_percent` it is also enough for the next requests of the size that had to wait, it is at most this holder's
    /// part of the share, and the cover time is limited at first after an outage.
    ///
    /// A crash of the holder costs the workspace these tokens, so the headroom follows the spend rate and not the
    /// paid-in amount.
    pub fn target_tokens(&self) -> u64 {
        if !self.holder {
            return 0;
        }
        let cover_ms = self.settings.cover_s.saturating_mul(1_000);
        let cover_ms = match self.settings.held_percent {
            0 => cover_ms,
            _ => cover_ms.min(self.refill.headroom_limit_ms(self.measured_ms).unwrap_or(u64::MAX)),
        };
        let cover = self.rate_tokens_per_s().saturating_mul(cover_ms) / 1_000;
        let headroom =
            cover.max(self.settings.minimum_grant_tokens).max(self.request_headroom_tokens());
        match self.settings.held_percent {
            0 => headroom,
            _ => headroom.min(self.holder_limit_tokens()),
        }
    }

    /// The headroom for the next requests; 0 if the cover time alone determines the headroom.
    fn request_headroom_tokens(&self) -> u64 {
        match self.settings.held_percent {
            0 => 0,
            _ => self.needed_tokens.saturating_mul(HEADROOM_REQUESTS),
        }
    }

    /// Records the tokens that a waiting request needs.
    pub(super) fn record_need(&mut self, tokens: u64) {
        self.needed_tokens = self.needed_tokens.max(tokens);
    }

    /// The greatest headroom of this holder. It is limited so that a loss of all holders costs only a part of the
    /// budget.
    fn holder_limit_tokens(&self) -> u64 {
        let own_rate = self.rate_tokens_per_s();
        let all_rates = own_rate.saturating_add(self.others_rate_tokens_per_s).max(1);
        let shared = self.combined_limit_tokens(all_rates);
        if self.settings.holders == 1 {
            return shared;
        }
        let even = shared / EQUAL_SHARE_DIVISOR / self.routers.max(1);
        let by_rates = u128::from(shared - shared / EQUAL_SHARE_DIVISOR);
        let by_rate = by_rates * u128::from(own_rate) / u128::from(all_rates);
        even.saturating_add(by_rate as u64)
    }

    /// The greatest headroom of all holders together if the budget is spent at this rate.
    ///
    /// It is lower for a budget that is nearly exhausted: tokens that cannot be spent during an outage can be spent
    /// after it, but tokens that are lost with the holders cannot.
    fn combined_limit_tokens(&self, all_rates_tokens_per_s: u64) -> u64 {
        let unspent = self.unspent_tokens();
        let share = unspent / 100 * self.settings.held_percent;
        let share = match self.paid_tokens {
            // Not known yet.
            0 => share,
            paid_tokens => {
                let at_risk =
                    (paid_tokens / AT_RISK_DIVISOR).saturating_sub(self.written_off_tokens);
                share.min(at_risk.max(share / LOSSES_DIVISOR))
            }
        };
        let lasts_ms = u128::from(unspent) * 1_000 / u128::from(all_rates_tokens_per_s);
        let part_ms = lasts_ms.min(u128::from(NEARLY_EXHAUSTED_MS));
        (u128::from(share) * part_ms / u128::from(NEARLY_EXHAUSTED_MS)) as u64
    }

    /// Whether no other holder has spent from the budget, according to the ledger.
    fn is_unspent_by_others(&self) -> bool {
        self.closed_spent_tokens == 0 && self.others_rate_tokens_per_s == 0
    }

    /// The tokens of the budget that were not spent when the ledger was last read.
    ///
    /// With a single holder, the free tokens in the grants of former holders don't count: they were sent to the holder
    /// or lost with their routers.
    pub(super) fn unspent_tokens(&self) -> u64 {
        let held_tokens = match self.settings.holders {
            1 => self.free_tokens(),
            _ => self.held_tokens,
        };
        // Tokens in reserve can be spent as well, but only later.
        let undrawn_tokens = self.remaining_tokens.unwrap_or(0).max(self.undrawn.tokens);
        undrawn_tokens.saturating_add(held_tokens)
    }

    /// Updates the account from the budget's state in the ledger.
    pub fn update_from_budget(&mut self, budget: &ledger::Budget, holder: ids::Incarnation) {
        // Routers that cannot reach this one draw as well, so fewer undrawn tokens mean that the budget is in use.
        let undrawn_tokens = budget.remaining_tokens().unwrap_or(0);
        if undrawn_tokens < std::mem::replace(&mut self.last_undrawn_tokens, undrawn_tokens) {
            self.last_use_ms = self.measured_ms;
        }
        self.remaining_tokens = Some(budget.drawable_tokens());
        self.held_tokens = budget.held_tokens();
        self.withheld = budget.withheld;
        self.undrawn = reserve::UndrawnSnapshot::new(budget, holder);
        self.others_rate_tokens_per_s = budget.others_rate_tokens_per_s(holder);
        self.overdrawn = budget.remaining_tokens().is_none();
    }

    /// Sets the prepaid amount of a configuration.
    pub(super) fn set_prepaid(&mut self, prepaid: Option<Prepaid>) {
        let lowered = match (self.prepaid, prepaid) {
            (Some(before), Some(now)) => now.tokens < before.tokens,
            _ => false,
        };
        // A router without tokens of the budget cannot spend more than the lowered amount.
        if lowered && (self.holder || self.has_grant || self.free_tokens() > 0) {
            self.awaited_config_version = prepaid.map_or(0, |prepaid| prepaid.version);
        }
        self.prepaid = prepaid;
    }

    /// The number of tokens to draw if `remaining_tokens` are left for `routers` routers.
    ///
    /// Near the end of a budget each router draws only a part of the rest, so that no router keeps all of it unused;
    /// for a waiting request it may draw all.
    pub fn draw_tokens(&self, remaining_tokens: u64, routers: u64) -> u64 {
        if !self.needs_draw() {
            return 0;
        }
        let draw_target_tokens = match self.settings.held_percent {
            0 => self.target_tokens().saturating_mul(3) / 2,
            _ => self.target_tokens(),
        };
        let draw_target_tokens = draw_target_tokens.max(self.extra_draw_tokens());
        let available = self.free_or_locked_tokens();
        let missing_tokens =
            draw_target_tokens.saturating_add(self.shortage_tokens).saturating_sub(available);
        let fair_share_tokens = remaining_tokens / routers.max(1).saturating_mul(2);
        let shortfall_tokens = self.shortage_tokens.saturating_sub(available);
        missing_tokens.min(fair_share_tokens.max(shortfall_tokens)).min(remaining_tokens)
    }

    /// The tokens that a draw on demand takes beyond the present need, on a router that is not a holder.
    ///
    /// While the routers of a starting fleet discover each other, requests arrive one by one, and each would otherwise
    /// cost a call of the store. Unused tokens are sent to the holder by message.
    fn extra_draw_tokens(&self) -> u64 {
        if self.holder || self.settings.held_percent == 0 {
            return 0;
        }
        // The first rate is averaged over this window, so each draw doubles what was drawn so far.
        self.rate_tokens_per_s().saturating_mul(SHARE_RATE_WINDOW_FIRST_MS) / 1_000
    }

    /// Whether too few tokens are free. A draw goes above this threshold, so that refills are infrequent: without
    /// `held_percent` the threshold is the target and a draw goes up to half above it; with `held_percent` it is seven
    /// eighths of the target and a draw goes up to the target.
    pub fn needs_draw(&self) -> bool {
        if !self.holder && !self.draws_on_demand {
            return false;
        }
        let target = match self.settings.held_percent {
            0 => self.target_tokens(),
            _ => self.target_tokens() / 8 * 7,
        };
        self.free_or_locked_tokens() < target.max(self.shortage_tokens)
    }

    /// The tokens to return to the ledger because this router does not need them.
    pub fn surplus_tokens(&self) -> u64 {
        if !self.holder && !self.overdrawn {
            // Unneeded tokens are sent to the holder of the budget by message, which costs no call of the store.
            return 0;
        }
        // Waiting requests have to draw anew, as what they need may have been spent already.
        if self.overdrawn {
            return self.returnable_tokens();
        }
        let kept_tokens = match self.settings.held_percent {
            0 => self.target_tokens().saturating_mul(3),
            _ => self.target_tokens().saturating_mul(3) / 2,
        };
        let kept_tokens = kept_tokens.saturating_add(self.shortage_tokens);
        self.returnable_tokens().min(self.free_tokens().saturating_sub(kept_tokens))
    }

    /// The free tokens that this router may return to the ledger, at most those of its grant there: tokens received
    /// from other holders are not part of it.
    pub fn returnable_tokens(&self) -> u64 {
        self.free_tokens().min(self.granted_tokens.saturating_sub(self.returning_tokens))
    }

    /// The tokens that may be spent now and that no waiting request of this router needs; 0 while nothing may be spent
    /// here.
    pub fn unneeded_tokens(&self, now_ms: u64) -> u64 {
        if self.awaited_config_version > 0 || self.awaits_recovery {
            return 0;
        }
        self.spendable_tokens(now_ms).saturating_sub(self.own_shortage_tokens)
    }

    /// The tokens that may be sent to another holder that lacks tokens for a waiting request: all that may be spent now,
    /// or none if requests need tokens here as well and `peer_has_priority` is not set.
    pub fn transferable_tokens(&self, peer_has_priority: bool, now_ms: u64) -> u64 {
        let may_transfer =
            (self.shortage_tokens == 0 || peer_has_priority) && !self.awaits_recovery;
        if may_transfer { self.spendable_tokens(now_ms) } else { 0 }
    }

    /// Records that the ledger was read.
    pub fn record_ledger_read(&mut self, now_ms: u64) {
        let low_threshold_tokens = self.rate_tokens_per_s().saturating_mul(LOW_HEADROOM_MS) / 1_000;
        let low = self.holder && self.free_tokens() < low_threshold_tokens;
        self.refill.record_read(low, now_ms);
        self.ledger_read_ms = Some(now_ms);
    }

    /// The totals with which this router closes its grant.
    pub fn final_totals(&self) -> ledger::FinalTotals {
        ledger::FinalTotals {
            consumed_tokens: self.consumed_tokens,
            sent_tokens: self.sent_tokens,
            received_tokens: self.received_tokens,
        }
    }

    /// Applies this router's grant in the ledger, `None` if it has none. `definite` means that no earlier write can
    /// still take effect.
    pub fn apply_grant(&mut self, grant: Option<&ledger::Grant>, definite: bool) {
        self.granted_tokens = grant.map_or(0, |grant| grant.granted_tokens);
        self.reported_tokens = grant.map_or(0, |grant| grant.consumed_tokens);
        self.has_grant = grant.is_some();
        self.pacing.apply(grant.and_then(|grant| grant.pace), definite);
        if definite {
            self.returning_tokens = 0;
        }
    }

    /// Records that tokens were sent to the holder of the budget. They don't count towards the spend rate.
    pub fn record_sent_to_holder(&mut self, tokens: u64) {
        self.measured_tokens = self.measured_tokens.saturating_add(tokens);
    }

    /// Updates the averaged spend rate and its peak.
    pub(super) fn measure_rate(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.measured_ms);
        if elapsed_ms == 0 {
            return;
        }
        self.refill_throttle(elapsed_ms);
        // Tokens that are sent back later and sent out again are not counted twice.
        let spent = self.spent_tokens().saturating_sub(self.measured_tokens);
        let rate = spent.saturating_mul(1_000_000) / elapsed_ms;
        let window_ms = self.settings.cover_s.saturating_mul(500);
        let (window_ms, window_min_ms) = match self.settings.held_percent {
            0 => (window_ms.clamp(RATE_WINDOW_MIN_MS, RATE_WINDOW_MAX_MS), RATE_WINDOW_MIN_MS),
            _ if self.is_unspent_by_others() => {
                (SHARE_RATE_WINDOW_MS, SHARE_RATE_WINDOW_UNSPENT_MS)
            }
            _ => (SHARE_RATE_WINDOW_MS, SHARE_RATE_WINDOW_FIRST_MS),
        };
        if spent > 0 || self.reserved_tokens > 0 || self.shortage_tokens > 0 {
            self.last_use_ms = now_ms;
        }
        if spent > 0 && self.rate_milli_tokens_per_s == 0 {
            self.spending_since_ms = self.measured_ms;
        }
        // The first average covers only the time since spending began.
        let spending_ms = now_ms.saturating_sub(self.spending_since_ms).max(window_min_ms);
        let window_ms = window_ms.min(spending_ms);
        let weight_ms = elapsed_ms.min(window_ms);
        let previous_part =
            self.rate_milli_tokens_per_s.saturating_mul(window_ms - weight_ms) / window_ms;
        self.rate_milli_tokens_per_s =
            previous_part.saturating_add(rate.saturating_mul(weight_ms) / window_ms);
        let decay = self.peak_milli_tokens_per_s.saturating_mul(elapsed_ms) / PEAK_DECAY_MS;
        let peak = self.peak_milli_tokens_per_s.saturating_sub(decay);
        self.peak_milli_tokens_per_s = peak.max(self.rate_milli_tokens_per_s);
        if self.rate_milli_tokens_per_s == 0 && self.shortage_tokens == 0 {
            self.needed_tokens = 0;
        }
        self.measured_tokens = self.measured_tokens.max(self.spent_tokens());
        self.measured_ms = now_ms;
    }
}
