//! Admission of requests: reserves tokens, chooses a server, records the claim of an unrepeatable request, dispatches.

use super::{Action, AdmissionRequest, Answer, Node, Reason, Request, Stage};
use crate::node::types::Lifecycle;
use crate::{config, ids, log_index, log_writer, message, quarantine, rendezvous, servers};
use rand::RngExt;

/// Time after which this router appends a claim itself if the claim's home, the router that appends the claims of its
/// shard of the log, has not sent a decision.
const CLAIM_HOME_TIMEOUT_MS: u64 = 400;
/// Interval at which a request checks the log for the outcome of another attempt with its id.
const CLAIM_CHECK_INTERVAL_MS: u64 = 250;

/// Retry delay returned with refusals whose cause may end at any moment.
pub(super) const RETRY_AFTER_SHORT_MS: u64 = 1_000;
/// Retry delay returned with refusals for a budget that is exhausted or nearly so.
const RETRY_AFTER_EXHAUSTED_MS: u64 = 10_000;

impl Node {
    /// Admits or refuses a request. The answer is an [`Action::Answer`], often queued before this returns.
    pub fn admit(&mut self, admission: AdmissionRequest, now_ms: u64) -> ids::RequestSlot {
        let budget = self.grants.find(&admission.budget);
        let attempt = ids::AttemptId(self.rng.random());
        let refusal_reason = self.admission_refusal(&admission, budget, now_ms);
        let request = Request {
            budget: budget.unwrap_or_default(),
            attempt,
            stage: Stage::WaitingBudget,
            stage_since_ms: now_ms,
            failed_servers: Vec::new(),
            attempts: 0,
            version: admission.stream.as_ref().and_then(|stream| stream.version.clone()),
            unread_tokens: 0,
            admission,
        };
        let key = request.admission.key;
        let slot = self.requests.insert(request);
        if let Some(reason) = refusal_reason {
            self.refuse(slot, reason, now_ms);
            return slot;
        }
        self.by_key.entry(key).or_insert(slot);
        self.by_attempt.insert(attempt, slot);
        self.counters.admitted += 1;
        self.record_asked_tokens(slot);
        if !self.try_reserve(slot, now_ms) {
            self.request_tokens(slot, now_ms);
        }
        slot
    }

    /// Checks the claims that requests wait for: appends a claim that its home has not decided in time, checks again
    /// for the outcome of another attempt, and refuses requests that have waited too long.
    pub(super) fn tick_waiting_claims(&mut self, now_ms: u64) {
        let mut undecided = Vec::new();
        let mut claimed_by_other = Vec::new();
        let mut expired = Vec::new();
        for (slot, request) in &self.requests {
            let Stage::WaitingClaim { appended, other_claim_checked_ms, .. } = &request.stage
            else {
                continue;
            };
            let waited_ms = now_ms.saturating_sub(request.stage_since_ms);
            if waited_ms >= self.settings.claim_wait_ms || now_ms >= request.admission.deadline_ms {
                expired.push((slot, other_claim_checked_ms.is_some()));
            } else if other_claim_checked_ms
                .is_some_and(|checked_ms| now_ms >= checked_ms + CLAIM_CHECK_INTERVAL_MS)
            {
                claimed_by_other.push(slot);
            } else if !appended && waited_ms >= CLAIM_HOME_TIMEOUT_MS {
                undecided.push(slot);
            }
        }
        for slot in undecided.into_iter().chain(claimed_by_other) {
            self.append_own_claim(slot, now_ms);
        }
        for (slot, claimed_by_other) in expired {
            let reason =
                if claimed_by_other { Reason::InProgress } else { Reason::ClaimUnreachable };
            self.refuse(slot, reason, now_ms);
        }
    }

    /// Handles the decision on a claim of this router.
    pub(super) fn handle_claim_verdict(
        &mut self,
        claim: &log_index::Claim,
        verdict: log_index::ClaimVerdict,
        now_ms: u64,
    ) {
        let Some(slot) = self.by_attempt.get(&claim.attempt).copied() else { return };
        let Some(request) = self.requests.get_mut(slot) else { return };
        let Stage::WaitingClaim { other_claim_checked_ms, .. } = &mut request.stage else { return };
        match verdict {
            log_index::ClaimVerdict::Granted => self.dispatch(slot, now_ms),
            // Another attempt is running: its outcome answers this caller as well.
            log_index::ClaimVerdict::Taken => *other_claim_checked_ms = Some(now_ms),
            log_index::ClaimVerdict::Conflict => self.refuse(slot, Reason::IdConflict, now_ms),
            log_index::ClaimVerdict::Done(outcome) => {
                self.counters.replayed += 1;
                self.end_unsent(slot, Answer::Replay(outcome), now_ms);
            }
        }
    }

