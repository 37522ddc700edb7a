//! The holder's side of a budget that few routers hold in hand: other routers' questions for tokens.

use super::{Lifecycle, Node};
use crate::{ids, ledger_writer, members, message, outbox};

/// How long a holder waits for the store before it says that it cannot tell: a slow store needs a quarter of
/// a second for a call.
pub(super) const STORE_WAIT_MS: u64 = 300;
/// For how long a holder relies on the ledger's last word that too little is left: others take from a
/// budget, and what is paid in comes with a configuration, which has the ledger read at once.
const LEFT_KNOWN_MS: u64 = 1_000;

/// A question of another router that waits here.
#[derive(Debug)]
pub(super) struct Question {
    asker: ids::Incarnation,
    number: u64,
    pub(super) budget: ids::BudgetSlot,
    needed_tokens: u64,
    wanted_tokens: u64,
    since_ms: u64,
}

impl Node {
    /// Takes a question of another router.
    pub(super) fn take_question(
        &mut self,
        asker: members::Record,
        question: message::Message,
        now_ms: u64,
    ) {
        let message::Message::TransferRequest {
            number, budget, needed_tokens, wanted_tokens, ..
        } = question
        else {
            return;
        };
        let id = asker.id;
        self.members.merge_self_reported(asker, now_ms);
        if let Some((transfer, outgoing)) = self.outbox.reply_to(id, number) {
            self.send_transfer(transfer, outgoing);
            return;
        }
        let ready = self.lifecycle == Lifecycle::Ready;
        let Some(slot) = self.grants.find(&budget).filter(|_| ready) else {
            self.send(id, message::Message::TransferUnavailable { number, budget, certain: false });
            return;
        };
        let known = |it: &Question| it.asker == id && it.number == number;
        if !self.holders.questions.iter().any(known) {
            self.holders.questions.push(Question {
                asker: id,
                number,
                budget: slot,
                needed_tokens,
                wanted_tokens,
                since_ms: now_ms,
            });
        }
        self.answer_questions(now_ms);
        if self.holders.questions.iter().any(known) {
            self.send(id, message::Message::TransferDeferred { number, budget });
        }
    }

    /// What the questions that wait here lack.
    pub(super) fn asked_tokens(&self) -> impl Iterator<Item = (ids::BudgetSlot, u64)> {
        self.holders.questions.iter().map(|question| (question.budget, question.needed_tokens))
    }

    /// Answers the questions that can be answered.
    pub(super) fn answer_questions(&mut self, now_ms: u64) {
        if self.holders.questions.is_empty() {
            return;
        }
        for question in std::mem::take(&mut self.holders.questions) {
            self.answer_question(question, now_ms);
        }
        if self.holders.questions.is_empty() {
            return;
        }
        self.sum_shortages();
        let budgets: Vec<ids::BudgetSlot> =
            self.holders.questions.iter().map(|question| question.budget).collect();
        for budget in budgets {
            self.grants.account_mut(budget).draws = true;
            self.poke_ledger_of(budget);
        }
        self.tick_platform(now_ms);
    }

    fn answer_question(&mut self, question: Question, now_ms: u64) {
        let account = self.grants.account(question.budget);
        let free_tokens = account.unclaimed_tokens();
        if free_tokens >= question.needed_tokens && self.lifecycle == Lifecycle::Ready {
            let tokens = free_tokens.min(question.wanted_tokens.max(question.needed_tokens));
            self.give(question.asker, question.budget, tokens, question.number, now_ms);
            return;
        }
        let certain = self.too_little_left(
            question.budget,
            question.needed_tokens,
            question.since_ms,
            now_ms,
        );
        let shard = self.ledger_shard(question.budget);
        let away = self.ledgers.get(shard).is_none_or(ledger_writer::Writer::unanswered);
        let waited = now_ms >= question.since_ms + STORE_WAIT_MS;
        if certain || away || waited || self.lifecycle != Lifecycle::Ready {
            let budget = self.grants.account(question.budget).name.clone();
            let number = question.number;
            self.send(
                question.asker,
                message::Message::TransferUnavailable { number, budget, certain },
            );
            return;
        }
        self.holders.questions.push(question);
    }

    /// Whether the ledger surely has too little left: it was read since `since_ms` or shortly before, and had
    /// less than is needed. A round that ends with enough left began before the need was known.
    pub(super) fn too_little_left(
        &self,
        budget: ids::BudgetSlot,
        needed_tokens: u64,
        since_ms: u64,
        now_ms: u64,
    ) -> bool {
        let followed_ms = self.asks.get(&budget).map_or(0, |ask| ask.followed_ms);
        if followed_ms == 0 {
            return false;
        }
        let account = self.grants.account(budget);
        let left_tokens = account.remaining_tokens.unwrap_or(u64::MAX);
        let less = left_tokens.saturating_add(account.free_or_locked_tokens()) < needed_tokens;
        less && (followed_ms >= since_ms || now_ms < followed_ms + LEFT_KNOWN_MS)
    }

    /// Takes tokens out of this router's account and sends them to a peer.
    pub(super) fn give(
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
            since_ms: now_ms,
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
