//! Messages and datagrams between routers: dispatches received ones to their handlers, and sends others.

use super::{Action, Node};
use crate::{ids, log_index, log_writer, members, message, outbox};

/// Time without a list of VMs from the platform after which peers are requested to send theirs.
const VMS_MISSING_MS: u64 = 3_000;

impl Node {
    /// Handles a message from a peer.
    pub fn handle_message(&mut self, envelope: message::Envelope, now_ms: u64) {
        let message::Envelope { from, to, mut message } = envelope;
        if to != self.settings.incarnation {
            // Addressed to an earlier incarnation at this address: what that one did before is not known here.
            return;
        }
        if let Some(queued_ms) = self.max_queued_ms(now_ms) {
            message.add_age_ms(queued_ms);
        }
        match message {
            message::Message::Claim(claim) => {
                let entry = log_index::Entry::Claim(claim);
                let waiter = log_writer::Waiter::Peer(from);
                self.append_to_log(entry, waiter, log_writer::Urgency::Immediate, now_ms);
            }
            message::Message::ClaimReply { claim, verdict } => {
                self.handle_claim_verdict(&claim, verdict, now_ms);
            }
            message::Message::Settle(settlement) => {
                self.handle_settlement(from, settlement, now_ms)
            }
            message::Message::SettleStored(attempt) => self.mark_settlement_safe(attempt),
            message::Message::SettleDurable(attempt) => self.mark_settlement_durable(attempt),
            message::Message::TransferRequest { ref requester, .. } => {
                self.handle_transfer_request(requester.clone(), message, now_ms);
            }
            message::Message::Transfer { number, open_from, in_reply_to, budget, tokens } => {
                let transfer_id = (from, number, open_from);
                self.handle_transfer(transfer_id, in_reply_to, &budget, tokens, now_ms);
            }
            message::Message::TransferApplied { number } => {
                self.outbox.transfers.remove(&number);
            }
            message::Message::TransferDeclined { number } => self.revert_transfer(number),
            message::Message::TransferDeferred { number, budget } => {
                self.handle_transfer_deferred(&budget, number)
            }
            message::Message::TransferUnavailable { number, budget, shortage } => {
                self.handle_transfer_unavailable(&budget, number, shortage, now_ms);
                self.record_transfer_reply(from, &budget, now_ms);
            }
            message::Message::ConfigRequest => self.send_config(from, now_ms),
            message::Message::Config { copy_state, evacuations, value, .. } => {
                self.handle_config(from, copy_state, &evacuations, value, now_ms);
            }
            message::Message::VmsRequest => self.send_vms(from, now_ms),
            message::Message::Vms { copy_state, vms } => self.handle_vms(copy_state, vms, now_ms),
            message::Message::MembersRequest => self.send_members(from),
            message::Message::Members(records) => self.members.merge_all(records, now_ms),
            message::Message::PermitRequest { number, limit_update, requested } => {
                self.handle_permit_request(from, number, limit_update, requested, now_ms);
            }
            message::Message::PermitReply { number, vm, incarnation, trial, granted } => {
                self.handle_permit_reply(number, &vm, incarnation, trial, granted, now_ms);
            }
            message::Message::SeatRequest { brittle, requested } => {
                self.handle_seat_request(from, brittle, requested, now_ms);
            }
            message::Message::SeatReply { number, vm, incarnation, dealt } => {
                self.handle_seat_reply(number, &vm, incarnation, dealt, now_ms);
            }
            message::Message::LedgerCopy { shard, position, value } => {
                self.handle_ledger_copy(from, shard, position, &value);
            }
            message::Message::LedgerCopyStored { shard, write } => {
                if let Some(ledger) = self.ledgers.get_mut(shard as usize) {
                    ledger.record_copy(from, write);
                }
                self.tick_ledger_copies(now_ms);
                self.tick_waiting_budget(now_ms);
                self.answer_transfer_requests(now_ms);
            }
            message::Message::RecoveryRequest { era, shards, routers } => {
                self.handle_recovery_request(from, era, &shards, routers);
            }
            message::Message::RecoveryReply { era, shards, addresses } => {
                self.handle_recovery_reply(from, era, &shards, addresses);
            }
            message::Message::StreamOrigins { number, origin, streams } => {
                self.handle_stream_origins(from, number, &origin, &streams, now_ms);
            }
            message::Message::StreamOriginsStored { number } => {
                self.handle_stream_origins_stored(from, number);
            }
            message::Message::StreamOriginRequest { number, stream, services } => {
                self.handle_origin_request(from, number, stream, &services, now_ms);
            }
            message::Message::StreamOriginReply { number, reply } => {
                self.handle_origin_reply(from, number, reply, now_ms);
            }
            message::Message::VersionRecordRequest { number } => {
                self.handle_record_request(from, number, now_ms);
            }
            message::Message::VersionRecordReply { number, copy } => {
                self.handle_record_reply_of_peer(from, number, copy, now_ms);
            }
            message::Message::StaleHolder { shard } => {
                if let Some(ledger) = self.ledgers.get_mut(shard as usize) {
                    ledger.request_sync();
                }
            }
        }
    }