    /// Refuses a request that was not sent to any server.
    pub(super) fn refuse(&mut self, slot: ids::RequestSlot, reason: Reason, now_ms: u64) {
        let retry_after_ms = self.retry_after_ms(slot, reason, now_ms);
        *self.counters.refused.entry(reason).or_default() += 1;
        if let Some(request) = self.requests.get(slot).filter(|_| reason == Reason::Limited) {
            let service = request.admission.service.clone();
            *self.counters.refused_for_limits.entry(service).or_default() += 1;
        }
        self.end_unsent(slot, refusal(reason, retry_after_ms), now_ms);
    }

    /// The configuration of a service.
    pub(super) fn service(&self, name: &str) -> Option<&config::Service> {
        self.config.as_ref()?.document.service(name)
    }

    /// Queues an answer for a request's traffic thread.
    pub(super) fn answer(&mut self, slot: ids::RequestSlot, answer: Answer) {
        self.actions.push(Action::Answer { slot, answer });
    }

    /// The reason to refuse a request before any tokens are reserved for it, if there is one.
    fn admission_refusal(
        &self,
        admission: &AdmissionRequest,
        budget: Option<ids::BudgetSlot>,
        now_ms: u64,
    ) -> Option<Reason> {
        match self.lifecycle {
            Lifecycle::Starting => return Some(Reason::NotReady),
            Lifecycle::Fenced => return Some(Reason::Fenced),
            Lifecycle::Stopping | Lifecycle::Stopped => return Some(Reason::Stopping),
            Lifecycle::Ready => {}
        }
        if let Some((reason, _)) = self.quarantine_refusal(admission.subjects(), now_ms) {
            return Some(reason);
        }
        let budget_missing = budget.is_none() && admission.bound_tokens > 0;
        if budget_missing || self.service(&admission.service).is_none() {
            return Some(Reason::Unconfigured);
        }
        if admission.deadline_ms <= now_ms {
            return Some(Reason::DeadlineTooClose);
        }
        // An unrepeatable request may wait for the outcome of another request with its id.
        let running = self.by_key.contains_key(&admission.key) && !admission.unrepeatable;
        running.then_some(Reason::InProgress)
    }

    /// Reserves the tokens of a request and looks for a server; returns false if too few tokens are free or none may be
    /// spent now.
    pub(super) fn try_reserve(&mut self, slot: ids::RequestSlot, now_ms: u64) -> bool {
        let Some(request) = self.requests.get_mut(slot) else { return true };
        let Some(reservation) =
            self.grants.reserve(request.budget, request.admission.bound_tokens, now_ms)
        else {
            return false;
        };
        request.stage = Stage::WaitingServer { reservation };
        request.stage_since_ms = now_ms;
        self.choose_server(slot, now_ms);
        true
    }

    /// Chooses a server for a request, or queues the request until there is one.
    fn choose_server(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        if !self.servers.limits().is_empty() {
            let service = self.requests.get(slot).map(|request| request.admission.service.clone());
            service.iter().for_each(|service| self.request_trials(service, now_ms));
        }
        let Some(request) = self.requests.get(slot) else { return };
        match choose(&mut self.servers, request, now_ms, &mut self.rng) {
            Ok(choice) => self.handle_server_choice(slot, choice, now_ms),
            Err(unavailable) => self.enqueue(slot, unavailable, now_ms),
        }
    }

    /// Handles the choice of a server: records a claim first if the request is unrepeatable, else dispatches it.
    pub(super) fn handle_server_choice(
        &mut self,
        slot: ids::RequestSlot,
        choice: servers::Choice,
        now_ms: u64,
    ) {
        let servers::Choice { slot: server, unread_tokens } = choice;
        let Some(request) = self.requests.get_mut(slot) else { return };
        request.unread_tokens = unread_tokens;
        let stage = std::mem::replace(&mut request.stage, Stage::WaitingHandover);
        let Stage::WaitingServer { reservation } = stage else {
            request.stage = stage;
            return;
        };
        request.stage = Stage::WaitingClaim {
            reservation,
            server,
            appended: false,
            other_claim_checked_ms: None,
        };
        request.stage_since_ms = now_ms;
        if request.admission.unrepeatable && !self.logs.is_empty() {
            self.send_claim(slot, now_ms);
        } else {
            self.dispatch(slot, now_ms);
        }
    }

