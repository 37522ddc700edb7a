//! Handles the store's replies to a writer's calls.

use super::{BACKOFF_LIMIT_MS, Context, Event, PrepaidState, State, Write, Writer};
use crate::{grants, ids, ledger, store};
use rand::rngs;

/// The number of writes in a row that are repeated at once after another router's write was applied before them. After
/// one more, the writer backs off before it writes again.
const OVERTAKEN_WRITES_MAX: u32 = 3;
const BACKOFF_LIMIT_MIN_MS: u64 = 400;
const BACKOFF_LIMIT_PER_ROUTER_MS: u64 = 6;
/// The fault reported for a value that is not in the store's encoding.
const UNDECODABLE_FAULT: &str = "the value is not encoded as the store encodes values";
/// The fault reported for a value that existed before. If the shard started again from nothing, tokens that were spent
/// could be spent again.
const REMOVED_FAULT: &str = "the value was removed";

impl Writer {
    /// Handles a reply. Returns the write to send next, if there is one, and the events.
    pub fn handle_reply(
        &mut self,
        call: ids::CallId,
        reply: store::Reply,
        table: &mut grants::Table,
        context: &Context<'_>,
        rng: &mut rngs::StdRng,
    ) -> (Option<Write>, Vec<Event>) {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Reading(expected) if expected == call => {
                self.handle_read_reply(reply, table, context, rng)
            }
            State::Writing { call: expected, base_index, draft } if expected == call => match reply
            {
                store::Reply::ConflictWith { index, value }
                    if self.overtaken_writes < OVERTAKEN_WRITES_MAX =>
                {
                    self.overtaken_writes += 1;
                    self.unresolved_write_index = self.unresolved_write_index.or(Some(base_index));
                    self.handle_read_reply(
                        store::Reply::Found { index, value },
                        table,
                        context,
                        rng,
                    )
                }
                reply => {
                    (None, self.handle_write_reply(reply, base_index, *draft, table, context, rng))
                }
            },
            // A late reply to an abandoned call is ignored.
            other => {
                self.state = other;
                (None, Vec::new())
            }
        }
    }

    /// Reports a value that cannot be used, once for each index. Nothing is drawn from the shard and its value is not
    /// overwritten, because its tokens were paid for and an operator may repair it. Holders go on with the grants that
    /// they have.
    fn report_unusable(
        &mut self,
        index: store::Position,
        fault: &str,
        context: &Context<'_>,
        rng: &mut rngs::StdRng,
    ) -> Vec<Event> {
        self.record_failure(context, rng);
        match self.unusable_index.replace(index) {
            Some(reported) if reported == index => Vec::new(),
            _ => vec![Event::Unusable(fault.to_owned())],
        }
    }

    fn handle_read_reply(
        &mut self,
        reply: store::Reply,
        table: &mut grants::Table,
        context: &Context<'_>,
        rng: &mut rngs::StdRng,
    ) -> (Option<Write>, Vec<Event>) {
        match &reply {
            store::Reply::Missing { .. } => _ = self.was_missing.get_or_insert(true),
            store::Reply::Found { .. } | store::Reply::Undecodable { .. } => {
                self.was_missing.get_or_insert(false);
            }
            _ => {}
        }
        let (index, value) = match reply {
            store::Reply::Found { index, value } if index >= self.latest_index => (index, value),
            store::Reply::Missing { era }
                if self.latest_index.revision > 0
                    && (era == self.latest_index.era || self.last_seen.is_none()) =>
            {
                return (
                    None,
                    self.report_unusable(self.latest_index, REMOVED_FAULT, context, rng),
                );
            }
            store::Reply::Missing { era } => {
                return self.handle_missing(era, table, context, rng);
            }
            store::Reply::Undecodable { index } => {
                return (None, self.report_unusable(index, UNDECODABLE_FAULT, context, rng));
            }
            _ => {
                self.record_failure(context, rng);
                return (None, Vec::new());
            }
        };
        self.latest_index = index;
        self.record_read(index.era);
        let shard = match ledger::Shard::decode(&value) {
            Ok(shard) => shard,
            Err(error) => {
                return (None, self.report_unusable(index, &error.to_string(), context, rng));
            }
        };
        let definite =
            self.unresolved_write_index.is_none_or(|base| is_resolved(base, index, &shard));
        let changed_shard = self.recover(&shard, index, table, context);
        let recovered = changed_shard.as_ref().unwrap_or(&shard);
        let is_of_current_era = shard.written_era() == index.era;
        let mut events = self.apply_shard(recovered, definite, is_of_current_era, table, context);
        if events.contains(&Event::WrittenOff) {
            return (None, events);
        }
        if definite {
            self.unresolved_write_index = None;
        }
        self.stale = false;
        self.backoff.reset();
        let draft = match recovered.is_restored(index) {
            true => recovered.clone(),
            false => self.draft(recovered, index.era, table, context),
        };
        if draft == shard && self.unresolved_write_index.is_none() {
            self.store_last_seen(index, shard);
            self.record_success(context.now_ms);
            if !context.may_draw() {
                self.sync_requested |= self.current_sync_requested;
                self.not_before_ms = context.draw_not_before_ms;
            }
            events.push(Event::AccountsUpdated);
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

    /// Handles a missing value: drafts the first one, with the prepaid amounts of the configuration.
    fn handle_missing(
        &mut self,
        era: u64,
        table: &mut grants::Table,
        context: &Context<'_>,
        rng: &mut rngs::StdRng,
    ) -> (Option<Write>, Vec<Event>) {
        self.record_read(era);
        if context.prepaid_state == PrepaidState::Undecided {
            self.record_failure(context, rng);
            return (None, Vec::new());
        }
        self.record_success(context.now_ms);
        self.stale = false;
        let index = store::Position { era, revision: 0 };
        let first_era = self.latest_before(era).map_or(era, |(position, _)| position.era);
        let empty = ledger::Shard { era: Some(first_era), ..ledger::Shard::default() };
        let changed_shard = self.recover(&empty, index, table, context);
        let recovered = changed_shard.as_ref().unwrap_or(&empty);
        let mut events = self.apply_shard(recovered, true, changed_shard.is_none(), table, context);
        if events.contains(&Event::WrittenOff) {
            return (None, events);
        }
        let draft = self.draft(recovered, era, table, context);
        if draft == empty {
            events.push(Event::AccountsUpdated);
            return (None, events);
        }
        (Some(self.write(index, draft, era > 0)), events)
    }

    fn handle_write_reply(
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
                    self.record_read(era);
                }
                let is_of_current_era = reply.era().is_none_or(|era| draft.written_era() == era);
                match reply {
                    store::Reply::WrittenAt { index } => {
                        self.latest_index = index;
                        self.store_last_seen(index, draft.clone());
                    }
                    // The reply has no index, so the state is stored with the index of the one that it replaced.
                    _ => self.last_seen = Some((base_index, draft.clone())),
                }
                self.overtaken_writes = 0;
                self.unresolved_write_index = None;
                let withholds = |budget: &ledger::Budget| !budget.withheld.is_none();
                self.released.retain(|name| draft.budgets.get(name).is_some_and(withholds));
                if is_of_current_era {
                    self.interrupted_returns.clear();
                }
                self.last_sync_ms = context.now_ms;
                self.record_success(context.now_ms);
                let changed = self.grants_changed(&draft, table, context);
                let mut events = self.apply_shard(&draft, true, is_of_current_era, table, context);
                events.extend(changed.then_some(Event::GrantsChanged));
                events.append(&mut self.terminated_in_draft);
                events.push(Event::AccountsUpdated);
                events
            }
            store::Reply::Conflict
            | store::Reply::ConflictWith { .. }
            | store::Reply::Undecodable { .. } => {
                self.overtaken_writes = 0;
                // This write had no effect. The write that it lost to may be an earlier one of this router without a
                // reply.
                self.unresolved_write_index = self.unresolved_write_index.or(Some(base_index));
                self.sync_requested = true;
                let delay = self.backoff.next_delay_ms(rng);
                self.not_before_ms = context.now_ms + delay;
                Vec::new()
            }
            _ => {
                self.unresolved_write_index = Some(base_index);
                self.record_failure(context, rng);
                Vec::new()
            }
        }
    }

    fn record_success(&mut self, now_ms: u64) {
        self.backoff.reset();
        self.not_before_ms = now_ms;
        self.last_sync_ms = now_ms;
    }

    fn record_failure(&mut self, context: &Context<'_>, rng: &mut rngs::StdRng) {
        self.stale = true;
        self.sync_requested |= self.current_sync_requested;
        // A small fleet retries soon after an outage; a large one must not overload the store.
        let limit_ms = context.routers.saturating_mul(BACKOFF_LIMIT_PER_ROUTER_MS);
        self.backoff.set_limit_ms(limit_ms.clamp(BACKOFF_LIMIT_MIN_MS, BACKOFF_LIMIT_MS));
        self.not_before_ms = context.now_ms + self.backoff.next_delay_ms(rng);
    }
}

/// Whether a write at `base` without a known result can no longer take effect, given the shard read at `index`. A write
/// of an earlier era is refused once the shard has been written in the current one.
fn is_resolved(base: store::Position, index: store::Position, shard: &ledger::Shard) -> bool {
    match base.era == index.era {
        true => index > base,
        false => index > base && shard.written_era() == index.era,
    }
}
