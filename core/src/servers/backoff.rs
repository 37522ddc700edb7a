//! Backoffs that servers request after rejecting a request, and the gradual return to these
//! servers.
//!
//! A random delay spreads the returns of routers that were rejected at the same moment, and each
//! router begins with a single request.

use super::{Criteria, Server, Table};
use crate::ids;
use rand::{RngExt, rngs};

/// The random delay is at most one part in this many of the requested time, unless the fleet's size
/// demands more.
const SPREAD_DIVISOR: u64 = 8;
/// Minimum upper bound of the random delay per router in the fleet.
const SPREAD_PER_ROUTER_MS: u64 = 5;
const SPREAD_MAX_MS: u64 = 2_000;
/// Number of requests that each answer of a returning server permits.
const SENDS_PER_ANSWER: u64 = 2;
/// Interval of attempts while a returning server does not answer.
const ATTEMPT_INTERVAL_MS: u64 = 1_000;
/// Number of permitted requests at which a server counts as fully returned.
const SENDS_WHEN_RETURNED: u64 = 16;
/// Time after which the return ends in any case.
const RETURN_MAX_MS: u64 = 5_000;
/// Extensions of a backoff by less than this are neither logged nor counted.
const NOTABLE_EXTENSION_MS: u64 = 250;

/// A pause in sending to a backend server, which the server requested when it rejected a request. After the pause, it
/// limits the requests that this router sends until the server has its normal share again.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Latest end of all requested backoffs.
    requested_until_ms: u64,
    /// When this router sends to the server again: the requested end plus the random delay.
    resumes_ms: u64,
    /// Number of requests that may still be sent before the next answer.
    sends_left: u64,
    /// When one request may be sent although no answer arrived.
    next_attempt_ms: u64,
}

impl Backoff {
    fn new(requested_until_ms: u64, spread_ms: u64) -> Self {
        let resumes_ms = requested_until_ms + spread_ms;
        Self {
            requested_until_ms,
            resumes_ms,
            sends_left: 1,
            next_attempt_ms: resumes_ms + ATTEMPT_INTERVAL_MS,
        }
    }

    /// When this router sends to the server again.
    pub fn resumes_ms(&self) -> u64 {
        self.resumes_ms
    }

    /// Whether the backoff still lasts, so that nothing may be sent to the server.
    pub fn is_active(&self, now_ms: u64) -> bool {
        now_ms < self.resumes_ms
    }

    /// Whether nothing may be sent now: the backoff lasts, or the return waits for an answer.
    pub fn holds_back(&self, now_ms: u64) -> bool {
        let awaits_answer = self.sends_left == 0 && now_ms < self.next_attempt_ms;
        self.is_active(now_ms) || awaits_answer
    }

    /// Counts a request that is sent to the server.
    pub fn count(&mut self, now_ms: u64) {
        self.sends_left = self.sends_left.saturating_sub(1);
        self.next_attempt_ms = now_ms + ATTEMPT_INTERVAL_MS;
    }

    /// Counts an answer. Answers to requests from before the end of the backoff are ignored.
    fn record_answer(&mut self, sent_ms: u64) {
        if sent_ms >= self.resumes_ms {
            self.sends_left += SENDS_PER_ANSWER;
        }
    }

    fn is_over(&self, now_ms: u64) -> bool {
        let returned = self.sends_left >= SENDS_WHEN_RETURNED;
        !self.is_active(now_ms) && (returned || now_ms >= self.resumes_ms + RETURN_MAX_MS)
    }
}

impl Server {
    /// Whether a backoff that the server requested still lasts.
    pub(super) fn backs_off(&self, now_ms: u64) -> bool {
        self.backs_off_until_ms(now_ms).is_some()
    }

    /// When this router may send to the server again, if a backoff still lasts.
    pub(super) fn backs_off_until_ms(&self, now_ms: u64) -> Option<u64> {
        self.backoff.filter(|backoff| backoff.is_active(now_ms)).map(|backoff| backoff.resumes_ms)
    }
}

