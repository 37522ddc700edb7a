//! Seats at brittle servers, which fall over if they have to reject too many requests: how many requests each router may
//! have in flight there.
//!
//! One router deals the seats of a server. Routers request seats for the requests that wait and return those that they
//! do not use. A router stops using seats that it cannot renew before the dealer deals them again. A router without an
//! answer of the dealer uses an equal part of the seats, which the dealer keeps free for it.

use super::{Server, Table};
use crate::{gossip_rotation, ids};
use serde::{Deserialize, Serialize};
use std::collections;

/// How long a router uses seats after the request by which it got or renewed them.
const LEASE_MS: u64 = 1_000;
/// How long the dealer keeps the seats of a router that does not renew them. Longer than [`LEASE_MS`], as the requests
/// of that router may still run.
const DEALT_MS: u64 = 3_000;
/// Interval at which a router renews its seats.
const RENEWAL_INTERVAL_MS: u64 = 300;
/// Time after which a request for seats that was not answered is repeated.
const REQUEST_TIMEOUT_MS: u64 = 100;
/// How long a router keeps seats that it does not use.
const IDLE_MS: u64 = 100;
/// How long a router uses seats before it returns them while fewer seats than routers are there.
const TURN_MS: u64 = 1_000;
/// How long a router sends nothing to a brittle server that rejected a request, and the dealer deals no more seats.
const REJECTED_PAUSE_MS: u64 = 300;
/// Interval at which the dealer deals one seat more again after rejections.
const RAISE_INTERVAL_MS: u64 = 500;
/// Share of the seats in use that is dealt after a rejection, in percent.
const REJECTED_PERCENT: u64 = 75;
/// Time after which a server that no answer calls brittle is no longer taken for it.
const STATEMENT_TTL_MS: u64 = 30_000;
/// Time for which the end of a statement is remembered, so that delayed updates do not start it again.
const ENDED_TTL_MS: u64 = 10_000;
/// Maximum age of updates from other routers.
const UPDATE_AGE_MAX_MS: u64 = ENDED_TTL_MS;
/// Time between two requests of a router whose requests wait for seats that others use, for each such router. The
/// dealer deals free seats without another request.
const RETRY_PER_ROUTER_MS: u64 = 5;
const RETRY_MIN_MS: u64 = 50;
const RETRY_MAX_MS: u64 = 300;
/// Age of a server's statement from which a router keeps a seat for its next request: while other servers have room, no
/// request would wait for one, and the end of the statement would not be noticed.
const TRIAL_AGE_MS: u64 = 2_000;
/// The most seats that a router can have; more in a message count as so many.
const SEATS_MAX: u64 = 1 << 20;

/// The statement of a backend server that it is brittle, or its end, as routers send it to one another. Routers share no
/// clock, so the time is sent as an age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleUpdate {
    /// VM of the server.
    pub vm: String,
    /// Incarnation of the server.
    pub incarnation: ids::ServerIncarnation,
    /// The number of requests that the server may reject per second without falling over; `None` if it is not brittle any
    /// more.
    pub rejections_per_s: Option<u64>,
    /// Time in milliseconds since an answer last said so, or since the request was sent whose answer said so no more.
    pub age_ms: u64,
}

impl BrittleUpdate {
    /// Increases the age by the time for which the message was queued, in milliseconds.
    pub fn add_age_ms(&mut self, queued_ms: u64) {
        self.age_ms = self.age_ms.saturating_add(queued_ms);
    }
}

/// A router's request for seats at a brittle server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatsRequested {
    /// The requester's number for the request; later ones are higher.
    pub number: u64,
    /// The number of the last request whose reply the requester has applied; 0 for none.
    pub replied: u64,
    /// The seats that the requester has or uses.
    pub held: u64,
    /// The seats that it wants in all.
    pub wanted: u64,
    /// The requests that the server rejected since the last request.
    pub rejections: u64,
}

/// The seats that a router has at a brittle server from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatsDealt {
    /// The number of seats.
    pub seats: u64,
    /// Whether there are fewer seats than routers that want some, so that the routers use them in turn.
    pub in_turn: bool,
    /// When to request more, in milliseconds.
    pub retry_ms: u64,
}