    /// Sends a request's claim to the router that appends to its shard of the log, or appends it here.
    fn send_claim(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        let Some(claim) = self.build_claim(slot) else { return };
        let own = self.settings.incarnation;
        let shard = claim.key.shard(self.logs.len() as u32);
        let live = self.members.live().map(|record| record.id);
        match rendezvous::first(u64::from(shard), live.chain([own])) {
            Some(home) if home != own => self.send(home, message::Message::Claim(claim)),
            _ => self.append_own_claim(slot, now_ms),
        }
    }

    /// Appends a request's claim to the log.
    fn append_own_claim(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        let Some(claim) = self.build_claim(slot) else { return };
        if let Some(Request {
            stage: Stage::WaitingClaim { appended, other_claim_checked_ms, .. },
            ..
        }) = self.requests.get_mut(slot)
        {
            *appended = true;
            *other_claim_checked_ms = other_claim_checked_ms.map(|_| now_ms);
        }
        let (entry, waiter) = (log_index::Entry::Claim(claim), log_writer::Waiter::Local(slot));
        self.append_to_log(entry, waiter, log_writer::Urgency::Immediate, now_ms);
    }

    fn build_claim(&self, slot: ids::RequestSlot) -> Option<log_index::Claim> {
        let request = self.requests.get(slot)?;
        let (key, body_hash) = (request.admission.key, request.admission.body_hash);
        Some(log_index::Claim { key, attempt: request.attempt, body_hash })
    }

    /// Dispatches a request whose claim, if it needs one, is recorded.
    fn dispatch(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        let Some(request) = self.requests.get(slot) else { return };
        if let Some((reason, _)) = self.quarantine_refusal(request.admission.subjects(), now_ms) {
            // While it waited, a server crashed while running such a request for another router.
            self.refuse(slot, reason, now_ms);
            return;
        }
        if let Err(unavailable) = self.confirm_server(slot, now_ms) {
            self.refuse(slot, self.unavailability_reason(slot, unavailable), now_ms);
            return;
        }
        let Some(request) = self.requests.get_mut(slot) else { return };
        let stage = std::mem::replace(&mut request.stage, Stage::WaitingHandover);
        let Stage::WaitingClaim { reservation, server, .. } = stage else {
            request.stage = stage;
            return;
        };
        let reservation = reservation.dispatch();
        request.stage = Stage::Running { reservation, server, sent_ms: now_ms };
        request.stage_since_ms = now_ms;
        self.counters.dispatched += 1;
        self.answer_dispatch(slot, server, now_ms);
    }

