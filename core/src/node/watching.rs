//! Who asks the store for news, and what becomes of its answers.

use super::{Action, CallOutcome, CallPurpose, Lifecycle, Node, Notice};
use crate::{members, servers, store, watch};
use std::collections;

/// How long a router that has just started asks peers only. A peer answers within milliseconds;
/// in a fleet that starts as a whole the seeds need about so long to start and read the store.
const JOIN_MS: u64 = 1_000;
/// Until then a router's view of the fleet is too small to tell who watches.
pub(super) const SETTLE_MS: u64 = 3_000;
/// How often a router looks whether it watches.
const LOOK_EVERY_MS: u64 = 500;
/// Records that went while the store was away are kept for so long after its return: servers that live are back
/// in its list within about two seconds. The store may have turned this router alone away while servers left,
/// so this stays well below the two seconds after which such a server must get nothing new.
const LAPSED_KEPT_MS: u64 = 1_400;

/// What following the store has to remember.
#[derive(Debug)]
pub(super) struct Watching {
    pub(super) configuration: watch::Watch,
    pub(super) servers: watch::Watch,
    pub(super) duty: watch::Duty,
    looked_ms: u64,
    /// Whether this router has recorded in the store where peers reach it.
    announced: bool,
    /// When a peer was last heard.
    pub(super) heard_ms: Option<u64>,
    /// Until when a record that lapsed is kept.
    lapsed_until_ms: collections::BTreeMap<String, u64>,
}

impl Watching {
    pub(super) fn new(bounds: watch::Bounds) -> Self {
        let configuration = watch::Topic::Configuration;
        Self {
            configuration: watch::Watch::new(configuration, bounds.configuration_ms),
            servers: watch::Watch::new(watch::Topic::Servers, bounds.servers_ms),
            duty: watch::Duty::Joining,
            looked_ms: 0,
            announced: false,
            heard_ms: None,
            lapsed_until_ms: Default::default(),
        }
    }

    pub(super) fn topic(&mut self, topic: watch::Topic) -> &mut watch::Watch {
        match topic {
            watch::Topic::Configuration => &mut self.configuration,
            watch::Topic::Servers => &mut self.servers,
        }
    }

    /// Whether this router had no word of the store's servers because the store did not serve.
    pub(super) fn missed_store(&self, now_ms: u64) -> bool {
        self.servers.missed_store(self.duty, now_ms)
    }

    /// How long ago this router's copies held all that the store had, in milliseconds.
    pub(super) fn ages_ms(&self, now_ms: u64) -> [(watch::Topic, Option<u64>); 2] {
        [&self.configuration, &self.servers].map(|watch| (watch.topic(), watch.age_ms(now_ms)))
    }

    fn knows_all(&self) -> bool {
        let start = store::Position::START;
        self.configuration.position() > start && self.servers.position() > start
    }

    /// Schedules another write of this router's address, which a restore of the store may have lost.
    pub(super) fn announce_again(&mut self) {
        self.announced = false;
    }
}

impl Node {
    /// This router's part in following the store; `None` if it follows by other means.
    pub fn watch_duty(&self) -> Option<watch::Duty> {
        self.watching.as_ref().map(|watching| watching.duty)
    }

    /// How long ago this router's copy of a topic held all that the store had, in milliseconds.
    pub fn age_ms(&self, topic: watch::Topic, now_ms: u64) -> Option<u64> {
        let watching = self.watching.as_ref()?;
        match topic {
            watch::Topic::Configuration => watching.configuration.age_ms(now_ms),
            watch::Topic::Servers => watching.servers.age_ms(now_ms),
        }
    }

    /// The calls for a topic that wait for the store now.
    pub fn open_calls(&self, topic: watch::Topic, now_ms: u64) -> Vec<watch::OpenCall> {
        let Some(watching) = self.watching.as_ref() else { return Vec::new() };
        match topic {
            watch::Topic::Configuration => watching.configuration.open_calls(now_ms),
            watch::Topic::Servers => watching.servers.open_calls(now_ms),
        }
    }

    /// Takes the end of a call that [`Action::Watch`] asked for. One that was given up before changes nothing.
    pub fn watched(&mut self, call: watch::Call, outcome: watch::Outcome, now_ms: u64) {
        let topic = call.topic;
        let routers = self.members.live_count();
        let Some(watching) = &mut self.watching else { return };
        let duty = watching.duty;
        let Some(flight) = watching.topic(topic).ended(call.number) else {
            self.count_call(purpose(topic), CallOutcome::Late);
            return;
        };
        if let watch::Outcome::Answered { position, .. } = &outcome {
            let era = position.era;
            self.hear_store_era(era, now_ms);
            self.check_unconfirmed_era(era, flight.sent_ms(), now_ms);
            if self.reject_earlier_era(topic, era) {
                let Some(watching) = &mut self.watching else { return };
                watching.topic(topic).failed(false, duty, routers, now_ms, &mut self.rng);
                return;
            }
            if !flight.accepts_answer_at(*position) {
                return;
            }
        }
        self.count_watch(topic, &outcome);
        let Some(watching) = &mut self.watching else { return };
        match outcome {
            watch::Outcome::Answered { position, news } => {
                let any = news.any();
                let watched = watching.topic(topic);
                let was_refused = watched.was_refused(duty, now_ms);
                watched.answered(duty, flight, position, any, now_ms);
                match any {
                    true => self.relay.heard_news(now_ms),
                    false => self.relay.push_due = true,
                }
                self.take_news(position, news, was_refused, now_ms);
            }
            watch::Outcome::Forgotten => watching.topic(topic).forgotten(),
            watch::Outcome::Refused => {
                watching.topic(topic).failed(true, duty, routers, now_ms, &mut self.rng);
            }
            watch::Outcome::Silent => {
                watching.topic(topic).failed(false, duty, routers, now_ms, &mut self.rng);
            }
        }
    }

