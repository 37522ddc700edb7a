//! Tracks which of this router's draws other routers have a copy of.
//!
//! A restore of the store may lose a draw, and this router may be unavailable afterwards. So of the draws that too few
//! other routers have a copy of, and that a backup may lack, it spends at most a part of the undrawn tokens: the other
//! routers can withhold that much for it.

use super::Writer;
use crate::{grants, ids, ledger};
use std::collections;

/// While too few others have a copy of a router's draws, it spends at most one part in this many of the undrawn tokens
/// from them.
const UNREPLICATED_DIVISOR: u64 = 8;
/// The interval at which copies of the same draws are sent again.
const COPY_RESEND_INTERVAL_MS: u64 = 250;

/// The draws of one write that too few other routers are known to have a copy of.
#[derive(Debug)]
pub(super) struct UnreplicatedDraw {
    /// The number of the write among those of this router.
    write: u64,
    drawn: Vec<(ids::BudgetSlot, u64)>,
    drawn_ms: u64,
    copied_to: collections::BTreeSet<ids::Incarnation>,
}

impl Writer {
    /// Records by how many tokens a state of the shard raises this router's grants.
    pub(super) fn record_draws(
        &mut self,
        shard: &ledger::Shard,
        drawn: Vec<(ids::BudgetSlot, u64)>,
        holder: ids::Incarnation,
        now_ms: u64,
    ) {
        if !drawn.is_empty() {
            let write = shard.writes.get(&holder).map_or(0, |count| *count);
            let copied_to = collections::BTreeSet::new();
            self.unreplicated.push(UnreplicatedDraw { write, drawn, drawn_ms: now_ms, copied_to });
        }
    }

    /// Records that a router has a copy that includes this router's writes up to `write`.
    pub fn record_copy(&mut self, router: ids::Incarnation, write: u64) {
        for draw in self.unreplicated.iter_mut().filter(|draw| draw.write <= write) {
            draw.copied_to.insert(router);
        }
    }

    /// Stops tracking draws that `copies` routers have a copy of or that every backup contains. Locks the tokens of the
    /// other draws in the accounts, but for the part that may be spent.
    pub fn lock_unreplicated_draws(
        &mut self,
        table: &mut grants::Table,
        copies: usize,
        now_ms: u64,
    ) {
        let slots = table.in_shard(self.shard).to_vec();
        let Some(first) = slots.first() else { return };
        let backup_age_ms = table.account(*first).backup_age_ms;
        self.unreplicated.retain(|draw| {
            draw.copied_to.len() < copies && now_ms <= draw.drawn_ms + backup_age_ms
        });
        for slot in slots {
            let drawn = self.unreplicated.iter().flat_map(|draw| &draw.drawn);
            let unreplicated_tokens: u64 =
                drawn.filter(|(drawn, _)| *drawn == slot).map(|(_, tokens)| tokens).sum();
            let account = table.account_mut(slot);
            let spendable_tokens = account.undrawn.tokens / UNREPLICATED_DIVISOR;
            account.locked_tokens = unreplicated_tokens.saturating_sub(spendable_tokens);
        }
    }

    /// Whether any draws are tracked because too few other routers have a copy of them.
    pub fn has_unreplicated_draws(&self) -> bool {
        !self.unreplicated.is_empty()
    }

    /// Returns the routers that have a copy of all draws, if copies should be sent to more routers now.
    pub fn copies_due(&mut self, now_ms: u64) -> Option<collections::BTreeSet<ids::Incarnation>> {
        let latest = self.unreplicated.last()?;
        if now_ms < self.copies_sent_ms + COPY_RESEND_INTERVAL_MS {
            return None;
        }
        self.copies_sent_ms = now_ms;
        Some(latest.copied_to.clone())
    }
}
