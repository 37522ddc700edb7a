//! Seats at brittle servers: requests for them, and the router that deals those of each server.

use super::{Action, Node, Notice};
use crate::{ids, members, message, servers};

/// Minimum interval between pushes of updates about brittle servers.
const PUSH_INTERVAL_MS: u64 = 100;

/// Time for which more live routers than before must be seen before their part of the seats is dealt. Until then they
/// may use seats that another router dealt.
const RAISE_DELAY_MS: u64 = 2_000;

/// The state of the exchange of seats with other routers.
#[derive(Debug, Default)]
pub(super) struct SeatState {
    /// The number of live routers whose part of the seats is dealt.
    routers: u64,
    /// Since when more routers are live; `None` if no more are.
    more_since_ms: Option<u64>,
    pushed_ms: u64,
    /// Incremented so that the servers of a service are asked in turn.
    next_offset: usize,
}

impl Node {
    /// Records whether the answer to a request that was sent `sent_age_ms` ago called its server brittle.
    pub(super) fn report_brittle(
        &mut self,
        vm: &str,
        incarnation: ids::ServerIncarnation,
        rejections_per_s: servers::Directive<u64>,
        sent_age_ms: u64,
        now_ms: u64,
    ) {
        let Some(slot) = self.servers.find_incarnation(vm, incarnation) else { return };
        match rejections_per_s {
            servers::Directive::Value(rejections_per_s) => {
                self.record_brittle(slot, rejections_per_s, now_ms, None);
            }
            servers::Directive::Absent => {
                self.record_brittle_end(slot, now_ms.saturating_sub(sent_age_ms), None, now_ms);
            }
            servers::Directive::Unreadable => {}
        }
    }

    /// Merges what a peer has heard of brittle servers.
    pub(super) fn merge_brittle(
        &mut self,
        from: ids::Incarnation,
        updates: &[servers::BrittleUpdate],
        now_ms: u64,
    ) {
        for update in updates {
            let slot = self.servers.find_incarnation(&update.vm, update.incarnation);
            let at_ms = servers::Seats::update_ms(update, now_ms);
            let (Some(slot), Some(at_ms)) = (slot, at_ms) else { continue };
            match update.rejections_per_s {
                Some(rejections_per_s) => {
                    self.record_brittle(slot, rejections_per_s, at_ms, Some(from));
                }
                None => self.record_brittle_end(slot, at_ms, Some(from), now_ms),
            }
        }
    }

    fn record_brittle(
        &mut self,
        slot: ids::ServerSlot,
        rejections_per_s: u64,
        stated_ms: u64,
        from: Option<ids::Incarnation>,
    ) {
        if self.servers.seats_mut().record_statement(slot, rejections_per_s, stated_ms) {
            self.report_brittle_change(slot, Some(rejections_per_s), from);
        }
    }

    fn record_brittle_end(
        &mut self,
        slot: ids::ServerSlot,
        sent_ms: u64,
        from: Option<ids::Incarnation>,
        now_ms: u64,
    ) {
        if self.servers.seats_mut().record_end(slot, sent_ms, now_ms) {
            self.end_brittle(slot, from, now_ms);
        }
    }

    fn end_brittle(&mut self, slot: ids::ServerSlot, from: Option<ids::Incarnation>, now_ms: u64) {
        self.report_brittle_change(slot, None, from);
        let service = self.servers.get(slot).map(|server| server.vm.service.clone());
        if let Some(service) = service {
            self.drain_queue(&service, now_ms);
        }
    }

    fn report_brittle_change(
        &mut self,
        slot: ids::ServerSlot,
        rejections_per_s: Option<u64>,
        from: Option<ids::Incarnation>,
    ) {
        let Some(server) = self.servers.get(slot) else { return };
        let (vm, service) = (server.vm.vm.clone(), server.vm.service.clone());
        let notice = Notice::ServerBrittle { vm, service, rejections_per_s, from };
        self.actions.push(Action::Notice(notice));
    }

    /// Counts a rejection by a brittle server.
    pub(super) fn count_brittle_rejection(&mut self, slot: ids::ServerSlot, now_ms: u64) {
        if self.servers.seats().get(slot).is_none() {
            return;
        }
        self.servers.seats_mut().record_rejection(slot, now_ms);
        let service = self.servers.get(slot).map(|server| server.vm.service.clone());
        *self.counters.brittle_rejections.entry(service.unwrap_or_default()).or_default() += 1;
    }

    /// Renews, requests and returns seats, and ends what no answer has confirmed for long.
    pub(super) fn tick_seats(&mut self, now_ms: u64) {
        self.count_routers_for_seats(now_ms);
        for slot in self.servers.seats_mut().expire(now_ms) {
            self.end_brittle(slot, None, now_ms);
        }
        let services = self.servers.brittle_services(now_ms);
        let services: Vec<String> = services.into_keys().map(str::to_owned).collect();
        for service in services {
            self.request_seats(&service, now_ms);
        }
        // An end is sent on as well, when no server is brittle any more.
        if self.servers.seats().has_unsent() && now_ms >= self.seats.pushed_ms + PUSH_INTERVAL_MS {
            self.seats.pushed_ms = now_ms;
            self.push_to_random_members(now_ms);
        }
    }

    /// Counts the routers whose part of the seats is dealt: fewer at once, more after a delay.
    fn count_routers_for_seats(&mut self, now_ms: u64) {
        let routers = self.responding_routers().count() as u64;
        let state = &mut self.seats;
        if routers <= state.routers {
            (state.routers, state.more_since_ms) = (routers, None);
            return;
        }
        let since_ms = *state.more_since_ms.get_or_insert(now_ms);
        if now_ms >= since_ms + RAISE_DELAY_MS {
            (state.routers, state.more_since_ms) = (routers, None);
        }
    }

