//! Budgets whose tokens are granted to some routers only, the budget's holders.
//!
//! If an equal share of a budget would be smaller than one request, the other routers request the tokens that a request
//! needs from a holder, and return the excess. Rendezvous hashing over the live routers determines the holders, which
//! needs no message. Routers with different views of the membership may all act as holders for a while: this splits the
//! budget, and is safe, since each draws its own grant.

use super::{Action, Lifecycle, Node, Notice, Reason, Request, Stage, transfer_requests};
use crate::{grants, ids, members, message, rendezvous};

/// Time after which a request is sent to the next holder if a holder has not answered.
const ANSWER_TIMEOUT_MS: u64 = 120;
/// Time after which an unanswered transfer request is sent again, since messages may be lost.
const RESEND_INTERVAL_MS: u64 = 40;
/// How long a holder that did not answer is skipped.
const SKIP_MS: u64 = 2_000;
/// Number of holders that are sent a request, one after the other, before this router draws from the ledger itself.
const HOLDERS_TRIED_MAX: usize = 2;
/// How long a router draws from the ledger itself after no holder answered.
const DIRECT_DRAW_MS: u64 = 2_000;
/// Headroom that is requested beyond the waiting requests, in milliseconds of this router's spending rate.
const REQUEST_HEADROOM_MS: u64 = 1_000;
/// Headroom that a router keeps when it returns tokens to a holder, in milliseconds of its spending rate.
const KEPT_HEADROOM_MS: u64 = 2_000;
/// Interval between returns of excess tokens.
const RETURN_INTERVAL_MS: u64 = 250;
/// A router does not act as a holder before it has discovered the other routers: until no new member was discovered for
/// this long, since a peer sends all the members of its list together. Without a holder, every shortage costs a call to
/// the store.
const MEMBERSHIP_QUIET_MS: u64 = 400;
/// A router may act as a holder after running this long, even if it still discovers members or has discovered none.
const MEMBERSHIP_SETTLE_MS: u64 = 2_000;

/// A transfer request of this router that a holder has not answered yet.
#[derive(Debug)]
pub(super) struct PendingTransfer {
    number: u64,
    holder: ids::Incarnation,
    /// When the request was first sent to this holder.
    requested_ms: u64,
    /// When the request was last sent to this holder.
    sent_ms: u64,
    /// The holders to which requests were sent before.
    tried_holders: Vec<ids::Incarnation>,
    /// Whether one of the earlier holders answered, even if it could not determine whether tokens are left.
    answered: bool,
    /// Whether this holder reported that it waits for the store.
    awaits_store: bool,
}

/// Transfer requests between this router and other routers.
#[derive(Debug, Default)]
pub(super) struct Holders {
    /// The unanswered requests of this router.
    sent_requests: std::collections::BTreeMap<ids::BudgetSlot, PendingTransfer>,
    /// The requests of other routers that wait here.
    pub(super) received_requests: Vec<transfer_requests::TransferRequest>,
    /// Holders that did not answer, and until when they are skipped.
    skipped_until_ms: std::collections::HashMap<ids::Incarnation, u64>,
    last_number: u64,
    /// When excess tokens were last returned.
    returned_ms: u64,
}

impl Node {
    /// Whether this router requests tokens of a budget from a holder instead of drawing them from the ledger.
    pub(super) fn uses_holders(&self, budget: ids::BudgetSlot, now_ms: u64) -> bool {
        let direct = self
            .token_searches
            .get(&budget)
            .is_some_and(|search| now_ms < search.direct_draw_until_ms);
        !self.grants.account(budget).holder && !direct
    }

    /// Updates for which budgets this router is a holder, and which of them it draws from the ledger.
    pub(super) fn update_holders(&mut self, now_ms: u64) {
        let routers = self.members.live_count();
        let membership_settled = self.membership_settled(now_ms);
        let alive = self.alive();
        let own = self.settings.incarnation;
        let is_holder = |account: &grants::Account| {
            let ranked = rank_holders(&account.name, &alive);
            (membership_settled || account.holder)
                && ranked.iter().take(account.settings.holders as usize).any(|id| *id == own)
        };
        let draws_on_demand = |budget| {
            let direct = self
                .token_searches
                .get(&budget)
                .is_some_and(|search| now_ms < search.direct_draw_until_ms);
            direct || self.holders.received_requests.iter().any(|request| request.budget == budget)
        };
        self.grants.set_holders(routers, is_holder, draws_on_demand);
    }

