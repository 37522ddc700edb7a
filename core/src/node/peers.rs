//! Messages between routers.

use super::{Action, Node};
use crate::{ids, log_index, log_writer, members, message, outbox};

/// After this long without the platform's list of VMs, peers are asked for theirs.
const PLATFORM_SILENT_MS: u64 = 3_000;

impl Node {
    /// Takes a message from a peer.
    pub fn message(&mut self, envelope: message::Envelope, now_ms: u64) {
        let message::Envelope { from, to, mut message } = envelope;
        if to != self.settings.incarnation {
            // Meant for an earlier life at this address: what that one did with it is not known.
            return;
        }
        if let Some(queued_ms) = self.max_queued_ms(now_ms) {
            message.add_age_ms(queued_ms);
        }
        match message {
            message::Message::Claim(claim) => {
                let entry = log_index::Entry::Claim(claim);
                let waiter = log_writer::Waiter::Peer(from);
                self.append(entry, waiter, log_writer::Urgency::Waited, now_ms);
            }
            message::Message::ClaimReply { claim, verdict } => {
                self.claim_decided(&claim, verdict, now_ms);
            }
            message::Message::Settle(settlement) => self.take_settlement(from, settlement, now_ms),
            message::Message::SettleStored(attempt) => self.settlement_safe(attempt),
            message::Message::SettleDurable(attempt) => self.settlement_durable(attempt),
            message::Message::TransferAsk { ref asker, .. } => {
                self.take_ask(asker.clone(), message, now_ms);
            }
            message::Message::Transfer { number, open_from, answers, budget, tokens } => {
                let seen = (from, number, open_from);
                self.take_transfer(seen, answers, &budget, tokens, now_ms);
            }
            message::Message::TransferTaken { number } => {
                self.outbox.transfers.remove(&number);
            }
            message::Message::TransferDeclined { number } => self.take_back(number),
            message::Message::TransferWait { number, budget } => self.holder_waits(&budget, number),
            message::Message::TransferNone { number, budget, certain } => {
                self.holder_has_none(&budget, number, certain, now_ms);
                self.note_answer(from, &budget, now_ms);
            }
            message::Message::ConfigAsk => self.send_config(from, now_ms),
            message::Message::Config { seen, evacuations, value, .. } => {
                self.take_config(from, seen, &evacuations, value, now_ms);
            }
            message::Message::VmsAsk => self.send_vms(from, now_ms),
            message::Message::Vms { seen, vms } => self.hear_vms(seen, vms, now_ms),
            message::Message::MembersAsk => self.send_members(from),
            message::Message::Members(records) => self.members.learn_all(records, now_ms),
            message::Message::PermitAsk { number, known, wanted } => {
                self.take_permit_ask(from, number, known, wanted, now_ms);
            }
            message::Message::Permits { number, vm, life, trial, granted } => {
                self.take_permits(number, &vm, life, trial, granted, now_ms);
            }
            message::Message::LedgerCopy { shard, position, value } => {
                self.take_ledger_copy(from, shard, position, &value);
            }
            message::Message::LedgerCopyStored { shard, write } => {
                if let Some(ledger) = self.ledgers.get_mut(shard as usize) {
                    ledger.copied(from, write);
                }
                self.tick_copies(now_ms);
                self.tick_waiting_budget(now_ms);
                self.answer_questions(now_ms);
            }
            message::Message::RecoveryAsk { era, shards, routers } => {
                self.take_recovery_ask(from, era, &shards, routers);
            }
            message::Message::RecoveryReply { era, shards, addresses } => {
                self.take_recovery_reply(from, era, &shards, addresses);
            }
            message::Message::LeftBehind { shard } => {
                if let Some(ledger) = self.ledgers.get_mut(shard as usize) {
                    ledger.poke();
                }
            }
        }
    }

    /// Takes a datagram from a peer.
    pub fn gossip(&mut self, gossip: &message::Gossip, now_ms: u64) {
        match self.max_queued_ms(now_ms) {
            None => self.take_gossip(gossip, now_ms),
            Some(queued_ms) => {
                let mut gossip = gossip.clone();
                gossip.add_age_ms(queued_ms);
                self.take_gossip(&gossip, now_ms);
            }
        }
    }

