//! Ends of requests: charges their cost and makes their settlements durable.

use super::{Answer, Node, Notice, RequestOutcome, Stage};
use crate::{ids, links, log_index, log_writer, message, outbox, rendezvous, servers};

/// Number of attempts to hand a settlement over to a peer after which this router also appends it itself.
const HANDOVERS_BEFORE_OWN_APPEND: usize = 1;
/// Time without durability after which this router appends a settlement even if a peer has stored it.
const OWN_APPEND_AFTER_MS: u64 = 5_000;

impl Node {
    /// Ends a dispatched request. [`Answer::Closed`] follows when its settlement is safe or the longest wait for this
    /// is over.
    pub fn finish(&mut self, slot: ids::RequestSlot, request_outcome: RequestOutcome, now_ms: u64) {
        let Some(request) = self.requests.get_mut(slot) else { return };
        let stage = std::mem::replace(&mut request.stage, Stage::WaitingHandover);
        let Stage::Running { reservation, server, sent_ms } = stage else {
            request.stage = stage;
            return;
        };
        request.stage_since_ms = now_ms;
        let unread_tokens = std::mem::take(&mut request.unread_tokens);
        let bound_tokens = reservation.bound_tokens();
        let service = request.admission.service.clone();
        let not_run = matches!(request_outcome, RequestOutcome::NotRun);
        let cancelled = matches!(request_outcome, RequestOutcome::Cancelled { .. });
        let (consumed_tokens, outcome, healthy) = match request_outcome {
            RequestOutcome::NotRun => (0, None, false),
            RequestOutcome::Ran { consumed_tokens, outcome, healthy } => {
                (consumed_tokens, outcome, healthy)
            }
            RequestOutcome::Cancelled { consumed_tokens } => (consumed_tokens, None, true),
            RequestOutcome::Unknown => (bound_tokens, None, false),
        };
        // A server may report more tokens than the request's bound. The caller is not charged for the excess.
        let charged_tokens = consumed_tokens.min(bound_tokens);
        self.record_overrun(slot, consumed_tokens - charged_tokens);
        self.grants.settle(reservation, charged_tokens);
        self.counters.consumed_tokens += charged_tokens;
        self.servers.record_end(server);
        self.servers.record_prompt_processed(server, unread_tokens);
        if healthy && !cancelled {
            self.record_full_answer(server, sent_ms);
            self.servers.record_answer(server, sent_ms);
        }
        if !cancelled {
            self.queue_drains.entry(service.clone()).or_default().ended += 1;
        }
        if !cancelled && healthy {
            self.record_server_success(&service, server, now_ms.saturating_sub(sent_ms), now_ms);
        } else if not_run {
            self.record_rejection(server, sent_ms, now_ms);
        } else if cancelled {
            self.servers.end_probe(server);
        } else {
            self.record_server_failure(server, sent_ms, now_ms);
        }
        if not_run {
            self.end_not_run(slot, now_ms);
        } else {
            self.settle(slot, charged_tokens, outcome, now_ms);
        }
        self.drain_queue(&service, now_ms);
    }

    pub(super) fn tick_settlements(&mut self, now_ms: u64) {
        let mut due = Vec::new();
        let mut timed_out = Vec::new();
        for (attempt, unsettled) in &self.outbox.settlements {
            if unsettled.due(now_ms) {
                due.push(*attempt);
            }
            let waited_ms = now_ms.saturating_sub(unsettled.ended_ms);
            if unsettled.waiting_request.is_some() && waited_ms >= self.settings.handover_wait_ms {
                timed_out.push(*attempt);
            }
        }
        for attempt in due {
            self.hand_over(attempt, now_ms);
        }
        for attempt in timed_out {
            self.close_answer(attempt);
        }
    }

    /// Records that a settlement is stored by another router or in the log, and lets the last chunk be sent.
    pub(super) fn mark_settlement_safe(&mut self, attempt: ids::AttemptId) {
        if let Some(unsettled) = self.outbox.settlements.get_mut(&attempt) {
            unsettled.safe = true;
        }
        self.close_answer(attempt);
    }

    /// Records that a settlement is durable in the log.
    pub(super) fn mark_settlement_durable(&mut self, attempt: ids::AttemptId) {
        self.mark_settlement_safe(attempt);
        self.outbox.settlements.remove(&attempt);
    }

