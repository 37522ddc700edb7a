//! Servers that turned this router away and asked it to send nothing for a while, and how it comes back to them.
//!
//! Routers that were turned away in the same moment come back apart from each other, and each with one request first.

use super::{Server, Table, Wanted};
use crate::ids;
use rand::{RngExt, rngs};

/// One part in so many of the time that a server asked for may be added to it.
const SPREAD_PART: u64 = 8;
/// For each router in the fleet so much may be added.
const SPREAD_FOR_ROUTER_MS: u64 = 5;
const SPREAD_MAX_MS: u64 = 2_000;
/// Requests that may follow each answer of a server that comes back.
const SENDS_FOR_ANSWER: u64 = 2;
/// A server that comes back and does not answer is tried this often.
const TRY_EVERY_MS: u64 = 1_000;
/// A server from which so many requests may follow is back.
const SENDS_OF_ONE_BACK: u64 = 16;
/// After this time it is back in any case.
const RETURN_MAX_MS: u64 = 5_000;
/// A later end by less than this is no news.
const NOTABLE_MS: u64 = 250;

/// What a server asked for, and the return to it.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// The latest end of all that it asked for.
    asked_until_ms: u64,
    /// When this router sends to it again.
    opens_ms: u64,
    /// Requests that may be sent since then.
    sends_left: u64,
    /// When one may be sent though no answer came.
    next_try_ms: u64,
}

impl Backoff {
    fn new(asked_until_ms: u64, spread_ms: u64) -> Self {
        let opens_ms = asked_until_ms + spread_ms;
        Self { asked_until_ms, opens_ms, sends_left: 1, next_try_ms: opens_ms + TRY_EVERY_MS }
    }

    /// When this router sends to the server again.
    pub fn opens_ms(&self) -> u64 {
        self.opens_ms
    }

    /// Whether nothing may be sent to the server.
    pub fn binds(&self, now_ms: u64) -> bool {
        now_ms < self.opens_ms
    }

    /// Whether nothing is to be sent now: the server wants nothing, or has got all that it is to get before it answers.
    pub fn holds_back(&self, now_ms: u64) -> bool {
        let awaits_answer = self.sends_left == 0 && now_ms < self.next_try_ms;
        self.binds(now_ms) || awaits_answer
    }

    /// Counts a request.
    pub fn count(&mut self, now_ms: u64) {
        self.sends_left = self.sends_left.saturating_sub(1);
        self.next_try_ms = now_ms + TRY_EVERY_MS;
    }

    /// Counts an answer; one to a request from before the backoff tells nothing.
    fn answered(&mut self, sent_ms: u64) {
        if sent_ms >= self.opens_ms {
            self.sends_left += SENDS_FOR_ANSWER;
        }
    }

    fn is_over(&self, now_ms: u64) -> bool {
        let back = self.sends_left >= SENDS_OF_ONE_BACK;
        !self.binds(now_ms) && (back || now_ms >= self.opens_ms + RETURN_MAX_MS)
    }
}

impl Server {
    /// Whether it asked this router to send it nothing now.
    pub(super) fn backs_off(&self, now_ms: u64) -> bool {
        self.backs_off_until_ms(now_ms).is_some()
    }

    /// When this router may send to it again, if it asked for nothing until then.
    pub(super) fn backs_off_until_ms(&self, now_ms: u64) -> Option<u64> {
        self.backoff.filter(|backoff| backoff.binds(now_ms)).map(|backoff| backoff.opens_ms)
    }
}

impl Table {
    /// Notes that a server wants nothing until a time; whether that is news. An earlier time than was asked for before
    /// changes nothing.
    pub fn back_off(
        &mut self,
        slot: ids::ServerSlot,
        until_ms: u64,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> bool {
        let routers = self.fleet.members.len() as u64;
        let Some(server) = self.servers.get_mut(slot) else { return false };
        let known = server.backoff.filter(|known| known.binds(now_ms));
        if known.is_some_and(|known| known.asked_until_ms >= until_ms) || until_ms <= now_ms {
            return false;
        }
        let part_ms = (until_ms - now_ms) / SPREAD_PART;
        let spread_ms = part_ms.max(routers * SPREAD_FOR_ROUTER_MS).min(SPREAD_MAX_MS);
        server.backoff = Some(Backoff::new(until_ms, rng.random_range(0..=spread_ms)));
        self.backing_off.insert(slot);
        self.forget_pace(slot);
        known.is_none_or(|known| until_ms >= known.asked_until_ms + NOTABLE_MS)
    }

    /// Servers that asked for a backoff, until they have their part again.
    pub fn backing_off(&self) -> impl Iterator<Item = (ids::ServerSlot, &Backoff)> {
        let slots = self.backing_off.iter();
        slots.filter_map(|slot| Some((*slot, self.servers.get(*slot)?.backoff.as_ref()?)))
    }

    /// Whether a server asked this router to send it nothing now.
    pub fn backs_off(&self, slot: ids::ServerSlot, now_ms: u64) -> bool {
        self.servers.get(slot).is_some_and(|server| server.backs_off(now_ms))
    }

    /// When the first of the servers that fit takes requests again, if all of them back off; those that failed the request
    /// count as well.
    pub fn backoffs_end_ms(&self, wanted: &Wanted<'_>, now_ms: u64) -> Option<u64> {
        let slots = self.by_service.get(wanted.service)?.iter();
        let fitting = slots.map(|slot| &self.servers[*slot]).filter(|server| server.fits(wanted));
        let ends_ms: Option<Vec<u64>> =
            fitting.map(|server| server.backs_off_until_ms(now_ms)).collect();
        ends_ms?.into_iter().min()
    }

    /// How many requests the next answers of a service's servers make room for, if all of these are held back by their
    /// backoffs.
    pub fn places_after_backoffs(&self, service: &str, now_ms: u64) -> Option<usize> {
        let slots = self.by_service.get(service)?.iter();
        let live = slots.map(|slot| &self.servers[*slot]).filter(|server| server.is_live());
        let places: Option<Vec<u64>> = live
            .map(|server| {
                let backoff = server.backoff.filter(|backoff| backoff.holds_back(now_ms))?;
                Some(if backoff.binds(now_ms) { 0 } else { SENDS_FOR_ANSWER })
            })
            .collect();
        places.map(|places| places.into_iter().sum::<u64>() as usize)
    }

    /// A server answered a request well, or has begun to.
    pub fn answered(&mut self, slot: ids::ServerSlot, sent_ms: u64) {
        if let Some(backoff) = self.servers.get_mut(slot).and_then(|it| it.backoff.as_mut()) {
            backoff.answered(sent_ms);
        }
    }

    /// Takes the servers that have their part again.
    pub fn end_backoffs(&mut self, now_ms: u64) -> Vec<ids::ServerSlot> {
        let Self { backing_off, servers, .. } = self;
        let over = backing_off.extract_if(.., |slot| {
            let backoff = servers.get(*slot).and_then(|server| server.backoff);
            backoff.is_none_or(|backoff| backoff.is_over(now_ms))
        });
        let over: Vec<ids::ServerSlot> = over.collect();
        for slot in &over {
            if let Some(server) = servers.get_mut(*slot) {
                server.backoff = None;
            }
        }
        over
    }
}
