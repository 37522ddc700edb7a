//! From a request to its dispatch: tokens, then a server, then (if unrepeatable) the claim.

use super::{Action, Answer, Node, Reason, Request, Stage, Wanted};
use crate::node::types::Lifecycle;
use crate::{config, ids, log_index, log_writer, message, rendezvous, servers};
use rand::RngExt;

/// How long the home of a claim may take before this router appends the claim itself.
const HOME_WAIT_MS: u64 = 400;
/// How often a request looks for the outcome of another attempt at its id.
const LOOK_AGAIN_MS: u64 = 250;

pub(super) const RETRY_AFTER_SHORT_MS: u64 = 1_000;
const RETRY_AFTER_EXHAUSTED_MS: u64 = 10_000;

impl Node {
    /// Takes a request; its answer comes as an action, often at once.
    pub fn admit(&mut self, wanted: Wanted, now_ms: u64) -> ids::RequestSlot {
        let budget = self.grants.find(&wanted.budget);
        let attempt = ids::AttemptId(self.rng.random());
        let fault = self.fault_before(&wanted, budget, now_ms);
        let request = Request {
            budget: budget.unwrap_or_default(),
            attempt,
            stage: Stage::WaitingBudget,
            stage_since_ms: now_ms,
            failed_servers: Vec::new(),
            attempts: 0,
            unread_tokens: 0,
            wanted,
        };
        let key = request.wanted.key;
        let slot = self.requests.insert(request);
        if let Some(reason) = fault {
            self.refuse(slot, reason, now_ms);
            return slot;
        }
        self.by_key.entry(key).or_insert(slot);
        self.by_attempt.insert(attempt, slot);
        self.counters.admitted += 1;
        if !self.try_reserve(slot, now_ms) {
            self.want_tokens(slot, now_ms);
        }
        slot
    }

    pub(super) fn tick_waiting_claims(&mut self, now_ms: u64) {
        let mut late = Vec::new();
        let mut taken = Vec::new();
        let mut over = Vec::new();
        for (slot, request) in &self.requests {
            let Stage::WaitingClaim { appended, taken_ms, .. } = &request.stage else { continue };
            let waited_ms = now_ms.saturating_sub(request.stage_since_ms);
            if waited_ms >= self.settings.claim_wait_ms || now_ms >= request.wanted.deadline_ms {
                over.push((slot, taken_ms.is_some()));
            } else if taken_ms.is_some_and(|seen_ms| now_ms >= seen_ms + LOOK_AGAIN_MS) {
                taken.push(slot);
            } else if !appended && waited_ms >= HOME_WAIT_MS {
                late.push(slot);
            }
        }
        for slot in late.into_iter().chain(taken) {
            self.append_own_claim(slot, now_ms);
        }
        for (slot, taken) in over {
            let reason = if taken { Reason::InProgress } else { Reason::ClaimUnreachable };
            self.refuse(slot, reason, now_ms);
        }
    }

    /// Takes the verdict on a claim of this router.
    pub(super) fn claim_decided(
        &mut self,
        claim: &log_index::Claim,
        verdict: log_index::Verdict,
        now_ms: u64,
    ) {
        let Some(slot) = self.by_attempt.get(&claim.attempt).copied() else { return };
        let Some(request) = self.requests.get_mut(slot) else { return };
        let Stage::WaitingClaim { taken_ms, .. } = &mut request.stage else { return };
        match verdict {
            log_index::Verdict::Granted => self.dispatch(slot, now_ms),
            // Another attempt is at it: its outcome is this caller's answer too.
            log_index::Verdict::Taken => *taken_ms = Some(now_ms),
            log_index::Verdict::Conflict => self.refuse(slot, Reason::IdConflict, now_ms),
            log_index::Verdict::Done(outcome) => {
                self.counters.replayed += 1;
                self.end_unsent(slot, Answer::Replay(outcome), now_ms);
            }
        }
    }

    /// Refuses a request for which nothing was sent.
    pub(super) fn refuse(&mut self, slot: ids::RequestSlot, reason: Reason, now_ms: u64) {
        let retry_after_ms = self.retry_after_ms(slot, reason, now_ms);
        *self.counters.refused.entry(reason).or_default() += 1;
        if let Some(request) = self.requests.get(slot).filter(|_| reason == Reason::Limited) {
            let service = request.wanted.service.clone();
            *self.counters.refused_for_limits.entry(service).or_default() += 1;
        }
        self.end_unsent(slot, refusal(reason, retry_after_ms), now_ms);
    }

    pub(super) fn service(&self, name: &str) -> Option<&config::Service> {
        self.config.as_ref()?.document.service(name)
    }

    pub(super) fn answer(&mut self, slot: ids::RequestSlot, answer: Answer) {
        self.actions.push(Action::Answer { slot, answer });
    }