    /// Appends an entry to its shard of the log.
    pub(super) fn append_to_log(
        &mut self,
        entry: log_index::Entry,
        waiter: log_writer::Waiter,
        urgency: log_writer::Urgency,
        now_ms: u64,
    ) {
        let shard = entry.key().shard(self.logs.len() as u32) as usize;
        let Some(log) = self.logs.get_mut(shard) else { return };
        if let Some(done) = log.append(entry, waiter, urgency, now_ms) {
            self.handle_appended(done, now_ms);
        }
    }

    /// Passes a durable entry to what waits for it: a local request, a peer or the outbox.
    pub(super) fn handle_appended(&mut self, done: log_writer::Completed, now_ms: u64) {
        match (done.waiter, done.entry, done.verdict) {
            (log_writer::Waiter::Local(_), log_index::Entry::Claim(claim), Some(verdict)) => {
                self.handle_claim_verdict(&claim, verdict, now_ms);
            }
            (log_writer::Waiter::Peer(peer), log_index::Entry::Claim(claim), Some(verdict)) => {
                self.send(peer, message::Message::ClaimReply { claim, verdict });
            }
            (log_writer::Waiter::Peer(peer), log_index::Entry::Settle(settlement), _) => {
                self.send(peer, message::Message::SettleDurable(settlement.attempt));
            }
            (log_writer::Waiter::Outbox, log_index::Entry::Settle(settlement), _) => {
                self.mark_settlement_durable(settlement.attempt);
            }
            _ => {}
        }
    }

    fn record_server_success(
        &mut self,
        service: &str,
        server: ids::ServerSlot,
        took_ms: u64,
        now_ms: u64,
    ) {
        self.servers.record_success(server, took_ms, now_ms);
        let routers = self.max_live_routers;
        self.retries.entry(service.to_owned()).or_default().earn(routers);
    }

    /// Records that a server failed a request that was sent at `sent_ms`, and reports its ejection if this causes one.
    /// Not a failure while it leaves or backs off, or if the cause may be a pause of this process.
    pub(super) fn record_server_failure(
        &mut self,
        slot: ids::ServerSlot,
        sent_ms: u64,
        now_ms: u64,
    ) {
        if self.leaves_or_backs_off(slot, now_ms) || self.failed_by_pause(sent_ms, now_ms) {
            self.servers.end_probe(slot);
            return;
        }
        let ejected_ms = self.servers.record_failure(slot, sent_ms, now_ms);
        self.report_ejection(slot, ejected_ms);
    }

    /// Records that a server rejected a request that was sent at `sent_ms`, and reports its ejection if this causes
    /// one.
    pub(super) fn record_rejection(&mut self, slot: ids::ServerSlot, sent_ms: u64, now_ms: u64) {
        self.count_brittle_rejection(slot, now_ms);
        if !self.leaves_or_backs_off(slot, now_ms) {
            let ejected_ms = self.servers.record_rejection(slot, sent_ms, now_ms);
            self.report_ejection(slot, ejected_ms);
        }
    }

    /// Applies a change of this router's links to servers: failures that a lost link caused are not counted against the
    /// servers.
    pub fn handle_links_changed(&mut self, change: &links::Change, now_ms: u64) {
        match change {
            links::Change::Lost(address) | links::Change::Restored(address) => {
                self.servers.forgive_failures(Some(address), now_ms);
            }
            links::Change::ServiceLost { addresses, .. }
            | links::Change::ServiceRestored { addresses, .. } => {
                for address in addresses {
                    self.servers.forgive_failures(Some(address), now_ms);
                }
            }
            links::Change::AllLost | links::Change::AllRestored { .. } => {
                self.servers.forgive_failures(None, now_ms);
            }
        }
    }

    /// Whether a server leaves or backs off, so that a failed request does not count as a failure of the server.
    fn leaves_or_backs_off(&self, slot: ids::ServerSlot, now_ms: u64) -> bool {
        let leaves = self.servers.get(slot).is_some_and(servers::Server::is_leaving);
        leaves || self.servers.backs_off(slot, now_ms)
    }

    fn report_ejection(&mut self, slot: ids::ServerSlot, ejected_ms: Option<u64>) {
        let Some(ejected_ms) = ejected_ms else { return };
        let Some(server) = self.servers.get(slot) else { return };
        let vm = server.vm.vm.clone();
        self.actions.push(super::Action::Notice(Notice::Ejected { vm, ejected_ms }));
    }

    fn record_overrun(&mut self, slot: ids::RequestSlot, tokens: u64) {
        let Some(request) = self.requests.get(slot).filter(|_| tokens > 0) else { return };
        let budget = request.admission.budget.clone();
        self.counters.overrun_tokens += tokens;
        self.actions.push(super::Action::Notice(Notice::Overrun { budget, tokens }));
    }