    /// This router and those that respond to it.
    fn responding_routers(&self) -> impl Iterator<Item = ids::Incarnation> {
        let responds = |record: &&members::Record| record.health == members::Health::Alive;
        let others = self.members.live().filter(responds).map(|record| record.id);
        others.chain([self.settings.incarnation])
    }

    /// Requests seats at the brittle servers of a service for its requests that wait.
    pub(super) fn request_seats(&mut self, service: &str, now_ms: u64) {
        let mut slots = self.servers.brittle_services(now_ms).remove(service).unwrap_or_default();
        if slots.is_empty() {
            return;
        }
        self.seats.next_offset = self.seats.next_offset.wrapping_add(1);
        let first = self.seats.next_offset % slots.len();
        slots.rotate_left(first);
        let mut needed = self.queue(service).count() as u64;
        for slot in &slots {
            let free = self.servers.free_seats(*slot, now_ms).unwrap_or(0);
            needed = needed.saturating_sub(free + self.servers.seats().expected(*slot, now_ms));
        }
        for slot in slots {
            let Some(server) = self.servers.get(slot) else { continue };
            let more = needed.min(server.slots());
            let seats = self.servers.seats();
            let is_due = seats.get(slot).is_some_and(|brittle| brittle.is_trial_due(now_ms));
            let trial = u64::from(is_due && server.in_flight == 0);
            if self.request_seats_at(slot, more.max(trial), now_ms) {
                needed -= more;
            }
        }
    }

    /// Sends the request for seats that is due at a server; returns whether one was.
    fn request_seats_at(&mut self, slot: ids::ServerSlot, more: u64, now_ms: u64) -> bool {
        let Some(server) = self.servers.get(slot) else { return false };
        let (in_flight, share) = (server.in_flight, self.servers.seat_share(slot));
        let (vm, incarnation) = (server.vm.vm.clone(), server.vm.incarnation);
        let Some(dealer) = self.pacing_router(slot) else { return false };
        let seats = self.servers.seats_mut();
        let Some(requested) = seats.request(slot, in_flight, more, share, now_ms) else {
            return false;
        };
        if dealer == self.settings.incarnation {
            self.deal_seats(slot, dealer, requested, now_ms);
            return true;
        }
        let Some(brittle) = self.servers.seats().get(slot) else { return false };
        let (rejections_per_s, age_ms) = (brittle.rejections_per_s, brittle.age_ms(now_ms));
        let rejections_per_s = Some(rejections_per_s);
        let brittle = servers::BrittleUpdate { vm, incarnation, rejections_per_s, age_ms };
        self.counters.seat_requests += 1;
        self.send(dealer, message::Message::SeatRequest { brittle, requested });
        true
    }

    /// Deals seats of a server to the router that requests them, and what it returns to others.
    fn deal_seats(
        &mut self,
        slot: ids::ServerSlot,
        from: ids::Incarnation,
        requested: servers::SeatsRequested,
        now_ms: u64,
    ) {
        let own = self.settings.incarnation;
        let routers: Vec<ids::Incarnation> = self.responding_routers().collect();
        let pool = servers::Pool {
            seats: self.servers.seats_of(slot, self.seats.routers),
            share: self.servers.seat_share(slot),
            routers: &routers,
            is_settled: now_ms >= self.started_ms + super::watching::MEMBERSHIP_SETTLE_MS
                && self.pacing_router(slot) == Some(own),
        };
        let replies = self.servers.seats_mut().deal(slot, from, requested, pool, now_ms);
        let Some(server) = self.servers.get(slot) else { return };
        let (vm, incarnation) = (server.vm.vm.clone(), server.vm.incarnation);
        for (to, number, dealt) in replies {
            if to == own {
                self.servers.seats_mut().handle_reply(slot, number, dealt, now_ms);
                continue;
            }
            let vm = vm.clone();
            self.send(to, message::Message::SeatReply { number, vm, incarnation, dealt });
        }
    }

    /// Handles a peer's request for seats.
    pub(super) fn handle_seat_request(
        &mut self,
        from: ids::Incarnation,
        brittle: servers::BrittleUpdate,
        requested: servers::SeatsRequested,
        now_ms: u64,
    ) {
        self.merge_brittle(from, std::slice::from_ref(&brittle), now_ms);
        let servers::BrittleUpdate { vm, incarnation, .. } = brittle;
        let Some(slot) = self.servers.find_incarnation(&vm, incarnation) else { return };
        let service = self.servers.get(slot).map(|server| server.vm.service.clone());
        self.deal_seats(slot, from, requested, now_ms);
        // This router may have got a seat that was returned.
        self.drain_queue(&service.unwrap_or_default(), now_ms);
    }

    /// Handles the reply to a request for seats.
    pub(super) fn handle_seat_reply(
        &mut self,
        number: u64,
        vm: &str,
        incarnation: ids::ServerIncarnation,
        dealt: servers::SeatsDealt,
        now_ms: u64,
    ) {
        let Some(slot) = self.servers.find_incarnation(vm, incarnation) else { return };
        let Some(server) = self.servers.get(slot) else { return };
        let service = server.vm.service.clone();
        self.servers.seats_mut().handle_reply(slot, number, dealt, now_ms);
        self.drain_queue(&service, now_ms);
        self.request_seats(&service, now_ms);
    }
}
