//! Reads, changes and writes one shard of the ledger by compare-and-swap.
//!
//! One call is in flight at a time. All that this router wants of the shard's budgets goes into one
//! write. After a write with no reply the shard is read again: only an index that moved on proves
//! that the write cannot apply any more.

mod accounts;
mod copies;
mod draft;
mod due;
mod replies;
mod restores;

use crate::{backoff, grants, ids, ledger, store};
use std::{collections, fmt};

/// How often the accounts are looked through while nothing is urgent.
const LOOK_EVERY_MS: u64 = 100;
const BACKOFF_BASE_MS: u64 = 20;
const BACKOFF_LIMIT_MS: u64 = 5_000;

/// What the writer must know of its router.
#[allow(missing_debug_implementations)]
pub struct Context<'a> {
    /// The present time.
    pub now_ms: u64,
    /// This router's life.
    pub holder: ids::Incarnation,
    /// What the ledger shows of this router.
    pub description: &'a ledger::Holder,
    /// How many routers share what remains.
    pub routers: u64,
    /// The router stops: close what is settled.
    pub stopping: bool,
    /// Tells whether a holder can certainly not run any more.
    pub gone: &'a dyn Fn(ids::Incarnation, &ledger::Holder) -> bool,
    /// Whether other routers had time to write what they know back to a restored store.
    pub recovery_window_over: bool,
    /// Nothing is drawn before this time, so that after a restore other routers can first write back what they know.
    pub draw_not_before_ms: u64,
}

impl Context<'_> {
    /// Whether tokens may be drawn now.
    pub fn may_draw(&self) -> bool {
        self.now_ms >= self.draw_not_before_ms
    }
}

/// A conditional write of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    /// The index of the value to replace.
    pub expected_index: store::Position,
    /// The new value.
    pub value: Vec<u8>,
    /// Whether the write also sets the marker of the store's era.
    pub sets_era_marker: bool,
}

/// What happened, for logs and for what waits on it.
#[derive(Debug, PartialEq, Eq)]
pub enum Event {
    /// The accounts follow a newer state of the store.
    Followed,
    /// A write drew tokens or closed grants, so other routers should get a copy of the value.
    GrantsChanged,
    /// Another router counted this live one as gone: it may draw no more.
    WrittenOff,
    /// A dead holder's grants were closed.
    ClosedDead {
        /// The dead holder.
        holder: ids::Incarnation,
        /// What was counted as spent without a report of it.
        written_off_tokens: u64,
        /// The grants.
        grants: Vec<ledger::DeadGrant>,
    },
    /// These other lives hold grants in the shard, at these addresses.
    Holders(Vec<(ids::Incarnation, String)>),
    /// The value in the store is unusable; nothing is drawn.
    Unusable(String),
}

/// What was found out of draws that may be unknown since a restore of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// How many routers may have drawn what the others do not know of; each of them only a part. `None` if too many may
    /// have for that.
    pub silent: Option<u64>,
    /// Whether nobody is left who could tell what they have drawn.
    pub is_final: bool,
}

impl fmt::Display for Verdict {
    /// The value of the key `verdict` in log lines.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Verdict {{ silent: {:?}, is_final: {} }}", self.silent, self.is_final)
    }
}

/// What becomes of tokens that the configuration pays in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Payments {
    /// It is not known whether the store was restored lately: nothing is paid in.
    Undecided,
    /// The store was restored lately, so they may have been paid in and drawn before.
    Withheld,
    /// They may be drawn.
    #[default]
    Drawable,
}

#[derive(Debug)]
enum State {
    Idle,
    Reading(ids::CallId),
    Writing { call: ids::CallId, base_index: store::Position, draft: Box<ledger::Shard> },
}