/// The seats of this router at one server.
#[derive(Debug, Default)]
struct Lease {
    seats: u64,
    until_ms: u64,
    /// When the seats are to be returned because other routers wait for their turn.
    turn_ends_ms: Option<u64>,
    /// The number of the last request whose reply was applied.
    replied: u64,
    /// The last request for seats and when it was sent; `None` before the first.
    asked: Option<(SeatsRequested, u64)>,
    /// When more seats may be requested.
    not_before_ms: u64,
    retry_ms: u64,
    /// When a request was last sent to the server.
    used_ms: u64,
    rejections: u64,
    rejected_ms: Option<u64>,
}

impl Lease {
    /// The requests that this router may have in flight; `share` without seats from the dealer.
    fn seats(&self, share: u64, now_ms: u64) -> u64 {
        if now_ms < self.until_ms { self.seats } else { share }
    }

    fn is_paused(&self, now_ms: u64) -> bool {
        self.rejected_ms.is_some_and(|at_ms| now_ms < at_ms + REJECTED_PAUSE_MS)
    }

    /// The requests that may be sent now.
    fn free(&self, in_flight: u64, share: u64, now_ms: u64) -> u64 {
        if self.is_paused(now_ms) || self.has_turn_ended(now_ms) {
            return 0;
        }
        self.seats(share, now_ms).saturating_sub(in_flight)
    }

    fn has_turn_ended(&self, now_ms: u64) -> bool {
        self.turn_ends_ms.is_some_and(|ends_ms| now_ms >= ends_ms)
    }

    /// Seats that were requested and may still be dealt.
    fn expected(&self, now_ms: u64) -> u64 {
        let pending = self.asked.filter(|(asked, sent_ms)| {
            self.replied < asked.number && now_ms < sent_ms + REQUEST_TIMEOUT_MS
        });
        pending.map_or(0, |(asked, _)| asked.wanted.saturating_sub(asked.held))
    }
}

/// The seats that the dealer has dealt to one router.
#[derive(Clone, Copy, Debug)]
struct Dealt {
    /// The number of the request that was answered last.
    number: u64,
    /// The seats that the router may use, before it has confirmed a lower number.
    seats: u64,
    wanted: u64,
    /// Since when the router waits for more seats, if it does.
    waits_since_ms: Option<u64>,
    until_ms: u64,
}

/// The state of the router that deals the seats of a server.
#[derive(Debug, Default)]
struct Dealer {
    /// When this router was first asked. An earlier dealer may have dealt seats that are still in use.
    since_ms: Option<u64>,
    dealt: collections::BTreeMap<ids::Incarnation, Dealt>,
    /// The seats that are dealt at most after rejections.
    seats_max: Option<u64>,
    /// When that number was last changed.
    changed_ms: u64,
    /// When a rejection last lowered it.
    lowered_ms: Option<u64>,
}

