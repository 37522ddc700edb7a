//! Limits that overloaded servers report: the rate of requests that a server accepts from all
//! routers together.
//!
//! Answers can overtake each other, at one router and between routers. The recorded state of a
//! server therefore comes from one answer, the one whose request was sent last. A limit ends only
//! with an answer to a request that was sent after the limit was received.

use super::permits;
use crate::{gossip_rotation, ids};
use serde::{Deserialize, Serialize};
use std::collections;

/// Time after which a limit expires that no answer confirms. Long enough for a trial request where
/// there are few requests.
const LIMIT_TTL_MS: u64 = 120_000;
/// Time for which the record of an ended limit is kept, so that delayed updates do not start it again.
const ENDED_LIMIT_TTL_MS: u64 = 10_000;
/// Maximum age of updates from peers: the end of an older limit may already be removed here.
const UPDATE_AGE_MAX_MS: u64 = ENDED_LIMIT_TTL_MS;
/// Changes of a limit by at most one part in this many are not sent to peers.
const NOTABLE_CHANGE_DIVISOR: u64 = 10;

/// Identifies one answer of a backend server to a router. Routers use it to recognize the answer from which a
/// [`LimitReport`] was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerId {
    /// Router that received the answer.
    pub router: ids::Incarnation,
    /// The router's sequence number of such answers.
    pub number: u64,
}

/// The limit in one answer of a backend server: the rate of requests that it accepts from all routers together, or that
/// there is none. The times of the answer determine which of two reports is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReport {
    /// Limit in thousandths of a request per second; `None` if the answer reported no limit.
    pub limit_milli_per_s: Option<u64>,
    /// Answer that reported the limit.
    pub answer: AnswerId,
    /// When the request of the answer was sent.
    pub sent_ms: u64,
    /// When the answer was received.
    pub received_ms: u64,
}

impl LimitReport {
    /// Whether this report replaces the recorded one.
    fn supersedes(&self, recorded: &Self) -> bool {
        match (self.limit_milli_per_s, recorded.limit_milli_per_s) {
            (None, Some(_)) => self.sent_ms > recorded.received_ms,
            (new, old) => {
                let lower = new.unwrap_or(u64::MAX) < old.unwrap_or(u64::MAX);
                self.sent_ms > recorded.sent_ms || (self.sent_ms == recorded.sent_ms && lower)
            }
        }
    }
}

/// The rate of requests that a backend server accepts from all routers together, or that there is no such limit, as the
/// server reported it in an answer to a router ([`LimitReport`]). Routers send it to each other with the name of the
/// server's VM, by gossip or in a request for permits, each of which allows one request to that server. Routers share
/// no clock, so times are sent as ages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// VM of the server.
    pub vm: String,
    /// Incarnation of the server.
    pub incarnation: ids::ServerIncarnation,
    /// Limit in thousandths of a request per second; `None` if the server reports no limit any
    /// more.
    pub limit_milli_per_s: Option<u64>,
    /// Answer that reported the limit.
    pub answer: AnswerId,
    /// Time since the request of the answer was sent, in milliseconds.
    pub sent_age_ms: u64,
    /// Time since the answer was received, in milliseconds.
    pub received_age_ms: u64,
}

impl LimitUpdate {
    /// Increases both ages by the time the message was queued, in milliseconds.
    pub fn add_age_ms(&mut self, queued_ms: u64) {
        self.sent_age_ms = self.sent_age_ms.saturating_add(queued_ms);
        self.received_age_ms = self.received_age_ms.saturating_add(queued_ms);
    }

    /// Converts a peer's update to a report in this router's time; `None` if the update is too old.
    pub fn report(&self, now_ms: u64) -> Option<LimitReport> {
        (self.received_age_ms < UPDATE_AGE_MAX_MS).then(|| LimitReport {
            limit_milli_per_s: self.limit_milli_per_s,
            answer: self.answer,
            sent_ms: now_ms.saturating_sub(self.sent_age_ms.max(self.received_age_ms)),
            received_ms: now_ms.saturating_sub(self.received_age_ms),
        })
    }
}

