//! Tokens of a budget that cannot be drawn: the reserve, and tokens that are withheld because a restore of the store
//! may have lost draws of them.
//!
//! The reserve limits the draws that a restore can lose. It is raised at once, and lowered only after the lower value
//! has been in the store for longer than the age of any backup. So the draws since a backup was taken never exceed the
//! undrawn tokens above the lower one of the two reserves in that backup.

use super::{Budget, Shard, UNLIMITED_TOKENS};
use crate::ids;
use serde::{Deserialize, Serialize};

/// One part in this many of the reserve in a backup stays in reserve in the era that restored it.
const ERA_RESERVE_DIVISOR: u64 = 4;

/// One part in this many of the undrawn tokens is withheld for each silent router (one that has not confirmed that its
/// draws are recorded again), for draws that the others have no copy of. It is twice what a router spends of such
/// draws, because tokens may have been returned meanwhile.
const SILENT_ROUTER_DIVISOR: u64 = 4;

/// The tokens of a [`Budget`] that are in no router's grant and may not be moved into one yet. It limits how many
/// tokens routers can take after a backup of the store, and so how many of these changes a restore of that backup can
/// lose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// The number of tokens in reserve.
    pub tokens: u64,
    /// A lower reserve that is not in effect yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<NextReserve>,
}

/// A lower value that will replace the present [`Reserve`] of a budget (the tokens that routers may not take yet, so
/// that a restore of a backup loses the record of fewer taken tokens), with the write that stored it. A router that
/// takes tokens from the budget sets it when they are spent faster. It takes effect once it has been in the store for
/// longer than the greatest age of a backup.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NextReserve {
    /// The number of tokens in reserve once it is in effect.
    pub tokens: u64,
    /// The router that wrote it.
    pub writer: ids::Incarnation,
    /// The number of that write among those of the writer.
    pub write: u64,
}

/// The tokens of a [`Budget`] that routers may not take because the store was restored from a backup: a router may have
/// taken and spent them before, and the restore lost the record of it. Fewer tokens are withheld once the routers have
/// written such records back; an operator can release the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withheld {
    /// Tokens that can be drawn again once every router that could have drawn them has written its copy of the shard
    /// back to the store.
    pub unconfirmed_tokens: u64,
    /// Tokens whose possible draws no running router can report any more. Only an operator can release them.
    pub lost_tokens: u64,
}

impl Reserve {
    /// Whether there is no reserve, and no lower one pending.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }

    /// The lower one of the present reserve and the pending one.
    fn min_tokens(&self) -> u64 {
        self.next.map_or(self.tokens, |next| next.tokens.min(self.tokens))
    }
}

impl Withheld {
    /// Whether no tokens of the budget are withheld.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }

    /// The total number of withheld tokens.
    pub fn tokens(&self) -> u64 {
        self.unconfirmed_tokens.saturating_add(self.lost_tokens)
    }

    /// Counts all of the tokens as lost.
    pub(super) fn lose_unconfirmed(&mut self) {
        self.lost_tokens += std::mem::take(&mut self.unconfirmed_tokens);
    }

    pub(super) fn max(self, other: Self) -> Self {
        Self {
            unconfirmed_tokens: self.unconfirmed_tokens.max(other.unconfirmed_tokens),
            lost_tokens: self.lost_tokens.max(other.lost_tokens),
        }
    }
}

impl Budget {
    /// The tokens that are neither drawn nor withheld; 0 if the token counts are inconsistent.
    pub fn undrawn_tokens(&self) -> u64 {
        self.remaining_tokens().unwrap_or(0).saturating_sub(self.withheld.tokens())
    }

    /// The tokens that may be drawn now.
    pub fn drawable_tokens(&self) -> u64 {
        self.undrawn_tokens().saturating_sub(self.reserve.tokens)
    }

    /// Withholds all undrawn tokens but `kept_tokens`, unless the budget is unlimited.
    fn withhold_all_but(&mut self, kept_tokens: u64) {
        if self.paid_tokens >= UNLIMITED_TOKENS {
            return;
        }
        let withheld_tokens = self.remaining_tokens().unwrap_or(0).saturating_sub(kept_tokens);
        let lost_tokens = self.withheld.lost_tokens.min(withheld_tokens);
        self.withheld = Withheld { unconfirmed_tokens: withheld_tokens - lost_tokens, lost_tokens };
    }

    /// Adjusts the withheld tokens after a change, so that the undrawn tokens stay as in `before`, the budget before
    /// the change. Only a decrease of the paid-in amount lowers them.
    pub(crate) fn preserve_undrawn_tokens(&mut self, before: &Budget) {
        let paid_less_tokens = before.paid_tokens.saturating_sub(self.paid_tokens);
        self.withhold_all_but(before.undrawn_tokens().saturating_sub(paid_less_tokens));
    }

    /// Begins an era that restored this budget from `backup`, which was written `eras` eras before: withholds the
    /// tokens that may have been drawn since.
    pub(super) fn begin_era(&mut self, backup: Option<&Budget>, eras: u64) {
        let mut reserve_tokens = backup.map_or(0, |backup| backup.reserve.min_tokens());
        for _ in 1..eras {
            reserve_tokens = reserve_after_allowance(reserve_tokens);
            if reserve_tokens == 0 {
                break;
            }
        }
        let reserve_tokens = reserve_tokens.min(self.remaining_tokens().unwrap_or(0));
        self.withhold_all_but(reserve_tokens);
        self.reserve = Reserve { tokens: reserve_after_allowance(reserve_tokens), next: None };
    }
}

impl Shard {
    /// Makes withheld tokens drawable, except those that so many silent routers may have drawn without the others
    /// having a copy; `None` if there are too many to bound these tokens. If `is_final`, no router is left that could
    /// report such draws, and the rest is recorded as lost.
    pub fn apply_recovery_decision(&mut self, silent_routers: Option<u64>, is_final: bool) {
        // Only a lower number is applied. The bound depends on the undrawn tokens, and later there are fewer of them
        // than when these routers may have drawn.
        let fewer = |count: &u64| self.silent_routers.is_none_or(|current| *count < current);
        let silent_routers = silent_routers.filter(fewer);
        self.silent_routers = silent_routers.or(self.silent_routers);
        if is_final || silent_routers == Some(0) {
            self.unconfirmed_since_era = None;
        }
        for budget in self.budgets.values_mut() {
            if let Some(silent_routers) = silent_routers {
                let tokens_per_router =
                    budget.remaining_tokens().unwrap_or(0).div_ceil(SILENT_ROUTER_DIVISOR);
                let max_tokens = tokens_per_router.saturating_mul(silent_routers);
                let withheld = &mut budget.withheld;
                withheld.unconfirmed_tokens = withheld.unconfirmed_tokens.min(max_tokens);
            }
            if is_final {
                budget.withheld.lose_unconfirmed();
            }
        }
    }
}

/// The part of a reserve that stays in reserve when an era begins; the rest may be drawn at once in that era.
fn reserve_after_allowance(reserve_tokens: u64) -> u64 {
    reserve_tokens / ERA_RESERVE_DIVISOR
}
