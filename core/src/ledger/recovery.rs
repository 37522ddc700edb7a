//! Recovers a shard after the store was restored from a backup.
//!
//! The states that routers saw before the restore belong to one history, in which each state includes the earlier ones.
//! The latest state seen by any router therefore replaces the restored value. If the shard has been written in the new
//! era already, a router with a later state merges what the shard lacks.

use super::{Budget, ClosedTotals, Grant, Shard};
use crate::store;

impl Shard {
    /// Whether the value read at `found` was written before the store was restored.
    pub fn is_restored(&self, found: store::Position) -> bool {
        self.era.is_some_and(|era| era < found.era)
    }

    /// Returns the recovered value, given the value read at `found` and the latest state that this router saw. If this
    /// router has no later state, a value of an earlier era is accepted as the latest once the recovery window is over.
    pub fn recover(
        &self,
        found: store::Position,
        last_seen: Option<&(store::Position, Shard)>,
        recovery_window_over: bool,
    ) -> Self {
        let latest = last_seen.filter(|(position, _)| position.era < found.era);
        let era = match self.era {
            Some(era) => era,
            None if latest.is_some() => 0,
            None => return self.clone(),
        };
        let restored = era < found.era;
        let written = store::Position { era, revision: found.revision };
        match latest {
            Some((position, shard)) if restored && era <= position.era && *position > written => {
                shard.clone().begin_era(found.era, *position)
            }
            Some((position, _)) if restored && *position == written => {
                self.clone().begin_era(found.era, written)
            }
            Some((position, shard)) if *position > self.recovered_from && (era > position.era) => {
                let mut merged = self.merge(shard);
                merged.recovered_from = *position;
                if restored { merged.begin_era(found.era, written) } else { merged }
            }
            _ if restored && recovery_window_over => self.clone().begin_era(found.era, written),
            _ => self.clone(),
        }
    }

    /// Returns this state as the initial one of an era.
    fn begin_era(mut self, era: u64, recovered_from: store::Position) -> Self {
        self.era = Some(era);
        self.recovered_from = self.recovered_from.max(recovered_from);
        for budget in self.budgets.values_mut() {
            budget.closed_before = budget.closed_totals();
        }
        self
    }

    /// Merges what a later state of the lost history adds to the state with which this era started.
    fn merge(&self, lost: &Self) -> Self {
        let mut merged = self.clone();
        for (holder, known) in &lost.holders {
            merged.holders.entry(*holder).or_insert_with(|| known.clone());
        }
        for (name, lost) in &lost.budgets {
            merged.budgets.entry(name.clone()).or_default().merge(lost);
        }
        merged
    }
}

impl Budget {
    fn closed_totals(&self) -> ClosedTotals {
        ClosedTotals {
            spent_tokens: self.closed_spent_tokens,
            received_tokens: self.closed_received_tokens,
            consumed_tokens: self.closed_consumed_tokens,
            written_off_tokens: self.written_off_tokens,
        }
    }

    fn merge(&mut self, lost: &Self) {
        if lost.paid_version > self.paid_version {
            self.paid_version = lost.paid_version;
            self.paid_tokens = lost.paid_tokens;
        }
        for payment in &lost.payments {
            if self.payments.iter().all(|known| known.operation != payment.operation) {
                self.payments.push(payment.clone());
                if self.paid_version == 0 {
                    self.paid_tokens = self.paid_tokens.saturating_add(payment.tokens);
                }
            }
        }
        let (before, lost_closed) = (self.closed_before, lost.closed_totals());
        let added = |after: u64, before: u64| after.saturating_sub(before);
        self.closed_spent_tokens += added(lost_closed.spent_tokens, before.spent_tokens);
        self.closed_received_tokens += added(lost_closed.received_tokens, before.received_tokens);
        self.closed_consumed_tokens += added(lost_closed.consumed_tokens, before.consumed_tokens);
        self.written_off_tokens += added(lost_closed.written_off_tokens, before.written_off_tokens);
        self.closed_before = before.max(lost_closed);
        for (holder, lost) in &lost.grants {
            self.grants.entry(*holder).and_modify(|grant| grant.raise_to(lost)).or_insert(*lost);
        }
    }
}

impl ClosedTotals {
    fn max(self, other: Self) -> Self {
        Self {
            spent_tokens: self.spent_tokens.max(other.spent_tokens),
            received_tokens: self.received_tokens.max(other.received_tokens),
            consumed_tokens: self.consumed_tokens.max(other.consumed_tokens),
            written_off_tokens: self.written_off_tokens.max(other.written_off_tokens),
        }
    }
}

impl Grant {
    fn raise_to(&mut self, other: &Self) {
        self.granted_tokens = self.granted_tokens.max(other.granted_tokens);
        self.consumed_tokens = self.consumed_tokens.max(other.consumed_tokens);
    }
}