impl Dealer {
    fn deal(
        &mut self,
        from: ids::Incarnation,
        requested: SeatsRequested,
        pool: Pool<'_>,
        now_ms: u64,
    ) -> Vec<(ids::Incarnation, u64, SeatsDealt)> {
        let requested = SeatsRequested {
            held: requested.held.min(SEATS_MAX),
            wanted: requested.wanted.min(SEATS_MAX),
            ..requested
        };
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        self.dealt.retain(|_, dealt| now_ms < dealt.until_ms);
        let counted = match self.dealt.get(&from) {
            Some(known) if requested.number <= known.number => return Vec::new(),
            Some(known) if requested.replied < known.number => known.seats.max(requested.held),
            _ => requested.held,
        };
        let others = self.dealt.iter().filter(|(router, _)| **router != from);
        let others_seats: u64 = others.clone().map(|(_, dealt)| dealt.seats).sum();
        let demands: Vec<u64> =
            others.map(|(_, dealt)| dealt.wanted).chain([requested.wanted]).collect();
        let silent = pool.routers.iter();
        let silent = silent.filter(|router| **router != from && !self.dealt.contains_key(router));
        let kept = silent.count() as u64 * pool.share;
        if requested.rejections > 0 && !self.is_paused(now_ms) {
            let used = others_seats + counted;
            let lowered = used.min(pool.seats) * REJECTED_PERCENT / 100;
            self.seats_max = Some(lowered.max(1));
            (self.changed_ms, self.lowered_ms) = (now_ms, Some(now_ms));
        }
        self.raise(pool.seats, now_ms);
        let seats = self.seats_max.map_or(pool.seats, |max| max.min(pool.seats));
        let dealable = seats.saturating_sub(kept);
        let in_turn = demands.iter().filter(|demand| **demand > 0).count() as u64 > dealable;
        let fair = fair_part(demands, dealable).max(1);
        let is_settled = pool.is_settled && now_ms >= since_ms + DEALT_MS;
        let may_raise = is_settled && !self.is_paused(now_ms);
        let most = match may_raise {
            true => fair.min(dealable.saturating_sub(others_seats)),
            false => fair.min(counted),
        };
        let seats = requested.wanted.min(most);
        let waits_since_ms = self.dealt.get(&from).and_then(|known| known.waits_since_ms);
        let dealt = Dealt {
            number: requested.number,
            seats: seats.max(counted),
            wanted: requested.wanted,
            waits_since_ms: (seats < requested.wanted).then(|| waits_since_ms.unwrap_or(now_ms)),
            until_ms: now_ms + DEALT_MS,
        };
        self.dealt.insert(from, dealt);
        let waiting = self.dealt.values().filter(|dealt| dealt.waits_since_ms.is_some()).count();
        let retry_ms = (waiting as u64 * RETRY_PER_ROUTER_MS).clamp(RETRY_MIN_MS, RETRY_MAX_MS);
        let reply = |seats| SeatsDealt { seats, in_turn, retry_ms };
        let mut replies = vec![(from, requested.number, reply(seats))];
        if may_raise {
            let raised = self.raise_waiting(dealable, fair, from, now_ms);
            replies
                .extend(raised.into_iter().map(|(to, number, seats)| (to, number, reply(seats))));
        }
        replies
    }

    fn is_paused(&self, now_ms: u64) -> bool {
        self.lowered_ms.is_some_and(|at_ms| now_ms < at_ms + REJECTED_PAUSE_MS)
    }

    /// Deals the seats that are left to the other routers that wait, first to those that wait for the longest time.
    /// Returns the routers, the numbers of their last requests and the seats that they have now.
    fn raise_waiting(
        &mut self,
        dealable: u64,
        fair: u64,
        except: ids::Incarnation,
        now_ms: u64,
    ) -> Vec<(ids::Incarnation, u64, u64)> {
        let mut left = dealable.saturating_sub(self.dealt.values().map(|dealt| dealt.seats).sum());
        let is_recent =
            |dealt: &Dealt| now_ms + RENEWAL_INTERVAL_MS < dealt.until_ms - DEALT_MS + LEASE_MS;
        let waiting = self.dealt.iter_mut().filter(|(router, dealt)| {
            **router != except && dealt.waits_since_ms.is_some() && is_recent(dealt)
        });
        let mut waiting: Vec<(ids::Incarnation, &mut Dealt)> =
            waiting.map(|(router, dealt)| (*router, dealt)).collect();
        waiting.sort_by_key(|(_, dealt)| dealt.waits_since_ms);
        let mut raised = Vec::new();
        for (router, dealt) in waiting {
            let more = dealt.wanted.min(fair).saturating_sub(dealt.seats).min(left);
            if more > 0 {
                left -= more;
                dealt.seats += more;
                if dealt.seats >= dealt.wanted {
                    dealt.waits_since_ms = None;
                }
                raised.push((router, dealt.number, dealt.seats));
            }
        }
        raised
    }

    /// Deals more seats again while nothing is rejected.
    fn raise(&mut self, seats: u64, now_ms: u64) {
        let Some(max) = self.seats_max else { return };
        let steps = now_ms.saturating_sub(self.changed_ms) / RAISE_INTERVAL_MS;
        if steps > 0 {
            self.seats_max = Some(max + steps).filter(|max| *max < seats);
            self.changed_ms += steps * RAISE_INTERVAL_MS;
        }
    }
}

