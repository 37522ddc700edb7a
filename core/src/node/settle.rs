//! Ends of requests: what they cost, and how that becomes durable.

use super::{Answer, Ending, Node, Notice, Stage};
use crate::{ids, log_index, log_writer, message, outbox, rendezvous, servers};

/// After this many tries to hand a settlement over the router also appends it itself.
const TRIES_BEFORE_OWN_APPEND: usize = 1;
/// After this long without durability it does so even if another router has it.
const APPEND_OWN_MS: u64 = 5_000;

impl Node {
    /// Ends a dispatched request. `Answer::Closed` follows when its end is safe.
    pub fn finish(&mut self, slot: ids::RequestSlot, ending: Ending, now_ms: u64) {
        let Some(request) = self.requests.get_mut(slot) else { return };
        let stage = std::mem::replace(&mut request.stage, Stage::Ending);
        let Stage::Running { reservation, server, sent_ms } = stage else {
            request.stage = stage;
            return;
        };
        request.stage_since_ms = now_ms;
        let unread_tokens = std::mem::take(&mut request.unread_tokens);
        let bound_tokens = reservation.bound_tokens();
        let service = request.wanted.service.clone();
        let not_run = matches!(ending, Ending::NotRun);
        let cancelled = matches!(ending, Ending::Cancelled { .. });
        let (consumed_tokens, outcome, healthy) = match ending {
            Ending::NotRun => (0, None, false),
            Ending::Ran { consumed_tokens, outcome, healthy } => {
                (consumed_tokens, outcome, healthy)
            }
            Ending::Cancelled { consumed_tokens } => (consumed_tokens, None, true),
            Ending::Unknown => (bound_tokens, None, false),
        };
        // A server may report more than the request could cost. The caller is not charged for it.
        let charged_tokens = consumed_tokens.min(bound_tokens);
        self.note_overrun(slot, consumed_tokens - charged_tokens);
        self.grants.settle(reservation, charged_tokens);
        self.counters.consumed_tokens += charged_tokens;
        self.servers.ended(server);
        self.servers.has_read(server, unread_tokens);
        if healthy && !cancelled {
            self.server_answered(server, sent_ms);
            self.servers.answered(server, sent_ms);
        }
        if !cancelled {
            self.drained.entry(service.clone()).or_default().ended += 1;
        }
        if !cancelled && healthy {
            self.server_served(&service, server, now_ms.saturating_sub(sent_ms), now_ms);
        } else if not_run {
            self.server_turned_away(server, sent_ms, now_ms);
        } else if !cancelled {
            self.server_failed(server, now_ms);
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
        let mut impatient = Vec::new();
        for (attempt, unsettled) in &self.outbox.unsettled {
            if unsettled.due(now_ms) {
                due.push(*attempt);
            }
            let waited_ms = now_ms.saturating_sub(unsettled.since_ms);
            if unsettled.waiting.is_some() && waited_ms >= self.settings.handover_wait_ms {
                impatient.push(*attempt);
            }
        }
        for attempt in due {
            self.hand_over(attempt, now_ms);
        }
        for attempt in impatient {
            self.close_answer(attempt);
        }
    }

    /// Another router, or the log, has the settlement: the last chunk may go.
    pub(super) fn settlement_safe(&mut self, attempt: ids::AttemptId) {
        if let Some(unsettled) = self.outbox.unsettled.get_mut(&attempt) {
            unsettled.safe = true;
        }
        self.close_answer(attempt);
    }

    /// The settlement is in the log.
    pub(super) fn settlement_durable(&mut self, attempt: ids::AttemptId) {
        self.settlement_safe(attempt);
        self.outbox.unsettled.remove(&attempt);
    }

    /// Appends an entry to its shard of the log.
    pub(super) fn append(
        &mut self,
        entry: log_index::Entry,
        waiter: log_writer::Waiter,
        urgency: log_writer::Urgency,
        now_ms: u64,
    ) {
        let shard = entry.key().shard(self.logs.len() as u32) as usize;
        let Some(log) = self.logs.get_mut(shard) else { return };
        if let Some(done) = log.append(entry, waiter, urgency, now_ms) {
            self.log_done(done, now_ms);
        }
    }

    /// Tells whoever waits that an entry is durable.
    pub(super) fn log_done(&mut self, done: log_writer::Done, now_ms: u64) {
        match (done.waiter, done.entry, done.verdict) {
            (log_writer::Waiter::Local(_), log_index::Entry::Claim(claim), Some(verdict)) => {
                self.claim_decided(&claim, verdict, now_ms);
            }
            (log_writer::Waiter::Peer(peer), log_index::Entry::Claim(claim), Some(verdict)) => {
                self.send(peer, message::Message::ClaimReply { claim, verdict });
            }
            (log_writer::Waiter::Peer(peer), log_index::Entry::Settle(settlement), _) => {
                self.send(peer, message::Message::SettleDurable(settlement.attempt));
            }
            (log_writer::Waiter::Outbox, log_index::Entry::Settle(settlement), _) => {
                self.settlement_durable(settlement.attempt);
            }
            _ => {}
        }
    }

    fn server_served(&mut self, service: &str, server: ids::ServerSlot, took_ms: u64, now_ms: u64) {
        self.servers.succeeded(server, took_ms, now_ms);
        let routers = self.most_routers;
        self.retries.entry(service.to_owned()).or_default().earn(routers);
    }

    /// Notes that a server failed; its ejection is told.
    pub(super) fn server_failed(&mut self, slot: ids::ServerSlot, now_ms: u64) {
        if !self.says_why_it_fails(slot, now_ms) {
            let ejected_ms = self.servers.failed(slot, now_ms);
            self.note_ejected(slot, ejected_ms);
        }
    }

    /// Notes that a server turned a request away that was sent then; its ejection is told.
    pub(super) fn server_turned_away(&mut self, slot: ids::ServerSlot, sent_ms: u64, now_ms: u64) {
        if !self.says_why_it_fails(slot, now_ms) {
            let ejected_ms = self.servers.rejected(slot, sent_ms, now_ms);
            self.note_ejected(slot, ejected_ms);
        }
    }

    /// That a server leaves or backs off is no failure.
    fn says_why_it_fails(&self, slot: ids::ServerSlot, now_ms: u64) -> bool {
        let leaves = self.servers.get(slot).is_some_and(servers::Server::is_leaving);
        leaves || self.servers.backs_off(slot, now_ms)
    }

    fn note_ejected(&mut self, slot: ids::ServerSlot, ejected_ms: Option<u64>) {
        let Some(ejected_ms) = ejected_ms else { return };
        let Some(server) = self.servers.get(slot) else { return };
        let vm = server.vm.vm.clone();
        self.actions.push(super::Action::Notice(Notice::Ejected { vm, ejected_ms }));
    }

    fn note_overrun(&mut self, slot: ids::RequestSlot, tokens: u64) {
        let Some(request) = self.requests.get(slot).filter(|_| tokens > 0) else { return };
        let budget = request.wanted.budget.clone();
        self.counters.overrun_tokens += tokens;
        self.actions.push(super::Action::Notice(Notice::Overrun { budget, tokens }));
    }

    fn end_not_run(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        let Some(request) = self.forget_request(slot) else { return };
        if request.wanted.unrepeatable {
            self.release_claim(slot, request.wanted.key, request.attempt, now_ms);
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
            // No log, no billing by request: the ledger's own count is all there is.
            self.counters.settled += 1;
            self.forget_request(slot);
            self.answer(slot, Answer::Closed { safe: true });
            return;
        }
        let shard = request.wanted.key.shard(self.logs.len() as u32) as usize;
        let Some(number) = self.settled_in_shard.get_mut(shard) else { return };
        *number += 1;
        let settlement = log_index::Settlement {
            key: request.wanted.key,
            attempt,
            origin: self.settings.incarnation,
            number: *number,
            keyed: request.wanted.keyed,
            body_hash: request.wanted.body_hash,
            budget: request.wanted.budget.clone(),
            region: self.settings.region.clone(),
            consumed_tokens,
            outcome,
        };
        self.counters.settled += 1;
        let unsettled = outbox::Unsettled {
            settlement,
            waiting: Some(slot),
            tries: 0,
            safe: false,
            sent_ms: now_ms,
            since_ms: now_ms,
        };
        self.outbox.unsettled.insert(attempt, unsettled);
        self.hand_over(attempt, now_ms);
    }

    /// Sends a settlement to another router, each time to the next one, until one has it. When that
    /// does not work at once, this router appends it itself as well.
    fn hand_over(&mut self, attempt: ids::AttemptId, now_ms: u64) {
        let Some(unsettled) = self.outbox.unsettled.get(&attempt) else { return };
        let settlement = unsettled.settlement.clone();
        let (tries, safe) = (unsettled.tries, unsettled.safe);
        let late = now_ms.saturating_sub(unsettled.since_ms) >= APPEND_OWN_MS;
        let committer = self.committer(settlement.key, if safe { 0 } else { tries });
        if let Some(unsettled) = self.outbox.unsettled.get_mut(&attempt) {
            unsettled.sent_ms = now_ms;
            unsettled.tries += 1;
        }
        if let Some(peer) = committer {
            self.send(peer, message::Message::Settle(settlement.clone()));
        }
        let helpless = !safe && tries >= TRIES_BEFORE_OWN_APPEND;
        if committer.is_none() || helpless || late {
            let entry = log_index::Entry::Settle(settlement);
            let urgency = match safe {
                true => log_writer::Urgency::Gather,
                false => log_writer::Urgency::Waited,
            };
            self.append(entry, log_writer::Waiter::Outbox, urgency, now_ms);
        }
    }

    /// The router that makes a settlement of this one durable: never this one itself, so that two
    /// have it, and in another failure domain if there is one. Each try goes to the next in rank.
    fn committer(&self, key: ids::RequestKey, tries: usize) -> Option<ids::Incarnation> {
        let shard = u64::from(key.shard(self.logs.len() as u32));
        let own_domain = &self.settings.failure_domain;
        let mut ranked: Vec<(bool, u64, ids::Incarnation)> = self
            .members
            .live()
            .map(|record| {
                let elsewhere = record.failure_domain != *own_domain;
                (elsewhere, rendezvous::weight(shard, record.id.0), record.id)
            })
            .collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        let place = tries.checked_rem(ranked.len())?;
        ranked.get(place).map(|(_, _, id)| *id)
    }

    fn close_answer(&mut self, attempt: ids::AttemptId) {
        let Some(unsettled) = self.outbox.unsettled.get_mut(&attempt) else { return };
        let Some(slot) = unsettled.waiting.take() else { return };
        let safe = unsettled.safe;
        if !safe {
            self.counters.closed_unsafe += 1;
        }
        self.forget_request(slot);
        self.answer(slot, Answer::Closed { safe });
    }
}
