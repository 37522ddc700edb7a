//! Recovers the shard after a restore of the store, from the latest state that this router read, wrote or received.

use super::{Context, RecoveryDecision, State, Writer};
use crate::{grants, ids, ledger, store};

/// The number of eras for which the time of the last read is kept.
const READ_TIMES_MAX: usize = 16;

impl Writer {
    /// Resets the writer after a restore of the store: abandons the call in flight and schedules the recovery of the
    /// last seen state.
    pub fn reset_after_restore(&mut self, era: u64, table: &grants::Table) {
        if let State::Writing { base_index, .. } = std::mem::replace(&mut self.state, State::Idle) {
            self.unresolved_write_index = self.unresolved_write_index.or(Some(base_index));
        }
        self.last_seen_is_current = false;
        self.next_reserves.clear();
        self.stale = true;
        self.overtaken_writes = 0;
        self.backoff.reset();
        self.not_before_ms = 0;
        let copies = self.last_seen.iter().chain(&self.peer_copy);
        self.sync_requested |= copies.into_iter().any(|(position, _)| position.era < era);
        if self.unresolved_write_index.is_some() && self.interrupted_returns.is_empty() {
            let accounts =
                table.in_shard(self.shard).iter().map(|slot| (*slot, table.account(*slot)));
            let returning = accounts.filter(|(_, account)| account.returning_tokens > 0);
            let interrupted_return = |(slot, account): (ids::BudgetSlot, &grants::Account)| {
                (slot, account.granted_tokens, account.returning_tokens)
            };
            self.interrupted_returns = returning.map(interrupted_return).collect();
        }
    }

    /// Merges a state of the shard that another router wrote into the peer copy. If it is of an earlier era than `era`,
    /// the store may have lost it, so a sync is requested.
    pub fn merge_peer_copy(&mut self, position: store::Position, shard: ledger::Shard, era: u64) {
        let copy = match self.peer_copy.take() {
            Some((_, copy)) if shard.includes(&copy) => (position, shard),
            Some((copy_position, copy)) => (copy_position.min(position), shard.combine(copy)),
            None => (position, shard),
        };
        self.sync_requested |= position.era < era;
        self.peer_copy = Some(copy);
    }

    /// Releases the withheld tokens of a budget, as an operator requested, and requests a sync.
    pub fn release(&mut self, budget: &str) {
        self.released.insert(budget.to_owned());
        self.sync_requested = true;
    }

    /// Sets the recovery decision for `era`, and requests a sync if it is a new one.
    pub fn set_recovery_decision(&mut self, era: u64, decision: RecoveryDecision) {
        if self.recovery_decision.replace((era, decision)) != Some((era, decision)) {
            self.sync_requested = true;
        }
    }

    /// The era before which draws may have been made that a restore lost ([`ledger::Shard::unconfirmed_since_era`]);
    /// `None` if no tokens are withheld for them in `era`.
    pub fn unconfirmed_since_era(&self, era: u64) -> Option<u64> {
        let (_, shard) = self.last_seen.as_ref()?;
        shard.unconfirmed_since_era.filter(|_| shard.written_era() == era)
    }

    /// The recovery decision for `era`, if there is one.
    pub fn recovery_decision(&self, era: u64) -> Option<RecoveryDecision> {
        self.recovery_decision.filter(|(of_era, _)| *of_era == era).map(|(_, decision)| decision)
    }

    /// Whether the shard, as this router read it in `era`, includes every state that this router read, wrote or
    /// received before.
    pub fn has_recovered(&self, era: u64) -> bool {
        let Some((position, seen)) = &self.last_seen else { return self.peer_copy.is_none() };
        let included =
            |copy: &(store::Position, ledger::Shard)| copy.0.era == era || seen.includes(&copy.1);
        let resolved = self.interrupted_returns.is_empty() && self.unresolved_write_index.is_none();
        let current = position.era == era && seen.written_era() == era;
        current && resolved && self.peer_copy.iter().all(included)
    }