    fn end_not_run(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        let Some(request) = self.remove_request(slot) else { return };
        if request.admission.unrepeatable {
            self.release_claim(slot, request.admission.key, request.attempt, now_ms);
        }
        self.counters.not_run += 1;
        self.answer(slot, Answer::Closed { safe: true });
    }

    fn settle(
        &mut self,
        slot: ids::RequestSlot,
        consumed_tokens: u64,
        outcome: Option<log_index::Outcome>,
        now_ms: u64,
    ) {
        let Some(request) = self.requests.get(slot) else { return };
        let attempt = request.attempt;
        if self.logs.is_empty() {
            // Without a log requests are not billed one by one: the ledger has only the total consumption.
            self.counters.settled += 1;
            self.remove_request(slot);
            self.answer(slot, Answer::Closed { safe: true });
            return;
        }
        let shard = request.admission.key.shard(self.logs.len() as u32) as usize;
        let Some(number) = self.settled_in_shard.get_mut(shard) else { return };
        *number += 1;
        let settlement = log_index::Settlement {
            key: request.admission.key,
            attempt,
            origin: self.settings.incarnation,
            number: *number,
            keyed: request.admission.keyed,
            body_hash: request.admission.body_hash,
            budget: request.admission.budget.clone(),
            region: self.settings.region.clone(),
            consumed_tokens,
            outcome,
        };
        self.counters.settled += 1;
        let unsettled = outbox::PendingSettlement {
            settlement,
            waiting_request: Some(slot),
            handover_count: 0,
            safe: false,
            sent_ms: now_ms,
            ended_ms: now_ms,
        };
        self.outbox.settlements.insert(attempt, unsettled);
        self.hand_over(attempt, now_ms);
    }

    /// Sends a settlement to another router, with each attempt to the next one, until one has stored it. If the first
    /// attempts fail, this router also appends it to the log itself.
    fn hand_over(&mut self, attempt: ids::AttemptId, now_ms: u64) {
        let Some(unsettled) = self.outbox.settlements.get(&attempt) else { return };
        let settlement = unsettled.settlement.clone();
        let (handover_count, safe) = (unsettled.handover_count, unsettled.safe);
        let append_due = now_ms.saturating_sub(unsettled.ended_ms) >= OWN_APPEND_AFTER_MS;
        let committer = self.committer(settlement.key, if safe { 0 } else { handover_count });
        if let Some(unsettled) = self.outbox.settlements.get_mut(&attempt) {
            unsettled.sent_ms = now_ms;
            unsettled.handover_count += 1;
        }
        if let Some(peer) = committer {
            self.send(peer, message::Message::Settle(settlement.clone()));
        }
        let not_stored = !safe && handover_count >= HANDOVERS_BEFORE_OWN_APPEND;
        if committer.is_none() || not_stored || append_due {
            let entry = log_index::Entry::Settle(settlement);
            let urgency = match safe {
                true => log_writer::Urgency::Batched,
                false => log_writer::Urgency::Immediate,
            };
            self.append_to_log(entry, log_writer::Waiter::Outbox, urgency, now_ms);
        }
    }

    /// The peer that appends this router's settlement to the log, in another failure domain if there is one. Never this
    /// router itself, so that two routers have the settlement. Each attempt selects the next peer in rank.
    fn committer(&self, key: ids::RequestKey, handover_count: usize) -> Option<ids::Incarnation> {
        let shard = u64::from(key.shard(self.logs.len() as u32));
        let own_domain = &self.settings.failure_domain;
        let mut ranked: Vec<(bool, u64, ids::Incarnation)> = self
            .members
            .live()
            .map(|record| {
                let in_other_domain = record.failure_domain != *own_domain;
                (in_other_domain, rendezvous::weight(shard, record.id.0), record.id)
            })
            .collect();
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        let index = handover_count.checked_rem(ranked.len())?;
        ranked.get(index).map(|(_, _, id)| *id)
    }

    fn close_answer(&mut self, attempt: ids::AttemptId) {
        let Some(unsettled) = self.outbox.settlements.get_mut(&attempt) else { return };
        let Some(slot) = unsettled.waiting_request.take() else { return };
        let safe = unsettled.safe;
        if !safe {
            self.counters.closed_unsafe += 1;
        }
        self.remove_request(slot);
        self.answer(slot, Answer::Closed { safe });
    }
}
