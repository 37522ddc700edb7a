//! The tokens that this router may spend: its grant of each budget, and what is reserved or consumed of it.
//!
//! An account mirrors this router's grant in the ledger (`granted_tokens`). The mirror changes only with the known
//! state of the ledger, never by assuming the result of a write whose reply was lost. Tokens that are being returned
//! are subtracted before the write is sent, and added again only once it is certain that the write had no effect.

mod account;
mod pacing;
mod refill;
mod reserve;
mod throttle;

pub use account::{Account, Prepaid};
pub use reserve::{DEFAULT_BACKUP_AGE_MS, UndrawnSnapshot};

use crate::{config, ids, ledger, machine_clock, request};
use std::collections;

/// One router's [`Account`] of every token budget, found by slot, by name or by the shard of the [`ledger`] that
/// contains the budget. Requests reserve and consume tokens here, without a call to the store.
#[derive(Debug, Default)]
pub struct Table {
    accounts: slotmap::SlotMap<ids::BudgetSlot, Account>,
    by_name: collections::HashMap<String, ids::BudgetSlot>,
    by_shard: Vec<Vec<ids::BudgetSlot>>,
    backup_age_ms: u64,
    /// Time 0 of the node on the machine's steady clock, if it has one.
    clock_origin_ms: Option<u64>,
    slots_with_shortage: Vec<ids::BudgetSlot>,
}

impl Table {
    /// Creates an empty table for a ledger with this many shards.
    pub fn new(shards: u32) -> Self {
        let by_shard = vec![Vec::new(); shards.max(1) as usize];
        Self { by_shard, backup_age_ms: DEFAULT_BACKUP_AGE_MS, ..Self::default() }
    }

    /// Sets the greatest age of a backup of the store when it is restored, in milliseconds, for budgets that are
    /// declared from now on.
    pub fn set_backup_age_ms(&mut self, backup_age_ms: u64) {
        self.backup_age_ms = backup_age_ms;
    }

    /// Sets the steady clock by which this router bounds its spending, for budgets that are declared from now on.
    pub fn set_machine_clock(&mut self, clock: Option<&machine_clock::MachineClock>) {
        self.clock_origin_ms = clock.map(|clock| clock.origin_ms);
    }

    /// Adds a budget or changes its settings.
    pub fn declare(&mut self, name: &str, settings: config::Cover, now_ms: u64) -> ids::BudgetSlot {
        self.declare_prepaid(name, settings, None, now_ms)
    }

    /// Adds a budget or changes its settings and the prepaid amount that the configuration sets.
    pub fn declare_prepaid(
        &mut self,
        name: &str,
        settings: config::Cover,
        prepaid: Option<Prepaid>,
        now_ms: u64,
    ) -> ids::BudgetSlot {
        if let Some(slot) = self.by_name.get(name) {
            self.accounts[*slot].settings = settings;
            self.accounts[*slot].holder |= settings.holders == 0;
            self.accounts[*slot].set_prepaid(prepaid);
            return *slot;
        }
        let mut account = Account::new(name, settings, now_ms);
        account.set_prepaid(prepaid);
        account.backup_age_ms = self.backup_age_ms;
        account.pacing = pacing::Pacing::new(self.clock_origin_ms);
        let slot = self.accounts.insert(account);
        self.by_name.insert(name.to_owned(), slot);
        let shard = ledger::shard_of(name, self.by_shard.len() as u32);
        if let Some(slots) = self.by_shard.get_mut(shard as usize) {
            slots.push(slot);
        }
        slot
    }

    /// Finds a budget by its name in the ledger.
    pub fn find(&self, name: &str) -> Option<ids::BudgetSlot> {
        self.by_name.get(name).copied()
    }

    /// Returns the account in a slot.
    pub fn account(&self, slot: ids::BudgetSlot) -> &Account {
        &self.accounts[slot]
    }

    /// Returns the account in a slot for modification.
    pub fn account_mut(&mut self, slot: ids::BudgetSlot) -> &mut Account {
        &mut self.accounts[slot]
    }

    /// Iterates over all accounts and their slots.
    pub fn iter(&self) -> impl Iterator<Item = (ids::BudgetSlot, &Account)> {
        self.accounts.iter()
    }

    /// The accounts whose budgets are stored in a shard of the ledger.
    pub fn in_shard(&self, shard: u32) -> &[ids::BudgetSlot] {
        self.by_shard.get(shard as usize).map_or(&[], Vec::as_slice)
    }

