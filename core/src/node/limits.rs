//! Servers that are limited: what is known of them travels between routers, and each router sends to them only what the
//! one that paces their requests permits.
//!
//! For each limited server the members agree on that router by rendezvous hashing, with no message. Others ask it for
//! permits when requests wait, and now and then for a trial, so that somebody hears when the limit ends.

use super::{Action, LimitSource, Node, Notice, Reason};
use crate::{ids, message, rendezvous, servers};
use rand::RngExt;
use std::collections;

/// Changes of limits are told no more often than this: a server may change its mind with each answer.
const TELL_EVERY_MS: u64 = 100;
/// Routers other than the one that paces leave trials to it for so long: its news need that to be everywhere.
const TRIAL_BY_OTHERS_MS: u64 = 4_000;
/// After that they do not all ask at once.
const TRIAL_SPREAD_MS: u64 = 2_000;
/// A request that comes within this time after a trial is granted takes it.
const TRIAL_WITHIN_MS: u64 = 1_000;
/// A router that does not pace for a server says so, and is asked again after this time.
const NOT_PACING_MS: u64 = 300;
/// Callers that are refused come back spread over at least this time.
const SPREAD_MIN_MS: u64 = 500;
/// And over this at most.
const SPREAD_MAX_MS: u64 = 10_000;
/// Over which time refusals are counted.
const RATE_WINDOW_MS: u64 = 1_000;
/// A permit has to be there so long before its request stops waiting: a round trip and a tick.
const PERMIT_EARLY_MS: u64 = 60;
/// The shortest time after which a caller is told to come back.
const RETRY_AFTER_MIN_MS: u64 = 50;

/// What sharing out needs beside the servers' table.
#[derive(Debug, Default)]
pub(super) struct Sharing {
    told_ms: u64,
    /// Counts the answers by which this router knows something.
    answers: u64,
    /// Counts questions for permits.
    questions: u64,
    /// Where the next round of questions begins, so that routers do not all wait for the same server.
    turn: usize,
    /// How many requests are refused lately, by service.
    refused: collections::HashMap<String, Rate>,
}

/// How often something happens.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    window_ms: u64,
    count: u64,
    per_s: u64,
}

impl Rate {
    fn count(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.window_ms);
        if elapsed_ms >= RATE_WINDOW_MS {
            self.per_s = self.count * 1_000 / elapsed_ms;
            self.count = 0;
            self.window_ms = now_ms;
        }
        self.count += 1;
    }

    fn per_s(&self) -> u64 {
        self.per_s.max(self.count)
    }
}

impl Node {
    /// Takes in what a server said of its limit on the answer to a request that was sent so long ago.
    pub fn report_limit(
        &mut self,
        vm: &str,
        life: ids::ServerLife,
        said: servers::Directive<u64>,
        took_ms: u64,
        now_ms: u64,
    ) {
        let Some(slot) = self.servers.find_life(vm, life) else { return };
        let limit_milli_per_s = match said {
            servers::Directive::Value(limit) => Some(limit),
            servers::Directive::Absent => None,
            servers::Directive::Unreadable => return,
        };
        if limit_milli_per_s.is_none() && self.servers.limits().limited(slot).is_none() {
            return;
        }
        self.limits.answers += 1;
        let router = self.settings.incarnation;
        let report = servers::LimitReport {
            limit_milli_per_s,
            answer: servers::AnswerId { router, number: self.limits.answers },
            sent_ms: now_ms.saturating_sub(took_ms),
            received_ms: now_ms,
        };
        self.hear_limit(slot, report, LimitSource::Answer, now_ms);
    }

    /// Takes in what a peer knows of limits.
    pub(super) fn hear_limits(&mut self, news: &[servers::LimitUpdate], now_ms: u64) {
        for item in news {
            let slot = self.servers.find_life(&item.vm, item.life);
            if let (Some(slot), Some(report)) = (slot, item.report(now_ms)) {
                let source = LimitSource::Peer(item.answer.router);
                self.hear_limit(slot, report, source, now_ms);
            }
        }
    }