    /// Handles a datagram from a peer.
    pub fn handle_gossip(&mut self, gossip: &message::Gossip, now_ms: u64) {
        match self.max_queued_ms(now_ms) {
            None => self.merge_gossip(gossip, now_ms),
            Some(queued_ms) => {
                let mut gossip = gossip.clone();
                gossip.add_age_ms(queued_ms);
                self.merge_gossip(&gossip, now_ms);
            }
        }
    }

    fn merge_gossip(&mut self, gossip: &message::Gossip, now_ms: u64) {
        self.members.handle_gossip(gossip, now_ms);
        let table_differs = self.merge_quarantine(&gossip.quarantine, now_ms);
        self.merge_statements(gossip, now_ms);
        self.merge_version_record(gossip.from.id, gossip.extension.as_ref(), now_ms);
        for leaving in &gossip.leaving {
            self.merge_leaving(gossip.from.id, leaving);
        }
        match self.watching {
            Some(_) => {
                self.merge_digest(gossip.from.id, &gossip.digest, gossip.confirmations, now_ms);
            }
            None => self.request_newer_copies(gossip, now_ms),
        }
        if gossip.kind == message::GossipKind::Ping {
            let mut records = self.members.take_updates();
            if records.is_empty() {
                records = self.members.sample(&mut self.rng);
            }
            self.quarantine.peer_differs = table_differs;
            self.push_gossip(
                gossip.from.address.clone(),
                message::GossipKind::Ack,
                records,
                now_ms,
            );
        } else if gossip.kind == message::GossipKind::Ack
            && (table_differs || self.version_record.peer_lacks_record())
        {
            self.quarantine.peer_differs = table_differs;
            let address = gossip.from.address.clone();
            self.push_gossip(address, message::GossipKind::Push, Vec::new(), now_ms);
        }
    }

    /// Requests newer copies from a peer. Used where the shell follows the store.
    fn request_newer_copies(&mut self, gossip: &message::Gossip, now_ms: u64) {
        if gossip.digest.config_version > self.config_version() {
            self.send(gossip.from.id, message::Message::ConfigRequest);
        }
        let silent_ms = now_ms.saturating_sub(self.vms_received_ms);
        let reported = gossip.digest.servers.position;
        let newer = reported > self.vms_index && self.accepts_era(reported.era);
        if newer && silent_ms >= VMS_MISSING_MS {
            self.send(gossip.from.id, message::Message::VmsRequest);
        }
    }