/// The part of `seats` that nobody may exceed if all `demands` are to be met as evenly as possible, rounded up.
fn fair_part(mut demands: Vec<u64>, seats: u64) -> u64 {
    demands.sort_unstable();
    let (mut left, mut part) = (seats, seats);
    let count = demands.len();
    for (index, demand) in demands.into_iter().enumerate() {
        part = left.div_ceil((count - index) as u64);
        if demand > part {
            return part;
        }
        left -= demand;
    }
    part + left
}

/// What a dealer has to deal.
#[derive(Clone, Copy, Debug)]
pub struct Pool<'a> {
    /// The seats of the server that this router's part of the fleet may use.
    pub seats: u64,
    /// The seats that a router uses without an answer of the dealer.
    pub share: u64,
    /// The routers that respond to this one, and this one.
    pub routers: &'a [ids::Incarnation],
    /// Whether the membership has had time to converge.
    pub is_settled: bool,
}

/// A server that is brittle, with the seats of this router and, if this router deals them, of the others.
#[derive(Debug, Default)]
pub struct Brittle {
    /// The number of requests that the server may reject per second without falling over.
    pub rejections_per_s: u64,
    /// When an answer to any router last said so.
    stated_ms: u64,
    lease: Lease,
    dealer: Dealer,
    sends_left: u32,
}

impl Brittle {
    /// The time since an answer last said that the server is brittle, in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.stated_ms)
    }

    /// Whether the next request is to find out whether the server is still brittle. Where routers take turns, seats are
    /// for requests that wait.
    pub fn is_trial_due(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms) >= TRIAL_AGE_MS && self.lease.turn_ends_ms.is_none()
    }

    /// The seats of this router that were dealt to it; `None` if it uses an equal part of all.
    pub fn leased(&self, now_ms: u64) -> Option<u64> {
        (now_ms < self.lease.until_ms).then_some(self.lease.seats)
    }
}

impl gossip_rotation::Gossiped for Brittle {
    fn sends_left(&self) -> u32 {
        self.sends_left
    }

    fn sends_left_mut(&mut self) -> &mut u32 {
        &mut self.sends_left
    }
}

/// The end of a server's statement.
#[derive(Debug)]
struct Ended {
    /// When it was noticed.
    at_ms: u64,
    /// When the request was sent whose answer did not have the statement.
    sent_ms: u64,
    sends_left: u32,
}

impl gossip_rotation::Gossiped for Ended {
    fn sends_left(&self) -> u32 {
        self.sends_left
    }

    fn sends_left_mut(&mut self) -> &mut u32 {
        &mut self.sends_left
    }
}

/// The brittle servers, and those that were lately.
#[derive(Debug, Default)]
pub struct Seats {
    by_slot: collections::BTreeMap<ids::ServerSlot, Brittle>,
    ended: collections::BTreeMap<ids::ServerSlot, Ended>,
    rotation: gossip_rotation::Rotation<ids::ServerSlot>,
    ended_rotation: gossip_rotation::Rotation<ids::ServerSlot>,
    /// The number of the last request for seats.
    last_number: u64,
}

impl Seats {
    /// Whether no server is brittle.
    pub fn is_empty(&self) -> bool {
        self.by_slot.is_empty()
    }

    /// A brittle server.
    pub fn get(&self, slot: ids::ServerSlot) -> Option<&Brittle> {
        self.by_slot.get(&slot)
    }

    /// All brittle servers.
    pub fn iter(&self) -> impl Iterator<Item = (ids::ServerSlot, &Brittle)> {
        self.by_slot.iter().map(|(slot, brittle)| (*slot, brittle))
    }

    /// Whether an update is queued that was not sent yet.
    pub fn has_unsent(&self) -> bool {
        gossip_rotation::has_unsent(&self.by_slot) || gossip_rotation::has_unsent(&self.ended)
    }

