//! Polls of the store for updates: which routers poll, and how the answers are applied.

use super::{Action, CallOutcome, CallPurpose, Lifecycle, Node, Notice};
use crate::{ids, members, servers, store, watch};
use std::collections;

/// Time after its start in which a router requests its copies from peers only. A peer answers within milliseconds; in a
/// fleet that starts as a whole the seeds need about this long to start and read the store.
const JOIN_TIMEOUT_MS: u64 = 1_000;
/// Time after its start in which a router's view of the fleet is too small to determine which routers poll.
pub(super) const MEMBERSHIP_SETTLE_MS: u64 = 3_000;
/// Interval at which a router determines its role in following the store.
const ROLE_CHECK_INTERVAL_MS: u64 = 500;
/// Time for which records that disappeared while the store was unavailable are kept after its return: live servers are
/// back in its list within about two seconds. The store may have refused only this router while servers left, so
/// this stays well below the two seconds after which such a server must not get new requests.
const LAPSED_RETENTION_MS: u64 = 1_400;
/// The same from when the store last rejected a poll, which may have been just before its return.
const LAPSED_RETENTION_FROM_REJECTION_MS: u64 = 2_600;

/// State of following the store.
#[derive(Debug)]
pub(super) struct Watching {
    pub(super) configuration: watch::Subscription,
    pub(super) servers: watch::Subscription,
    pub(super) role: watch::Role,
    role_checked_ms: u64,
    /// Whether this router has recorded its address for peers in the store.
    announced: bool,
    /// Time at which the last gossip of a peer was received.
    pub(super) gossip_received_ms: Option<u64>,
    /// The clocks of the routers whose polls confirmed copies.
    pub(super) peer_clocks: watch::PeerClocks,
    /// When the store last rejected a poll of the list of servers before the update that is being applied.
    pub(super) rejected_ms: Option<u64>,
    /// Time until which each lapsed record is kept, by VM.
    lapsed_until_ms: collections::BTreeMap<String, u64>,
}

impl Watching {
    pub(super) fn new(own: ids::Incarnation, bounds: watch::Bounds) -> Self {
        let configuration = watch::Topic::Configuration;
        Self {
            configuration: watch::Subscription::new(own, configuration, bounds.configuration_ms),
            servers: watch::Subscription::new(own, watch::Topic::Servers, bounds.servers_ms),
            role: watch::Role::Joining,
            role_checked_ms: 0,
            announced: false,
            gossip_received_ms: None,
            peer_clocks: Default::default(),
            rejected_ms: None,
            lapsed_until_ms: Default::default(),
        }
    }

    pub(super) fn topic(&mut self, topic: watch::Topic) -> &mut watch::Subscription {
        match topic {
            watch::Topic::Configuration => &mut self.configuration,
            watch::Topic::Servers => &mut self.servers,
        }
    }

    /// Whether this router missed updates of the list of servers because the store was unavailable.
    pub(super) fn missed_server_updates(&self, now_ms: u64) -> bool {
        self.servers.may_have_missed_removals(self.role, now_ms)
    }

    /// Staleness of this router's copies, by topic: the time since they were last known to be current, in milliseconds.
    pub(super) fn ages_ms(&self, now_ms: u64) -> [(watch::Topic, Option<u64>); 2] {
        [&self.configuration, &self.servers]
            .map(|subscription| (subscription.topic(), subscription.age_ms(now_ms)))
    }

    /// Whether the store may be out of this router's reach.
    pub(super) fn may_be_out_of_reach(&self, now_ms: u64) -> bool {
        [&self.configuration, &self.servers]
            .iter()
            .any(|subscription| subscription.may_be_out_of_reach(now_ms))
    }

    fn has_all_copies(&self) -> bool {
        let start = store::Position::START;
        self.configuration.position() > start && self.servers.position() > start
    }

    /// Schedules another write of this router's address, which a restore of the store may have lost.
    pub(super) fn schedule_announcement(&mut self) {
        self.announced = false;
    }
}

impl Node {
    /// This router's role in following the store; `None` if the shell follows it.
    pub fn watch_role(&self) -> Option<watch::Role> {
        self.watching.as_ref().map(|watching| watching.role)
    }

    /// Staleness of this router's copy of a topic: the time since it was last known to be current, in milliseconds.
    pub fn age_ms(&self, topic: watch::Topic, now_ms: u64) -> Option<u64> {
        let watching = self.watching.as_ref()?;
        match topic {
            watch::Topic::Configuration => watching.configuration.age_ms(now_ms),
            watch::Topic::Servers => watching.servers.age_ms(now_ms),
        }
    }

