//! Determines whether an account requires a sync of its shard.

use super::Context;
use crate::grants;

/// The shortest time between two reports of consumed tokens.
const REPORT_INTERVAL_MS: u64 = 5_000;
/// The shortest time from a sync to the next one that refills or returns tokens, unless a sync is requested.
const REFILL_INTERVAL_MS: u64 = 300;
/// The same for budgets with `held_percent`, whose headroom lasts for some seconds.
const SHARE_REFILL_INTERVAL_MS: u64 = 1_000;
/// The interval at which an exhausted budget is checked for payments while no request waits for tokens.
const EMPTY_CHECK_INTERVAL_MS: u64 = 10_000;

/// Whether an account requires a sync, `elapsed_ms` after the last one.
pub(super) fn is_due(account: &grants::Account, elapsed_ms: u64, context: &Context<'_>) -> bool {
    if context.stopping {
        let can_return = account.returnable_tokens() > 0 && elapsed_ms >= REFILL_INTERVAL_MS;
        return account.has_grant && (account.reserved_tokens == 0 || can_return);
    }
    if account.awaits_recovery {
        return true;
    }
    // A router that is not a holder sends its tokens to the holder, and has nothing to report.
    let reports_spending = account.holder;
    let unreported =
        reports_spending && account.has_grant && account.spent_tokens() > account.reported_tokens;
    let grant_missing =
        !account.has_grant && account.received_tokens > 0 && account.settings.holders == 0;
    let exhausted = account.remaining_tokens == Some(0);
    if account.awaited_config_version > 0 && (account.holder || account.has_grant) {
        return true;
    }
    let refill_ms = match account.settings.held_percent {
        0 => REFILL_INTERVAL_MS,
        _ => SHARE_REFILL_INTERVAL_MS,
    };
    (account.needs_draw() && !exhausted && elapsed_ms >= refill_ms)
        || (account.surplus_tokens() > 0 && elapsed_ms >= refill_ms)
        || (account.overdrawn && account.surplus_tokens() > 0)
        || ((unreported || grant_missing) && elapsed_ms >= REPORT_INTERVAL_MS)
        || (account.should_raise_reserve() && elapsed_ms >= REFILL_INTERVAL_MS)
        || (account.needs_pace(context.now_ms) && elapsed_ms >= REFILL_INTERVAL_MS)
        || (account.needs_draw() && elapsed_ms >= EMPTY_CHECK_INTERVAL_MS)
}