    /// Chooses another server for a request if the chosen one may not receive it any more: while the claim was recorded
    /// the server may have reported that it is leaving, or may have become limited.
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
        self.servers.record_end(server);
        self.servers.record_prompt_processed(server, unread_tokens);
        Ok(())
    }

    /// Why a request for which no server is available is refused.
    pub(super) fn unavailability_reason(
        &self,
        slot: ids::RequestSlot,
        unavailable: servers::Unavailable,
    ) -> Reason {
        let bound_to_version =
            self.requests.get(slot).is_some_and(|request| request.version.is_some());
        match unavailable {
            servers::Unavailable::None if bound_to_version => Reason::NoServerOfVersion,
            unavailable => unavailable.into(),
        }
    }

    /// Answers a request with the server that it is dispatched to.
    pub(super) fn answer_dispatch(
        &mut self,
        slot: ids::RequestSlot,
        server: ids::ServerSlot,
        now_ms: u64,
    ) {
        self.record_stream_origin(slot, server, now_ms);
        let Some(request) = self.requests.get(slot) else { return };
        let id = quarantine::SendId { router: self.settings.incarnation, sent_ms: now_ms };
        self.quarantine.table.record_send(request.admission.subjects(), id);
        let (attempt, unread_tokens) = (request.attempt, request.unread_tokens);
        let Some(server) = self.servers.get(server) else { return };
        let servers::Vm { address, vm, incarnation, version, .. } = server.vm.clone();
        let dispatch =
            Answer::Dispatch { address, vm, incarnation, version, attempt, unread_tokens };
        self.answer(slot, dispatch);
    }

    /// Ends a request that was not sent to any server, and releases its tokens, its place at a server and its claim.
    fn end_unsent(&mut self, slot: ids::RequestSlot, answer: Answer, now_ms: u64) {
        let Some(request) = self.remove_request(slot) else { return };
        let key = request.admission.key;
        match request.stage {
            Stage::WaitingServer { reservation } => {
                self.waiting_servers.retain(|place| place.slot != slot);
                self.grants.release(reservation);
            }
            Stage::WaitingClaim { reservation, server, .. } => {
                self.grants.release(reservation);
                self.servers.record_end(server);
                self.servers.record_prompt_processed(server, request.unread_tokens);
                if !matches!(answer, Answer::Replay(_)) {
                    self.release_claim(slot, key, request.attempt, now_ms);
                }
            }
            Stage::WaitingBudget | Stage::Running { .. } | Stage::WaitingHandover => {}
        }
        self.counters.not_run += 1;
        self.answer(slot, answer);
    }

    /// Releases a claim that may or may not be in the log. The claim's attempt has certainly not run.
    pub(super) fn release_claim(
        &mut self,
        slot: ids::RequestSlot,
        key: ids::RequestKey,
        attempt: ids::AttemptId,
        now_ms: u64,
    ) {
        let shard = key.shard(self.logs.len() as u32) as usize;
        if let Some(log) = self.logs.get_mut(shard) {
            log.withdraw_claim(slot);
        }
        let release = log_index::Entry::Release { key, attempt };
        let waiter = log_writer::Waiter::Outbox;
        self.append_to_log(release, waiter, log_writer::Urgency::Batched, now_ms);
    }

    /// The retry delay returned with a refusal, in milliseconds.
    pub(super) fn retry_after_ms(
        &mut self,
        slot: ids::RequestSlot,
        reason: Reason,
        now_ms: u64,
    ) -> u64 {
        match reason {
            Reason::BudgetUnreachable => self.outage.record_refusal(now_ms),
            Reason::BudgetExhausted | Reason::BudgetLow => RETRY_AFTER_EXHAUSTED_MS,
            Reason::Overloaded => {
                let service = self.requests.get(slot).map(|request| &request.admission.service);
                service.map_or(RETRY_AFTER_SHORT_MS, |service| self.drain_time_ms(service))
            }
            Reason::Limited => {
                let service =
                    self.requests.get(slot).map(|request| request.admission.service.clone());
                service
                    .map_or(RETRY_AFTER_SHORT_MS, |name| self.limited_retry_after_ms(&name, now_ms))
            }
            Reason::Backoff => self.backoff_retry_after_ms(slot, now_ms),
            Reason::Quarantined | Reason::PartQuarantined | Reason::Suspended => {
                let request = self.requests.get(slot).map(|request| request.admission.subjects());
                let refusal = request.and_then(|request| self.quarantine_refusal(request, now_ms));
                refusal.map_or(RETRY_AFTER_SHORT_MS, |(_, left_ms)| left_ms)
            }
            _ => RETRY_AFTER_SHORT_MS,
        }
    }
}

/// Chooses a server for a request.
pub(super) fn choose(
    table: &mut servers::Table,
    request: &Request,
    now_ms: u64,
    rng: &mut rand::rngs::StdRng,
) -> Result<servers::Choice, servers::Unavailable> {
    table.choose(&server_criteria(request), now_ms, rng)
}

/// The criteria for servers that may run a request.
pub(super) fn server_criteria(request: &Request) -> servers::Criteria<'_> {
    servers::Criteria {
        service: &request.admission.service,
        classes: &request.admission.classes,
        version: request.version.as_deref(),
        recorded_versions_only: request.admission.stream.is_some() && request.version.is_none(),
        prefix_hash: request.admission.prefix_hash,
        parts: &request.admission.parts,
        excluded: &request.failed_servers,
    }
}

/// The answer that refuses a request.
pub(super) fn refusal(reason: Reason, retry_after_ms: u64) -> Answer {
    Answer::Refuse { reason, retry_after_ms }
}