    /// Continues the search for a waiting request's tokens: requests a transfer from a holder, or refuses the request
    /// after its wait.
    pub(super) fn continue_holder_search(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        let Some(request) = self.requests.get(slot) else { return };
        let budget = request.budget;
        let waited_ms = now_ms.saturating_sub(request.stage_since_ms);
        if waited_ms >= self.settings.budget_wait_ms || now_ms >= request.admission.deadline_ms {
            self.refuse(slot, Reason::BudgetUnreachable, now_ms);
        } else if !self.holders.sent_requests.contains_key(&budget) {
            self.request_from_holder(budget, now_ms);
        }
    }

    /// Repeats unanswered requests, sends one to the next holder after a timeout, answers the requests of other
    /// routers, and returns excess tokens.
    pub(super) fn tick_holders(&mut self, now_ms: u64) {
        self.holders.skipped_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        let timed_out = |pending: &PendingTransfer| {
            let timeout_ms = if pending.awaits_store {
                ANSWER_TIMEOUT_MS + transfer_requests::STORE_WAIT_MS
            } else {
                ANSWER_TIMEOUT_MS
            };
            now_ms >= pending.requested_ms + timeout_ms
        };
        let sent_requests = &self.holders.sent_requests;
        let timed_out: Vec<ids::BudgetSlot> = sent_requests
            .iter()
            .filter(|(_, pending)| timed_out(pending))
            .map(|(budget, _)| *budget)
            .collect();
        for budget in timed_out {
            let Some(pending) = self.holders.sent_requests.remove(&budget) else { continue };
            self.skip_holder(pending.holder, budget, now_ms);
            self.request_from_next_holder(budget, pending, false, now_ms);
        }
        let repeated: Vec<ids::BudgetSlot> = self
            .holders
            .sent_requests
            .iter()
            .filter(|(_, pending)| {
                !pending.awaits_store && now_ms >= pending.sent_ms + RESEND_INTERVAL_MS
            })
            .map(|(budget, _)| *budget)
            .collect();
        for budget in repeated {
            self.send_transfer_request(budget, now_ms);
        }
        self.answer_transfer_requests(now_ms);
        if now_ms >= self.holders.returned_ms + RETURN_INTERVAL_MS {
            self.holders.returned_ms = now_ms;
            self.return_excess(now_ms);
        }
    }

    /// Whether this router has had the time to discover the other routers.
    fn membership_settled(&self, now_ms: u64) -> bool {
        let has_peers = self.members.live().next().is_some();
        let settled = has_peers && now_ms >= self.members.last_added_ms() + MEMBERSHIP_QUIET_MS;
        settled || now_ms >= self.started_ms + MEMBERSHIP_SETTLE_MS
    }

    /// Skips a holder for a while because it did not answer.
    fn skip_holder(&mut self, holder: ids::Incarnation, budget: ids::BudgetSlot, now_ms: u64) {
        self.holders.skipped_until_ms.insert(holder, now_ms + SKIP_MS);
        let vm = self.members.find(holder).map(|record| record.vm.clone()).unwrap_or_default();
        let budget = self.grants.account(budget).name.clone();
        self.actions.push(Action::Notice(Notice::HolderSilent { vm, budget }));
    }

    /// Sends a transfer request to the first holder that is not skipped, unless one is unanswered.
    pub(super) fn request_from_holder(&mut self, budget: ids::BudgetSlot, now_ms: u64) {
        if !self.holders.sent_requests.contains_key(&budget) {
            self.try_next_holder(Vec::new(), false, budget, now_ms);
        }
    }

    /// Sends a transfer request to the next holder. If none is left, this router draws from the ledger itself, but only
    /// if no holder answered: a holder that answered can reach the ledger as well as this router can.
    fn try_next_holder(
        &mut self,
        tried_holders: Vec<ids::Incarnation>,
        answered: bool,
        budget: ids::BudgetSlot,
        now_ms: u64,
    ) {
        let Some(holder) = self.next_holder(budget, &tried_holders) else {
            // In this router's view of the membership it is the first holder itself, or all holders are skipped.
            let is_first = tried_holders.is_empty();
            self.grants.account_mut(budget).holder |= is_first;
            match answered {
                true => self.refuse_waiting_requests(budget, Reason::BudgetUnreachable, now_ms),
                false => self.draw_directly(budget, now_ms),
            }
            return;
        };
        self.holders.last_number += 1;
        let number = self.holders.last_number;
        let (requested_ms, sent_ms, awaits_store) = (now_ms, now_ms, false);
        let pending = PendingTransfer {
            number,
            holder,
            requested_ms,
            sent_ms,
            tried_holders,
            answered,
            awaits_store,
        };
        self.holders.sent_requests.insert(budget, pending);
        self.send_transfer_request(budget, now_ms);
    }

