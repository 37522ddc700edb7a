//! Where the tokens of a waiting request come from: the store first, then peers.

use super::{Ask, Node, Reason, Stage};
use crate::{ids, ledger, message};
use rand::seq::IndexedRandom;

/// The most peers that are asked for a transfer at once.
const PEERS_ASKED: usize = 8;
/// How long peers may take to answer.
const PEER_WAIT_MS: u64 = 150;
/// How long the store is waited for before peers are asked as well.
const STORE_FIRST_MS: u64 = 60;
/// How long a vain search for tokens settles the matter for like requests.
const EXHAUSTED_FOR_MS: u64 = 100;

impl Node {
    pub(super) fn tick_waiting_budget(&mut self, now_ms: u64) {
        let waiting: Vec<ids::RequestSlot> = self
            .requests
            .iter()
            .filter(|(_, request)| matches!(request.stage, Stage::WaitingBudget))
            .map(|(slot, _)| slot)
            .collect();
        for slot in &waiting {
            if !self.try_reserve(*slot, now_ms) {
                self.search_tokens(*slot, now_ms);
            }
        }
        self.sum_shortages();
    }

    pub(super) fn want_tokens(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        self.sum_shortages();
        let Some(request) = self.requests.get(slot) else { return };
        let (budget, bound) = (request.budget, request.wanted.bound_tokens);
        let ask = self.asks.entry(budget).or_default();
        if now_ms < ask.refused_until_ms && bound >= ask.refused_tokens {
            let reason = ask.refused_reason.unwrap_or(Reason::BudgetExhausted);
            self.refuse(slot, reason, now_ms);
            return;
        }
        if self.asks_holders(budget, now_ms) {
            self.ask_holder(budget, now_ms);
            return;
        }
        let account = self.grants.account(budget);
        if account.settings.holders == 1 && self.too_little_left(budget, bound, now_ms + 1, now_ms)
        {
            let reason = match account.is_covered_by_reserve(bound) {
                true => Reason::BudgetUnreachable,
                false => Reason::BudgetExhausted,
            };
            self.refuse(slot, reason, now_ms);
            return;
        }
        self.poke_ledger_of(budget);
        self.tick_platform(now_ms);
    }

    /// Has the ledger of a budget read or written as soon as may be.
    pub(super) fn poke_ledger_of(&mut self, budget: ids::BudgetSlot) {
        let shard = self.ledger_shard(budget);
        if let Some(ledger) = self.ledgers.get_mut(shard) {
            ledger.poke();
        }
    }

    pub(super) fn ledger_shard(&self, budget: ids::BudgetSlot) -> usize {
        let name = &self.grants.account(budget).name;
        ledger::shard_of(name, self.ledgers.len() as u32) as usize
    }

    /// Looks further for tokens: the store first, then peers; refuses when neither can help.
    fn search_tokens(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        let Some(request) = self.requests.get(slot) else { return };
        let (budget, since_ms) = (request.budget, request.stage_since_ms);
        if self.asks_holders(budget, now_ms) {
            self.search_holders(slot, now_ms);
            return;
        }
        let bound = request.wanted.bound_tokens;
        let deadline_ms = request.wanted.deadline_ms;
        let waited_ms = now_ms.saturating_sub(since_ms);
        let ask = self.asks.entry(budget).or_default();
        let read = ask.followed_ms >= since_ms && ask.followed_ms > 0;
        let account = self.grants.account(budget);
        let left_tokens = account.remaining_tokens.unwrap_or(0);
        let enough = left_tokens.saturating_add(account.free_or_locked_tokens()) >= bound;
        // What is in reserve cannot be drawn soon enough for this request.
        let lack = match account.is_covered_by_reserve(bound) {
            true => Reason::BudgetUnreachable,
            false => Reason::BudgetExhausted,
        };
        // With enough left, the round that ended began before this need was known.
        let followed = read && !enough;
        // Holders have nothing of one another; who does not hold a budget has nothing to spare.
        let alone = account.settings.holders == 1;
        let asked = alone || (ask.asked_ms >= since_ms && ask.asked_ms > 0);
        let answered =
            asked && (ask.unanswered.is_empty() || now_ms >= ask.asked_ms + PEER_WAIT_MS);
        if !asked && (followed || waited_ms >= STORE_FIRST_MS) {
            self.ask_peers(budget, now_ms);
        } else if followed && answered {
            self.note_exhausted(budget, bound, lack, now_ms);
            self.refuse(slot, lack, now_ms);
        } else if waited_ms < self.settings.budget_wait_ms && now_ms < deadline_ms {
            if read && enough {
                self.poke_ledger_of(budget);
            }
        } else {
            let reason = if followed { lack } else { Reason::BudgetUnreachable };
            self.refuse(slot, reason, now_ms);
        }
    }

    /// Requests of this size or more need not search for a while.
    pub(super) fn note_exhausted(
        &mut self,
        budget: ids::BudgetSlot,
        tokens: u64,
        reason: Reason,
        now_ms: u64,
    ) {
        let ask = self.asks.entry(budget).or_default();
        ask.refused_until_ms = now_ms + EXHAUSTED_FOR_MS;
        ask.refused_tokens = tokens;
        ask.refused_reason = Some(reason);
    }

    fn ask_peers(&mut self, budget: ids::BudgetSlot, now_ms: u64) {
        let account = self.grants.account(budget);
        let lacking = account.shortage_tokens.saturating_sub(account.free_tokens());
        let name = account.name.clone();
        let live: Vec<ids::Incarnation> = self.members.live().map(|record| record.id).collect();
        let asked: Vec<ids::Incarnation> =
            live.sample(&mut self.rng, PEERS_ASKED).copied().collect();
        let ask = self.asks.entry(budget).or_default();
        ask.asked_ms = now_ms.max(1);
        ask.unanswered = asked.iter().copied().collect();
        let asker = self.members.own().clone();
        for peer in asked {
            let message = message::Message::TransferRequest {
                number: 0,
                budget: name.clone(),
                needed_tokens: 1,
                wanted_tokens: lacking,
                requester: asker.clone(),
            };
            self.send(peer, message);
        }
    }

    /// Notes what waiting requests lack, for the draws and the transfers.
    pub(super) fn sum_shortages(&mut self) {
        let waiting = self.requests.values().filter(|it| matches!(it.stage, Stage::WaitingBudget));
        let lacking = waiting.map(|request| (request.budget, request.wanted.bound_tokens));
        let asked: Vec<(ids::BudgetSlot, u64)> = self.asked_tokens().collect();
        self.grants.note_shortages(lacking, asked.into_iter());
    }
}

impl Ask {
    /// Notes that a peer answered, with tokens or without.
    pub(super) fn answered(&mut self, peer: ids::Incarnation) {
        self.unanswered.remove(&peer);
    }
}