    /// The polls of a topic that are in flight.
    pub fn open_polls(&self, topic: watch::Topic, now_ms: u64) -> Vec<watch::OpenPoll> {
        let Some(watching) = self.watching.as_ref() else { return Vec::new() };
        match topic {
            watch::Topic::Configuration => watching.configuration.open_polls(now_ms),
            watch::Topic::Servers => watching.servers.open_polls(now_ms),
        }
    }

    /// Handles the end of a poll that was requested with [`Action::Poll`]. The end of a poll that was cancelled before
    /// is only counted.
    pub fn poll_ended(&mut self, call: watch::Poll, outcome: watch::Outcome, now_ms: u64) {
        let topic = call.topic;
        let routers = self.members.live_count();
        let Some(watching) = &mut self.watching else { return };
        let role = watching.role;
        let Some(poll) = watching.topic(topic).finish(call.number) else {
            self.count_call(poll_purpose(topic), CallOutcome::Late);
            return;
        };
        if let watch::Outcome::Answered { position, .. } = &outcome {
            let era = position.era;
            self.handle_store_era(era, now_ms);
            self.check_unconfirmed_era(era, poll.sent_ms(), now_ms);
            if self.reject_earlier_era(topic, era) {
                let Some(watching) = &mut self.watching else { return };
                watching.topic(topic).handle_failure(false, role, routers, now_ms, &mut self.rng);
                return;
            }
            if !poll.accepts_answer_at(*position) {
                return;
            }
        }
        self.count_poll(topic, &outcome);
        let Some(watching) = &mut self.watching else { return };
        match outcome {
            watch::Outcome::Answered { position, update } => {
                let has_update = update.has_changes();
                let subscription = watching.topic(topic);
                let was_refused = subscription.was_rejected(role, now_ms);
                let rejected_ms = subscription.last_rejected_ms();
                subscription.handle_answer(role, poll, position, has_update, now_ms);
                if topic == watch::Topic::Servers {
                    watching.rejected_ms = rejected_ms;
                }
                match has_update {
                    true => self.relay.schedule_pushes(now_ms),
                    false => self.relay.push_due = true,
                }
                self.apply_update(position, update, was_refused, now_ms);
            }
            watch::Outcome::HistoryLost => watching.topic(topic).request_full_state(),
            watch::Outcome::Rejected => {
                watching.topic(topic).handle_failure(true, role, routers, now_ms, &mut self.rng);
            }
            watch::Outcome::NoAnswer => {
                watching.topic(topic).handle_failure(false, role, routers, now_ms, &mut self.rng);
            }
        }
    }

    fn apply_update(
        &mut self,
        position: store::Position,
        update: watch::Update,
        was_refused: bool,
        now_ms: u64,
    ) {
        match update {
            watch::Update::Configuration(update) => {
                // Before the configuration, with which a starting router becomes ready.
                self.apply_evacuations(position, update.evacuations, now_ms);
                if let Some(published) = update.published {
                    self.offer_config(*published, now_ms);
                }
            }
            watch::Update::Servers(mut changes) => {
                // Peers may have sent later changes in the meantime.
                let own_position = self.vms_index;
                changes.retain(|change| change.position > own_position);
                if was_refused {
                    changes.iter_mut().for_each(mark_lapsed);
                }
                self.apply_changes(position.max(own_position), changes, was_refused, now_ms);
            }
            watch::Update::AllServers(_) if position < self.vms_index => {
                let (topic, own_position) = (watch::Topic::Servers, self.vms_index);
                let notice = Notice::StaleAnswerIgnored { topic, position, own_position };
                self.actions.push(Action::Notice(notice));
            }
            watch::Update::AllServers(all) => {
                if self.vms_index != store::Position::START && position.era > self.vms_index.era {
                    self.prepare_era_change(&all, now_ms);
                } else if was_refused {
                    self.retain_missing(&all, now_ms, now_ms);
                }
                self.relay.reset_changes(position);
                for (vm, revision) in &all.revisions {
                    self.eras.set_record_revision(vm, *revision);
                }
                let vms = self.records_in_use(all.listed, now_ms);
                self.replace_vms(position, vms, now_ms);
            }
        }
    }