    fn fault_before(
        &self,
        wanted: &Wanted,
        budget: Option<ids::BudgetSlot>,
        now_ms: u64,
    ) -> Option<Reason> {
        match self.lifecycle {
            Lifecycle::Starting => return Some(Reason::NotReady),
            Lifecycle::Fenced => return Some(Reason::Fenced),
            Lifecycle::Stopping | Lifecycle::Stopped => return Some(Reason::Stopping),
            Lifecycle::Ready => {}
        }
        if let Some((reason, _)) = self.kept_back(wanted.fingerprint, now_ms) {
            return Some(reason);
        }
        let unpaid = budget.is_none() && wanted.bound_tokens > 0;
        if unpaid || self.service(&wanted.service).is_none() {
            return Some(Reason::Unconfigured);
        }
        if wanted.deadline_ms <= now_ms {
            return Some(Reason::DeadlineTooClose);
        }
        // An unrepeatable request may wait for the outcome of another with its id.
        let running = self.by_key.contains_key(&wanted.key) && !wanted.unrepeatable;
        running.then_some(Reason::InProgress)
    }

    pub(super) fn try_reserve(&mut self, slot: ids::RequestSlot, now_ms: u64) -> bool {
        let Some(request) = self.requests.get_mut(slot) else { return true };
        let Some(reservation) = self.grants.reserve(request.budget, request.wanted.bound_tokens)
        else {
            return false;
        };
        request.stage = Stage::WaitingServer { reservation };
        request.stage_since_ms = now_ms;
        self.place(slot, now_ms);
        true
    }

    fn place(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        if !self.servers.limits().is_empty() {
            let service = self.requests.get(slot).map(|request| request.wanted.service.clone());
            service.iter().for_each(|service| self.ask_for_trials(service, now_ms));
        }
        let Some(request) = self.requests.get(slot) else { return };
        match choose(&mut self.servers, request, now_ms, &mut self.rng) {
            Ok(choice) => self.placed(slot, choice, now_ms),
            Err(lack) => self.enqueue(slot, lack, now_ms),
        }
    }

    pub(super) fn placed(&mut self, slot: ids::RequestSlot, choice: servers::Choice, now_ms: u64) {
        let servers::Choice { slot: server, unread_tokens } = choice;
        let Some(request) = self.requests.get_mut(slot) else { return };
        request.unread_tokens = unread_tokens;
        let stage = std::mem::replace(&mut request.stage, Stage::Ending);
        let Stage::WaitingServer { reservation } = stage else {
            request.stage = stage;
            return;
        };
        request.stage =
            Stage::WaitingClaim { reservation, server, appended: false, taken_ms: None };
        request.stage_since_ms = now_ms;
        if request.wanted.unrepeatable && !self.logs.is_empty() {
            self.claim(slot, now_ms);
        } else {
            self.dispatch(slot, now_ms);
        }
    }

    fn claim(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        let Some(claim) = self.claim_of(slot) else { return };
        let own = self.settings.incarnation;
        let shard = claim.key.shard(self.logs.len() as u32);
        let live = self.members.live().map(|record| record.id);
        match rendezvous::first(u64::from(shard), live.chain([own])) {
            Some(home) if home != own => self.send(home, message::Message::Claim(claim)),
            _ => self.append_own_claim(slot, now_ms),
        }
    }

    fn append_own_claim(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        let Some(claim) = self.claim_of(slot) else { return };
        if let Some(Request { stage: Stage::WaitingClaim { appended, taken_ms, .. }, .. }) =
            self.requests.get_mut(slot)
        {
            *appended = true;
            *taken_ms = taken_ms.map(|_| now_ms);
        }
        let (entry, waiter) = (log_index::Entry::Claim(claim), log_writer::Waiter::Local(slot));
        self.append(entry, waiter, log_writer::Urgency::Waited, now_ms);
    }

    fn claim_of(&self, slot: ids::RequestSlot) -> Option<log_index::Claim> {
        let request = self.requests.get(slot)?;
        let (key, body_hash) = (request.wanted.key, request.wanted.body_hash);
        Some(log_index::Claim { key, attempt: request.attempt, body_hash })
    }

    fn dispatch(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        let Some(request) = self.requests.get(slot) else { return };
        if let Some((reason, _)) = self.kept_back(request.wanted.fingerprint, now_ms) {
            // A server crashed under it elsewhere while it waited.
            self.refuse(slot, reason, now_ms);
            return;
        }
        if let Err(lack) = self.confirm_server(slot, now_ms) {
            self.refuse(slot, lack.into(), now_ms);
            return;
        }
        let Some(request) = self.requests.get_mut(slot) else { return };
        let stage = std::mem::replace(&mut request.stage, Stage::Ending);
        let Stage::WaitingClaim { reservation, server, .. } = stage else {
            request.stage = stage;
            return;
        };
        let reservation = reservation.dispatch();
        request.stage = Stage::Running { reservation, server, sent_ms: now_ms };
        request.stage_since_ms = now_ms;
        self.counters.dispatched += 1;
        self.answer_dispatch(slot, server);
    }