    /// Records that a server is brittle, as an answer of it said at `stated_ms`. Returns whether that changes anything.
    pub fn record_statement(
        &mut self,
        slot: ids::ServerSlot,
        rejections_per_s: u64,
        stated_ms: u64,
    ) -> bool {
        if self.ended.get(&slot).is_some_and(|ended| stated_ms <= ended.at_ms) {
            return false;
        }
        let is_new = !self.by_slot.contains_key(&slot);
        let brittle = self.by_slot.entry(slot).or_default();
        let is_later = stated_ms > brittle.stated_ms;
        let changed = is_new || (is_later && brittle.rejections_per_s != rejections_per_s);
        if is_new || is_later {
            (brittle.rejections_per_s, brittle.stated_ms) = (rejections_per_s, stated_ms);
        }
        if changed {
            brittle.sends_left = gossip_rotation::TRANSMISSIONS;
        }
        changed
    }

    /// Handles an answer, to this or another router, that does not call its server brittle, to a request that was sent
    /// at `sent_ms`. Returns whether the server was brittle until now.
    pub fn record_end(&mut self, slot: ids::ServerSlot, sent_ms: u64, now_ms: u64) -> bool {
        let ends = self.by_slot.get(&slot).is_some_and(|brittle| sent_ms > brittle.stated_ms);
        if ends {
            self.by_slot.remove(&slot);
            let sends_left = gossip_rotation::TRANSMISSIONS;
            self.ended.insert(slot, Ended { at_ms: now_ms, sent_ms, sends_left });
        }
        ends
    }