impl Table {
    /// Starts the backoff of a server or extends it; returns whether it is new or extended notably.
    /// An earlier end than the one requested before changes nothing.
    pub fn back_off(
        &mut self,
        slot: ids::ServerSlot,
        until_ms: u64,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> bool {
        let routers = self.fleet.members.len() as u64;
        let Some(server) = self.servers.get_mut(slot) else { return false };
        let active = server.backoff.filter(|backoff| backoff.is_active(now_ms));
        if active.is_some_and(|backoff| backoff.requested_until_ms >= until_ms)
            || until_ms <= now_ms
        {
            return false;
        }
        let proportional_ms = (until_ms - now_ms) / SPREAD_DIVISOR;
        let spread_ms = proportional_ms.max(routers * SPREAD_PER_ROUTER_MS).min(SPREAD_MAX_MS);
        server.backoff = Some(Backoff::new(until_ms, rng.random_range(0..=spread_ms)));
        self.backing_off.insert(slot);
        self.reset_answer_time(slot);
        active.is_none_or(|backoff| until_ms >= backoff.requested_until_ms + NOTABLE_EXTENSION_MS)
    }

    /// Servers whose backoff, or the return from it, is not over yet.
    pub fn backing_off(&self) -> impl Iterator<Item = (ids::ServerSlot, &Backoff)> {
        let slots = self.backing_off.iter();
        slots.filter_map(|slot| Some((*slot, self.servers.get(*slot)?.backoff.as_ref()?)))
    }

    /// Whether a backoff that the server requested still lasts.
    pub fn backs_off(&self, slot: ids::ServerSlot, now_ms: u64) -> bool {
        self.servers.get(slot).is_some_and(|server| server.backs_off(now_ms))
    }

    /// When the first matching server accepts requests again, if all of them back off. Includes the
    /// servers on which the request failed.
    pub fn backoffs_end_ms(&self, criteria: &Criteria<'_>, now_ms: u64) -> Option<u64> {
        let slots = self.by_service.get(criteria.service)?.iter();
        let matching =
            slots.map(|slot| &self.servers[*slot]).filter(|server| server.matches(criteria));
        let ends_ms: Option<Vec<u64>> =
            matching.map(|server| server.backs_off_until_ms(now_ms)).collect();
        ends_ms?.into_iter().min()
    }

    /// Number of requests that the next answers of a service's servers permit, if all of these
    /// servers are held back by their backoffs; `None` if one is not.
    pub fn sends_after_backoffs(&self, service: &str, now_ms: u64) -> Option<usize> {
        let slots = self.by_service.get(service)?.iter();
        let live = slots.map(|slot| &self.servers[*slot]).filter(|server| server.is_live());
        let sends: Option<Vec<u64>> = live
            .map(|server| {
                let backoff = server.backoff.filter(|backoff| backoff.holds_back(now_ms))?;
                Some(if backoff.is_active(now_ms) { 0 } else { SENDS_PER_ANSWER })
            })
            .collect();
        sends.map(|sends| sends.into_iter().sum::<u64>() as usize)
    }

    /// Counts a successful answer of a server, complete or just begun, for the return from its
    /// backoff.
    pub fn record_answer(&mut self, slot: ids::ServerSlot, sent_ms: u64) {
        if let Some(backoff) = self.servers.get_mut(slot).and_then(|server| server.backoff.as_mut())
        {
            backoff.record_answer(sent_ms);
        }
    }

    /// Removes the backoffs of servers whose return is complete; returns these servers.
    pub fn end_backoffs(&mut self, now_ms: u64) -> Vec<ids::ServerSlot> {
        let Self { backing_off, servers, .. } = self;
        let ended = backing_off.extract_if(.., |slot| {
            let backoff = servers.get(*slot).and_then(|server| server.backoff);
            backoff.is_none_or(|backoff| backoff.is_over(now_ms))
        });
        let ended: Vec<ids::ServerSlot> = ended.collect();
        for slot in &ended {
            if let Some(server) = servers.get_mut(*slot) {
                server.backoff = None;
            }
        }
        ended
    }
}
