//! Obtains tokens for waiting requests: from the store first, then from peers.

use super::{Node, Reason, Stage, TokenSearch};
use crate::{ids, ledger, message};
use rand::seq::IndexedRandom;

/// Upper bound on the peers that are sent a transfer request at once.
const TRANSFER_PEERS_MAX: usize = 8;
/// Time after which peers without a reply are no longer waited for.
const PEER_REPLY_TIMEOUT_MS: u64 = 150;
/// Time for which only the store is waited for, before transfers are requested from peers as well.
const PEER_REQUEST_DELAY_MS: u64 = 60;
/// Time after an unsuccessful search for tokens in which requests of the same size or larger are refused without
/// another search.
const EXHAUSTED_REFUSAL_MS: u64 = 100;

impl Node {
    pub(super) fn tick_waiting_budget(&mut self, now_ms: u64) {
        let waiting = self
            .requests
            .iter()
            .filter(|(_, request)| matches!(request.stage, Stage::WaitingBudget));
        let mut waiting: Vec<(u64, ids::RequestSlot)> =
            waiting.map(|(slot, request)| (request.stage_since_ms, slot)).collect();
        // Later requests reuse earlier slots, and would take the tokens of those that have waited longer.
        waiting.sort_unstable_by_key(|(since_ms, _)| *since_ms);
        for (_, slot) in &waiting {
            if !self.try_reserve(*slot, now_ms) {
                self.continue_search(*slot, now_ms);
            }
        }
        self.update_shortages();
    }

    /// Records how many tokens a request asks for, of which the average size of requests is taken.
    pub(super) fn record_asked_tokens(&mut self, slot: ids::RequestSlot) {
        let Some(request) = self.requests.get(slot) else { return };
        let (budget, bound_tokens) = (request.budget, request.admission.bound_tokens);
        if bound_tokens > 0 {
            self.grants.account_mut(budget).throttle.record_request(bound_tokens);
        }
    }

    pub(super) fn request_tokens(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        self.update_shortages();
        let Some(request) = self.requests.get(slot) else { return };
        let (budget, bound) = (request.budget, request.admission.bound_tokens);
        if self.is_refused_by_throttle(budget, bound, now_ms) {
            self.refuse(slot, Reason::BudgetLow, now_ms);
            return;
        }
        let search = self.token_searches.entry(budget).or_default();
        if now_ms < search.refused_until_ms && bound >= search.refused_tokens {
            let reason = search.refused_reason.unwrap_or(Reason::BudgetExhausted);
            self.refuse(slot, reason, now_ms);
            return;
        }
        if self.uses_holders(budget, now_ms) {
            self.request_from_holder(budget, now_ms);
            return;
        }
        let account = self.grants.account(budget);
        if account.settings.holders == 1
            && self.is_remainder_insufficient(budget, bound, now_ms + 1, now_ms)
        {
            let reason = match account.is_covered_by_reserve(bound) {
                true => Reason::BudgetUnreachable,
                false => Reason::BudgetExhausted,
            };
            self.refuse(slot, reason, now_ms);
            return;
        }
        self.request_ledger_sync(budget);
        self.tick_platform(now_ms);
    }

    /// Requests a sync of the budget's ledger shard as soon as possible.
    pub(super) fn request_ledger_sync(&mut self, budget: ids::BudgetSlot) {
        let shard = self.ledger_shard(budget);
        if let Some(ledger) = self.ledgers.get_mut(shard) {
            ledger.request_sync();
        }
    }

    pub(super) fn ledger_shard(&self, budget: ids::BudgetSlot) -> usize {
        let name = &self.grants.account(budget).name;
        ledger::shard_of(name, self.ledgers.len() as u32) as usize
    }