    /// Removes and returns the servers that no answer has called brittle for long.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ids::ServerSlot> {
        self.ended.retain(|_, ended| now_ms < ended.at_ms + ENDED_TTL_MS);
        let is_expired = |brittle: &Brittle| now_ms >= brittle.stated_ms + STATEMENT_TTL_MS;
        let expired = self.by_slot.extract_if(.., |_, brittle| is_expired(brittle));
        expired.map(|(slot, _)| slot).collect()
    }

    /// Removes the servers that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(ids::ServerSlot) -> bool) {
        self.by_slot.retain(|slot, _| is_listed(*slot));
        self.ended.retain(|slot, _| is_listed(*slot));
    }

    /// The latest statement of any of these servers, with its time.
    pub fn latest_statement(&self, slots: &[ids::ServerSlot]) -> Option<(u64, u64)> {
        if self.by_slot.is_empty() {
            return None;
        }
        let brittle = slots.iter().filter_map(|slot| self.by_slot.get(slot));
        let latest = brittle.max_by_key(|brittle| brittle.stated_ms);
        latest.map(|brittle| (brittle.rejections_per_s, brittle.stated_ms))
    }

    /// Forgets a server.
    pub fn remove(&mut self, slot: ids::ServerSlot) {
        self.by_slot.remove(&slot);
        self.ended.remove(&slot);
    }

    /// Takes the statements and their ends for the next datagram, each with the number of rejections, `None` for an end,
    /// and the time.
    pub fn take_updates(
        &mut self,
        name_bytes: impl Fn(ids::ServerSlot) -> usize,
    ) -> Vec<(ids::ServerSlot, Option<u64>, u64)> {
        let slots = self.rotation.take(&mut self.by_slot, |slot| name_bytes(*slot));
        let stated = slots.into_iter().filter_map(|slot| {
            let brittle = self.by_slot.get(&slot)?;
            Some((slot, Some(brittle.rejections_per_s), brittle.stated_ms))
        });
        let slots = self.ended_rotation.take(&mut self.ended, |slot| name_bytes(*slot));
        let ended =
            slots.into_iter().filter_map(|slot| Some((slot, None, self.ended.get(&slot)?.sent_ms)));
        stated.chain(ended).collect()
    }

    /// How many requests this router may send to a brittle server now, with `in_flight` there and an equal part of
    /// `share` seats; `None` if the server is not brittle.
    pub fn free(
        &self,
        slot: ids::ServerSlot,
        in_flight: u64,
        share: u64,
        now_ms: u64,
    ) -> Option<u64> {
        self.by_slot.get(&slot).map(|brittle| brittle.lease.free(in_flight, share, now_ms))
    }

    /// The seats that this router has requested and may still get.
    pub fn expected(&self, slot: ids::ServerSlot, now_ms: u64) -> u64 {
        self.by_slot.get(&slot).map_or(0, |brittle| brittle.lease.expected(now_ms))
    }

    /// Counts a request that is sent to a server.
    pub fn count_sent(&mut self, slot: ids::ServerSlot, now_ms: u64) {
        let Some(brittle) = self.by_slot.get_mut(&slot) else { return };
        brittle.lease.used_ms = now_ms;
    }

    /// Records that a server rejected a request for want of room.
    pub fn record_rejection(&mut self, slot: ids::ServerSlot, now_ms: u64) {
        let Some(brittle) = self.by_slot.get_mut(&slot) else { return };
        brittle.lease.rejections += 1;
        brittle.lease.rejected_ms = Some(now_ms);
    }

    /// The request for seats that is due at a server where `in_flight` requests run and `more` wait; `None` if none is.
    pub fn request(
        &mut self,
        slot: ids::ServerSlot,
        in_flight: u64,
        more: u64,
        share: u64,
        now_ms: u64,
    ) -> Option<SeatsRequested> {
        let lease = &mut self.by_slot.get_mut(&slot)?.lease;
        let asked_ms = lease.asked.map(|(_, sent_ms)| sent_ms);
        let is_open = lease.asked.is_some_and(|(asked, _)| lease.replied < asked.number);
        if is_open && asked_ms.is_some_and(|sent_ms| now_ms < sent_ms + REQUEST_TIMEOUT_MS) {
            return None;
        }
        let is_leased = now_ms < lease.until_ms;
        let is_idle = now_ms >= lease.used_ms + IDLE_MS;
        let takes_turns = lease.turn_ends_ms.is_some();
        let is_unused = lease.has_turn_ended(now_ms) || (more == 0 && (is_idle || takes_turns));
        let returns = is_leased && lease.seats > in_flight && is_unused;
        let free = lease.free(in_flight, share, now_ms);
        let needs_more = !returns && more > free && now_ms >= lease.not_before_ms;
        let seats = lease.seats(share, now_ms);
        let wanted_more = lease.asked.is_some_and(|(asked, _)| asked.wanted > in_flight);
        let renews = asked_ms.is_none_or(|sent_ms| now_ms >= sent_ms + RENEWAL_INTERVAL_MS)
            && (seats > 0 || in_flight > 0 || share > 0 || wanted_more);
        if !needs_more && !returns && !renews && lease.rejections == 0 {
            return None;
        }
        let wanted = if needs_more {
            in_flight + more
        } else if returns || is_idle {
            in_flight
        } else {
            seats.max(in_flight)
        };
        if is_leased {
            // The dealer counts on it from now on.
            lease.seats = lease.seats.min(wanted);
        }
        if returns {
            lease.not_before_ms = now_ms + lease.retry_ms;
            lease.turn_ends_ms = lease.turn_ends_ms.filter(|_| in_flight > 0);
        }
        self.last_number += 1;
        let requested = SeatsRequested {
            number: self.last_number,
            replied: lease.replied,
            held: lease.seats(share, now_ms).max(in_flight),
            wanted,
            rejections: std::mem::take(&mut lease.rejections),
        };
        lease.asked = Some((requested, now_ms));
        Some(requested)
    }

    /// Applies the dealer's reply to the request `number`.
    pub fn handle_reply(
        &mut self,
        slot: ids::ServerSlot,
        number: u64,
        dealt: SeatsDealt,
        now_ms: u64,
    ) {
        let Some(brittle) = self.by_slot.get_mut(&slot) else { return };
        let lease = &mut brittle.lease;
        let Some((asked, sent_ms)) = lease.asked.filter(|(asked, _)| asked.number == number) else {
            return;
        };
        let dealt = SeatsDealt {
            seats: dealt.seats.min(SEATS_MAX),
            retry_ms: dealt.retry_ms.min(RETRY_MAX_MS),
            ..dealt
        };
        lease.replied = number;
        lease.seats = dealt.seats;
        lease.until_ms = sent_ms + LEASE_MS;
        let turn_ends_ms = lease.turn_ends_ms.unwrap_or(now_ms + TURN_MS);
        lease.turn_ends_ms = (dealt.in_turn && dealt.seats > 0).then_some(turn_ends_ms);
        lease.retry_ms = dealt.retry_ms;
        if dealt.seats < asked.wanted {
            lease.not_before_ms = now_ms + dealt.retry_ms;
        }
    }

    /// Deals seats of a server to a router that requests them, and those that it returns to routers that wait. Returns
    /// the replies, each with the receiver and the number of its last request; none if the request is outdated.
    pub fn deal(
        &mut self,
        slot: ids::ServerSlot,
        from: ids::Incarnation,
        requested: SeatsRequested,
        pool: Pool<'_>,
        now_ms: u64,
    ) -> Vec<(ids::Incarnation, u64, SeatsDealt)> {
        let Some(brittle) = self.by_slot.get_mut(&slot) else { return Vec::new() };
        brittle.dealer.deal(from, requested, pool, now_ms)
    }

    /// The time of another router's update in this router's time; `None` if it is too old.
    pub fn update_ms(update: &BrittleUpdate, now_ms: u64) -> Option<u64> {
        (update.age_ms < UPDATE_AGE_MAX_MS).then(|| now_ms.saturating_sub(update.age_ms))
    }
}