    fn take_gossip(&mut self, gossip: &message::Gossip, now_ms: u64) {
        self.members.heard(gossip, now_ms);
        let differs = self.hear_quarantine(&gossip.quarantine, now_ms);
        self.hear_limits(&gossip.limits, now_ms);
        for leaving in &gossip.leaving {
            self.hear_leaving_of(gossip.from.id, leaving);
        }
        match self.watching {
            Some(_) => self.hear_digest(gossip.from.id, &gossip.digest, now_ms),
            None => self.ask_for_newer(gossip, now_ms),
        }
        if gossip.kind == message::GossipKind::Ping {
            let mut news = self.members.news();
            if news.is_empty() {
                news = self.members.sample(&mut self.rng);
            }
            self.quarantine.answers = differs;
            self.push_gossip(gossip.from.address.clone(), message::GossipKind::Ack, news, now_ms);
        } else if differs && gossip.kind == message::GossipKind::Ack {
            self.quarantine.answers = true;
            let address = gossip.from.address.clone();
            self.push_gossip(address, message::GossipKind::Push, Vec::new(), now_ms);
        }
    }

    /// Where the shell follows the platform: asks for what a peer knows better.
    fn ask_for_newer(&mut self, gossip: &message::Gossip, now_ms: u64) {
        if gossip.digest.config_version > self.config_version() {
            self.send(gossip.from.id, message::Message::ConfigAsk);
        }
        let silent_ms = now_ms.saturating_sub(self.vms_heard_ms);
        let told = gossip.digest.servers.position;
        let newer = told > self.vms_index && self.accepts_era(told.era);
        if newer && silent_ms >= PLATFORM_SILENT_MS {
            self.send(gossip.from.id, message::Message::VmsAsk);
        }
    }

    pub(super) fn tick_members(&mut self, now_ms: u64) {
        if let Some(probe) = self.members.tick(now_ms, &mut self.rng) {
            let news = self.members.news();
            self.push_gossip(probe.address, message::GossipKind::Ping, news, now_ms);
        }
    }

    pub(super) fn announce_leaving(&mut self, now_ms: u64) {
        let addresses: Vec<String> =
            self.members.live().take(8).map(|record| record.address.clone()).collect();
        for address in addresses {
            self.push_gossip(address, message::GossipKind::Ping, Vec::new(), now_ms);
        }
    }

    pub(super) fn tick_transfers(&mut self, now_ms: u64) {
        let due: Vec<(u64, outbox::Outgoing)> = self
            .outbox
            .transfers
            .iter()
            .filter(|(_, outgoing)| outgoing.due(now_ms))
            .map(|(number, outgoing)| (*number, outgoing.clone()))
            .collect();
        for (number, outgoing) in due {
            let gone = self
                .members
                .find(outgoing.to)
                .is_none_or(|record| record.health > crate::members::Health::Suspect);
            let stopping = self.lifecycle == super::Lifecycle::Stopping;
            if gone && (stopping || outgoing.given_up(now_ms)) {
                // Nobody can tell whether it was applied; it stays counted as sent.
                self.outbox.transfers.remove(&number);
                continue;
            }
            if let Some(outgoing) = self.outbox.transfers.get_mut(&number) {
                outgoing.sent_ms = now_ms;
            }
            self.send_transfer(number, outgoing);
        }
    }

    pub(super) fn send(&mut self, to: ids::Incarnation, message: message::Message) {
        let Some(record) = self.members.find(to) else { return };
        let address = record.address.clone();
        self.counters.messages_sent += 1;
        let envelope = message::Envelope { from: self.settings.incarnation, to, message };
        self.actions.push(Action::Send { address, envelope });
    }

