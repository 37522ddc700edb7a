//! Reads, changes and writes one shard of the ledger by compare-and-swap.
//!
//! A sync is one read-modify-write of the shard. One call is in flight at a time, and one write contains this router's
//! changes to all budgets of the shard. After a write without a reply the shard is read again: only a later index
//! proves that the write can no longer take effect.

mod accounts;
mod copies;
mod draft;
mod due;
mod replies;
mod restores;

use crate::{backoff, grants, ids, ledger, store};
use std::{collections, fmt};

/// The interval at which the accounts are checked for changes while no sync is requested.
const CHECK_INTERVAL_MS: u64 = 100;
const BACKOFF_BASE_MS: u64 = 20;
const BACKOFF_LIMIT_MS: u64 = 5_000;

/// The time and the parts of a router's state that a [`Writer`] needs in order to sync (read, change and write back) a
/// shard of the ledger, the stored record of all token budgets. The router passes it to each call.
#[allow(missing_debug_implementations)]
pub struct Context<'a> {
    /// The current time in milliseconds.
    pub now_ms: u64,
    /// This router's incarnation, under which the ledger contains its grants.
    pub holder: ids::Incarnation,
    /// This router's entry among the holders of the ledger.
    pub description: &'a ledger::Holder,
    /// The number of routers that share the remaining tokens.
    pub routers: u64,
    /// Whether the router is stopping, so that grants without running requests are closed.
    pub stopping: bool,
    /// Returns how it is known that a holder has certainly terminated; `None` if it may still run.
    pub termination: &'a dyn Fn(ids::Incarnation, &ledger::Holder) -> Option<ledger::Termination>,
    /// Whether other routers have had time to write their copies of the ledger back to a restored store.
    pub recovery_window_over: bool,
    /// Nothing is drawn before this time, so that after a restore of the store other routers can first write their
    /// copies of the ledger back.
    pub draw_not_before_ms: u64,
    /// Whether tokens that the configuration pays in may be drawn.
    pub prepaid_state: PrepaidState,
}

impl Context<'_> {
    /// Whether tokens may be drawn now.
    pub fn may_draw(&self) -> bool {
        self.now_ms >= self.draw_not_before_ms
    }
}

/// A value of a [`ledger::Shard`], one part of the stored record of all token budgets, that is to be stored if the
/// stored one still has the expected index (compare-and-swap). It contains this router's changes to the budgets of the
/// shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The index of the value to replace.
    pub expected_index: store::Position,
    /// The value to store under the shard's key.
    pub value: Vec<u8>,
    /// Whether the write also sets the marker of the store's era.
    pub sets_era_marker: bool,
}

/// What a sync (a read-modify-write of one [`ledger::Shard`], a part of the stored record of all token budgets) showed
/// or changed, reported by a [`Writer`] to its router. The router logs it, admits requests that wait for tokens, or
/// sends copies of the shard to other routers.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// The accounts were updated from a newer state of the ledger.
    AccountsUpdated,
    /// A write drew tokens or closed grants, so other routers should get a copy of the value.
    GrantsChanged,
    /// Another router wrote off the grants of this running router, which may no longer draw tokens.
    WrittenOff,
    /// The grants of a terminated holder were closed.
    TerminatedHolderClosed {
        /// The router incarnation that held the grants.
        holder: ids::Incarnation,
        /// The tokens that count as spent although the holder has not reported them as consumed.
        written_off_tokens: u64,
        /// The grants that were closed.
        grants: Vec<ledger::WrittenOffGrant>,
    },
    /// The other router incarnations with grants in the shard, with their addresses.
    Holders(Vec<(ids::Incarnation, String)>),
    /// The value in the store is unusable, for this reason; nothing is drawn.
    Unusable(String),
}

/// One router's decision, after the store was restored from a backup, on how many tokens stay withheld in a
/// [`ledger::Shard`], one part of the stored record of all token budgets, because routers may have taken them and the
/// restore lost the record. The router makes it from the replies of all routers on whether they have written their
/// records of taken tokens back to the store, and applies it with its next write of the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryDecision {
    /// The number of silent routers: those that have not confirmed that all their draws are recorded again. Each of
    /// them can have spent only a part of the undrawn tokens by draws that no other router has a copy of. `None` if
    /// there are too many for this bound.
    pub silent_routers: Option<u64>,
    /// Whether no router is left that could still report those draws.
    pub is_final: bool,
}

