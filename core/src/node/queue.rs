//! Queue of the requests that wait for a server, ordered by priority and bounded in length and age.

use super::{Node, Reason, admit};
use crate::{ids, servers};
use std::{cmp, collections};

/// One in this many dequeued requests is the oldest one of the lowest priority, so that low priorities are not starved.
const LOWEST_PRIORITY_EVERY: u64 = 10;
const RETRY_AFTER_MAX_MS: u64 = 30_000;
/// The length up to which a queue may grow however fast the servers are.
const LENGTH_AT_ANY_SPEED: usize = 64;
/// In a longer queue, a request does not wait longer than one part in this many of the time until its deadline: the
/// rest is left for its run.
const DEADLINE_DIVISOR: u64 = 4;

/// Position of a request in the queue for servers: higher priority first, then older first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) service: String,
    pub(super) priority: cmp::Reverse<u8>,
    pub(super) since_ms: u64,
    pub(super) slot: ids::RequestSlot,
}

/// Rate at which a service's queue drains, for `Retry-After`, and a count of dequeued requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DrainRate {
    pub(super) window_start_ms: u64,
    pub(super) ended: u64,
    pub(super) per_s: u64,
    pub(super) dequeued: u64,
}

impl DrainRate {
    /// Updates the rate once a second, from the requests that ended since the last update.
    pub(super) fn measure(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.window_start_ms);
        if elapsed_ms >= 1_000 {
            self.per_s = (self.per_s + self.ended * 1_000 / elapsed_ms).div_ceil(2);
            self.ended = 0;
            self.window_start_ms = now_ms;
        }
    }
}

impl Node {
    pub(super) fn tick_waiting_servers(&mut self, now_ms: u64) {
        let positions: Vec<QueuePosition> = self.waiting_servers.iter().cloned().collect();
        for position in &positions {
            let Some(request) = self.requests.get(position.slot) else { continue };
            let age_ms = now_ms.saturating_sub(position.since_ms);
            let age_max_ms =
                self.service(&position.service).map_or(0, |service| service.queue_age_ms);
            if request.admission.deadline_ms <= now_ms {
                self.refuse(position.slot, Reason::DeadlineTooClose, now_ms);
            } else if age_ms >= age_max_ms {
                let reason = if self.servers.awaits_record(&admit::server_criteria(request)) {
                    Reason::VersionUnrecorded
                } else if self.servers.all_limited(&position.service, now_ms) {
                    Reason::Limited
                } else {
                    Reason::Overloaded
                };
                self.refuse(position.slot, reason, now_ms);
            }
        }
        let mut services: Vec<String> =
            positions.into_iter().map(|position| position.service).collect();
        services.dedup();
        for service in services {
            self.drain_queue(&service, now_ms);
            self.shed_backing_off(&service, now_ms);
        }
    }

    pub(super) fn drain_queue(&mut self, service: &str, now_ms: u64) {
        // Requests that only some servers may run, and for which none of these is available.
        let mut passed_over = collections::BTreeSet::new();
        loop {
            let Some(position) = self.next_in_queue(service, &passed_over) else { return };
            let Some(request) = self.requests.get(position.slot) else {
                self.waiting_servers.remove(&position);
                continue;
            };
            let restricted = request.version.is_some()
                || request.admission.stream.is_some()
                || !request.admission.classes.is_empty();
            match admit::choose(&mut self.servers, request, now_ms, &mut self.rng) {
                Ok(choice) => {
                    self.waiting_servers.remove(&position);
                    self.queue_drains.entry(service.to_owned()).or_default().dequeued += 1;
                    self.handle_server_choice(position.slot, choice, now_ms);
                }
                Err(unavailable) if may_wait(unavailable) && restricted => {
                    passed_over.insert(position.slot);
                }
                Err(unavailable) if may_wait(unavailable) => return,
                Err(unavailable) => {
                    let reason = self.unavailability_reason(position.slot, unavailable);
                    self.refuse(position.slot, reason, now_ms);
                }
            }
        }
    }

    /// Where all servers of a service back off, or have not answered a request since, refuses the queued requests
    /// beyond those that the first answers make room for.
    fn shed_backing_off(&mut self, service: &str, now_ms: u64) {
        if let Some(length_max) = self.servers.sends_after_backoffs(service, now_ms) {
            self.shed(service, length_max, Reason::Backoff, now_ms);
        }
    }

    /// Time at which a queued request is refused if no server was found.
    fn expires_ms(&self, position: &QueuePosition) -> u64 {
        let age_max_ms = self.service(&position.service).map_or(0, |service| service.queue_age_ms);
        let deadline_ms =
            self.requests.get(position.slot).map_or(0, |request| request.admission.deadline_ms);
        (position.since_ms + age_max_ms).min(deadline_ms)
    }

