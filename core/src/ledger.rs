//! The ledger in the platform's store: the tokens that were paid in, and the grants of the routers that may spend them.
//!
//! Each value contains one shard of the budgets. Invariant of each budget:
//! `granted to live holders + spent by closed holders <= paid in + received by closed holders`.
//! "Received" and the matching part of "spent" are transfers between holders, which are not written to the store. A
//! transfer that was lost counts as spent and is never received.

mod era_record;
mod pace;
mod recovery;
mod reserve;

pub use era_record::{EraRecord, era_record_key};
pub use pace::{Pace, Termination};
pub use reserve::{NextReserve, Reserve, Withheld};

use crate::{ids, machine_clock, store};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ensure};
use std::collections;

/// The version of the layout of a shard's value. Values of other versions are rejected.
pub const FORMAT: u32 = 1;

/// The prepaid amount of an unlimited budget.
pub const UNLIMITED_TOKENS: u64 = u64::MAX >> 16;

/// The prefix of the keys of all shards and of the era record.
pub const PREFIX: &str = "doorswitch/ledger/";

/// The number of latest payments that a budget keeps in order to apply each operation once.
pub const PAYMENT_HISTORY_MAX: usize = 256;

/// The writer id under which [`Shard::writes`] counts payments; no router has it.
const PAYMENTS_WRITER: ids::Incarnation = ids::Incarnation(0);

/// An error in decoding the value of a [`Shard`], one part of the ledger of prepaid token budgets, or in paying tokens
/// into one of its budgets. The cases distinguish values that cannot be used from payments that cannot be applied; the
/// shard is unchanged in all of them.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("cannot decode the ledger value: {source}"))]
    Decode { source: serde_json::Error },
    #[snafu(display("unsupported ledger format {found} (expected {FORMAT})"))]
    UnknownFormat { found: u32 },
    #[snafu(display("budget {budget:?} has inconsistent token counts"))]
    Corrupt { budget: String },
    #[snafu(display("paying {tokens} more tokens into budget {budget:?} would overflow it"))]
    Overflow { budget: String, tokens: u64 },
    #[snafu(display("operation {operation:?} was already applied with a different amount"))]
    OperationReused { operation: String },
}

/// One part of the ledger of prepaid token budgets, stored under one key of the platform's store: the budgets whose
/// names are assigned to this part, and the routers that have grants (tokens taken in advance) from them. A router that
/// takes tokens from a budget or returns them replaces the whole value by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// The version of this value's layout.
    pub format: u32,
    /// The store's era in which this value was written; `None` if an earlier release wrote it.
    #[serde(default)]
    pub era: Option<u64>,
    /// A version vector: for each router, the number of the latest write that this value includes. Unlike positions, it
    /// orders values across restores of the store.
    #[serde(default)]
    pub writes: collections::BTreeMap<ids::Incarnation, u64>,
    /// The live holders of grants in this shard.
    pub holders: collections::BTreeMap<ids::Incarnation, Holder>,
    /// The budgets by name (`workspace/budget`).
    pub budgets: collections::BTreeMap<String, Budget>,
    /// A restore of the store may have lost draws that were made before this era; set while tokens are withheld for
    /// them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unconfirmed_since_era: Option<u64>,
    /// The number of silent routers, which have not confirmed that all their draws are recorded again, and for whose
    /// draws tokens are withheld; `None` until it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub silent_routers: Option<u64>,
}

/// The VM and address of one holder: a router process that has grants (tokens that it has taken in advance from a
/// budget) in a [`Shard`], one part of the stored record of all token budgets. The process writes this entry together
/// with its grants. Other routers use it to determine whether the process has terminated, so that they can close its
/// grants: remove them and count their tokens as spent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The VM on which it runs.
    pub vm: String,
    /// The address on which it listens for peers. No two running processes can have the same one.
    pub address: String,
    /// The first index of the platform's list of VMs in which it found its own VM; 0 if it has not found it. Only a
    /// list that is at least as new and lacks the VM proves that the holder has terminated.
    pub listed_index: u64,
    /// The store's era in which that list was read.
    #[serde(default)]
    pub listed_era: u64,
    /// The run of the machine's steady clock by which the holder states times; `None` if it states none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub clock_run: Option<machine_clock::ClockRun>,
}

impl Holder {
    /// The position of the first list in which the holder found its own VM.
    pub fn listed(&self) -> store::Position {
        store::Position { era: self.listed_era, revision: self.listed_index }
    }
}