    fn hear_limit(
        &mut self,
        slot: ids::ServerSlot,
        report: servers::LimitReport,
        source: LimitSource,
        now_ms: u64,
    ) {
        match self.servers.limits_mut().merge_report(slot, report, now_ms) {
            servers::LimitChange::Nothing => {}
            servers::LimitChange::Limited(limit) => self.note_limit(slot, Some(limit), source),
            servers::LimitChange::Ended => self.end_limit(slot, source, now_ms),
        }
    }

    /// A server is limited no more: what waited for it may go.
    fn end_limit(&mut self, slot: ids::ServerSlot, source: LimitSource, now_ms: u64) {
        self.note_limit(slot, None, source);
        self.servers.reset_answer_time(slot);
        let service = self.servers.get(slot).map(|server| server.vm.service.clone());
        if let Some(service) = service {
            self.drain_queue(&service, now_ms);
        }
    }

    fn note_limit(
        &mut self,
        slot: ids::ServerSlot,
        limit_milli_per_s: Option<u64>,
        source: LimitSource,
    ) {
        let Some(server) = self.servers.get(slot) else { return };
        let (vm, service) = (server.vm.vm.clone(), server.vm.service.clone());
        let notice = Notice::ServerLimit { vm, service, limit_milli_per_s, source };
        self.actions.push(Action::Notice(notice));
    }

    /// What the next datagram tells of limits.
    pub(super) fn limit_news(&mut self, now_ms: u64) -> Vec<servers::LimitUpdate> {
        if self.servers.limits().is_empty() {
            return Vec::new();
        }
        let news = self.servers.take_limit_updates().into_iter();
        news.filter_map(|(slot, report)| self.news_of(slot, report, now_ms)).collect()
    }

    fn news_of(
        &self,
        slot: ids::ServerSlot,
        report: servers::LimitReport,
        now_ms: u64,
    ) -> Option<servers::LimitUpdate> {
        let server = self.servers.get(slot)?;
        Some(servers::LimitUpdate {
            vm: server.vm.vm.clone(),
            life: server.vm.life,
            limit_milli_per_s: report.limit_milli_per_s,
            answer: report.answer,
            sent_age_ms: now_ms.saturating_sub(report.sent_ms),
            received_age_ms: now_ms.saturating_sub(report.received_ms),
        })
    }

    /// Asks for permits, tells what changed, and ends what nothing confirms.
    pub(super) fn tick_limits(&mut self, now_ms: u64) {
        if self.servers.limits().is_empty() {
            return;
        }
        for slot in self.servers.limits_mut().expire(now_ms) {
            self.end_limit(slot, LimitSource::Lapsed, now_ms);
        }
        let limited = self.servers.limited_services();
        let services: Vec<String> = limited.into_keys().map(str::to_owned).collect();
        for service in services {
            self.ask_for_permits(&service, now_ms);
            self.shed_limited(&service, now_ms);
        }
        let due = now_ms >= self.limits.told_ms + TELL_EVERY_MS;
        if due && self.servers.limits().has_unsent() {
            self.limits.told_ms = now_ms;
            self.push_to_some(now_ms);
        }
    }

    /// Asks for as many permits as requests of a service wait.
    pub(super) fn ask_for_permits(&mut self, service: &str, now_ms: u64) {
        let waiting = self.queue(service).count() as u64;
        if waiting == 0 {
            return;
        }
        let left_ms = self.longest_wait_left_ms(service, now_ms);
        let within_ms = left_ms.saturating_sub(PERMIT_EARLY_MS);
        let slots = self.limited_slots(service, now_ms);
        let share = |slot: &ids::ServerSlot| {
            let known = self.servers.limits().limited(*slot);
            known.map_or(0, |known| known.share.expected(now_ms))
        };
        let mut expected: u64 = slots.iter().map(share).sum();
        self.limits.turn = self.limits.turn.wrapping_add(1);
        let first = self.limits.turn % slots.len().max(1);
        for slot in slots[first..].iter().chain(&slots[..first]) {
            if expected >= waiting {
                return;
            }
            let permits = waiting - expected;
            let wanted = servers::PermitsRequested { permits, within_ms, trial: false };
            expected += self.ask_for(*slot, wanted, now_ms);
        }
    }