    /// Applies changes of servers' records, which bring the copy to `position`. Lapsed records are kept for some time
    /// if `keeps_lapsed`; a router that has followed the store without a gap has received their removal.
    pub(super) fn apply_changes(
        &mut self,
        position: store::Position,
        changes: Vec<watch::ServerChange>,
        keeps_lapsed: bool,
        now_ms: u64,
    ) {
        if changes.is_empty() {
            self.vms_index = self.vms_index.max(position);
            return;
        }
        let mut vms = self.vms.clone();
        for change in changes {
            let removed = vms.remove(&change.vm);
            self.eras.clear_removal(&change.vm);
            match &change.record {
                watch::ServerRecord::Listed(vm) => {
                    self.remove_lapsed(&change.vm);
                    self.eras.set_record_revision(&change.vm, change.position.revision);
                    let present = removed.as_ref();
                    let in_use = self.earlier_starts.record_in_use(vm.clone(), present, now_ms);
                    vms.insert(change.vm.clone(), in_use);
                }
                watch::ServerRecord::Removed | watch::ServerRecord::Unreadable => {
                    self.earlier_starts.remove(&change.vm);
                    self.remove_lapsed(&change.vm);
                }
                watch::ServerRecord::Lapsed => {
                    self.earlier_starts.remove(&change.vm);
                    if let Some(vm) = removed.filter(|_| keeps_lapsed) {
                        self.retain_lapsed(vm, LAPSED_RETENTION_MS, now_ms);
                    }
                }
            }
            self.relay.record_change(change, now_ms);
        }
        self.replace_vms(position, vms.into_values().collect(), now_ms);
    }

    /// Removes lapsed records that did not reappear in time.
    fn expire_lapsed(&mut self, now_ms: u64) {
        let Some(watching) = &mut self.watching else { return };
        let before = watching.lapsed_until_ms.len();
        watching.lapsed_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        if watching.lapsed_until_ms.len() == before {
            return;
        }
        let kept = &watching.lapsed_until_ms;
        self.lapsed.retain(|vm| kept.contains_key(&vm.vm));
        let vms = self.vms.values().cloned().collect();
        self.replace_vms(self.vms_index, vms, now_ms);
    }

    /// Keeps records that are missing from a list for [`LAPSED_RETENTION_MS`] after the store became available again,
    /// which was at `available_ms` at the earliest.
    pub(super) fn retain_missing(
        &mut self,
        all: &watch::AllServers,
        available_ms: u64,
        now_ms: u64,
    ) {
        let kept_ms = (available_ms + LAPSED_RETENTION_MS).saturating_sub(now_ms);
        if kept_ms == 0 {
            return;
        }
        let listed = all.listed.iter().map(|vm| &vm.vm);
        let present: collections::HashSet<&String> = listed.chain(&all.unreadable).collect();
        let missing = self.vms.values().filter(|vm| !present.contains(&vm.vm));
        let missing: Vec<servers::Vm> = missing.cloned().collect();
        for vm in missing {
            self.retain_lapsed(vm, kept_ms, now_ms);
        }
    }

    fn retain_lapsed(&mut self, vm: servers::Vm, kept_ms: u64, now_ms: u64) {
        let Some(watching) = &mut self.watching else { return };
        let until_ms = watching.rejected_ms.map(|at_ms| at_ms + LAPSED_RETENTION_FROM_REJECTION_MS);
        let kept_ms =
            until_ms.map_or(kept_ms, |until_ms| kept_ms.min(until_ms.saturating_sub(now_ms)));
        if kept_ms == 0 {
            return;
        }
        let notice = Notice::RecordLapsed { vm: vm.vm.clone(), kept_ms };
        self.actions.push(Action::Notice(notice));
        watching.lapsed_until_ms.insert(vm.vm.clone(), now_ms + kept_ms);
        self.lapsed.push(vm);
    }

    fn remove_lapsed(&mut self, vm: &str) {
        let Some(watching) = &mut self.watching else { return };
        if watching.lapsed_until_ms.remove(vm).is_some() {
            self.lapsed.retain(|lapsed| lapsed.vm != vm);
        }
    }