/// One prepaid token budget of a workspace (a customer), as stored in the ledger, the record of all budgets: the tokens
/// paid in, the part of them that is granted to each router, and the totals of the routers whose grants are closed,
/// that is, removed. Routers derive from it how many tokens can still be drawn, that is, moved into a router's grant.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// The total number of tokens paid in.
    pub paid_tokens: u64,
    /// The version of the configuration that set `paid_tokens`; 0 if it is the sum of payments.
    #[serde(default)]
    pub paid_version: u64,
    /// The latest payments, kept to apply each operation once.
    pub payments: Vec<Payment>,
    /// The grants of live holders.
    pub grants: collections::BTreeMap<ids::Incarnation, Grant>,
    /// Tokens that closed holders consumed, sent to others or lost.
    pub closed_spent_tokens: u64,
    /// Tokens that closed holders received from others.
    pub closed_received_tokens: u64,
    /// Tokens that closed holders reported as consumed.
    pub closed_consumed_tokens: u64,
    /// Tokens that terminated holders may not have spent, but that count as spent.
    pub written_off_tokens: u64,
    /// The totals of closed holders at the start of the store's era.
    #[serde(default, skip_serializing_if = "ClosedTotals::is_zero")]
    pub closed_before: ClosedTotals,
    /// Undrawn tokens that may not be drawn yet, so that a restore of the store cannot lose draws of them.
    #[serde(default, skip_serializing_if = "Reserve::is_none")]
    pub reserve: Reserve,
    /// Undrawn tokens that may have been spent, with the record of it lost in a restore of the store.
    #[serde(default, skip_serializing_if = "Withheld::is_none")]
    pub withheld: Withheld,
}

/// The token totals of all routers whose grants (tokens taken in advance) from one [`Budget`] are closed. Those at the
/// start of an era of the store (the time since it was last restored from a backup) are kept, so that totals that the
/// restore lost are added only once when routers write them back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedTotals {
    /// Tokens that they consumed, sent to others or lost.
    pub spent_tokens: u64,
    /// Tokens that they received from others.
    pub received_tokens: u64,
    /// Tokens that they reported as consumed.
    pub consumed_tokens: u64,
    /// Tokens that were written off.
    pub written_off_tokens: u64,
}

/// A payment of tokens into a [`Budget`] that was applied. It is kept with the operator's id of the payment, so that a
/// repeated command does not pay the tokens in again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payment {
    /// The operator's id of the payment.
    pub operation: String,
    /// The number of tokens paid in.
    pub tokens: u64,
}

/// The tokens of one [`Budget`] that one router process, the holder of the grant, has moved out of the budget and may
/// spend on requests without another write to the store, with the use that it last reported. Other routers use the
/// report to divide the remaining tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Tokens that the holder has drawn and not returned.
    pub granted_tokens: u64,
    /// Tokens that the holder had consumed, or sent to other holders and not received back, when it last wrote.
    pub consumed_tokens: u64,
    /// Tokens that were free for new requests when the holder last wrote.
    #[serde(default)]
    pub free_tokens: u64,
    /// The averaged spend rate when the holder last wrote.
    #[serde(default)]
    pub rate_tokens_per_s: u64,
    /// Whether the holder was idle when it last wrote: it had spent nothing for a while.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub idle: bool,
    /// The bound on what the holder spends until it writes again; `None` if it may spend the whole grant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pace: Option<Pace>,
}

/// A [`Grant`] (tokens that a router process has taken in advance from a budget) that another router closes, that is,
/// removes from the stored budget, because the process has terminated. The tokens that the process may have spent since it
/// last wrote are written off: they count as spent. The router that closes the grant logs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrittenOffGrant {
    /// The name of the budget.
    pub budget: String,
    /// The grant as its holder last wrote it.
    pub grant: Grant,
    /// The most tokens of the grant that the holder may have spent.
    pub spent_tokens_max: u64,
}

impl WrittenOffGrant {
    /// The tokens that count as spent although the holder has not reported them as consumed.
    pub fn written_off_tokens(&self) -> u64 {
        self.spent_tokens_max.saturating_sub(self.grant.consumed_tokens)
    }

    /// The tokens that the holder cannot have spent, and that return to the budget.
    pub fn returned_tokens(&self) -> u64 {
        self.grant.granted_tokens.saturating_sub(self.spent_tokens_max)
    }
}