    /// Handles a holder's reply that it transfers no tokens.
    pub(super) fn handle_transfer_unavailable(
        &mut self,
        name: &str,
        number: u64,
        shortage: message::Shortage,
        now_ms: u64,
    ) {
        let Some(budget) = self.grants.find(name) else { return };
        if self.holders.sent_requests.get(&budget).is_none_or(|pending| pending.number != number) {
            return;
        }
        let Some(pending) = self.holders.sent_requests.remove(&budget) else { return };
        match shortage {
            message::Shortage::Unknown => {
                self.request_from_next_holder(budget, pending, true, now_ms);
            }
            message::Shortage::Exhausted => {
                self.refuse_waiting_requests(budget, Reason::BudgetExhausted, now_ms);
            }
            message::Shortage::Low => {
                self.refuse_waiting_requests(budget, Reason::BudgetLow, now_ms);
            }
        }
    }

    /// Handles a holder's reply that it received the request and waits for the store.
    pub(super) fn handle_transfer_deferred(&mut self, name: &str, number: u64) {
        let Some(budget) = self.grants.find(name) else { return };
        if let Some(pending) =
            self.holders.sent_requests.get_mut(&budget).filter(|pending| pending.number == number)
        {
            pending.awaits_store = true;
        }
    }

    /// Ends a transfer request that a holder answered with tokens. The next tick sends another one if requests still
    /// wait for the budget.
    pub(super) fn complete_holder_request(&mut self, budget: ids::BudgetSlot, number: u64) {
        if self.holders.sent_requests.get(&budget).is_some_and(|pending| pending.number == number) {
            self.holders.sent_requests.remove(&budget);
        }
    }

    /// Sends a transfer request to the next holder, provided that requests still wait for the budget.
    fn request_from_next_holder(
        &mut self,
        budget: ids::BudgetSlot,
        pending: PendingTransfer,
        answered: bool,
        now_ms: u64,
    ) {
        let mut tried_holders = pending.tried_holders;
        tried_holders.push(pending.holder);
        if self.has_waiting_requests(budget) {
            self.try_next_holder(tried_holders, pending.answered || answered, budget, now_ms);
        }
    }

    /// Draws a budget from the ledger without a holder, for a while.
    fn draw_directly(&mut self, budget: ids::BudgetSlot, now_ms: u64) {
        self.token_searches.entry(budget).or_default().direct_draw_until_ms =
            now_ms + DIRECT_DRAW_MS;
        self.grants.account_mut(budget).draws_on_demand = true;
        self.update_shortages();
        self.request_ledger_sync(budget);
        self.tick_platform(now_ms);
    }

    /// Sends, or sends again, the transfer request for a budget.
    fn send_transfer_request(&mut self, budget: ids::BudgetSlot, now_ms: u64) {
        let (smallest_tokens, total_tokens) = self.waiting_tokens(budget);
        let Some(pending) = self.holders.sent_requests.get_mut(&budget) else { return };
        pending.sent_ms = now_ms;
        let (holder, number) = (pending.holder, pending.number);
        let account = self.grants.account(budget);
        let free_tokens = account.free_tokens();
        let headroom_tokens =
            account.rate_tokens_per_s().saturating_mul(REQUEST_HEADROOM_MS) / 1_000;
        let message = message::Message::TransferRequest {
            number,
            budget: account.name.clone(),
            needed_tokens: smallest_tokens.saturating_sub(free_tokens).max(1),
            wanted_tokens: total_tokens
                .saturating_add(headroom_tokens)
                .saturating_sub(free_tokens)
                .max(1),
            requester: self.members.own().clone(),
        };
        self.send(holder, message);
    }

    /// The token bounds of the requests that wait for a budget: the smallest one, and the sum.
    fn waiting_tokens(&self, budget: ids::BudgetSlot) -> (u64, u64) {
        let bounds =
            || self.requests_waiting_for(budget).map(|request| request.admission.bound_tokens);
        (bounds().min().unwrap_or(0), bounds().sum())
    }

    /// Whether requests wait for a budget.
    fn has_waiting_requests(&self, budget: ids::BudgetSlot) -> bool {
        self.requests_waiting_for(budget).next().is_some()
    }

