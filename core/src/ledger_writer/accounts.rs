//! Applies a state of the shard to this router's accounts.

use super::{Context, Event, Writer};
use crate::{grants, ledger};

impl Writer {
    /// Records when each lower reserve that is not in effect yet was first read from the store.
    fn track_next_reserves(&mut self, shard: &ledger::Shard, now_ms: u64) {
        let pending = shard.budgets.iter().filter_map(|(name, budget)| {
            let next = budget.reserve.next?;
            let tracked = self.next_reserves.get(name).filter(|(reserve, _)| *reserve == next);
            Some((name.clone(), (next, tracked.map_or(now_ms, |(_, since_ms)| *since_ms))))
        });
        self.next_reserves = pending.collect();
    }

    /// Whether a lower reserve of the account has been in the store for longer than the age of any backup.
    pub(super) fn next_reserve_applies(&self, account: &grants::Account, now_ms: u64) -> bool {
        let next = account.undrawn.reserve.next;
        self.next_reserves.get(&account.name).is_some_and(|(reserve, since_ms)| {
            next == Some(*reserve) && now_ms > since_ms + account.backup_age_ms
        })
    }

    /// Whether a written state raises or closes grants of this router, or closes those of terminated holders.
    pub(super) fn grants_changed(
        &self,
        shard: &ledger::Shard,
        table: &grants::Table,
        context: &Context<'_>,
    ) -> bool {
        let mut accounts = table.in_shard(self.shard).iter().map(|slot| table.account(*slot));
        let changed = accounts.any(|account| {
            let budget = shard.budgets.get(&account.name);
            let grant = budget.and_then(|budget| budget.grants.get(&context.holder));
            match grant {
                Some(grant) => grant.granted_tokens > account.granted_tokens,
                None => account.has_grant,
            }
        });
        changed || !self.terminated_in_draft.is_empty()
    }

    /// Updates the accounts from a state of the shard and returns the resulting events. `definite` means that no
    /// earlier write can still take effect. If this router was written off, the accounts after the missing grant are
    /// not updated.
    pub(super) fn apply_shard(
        &mut self,
        shard: &ledger::Shard,
        definite: bool,
        is_of_current_era: bool,
        table: &mut grants::Table,
        context: &Context<'_>,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        let absent = ledger::Budget::default();
        let mut drawn = Vec::new();
        for slot in table.in_shard(self.shard).to_vec() {
            let account = table.account_mut(slot);
            let budget = shard.budgets.get(&account.name);
            let grant = budget.and_then(|budget| budget.grants.get(&context.holder));
            if account.has_grant && grant.is_none() && !context.stopping {
                events.push(Event::WrittenOff);
                return events;
            }
            account.closed |= account.has_grant && grant.is_none() && context.stopping;
            let granted_tokens = account.granted_tokens;
            account.apply_grant(grant, definite);
            if account.granted_tokens > granted_tokens {
                drawn.push((slot, account.granted_tokens - granted_tokens));
            }
            account.awaits_recovery &= !is_of_current_era;
            let exists = budget.is_some();
            let budget = budget.unwrap_or(&absent);
            account.update_from_budget(budget, context.holder);
            account.paid_tokens = budget.paid_tokens;
            account.closed_spent_tokens = budget.closed_spent_tokens;
            account.written_off_tokens = budget.written_off_tokens;
            account.record_ledger_read(context.now_ms);
            account.grant_count = budget.grants.len() as u64;
            if exists && budget.paid_version >= account.awaited_config_version {
                account.awaited_config_version = 0;
            }
        }
        self.record_draws(shard, drawn, context.holder, context.now_ms);
        self.track_next_reserves(shard, context.now_ms);
        let others = shard.holders.iter().filter(|(id, _)| **id != context.holder);
        let others: Vec<_> = others.map(|(id, holder)| (*id, holder.address.clone())).collect();
        if !others.is_empty() {
            events.push(Event::Holders(others));
        }
        events
    }
}