    /// Starts the polls that are due, cancels unanswered ones whose update arrived from elsewhere, and pushes updates
    /// to peers.
    pub(super) fn tick_watching(&mut self, now_ms: u64) {
        self.update_role(now_ms);
        self.expire_lapsed(now_ms);
        let routers = self.members.live_count();
        let own = self.settings.incarnation;
        let rank = self.members.live().filter(|member| member.id < own).count() as u64;
        let Some(watching) = &mut self.watching else { return };
        let role = watching.role;
        let silent_ms =
            watching.gossip_received_ms.map_or(u64::MAX, |at_ms| now_ms.saturating_sub(at_ms));
        let mut given_up = Vec::new();
        for topic in watch::Topic::ALL {
            let subscription = watching.topic(topic);
            if let Some(call) = subscription.abandon_superseded(now_ms) {
                given_up.push((topic, call));
            }
            let alone = silent_ms >= subscription.stale_after_ms();
            let fleet = watch::Fleet { routers, rank, alone };
            if let Some(call) = subscription.due_poll(role, fleet, now_ms, &mut self.rng) {
                self.actions.push(Action::Poll(call));
            }
        }
        for (topic, call) in given_up {
            self.count_call(poll_purpose(topic), CallOutcome::GivenUp);
            self.actions.push(Action::CancelPoll { topic, number: call.number });
            self.actions.push(Action::Notice(Notice::PollGivenUp { topic, call }));
        }
        self.announce(now_ms);
        self.push_updates(now_ms);
    }

    /// Records this router's address in the store, once, for routers that start and reach none of their seeds. Only
    /// routers that poll do so: every member can determine which ones do, so a few records are enough.
    fn announce(&mut self, now_ms: u64) {
        let settled = now_ms >= self.started_ms + MEMBERSHIP_SETTLE_MS;
        let without_peers = self.members.live().next().is_none();
        let Some(watching) = &mut self.watching else { return };
        let polls = matches!(watching.role, watch::Role::EveryRouter | watch::Role::Watcher);
        if polls && !watching.announced && (settled || without_peers) {
            watching.announced = true;
            self.count_call(CallPurpose::Announce, CallOutcome::Sent);
            self.actions.push(Action::Announce);
        }
    }

    fn update_role(&mut self, now_ms: u64) {
        let Some(watching) = &self.watching else { return };
        let is_joining = watching.role == watch::Role::Joining;
        if !is_joining && now_ms < watching.role_checked_ms + ROLE_CHECK_INTERVAL_MS {
            return;
        }
        let role = self.current_role(watching, now_ms);
        let Some(watching) = &mut self.watching else { return };
        watching.role_checked_ms = now_ms;
        let members = &self.members;
        watching.peer_clocks.retain(|router| members.find(router).is_some());
        if watching.role != role {
            watching.role = role;
            self.actions.push(Action::Notice(Notice::WatchRole { role }));
        }
    }

    fn current_role(&self, watching: &Watching, now_ms: u64) -> watch::Role {
        let routers = self.members.live_count() as usize;
        if routers == 1 {
            let awaits_peers =
                now_ms < self.started_ms + JOIN_TIMEOUT_MS && !watching.has_all_copies();
            return match awaits_peers && self.members.can_join_from_seeds() {
                true => watch::Role::Joining,
                false => watch::Role::EveryRouter,
            };
        }
        if now_ms < self.started_ms + MEMBERSHIP_SETTLE_MS {
            return watch::Role::Listener;
        }
        if routers <= watch::EVERY_ROUTER_FLEET_MAX {
            return watch::Role::EveryRouter;
        }
        let live = self.members.live().filter(|record| record.health == members::Health::Alive);
        let watchers = watch::watchers(live.chain([self.members.own()]));
        match watchers.contains(&self.settings.incarnation) && self.lifecycle == Lifecycle::Ready {
            true => watch::Role::Watcher,
            false => watch::Role::Listener,
        }
    }

    fn count_poll(&mut self, topic: watch::Topic, outcome: &watch::Outcome) {
        let outcome = match outcome {
            watch::Outcome::Answered { update, .. } if update.has_changes() => CallOutcome::News,
            watch::Outcome::Answered { .. } => CallOutcome::Empty,
            watch::Outcome::HistoryLost => CallOutcome::Forgotten,
            watch::Outcome::Rejected => CallOutcome::Refused,
            watch::Outcome::NoAnswer => CallOutcome::Silent,
        };
        self.count_call(poll_purpose(topic), outcome);
    }

    pub(super) fn count_call(&mut self, purpose: CallPurpose, outcome: CallOutcome) {
        *self.counters.store_calls.entry((purpose, outcome)).or_default() += 1;
    }
}

pub(super) fn poll_purpose(topic: watch::Topic) -> CallPurpose {
    match topic {
        watch::Topic::Configuration => CallPurpose::WatchConfiguration,
        watch::Topic::Servers => CallPurpose::WatchServers,
    }
}

/// Marks a removal as lapsed: a record that disappeared while the store was unavailable may reappear soon.
fn mark_lapsed(change: &mut watch::ServerChange) {
    if change.record == watch::ServerRecord::Removed {
        change.record = watch::ServerRecord::Lapsed;
    }
}