    /// The requests that wait for a budget.
    fn requests_waiting_for(&self, budget: ids::BudgetSlot) -> impl Iterator<Item = &Request> {
        let waits = move |request: &&Request| {
            request.budget == budget && matches!(request.stage, Stage::WaitingBudget)
        };
        self.requests.values().filter(waits)
    }

    /// Refuses all requests that wait for a budget, and records that it is exhausted or unreachable.
    fn refuse_waiting_requests(&mut self, budget: ids::BudgetSlot, reason: Reason, now_ms: u64) {
        let (smallest_tokens, _) = self.waiting_tokens(budget);
        self.record_exhausted(budget, smallest_tokens, reason, now_ms);
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

    /// The next holder of a budget to send a request to; `None` if enough were tried, none is left, or it is this
    /// router.
    fn next_holder(
        &self,
        budget: ids::BudgetSlot,
        tried_holders: &[ids::Incarnation],
    ) -> Option<ids::Incarnation> {
        if tried_holders.len() >= HOLDERS_TRIED_MAX {
            return None;
        }
        let account = self.grants.account(budget);
        let mut holders = rank_holders(&account.name, &self.alive());
        holders.truncate((account.settings.holders as usize).max(HOLDERS_TRIED_MAX));
        // Spreads the requesting routers over the holders; the routers ranked next are the fallback.
        let first = self.settings.incarnation.0 % account.settings.holders.max(1);
        let offset = holders.len().min(first as usize);
        holders.rotate_left(offset);
        let skipped = |id: &ids::Incarnation| self.holders.skipped_until_ms.contains_key(id);
        let holder = holders.into_iter().find(|id| !tried_holders.contains(id) && !skipped(id))?;
        (holder != self.settings.incarnation).then_some(holder)
    }

    /// The routers that respond to probes, including this one.
    fn alive(&self) -> Vec<ids::Incarnation> {
        let alive = self.members.live().filter(|record| record.health == members::Health::Alive);
        alive.map(|record| record.id).chain([self.settings.incarnation]).collect()
    }

    /// Returns excess tokens to the holders of their budgets.
    fn return_excess(&mut self, now_ms: u64) {
        self.grants.clear_awaited_versions();
        let stopping = self.lifecycle == Lifecycle::Stopping;
        if !stopping && self.lifecycle != Lifecycle::Ready {
            return;
        }
        let returned: Vec<(ids::BudgetSlot, u64)> = self
            .grants
            .iter()
            .filter(|(_, account)| account.settings.holders > 0 && account.shortage_tokens == 0)
            .filter(|(_, account)| match stopping {
                // A grant drawn from the ledger is closed in the ledger; its tokens must not be sent elsewhere as well.
                true => !account.has_grant,
                false => !account.holder,
            })
            .filter_map(|(slot, account)| Some((slot, excess_tokens(account, stopping, now_ms)?)))
            .collect();
        for (budget, tokens) in returned {
            if let Some(holder) = self.next_holder(budget, &[]) {
                self.send_tokens(holder, budget, tokens, 0, now_ms);
                self.grants.account_mut(budget).record_sent_to_holder(tokens);
            }
        }
    }
}

/// The tokens that a router may return to a holder; `None` if there are none, or if a restore of the store may have
/// lost its grant.
fn excess_tokens(account: &grants::Account, stopping: bool, now_ms: u64) -> Option<u64> {
    let kept_tokens = match stopping || account.awaited_config_version > 0 {
        true => 0,
        false => account.rate_tokens_per_s().saturating_mul(KEPT_HEADROOM_MS) / 1_000,
    };
    // Tokens drawn from the ledger are returned to the ledger.
    let to_ledger_tokens = account.surplus_tokens();
    let excess = account.free_tokens().saturating_sub(kept_tokens).saturating_sub(to_ledger_tokens);
    let excess = excess.min(account.spendable_tokens(now_ms));
    (excess > 0 && !account.awaits_recovery).then_some(excess)
}

/// All of `routers` by their rank as holders of a budget, the first holder first.
fn rank_holders(budget: &str, routers: &[ids::Incarnation]) -> Vec<ids::Incarnation> {
    let subject = rendezvous::digest(budget);
    let mut ranked = routers.to_vec();
    ranked.sort_by_cached_key(|id| std::cmp::Reverse(rendezvous::weight(subject, id.0)));
    ranked
}
