//! Drafts the next value of the shard: closes grants of terminated holders, returns surplus tokens and draws grants.

use super::{Context, Event, PrepaidState, Writer};
use crate::{grants, ids, ledger};

impl Writer {
    /// Returns the value that this router should write in place of `shard`; equal to `shard` if nothing changes.
    pub(super) fn draft(
        &mut self,
        shard: &ledger::Shard,
        era: u64,
        table: &mut grants::Table,
        context: &Context<'_>,
    ) -> ledger::Shard {
        let mut draft = shard.clone();
        self.terminated_in_draft.clear();
        let slots = table.in_shard(self.shard).iter();
        self.draft_prepaid(
            &mut draft,
            era,
            context.prepaid_state,
            slots.map(|slot| table.account(*slot)),
        );
        if let Some(decision) = self.recovery_decision(era).filter(|_| shard.era == Some(era)) {
            draft.apply_recovery_decision(decision.silent_routers, decision.is_final);
        }
        for name in &self.released {
            if let Some(budget) = draft.budgets.get_mut(name) {
                budget.withheld = ledger::Withheld::default();
            }
        }
        for (id, holder) in &shard.holders {
            if *id == context.holder {
                continue;
            }
            let Some(termination) = (context.termination)(*id, holder) else { continue };
            let grants = draft.write_off(*id, termination, era);
            let written_off_tokens =
                grants.iter().map(ledger::WrittenOffGrant::written_off_tokens).sum();
            let closed = Event::TerminatedHolderClosed { holder: *id, written_off_tokens, grants };
            self.terminated_in_draft.push(closed);
        }
        let mut has_grant = false;
        for slot in table.in_shard(self.shard).to_vec() {
            let account = table.account_mut(slot);
            self.draft_account(&mut draft, account, era, context);
            let budget = draft.budgets.get(&account.name);
            has_grant |= budget.is_some_and(|budget| budget.grants.contains_key(&context.holder));
        }
        if has_grant {
            draft.holders.insert(context.holder, context.description.clone());
        }
        draft.remove_empty_holders();
        if draft != *shard {
            draft.era = Some(era);
            self.draft_count += 1;
            draft.set_write_count(context.holder, self.draft_count);
        }
        draft
    }

    /// Applies the prepaid amounts of the configuration. Soon after a restore they are withheld, because they may have
    /// been paid in before it, and been drawn.
    fn draft_prepaid<'a>(
        &self,
        draft: &mut ledger::Shard,
        era: u64,
        prepaid_state: PrepaidState,
        accounts: impl Iterator<Item = &'a grants::Account>,
    ) {
        for account in accounts {
            let Some(prepaid) = account.prepaid else { continue };
            match prepaid_state {
                PrepaidState::Undecided => continue,
                PrepaidState::Drawable => {
                    draft.set_prepaid(&account.name, prepaid.tokens, prepaid.version);
                }
                PrepaidState::Withheld => {
                    draft.set_prepaid_withheld(&account.name, prepaid.tokens, prepaid.version, era);
                }
            }
        }
    }

    /// Raises the reserve at once if the spend rate has fallen, and lowers it in two steps if the rate has risen.
    fn draft_reserve(
        &self,
        budget: &mut ledger::Budget,
        account: &grants::Account,
        context: &Context<'_>,
    ) {
        let reserve = &mut budget.reserve;
        if self.next_reserve_applies(account, context.now_ms) {
            reserve.tokens = reserve.next.map_or(reserve.tokens, |next| next.tokens);
            reserve.next = None;
        }
        if !account.holder {
            return;
        }
        if let Some(tokens) = account.higher_reserve_tokens() {
            *reserve = ledger::Reserve { tokens, next: None };
        } else if let Some(tokens) = account.lower_reserve_tokens() {
            let writer = context.holder;
            let write = self.draft_count + 1;
            reserve.next = Some(ledger::NextReserve { tokens, writer, write });
        }
    }

    /// Drafts the changes to this router's grant from one budget.
    fn draft_account(
        &self,
        draft: &mut ledger::Shard,
        account: &mut grants::Account,
        era: u64,
        context: &Context<'_>,
    ) {
        let name = account.name.clone();
        // While an earlier write may still take effect, `returning_tokens` stays unavailable and no more are returned.
        let resolved = self.unresolved_write_index.is_none();
        if let Some(budget) = draft.budgets.get_mut(&name) {
            account.update_from_budget(budget, context.holder);
            if context.may_draw() && !context.stopping {
                self.draft_reserve(budget, account, context);
                account.update_from_budget(budget, context.holder);
            }
        }
        if context.stopping {
            if resolved {
                draft_stop(draft, account, context.holder);
            }
            return;
        }
        if !draft.budgets.contains_key(&name) {
            return;
        }
        let remaining = account.remaining_tokens.unwrap_or(0);
        let sharing_routers = match account.settings.holders {
            0 => context.routers,
            _ => account.routers,
        };
        // A sync of an idle account only raises its reserve. Tokens drawn in it would be lost if this router
        // terminated.
        let drawn = match context.may_draw() && !account.idle() {
            true => account.draw_tokens(remaining, sharing_routers),
            false => 0,
        };
        if drawn > 0 {
            draft.draw(&name, context.holder, drawn);
        } else if resolved {
            let surplus = account.surplus_tokens();
            account.returning_tokens += draft.return_tokens(&name, context.holder, surplus);
        }
        let Some(budget) = draft.budgets.get_mut(&name) else { return };
        if account.received_tokens > 0 && account.settings.holders == 0 {
            // Tokens received from another holder are accounted for when this grant is closed, even if it drew none.
            budget.grants.entry(context.holder).or_default();
        }
        if let Some(grant) = budget.grants.get_mut(&context.holder) {
            let before = *grant;
            grant.consumed_tokens = account.spent_tokens();
            grant.free_tokens = account.free_tokens() + drawn;
            grant.rate_tokens_per_s = account.rate_tokens_per_s();
            grant.idle = !account.holder || account.idle();
            // A new bound alone does not justify a write unless tokens are kept from being spent.
            if *grant != before || drawn > 0 || account.needs_pace(context.now_ms) {
                grant.pace = account.next_pace(grant.free_tokens, era, context.now_ms);
            }
        }
    }
}

/// Drafts the changes of a stopping router: closes its grant or, while a request still runs, returns all tokens that
/// the request cannot consume. They are returned early because the request may run longer than the router is given to
/// stop.
fn draft_stop(draft: &mut ledger::Shard, account: &mut grants::Account, holder: ids::Incarnation) {
    let name = account.name.clone();
    if account.reserved_tokens == 0 {
        draft.close(&name, holder, account.final_totals());
        return;
    }
    account.returning_tokens += draft.return_tokens(&name, holder, account.returnable_tokens());
}
