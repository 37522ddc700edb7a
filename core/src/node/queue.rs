//! Requests that wait for a server: in order of priority, bounded by length and age.

use super::{Node, Reason, admit};
use crate::{ids, servers};
use std::cmp;

/// Every so many dequeued requests, one of the lowest priority that waits goes first.
const LOWEST_EVERY: u64 = 10;
const RETRY_AFTER_MAX_MS: u64 = 30_000;

/// A request's place in the queue for servers: higher priority first, then older first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) service: String,
    pub(super) priority: cmp::Reverse<u8>,
    pub(super) since_ms: u64,
    pub(super) slot: ids::RequestSlot,
}

/// How fast a service's queue drains, for `Retry-After`.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Drain {
    pub(super) window_ms: u64,
    pub(super) ended: u64,
    pub(super) per_s: u64,
    pub(super) dequeued: u64,
}

impl Drain {
    /// Measures anew how fast it drains, once a second.
    pub(super) fn measure(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.window_ms);
        if elapsed_ms >= 1_000 {
            self.per_s = (self.per_s + self.ended * 1_000 / elapsed_ms).div_ceil(2);
            self.ended = 0;
            self.window_ms = now_ms;
        }
    }
}

impl Node {
    pub(super) fn tick_waiting_servers(&mut self, now_ms: u64) {
        let places: Vec<Place> = self.waiting_servers.iter().cloned().collect();
        for place in &places {
            let Some(request) = self.requests.get(place.slot) else { continue };
            let age_ms = now_ms.saturating_sub(place.since_ms);
            let most_ms = self.service(&place.service).map_or(0, |service| service.queue_age_ms);
            if request.wanted.deadline_ms <= now_ms {
                self.refuse(place.slot, Reason::DeadlineTooClose, now_ms);
            } else if age_ms >= most_ms {
                let reason = match self.servers.all_limited(&place.service, now_ms) {
                    true => Reason::Limited,
                    false => Reason::Overloaded,
                };
                self.refuse(place.slot, reason, now_ms);
            }
        }
        let mut services: Vec<String> = places.into_iter().map(|place| place.service).collect();
        services.dedup();
        for service in services {
            self.drain_queue(&service, now_ms);
            self.shed_backing_off(&service, now_ms);
        }
    }

    pub(super) fn drain_queue(&mut self, service: &str, now_ms: u64) {
        loop {
            let Some(place) = self.next_in_queue(service) else { return };
            let Some(request) = self.requests.get(place.slot) else {
                self.waiting_servers.remove(&place);
                continue;
            };
            match admit::choose(&mut self.servers, request, now_ms, &mut self.rng) {
                Ok(choice) => {
                    self.waiting_servers.remove(&place);
                    self.drained.entry(service.to_owned()).or_default().dequeued += 1;
                    self.placed(place.slot, choice, now_ms);
                }
                Err(lack) if may_wait(lack) => return,
                Err(lack) => self.refuse(place.slot, lack.into(), now_ms),
            }
        }
    }

    /// Refuses what waits in vain: where all servers back off or have yet to answer after that, more requests than these
    /// answers make room for.
    fn shed_backing_off(&mut self, service: &str, now_ms: u64) {
        if let Some(places) = self.servers.sends_after_backoffs(service, now_ms) {
            self.shed(service, places, Reason::Backoff, now_ms);
        }
    }

    /// When a request that waits for a server stops waiting.
    fn waits_until_ms(&self, place: &Place) -> u64 {
        let most_ms = self.service(&place.service).map_or(0, |service| service.queue_age_ms);
        let deadline_ms = self.requests.get(place.slot).map_or(0, |it| it.wanted.deadline_ms);
        (place.since_ms + most_ms).min(deadline_ms)
    }

    /// Lets a request wait that lacks a server, if that may help; refuses it otherwise.
    pub(super) fn enqueue(
        &mut self,
        slot: ids::RequestSlot,
        lack: servers::Unavailable,
        now_ms: u64,
    ) {
        let Some(request) = self.requests.get(slot) else { return };
        let service = request.wanted.service.clone();
        let most = self.service(&service).map_or(0, |service| service.queue_length);
        let place = Place {
            service: service.clone(),
            priority: cmp::Reverse(request.wanted.priority),
            since_ms: now_ms,
            slot,
        };
        if !may_wait(lack) {
            self.refuse(slot, lack.into(), now_ms);
            return;
        }
        self.waiting_servers.insert(place);
        self.shed(&service, most, Reason::Overloaded, now_ms);
        self.shed_backing_off(&service, now_ms);
        if self.servers.limits().is_empty() {
            return;
        }
        // A permit may be had at once.
        self.ask_for_permits(&service, now_ms);
        self.drain_queue(&service, now_ms);
        self.shed_limited(&service, now_ms);
    }

    /// Refuses the last in order while too many wait, but never the one that the lowest priority's share
    /// is kept for.
    pub(super) fn shed(&mut self, service: &str, most: usize, reason: Reason, now_ms: u64) {
        while self.queue(service).count() > most {
            let spared = self.longest_waiting_of_lowest(service).map(|place| place.slot);
            let spared = spared.filter(|_| most > 0);
            let last = self.queue(service).rev().find(|place| Some(place.slot) != spared);
            let Some(slot) = last.map(|place| place.slot) else { return };
            self.refuse(slot, reason, now_ms);
        }
    }

    /// How long the request that has the most time still waits for a server.
    pub(super) fn longest_wait_left_ms(&self, service: &str, now_ms: u64) -> u64 {
        let left_ms = |place: &Place| self.waits_until_ms(place).saturating_sub(now_ms);
        self.queue(service).map(left_ms).max().unwrap_or(0)
    }

    pub(super) fn queue<'a>(
        &'a self,
        service: &'a str,
    ) -> impl DoubleEndedIterator<Item = &'a Place> {
        self.waiting_servers.iter().filter(move |place| place.service == service)
    }

    fn longest_waiting_of_lowest<'a>(&'a self, service: &'a str) -> Option<&'a Place> {
        let lowest = self.queue(service).next_back()?.priority;
        self.queue(service).find(|place| place.priority == lowest)
    }

    fn next_in_queue(&self, service: &str) -> Option<Place> {
        let dequeued = self.drained.get(service).map_or(0, |drain| drain.dequeued);
        if dequeued % LOWEST_EVERY == LOWEST_EVERY - 1 {
            return self.longest_waiting_of_lowest(service).cloned();
        }
        self.queue(service).next().cloned()
    }

    /// How long the queue of a service takes to drain, at the rate measured lately.
    pub(super) fn drain_time_ms(&self, service: &str) -> u64 {
        let waiting = self.queue(service).count();
        let per_s = self.drained.get(service).map_or(0, |drain| drain.per_s).max(1);
        (waiting as u64 * 1_000 / per_s).clamp(admit::RETRY_AFTER_SHORT_MS, RETRY_AFTER_MAX_MS)
    }
}

/// Whether a request that lacks a server may find one while it waits. One whose servers all back off is refused at once:
/// when the first of them takes requests again, it takes one, and most of those that wait would wait in vain.
fn may_wait(lack: servers::Unavailable) -> bool {
    match lack {
        servers::Unavailable::Full | servers::Unavailable::Limited => true,
        servers::Unavailable::Backoff | servers::Unavailable::None => false,
    }
}
