//! Processes the store's replies to a writer's calls.

use super::{BACKOFF_LIMIT_MS, Context, Event, Payments, State, Write, Writer};
use crate::{grants, ids, ledger, store};
use rand::rngs;

/// After so many the writer backs off before it writes again.
const OVERTAKEN_MAX: u32 = 3;
const BACKOFF_LIMIT_MIN_MS: u64 = 400;
const BACKOFF_LIMIT_PER_ROUTER_MS: u64 = 6;
/// What is said of a value that the store cannot have encoded.
const UNDECODABLE: &str = "the value is not encoded as the store encodes values";
/// What is said of a value that was there: a ledger that began anew would spend again what was spent.
const REMOVED: &str = "the value was removed";

impl Writer {
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
                store::Reply::ConflictWith { index, value } if self.overtaken < OVERTAKEN_MAX => {
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
                return self.on_missing(era, table, context, rng);
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
        self.note_read(index.era);
        let shard = match ledger::Shard::decode(&value) {
            Ok(shard) => shard,
            Err(error) => {
                return (None, self.unusable(index, &error.to_string(), context, rng));
            }
        };
        let definite = self.unsettled_index.is_none_or(|base| is_settled(base, index, &shard));
        let changed_shard = self.recover(&shard, index, table, context);
        let recovered = changed_shard.as_ref().unwrap_or(&shard);
        let is_of_current_era = shard.written_era() == index.era;
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
        let sets_era_marker = shard.is_restored(index);
        (Some(self.write(index, draft, sets_era_marker)), events)
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

    /// There is no ledger yet: it begins with what the configuration says is paid in, if that says so.
    fn on_missing(
        &mut self,
        era: u64,
        table: &mut grants::Table,
        context: &Context<'_>,
        rng: &mut rngs::StdRng,
    ) -> (Option<Write>, Vec<Event>) {
        self.note_read(era);
        if self.payments == Payments::Undecided {
            self.fail(context, rng);
            return (None, Vec::new());
        }
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
                if let Some(era) = reply.era() {
                    self.note_read(era);
                }
                let is_of_current_era = reply.era().is_none_or(|era| draft.written_era() == era);
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
                let withholds = |budget: &ledger::Budget| !budget.withheld.is_none();
                self.released.retain(|name| draft.budgets.get(name).is_some_and(withholds));
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
            | store::Reply::ConflictWith { .. }
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
}

/// Whether a write at `base` without a known result can no longer take effect, given the shard read at `index`. A write
/// of an earlier era is refused once the shard has been written in the current one.
fn is_settled(base: store::Position, index: store::Position, shard: &ledger::Shard) -> bool {
    match base.era == index.era {
        true => index > base,
        false => index > base && shard.written_era() == index.era,
    }
}
