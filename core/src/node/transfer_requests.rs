//! Transfer requests that a holder of a budget receives from other routers, for budgets that only few routers hold.

use super::{Lifecycle, Node};
use crate::{ids, ledger_writer, members, message, outbox};

/// Time that a holder waits for the store before it replies, without certainty, that no tokens are available: a slow
/// store needs a quarter of a second for a call.
pub(super) const STORE_WAIT_MS: u64 = 300;
/// Time for which the last read of the ledger is evidence that too little is left. Other routers only draw from the
/// budget; a payment arrives with a configuration, after which the ledger is read at once.
const REMAINDER_VALID_MS: u64 = 1_000;

/// A transfer request of another router that waits for tokens.
#[derive(Debug)]
pub(super) struct TransferRequest {
    requester: ids::Incarnation,
    number: u64,
    pub(super) budget: ids::BudgetSlot,
    needed_tokens: u64,
    wanted_tokens: u64,
    since_ms: u64,
}

impl Node {
    /// Handles a transfer request of another router for a budget with holders: answers it, or queues it until tokens
    /// are drawn. A repeated request gets the same transfer again.
    pub(super) fn handle_request_as_holder(
        &mut self,
        requester: members::Record,
        request: message::Message,
        now_ms: u64,
    ) {
        let message::Message::TransferRequest {
            number, budget, needed_tokens, wanted_tokens, ..
        } = request
        else {
            return;
        };
        let id = requester.id;
        self.members.merge_self_reported(requester, now_ms);
        if let Some((transfer, outgoing)) = self.outbox.reply_to(id, number) {
            self.send_transfer(transfer, outgoing);
            return;
        }
        let ready = self.lifecycle == Lifecycle::Ready;
        let Some(slot) = self.grants.find(&budget).filter(|_| ready) else {
            let shortage = message::Shortage::Unknown;
            self.send(id, message::Message::TransferUnavailable { number, budget, shortage });
            return;
        };
        let same_request =
            |queued: &TransferRequest| queued.requester == id && queued.number == number;
        if !self.holders.received_requests.iter().any(same_request) {
            self.grants.account_mut(slot).throttle.record_request(needed_tokens);
            self.holders.received_requests.push(TransferRequest {
                requester: id,
                number,
                budget: slot,
                needed_tokens,
                wanted_tokens,
                since_ms: now_ms,
            });
        }
        self.answer_transfer_requests(now_ms);
        if self.holders.received_requests.iter().any(same_request) {
            self.send(id, message::Message::TransferDeferred { number, budget });
        }
    }

    /// The tokens that queued transfer requests need, by budget.
    pub(super) fn requested_tokens(&self) -> impl Iterator<Item = (ids::BudgetSlot, u64)> {
        self.holders.received_requests.iter().map(|request| (request.budget, request.needed_tokens))
    }

    /// Answers the queued transfer requests that can be answered, and requests a sync of the ledger for the others.
    pub(super) fn answer_transfer_requests(&mut self, now_ms: u64) {
        if self.holders.received_requests.is_empty() {
            return;
        }
        for request in std::mem::take(&mut self.holders.received_requests) {
            self.answer_transfer_request(request, now_ms);
        }
        if self.holders.received_requests.is_empty() {
            return;
        }
        self.update_shortages();
        let budgets: Vec<ids::BudgetSlot> =
            self.holders.received_requests.iter().map(|request| request.budget).collect();
        for budget in budgets {
            self.grants.account_mut(budget).draws_on_demand = true;
            self.request_ledger_sync(budget);
        }
        self.tick_platform(now_ms);
    }