/// The tokens that a router consumed, sent to other routers and received from them under its [`Grant`], the tokens that
/// it took in advance from a budget. The router adds them to the budget's totals when it closes the grant, which lets
/// others take the unspent tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FinalTotals {
    /// Tokens that it consumed, including the full bound of requests of which it is not known whether they ran.
    pub consumed_tokens: u64,
    /// Tokens that it sent to other holders.
    pub sent_tokens: u64,
    /// Tokens that it received from other holders.
    pub received_tokens: u64,
}

impl Default for Shard {
    fn default() -> Self {
        Self {
            format: FORMAT,
            era: None,
            writes: Default::default(),
            holders: Default::default(),
            budgets: Default::default(),
            unconfirmed_since_era: None,
            silent_routers: None,
        }
    }
}

impl Shard {
    /// Decodes a shard from the store's value. Fails if the value is not a shard of this layout version, or if more
    /// tokens of a budget are granted or spent than were paid in by payments.
    pub fn decode(value: &[u8]) -> Result<Self, Error> {
        let shard: Self =
            serde_json::from_slice(value).map_err(|source| Error::Decode { source })?;
        ensure!(shard.format == FORMAT, UnknownFormatSnafu { found: shard.format });
        for (name, budget) in &shard.budgets {
            // A configuration may lower the prepaid amount below the granted tokens.
            let consistent = budget.paid_version > 0 || budget.remaining_tokens().is_some();
            ensure!(consistent, CorruptSnafu { budget: name.as_str() });
        }
        Ok(shard)
    }

    /// Encodes the shard for the store.
    pub fn encode(&self) -> Vec<u8> {
        // A tree of maps, strings and integers cannot fail to serialize.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Adds `tokens` to a budget, once for each operation id. Returns whether the operation was new. Fails if the id
    /// was used with another amount, or if the paid-in total would overflow.
    pub fn pay(&mut self, name: &str, operation: &str, tokens: u64) -> Result<bool, Error> {
        let budget = self.budgets.entry(name.to_owned()).or_default();
        if let Some(applied) = budget.payments.iter().find(|applied| applied.operation == operation)
        {
            ensure!(applied.tokens == tokens, OperationReusedSnafu { operation });
            return Ok(false);
        }
        let paid = budget.paid_tokens.checked_add(tokens).filter(|sum| *sum <= i64::MAX as u64);
        budget.paid_tokens = paid.context(OverflowSnafu { budget: name, tokens })?;
        budget.payments.push(Payment { operation: operation.to_owned(), tokens });
        let excess = budget.payments.len().saturating_sub(PAYMENT_HISTORY_MAX);
        budget.payments.drain(..excess);
        let payments = self.writes.get(&PAYMENTS_WRITER).map_or(0, |count| *count);
        self.set_write_count(PAYMENTS_WRITER, payments + 1);
        Ok(true)
    }

    /// Sets the prepaid amount of a configuration, if its version is higher than the last one that was applied.
    pub fn set_prepaid(&mut self, name: &str, tokens: u64, version: u64) {
        let applied_version = self.budgets.get(name).map_or(0, |budget| budget.paid_version);
        if version > applied_version {
            let budget = self.budgets.entry(name.to_owned()).or_default();
            budget.paid_tokens = tokens;
            budget.paid_version = version;
        }
    }

    /// Sets the prepaid amount of a budget like [`Shard::set_prepaid`], and withholds the tokens that this adds: they may
    /// have been paid in and drawn before the store was restored in `era`. Those of a budget that this value lacks count
    /// as lost, because what other routers know of draws from it does not show how much was drawn in all.
    pub fn set_prepaid_withheld(&mut self, name: &str, tokens: u64, version: u64, era: u64) {
        let before = self.budgets.get(name).cloned();
        self.set_prepaid(name, tokens, version);
        let Some(budget) = self.budgets.get_mut(name) else { return };
        budget.preserve_undrawn_tokens(&before.clone().unwrap_or_default());
        let Some(before) = before else {
            budget.withheld.lose_unconfirmed();
            return;
        };
        if budget.withheld.unconfirmed_tokens > before.withheld.unconfirmed_tokens {
            self.unconfirmed_since_era.get_or_insert(era);
        }
    }

    /// Grants up to `tokens` of the drawable tokens to `holder`; returns the number of tokens granted.
    pub fn draw(&mut self, name: &str, holder: ids::Incarnation, tokens: u64) -> u64 {
        let Some(budget) = self.budgets.get_mut(name) else { return 0 };
        let drawn = tokens.min(budget.drawable_tokens());
        if drawn > 0 {
            budget.grants.entry(holder).or_default().granted_tokens += drawn;
        }
        drawn
    }

    /// Returns up to `tokens` of a holder's grant to the budget; the result is the number of tokens returned.
    pub fn return_tokens(&mut self, name: &str, holder: ids::Incarnation, tokens: u64) -> u64 {
        let grant = self.budgets.get_mut(name).and_then(|budget| budget.grants.get_mut(&holder));
        let Some(grant) = grant else { return 0 };
        let returned = tokens.min(grant.granted_tokens);
        grant.granted_tokens -= returned;
        returned
    }

    /// Closes a holder's grant with the totals that it reports. Its unspent tokens can be drawn by others.
    pub fn close(&mut self, name: &str, holder: ids::Incarnation, totals: FinalTotals) {
        let Some(budget) = self.budgets.get_mut(name) else { return };
        if budget.grants.remove(&holder).is_none() {
            return;
        }
        let spent = totals.consumed_tokens.saturating_add(totals.sent_tokens);
        budget.closed_spent_tokens = budget.closed_spent_tokens.saturating_add(spent);
        budget.closed_received_tokens += totals.received_tokens;
        budget.closed_consumed_tokens += totals.consumed_tokens;
    }

    /// Closes all grants of a terminated holder in an era of the store, counting as spent what the holder may have spent
    /// of them. Returns the grants.
    pub fn write_off(
        &mut self,
        holder: ids::Incarnation,
        termination: Termination,
        era: u64,
    ) -> Vec<WrittenOffGrant> {
        self.holders.remove(&holder);
        let grants = self.budgets.iter_mut().filter_map(|(name, budget)| {
            let grant = budget.grants.remove(&holder)?;
            let spent_tokens_max = grant.spent_tokens_max(termination, era);
            let closed = WrittenOffGrant { budget: name.clone(), grant, spent_tokens_max };
            budget.record_written_off(&closed);
            Some(closed)
        });
        grants.collect()
    }

    /// Removes holders that have no grants in this shard.
    pub fn remove_empty_holders(&mut self) {
        let budgets = &self.budgets;
        self.holders.retain(|id, _| budgets.values().any(|budget| budget.grants.contains_key(id)));
    }
}

impl Budget {
    /// The tokens that no holder has drawn; `None` if the token counts are inconsistent.
    pub fn remaining_tokens(&self) -> Option<u64> {
        let mut left = self.paid_tokens.checked_add(self.closed_received_tokens)?;
        for grant in self.grants.values() {
            left = left.checked_sub(grant.granted_tokens)?;
        }
        left.checked_sub(self.closed_spent_tokens)
    }