/// How a new [`LimitReport`] changed the rate of requests that a backend server accepts from all routers together, as
/// far as the change is worth sending to other routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// No change that is worth sending to peers.
    Nothing,
    /// The server is now limited to this many thousandths of a request per second.
    Limited(u64),
    /// The limit of the server has ended.
    Ended,
}

/// What this router has recorded about the limit of one backend server: the rate of requests that the server accepts
/// from all routers together, or that the limit has ended, and the permits by which routers keep to it. Each permit
/// allows one router to send one request to the server.
#[derive(Clone, Debug)]
pub struct KnownLimit {
    /// Report that is currently valid.
    pub report: LimitReport,
    /// Start of the uninterrupted time in which the server is limited.
    pub since_ms: u64,
    /// Limit that was last queued for gossip.
    queued_milli_per_s: Option<u64>,
    sends_left: u32,
    /// Permits that this router holds for the server.
    pub share: permits::Share,
    /// Scheduler of permits, used if this router is the server's pacer.
    pub pacer: permits::Pacer,
}

/// The [`KnownLimit`] of every backend server that reported a limited rate of requests. It determines whether this
/// router may send to a server, and which limits are sent to other routers.
#[derive(Debug, Default)]
pub struct Limits {
    by_slot: collections::BTreeMap<ids::ServerSlot, KnownLimit>,
    rotation: gossip_rotation::Rotation<ids::ServerSlot>,
}

impl Limits {
    /// Whether no limits are recorded, also none that ended.
    pub fn is_empty(&self) -> bool {
        self.by_slot.is_empty()
    }

    /// Current report on a server, which may be that its limit ended.
    pub fn report(&self, slot: ids::ServerSlot) -> Option<LimitReport> {
        self.by_slot.get(&slot).map(|known| known.report)
    }

    /// State of a server that is limited.
    pub fn limited(&self, slot: ids::ServerSlot) -> Option<&KnownLimit> {
        self.by_slot.get(&slot).filter(|known| known.report.limit_milli_per_s.is_some())
    }

    /// Mutable state of a server that is limited.
    pub fn limited_mut(&mut self, slot: ids::ServerSlot) -> Option<&mut KnownLimit> {
        self.by_slot.get_mut(&slot).filter(|known| known.report.limit_milli_per_s.is_some())
    }

    /// Iterates over the servers that are limited.
    pub fn iter_limited(&self) -> impl Iterator<Item = (ids::ServerSlot, &KnownLimit)> {
        let known = self.by_slot.iter().map(|(slot, known)| (*slot, known));
        known.filter(|(_, known)| known.report.limit_milli_per_s.is_some())
    }

    /// Whether this router may send a request to a server now.
    pub fn may_send(&self, slot: ids::ServerSlot, now_ms: u64) -> bool {
        self.limited(slot).is_none_or(|known| known.share.usable(now_ms))
    }

    /// Counts a request that is sent to a server.
    pub fn count(&mut self, slot: ids::ServerSlot, now_ms: u64) {
        if let Some(known) = self.limited_mut(slot) {
            known.share.take(now_ms);
        }
    }

    /// Merges a report. Reports may arrive in any order and repeatedly.
    pub fn merge_report(
        &mut self,
        slot: ids::ServerSlot,
        report: LimitReport,
        now_ms: u64,
    ) -> LimitChange {
        let Some(known) = self.by_slot.get_mut(&slot) else {
            return self.start_limit(slot, report, now_ms);
        };
        if known.report.answer == report.answer {
            // The ages in an update do not include its transmission, so an answer appears later with each router that
            // passes it on. The earliest times are the most accurate.
            known.report.sent_ms = known.report.sent_ms.min(report.sent_ms);
            known.report.received_ms = known.report.received_ms.min(report.received_ms);
            return LimitChange::Nothing;
        }
        if !report.supersedes(&known.report) {
            return LimitChange::Nothing;
        }
        let earlier = std::mem::replace(&mut known.report, report);
        match (earlier.limit_milli_per_s, report.limit_milli_per_s) {
            (None, Some(limit)) => {
                known.since_ms = now_ms;
                known.share = permits::Share::default();
                known.pacer = permits::Pacer::new(limit, now_ms);
            }
            (Some(earlier), Some(limit)) if earlier != limit => {
                known.pacer.change_rate(earlier, limit, now_ms);
                known.share.clear_refusal();
            }
            _ => {}
        }
        known.enqueue_if_changed()
    }

