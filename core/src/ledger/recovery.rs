//! Recovers a shard after the store was restored from a backup.
//!
//! Version vectors order the states that routers have copies of and the restored value. A state that includes all
//! writes of the restored value replaces it; concurrent states are merged.

use super::{Budget, ClosedTotals, Grant, Shard};
use crate::{ids, store};
use std::collections;

/// The number of version vector entries above which those of writers without grants are removed.
const WRITERS_MAX: usize = 32;

impl Shard {
    /// Whether the value read at `found` was written before the store was restored.
    pub fn is_restored(&self, found: store::Position) -> bool {
        self.written_era() < found.era
    }

    /// The store's era in which this value was written. Releases that wrote no era ran before any restore, so theirs is
    /// 0.
    pub fn written_era(&self) -> u64 {
        self.era.unwrap_or(0)
    }

    /// Returns the recovered value, or `None` if this value, which was read at `found`, needs no change. `last_seen` is
    /// the latest state that this router has a copy of. If this value is of an earlier era and strictly later than that
    /// state, or the router has no copy of an earlier era, it starts the current era only once the recovery window is
    /// over.
    pub fn recover(
        &self,
        found: store::Position,
        last_seen: Option<&(store::Position, Shard)>,
        recovery_window_over: bool,
    ) -> Option<Self> {
        let latest = last_seen.filter(|(position, _)| position.era < found.era);
        let restored = self.is_restored(found);
        let mut recovered = None;
        let mut may_begin_era = recovery_window_over;
        if let Some((_, shard)) = latest {
            let (includes, is_included) = (self.includes(shard), shard.includes(self));
            recovered = match (includes, is_included) {
                (true, _) => None,
                (false, true) if restored => Some(shard.clone()),
                (false, _) => Some(self.merge(shard)),
            };
            may_begin_era |= is_included || !includes;
        }
        if restored && may_begin_era {
            recovered.get_or_insert_with(|| self.clone()).begin_era(found.era, self);
        }
        recovered
    }

    /// Returns the later of two states, or their merge if they are concurrent.
    pub fn combine(self, other: Self) -> Self {
        match (self.includes(&other), other.includes(&self)) {
            (true, _) => self,
            (false, true) => other,
            (false, false) => self.merge(&other),
        }
    }

    /// Whether this state includes every write that the other one includes.
    pub fn includes(&self, other: &Self) -> bool {
        other.writes.iter().all(|(writer, count)| self.writes.get(writer) >= Some(count))
    }

    /// The writers of which this state includes later writes than the other one.
    fn later_writers(&self, other: &Self) -> collections::BTreeSet<ids::Incarnation> {
        let later =
            |(writer, count): &(&ids::Incarnation, &u64)| other.writes.get(writer) < Some(count);
        self.writes.iter().filter(later).map(|(writer, _)| *writer).collect()
    }

    /// Sets the version vector entry of a writer to the number of its latest write. If there are too many entries,
    /// those of writers without grants are removed.
    pub fn set_write_count(&mut self, writer: ids::Incarnation, count: u64) {
        self.writes.insert(writer, count);
        if self.writes.len() > WRITERS_MAX {
            let holders = &self.holders;
            let kept = [writer, super::PAYMENTS_WRITER];
            self.writes.retain(|id, _| kept.contains(id) || holders.contains_key(id));
        }
    }

    /// Makes this state the initial one of an era in which the store was restored from `backup`.
    fn begin_era(&mut self, era: u64, backup: &Self) {
        self.unconfirmed_since_era.get_or_insert(self.written_era() + 1);
        self.silent_routers = None;
        self.era = Some(era);
        let eras = era.saturating_sub(backup.written_era());
        for (name, budget) in &mut self.budgets {
            budget.closed_before = budget.closed_totals();
            budget.begin_era(backup.budgets.get(name), eras);
        }
    }

    /// Merges the changes of a state of the lost history, which are missing from the state with which this era started.
    fn merge(&self, lost: &Self) -> Self {
        let mut merged = self.clone();
        for (holder, description) in &lost.holders {
            merged.holders.entry(*holder).or_insert_with(|| description.clone());
        }
        let of_earlier_era = lost.written_era() < self.written_era();
        let since_era = match (self.unconfirmed_since_era, lost.unconfirmed_since_era) {
            (Some(own), None) if of_earlier_era => Some(own.max(lost.written_era() + 1)),
            (Some(own), Some(lost)) => Some(own.min(lost)),
            (own, lost) => own.or(lost),
        };
        merged.unconfirmed_since_era = since_era;
        let (later, earlier) = (self.later_writers(lost), lost.later_writers(self));
        for (name, lost) in &lost.budgets {
            let merged_budget = merged.budgets.entry(name.clone()).or_default();
            merged_budget.merge(
                lost,
                of_earlier_era,
                |holder| later.contains(&holder),
                |holder| earlier.contains(&holder),
            );
        }
        for (writer, count) in &lost.writes {
            let merged_count = merged.writes.entry(*writer).or_default();
            *merged_count = *count.max(merged_count);
        }
        merged
    }
}

impl Budget {
    /// The present totals of the closed holders.
    fn closed_totals(&self) -> ClosedTotals {
        ClosedTotals {
            spent_tokens: self.closed_spent_tokens,
            received_tokens: self.closed_received_tokens,
            consumed_tokens: self.closed_consumed_tokens,
            written_off_tokens: self.written_off_tokens,
        }
    }

    /// Merges a state of the lost history; `of_earlier_era` is set if it is of an earlier era than this state.
    /// `is_later` and `is_earlier` return whether this state has a later or an earlier grant of a holder than the other
    /// one.
    fn merge(
        &mut self,
        lost: &Self,
        of_earlier_era: bool,
        is_later: impl Fn(ids::Incarnation) -> bool,
        is_earlier: impl Fn(ids::Incarnation) -> bool,
    ) {
        let before = self.clone();
        self.merge_counters(lost, is_later, is_earlier);
        let (own, lost) = (before.withheld, lost.withheld);
        if of_earlier_era {
            // Tokens of recovered draws need no longer be withheld. Recovered payments are withheld, because they may
            // have been drawn as well.
            self.withheld.lost_tokens = own.lost_tokens.max(lost.lost_tokens);
            self.preserve_undrawn_tokens(&before);
        } else {
            self.withheld = own.max(lost);
        }
    }

    /// Merges payments, totals of closed holders and grants.
    fn merge_counters(
        &mut self,
        lost: &Self,
        is_later: impl Fn(ids::Incarnation) -> bool,
        is_earlier: impl Fn(ids::Incarnation) -> bool,
    ) {
        if lost.paid_version > self.paid_version {
            self.paid_version = lost.paid_version;
            self.paid_tokens = lost.paid_tokens;
        }
        for payment in &lost.payments {
            if self.payments.iter().all(|existing| existing.operation != payment.operation) {
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
        // Only the holder changes its grant, so the state of its latest write is the valid one, even if it returned
        // tokens and the granted amount is lower.
        for (holder, lost) in &lost.grants {
            let grant = self.grants.entry(*holder).or_insert(*lost);
            if is_earlier(*holder) {
                *grant = *lost;
            } else if !is_later(*holder) {
                grant.raise_to(lost);
            }
        }
    }
}

impl ClosedTotals {
    pub(super) fn is_zero(&self) -> bool {
        *self == Self::default()
    }

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