    /// Continues the search for tokens of a waiting request: the store first, then peers. Refuses the request when
    /// neither has enough.
    fn continue_search(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        let Some(request) = self.requests.get(slot) else { return };
        let (budget, since_ms) = (request.budget, request.stage_since_ms);
        let (bound, deadline_ms) = (request.admission.bound_tokens, request.admission.deadline_ms);
        if self.is_refused_by_throttle(budget, bound, now_ms) {
            self.refuse(slot, Reason::BudgetLow, now_ms);
            return;
        }
        if self.uses_holders(budget, now_ms) {
            self.continue_holder_search(slot, now_ms);
            return;
        }
        let waited_ms = now_ms.saturating_sub(since_ms);
        let search = self.token_searches.entry(budget).or_default();
        let synced = search.synced_ms >= since_ms && search.synced_ms > 0;
        let account = self.grants.account(budget);
        let left_tokens = account.remaining_tokens.unwrap_or(0);
        let sufficient = left_tokens.saturating_add(account.free_or_locked_tokens()) >= bound;
        // Tokens in reserve cannot be drawn in time for this request.
        let shortage_reason = match account.is_covered_by_reserve(bound) {
            true => Reason::BudgetUnreachable,
            false => Reason::BudgetExhausted,
        };
        // If enough is left, the sync that ended began before this shortage was recorded.
        let certainly_insufficient = synced && !sufficient;
        // Holders get no tokens from one another, and other routers have none of the budget to spare, so a single
        // holder sends no requests to peers.
        let single_holder = account.settings.holders == 1;
        let requested =
            single_holder || (search.requested_ms >= since_ms && search.requested_ms > 0);
        let answered = requested
            && (search.unanswered.is_empty()
                || now_ms >= search.requested_ms + PEER_REPLY_TIMEOUT_MS);
        if !requested && (certainly_insufficient || waited_ms >= PEER_REQUEST_DELAY_MS) {
            self.request_transfers(budget, now_ms);
        } else if certainly_insufficient && answered {
            self.record_exhausted(budget, bound, shortage_reason, now_ms);
            self.refuse(slot, shortage_reason, now_ms);
        } else if waited_ms < self.settings.budget_wait_ms && now_ms < deadline_ms {
            if synced && sufficient {
                self.request_ledger_sync(budget);
            }
        } else {
            let reason =
                if certainly_insufficient { shortage_reason } else { Reason::BudgetUnreachable };
            self.refuse(slot, reason, now_ms);
        }
    }

    /// Records that a search for `tokens` failed: requests of this size or larger are refused for
    /// [`EXHAUSTED_REFUSAL_MS`].
    pub(super) fn record_exhausted(
        &mut self,
        budget: ids::BudgetSlot,
        tokens: u64,
        reason: Reason,
        now_ms: u64,
    ) {
        let search = self.token_searches.entry(budget).or_default();
        search.refused_until_ms = now_ms + EXHAUSTED_REFUSAL_MS;
        search.refused_tokens = tokens;
        search.refused_reason = Some(reason);
    }

    fn request_transfers(&mut self, budget: ids::BudgetSlot, now_ms: u64) {
        let account = self.grants.account(budget);
        let missing_tokens = account.shortage_tokens.saturating_sub(account.free_tokens());
        let name = account.name.clone();
        let live: Vec<ids::Incarnation> = self.members.live().map(|record| record.id).collect();
        let requested: Vec<ids::Incarnation> =
            live.sample(&mut self.rng, TRANSFER_PEERS_MAX).copied().collect();
        let search = self.token_searches.entry(budget).or_default();
        search.requested_ms = now_ms.max(1);
        search.unanswered = requested.iter().copied().collect();
        let requester = self.members.own().clone();
        for peer in requested {
            let message = message::Message::TransferRequest {
                number: 0,
                budget: name.clone(),
                needed_tokens: 1,
                wanted_tokens: missing_tokens,
                requester: requester.clone(),
            };
            self.send(peer, message);
        }
    }

    /// Updates the shortage of each budget, for draws and transfers, from the requests and transfer requests that wait.
    pub(super) fn update_shortages(&mut self) {
        let waiting =
            self.requests.values().filter(|request| matches!(request.stage, Stage::WaitingBudget));
        let shortages = waiting.map(|request| (request.budget, request.admission.bound_tokens));
        let requested: Vec<(ids::BudgetSlot, u64)> = self.requested_tokens().collect();
        self.grants.set_shortages(shortages, requested.into_iter());
    }
}

impl TokenSearch {
    /// Records that a peer replied, with or without tokens.
    pub(super) fn record_reply(&mut self, peer: ids::Incarnation) {
        self.unanswered.remove(&peer);
    }
}
