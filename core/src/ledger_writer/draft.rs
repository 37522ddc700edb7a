//! What a round makes of the shard: dead holders closed, surplus returned, grants drawn.

use super::{Context, Event, Writer};
use crate::{grants, ids, ledger};

impl Writer {
    /// What the shard should become: dead holders closed, surplus returned, grants drawn.
    pub(super) fn draft(
        &mut self,
        shard: &ledger::Shard,
        era: u64,
        table: &mut grants::Table,
        context: &Context<'_>,
    ) -> ledger::Shard {
        let mut draft = shard.clone();
        self.dead_in_draft.clear();
        for slot in table.in_shard(self.shard) {
            let account = table.account(*slot);
            if let Some(prepaid) = account.prepaid {
                draft.set_prepaid(&account.name, prepaid.tokens, prepaid.version);
            }
        }
        for (id, holder) in &shard.holders {
            if *id != context.holder && (context.gone)(*id, holder) {
                let grants = draft.grants_of(*id);
                let written_off_tokens = draft.write_off(*id);
                let closed = Event::ClosedDead { holder: *id, written_off_tokens, grants };
                self.dead_in_draft.push(closed);
            }
        }
        let mut holds = false;
        for slot in table.in_shard(self.shard).to_vec() {
            let account = table.account_mut(slot);
            self.draft_account(&mut draft, account, context);
            let budget = draft.budgets.get(&account.name);
            holds |= budget.is_some_and(|budget| budget.grants.contains_key(&context.holder));
        }
        if holds {
            draft.holders.insert(context.holder, context.description.clone());
        }
        draft.forget_empty_holders();
        if draft != *shard {
            draft.era = Some(era);
            self.draft_count += 1;
            draft.note_write(context.holder, self.draft_count);
        }
        draft
    }

    fn draft_account(
        &self,
        draft: &mut ledger::Shard,
        account: &mut grants::Account,
        context: &Context<'_>,
    ) {
        let name = account.name.clone();
        // While an earlier write may still apply, `returning_tokens` stays out of reach.
        let settled = self.unsettled_index.is_none();
        let drafted = draft.budgets.get(&name);
        account.overdrawn = drafted.is_some_and(|budget| budget.remaining_tokens().is_none());
        if context.stopping {
            if settled {
                draft_stop(draft, account, context.holder);
            }
            return;
        }
        let Some(budget) = draft.budgets.get(&name) else { return };
        let remaining = budget.remaining_tokens().unwrap_or(0);
        account.remaining_tokens = Some(remaining);
        account.held_tokens = budget.held_tokens();
        account.others_rate_tokens_per_s = budget.rate_beside(context.holder);
        let sharers = match account.settings.holders {
            0 => context.routers,
            _ => account.routers,
        };
        let drawn = match context.may_draw() {
            true => account.draw_tokens(remaining, sharers),
            false => 0,
        };
        if drawn > 0 {
            draft.draw(&name, context.holder, drawn);
        } else if settled {
            let surplus = account.surplus_tokens();
            account.returning_tokens += draft.give_back(&name, context.holder, surplus);
        }
        let Some(budget) = draft.budgets.get_mut(&name) else { return };
        if account.received_tokens > 0 && account.settings.holders == 0 {
            // Tokens from another holder are closed through this row, even if it drew none.
            budget.grants.entry(context.holder).or_default();
        }
        if let Some(grant) = budget.grants.get_mut(&context.holder) {
            grant.consumed_tokens = account.spent_tokens();
            grant.free_tokens = account.free_tokens() + drawn;
            grant.rate_tokens_per_s = account.rate_tokens_per_s();
        }
    }
}

/// What a router that stops changes: its grant is closed, or, while a request of it still runs, all is
/// returned that the request cannot cost. The request may outlast the stop, and with it the process.
fn draft_stop(draft: &mut ledger::Shard, account: &mut grants::Account, holder: ids::Incarnation) {
    let name = account.name.clone();
    if account.reserved_tokens == 0 {
        draft.close(&name, holder, account.closing());
        return;
    }
    account.returning_tokens += draft.give_back(&name, holder, account.returnable_tokens());
}