    /// Queues a request for which no server is available if one may become available in time; refuses it otherwise.
    pub(super) fn enqueue(
        &mut self,
        slot: ids::RequestSlot,
        unavailable: servers::Unavailable,
        now_ms: u64,
    ) {
        let Some(request) = self.requests.get(slot) else { return };
        let service = request.admission.service.clone();
        let length_max = self.queue_length_max(&service, request.admission.deadline_ms, now_ms);
        let position = QueuePosition {
            service: service.clone(),
            priority: cmp::Reverse(request.admission.priority),
            since_ms: now_ms,
            slot,
        };
        if !may_wait(unavailable) {
            self.refuse(slot, self.unavailability_reason(slot, unavailable), now_ms);
            return;
        }
        self.waiting_servers.insert(position);
        self.shed(&service, length_max, Reason::Overloaded, now_ms);
        self.shed_backing_off(&service, now_ms);
        if !self.servers.seats().is_empty() {
            // A seat may be free at once.
            self.request_seats(&service, now_ms);
            self.drain_queue(&service, now_ms);
        }
        if self.servers.limits().is_empty() {
            return;
        }

        // A permit may be available at once.
        self.request_permits(&service, now_ms);
        self.drain_queue(&service, now_ms);
        self.shed_limited(&service, now_ms);
    }

    /// The length up to which the queue of a service may grow by a request with this deadline: beyond
    /// [`LENGTH_AT_ANY_SPEED`], as much as the servers take from this router before the last request has waited too
    /// long, and never more than is configured. A router that gets most of the requests of a fleet would otherwise
    /// refuse them although the servers have room.
    fn queue_length_max(&self, service: &str, deadline_ms: u64, now_ms: u64) -> usize {
        let Some(config) = self.service(service) else { return 0 };
        if config.queue_length <= LENGTH_AT_ANY_SPEED {
            return config.queue_length;
        }
        let left_ms = deadline_ms.saturating_sub(now_ms);
        let wait_ms = config.queue_age_ms.min(left_ms / DEADLINE_DIVISOR);
        let servable = self.servers.requests_within(service, wait_ms, now_ms);
        servable.clamp(LENGTH_AT_ANY_SPEED, config.queue_length)
    }

    /// Refuses the last requests of the queue while it is longer than `length_max`, except the oldest one of the lowest
    /// priority, which [`LOWEST_PRIORITY_EVERY`] reserves a share for.
    pub(super) fn shed(&mut self, service: &str, length_max: usize, reason: Reason, now_ms: u64) {
        while self.queue(service).count() > length_max {
            let protected_slot =
                self.oldest_of_lowest_priority(service).map(|position| position.slot);
            let protected_slot = protected_slot.filter(|_| length_max > 0);
            let last =
                self.queue(service).rev().find(|position| Some(position.slot) != protected_slot);
            let Some(slot) = last.map(|position| position.slot) else { return };
            self.refuse(slot, reason, now_ms);
        }
    }

    /// Longest remaining wait, in milliseconds, of the queued requests of a service.
    pub(super) fn longest_remaining_wait_ms(&self, service: &str, now_ms: u64) -> u64 {
        let remaining_ms =
            |position: &QueuePosition| self.expires_ms(position).saturating_sub(now_ms);
        self.queue(service).map(remaining_ms).max().unwrap_or(0)
    }

    pub(super) fn queue<'a>(
        &'a self,
        service: &'a str,
    ) -> impl DoubleEndedIterator<Item = &'a QueuePosition> {
        self.waiting_servers.iter().filter(move |position| position.service == service)
    }

    fn oldest_of_lowest_priority<'a>(&'a self, service: &'a str) -> Option<&'a QueuePosition> {
        let lowest_priority = self.queue(service).next_back()?.priority;
        self.queue(service).find(|position| position.priority == lowest_priority)
    }

    /// The next request of a service's queue that is not among those `passed_over`.
    fn next_in_queue(
        &self,
        service: &str,
        passed_over: &collections::BTreeSet<ids::RequestSlot>,
    ) -> Option<QueuePosition> {
        let eligible = |position: &&QueuePosition| !passed_over.contains(&position.slot);
        let dequeued = self.queue_drains.get(service).map_or(0, |drain| drain.dequeued);
        if dequeued % LOWEST_PRIORITY_EVERY == LOWEST_PRIORITY_EVERY - 1 {
            let oldest = self.oldest_of_lowest_priority(service).filter(eligible);
            if oldest.is_some() {
                return oldest.cloned();
            }
        }
        self.queue(service).find(eligible).cloned()
    }

    /// Estimate, in milliseconds, of the time in which the queue of a service drains, at its recent rate.
    pub(super) fn drain_time_ms(&self, service: &str) -> u64 {
        let waiting = self.queue(service).count();
        let per_s = self.queue_drains.get(service).map_or(0, |drain| drain.per_s).max(1);
        (waiting as u64 * 1_000 / per_s).clamp(admit::RETRY_AFTER_SHORT_MS, RETRY_AFTER_MAX_MS)
    }
}

/// Whether a request for which no server is available may be queued. One whose servers all back off is refused at once:
/// the first server that accepts requests again accepts a single one, and most of the queue would expire.
fn may_wait(unavailable: servers::Unavailable) -> bool {
    match unavailable {
        servers::Unavailable::Full
        | servers::Unavailable::Limited
        | servers::Unavailable::Unrecorded => true,
        servers::Unavailable::Backoff | servers::Unavailable::None => false,
    }
}