    fn take_news(
        &mut self,
        position: store::Position,
        news: watch::News,
        was_refused: bool,
        now_ms: u64,
    ) {
        match news {
            watch::News::Configuration(news) => {
                // Before the configuration: a router that starts is ready with it.
                self.take_evacuations(position, news.evacuations, now_ms);
                if let Some(published) = news.published {
                    self.offer_config(*published, now_ms);
                }
            }
            watch::News::Servers(mut changes) => {
                // Peers may have told more meanwhile.
                let known = self.vms_index;
                changes.retain(|change| change.position > known);
                if was_refused {
                    changes.iter_mut().for_each(note_lapsed);
                }
                self.apply_changes(position.max(known), changes, was_refused, now_ms);
            }
            watch::News::AllServers(_) if position < self.vms_index => {
                let (topic, known) = (watch::Topic::Servers, self.vms_index);
                let notice = Notice::StaleAnswerIgnored { topic, position, known };
                self.actions.push(Action::Notice(notice));
            }
            watch::News::AllServers(all) => {
                if self.vms_index != store::Position::START && position.era > self.vms_index.era {
                    self.prepare_era_change(&all, now_ms);
                } else if was_refused {
                    self.keep_missing(&all, now_ms, now_ms);
                }
                self.relay.restart_changes(position);
                for (vm, revision) in &all.revisions {
                    self.eras.note_record_revision(vm, *revision);
                }
                self.follow_vms(position, all.listed, now_ms);
            }
        }
    }

