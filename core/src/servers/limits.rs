//! Servers in need: what they say of how many requests a second they take from all routers together.
//!
//! Answers overtake each other, at one router and between routers. What is known of a server rests on one answer, the one
//! whose request was sent last; the end of a limit only on an answer whose request was sent after the limit was heard.

use super::permits;
use crate::{ids, rotation};
use serde::{Deserialize, Serialize};
use std::collections;

/// A limit that no answer confirms any more runs out after this time: long enough for a trial where few requests come.
const KEPT_MS: u64 = 120_000;
/// A limit that ended is remembered for so long, so that late news of it do not begin it again.
const ENDED_KEPT_MS: u64 = 10_000;
/// What a peer heard longer ago says nothing: here the end of it may be forgotten already.
const NEWS_OLDEST_MS: u64 = ENDED_KEPT_MS;
/// Changes of a limit by less than one part in so many are no news.
const NOTABLE_PART: u64 = 10;

/// The answer by which something is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerId {
    /// The router that got it.
    pub router: ids::Incarnation,
    /// The router's count of such answers.
    pub number: u64,
}

/// What is known of a server's limit, and by which answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReport {
    /// Requests a second in thousandths; `None` if the answer named no limit.
    pub limit_milli_per_s: Option<u64>,
    /// The answer.
    pub answer: AnswerId,
    /// When the request was sent that it answers.
    pub sent_ms: u64,
    /// When it came.
    pub heard_ms: u64,
}

impl LimitReport {
    /// Whether this one is the later word of the server.
    fn supersedes(&self, known: &Self) -> bool {
        match (self.limit_milli_per_s, known.limit_milli_per_s) {
            (None, Some(_)) => self.sent_ms > known.heard_ms,
            (new, old) => {
                let lower = new.unwrap_or(u64::MAX) < old.unwrap_or(u64::MAX);
                self.sent_ms > known.sent_ms || (self.sent_ms == known.sent_ms && lower)
            }
        }
    }
}

/// The same as routers tell it to each other: they share no clock, so times are ages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNews {
    /// The server's VM.
    pub vm: String,
    /// The server's life.
    pub life: ids::ServerLife,
    /// Requests a second in thousandths; `None` if it names no limit any more.
    pub limit_milli_per_s: Option<u64>,
    /// The answer that said so.
    pub answer: AnswerId,
    /// How long ago the request was sent that it answers, in milliseconds.
    pub sent_age_ms: u64,
    /// How long ago it came, in milliseconds.
    pub heard_age_ms: u64,
}

impl LimitNews {
    /// Increases both ages by the time the message was queued, in milliseconds.
    pub fn add_age_ms(&mut self, queued_ms: u64) {
        self.sent_age_ms = self.sent_age_ms.saturating_add(queued_ms);
        self.heard_age_ms = self.heard_age_ms.saturating_add(queued_ms);
    }

    /// What a peer's news mean here; `None` for what is too old to say anything.
    pub fn report(&self, now_ms: u64) -> Option<LimitReport> {
        (self.heard_age_ms < NEWS_OLDEST_MS).then(|| LimitReport {
            limit_milli_per_s: self.limit_milli_per_s,
            answer: self.answer,
            sent_ms: now_ms.saturating_sub(self.sent_age_ms.max(self.heard_age_ms)),
            heard_ms: now_ms.saturating_sub(self.heard_age_ms),
        })
    }
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// Nothing worth telling.
    Nothing,
    /// The server is limited to so many thousandths of a request a second from now on.
    Limited(u64),
    /// It is limited no more.
    Ended,
}

/// One server's limit.
#[derive(Clone, Debug)]
pub struct Known {
    /// What is known.
    pub report: LimitReport,
    /// Since when it is limited without a break.
    pub since_ms: u64,
    /// The last value that was told.
    told_milli_per_s: Option<u64>,
    news_left: u32,
    /// What this router may send.
    pub share: permits::Share,
    /// What this router hands out, if that is its work.
    pub pacer: permits::Pacer,
}

/// The limits of all servers.
#[derive(Debug, Default)]
pub struct Limits {
    known: collections::BTreeMap<ids::ServerSlot, Known>,
    rotation: rotation::Rotation<ids::ServerSlot>,
}

