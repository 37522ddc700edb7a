//! Rate limits that servers state: routers exchange them by gossip, and each router sends to a limited server only the
//! requests for which it has permits from the server's pacer.
//!
//! The pacer is one router for each limited server. Rendezvous hashing over the live routers determines it, which needs
//! no message. Other routers request permits from it when requests wait, and from time to time a trial, so that the end
//! of a limit is detected.

use super::{Action, LimitSource, Node, Notice, Reason};
use crate::{ids, message, rendezvous, servers};
use rand::RngExt;
use std::collections;

/// Minimum interval between pushes of changed limits: a server may state another limit with each answer.
const PUSH_INTERVAL_MS: u64 = 100;
/// How long routers leave trials to the pacer: its updates take that long to reach all routers.
const PACER_TRIAL_LEAD_MS: u64 = 4_000;
/// The time after that over which the other routers spread their first request for a trial.
const TRIAL_SPREAD_MS: u64 = 2_000;
/// Validity of a granted trial: a request that arrives within this time uses it.
const TRIAL_VALID_MS: u64 = 1_000;
/// Time after which a permit request is repeated if the router that received it is not the pacer of the server, or
/// cannot grant permits yet.
const NOT_PACER_RETRY_MS: u64 = 300;
/// Minimum time over which the retries of refused callers are spread.
const RETRY_SPREAD_MIN_MS: u64 = 500;
/// Maximum time over which the retries of refused callers are spread.
const RETRY_SPREAD_MAX_MS: u64 = 10_000;
/// The window in which refusals are counted.
const RATE_WINDOW_MS: u64 = 1_000;
/// How long before the end of a request's wait its permit must arrive: a round trip and a tick.
const PERMIT_LEAD_MS: u64 = 60;
/// Minimum retry delay returned with a refusal.
const RETRY_AFTER_MIN_MS: u64 = 50;

/// State of the permit protocol that is not part of the servers' table.
#[derive(Debug, Default)]
pub(super) struct PermitState {
    /// When changed limits were last pushed to peers.
    pushed_ms: u64,
    /// Number of answers in which servers stated something about their limits to this router.
    answer_count: u64,
    /// Number of permit requests that this router has sent.
    permit_request_count: u64,
    /// Offset at which the next round of permit requests starts, so that routers do not all wait for the same server.
    next_offset: usize,
    /// The recent rate of refused requests, by service.
    refused: collections::HashMap<String, Rate>,
}

/// The rate of an event, counted in windows of [`RATE_WINDOW_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    /// When the current window started.
    window_start_ms: u64,
    count: u64,
    /// The rate in the window before.
    per_s: u64,
}

impl Rate {
    fn count(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.window_start_ms);
        if elapsed_ms >= RATE_WINDOW_MS {
            self.per_s = self.count * 1_000 / elapsed_ms;
            self.count = 0;
            self.window_start_ms = now_ms;
        }
        self.count += 1;
    }

    fn per_s(&self) -> u64 {
        self.per_s.max(self.count)
    }
}

impl Node {
    /// Handles the limit directive on a server's answer to a request that was sent `took_ms` ago.
    pub fn report_limit(
        &mut self,
        vm: &str,
        server_incarnation: ids::ServerIncarnation,
        directive: servers::Directive<u64>,
        took_ms: u64,
        now_ms: u64,
    ) {
        let Some(slot) = self.servers.find_incarnation(vm, server_incarnation) else { return };
        let limit_milli_per_s = match directive {
            servers::Directive::Value(limit) => Some(limit),
            servers::Directive::Absent => None,
            servers::Directive::Unreadable => return,
        };
        if limit_milli_per_s.is_none() && self.servers.limits().limited(slot).is_none() {
            return;
        }
        self.limits.answer_count += 1;
        let router = self.settings.incarnation;
        let report = servers::LimitReport {
            limit_milli_per_s,
            answer: servers::AnswerId { router, number: self.limits.answer_count },
            sent_ms: now_ms.saturating_sub(took_ms),
            received_ms: now_ms,
        };
        self.apply_limit_report(slot, report, LimitSource::Answer, now_ms);
    }

    /// Merges the limits reported by a peer.
    pub(super) fn merge_limits(&mut self, updates: &[servers::LimitUpdate], now_ms: u64) {
        for update in updates {
            let slot = self.servers.find_incarnation(&update.vm, update.incarnation);
            if let (Some(slot), Some(report)) = (slot, update.report(now_ms)) {
                let source = LimitSource::Peer(update.answer.router);
                self.apply_limit_report(slot, report, source, now_ms);
            }
        }
    }