    pub(super) fn tick_members(&mut self, now_ms: u64) {
        if let Some(probe) = self.members.tick(now_ms, &mut self.rng) {
            let records = self.members.take_updates();
            self.push_gossip(probe.address, message::GossipKind::Ping, records, now_ms);
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
        let due: Vec<(u64, outbox::OutgoingTransfer)> = self
            .outbox
            .transfers
            .iter()
            .filter(|(_, outgoing)| outgoing.due(now_ms))
            .map(|(number, outgoing)| (*number, outgoing.clone()))
            .collect();
        for (number, outgoing) in due {
            let receiver_gone = self
                .members
                .find(outgoing.to)
                .is_none_or(|record| record.health > crate::members::Health::Suspect);
            let stopping = self.lifecycle == super::Lifecycle::Stopping;
            if receiver_gone && (stopping || outgoing.is_expired(now_ms)) {
                // Whether it was applied cannot be determined any more; it stays counted as sent.
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
        member_updates: Vec<members::Record>,
        now_ms: u64,
    ) {
        let leaving = self.leaving_servers.take_updates();
        let peer_differs = std::mem::take(&mut self.quarantine.peer_differs);
        let gossip = message::Gossip {
            from: self.members.own().clone(),
            kind,
            digest: self.digest(now_ms),
            member_updates,
            leaving,
            quarantine: self.quarantine.table.next_updates(peer_differs, now_ms),
            limits: self.take_limit_updates(now_ms),
            brittle: self.servers.take_brittle_updates(now_ms),
            extension: Some(self.gossip_extension(now_ms)),
            confirmations: Some(self.confirmations()),
        };
        self.counters.gossip_sent += 1;
        self.actions.push(Action::Gossip { address, gossip: Box::new(gossip) });
    }

    fn handle_settlement(
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
        // Callers that repeat a request which runs at most once wait for its recorded outcome.
        let urgency = match settlement.outcome.is_some() {
            true => log_writer::Urgency::Immediate,
            false => log_writer::Urgency::Batched,
        };
        let entry = log_index::Entry::Settle(settlement);
        self.append_to_log(entry, log_writer::Waiter::Peer(from), urgency, now_ms);
    }

    /// Handles a transfer request: answers it at once where every router holds the budget, otherwise handles it as a
    /// holder.
    fn handle_transfer_request(
        &mut self,
        requester: members::Record,
        request: message::Message,
        now_ms: u64,
    ) {
        let message::Message::TransferRequest { number, budget, wanted_tokens, .. } = &request
        else {
            return;
        };
        let slot = self.grants.find(budget);
        let has_holders = slot.is_some_and(|slot| self.grants.account(slot).settings.holders > 0);
        if has_holders {
            self.handle_request_as_holder(requester, request, now_ms);
            return;
        }
        let ready = self.lifecycle == super::Lifecycle::Ready;
        // Of two routers that both lack tokens, the one with the higher id sends its tokens to the other one.
        let peer_has_priority = requester.id < self.settings.incarnation;
        let available_tokens = slot.map_or(0, |slot| {
            self.grants.account(slot).transferable_tokens(peer_has_priority, now_ms)
        });
        let sent_tokens = if ready { available_tokens.min(*wanted_tokens) } else { 0 };
        let is_member = self.members.find(requester.id).is_some();
        match slot.filter(|_| sent_tokens > 0 && is_member) {
            Some(slot) => self.send_tokens(requester.id, slot, sent_tokens, *number, now_ms),
            None => {
                let (number, budget) = (*number, budget.clone());
                let shortage = message::Shortage::Unknown;
                let reply = message::Message::TransferUnavailable { number, budget, shortage };
                self.send(requester.id, reply);
            }
        }
    }

    fn handle_transfer(
        &mut self,
        (from, number, open_from): (ids::Incarnation, u64, u64),
        in_reply_to: u64,
        budget: &str,
        tokens: u64,
        now_ms: u64,
    ) {
        let slot = self.grants.find(budget);
        let accepts = self.lifecycle == super::Lifecycle::Ready;
        match (self.outbox.transfer_status(from, number), slot.filter(|_| accepts)) {
            (outbox::TransferStatus::Applied, _) => {
                self.send(from, message::Message::TransferApplied { number });
            }
            (outbox::TransferStatus::New, Some(slot)) => {
                self.outbox.record_transfer(from, number, open_from, true);
                self.grants.account_mut(slot).received_tokens += tokens;
                self.counters.transfers_received += 1;
                self.send(from, message::Message::TransferApplied { number });
                self.complete_holder_request(slot, in_reply_to);
                self.record_transfer_reply(from, budget, now_ms);
            }
            (outbox::TransferStatus::Declined, _) | (outbox::TransferStatus::New, None) => {
                // Recorded, so that a duplicate that arrives later is not applied.
                self.outbox.record_transfer(from, number, open_from, false);
                self.send(from, message::Message::TransferDeclined { number });
            }
        }
    }

    /// Returns the tokens of a declined transfer to this router's account, as the receiver will never apply it.
    fn revert_transfer(&mut self, number: u64) {
        let Some(outgoing) = self.outbox.transfers.remove(&number) else { return };
        if let Some(slot) = self.grants.find(&outgoing.budget) {
            self.grants.account_mut(slot).sent_tokens -= outgoing.tokens;
        }
    }

    fn record_transfer_reply(&mut self, from: ids::Incarnation, budget: &str, now_ms: u64) {
        if let Some(slot) = self.grants.find(budget) {
            self.token_searches.entry(slot).or_default().record_reply(from);
        }
        self.tick_waiting_budget(now_ms);
    }
}