    /// The tokens that live holders had free for new requests when they last wrote.
    pub fn held_tokens(&self) -> u64 {
        self.grants.values().map(|grant| grant.free_tokens).sum()
    }

    /// Whether all holders but `holder` are idle.
    pub fn others_idle(&self, holder: ids::Incarnation) -> bool {
        self.grants.iter().all(|(id, grant)| *id == holder || grant.idle)
    }

    /// The spend rate of all holders but `holder`.
    pub fn others_rate_tokens_per_s(&self, holder: ids::Incarnation) -> u64 {
        let others = self.grants.iter().filter(|(id, _)| **id != holder);
        others.map(|(_, grant)| grant.rate_tokens_per_s).sum()
    }

    /// The tokens that live and closed holders reported as consumed.
    pub fn reported_consumed_tokens(&self) -> u64 {
        let live: u64 = self.grants.values().map(|grant| grant.consumed_tokens).sum();
        live + self.closed_consumed_tokens
    }

    fn record_written_off(&mut self, closed: &WrittenOffGrant) {
        self.closed_spent_tokens += closed.spent_tokens_max;
        self.closed_consumed_tokens += closed.grant.consumed_tokens;
        self.written_off_tokens += closed.written_off_tokens();
    }
}

/// Returns the key of a shard's value in the store.
pub fn key(shard: u32) -> String {
    format!("{PREFIX}{shard}")
}

/// Returns the shard of a budget (FNV-1a of its name).
pub fn shard_of(budget: &str, shards: u32) -> u32 {
    let hash = budget.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash % u64::from(shards.max(1))) as u32
}