impl fmt::Display for RecoveryDecision {
    /// The value of the key `verdict` in log lines.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Verdict {{ silent: {:?}, is_final: {} }}", self.silent_routers, self.is_final)
    }
}

/// Whether tokens that the operator's configuration pays into a budget may be drawn, that is, moved into a router's
/// grant. The cases depend on whether the store was restored recently, since the tokens may have been paid in and drawn
/// before the restore.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrepaidState {
    /// It is not known yet whether the store was restored recently, so nothing is paid in.
    Undecided,
    /// The store was restored recently. The tokens are paid in but withheld, as they may have been paid in and drawn
    /// before.
    Withheld,
    /// The tokens may be drawn: the store was never restored, or the budgets that the last restore lost are in the
    /// ledger again.
    Drawable,
}

#[derive(Debug)]
enum State {
    Idle,
    Reading(ids::CallId),
    Writing { call: ids::CallId, base_index: store::Position, draft: Box<ledger::Shard> },
}

/// Syncs one router's token accounts ([`grants::Account`], its state of each budget) with one [`ledger::Shard`], a part
/// of the stored record of all token budgets: it reads the shard, computes the tokens to take or return, and writes the
/// changed value by compare-and-swap.
#[derive(Debug)]
pub struct Writer {
    shard: u32,
    state: State,
    /// The index of the value that a write of unknown result was to replace.
    unresolved_write_index: Option<store::Position>,
    backoff: backoff::Backoff,
    not_before_ms: u64,
    last_sync_ms: u64,
    /// The latest index of the shard's value in a reply of the store.
    latest_index: store::Position,
    checked_ms: u64,
    terminated_in_draft: Vec<Event>,
    sync_requested: bool,
    /// Whether the present sync was requested, so that another one follows if it fails.
    current_sync_requested: bool,
    stale: bool,
    /// The latest state that this router read or wrote, with an index of the era in which it was written.
    last_seen: Option<(store::Position, ledger::Shard)>,
    /// Whether the last reply showed that `last_seen` is the value in the store, so that the next write needs no read.
    last_seen_is_current: bool,
    /// The latest state received from other routers, with its position.
    peer_copy: Option<(store::Position, ledger::Shard)>,
    /// The accounts with tokens that were being returned when the store was restored, as slot, granted tokens and
    /// returning tokens. Whether that write was applied is not known, so the return is repeated.
    interrupted_returns: Vec<(ids::BudgetSlot, u64, u64)>,
    /// The number of drafts so far. It identifies this router's writes in [`ledger::Shard::writes`].
    draft_count: u64,
    /// The number of writes in a row that failed because another router had written the shard first, and were repeated
    /// at once.
    overtaken_writes: u32,
    /// The index of the last unusable value that was reported, so that it is reported once.
    unusable_index: Option<store::Position>,
    /// Lower reserves that are not in effect yet, by budget, and when each was first read from the store.
    next_reserves: collections::BTreeMap<String, (ledger::NextReserve, u64)>,
    /// Budgets whose withheld tokens an operator has released.
    released: collections::BTreeSet<String>,
    /// Draws that too few other routers are known to have a copy of, the oldest first.
    unreplicated: Vec<copies::UnreplicatedDraw>,
    /// When copies were last sent.
    copies_sent_ms: u64,
    /// When the call in flight was started.
    call_started_ms: u64,
    /// When the last call was started whose reply had a state of the shard in an era, by era.
    read_times_ms: collections::BTreeMap<u64, u64>,
    /// The latest recovery decision and the era for which it was made.
    recovery_decision: Option<(u64, RecoveryDecision)>,
    /// Whether the first answer that this router read showed that the shard had never been written.
    was_missing: Option<bool>,
}