    pub(super) fn push_gossip(
        &mut self,
        address: String,
        kind: message::GossipKind,
        news: Vec<members::Record>,
        now_ms: u64,
    ) {
        let leaving = self.leavings.take_updates();
        let answers = std::mem::take(&mut self.quarantine.answers);
        let gossip = message::Gossip {
            from: self.members.own().clone(),
            kind,
            digest: self.digest(now_ms),
            news,
            leaving,
            quarantine: self.quarantine.table.next_updates(answers, now_ms),
            limits: self.limit_news(now_ms),
        };
        self.counters.gossip_sent += 1;
        self.actions.push(Action::Gossip { address, gossip });
    }

    fn take_settlement(
        &mut self,
        from: ids::Incarnation,
        settlement: log_index::Settlement,
        now_ms: u64,
    ) {
        if self.logs.is_empty() {
            return;
        }
        let attempt = settlement.attempt;
        self.send(from, message::Message::SettleStored(attempt));
        // Callers that repeat an unrepeatable request wait for its recorded outcome.
        let urgency = match settlement.outcome.is_some() {
            true => log_writer::Urgency::Waited,
            false => log_writer::Urgency::Gather,
        };
        let entry = log_index::Entry::Settle(settlement);
        self.append(entry, log_writer::Waiter::Peer(from), urgency, now_ms);
    }

    /// Answers a question for tokens: at once where every router holds the budget, or as its holder.
    fn take_ask(&mut self, asker: members::Record, ask: message::Message, now_ms: u64) {
        let message::Message::TransferAsk { number, budget, wanted_tokens, .. } = &ask else {
            return;
        };
        let slot = self.grants.find(budget);
        let held = slot.is_some_and(|slot| self.grants.account(slot).settings.holders > 0);
        if held {
            self.take_question(asker, ask, now_ms);
            return;
        }
        let ready = self.lifecycle == super::Lifecycle::Ready;
        // Of two routers that both lack tokens, those of the higher id go to the lower one.
        let yields = asker.id < self.settings.incarnation;
        let spare = slot.map_or(0, |slot| self.grants.account(slot).spare_tokens(yields));
        let given = if ready { spare.min(*wanted_tokens) } else { 0 };
        let known = self.members.find(asker.id).is_some();
        match slot.filter(|_| given > 0 && known) {
            Some(slot) => self.give(asker.id, slot, given, *number, now_ms),
            None => {
                let (number, budget) = (*number, budget.clone());
                let none = message::Message::TransferNone { number, budget, certain: false };
                self.send(asker.id, none);
            }
        }
    }

    fn take_transfer(
        &mut self,
        (from, number, open_from): (ids::Incarnation, u64, u64),
        answers: u64,
        budget: &str,
        tokens: u64,
        now_ms: u64,
    ) {
        let slot = self.grants.find(budget);
        let open = self.lifecycle == super::Lifecycle::Ready;
        match (self.outbox.earlier(from, number), slot.filter(|_| open)) {
            (outbox::Earlier::Applied, _) => {
                self.send(from, message::Message::TransferTaken { number });
            }
            (outbox::Earlier::New, Some(slot)) => {
                self.outbox.note(from, number, open_from, true);
                self.grants.account_mut(slot).received_tokens += tokens;
                self.counters.transfers_received += 1;
                self.send(from, message::Message::TransferTaken { number });
                self.holder_gave(slot, answers);
                self.note_answer(from, budget, now_ms);
            }
            (outbox::Earlier::Declined, _) | (outbox::Earlier::New, None) => {
                // Remembered, so that a copy that comes later is not applied after all.
                self.outbox.note(from, number, open_from, false);
                self.send(from, message::Message::TransferDeclined { number });
            }
        }
    }

    /// The receiver will never apply the transfer: its tokens are free here again.
    fn take_back(&mut self, number: u64) {
        let Some(outgoing) = self.outbox.transfers.remove(&number) else { return };
        if let Some(slot) = self.grants.find(&outgoing.budget) {
            self.grants.account_mut(slot).sent_tokens -= outgoing.tokens;
        }
    }

    fn note_answer(&mut self, from: ids::Incarnation, budget: &str, now_ms: u64) {
        if let Some(slot) = self.grants.find(budget) {
            self.asks.entry(slot).or_default().answered(from);
        }
        self.tick_waiting_budget(now_ms);
    }
}