    /// Applies changes of servers' records; the copy stands for `position` then. Records that lapsed are kept for a
    /// while if `keeps_lapsed`: who knew the store's state all the while saw them leave.
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
                    self.forget_lapsed_of(&change.vm);
                    self.eras.note_record_revision(&change.vm, change.position.revision);
                    vms.insert(change.vm.clone(), vm.clone().unless_superseded(removed.as_ref()));
                }
                watch::ServerRecord::Gone | watch::ServerRecord::Unreadable => {
                    self.forget_lapsed_of(&change.vm);
                }
                watch::ServerRecord::Lapsed => {
                    if let Some(vm) = removed.filter(|_| keeps_lapsed) {
                        self.keep_lapsed(vm, LAPSED_KEPT_MS, now_ms);
                    }
                }
            }
            self.relay.note_change(change, now_ms);
        }
        self.follow_vms(position, vms.into_values().collect(), now_ms);
    }

    /// Forgets records that lapsed and did not come back in time.
    fn forget_lapsed(&mut self, now_ms: u64) {
        let Some(watching) = &mut self.watching else { return };
        let before = watching.lapsed_until_ms.len();
        watching.lapsed_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        if watching.lapsed_until_ms.len() == before {
            return;
        }
        let kept = &watching.lapsed_until_ms;
        self.lapsed.retain(|vm| kept.contains_key(&vm.vm));
        let vms = self.vms.values().cloned().collect();
        self.follow_vms(self.vms_index, vms, now_ms);
    }

    /// Keeps records that are missing from a list for [`LAPSED_KEPT_MS`] after the store became available again, which
    /// was at `available_ms` at the earliest.
    pub(super) fn keep_missing(&mut self, all: &watch::AllServers, available_ms: u64, now_ms: u64) {
        let kept_ms = (available_ms + LAPSED_KEPT_MS).saturating_sub(now_ms);
        if kept_ms == 0 {
            return;
        }
        let listed = all.listed.iter().map(|vm| &vm.vm);
        let present: collections::HashSet<&String> = listed.chain(&all.unreadable).collect();
        let missing = self.vms.values().filter(|vm| !present.contains(&vm.vm));
        let missing: Vec<servers::Vm> = missing.cloned().collect();
        for vm in missing {
            self.keep_lapsed(vm, kept_ms, now_ms);
        }
    }

    fn keep_lapsed(&mut self, vm: servers::Vm, kept_ms: u64, now_ms: u64) {
        let Some(watching) = &mut self.watching else { return };
        let notice = Notice::ItemLapsed { vm: vm.vm.clone(), kept_ms };
        self.actions.push(Action::Notice(notice));
        watching.lapsed_until_ms.insert(vm.vm.clone(), now_ms + kept_ms);
        self.lapsed.push(vm);
    }

    fn forget_lapsed_of(&mut self, vm: &str) {
        let Some(watching) = &mut self.watching else { return };
        if watching.lapsed_until_ms.remove(vm).is_some() {
            self.lapsed.retain(|lapsed| lapsed.vm != vm);
        }
    }

    /// Makes the calls that are due, and passes news on.
    pub(super) fn tick_watching(&mut self, now_ms: u64) {
        self.note_duty(now_ms);
        self.forget_lapsed(now_ms);
        let routers = self.members.live_count();
        let own = self.settings.incarnation;
        let rank = self.members.live().filter(|member| member.id < own).count() as u64;
        let Some(watching) = &mut self.watching else { return };
        let duty = watching.duty;
        let silent_ms = watching.heard_ms.map_or(u64::MAX, |at_ms| now_ms.saturating_sub(at_ms));
        let mut given_up = Vec::new();
        for topic in watch::Topic::ALL {
            let watched = watching.topic(topic);
            if let Some(call) = watched.give_up(now_ms) {
                given_up.push((topic, call));
            }
            let alone = silent_ms >= watched.overdue_ms();
            let fleet = watch::Fleet { routers, rank, alone };
            if let Some(call) = watched.due(duty, fleet, now_ms, &mut self.rng) {
                self.actions.push(Action::Watch(call));
            }
        }
        for (topic, call) in given_up {
            self.count_call(purpose(topic), CallOutcome::GivenUp);
            self.actions.push(Action::CancelWatch { topic, number: call.number });
            self.actions.push(Action::Notice(Notice::CallGivenUp { topic, call }));
        }
        self.announce(now_ms);
        self.push_news(now_ms);
    }

    /// Records in the store where peers reach this router, once: a router that starts and finds none of its
    /// seeds looks there. Who watches is known to all, so a few records are enough.
    fn announce(&mut self, now_ms: u64) {
        let settled = now_ms >= self.started_ms + SETTLE_MS;
        let lonely = self.members.live().next().is_none();
        let Some(watching) = &mut self.watching else { return };
        let watches = matches!(watching.duty, watch::Duty::EveryRouter | watch::Duty::Watcher);
        if watches && !watching.announced && (settled || lonely) {
            watching.announced = true;
            self.count_call(CallPurpose::Announce, CallOutcome::Sent);
            self.actions.push(Action::Announce);
        }
    }

    fn note_duty(&mut self, now_ms: u64) {
        let Some(watching) = &self.watching else { return };
        let joining = watching.duty == watch::Duty::Joining;
        if !joining && now_ms < watching.looked_ms + LOOK_EVERY_MS {
            return;
        }
        let duty = self.watch_duty_now(watching, now_ms);
        let Some(watching) = &mut self.watching else { return };
        watching.looked_ms = now_ms;
        if watching.duty != duty {
            watching.duty = duty;
            self.actions.push(Action::Notice(Notice::WatchDuty { duty }));
        }
    }

    fn watch_duty_now(&self, watching: &Watching, now_ms: u64) -> watch::Duty {
        let routers = self.members.live_count() as usize;
        if routers == 1 {
            let waits = now_ms < self.started_ms + JOIN_MS && !watching.knows_all();
            return match waits && self.members.asks_seeds() {
                true => watch::Duty::Joining,
                false => watch::Duty::EveryRouter,
            };
        }
        if now_ms < self.started_ms + SETTLE_MS {
            return watch::Duty::Listener;
        }
        if routers <= watch::ALL_WATCH_MAX {
            return watch::Duty::EveryRouter;
        }
        let live = self.members.live().filter(|record| record.health == members::Health::Alive);
        let watchers = watch::watchers(live.chain([self.members.own()]));
        match watchers.contains(&self.settings.incarnation) && self.lifecycle == Lifecycle::Ready {
            true => watch::Duty::Watcher,
            false => watch::Duty::Listener,
        }
    }

    fn count_watch(&mut self, topic: watch::Topic, outcome: &watch::Outcome) {
        let outcome = match outcome {
            watch::Outcome::Answered { news, .. } if news.any() => CallOutcome::News,
            watch::Outcome::Answered { .. } => CallOutcome::Empty,
            watch::Outcome::Forgotten => CallOutcome::Forgotten,
            watch::Outcome::Refused => CallOutcome::Refused,
            watch::Outcome::Silent => CallOutcome::Silent,
        };
        self.count_call(purpose(topic), outcome);
    }

    pub(super) fn count_call(&mut self, purpose: CallPurpose, outcome: CallOutcome) {
        *self.counters.store_calls.entry((purpose, outcome)).or_default() += 1;
    }
}

pub(super) fn purpose(topic: watch::Topic) -> CallPurpose {
    match topic {
        watch::Topic::Configuration => CallPurpose::WatchConfiguration,
        watch::Topic::Servers => CallPurpose::WatchServers,
    }
}

/// A record that went while the store was away may be back soon.
fn note_lapsed(change: &mut watch::ServerChange) {
    if change.record == watch::ServerRecord::Gone {
        change.record = watch::ServerRecord::Lapsed;
    }
}