impl Writer {
    /// Creates a writer that has not read its shard yet.
    pub fn new(shard: u32) -> Self {
        Self {
            shard,
            state: State::Idle,
            unresolved_write_index: None,
            backoff: backoff::Backoff::new(BACKOFF_BASE_MS, BACKOFF_LIMIT_MS),
            not_before_ms: 0,
            last_sync_ms: 0,
            latest_index: store::Position::START,
            checked_ms: 0,
            terminated_in_draft: Vec::new(),
            sync_requested: false,
            current_sync_requested: false,
            stale: true,
            last_seen: None,
            last_seen_is_current: false,
            peer_copy: None,
            interrupted_returns: Vec::new(),
            draft_count: 0,
            overtaken_writes: 0,
            unusable_index: None,
            next_reserves: Default::default(),
            released: Default::default(),
            unreplicated: Vec::new(),
            copies_sent_ms: 0,
            call_started_ms: 0,
            read_times_ms: Default::default(),
            recovery_decision: None,
            was_missing: None,
        }
    }

    /// Requests a sync as soon as possible, because a request waits for tokens or a holder may have terminated.
    pub fn request_sync(&mut self) {
        self.sync_requested = true;
    }

    /// Whether the shard had never been written when this router first read it; `None` before that.
    pub fn was_missing(&self) -> Option<bool> {
        self.was_missing
    }

    /// Whether a call is in flight or the result of a write is not known.
    pub fn busy(&self) -> bool {
        !matches!(self.state, State::Idle) || self.unresolved_write_index.is_some()
    }

    /// Whether the last call failed or its result is not known.
    pub fn unanswered(&self) -> bool {
        self.stale && self.backoff.failures() > 0
    }

    /// The number of calls that failed since the last one that succeeded.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Whether `due` must be evaluated. This is a cheap check that runs first, on every tick.
    pub fn may_be_due(&self, now_ms: u64) -> bool {
        let required = self.sync_requested || self.unresolved_write_index.is_some();
        let check_due = required || now_ms >= self.checked_ms + CHECK_INTERVAL_MS;
        check_due && matches!(self.state, State::Idle) && now_ms >= self.not_before_ms
    }

    /// Whether a sync is due now.
    pub fn due(&mut self, table: &grants::Table, context: &Context<'_>) -> bool {
        if !self.may_be_due(context.now_ms) {
            return false;
        }
        if self.sync_requested || self.unresolved_write_index.is_some() {
            return true;
        }
        self.checked_ms = context.now_ms;
        let elapsed_ms = context.now_ms.saturating_sub(self.last_sync_ms);
        let mut accounts = table.in_shard(self.shard).iter().map(|slot| table.account(*slot));
        if self.stale {
            // A router that neither holds nor draws from a budget of the shard needs no current state of it.
            return accounts
                .any(|account| account.holder || account.draws_on_demand || account.has_grant);
        }
        accounts.any(|account| {
            due::is_due(account, elapsed_ms, context)
                || (account.holder && self.next_reserve_applies(account, context.now_ms))
        })
    }

    /// Starts a sync: with a write, if the value in the store is known and a change is due, otherwise with a read of
    /// the shard. Returns the call of the store to make.
    pub fn start(
        &mut self,
        call: ids::CallId,
        table: &mut grants::Table,
        context: &Context<'_>,
    ) -> store::Request {
        self.current_sync_requested = std::mem::take(&mut self.sync_requested);
        self.call_started_ms = context.now_ms;
        let key = ledger::key(self.shard);
        let current = std::mem::take(&mut self.last_seen_is_current);
        let usable = current && !self.stale && self.unresolved_write_index.is_none();
        if let Some((base_index, shard)) = self.last_seen.take_if(|_| usable) {
            let draft = self.draft(&shard, base_index.era, table, context);
            let changed = draft != shard;
            self.last_seen = Some((base_index, shard));
            if changed {
                let value = draft.encode();
                self.state = State::Writing { call, base_index, draft: Box::new(draft) };
                let expected_index = base_index;
                return store::Request::Write {
                    key,
                    expected_index,
                    value,
                    sets_era_marker: false,
                };
            }
        }
        self.state = State::Reading(call);
        store::Request::Read { key }
    }

    /// Sets the id of the call that sends the write which [`Writer::handle_reply`] returned.
    pub fn set_write_call(&mut self, call: ids::CallId) {
        if let State::Writing { call: slot, .. } = &mut self.state {
            *slot = call;
        }
    }
}
