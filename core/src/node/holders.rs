//! Budgets that only some routers hold in hand.
//!
//! Where a router's share of a budget would be smaller than one request, the others ask a holder for what a
//! request needs, and hand back what is left over. Rendezvous hashing over the live routers says who holds a
//! budget, so nobody has to be told. Routers whose views differ for a while may all hold it: that
//! splits it, and is safe, since each draws its own grant.

use super::{Action, Lifecycle, Node, Notice, Reason, Request, Stage, questions};
use crate::{grants, ids, members, message, rendezvous};

/// How long a holder may take to answer before the next one is asked.
const ANSWER_MS: u64 = 120;
/// A question that stays unanswered is sent again after this long: datagrams get lost.
const REPEAT_MS: u64 = 40;
/// How long a holder that did not answer is passed over.
const PASSED_OVER_MS: u64 = 2_000;
/// Holders that are asked for one need before this router draws for itself.
const HOLDERS_ASKED: usize = 2;
/// How long a router draws for itself after no holder could help.
const DIRECT_MS: u64 = 2_000;
/// Spending that is asked for beyond what waits, in milliseconds of this router's rate.
const AHEAD_MS: u64 = 1_000;
/// Left-over tokens up to this much spending are kept.
const KEPT_MS: u64 = 2_000;
const HAND_BACK_EVERY_MS: u64 = 250;
/// A router holds nothing in advance before it had the time to hear of the others: until no new member came for so
/// long, since peers tell all they know at once, or until it has run for so long. While it holds nothing, every
/// need is a call to the store.
const VIEW_SETTLED_MS: u64 = 400;
const SETTLE_MS: u64 = 2_000;

/// A question of this router that a holder has not answered yet.
#[derive(Debug)]
pub(super) struct Need {
    number: u64,
    holder: ids::Incarnation,
    asked_ms: u64,
    sent_ms: u64,
    earlier: Vec<ids::Incarnation>,
    /// Whether one of the earlier ones answered, if only that it cannot tell.
    answered: bool,
    /// Whether this one said that it waits for the store.
    waits: bool,
}

/// What asking holders has to remember.
#[derive(Debug, Default)]
pub(super) struct Holders {
    needs: std::collections::HashMap<ids::BudgetSlot, Need>,
    pub(super) questions: Vec<questions::Question>,
    passed_over: std::collections::HashMap<ids::Incarnation, u64>,
    next_number: u64,
    handed_back_ms: u64,
}

impl Node {
    /// Whether tokens of a budget come from a holder, not from the ledger.
    pub(super) fn asks_holders(&self, budget: ids::BudgetSlot, now_ms: u64) -> bool {
        let direct = self.asks.get(&budget).is_some_and(|ask| now_ms < ask.direct_until_ms);
        !self.grants.account(budget).holder && !direct
    }

    /// Notes which budgets this router holds in hand.
    pub(super) fn note_holders(&mut self, now_ms: u64) {
        let routers = self.members.live_count();
        let settled = self.view_settled(now_ms);
        let alive = self.alive();
        let own = self.settings.incarnation;
        let holds = |account: &grants::Account| {
            let ranked = ranked(&account.name, &alive);
            (settled || account.holder)
                && ranked.iter().take(account.settings.holders as usize).any(|id| *id == own)
        };
        let draws = |budget| {
            let direct = self.asks.get(&budget).is_some_and(|ask| now_ms < ask.direct_until_ms);
            direct || self.holders.questions.iter().any(|question| question.budget == budget)
        };
        self.grants.note_holders(routers, holds, draws);
    }

    /// Goes on with what waits for a holder's answer.
    pub(super) fn search_holders(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        let Some(request) = self.requests.get(slot) else { return };
        let budget = request.budget;
        let waited_ms = now_ms.saturating_sub(request.stage_since_ms);
        if waited_ms >= self.settings.budget_wait_ms || now_ms >= request.wanted.deadline_ms {
            self.refuse(slot, Reason::BudgetUnreachable, now_ms);
        } else if !self.holders.needs.contains_key(&budget) {
            self.ask_holder(budget, now_ms);
        }
    }

    /// Asks again, or the next holder, where an answer is overdue; answers what waited too long here.
    pub(super) fn tick_holders(&mut self, now_ms: u64) {
        self.holders.passed_over.retain(|_, until_ms| now_ms < *until_ms);
        let overdue = |need: &Need| {
            let patience_ms =
                if need.waits { ANSWER_MS + questions::STORE_WAIT_MS } else { ANSWER_MS };
            now_ms >= need.asked_ms + patience_ms
        };
        let needs = &self.holders.needs;
        let late: Vec<ids::BudgetSlot> =
            needs.iter().filter(|(_, need)| overdue(need)).map(|(budget, _)| *budget).collect();
        for budget in late {
            let Some(need) = self.holders.needs.remove(&budget) else { continue };
            self.pass_over(need.holder, budget, now_ms);
            self.ask_next(budget, need, false, now_ms);
        }
        let repeated: Vec<ids::BudgetSlot> = self
            .holders
            .needs
            .iter()
            .filter(|(_, need)| !need.waits && now_ms >= need.sent_ms + REPEAT_MS)
            .map(|(budget, _)| *budget)
            .collect();
        for budget in repeated {
            self.send_need(budget, now_ms);
        }
        self.answer_questions(now_ms);
        if now_ms >= self.holders.handed_back_ms + HAND_BACK_EVERY_MS {
            self.holders.handed_back_ms = now_ms;
            self.hand_back(now_ms);
        }
    }