    fn start_limit(
        &mut self,
        slot: ids::ServerSlot,
        report: LimitReport,
        now_ms: u64,
    ) -> LimitChange {
        let Some(limit_milli_per_s) = report.limit_milli_per_s else { return LimitChange::Nothing };
        let mut known = KnownLimit {
            report,
            since_ms: now_ms,
            queued_milli_per_s: None,
            sends_left: 0,
            share: permits::Share::default(),
            pacer: permits::Pacer::new(limit_milli_per_s, now_ms),
        };
        let change = known.enqueue_if_changed();
        self.by_slot.insert(slot, known);
        change
    }

    /// Removes limits that no answer confirmed in time, and the records of those that ended long ago;
    /// returns the servers of the former.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ids::ServerSlot> {
        let mut expired = Vec::new();
        self.by_slot.retain(|slot, known| {
            let age_ms = now_ms.saturating_sub(known.report.received_ms);
            let limited = known.report.limit_milli_per_s.is_some();
            if limited && age_ms >= LIMIT_TTL_MS {
                expired.push(*slot);
            }
            age_ms < if limited { LIMIT_TTL_MS } else { ENDED_LIMIT_TTL_MS }
        });
        expired
    }

    /// Removes the limit of a server whose incarnation has ended.
    pub fn remove(&mut self, slot: ids::ServerSlot) {
        self.by_slot.remove(&slot);
    }

    /// Removes the limits of removed servers.
    pub fn retain(&mut self, stays: impl Fn(ids::ServerSlot) -> bool) {
        self.by_slot.retain(|slot, _| stays(*slot));
    }

    /// Whether an update is queued that was not sent yet.
    pub fn has_unsent(&self) -> bool {
        gossip_rotation::has_unsent(&self.by_slot)
    }

    /// Takes the reports for the next datagram; `name_bytes` is the length of a server's name.
    pub fn take_updates(
        &mut self,
        name_bytes: impl Fn(ids::ServerSlot) -> usize,
    ) -> Vec<(ids::ServerSlot, LimitReport)> {
        let slots = self.rotation.take(&mut self.by_slot, |slot| name_bytes(*slot));
        slots.into_iter().filter_map(|slot| Some((slot, self.by_slot.get(&slot)?.report))).collect()
    }
}

impl gossip_rotation::Gossiped for KnownLimit {
    fn sends_left(&self) -> u32 {
        self.sends_left
    }

    fn sends_left_mut(&mut self) -> &mut u32 {
        &mut self.sends_left
    }
}

impl KnownLimit {
    /// Queues the limit for gossip if it differs enough from the one that was queued last.
    fn enqueue_if_changed(&mut self) -> LimitChange {
        let (queued, now) = (self.queued_milli_per_s, self.report.limit_milli_per_s);
        let notable = match (queued, now) {
            (Some(queued), Some(now)) => queued.abs_diff(now) > queued / NOTABLE_CHANGE_DIVISOR,
            (queued, now) => queued.is_some() != now.is_some(),
        };
        if !notable {
            return LimitChange::Nothing;
        }
        self.queued_milli_per_s = now;
        self.sends_left = gossip_rotation::TRANSMISSIONS;
        now.map_or(LimitChange::Ended, LimitChange::Limited)
    }
}
