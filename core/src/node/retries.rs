//! Requests whose server returned no answer: retries them on another server, or refuses them with `Retry-After`.

use super::{AttemptFailure, Node, Reason, Stage, admit};
use crate::{ids, servers};
use rand::RngExt;

/// A request is sent again until the number of failed sends exceeds `attempts_max` by more than this, so that
/// rejections, which are not attempts, are bounded as well.
const REJECTIONS_MAX: u32 = 2;
const RETRY_AFTER_MIN_MS: u64 = 50;
/// Minimum time over which the retries of callers that are refused because of backoffs are spread. Otherwise they are
/// spread over half of the time that the backoffs last.
const BACKOFF_SPREAD_MIN_MS: u64 = 500;
/// Maximum time over which these retries are spread.
const BACKOFF_SPREAD_MAX_MS: u64 = 10_000;

impl Node {
    /// Retries a request, whose server failed before it answered, on another server.
    pub fn retry(&mut self, slot: ids::RequestSlot, failure: AttemptFailure, now_ms: u64) {
        let Some(request) = self.requests.get_mut(slot) else { return };
        let Stage::Running { server, sent_ms, .. } = &request.stage else { return };
        let (server, sent_ms) = (*server, *sent_ms);
        let tokens = std::mem::take(&mut request.unread_tokens);
        self.servers.record_prompt_processed(server, tokens);
        let service = request.admission.service.clone();
        request.failed_servers.push(server);
        request.attempts += u32::from(failure == AttemptFailure::MayHaveRun);
        let sends = request.failed_servers.len();
        let attempts_max = request.admission.attempts_max;
        let attempts = request.attempts;
        match failure {
            AttemptFailure::Rejected => self.record_rejection(server, sent_ms, now_ms),
            AttemptFailure::NotSent | AttemptFailure::MayHaveRun => {
                self.record_server_failure(server, sent_ms, now_ms)
            }
            // The server did not fail.
            AttemptFailure::NoRoute => {}
        }
        if failure != AttemptFailure::MayHaveRun {
            self.withdraw_send(slot, sent_ms);
        }
        let exhausted = attempts >= attempts_max
            || sends > attempts_max.saturating_add(REJECTIONS_MAX) as usize;
        let subjects = self.requests.get(slot).map(|request| request.admission.subjects());
        let refusal = subjects.and_then(|request| self.retry_refusal(request, failure, now_ms));
        if let Some(reason) = refusal.or(exhausted.then_some(Reason::RetriesExhausted)) {
            self.end_retries(slot, reason, now_ms);
            return;
        }

        // A request that was not sent is not counted as a retry, so that a crashed server does not use up its service's
        // retries.
        let was_sent = !matches!(failure, AttemptFailure::NotSent | AttemptFailure::NoRoute);
        let routers = self.max_live_routers;
        if was_sent && !self.retries.entry(service).or_default().try_spend(routers) {
            self.end_retries(slot, Reason::RetriesExhausted, now_ms);
            return;
        }
        let Some(request) = self.requests.get(slot) else { return };
        let chosen = admit::choose(&mut self.servers, request, now_ms, &mut self.rng);
        let servers::Choice { slot: next, unread_tokens } = match chosen {
            Ok(choice) => choice,
            Err(unavailable) => {
                let reason = match unavailable {
                    servers::Unavailable::Full => Reason::NoServer,
                    unavailable => self.unavailability_reason(slot, unavailable),
                };
                self.end_retries(slot, reason, now_ms);
                return;
            }
        };
        self.servers.record_end(server);
        if let Some(request) = self.requests.get_mut(slot) {
            request.unread_tokens = unread_tokens;
            if let Stage::Running { server, sent_ms, .. } = &mut request.stage {
                *server = next;
                *sent_ms = now_ms;
            }
        }
        self.answer_dispatch(slot, next, now_ms);
    }

    /// Refuses a request that is not retried any more. If all its servers back off, that is the reason given.
    fn end_retries(&mut self, slot: ids::RequestSlot, reason: Reason, now_ms: u64) {
        let reason = match self.backoffs_end_ms(slot, now_ms) {
            Some(_) => Reason::Backoff,
            None => reason,
        };
        let retry_after_ms = self.retry_after_ms(slot, reason, now_ms);
        self.answer(slot, admit::refusal(reason, retry_after_ms));
    }

    /// Time at which the first of a request's servers accepts requests again, if all of them back off.
    fn backoffs_end_ms(&self, slot: ids::RequestSlot, now_ms: u64) -> Option<u64> {
        self.servers.backoffs_end_ms(&admit::server_criteria(self.requests.get(slot)?), now_ms)
    }

    /// Time in milliseconds after which a request that is refused because of backoffs may be repeated, randomized so
    /// that callers do not retry at the same time.
    pub(super) fn backoff_retry_after_ms(&mut self, slot: ids::RequestSlot, now_ms: u64) -> u64 {
        let end_ms = self.backoffs_end_ms(slot, now_ms).unwrap_or(now_ms);
        let wait_ms = end_ms.saturating_sub(now_ms).max(RETRY_AFTER_MIN_MS);
        let spread_ms = (wait_ms / 2).clamp(BACKOFF_SPREAD_MIN_MS, BACKOFF_SPREAD_MAX_MS);
        wait_ms + self.rng.random_range(0..spread_ms)
    }
}