    /// Replaces the shortages of all budgets by those of waiting requests (`waiting`) and of transfer requests of peers
    /// (`requested`).
    pub fn set_shortages(
        &mut self,
        waiting: impl Iterator<Item = (ids::BudgetSlot, u64)>,
        requested: impl Iterator<Item = (ids::BudgetSlot, u64)>,
    ) {
        for slot in self.slots_with_shortage.drain(..) {
            self.accounts[slot].shortage_tokens = 0;
            self.accounts[slot].own_shortage_tokens = 0;
        }
        for (slot, tokens) in waiting {
            let account = &mut self.accounts[slot];
            account.shortage_tokens = account.shortage_tokens.saturating_add(tokens);
            account.own_shortage_tokens = account.own_shortage_tokens.saturating_add(tokens);
            account.record_need(tokens);
            self.slots_with_shortage.push(slot);
        }
        for (slot, tokens) in requested {
            let account = &mut self.accounts[slot];
            account.shortage_tokens = account.shortage_tokens.saturating_add(tokens);
            account.record_need(tokens);
            self.slots_with_shortage.push(slot);
        }
    }

    /// Reserves tokens for a request; `None` if fewer are free or none may be spent now.
    pub fn reserve(
        &mut self,
        slot: ids::BudgetSlot,
        bound_tokens: u64,
        now_ms: u64,
    ) -> Option<request::Reservation<request::Held>> {
        if bound_tokens == 0 {
            return Some(request::Reservation::new(slot, 0));
        }
        let account = &mut self.accounts[slot];
        if account.spendable_tokens(now_ms) < bound_tokens
            || account.awaited_config_version > 0
            || account.awaits_recovery
            || account.is_refused_by_throttle(bound_tokens)
        {
            return None;
        }
        account.record_taken(bound_tokens);
        account.reserved_tokens += bound_tokens;
        Some(request::Reservation::new(slot, bound_tokens))
    }

    /// Releases the reservation of a request that was not sent to a backend server.
    pub fn release(&mut self, reservation: request::Reservation<request::Held>) {
        let ended = reservation.release();
        if let Some(account) = self.accounts.get_mut(ended.budget) {
            account.reserved_tokens -= ended.bound_tokens;
        }
    }

    /// Ends a reservation and adds the consumed tokens to the account, at most those that were reserved.
    pub fn settle(
        &mut self,
        reservation: request::Reservation<request::Sent>,
        consumed_tokens: u64,
    ) {
        let ended = reservation.settle();
        let Some(account) = self.accounts.get_mut(ended.budget) else { return };
        account.reserved_tokens -= ended.bound_tokens;
        account.consumed_tokens += consumed_tokens.min(ended.bound_tokens);
    }

    /// Updates the spend rates of all accounts.
    pub fn measure_rates(&mut self, now_ms: u64) {
        for account in self.accounts.values_mut() {
            account.measure_rate(now_ms);
        }
    }

    /// Blocks spending from grants that a restore of the store may have lost, until they are in the ledger again.
    pub fn await_recovery(&mut self) {
        for account in self.accounts.values_mut() {
            account.awaits_recovery |= account.has_grant;
        }
    }

    /// Clears the wait for a lowered prepaid amount where this router has no tokens of the budget left.
    pub fn clear_awaited_versions(&mut self) {
        for account in self.accounts.values_mut() {
            if !account.holder && !account.has_grant && account.free_tokens() == 0 {
                account.awaited_config_version = 0;
            }
        }
    }

    /// Sets the holders of each budget: all of `routers`, or as many as its settings allow. In the latter case
    /// `is_holder` returns whether this router is a holder. `draws_on_demand` returns whether this router draws on
    /// demand.
    pub fn set_holders(
        &mut self,
        routers: u64,
        is_holder: impl Fn(&Account) -> bool,
        draws_on_demand: impl Fn(ids::BudgetSlot) -> bool,
    ) {
        for (slot, account) in &mut self.accounts {
            account.draws_on_demand = draws_on_demand(slot);
            account.holder = account.settings.holders == 0 || is_holder(account);
            account.routers = match account.settings.holders {
                0 => routers,
                holders => holders.min(routers).max(account.grant_count),
            };
            account.drawing_routers = if account.holder { account.routers } else { routers };
        }
    }
}