    /// A request of a service is about to be placed: asks for a trial of each limited server that was not heard for long.
    /// Where this router paces, the request itself is the trial.
    pub(super) fn ask_for_trials(&mut self, service: &str, now_ms: u64) {
        for slot in self.limited_slots(service, now_ms) {
            let Some(known) = self.servers.limits().limited(slot) else { continue };
            let every_ms =
                servers::trial_interval_ms(known.report.limit_milli_per_s.unwrap_or_default());
            let silent_ms = now_ms.saturating_sub(known.report.received_ms);
            if silent_ms < every_ms || !known.share.may_request(now_ms) {
                continue;
            }
            let Some(server) = self.servers.get(slot) else { continue };
            let own = self.settings.incarnation;
            let spread_ms = rendezvous::weight(own.0, server.name_hash()) % TRIAL_SPREAD_MS;
            let others_ms = every_ms + TRIAL_BY_OTHERS_MS + spread_ms;
            if self.pacing_router(slot) != Some(own) && silent_ms < others_ms {
                continue;
            }
            let wanted =
                servers::PermitsRequested { permits: 1, within_ms: TRIAL_WITHIN_MS, trial: true };
            self.ask_for(slot, wanted, now_ms);
        }
    }

    /// The limited servers of a service that this router may ask permits for.
    fn limited_slots(&self, service: &str, now_ms: u64) -> Vec<ids::ServerSlot> {
        let mut slots = self.servers.limited_services().remove(service).unwrap_or_default();
        slots.retain(|slot| !self.servers.backs_off(*slot, now_ms));
        slots
    }

    /// The router that paces the requests of all to a server.
    pub(super) fn pacing_router(&self, slot: ids::ServerSlot) -> Option<ids::Incarnation> {
        let name_hash = self.servers.get(slot)?.name_hash();
        let live = self.members.live().map(|record| record.id);
        rendezvous::first(name_hash, live.chain([self.settings.incarnation]))
    }

    /// Asks for permits to send to a server, if that is of use; returns how many may come.
    fn ask_for(
        &mut self,
        slot: ids::ServerSlot,
        wanted: servers::PermitsRequested,
        now_ms: u64,
    ) -> u64 {
        let known = self.servers.limits().limited(slot);
        if !known.is_some_and(|known| known.share.may_request(now_ms)) {
            return 0;
        }
        let Some(router) = self.pacing_router(slot) else { return 0 };
        if router == self.settings.incarnation {
            let granted = self.grant_permits(slot, wanted, now_ms);
            if let Some(known) = self.servers.limits_mut().limited_mut(slot) {
                known.share.answered(None, granted, wanted.trial, now_ms);
            }
            return granted.permits;
        }
        let report = self.servers.limits().report(slot);
        let Some(known) = report.and_then(|report| self.news_of(slot, report, now_ms)) else {
            return 0;
        };
        self.limits.questions += 1;
        let number = self.limits.questions;
        if let Some(known) = self.servers.limits_mut().limited_mut(slot) {
            known.share.record_request(number, wanted, now_ms);
        }
        self.send(router, message::Message::PermitAsk { number, known, wanted });
        wanted.permits
    }

    /// Hands out permits for a server.
    fn grant_permits(
        &mut self,
        slot: ids::ServerSlot,
        wanted: servers::PermitsRequested,
        now_ms: u64,
    ) -> servers::PermitsGranted {
        // A router that has just started does not know yet with whom it shares.
        let settled = now_ms >= self.started_ms + super::watching::SETTLE_MS;
        let paces = self.pacing_router(slot) == Some(self.settings.incarnation);
        let live = self.servers.get(slot).is_some_and(servers::Server::is_live);
        if !settled || !paces || !live {
            return servers::PermitsGranted::none(NOT_PACING_MS);
        }
        let (routers, most_routers) = (self.members.live_count(), self.most_routers.max(1));
        let Some(known) = self.servers.limits_mut().limited_mut(slot) else {
            // The asker missed the end of the limit: a trial shows it.
            let trial = servers::PermitsGranted { permits: 1, in_ms: 0 };
            return if wanted.trial { trial } else { servers::PermitsGranted::none(NOT_PACING_MS) };
        };
        let limit_milli_per_s = known.report.limit_milli_per_s.unwrap_or_default();
        let every_ms = servers::trial_interval_ms(limit_milli_per_s);
        let heard_ms = known.report.received_ms.max(known.pacer.trial_ms());
        let trial_in_ms = (heard_ms + every_ms).saturating_sub(now_ms);
        if trial_in_ms > 0 && (wanted.trial || limit_milli_per_s == 0) {
            return servers::PermitsGranted::none(trial_in_ms);
        }
        // Those who are cut off from here share what the server takes with others.
        let share_milli_per_s =
            limit_milli_per_s.saturating_mul(routers.min(most_routers)) / most_routers;
        known.pacer.grant(share_milli_per_s, wanted, now_ms)
    }