    /// Whether this router has had the time to hear who else there is.
    fn view_settled(&self, now_ms: u64) -> bool {
        let met = self.members.live().next().is_some();
        let settled = met && now_ms >= self.members.last_added_ms() + VIEW_SETTLED_MS;
        settled || now_ms >= self.started_ms + SETTLE_MS
    }

    fn pass_over(&mut self, holder: ids::Incarnation, budget: ids::BudgetSlot, now_ms: u64) {
        self.holders.passed_over.insert(holder, now_ms + PASSED_OVER_MS);
        let vm = self.members.find(holder).map(|record| record.vm.clone()).unwrap_or_default();
        let budget = self.grants.account(budget).name.clone();
        self.actions.push(Action::Notice(Notice::HolderSilent { vm, budget }));
    }

    /// Asks the first holder that is not passed over, unless one is being asked.
    pub(super) fn ask_holder(&mut self, budget: ids::BudgetSlot, now_ms: u64) {
        if !self.holders.needs.contains_key(&budget) {
            self.ask_other_than(Vec::new(), false, budget, now_ms);
        }
    }

    /// Asks the next holder. Where none is left, this router draws for itself if all were silent; one that
    /// answered is as near to the ledger as this router is.
    fn ask_other_than(
        &mut self,
        earlier: Vec<ids::Incarnation>,
        answered: bool,
        budget: ids::BudgetSlot,
        now_ms: u64,
    ) {
        let Some(holder) = self.holder_to_ask(budget, &earlier) else {
            // The first in rank is this router itself, as far as it knows.
            let first = earlier.is_empty();
            self.grants.account_mut(budget).holder |= first;
            match answered {
                true => self.refuse_waiting(budget, Reason::BudgetUnreachable, now_ms),
                false => self.draw_directly(budget, now_ms),
            }
            return;
        };
        self.holders.next_number += 1;
        let number = self.holders.next_number;
        let (asked_ms, sent_ms, waits) = (now_ms, now_ms, false);
        let need = Need { number, holder, asked_ms, sent_ms, earlier, answered, waits };
        self.holders.needs.insert(budget, need);
        self.send_need(budget, now_ms);
    }

    /// Takes a holder's word that it has nothing to give.
    pub(super) fn holder_has_none(&mut self, name: &str, number: u64, certain: bool, now_ms: u64) {
        let Some(budget) = self.grants.find(name) else { return };
        if self.holders.needs.get(&budget).is_none_or(|need| need.number != number) {
            return;
        }
        let Some(need) = self.holders.needs.remove(&budget) else { return };
        match certain {
            true => self.refuse_waiting(budget, Reason::BudgetExhausted, now_ms),
            false => self.ask_next(budget, need, true, now_ms),
        }
    }

    /// The holder that is asked has the question, and waits for the store.
    pub(super) fn holder_waits(&mut self, name: &str, number: u64) {
        let Some(budget) = self.grants.find(name) else { return };
        if let Some(need) = self.holders.needs.get_mut(&budget).filter(|it| it.number == number) {
            need.waits = true;
        }
    }

    /// A holder's answer has come: what still waits for this budget asks again.
    pub(super) fn holder_gave(&mut self, budget: ids::BudgetSlot, number: u64) {
        if self.holders.needs.get(&budget).is_some_and(|need| need.number == number) {
            self.holders.needs.remove(&budget);
        }
    }

    fn ask_next(&mut self, budget: ids::BudgetSlot, need: Need, answered: bool, now_ms: u64) {
        let mut earlier = need.earlier;
        earlier.push(need.holder);
        if self.waits_for(budget) {
            self.ask_other_than(earlier, need.answered || answered, budget, now_ms);
        }
    }

    fn draw_directly(&mut self, budget: ids::BudgetSlot, now_ms: u64) {
        self.asks.entry(budget).or_default().direct_until_ms = now_ms + DIRECT_MS;
        self.grants.account_mut(budget).draws = true;
        self.sum_shortages();
        self.poke_ledger_of(budget);
        self.tick_platform(now_ms);
    }