    fn answer_transfer_request(&mut self, request: TransferRequest, now_ms: u64) {
        if self.is_refused_by_throttle(request.budget, request.needed_tokens, now_ms) {
            self.send_unavailable(&request, message::Shortage::Low);
            return;
        }
        let account = self.grants.account_mut(request.budget);
        let free_tokens = account.unneeded_tokens(now_ms);
        if free_tokens >= request.needed_tokens && self.lifecycle == Lifecycle::Ready {
            let tokens =
                account.take_for_transfer(request.needed_tokens, request.wanted_tokens, now_ms);
            self.send_tokens(request.requester, request.budget, tokens, request.number, now_ms);
            return;
        }
        let certain = self.is_remainder_insufficient(
            request.budget,
            request.needed_tokens,
            request.since_ms,
            now_ms,
        );
        let shard = self.ledger_shard(request.budget);
        let store_unanswered =
            self.ledgers.get(shard).is_none_or(ledger_writer::Writer::unanswered);
        let wait_over = now_ms >= request.since_ms + STORE_WAIT_MS;
        if certain || store_unanswered || wait_over || self.lifecycle != Lifecycle::Ready {
            let shortage = match certain {
                true => message::Shortage::Exhausted,
                false => message::Shortage::Unknown,
            };
            self.send_unavailable(&request, shortage);
            return;
        }
        self.holders.received_requests.push(request);
    }

    /// Replies to a transfer request that no tokens are transferred.
    fn send_unavailable(&mut self, request: &TransferRequest, shortage: message::Shortage) {
        let budget = self.grants.account(request.budget).name.clone();
        let number = request.number;
        let reply = message::Message::TransferUnavailable { number, budget, shortage };
        self.send(request.requester, reply);
    }

    /// Whether a request must be refused because the last part of the budget is spread over time. Reads the ledger again
    /// if it was not read for a while, because a payment ends this.
    pub(super) fn is_refused_by_throttle(
        &mut self,
        budget: ids::BudgetSlot,
        tokens: u64,
        now_ms: u64,
    ) -> bool {
        let account = self.grants.account(budget);
        let refused = account.is_refused_by_throttle(tokens);
        let read_ms = account.ledger_read_ms.unwrap_or(0);
        if refused && now_ms >= read_ms + REMAINDER_VALID_MS {
            self.request_ledger_sync(budget);
        }
        refused
    }

    /// Whether the ledger certainly has too little left: it was read since `since_ms` or shortly before, and had
    /// less than is needed. A sync that ends with enough left began before the shortage was recorded.
    pub(super) fn is_remainder_insufficient(
        &self,
        budget: ids::BudgetSlot,
        needed_tokens: u64,
        since_ms: u64,
        now_ms: u64,
    ) -> bool {
        let synced_ms = self.token_searches.get(&budget).map_or(0, |search| search.synced_ms);
        if synced_ms == 0 {
            return false;
        }
        let account = self.grants.account(budget);
        let left_tokens = account.remaining_tokens.unwrap_or(u64::MAX);
        let insufficient =
            left_tokens.saturating_add(account.free_or_locked_tokens()) < needed_tokens;
        insufficient && (synced_ms >= since_ms || now_ms < synced_ms + REMAINDER_VALID_MS)
    }

    /// Deducts tokens from this router's account and sends them to a peer. `in_reply_to` is the number of the peer's
    /// request that they are the reply to; 0 if there is none.
    pub(super) fn send_tokens(
        &mut self,
        to: ids::Incarnation,
        budget: ids::BudgetSlot,
        tokens: u64,
        in_reply_to: u64,
        now_ms: u64,
    ) {
        if self.members.find(to).is_none() || tokens == 0 {
            return;
        }
        let account = self.grants.account_mut(budget);
        account.sent_tokens += tokens;
        let budget = account.name.clone();
        self.counters.transfers_sent += 1;
        let outgoing = outbox::OutgoingTransfer {
            to,
            budget,
            tokens,
            in_reply_to,
            first_sent_ms: now_ms,
            sent_ms: now_ms,
        };
        let number = self.outbox.add_transfer(outgoing.clone());
        self.send_transfer(number, outgoing);
    }

    pub(super) fn send_transfer(&mut self, number: u64, outgoing: outbox::OutgoingTransfer) {
        let outbox::OutgoingTransfer { to, budget, tokens, in_reply_to, .. } = outgoing;
        let open_from = self.outbox.open_from();
        self.send(
            to,
            message::Message::Transfer { number, open_from, in_reply_to, budget, tokens },
        );
    }
}