    /// Applies a report of a server's limit.
    fn apply_limit_report(
        &mut self,
        slot: ids::ServerSlot,
        report: servers::LimitReport,
        source: LimitSource,
        now_ms: u64,
    ) {
        match self.servers.limits_mut().merge_report(slot, report, now_ms) {
            servers::LimitChange::Nothing => {}
            servers::LimitChange::Limited(limit) => {
                self.report_limit_change(slot, Some(limit), source)
            }
            servers::LimitChange::Ended => self.end_limit(slot, source, now_ms),
        }
    }

    /// Ends a server's limit, and dispatches requests that waited because of it.
    fn end_limit(&mut self, slot: ids::ServerSlot, source: LimitSource, now_ms: u64) {
        self.report_limit_change(slot, None, source);
        self.servers.reset_answer_time(slot);
        let service = self.servers.get(slot).map(|server| server.vm.service.clone());
        if let Some(service) = service {
            self.drain_queue(&service, now_ms);
        }
    }

    /// Reports a change of a server's limit to the operator.
    fn report_limit_change(
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

    /// The limit updates for the next gossip datagram.
    pub(super) fn take_limit_updates(&mut self, now_ms: u64) -> Vec<servers::LimitUpdate> {
        if self.servers.limits().is_empty() {
            return Vec::new();
        }
        let updates = self.servers.take_limit_updates().into_iter();
        updates.filter_map(|(slot, report)| self.limit_update(slot, report, now_ms)).collect()
    }

    /// A limit update for peers; `None` if the server is not listed any more.
    fn limit_update(
        &self,
        slot: ids::ServerSlot,
        report: servers::LimitReport,
        now_ms: u64,
    ) -> Option<servers::LimitUpdate> {
        let server = self.servers.get(slot)?;
        Some(servers::LimitUpdate {
            vm: server.vm.vm.clone(),
            incarnation: server.vm.incarnation,
            limit_milli_per_s: report.limit_milli_per_s,
            answer: report.answer,
            sent_age_ms: now_ms.saturating_sub(report.sent_ms),
            received_age_ms: now_ms.saturating_sub(report.received_ms),
        })
    }

    /// Requests permits, pushes changed limits to peers, and ends limits that no answer confirmed in time.
    pub(super) fn tick_limits(&mut self, now_ms: u64) {
        if self.servers.limits().is_empty() {
            return;
        }
        for slot in self.servers.limits_mut().expire(now_ms) {
            self.end_limit(slot, LimitSource::Expired, now_ms);
        }
        let limited = self.servers.limited_services();
        let services: Vec<String> = limited.into_keys().map(str::to_owned).collect();
        for service in services {
            self.request_permits(&service, now_ms);
            self.shed_limited(&service, now_ms);
        }
        let due = now_ms >= self.limits.pushed_ms + PUSH_INTERVAL_MS;
        if due && self.servers.limits().has_unsent() {
            self.limits.pushed_ms = now_ms;
            self.push_to_random_members(now_ms);
        }
    }

    /// Requests as many permits as requests of a service wait.
    pub(super) fn request_permits(&mut self, service: &str, now_ms: u64) {
        let waiting = self.queue(service).count() as u64;
        if waiting == 0 {
            return;
        }
        let left_ms = self.longest_remaining_wait_ms(service, now_ms);
        let within_ms = left_ms.saturating_sub(PERMIT_LEAD_MS);
        let slots = self.limited_slots(service, now_ms);
        let share = |slot: &ids::ServerSlot| {
            let limited = self.servers.limits().limited(*slot);
            limited.map_or(0, |limited| limited.share.expected(now_ms))
        };
        let mut expected: u64 = slots.iter().map(share).sum();
        self.limits.next_offset = self.limits.next_offset.wrapping_add(1);
        let first = self.limits.next_offset % slots.len().max(1);
        for slot in slots[first..].iter().chain(&slots[..first]) {
            if expected >= waiting {
                return;
            }
            let permits = waiting - expected;
            let requested = servers::PermitsRequested { permits, within_ms, trial: false };
            expected += self.request_permits_from(*slot, requested, now_ms);
        }
    }

    /// Requests a trial of each limited server of a service that has not stated its limit for long. To be called when a
    /// request is about to get a server: where this router is the pacer, that request is the trial.
    pub(super) fn request_trials(&mut self, service: &str, now_ms: u64) {
        for slot in self.limited_slots(service, now_ms) {
            let Some(limited) = self.servers.limits().limited(slot) else { continue };
            let interval_ms =
                servers::trial_interval_ms(limited.report.limit_milli_per_s.unwrap_or_default());
            let age_ms = now_ms.saturating_sub(limited.report.received_ms);
            if age_ms < interval_ms || !limited.share.may_request(now_ms) {
                continue;
            }
            let Some(server) = self.servers.get(slot) else { continue };
            let own = self.settings.incarnation;
            let spread_ms = rendezvous::weight(own.0, server.name_hash()) % TRIAL_SPREAD_MS;
            let others_after_ms = interval_ms + PACER_TRIAL_LEAD_MS + spread_ms;
            if self.pacing_router(slot) != Some(own) && age_ms < others_after_ms {
                continue;
            }
            let requested =
                servers::PermitsRequested { permits: 1, within_ms: TRIAL_VALID_MS, trial: true };
            self.request_permits_from(slot, requested, now_ms);
        }
    }

    /// The limited servers of a service for which this router may request permits.
    fn limited_slots(&self, service: &str, now_ms: u64) -> Vec<ids::ServerSlot> {
        let mut slots = self.servers.limited_services().remove(service).unwrap_or_default();
        slots.retain(|slot| !self.servers.backs_off(*slot, now_ms));
        slots
    }

    /// The pacer of a server: the router that schedules the requests of all routers to it.
    pub(super) fn pacing_router(&self, slot: ids::ServerSlot) -> Option<ids::Incarnation> {
        let name_hash = self.servers.get(slot)?.name_hash();
        let live = self.members.live().map(|record| record.id);
        rendezvous::first(name_hash, live.chain([self.settings.incarnation]))
    }

    /// Requests permits for a server unless it is too early for that; returns how many to expect.
    fn request_permits_from(
        &mut self,
        slot: ids::ServerSlot,
        requested: servers::PermitsRequested,
        now_ms: u64,
    ) -> u64 {
        let limited = self.servers.limits().limited(slot);
        if !limited.is_some_and(|limited| limited.share.may_request(now_ms)) {
            return 0;
        }
        let Some(router) = self.pacing_router(slot) else { return 0 };
        if router == self.settings.incarnation {
            let granted = self.grant_permits(slot, requested, now_ms);
            if let Some(limited) = self.servers.limits_mut().limited_mut(slot) {
                limited.share.handle_reply(None, granted, requested.trial, now_ms);
            }
            return granted.permits;
        }
        let report = self.servers.limits().report(slot);
        let Some(limit_update) = report.and_then(|report| self.limit_update(slot, report, now_ms))
        else {
            return 0;
        };
        self.limits.permit_request_count += 1;
        let number = self.limits.permit_request_count;
        if let Some(limited) = self.servers.limits_mut().limited_mut(slot) {
            limited.share.record_request(number, requested, now_ms);
        }
        self.send(router, message::Message::PermitRequest { number, limit_update, requested });
        requested.permits
    }

    /// Grants permits for a server.
    fn grant_permits(
        &mut self,
        slot: ids::ServerSlot,
        requested: servers::PermitsRequested,
        now_ms: u64,
    ) -> servers::PermitsGranted {
        // A router that has just started has not discovered the routers with which the server is shared.
        let membership_settled = now_ms >= self.started_ms + super::watching::MEMBERSHIP_SETTLE_MS;
        let is_pacer = self.pacing_router(slot) == Some(self.settings.incarnation);
        let live = self.servers.get(slot).is_some_and(servers::Server::is_live);
        if !membership_settled || !is_pacer || !live {
            return servers::PermitsGranted::none(NOT_PACER_RETRY_MS);
        }
        let (routers, max_live_routers) = (self.members.live_count(), self.max_live_routers.max(1));
        let Some(limited) = self.servers.limits_mut().limited_mut(slot) else {
            // The requesting router missed the end of the limit: a trial will detect it.
            let trial = servers::PermitsGranted { permits: 1, in_ms: 0 };
            return if requested.trial {
                trial
            } else {
                servers::PermitsGranted::none(NOT_PACER_RETRY_MS)
            };
        };
        let limit_milli_per_s = limited.report.limit_milli_per_s.unwrap_or_default();
        let interval_ms = servers::trial_interval_ms(limit_milli_per_s);
        let last_evidence_ms = limited.report.received_ms.max(limited.pacer.trial_ms());
        let trial_in_ms = (last_evidence_ms + interval_ms).saturating_sub(now_ms);
        if trial_in_ms > 0 && (requested.trial || limit_milli_per_s == 0) {
            return servers::PermitsGranted::none(trial_in_ms);
        }
        // Routers that are cut off from this one use a share of the server's rate as well.
        let share_milli_per_s =
            limit_milli_per_s.saturating_mul(routers.min(max_live_routers)) / max_live_routers;
        limited.pacer.grant(share_milli_per_s, requested, now_ms)
    }

    /// Handles a peer's request for permits.
    pub(super) fn handle_permit_request(
        &mut self,
        from: ids::Incarnation,
        number: u64,
        limit_update: servers::LimitUpdate,
        requested: servers::PermitsRequested,
        now_ms: u64,
    ) {
        self.merge_limits(std::slice::from_ref(&limit_update), now_ms);
        let servers::LimitUpdate { vm, incarnation, .. } = limit_update;
        let granted = match self.servers.find_incarnation(&vm, incarnation) {
            Some(slot) => self.grant_permits(slot, requested, now_ms),
            None => servers::PermitsGranted::none(NOT_PACER_RETRY_MS),
        };
        let trial = requested.trial;
        self.send(from, message::Message::PermitReply { number, vm, incarnation, trial, granted });
    }

    /// Handles a pacer's reply to a request for permits.
    pub(super) fn handle_permit_reply(
        &mut self,
        number: u64,
        vm: &str,
        incarnation: ids::ServerIncarnation,
        trial: bool,
        granted: servers::PermitsGranted,
        now_ms: u64,
    ) {
        let Some(slot) = self.servers.find_incarnation(vm, incarnation) else { return };
        let Some(limited) = self.servers.limits_mut().limited_mut(slot) else { return };
        limited.share.handle_reply(Some(number), granted, trial, now_ms);
        let Some(server) = self.servers.get(slot) else { return };
        let service = server.vm.service.clone();
        if granted.permits == 0 {
            self.request_permits(&service, now_ms);
        }
        self.drain_queue(&service, now_ms);
        self.shed_limited(&service, now_ms);
    }

    /// Refuses the waiting requests of a service for which no permit can be expected, if all its servers are limited.
    pub(super) fn shed_limited(&mut self, service: &str, now_ms: u64) {
        if self.queue(service).next().is_none() || !self.servers.all_limited(service, now_ms) {
            return;
        }
        let share = |slot: ids::ServerSlot| {
            let limited = self.servers.limits().limited(slot);
            limited.map_or(0, |limited| {
                let share = &limited.share;
                share.expected(now_ms).max(u64::from(share.may_request(now_ms)))
            })
        };
        let permits: u64 = self.limited_slots(service, now_ms).into_iter().map(share).sum();
        self.shed(service, permits as usize, Reason::Limited, now_ms);
    }

    /// The retry delay for a request that is refused because of limits, in milliseconds: until the next permit is
    /// possible, plus a random part of the time that the limited servers need for all requests refused at present.
    pub(super) fn limited_retry_after_ms(&mut self, service: &str, now_ms: u64) -> u64 {
        let slots = self.limited_slots(service, now_ms);
        let limits = self.servers.limits();
        let limited: Vec<&servers::KnownLimit> =
            slots.iter().filter_map(|slot| limits.limited(*slot)).collect();
        let next_ms = limited.iter().map(|limited| limited.share.next_ms(now_ms)).min();
        let limits = limited.iter().filter_map(|limited| limited.report.limit_milli_per_s);
        let milli_per_s = limits.fold(0, u64::saturating_add);
        let own_milli_per_s = milli_per_s / self.members.live_count();
        let refused = self.limits.refused.entry(service.to_owned()).or_default();
        refused.count(now_ms);
        let spread_ms = (refused.per_s() * 1_000_000).checked_div(own_milli_per_s);
        let spread_ms = spread_ms
            .unwrap_or(RETRY_SPREAD_MAX_MS)
            .clamp(RETRY_SPREAD_MIN_MS, RETRY_SPREAD_MAX_MS);
        let wait_ms = next_ms.map_or(0, |at_ms| at_ms.saturating_sub(now_ms));
        wait_ms.max(RETRY_AFTER_MIN_MS) + self.rng.random_range(0..spread_ms)
    }
}