    /// Chooses another server for a request if the one that was chosen may not be sent to any more: while its claim was
    /// recorded it may have said that it leaves, or become limited.
    fn confirm_server(
        &mut self,
        slot: ids::RequestSlot,
        now_ms: u64,
    ) -> Result<(), servers::Unavailable> {
        let Some(request) = self.requests.get(slot) else { return Ok(()) };
        let Stage::WaitingClaim { server, .. } = request.stage else { return Ok(()) };
        if self.servers.may_still_send(server, request.stage_since_ms, now_ms) {
            return Ok(());
        }
        let choice = choose(&mut self.servers, request, now_ms, &mut self.rng)?;
        let Some(request) = self.requests.get_mut(slot) else { return Ok(()) };
        let unread_tokens = std::mem::replace(&mut request.unread_tokens, choice.unread_tokens);
        if let Stage::WaitingClaim { server, .. } = &mut request.stage {
            *server = choice.slot;
        }
        self.servers.ended(server);
        self.servers.has_read(server, unread_tokens);
        Ok(())
    }

    pub(super) fn answer_dispatch(&mut self, slot: ids::RequestSlot, server: ids::ServerSlot) {
        let Some(request) = self.requests.get(slot) else { return };
        let (attempt, unread_tokens) = (request.attempt, request.unread_tokens);
        let Some(server) = self.servers.get(server) else { return };
        let servers::Vm { address, vm, life, .. } = server.vm.clone();
        self.answer(slot, Answer::Dispatch { address, vm, life, attempt, unread_tokens });
    }

    /// Ends a request for which nothing was sent, giving back all that it held.
    fn end_unsent(&mut self, slot: ids::RequestSlot, answer: Answer, now_ms: u64) {
        let Some(request) = self.forget_request(slot) else { return };
        let key = request.wanted.key;
        match request.stage {
            Stage::WaitingServer { reservation } => {
                self.waiting_servers.retain(|place| place.slot != slot);
                self.grants.release(reservation);
            }
            Stage::WaitingClaim { reservation, server, .. } => {
                self.grants.release(reservation);
                self.servers.ended(server);
                self.servers.has_read(server, request.unread_tokens);
                if !matches!(answer, Answer::Replay(_)) {
                    self.release_claim(slot, key, request.attempt, now_ms);
                }
            }
            Stage::WaitingBudget | Stage::Running { .. } | Stage::Ending => {}
        }
        self.counters.not_run += 1;
        self.answer(slot, answer);
    }

    /// Voids a claim that may or may not be in the log: its attempt certainly did not run.
    pub(super) fn release_claim(
        &mut self,
        slot: ids::RequestSlot,
        key: ids::RequestKey,
        attempt: ids::AttemptId,
        now_ms: u64,
    ) {
        let shard = key.shard(self.logs.len() as u32) as usize;
        if let Some(log) = self.logs.get_mut(shard) {
            log.forget(slot);
        }
        let release = log_index::Entry::Release { key, attempt };
        let waiter = log_writer::Waiter::Outbox;
        self.append(release, waiter, log_writer::Urgency::Gather, now_ms);
    }

    pub(super) fn retry_after_ms(
        &mut self,
        slot: ids::RequestSlot,
        reason: Reason,
        now_ms: u64,
    ) -> u64 {
        match reason {
            Reason::BudgetUnreachable => self.outage.refuse(now_ms),
            Reason::BudgetExhausted => RETRY_AFTER_EXHAUSTED_MS,
            Reason::Overloaded => {
                let service = self.requests.get(slot).map(|request| &request.wanted.service);
                service.map_or(RETRY_AFTER_SHORT_MS, |service| self.drain_time_ms(service))
            }
            Reason::Limited => {
                let service = self.requests.get(slot).map(|request| request.wanted.service.clone());
                service.map_or(RETRY_AFTER_SHORT_MS, |it| self.limited_retry_after_ms(&it, now_ms))
            }
            Reason::Backoff => self.backoff_retry_after_ms(slot, now_ms),
            Reason::Quarantined | Reason::Suspended => {
                let request = self.requests.get(slot).and_then(|it| it.wanted.fingerprint);
                let kept_back = self.kept_back(request, now_ms);
                kept_back.map_or(RETRY_AFTER_SHORT_MS, |(_, left_ms)| left_ms)
            }
            _ => RETRY_AFTER_SHORT_MS,
        }
    }
}

pub(super) fn choose(
    table: &mut servers::Table,
    request: &Request,
    now_ms: u64,
    rng: &mut rand::rngs::StdRng,
) -> Result<servers::Choice, servers::Unavailable> {
    table.choose(&servers_for(request), now_ms, rng)
}

/// The servers that a request may go to.
pub(super) fn servers_for(request: &Request) -> servers::Criteria<'_> {
    servers::Criteria {
        service: &request.wanted.service,
        classes: &request.wanted.classes,
        prefix_hash: request.wanted.prefix_hash,
        parts: &request.wanted.parts,
        excluded: &request.failed_servers,
    }
}

pub(super) fn refusal(reason: Reason, retry_after_ms: u64) -> Answer {
    Answer::Refuse { reason, retry_after_ms }
}