    pub(super) fn take_permit_ask(
        &mut self,
        from: ids::Incarnation,
        number: u64,
        known: servers::LimitUpdate,
        wanted: servers::PermitsRequested,
        now_ms: u64,
    ) {
        self.hear_limits(std::slice::from_ref(&known), now_ms);
        let servers::LimitUpdate { vm, life, .. } = known;
        let granted = match self.servers.find_life(&vm, life) {
            Some(slot) => self.grant_permits(slot, wanted, now_ms),
            None => servers::PermitsGranted::none(NOT_PACING_MS),
        };
        let trial = wanted.trial;
        self.send(from, message::Message::Permits { number, vm, life, trial, granted });
    }

    pub(super) fn take_permits(
        &mut self,
        number: u64,
        vm: &str,
        life: ids::ServerLife,
        trial: bool,
        granted: servers::PermitsGranted,
        now_ms: u64,
    ) {
        let Some(slot) = self.servers.find_life(vm, life) else { return };
        let Some(known) = self.servers.limits_mut().limited_mut(slot) else { return };
        known.share.answered(Some(number), granted, trial, now_ms);
        let Some(server) = self.servers.get(slot) else { return };
        let service = server.vm.service.clone();
        if granted.permits == 0 {
            self.ask_for_permits(&service, now_ms);
        }
        self.drain_queue(&service, now_ms);
        self.shed_limited(&service, now_ms);
    }

    /// Refuses what waits in vain: where all servers are limited, more requests than permits may come.
    pub(super) fn shed_limited(&mut self, service: &str, now_ms: u64) {
        if self.queue(service).next().is_none() || !self.servers.all_limited(service, now_ms) {
            return;
        }
        let share = |slot: ids::ServerSlot| {
            let known = self.servers.limits().limited(slot);
            known.map_or(0, |known| {
                let share = &known.share;
                share.expected(now_ms).max(u64::from(share.may_request(now_ms)))
            })
        };
        let places: u64 = self.limited_slots(service, now_ms).into_iter().map(share).sum();
        self.shed(service, places as usize, Reason::Limited, now_ms);
    }

    /// When a request that is refused because of limits may come back: when there is a place again, spread over the time
    /// that all who are refused now would need.
    pub(super) fn limited_retry_after_ms(&mut self, service: &str, now_ms: u64) -> u64 {
        let slots = self.limited_slots(service, now_ms);
        let limits = self.servers.limits();
        let known: Vec<&servers::KnownLimit> =
            slots.iter().filter_map(|slot| limits.limited(*slot)).collect();
        let next_ms = known.iter().map(|known| known.share.next_ms(now_ms)).min();
        let limits = known.iter().filter_map(|known| known.report.limit_milli_per_s);
        let milli_per_s = limits.fold(0, u64::saturating_add);
        let own_milli_per_s = milli_per_s / self.members.live_count();
        let refused = self.limits.refused.entry(service.to_owned()).or_default();
        refused.count(now_ms);
        let spread_ms = (refused.per_s() * 1_000_000).checked_div(own_milli_per_s);
        let spread_ms = spread_ms.unwrap_or(SPREAD_MAX_MS).clamp(SPREAD_MIN_MS, SPREAD_MAX_MS);
        let wait_ms = next_ms.map_or(0, |at_ms| at_ms.saturating_sub(now_ms));
        wait_ms.max(RETRY_AFTER_MIN_MS) + self.rng.random_range(0..spread_ms)
    }
}