    fn send_need(&mut self, budget: ids::BudgetSlot, now_ms: u64) {
        let (smallest, all) = self.waiting_tokens(budget);
        let Some(need) = self.holders.needs.get_mut(&budget) else { return };
        need.sent_ms = now_ms;
        let (holder, number) = (need.holder, need.number);
        let account = self.grants.account(budget);
        let free_tokens = account.free_tokens();
        let ahead = account.rate_tokens_per_s().saturating_mul(AHEAD_MS) / 1_000;
        let message = message::Message::TransferRequest {
            number,
            budget: account.name.clone(),
            needed_tokens: smallest.saturating_sub(free_tokens).max(1),
            wanted_tokens: all.saturating_add(ahead).saturating_sub(free_tokens).max(1),
            requester: self.members.own().clone(),
        };
        self.send(holder, message);
    }

    /// The bounds of the requests that wait for a budget: the smallest one, and all together.
    fn waiting_tokens(&self, budget: ids::BudgetSlot) -> (u64, u64) {
        let bounds = || self.waiting_for(budget).map(|request| request.wanted.bound_tokens);
        (bounds().min().unwrap_or(0), bounds().sum())
    }

    fn waits_for(&self, budget: ids::BudgetSlot) -> bool {
        self.waiting_for(budget).next().is_some()
    }

    fn waiting_for(&self, budget: ids::BudgetSlot) -> impl Iterator<Item = &Request> {
        let waits = move |request: &&Request| {
            request.budget == budget && matches!(request.stage, Stage::WaitingBudget)
        };
        self.requests.values().filter(waits)
    }

    fn refuse_waiting(&mut self, budget: ids::BudgetSlot, reason: Reason, now_ms: u64) {
        let (smallest, _) = self.waiting_tokens(budget);
        self.note_exhausted(budget, smallest, reason, now_ms);
        let waiting: Vec<ids::RequestSlot> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                request.budget == budget && matches!(request.stage, Stage::WaitingBudget)
            })
            .map(|(slot, _)| slot)
            .collect();
        for slot in waiting {
            self.refuse(slot, reason, now_ms);
        }
    }

    fn holder_to_ask(
        &self,
        budget: ids::BudgetSlot,
        earlier: &[ids::Incarnation],
    ) -> Option<ids::Incarnation> {
        if earlier.len() >= HOLDERS_ASKED {
            return None;
        }
        let account = self.grants.account(budget);
        let mut holders = ranked(&account.name, &self.alive());
        holders.truncate((account.settings.holders as usize).max(HOLDERS_ASKED));
        // Askers share themselves out among the holders; the next in rank stand in.
        let first = self.settings.incarnation.0 % account.settings.holders.max(1);
        let turned = holders.len().min(first as usize);
        holders.rotate_left(turned);
        let passed = |id: &ids::Incarnation| self.holders.passed_over.contains_key(id);
        let holder = holders.into_iter().find(|id| !earlier.contains(id) && !passed(id))?;
        (holder != self.settings.incarnation).then_some(holder)
    }

    /// The routers that answer, this one among them.
    fn alive(&self) -> Vec<ids::Incarnation> {
        let alive = self.members.live().filter(|record| record.health == members::Health::Alive);
        alive.map(|record| record.id).chain([self.settings.incarnation]).collect()
    }

    /// Hands back what is left over here to who holds the budget.
    fn hand_back(&mut self, now_ms: u64) {
        self.grants.confirm_empty();
        let stopping = self.lifecycle == Lifecycle::Stopping;
        if !stopping && self.lifecycle != Lifecycle::Ready {
            return;
        }
        let over: Vec<(ids::BudgetSlot, u64)> = self
            .grants
            .iter()
            .filter(|(_, account)| account.settings.holders > 0 && account.shortage_tokens == 0)
            .filter(|(_, account)| match stopping {
                // What was drawn from the ledger is closed there; a copy must not go elsewhere.
                true => !account.has_row,
                false => !account.holder,
            })
            .filter_map(|(slot, account)| Some((slot, left_over(account, stopping)?)))
            .collect();
        for (budget, tokens) in over {
            if let Some(holder) = self.holder_to_ask(budget, &[]) {
                self.give(holder, budget, tokens, 0, now_ms);
                self.grants.account_mut(budget).note_handed_back(tokens);
            }
        }
    }
}

/// What a router that does not hold a budget may hand back of it.
fn left_over(account: &grants::Account, stopping: bool) -> Option<u64> {
    let kept = match stopping || account.confirm_version > 0 {
        true => 0,
        false => account.rate_tokens_per_s().saturating_mul(KEPT_MS) / 1_000,
    };
    // What was drawn from the ledger goes back there.
    let drawn = account.surplus_tokens();
    let over = account.free_tokens().saturating_sub(kept).saturating_sub(drawn);
    (over > 0 && !account.awaits_recovery).then_some(over)
}

/// All of `routers`, the first holder of a budget first.
fn ranked(budget: &str, routers: &[ids::Incarnation]) -> Vec<ids::Incarnation> {
    let subject = rendezvous::digest(budget);
    let mut ranked = routers.to_vec();
    ranked.sort_by_cached_key(|id| std::cmp::Reverse(rendezvous::weight(subject, id.0)));
    ranked
}
