//! Reads, changes and writes one shard of the ledger by compare-and-swap.
//!
//! One call is in flight at a time. All that this router wants of the shard's budgets goes into one
//! write. After a write with no reply the shard is read again: only an index that moved on proves
//! that the write cannot apply any more.

mod draft;
mod due;

use crate::{backoff, grants, ids, ledger, store};
use rand::rngs;

/// How often the accounts are looked through while nothing is urgent.
const LOOK_EVERY_MS: u64 = 100;
/// After so many the writer backs off before it writes again.
const OVERTAKEN_MAX: u32 = 3;
const BACKOFF_BASE_MS: u64 = 20;
const BACKOFF_LIMIT_MS: u64 = 5_000;
const BACKOFF_LIMIT_MIN_MS: u64 = 400;
const BACKOFF_LIMIT_PER_ROUTER_MS: u64 = 6;
/// What is said of a value that the store cannot have encoded.
const UNDECODABLE: &str = "the value is not encoded as the store encodes values";
/// What is said of a value that was there: a ledger that began anew would spend again what was spent.
const REMOVED: &str = "the value was removed";

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
        }
    }

    /// Asks for a fresh read, because a request waits or a holder may be gone.
    pub fn poke(&mut self) {
        self.urgent = true;
    }

    /// Resets the writer after a restore of the store: abandons the call in flight and schedules the recovery of the
    /// last seen state.
    pub fn restored(&mut self, era: u64, table: &grants::Table) {
        if let State::Writing { base_index, .. } = std::mem::replace(&mut self.state, State::Idle) {
            self.unsettled_index = self.unsettled_index.or(Some(base_index));
        }
        self.last_seen_is_current = false;
        self.stale = true;
        self.overtaken = 0;
        self.backoff.reset();
        self.not_before_ms = 0;
        let known = self.last_seen.iter().chain(&self.peer_copy);
        self.urgent |= known.into_iter().any(|(position, _)| position.era < era);
        if self.unsettled_index.is_some() && self.interrupted_returns.is_empty() {
            let accounts =
                table.in_shard(self.shard).iter().map(|slot| (*slot, table.account(*slot)));
            let returning = accounts.filter(|(_, account)| account.returning_tokens > 0);
            let row = |(slot, account): (ids::BudgetSlot, &grants::Account)| {
                (slot, account.granted_tokens, account.returning_tokens)
            };
            self.interrupted_returns = returning.map(row).collect();
        }
    }

    /// Stores a state of the shard that another router wrote. If it is of an earlier era than `era`, the store may have
    /// lost it, so a read is scheduled.
    pub fn take_peer_copy(&mut self, position: store::Position, shard: ledger::Shard, era: u64) {
        let copy = match self.peer_copy.take() {
            Some((_, copy)) if shard.includes(&copy) => (position, shard),
            Some((known, copy)) => (known.min(position), shard.combine(copy)),
            None => (position, shard),
        };
        self.urgent |= position.era < era;
        self.peer_copy = Some(copy);
    }

    /// The latest state of the shard that this router read or wrote.
    pub fn last_seen(&self) -> Option<&(store::Position, ledger::Shard)> {
        self.last_seen.as_ref()
    }

    /// The latest state of an earlier era than `era` that this router saw or received.
    fn latest_before(&self, era: u64) -> Option<(store::Position, ledger::Shard)> {
        let is_before = |known: &&(store::Position, ledger::Shard)| known.0.era < era;
        let seen = self.last_seen.as_ref().filter(is_before);
        let copy = self.peer_copy.as_ref().filter(is_before);
        match (seen, copy) {
            (Some((seen, shard)), Some((copied, copy))) => {
                Some(((*seen).max(*copied), shard.clone().combine(copy.clone())))
            }
            (known, None) | (None, known) => known.cloned(),
        }
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
        accounts.any(|account| due::is_due(account, since_ms, context))
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

    /// Takes a reply; returns the next call to make, if there is one, and what happened.
    pub fn reply(
        &mut self,
        call: ids::CallId,
        reply: store::Reply,
        table: &mut grants::Table,
        context: &Context<'_>,
        rng: &mut rngs::StdRng,
    ) -> (Option<Write>, Vec<Event>) {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Reading(expected) if expected == call => {
                self.on_read(reply, table, context, rng)
            }
            State::Writing { call: expected, base_index, draft } if expected == call => match reply
            {
                store::Reply::Overtaken { index, value } if self.overtaken < OVERTAKEN_MAX => {
                    self.overtaken += 1;
                    self.unsettled_index = self.unsettled_index.or(Some(base_index));
                    self.on_read(store::Reply::Found { index, value }, table, context, rng)
                }
                reply => (None, self.on_written(reply, base_index, *draft, table, context, rng)),
            },
            // A late reply to a call that was given up.
            other => {
                self.state = other;
                (None, Vec::new())
            }
        }
    }

    /// Records the call by which the write that `reply` returned goes out.
    pub fn writing(&mut self, call: ids::CallId) {
        if let State::Writing { call: slot, .. } = &mut self.state {
            *slot = call;
        }
    }

    /// Nothing is drawn of a shard that cannot be read, and nothing is written over it: what it holds was paid for, and
    /// may be mended. Holders go on with the grants that they have.
    fn unusable(
        &mut self,
        index: store::Position,
        fault: &str,
        context: &Context<'_>,
        rng: &mut rngs::StdRng,
    ) -> Vec<Event> {
        self.fail(context, rng);
        match self.unusable_index.replace(index) {
            Some(reported) if reported == index => Vec::new(),
            _ => vec![Event::Unusable(fault.to_owned())],
        }
    }

    fn on_read(
        &mut self,
        reply: store::Reply,
        table: &mut grants::Table,
        context: &Context<'_>,
        rng: &mut rngs::StdRng,
    ) -> (Option<Write>, Vec<Event>) {
        let (index, value) = match reply {
            store::Reply::Found { index, value } if index >= self.seen_index => (index, value),
            store::Reply::Missing { era }
                if self.seen_index.revision > 0
                    && (era == self.seen_index.era || self.last_seen.is_none()) =>
            {
                return (None, self.unusable(self.seen_index, REMOVED, context, rng));
            }
            store::Reply::Missing { era } => {
                return self.on_missing(era, table, context);
            }
            store::Reply::Undecodable { index } => {
                return (None, self.unusable(index, UNDECODABLE, context, rng));
            }
            _ => {
                self.fail(context, rng);
                return (None, Vec::new());
            }
        };
        self.seen_index = index;
        let shard = match ledger::Shard::decode(&value) {
            Ok(shard) => shard,
            Err(error) => {
                return (None, self.unusable(index, &error.to_string(), context, rng));
            }
        };
        let definite = self.unsettled_index.is_none_or(|base| is_settled(base, index, &shard));
        let changed_shard = self.recover(&shard, index, table, context);
        let recovered = changed_shard.as_ref().unwrap_or(&shard);
        let is_of_current_era = shard.era.is_none_or(|era| era == index.era);
        let mut events = self.follow(recovered, definite, is_of_current_era, table, context);
        if events.contains(&Event::WrittenOff) {
            return (None, events);
        }
        if definite {
            self.unsettled_index = None;
        }
        self.stale = false;
        self.backoff.reset();
        let draft = match recovered.is_restored(index) {
            true => recovered.clone(),
            false => self.draft(recovered, index.era, table, context),
        };
        if draft == shard && self.unsettled_index.is_none() {
            self.remember(index, shard);
            self.succeed(context.now_ms);
            if !context.may_draw() {
                self.urgent |= self.asked_for;
                self.not_before_ms = context.draw_not_before_ms;
            }
            events.push(Event::Followed);
            return (None, events);
        }
        let sets_era_marker = index.era > 0 && shard.era != Some(index.era);
        (Some(self.write(index, draft, sets_era_marker)), events)
    }

    /// Returns the recovered value with a new version vector entry of this router, or `None` if the value at `index`
    /// needs no change.
    fn recover(
        &mut self,
        shard: &ledger::Shard,
        index: store::Position,
        table: &grants::Table,
        context: &Context<'_>,
    ) -> Option<ledger::Shard> {
        let known = self.latest_before(index.era);
        let mut recovered = shard.recover(index, known.as_ref(), context.recovery_window_over);
        if !self.interrupted_returns.is_empty() {
            let recovered = recovered.get_or_insert_with(|| shard.clone());
            self.repeat_returns(recovered, table, context);
        }
        let mut recovered = recovered.filter(|recovered| recovered != shard)?;
        self.draft_count += 1;
        recovered.note_write(context.holder, self.draft_count);
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
            let row = shard.budgets.get(name).and_then(|it| it.grants.get(&context.holder));
            if row.is_some_and(|row| row.granted_tokens == *granted_tokens) {
                shard.give_back(name, context.holder, *tokens);
            }
        }
    }

    /// Enters the writing state and returns the write to send.
    fn write(
        &mut self,
        base_index: store::Position,
        draft: ledger::Shard,
        sets_era_marker: bool,
    ) -> Write {
        let value = draft.encode();
        let call = ids::CallId(0);
        self.state = State::Writing { call, base_index, draft: Box::new(draft) };
        Write { expected_index: base_index, value, sets_era_marker }
    }

    /// Stores a state of the shard as the last seen one, unless it was written in an earlier era.
    fn remember(&mut self, index: store::Position, shard: ledger::Shard) {
        self.last_seen_is_current = shard.era.is_none_or(|era| era == index.era);
        if self.last_seen_is_current {
            self.last_seen = Some((index, shard));
        }
    }

    /// There is no ledger yet: it begins with what the configuration says is paid in, if that says so.
    fn on_missing(
        &mut self,
        era: u64,
        table: &mut grants::Table,
        context: &Context<'_>,
    ) -> (Option<Write>, Vec<Event>) {
        self.succeed(context.now_ms);
        self.stale = false;
        let index = store::Position { era, revision: 0 };
        let first_era = self.latest_before(era).map_or(era, |(position, _)| position.era);
        let empty = ledger::Shard { era: Some(first_era), ..ledger::Shard::default() };
        let changed_shard = self.recover(&empty, index, table, context);
        let recovered = changed_shard.as_ref().unwrap_or(&empty);
        let mut events = self.follow(recovered, true, changed_shard.is_none(), table, context);
        if events.contains(&Event::WrittenOff) {
            return (None, events);
        }
        let draft = self.draft(recovered, era, table, context);
        if draft == empty {
            events.push(Event::Followed);
            return (None, events);
        }
        (Some(self.write(index, draft, era > 0)), events)
    }

    fn on_written(
        &mut self,
        reply: store::Reply,
        base_index: store::Position,
        draft: ledger::Shard,
        table: &mut grants::Table,
        context: &Context<'_>,
        rng: &mut rngs::StdRng,
    ) -> Vec<Event> {
        match reply {
            store::Reply::Written { .. } | store::Reply::WrittenAt { .. } => {
                let is_of_current_era = reply.era().is_none_or(|era| draft.era == Some(era));
                match reply {
                    store::Reply::WrittenAt { index } => {
                        self.seen_index = index;
                        self.remember(index, draft.clone());
                    }
                    // The reply has no index, so the state is stored with the index of the one that it replaced.
                    _ => self.last_seen = Some((base_index, draft.clone())),
                }
                self.overtaken = 0;
                self.unsettled_index = None;
                if is_of_current_era {
                    self.interrupted_returns.clear();
                }
                self.reported_ms = context.now_ms;
                self.succeed(context.now_ms);
                let changed = self.grants_changed(&draft, table, context);
                let mut events = self.follow(&draft, true, is_of_current_era, table, context);
                events.extend(changed.then_some(Event::GrantsChanged));
                events.append(&mut self.dead_in_draft);
                events.push(Event::Followed);
                events
            }
            store::Reply::Conflict
            | store::Reply::Overtaken { .. }
            | store::Reply::Undecodable { .. } => {
                self.overtaken = 0;
                // This write lost; an earlier one with no reply may be what it lost to.
                self.unsettled_index = self.unsettled_index.or(Some(base_index));
                self.urgent = true;
                let delay = self.backoff.next_delay_ms(rng);
                self.not_before_ms = context.now_ms + delay;
                Vec::new()
            }
            _ => {
                self.unsettled_index = Some(base_index);
                self.fail(context, rng);
                Vec::new()
            }
        }
    }

    /// Whether a written state raises or closes grants of this router, or closes those of dead holders.
    fn grants_changed(
        &self,
        shard: &ledger::Shard,
        table: &grants::Table,
        context: &Context<'_>,
    ) -> bool {
        let mut accounts = table.in_shard(self.shard).iter().map(|slot| table.account(*slot));
        let changed = accounts.any(|account| {
            let budget = shard.budgets.get(&account.name);
            let row = budget.and_then(|budget| budget.grants.get(&context.holder));
            match row {
                Some(row) => row.granted_tokens > account.granted_tokens,
                None => account.has_row,
            }
        });
        changed || !self.dead_in_draft.is_empty()
    }

    fn succeed(&mut self, now_ms: u64) {
        self.backoff.reset();
        self.not_before_ms = now_ms;
        self.reported_ms = now_ms;
    }

    fn fail(&mut self, context: &Context<'_>, rng: &mut rngs::StdRng) {
        self.stale = true;
        self.urgent |= self.asked_for;
        // A small fleet comes back soon after an outage; a large one must not crowd the store.
        let limit_ms = context.routers.saturating_mul(BACKOFF_LIMIT_PER_ROUTER_MS);
        self.backoff.set_limit_ms(limit_ms.clamp(BACKOFF_LIMIT_MIN_MS, BACKOFF_LIMIT_MS));
        self.not_before_ms = context.now_ms + self.backoff.next_delay_ms(rng);
    }

    fn follow(
        &mut self,
        shard: &ledger::Shard,
        definite: bool,
        is_of_current_era: bool,
        table: &mut grants::Table,
        context: &Context<'_>,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        for slot in table.in_shard(self.shard).to_vec() {
            let account = table.account_mut(slot);
            let budget = shard.budgets.get(&account.name);
            let row = budget.and_then(|budget| budget.grants.get(&context.holder));
            if account.has_row && row.is_none() && !context.stopping {
                events.push(Event::WrittenOff);
                return events;
            }
            account.closed |= account.has_row && row.is_none() && context.stopping;
            account.follow_store(row, definite);
            account.awaits_recovery &= !is_of_current_era;
            account.remaining_tokens =
                Some(budget.and_then(ledger::Budget::remaining_tokens).unwrap_or(0));
            account.held_tokens = budget.map_or(0, ledger::Budget::held_tokens);
            account.paid_tokens = budget.map_or(0, |budget| budget.paid_tokens);
            account.closed_spent_tokens = budget.map_or(0, |budget| budget.closed_spent_tokens);
            account.written_off_tokens = budget.map_or(0, |budget| budget.written_off_tokens);
            account.note_ledger_read(context.now_ms);
            account.rows = budget.map_or(0, |budget| budget.grants.len() as u64);
            account.others_rate_tokens_per_s =
                budget.map_or(0, |budget| budget.rate_beside(context.holder));
            account.overdrawn = budget.is_some_and(|budget| budget.remaining_tokens().is_none());
            if budget.is_some_and(|budget| budget.paid_version >= account.confirm_version) {
                account.confirm_version = 0;
            }
        }
        let others = shard.holders.iter().filter(|(id, _)| **id != context.holder);
        let others: Vec<_> = others.map(|(id, holder)| (*id, holder.address.clone())).collect();
        if !others.is_empty() {
            events.push(Event::Holders(others));
        }
        events
    }
}

/// Whether a write at `base` without a known result can no longer take effect, given the shard read at `index`. A write
/// of an earlier era is refused once the shard has been written in the current one.
fn is_settled(base: store::Position, index: store::Position, shard: &ledger::Shard) -> bool {
    match base.era == index.era {
        true => index > base,
        false => index > base && shard.era == Some(index.era),
    }
}