    /// Whether the shard was read since the last restore, or this router is the holder of no budget in it.
    pub fn has_read_all(&self, table: &grants::Table) -> bool {
        let mut accounts = table.in_shard(self.shard).iter().map(|slot| table.account(*slot));
        !self.stale || !accounts.any(|account| account.holder)
    }

    /// Records the start time of the call whose reply had a state of the shard in `era`.
    pub(super) fn record_read(&mut self, era: u64) {
        self.read_times_ms.insert(era, self.call_started_ms);
        if self.read_times_ms.len() > READ_TIMES_MAX {
            self.read_times_ms.pop_first();
        }
    }

    /// The start time of the last call whose reply had a state of the shard before `era`.
    pub fn read_before_ms(&self, era: u64) -> Option<u64> {
        self.read_times_ms.range(..era).next_back().map(|(_, at_ms)| *at_ms)
    }

    /// The latest state of the shard that this router read or wrote.
    pub fn last_seen(&self) -> Option<&(store::Position, ledger::Shard)> {
        self.last_seen.as_ref()
    }

    /// The latest state of an earlier era than `era` that this router read, wrote or received.
    pub(super) fn latest_before(&self, era: u64) -> Option<(store::Position, ledger::Shard)> {
        let is_before = |state: &&(store::Position, ledger::Shard)| state.0.era < era;
        let seen = self.last_seen.as_ref().filter(is_before);
        let copy = self.peer_copy.as_ref().filter(is_before);
        match (seen, copy) {
            (Some((seen_position, shard)), Some((copy_position, copy))) => {
                Some(((*seen_position).max(*copy_position), shard.clone().combine(copy.clone())))
            }
            (state, None) | (None, state) => state.cloned(),
        }
    }

    /// Returns the recovered value with a new version vector entry of this router, or `None` if the value at `index`
    /// needs no change.
    pub(super) fn recover(
        &mut self,
        shard: &ledger::Shard,
        index: store::Position,
        table: &grants::Table,
        context: &Context<'_>,
    ) -> Option<ledger::Shard> {
        let latest = self.latest_before(index.era);
        let mut recovered = shard.recover(index, latest.as_ref(), context.recovery_window_over);
        if !self.interrupted_returns.is_empty() {
            let recovered = recovered.get_or_insert_with(|| shard.clone());
            self.repeat_returns(recovered, table, context);
        }
        let mut recovered = recovered.filter(|recovered| recovered != shard)?;
        self.draft_count += 1;
        recovered.set_write_count(context.holder, self.draft_count);
        Some(recovered)
    }

    /// Repeats the returns that a restore interrupted, where the value does not include them.
    fn repeat_returns(
        &self,
        shard: &mut ledger::Shard,
        table: &grants::Table,
        context: &Context<'_>,
    ) {
        for (slot, granted_tokens, tokens) in &self.interrupted_returns {
            let name = &table.account(*slot).name;
            let grant =
                shard.budgets.get(name).and_then(|budget| budget.grants.get(&context.holder));
            if grant.is_some_and(|grant| grant.granted_tokens == *granted_tokens) {
                let before = shard.budgets.get(name).cloned().unwrap_or_default();
                shard.return_tokens(name, context.holder, *tokens);
                // If the interrupted return was applied, these tokens may have been drawn again.
                if let Some(budget) = shard.budgets.get_mut(name) {
                    budget.preserve_undrawn_tokens(&before);
                }
            }
        }
    }

    /// Stores a state of the shard as the last seen one, unless it was written in an earlier era.
    pub(super) fn store_last_seen(&mut self, index: store::Position, shard: ledger::Shard) {
        self.last_seen_is_current = shard.written_era() == index.era;
        if self.last_seen_is_current {
            self.last_seen = Some((index, shard));
        }
    }
}
