//! Requests whose server gave no answer: another server, or a refusal that tells when to come back.

use super::{Node, Reason, Stage, Tried, admit};
use crate::{ids, servers};
use rand::RngExt;

/// Servers that may turn a request away beyond its attempts.
const TURNED_AWAY_MAX: u32 = 2;
const RETRY_AFTER_MIN_MS: u64 = 50;
/// Callers that are refused because of backoffs come back spread over half of the time that these last: at least this,
const BACKOFF_SPREAD_MIN_MS: u64 = 500;
/// and at most this.
const BACKOFF_SPREAD_MAX_MS: u64 = 10_000;

impl Node {
    /// Moves a request whose server failed before the answer to another server.
    pub fn retry(&mut self, slot: ids::RequestSlot, tried: Tried, now_ms: u64) {
        let Some(request) = self.requests.get_mut(slot) else { return };
        let Stage::Running { server, sent_ms, .. } = &request.stage else { return };
        let (server, sent_ms) = (*server, *sent_ms);
        let tokens = std::mem::take(&mut request.unread_tokens);
        self.servers.has_read(server, tokens);
        let service = request.wanted.service.clone();
        request.failed_servers.push(server);
        request.attempts += u32::from(tried == Tried::MayHaveRun);
        let sends = request.failed_servers.len();
        let most = request.wanted.attempts_max;
        let attempts = request.attempts;
        let fingerprint = request.wanted.fingerprint;
        match tried {
            Tried::TurnedAway => self.server_turned_away(server, sent_ms, now_ms),
            Tried::NotSent | Tried::MayHaveRun => self.server_failed(server, now_ms),
        }
        let tried_out = attempts >= most || sends > most.saturating_add(TURNED_AWAY_MAX) as usize;
        if tried_out || self.not_to_be_retried(fingerprint) {
            self.end_retries(slot, Reason::RetriesExhausted, now_ms);
            return;
        }
        // What no server has seen is no retry: a crashed server does not use up those of its service.
        let arrived = tried != Tried::NotSent;
        let routers = self.most_routers;
        if arrived && !self.retries.entry(service).or_default().try_spend(routers) {
            self.end_retries(slot, Reason::RetriesExhausted, now_ms);
            return;
        }
        let Some(request) = self.requests.get(slot) else { return };
        let chosen = admit::choose(&mut self.servers, request, now_ms, &mut self.rng);
        let servers::Choice { slot: next, unread_tokens } = match chosen {
            Ok(choice) => choice,
            Err(lack) => {
                let reason = match lack {
                    servers::Unavailable::Full => Reason::NoServer,
                    lack => lack.into(),
                };
                self.end_retries(slot, reason, now_ms);
                return;
            }
        };
        self.servers.ended(server);
        if let Some(request) = self.requests.get_mut(slot) {
            request.unread_tokens = unread_tokens;
            if let Stage::Running { server, sent_ms, .. } = &mut request.stage {
                *server = next;
                *sent_ms = now_ms;
            }
        }
        self.answer_dispatch(slot, next);
    }

    /// Answers a request that no further server is tried for. Where all its servers back off, that is why.
    fn end_retries(&mut self, slot: ids::RequestSlot, reason: Reason, now_ms: u64) {
        let reason = match self.backoffs_end_ms(slot, now_ms) {
            Some(_) => Reason::Backoff,
            None => reason,
        };
        let retry_after_ms = self.retry_after_ms(slot, reason, now_ms);
        self.answer(slot, admit::refusal(reason, retry_after_ms));
    }

    /// When the first server that a request may go to takes requests again, if all of them back off.
    fn backoffs_end_ms(&self, slot: ids::RequestSlot, now_ms: u64) -> Option<u64> {
        self.servers.backoffs_end_ms(&admit::servers_for(self.requests.get(slot)?), now_ms)
    }

    /// When a request that is refused because of backoffs may come back, spread so that not all come at once.
    pub(super) fn backoff_retry_after_ms(&mut self, slot: ids::RequestSlot, now_ms: u64) -> u64 {
        let end_ms = self.backoffs_end_ms(slot, now_ms).unwrap_or(now_ms);
        let wait_ms = end_ms.saturating_sub(now_ms).max(RETRY_AFTER_MIN_MS);
        let spread_ms = (wait_ms / 2).clamp(BACKOFF_SPREAD_MIN_MS, BACKOFF_SPREAD_MAX_MS);
        wait_ms + self.rng.random_range(0..spread_ms)
    }
}