impl Limits {
    /// Whether nothing is known of any server's limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// What is known of a server, which may be that its limit ended.
    pub fn report(&self, slot: ids::ServerSlot) -> Option<LimitReport> {
        self.known.get(&slot).map(|known| known.report)
    }

    /// What is known of a server that is limited.
    pub fn limited(&self, slot: ids::ServerSlot) -> Option<&Known> {
        self.known.get(&slot).filter(|known| known.report.limit_milli_per_s.is_some())
    }

    /// The same, to be changed.
    pub fn limited_mut(&mut self, slot: ids::ServerSlot) -> Option<&mut Known> {
        self.known.get_mut(&slot).filter(|known| known.report.limit_milli_per_s.is_some())
    }

    /// All servers that are limited.
    pub fn iter_limited(&self) -> impl Iterator<Item = (ids::ServerSlot, &Known)> {
        let known = self.known.iter().map(|(slot, known)| (*slot, known));
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

    /// Takes a report in, in any order and any number of times.
    pub fn hear(&mut self, slot: ids::ServerSlot, report: LimitReport, now_ms: u64) -> LimitChange {
        let Some(known) = self.known.get_mut(&slot) else {
            return self.begin(slot, report, now_ms);
        };
        if known.report.answer == report.answer {
            // Each router on the way makes an answer seem younger.
            known.report.sent_ms = known.report.sent_ms.min(report.sent_ms);
            known.report.heard_ms = known.report.heard_ms.min(report.heard_ms);
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
                known.share.forget_refusal();
            }
            _ => {}
        }
        known.tell()
    }

    fn begin(&mut self, slot: ids::ServerSlot, report: LimitReport, now_ms: u64) -> LimitChange {
        let Some(limit_milli_per_s) = report.limit_milli_per_s else { return LimitChange::Nothing };
        let mut known = Known {
            report,
            since_ms: now_ms,
            told_milli_per_s: None,
            news_left: 0,
            share: permits::Share::default(),
            pacer: permits::Pacer::new(limit_milli_per_s, now_ms),
        };
        let change = known.tell();
        self.known.insert(slot, known);
        change
    }

    /// Ends limits that nothing confirms, and forgets those that ended long ago; returns the former.
    pub fn expire(&mut self, now_ms: u64) -> Vec<ids::ServerSlot> {
        let mut lapsed = Vec::new();
        self.known.retain(|slot, known| {
            let age_ms = now_ms.saturating_sub(known.report.heard_ms);
            let limited = known.report.limit_milli_per_s.is_some();
            if limited && age_ms >= KEPT_MS {
                lapsed.push(*slot);
            }
            age_ms < if limited { KEPT_MS } else { ENDED_KEPT_MS }
        });
        lapsed
    }

    /// Forgets a server whose life is over.
    pub fn forget(&mut self, slot: ids::ServerSlot) {
        self.known.remove(&slot);
    }

    /// Forgets servers that are gone.
    pub fn retain(&mut self, stays: impl Fn(ids::ServerSlot) -> bool) {
        self.known.retain(|slot, _| stays(*slot));
    }

    /// Whether something is to be told at once.
    pub fn has_news(&self) -> bool {
        rotation::has_news(&self.known)
    }

    /// What the next datagram tells.
    pub fn take_news(
        &mut self,
        name_bytes: impl Fn(ids::ServerSlot) -> usize,
    ) -> Vec<(ids::ServerSlot, LimitReport)> {
        let slots = self.rotation.take(&mut self.known, |slot| name_bytes(*slot));
        slots.into_iter().filter_map(|slot| Some((slot, self.known.get(&slot)?.report))).collect()
    }
}

impl rotation::Told for Known {
    fn news_left(&self) -> u32 {
        self.news_left
    }

    fn news_left_mut(&mut self) -> &mut u32 {
        &mut self.news_left
    }
}

impl Known {
    /// Makes news of what is known, if it differs enough from what was told.
    fn tell(&mut self) -> LimitChange {
        let (told, now) = (self.told_milli_per_s, self.report.limit_milli_per_s);
        let notable = match (told, now) {
            (Some(told), Some(now)) => told.abs_diff(now) > told / NOTABLE_PART,
            (told, now) => told.is_some() != now.is_some(),
        };
        if !notable {
            return LimitChange::Nothing;
        }
        self.told_milli_per_s = now;
        self.news_left = rotation::REPEATS;
        now.map_or(LimitChange::Ended, LimitChange::Limited)
    }
}