impl Table {
    /// The seats at brittle servers.
    pub fn seats(&self) -> &Seats {
        &self.seats
    }

    /// Mutable seats at brittle servers.
    pub fn seats_mut(&mut self) -> &mut Seats {
        &mut self.seats
    }

    /// Live servers that are brittle and don't back off, by service.
    pub fn brittle_services(
        &self,
        now_ms: u64,
    ) -> collections::BTreeMap<&str, Vec<ids::ServerSlot>> {
        let mut services: collections::BTreeMap<&str, Vec<ids::ServerSlot>> = Default::default();
        for (slot, _) in self.seats.iter() {
            let Some(server) = self.servers.get(slot) else { continue };
            if server.is_live() && !server.backs_off(now_ms) {
                services.entry(&server.vm.service).or_default().push(slot);
            }
        }
        services
    }

    /// The seats of a server that each router may use without an answer of the dealer.
    pub fn seat_share(&self, slot: ids::ServerSlot) -> u64 {
        match self.servers.get(slot).filter(|_| self.fleet.settled) {
            Some(server) => server.slots().min(SEATS_MAX) / self.fleet.routers.max(1),
            None => 0,
        }
    }

    /// The seats of a server that some routers may use together. Those that are cut off from them use the others; only
    /// a majority rounds its part up, so that all parts together are not more than there are.
    pub fn seats_of(&self, slot: ids::ServerSlot, routers: u64) -> u64 {
        let all = self.fleet.routers.max(1);
        let seats =
            self.servers.get(slot).map_or(0, Server::slots).min(SEATS_MAX) * routers.min(all);
        match 2 * routers > all {
            true => seats.div_ceil(all),
            false => seats / all,
        }
    }

    /// How many requests this router may send to a brittle server now; `None` if the server is not brittle.
    pub fn free_seats(&self, slot: ids::ServerSlot, now_ms: u64) -> Option<u64> {
        self.seats.get(slot)?;
        let in_flight = self.servers.get(slot)?.in_flight;
        self.seats.free(slot, in_flight, self.seat_share(slot), now_ms)
    }

    /// Takes the statements of brittle servers and their ends for the next datagram.
    pub fn take_brittle_updates(&mut self, now_ms: u64) -> Vec<BrittleUpdate> {
        let Self { seats, servers, .. } = self;
        let updates = seats.take_updates(|slot| servers.get(slot).map_or(0, |s| s.vm.vm.len()));
        let updates = updates.into_iter().filter_map(|(slot, rejections_per_s, at_ms)| {
            let vm = &servers.get(slot)?.vm;
            Some(BrittleUpdate {
                vm: vm.vm.clone(),
                incarnation: vm.incarnation,
                rejections_per_s,
                age_ms: now_ms.saturating_sub(at_ms),
            })
        });
        updates.collect()
    }
}