/// The writer of one shard.
#[derive(Debug)]
pub struct Writer {
    shard: u32,
    state: State,
    /// A write at this index has no known end.
    unsettled_index: Option<store::Position>,
    backoff: backoff::Backoff,
    not_before_ms: u64,
    reported_ms: u64,
    seen_index: store::Position,
    looked_ms: u64,
    dead_in_draft: Vec<Event>,
    urgent: bool,
    /// The round at hand was asked for: if it fails, another one follows.
    asked_for: bool,
    stale: bool,
    /// The latest state that this router saw, with an index of the era in which it was written.
    last_seen: Option<(store::Position, ledger::Shard)>,
    /// The last reply showed that the store holds this state, so the next write needs no read.
    last_seen_is_current: bool,
    /// The latest state received from other routers.
    peer_copy: Option<(store::Position, ledger::Shard)>,
    /// Own accounts with tokens that were being returned when the store was restored: the account, its granted tokens
    /// and the returned ones. Whether that write was applied is unknown, so the return is repeated.
    interrupted_returns: Vec<(ids::BudgetSlot, u64, u64)>,
    /// The number of drafts so far; identifies this router's writes in [`ledger::Shard::writes`].
    draft_count: u64,
    /// Writes in a row that another router's write came before.
    overtaken: u32,
    /// The unusable value that was reported.
    unusable_index: Option<store::Position>,
    /// What becomes of tokens that the configuration pays in.
    payments: Payments,
    /// Lower reserves that are not in effect yet, by budget, and since when the store has held them.
    next_reserves: collections::BTreeMap<String, (ledger::NextReserve, u64)>,
    /// Budgets of which an operator releases what is withheld.
    released: collections::BTreeSet<String>,
    /// Draws of which too few other routers are known to have a copy, the oldest first.
    uncopied: Vec<copies::Uncopied>,
    /// When copies were sent last.
    copies_sent_ms: u64,
    /// When the call in flight was started.
    call_started_ms: u64,
    /// When the last call was started that showed the shard in an era, by era.
    reads_ms: collections::BTreeMap<u64, u64>,
    /// What became of the draws that may be unknown since a restore, as found out in an era.
    verdict: Option<(u64, Verdict)>,
}

impl Writer {
    /// A writer that has read nothing yet.
    pub fn new(shard: u32) -> Self {
        Self {
            shard,
            state: State::Idle,
            unsettled_index: None,
            backoff: backoff::Backoff::new(BACKOFF_BASE_MS, BACKOFF_LIMIT_MS),
            not_before_ms: 0,
            reported_ms: 0,
            seen_index: store::Position::START,
            looked_ms: 0,
            dead_in_draft: Vec::new(),
            urgent: false,
            asked_for: false,
            stale: true,
            last_seen: None,
            last_seen_is_current: false,
            peer_copy: None,
            interrupted_returns: Vec::new(),
            draft_count: 0,
            overtaken: 0,
            unusable_index: None,
            payments: Payments::default(),
            next_reserves: Default::default(),
            released: Default::default(),
            uncopied: Vec::new(),
            copies_sent_ms: 0,
            call_started_ms: 0,
            reads_ms: Default::default(),
            verdict: None,
        }
    }

    /// Asks for a fresh read, because a request waits or a holder may be gone.
    pub fn poke(&mut self) {
        self.urgent = true;
    }

    /// Whether a call is in flight or has no known end.
    pub fn busy(&self) -> bool {
        !matches!(self.state, State::Idle) || self.unsettled_index.is_some()
    }

    /// Whether the last call got no answer.
    pub fn unanswered(&self) -> bool {
        self.stale && self.backoff.failures() > 0
    }

    /// How many calls failed since one succeeded.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Whether `due` is worth asking: a cheap look first, since this is asked each tick.
    pub fn may_be_due(&self, now_ms: u64) -> bool {
        let pressing = self.urgent || self.unsettled_index.is_some();
        let looks = pressing || now_ms >= self.looked_ms + LOOK_EVERY_MS;
        looks && matches!(self.state, State::Idle) && now_ms >= self.not_before_ms
    }

    /// Whether there is something to read or write now.
    pub fn due(&mut self, table: &grants::Table, context: &Context<'_>) -> bool {
        if !self.may_be_due(context.now_ms) {
            return false;
        }
        if self.urgent || self.unsettled_index.is_some() {
            return true;
        }
        self.looked_ms = context.now_ms;
        let since_ms = context.now_ms.saturating_sub(self.reported_ms);
        let mut accounts = table.in_shard(self.shard).iter().map(|slot| table.account(*slot));
        if self.stale {
            // Whoever neither holds nor draws of a shard has no need to know it.
            return accounts.any(|account| account.holder || account.draws || account.has_row);
        }
        accounts.any(|account| {
            due::is_due(account, since_ms, context)
                || (account.holder && self.next_reserve_applies(account, context.now_ms))
        })
    }

    /// Starts a round: by a write, if it is known what lies there and something is to be changed, or
    /// else by reading the shard.
    pub fn start(
        &mut self,
        call: ids::CallId,
        table: &mut grants::Table,
        context: &Context<'_>,
    ) -> store::Request {
        self.asked_for = std::mem::take(&mut self.urgent);
        self.call_started_ms = context.now_ms;
        let key = ledger::key(self.shard);
        let current = std::mem::take(&mut self.last_seen_is_current);
        let usable = current && !self.stale && self.unsettled_index.is_none();
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

    /// Records the call by which the write that `reply` returned goes out.
    pub fn writing(&mut self, call: ids::CallId) {
        if let State::Writing { call: slot, .. } = &mut self.state {
            *slot = call;
        }
    }
}
