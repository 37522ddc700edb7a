//! Handles restores of the store: detects a new era, resets the subscriptions, and retains restrictions from the lost
//! history.

use super::{Action, CallOutcome, Node, Notice, watching};
use crate::{evacuation, ids, message, servers, store, watch};
use std::collections;

/// Time for routers to write their part of the ledger back to a restored store.
const LEDGER_RECOVERY_MS: u64 = 1_000;
/// Time for writers to repeat writes that a restore lost, and for the records of terminated writers to expire: a record
/// expires after three heartbeats of 1.2 s without a write.
const REWRITE_WINDOW_MS: u64 = 5_000;
/// How long evacuations of the lost history stay in effect, so that the operator can write them again.
const EVACUATIONS_TTL_MS: u64 = 2_000;
/// Retention period for removed records; it must exceed the greatest age of a backup, by default
/// [`crate::grants::DEFAULT_BACKUP_AGE_MS`].
const REMOVED_TTL_MS: u64 = 60_000;
/// The maximum number of removed records that are retained.
const REMOVED_MAX: usize = 4_096;
/// Limit for the whole fleet on calls per second that verify an era reported by peers.
const ERA_CALLS_PER_S: u64 = 400;
/// Interval between such calls of one router.
const ERA_CALL_INTERVAL_MS: u64 = 500;
/// The number of latest eras for which the time of the first answer is kept.
const ERAS_MAX: usize = 16;
/// How long an era that the store did not confirm is not verified again.
const REJECTED_ERA_TTL_MS: u64 = 10_000;

/// A later era that peers reported and the store has not confirmed.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedEra {
    era: u64,
    reported_ms: u64,
    /// When to call the store next.
    call_at_ms: u64,
}

/// A server whose record was removed.
#[derive(Clone, Copy, Debug)]
struct Removed {
    incarnation: ids::ServerIncarnation,
    /// The revision of the record; an upper bound if it is not known.
    revision: u64,
    at_ms: u64,
}

/// The store's era, and the state retained from the previous one.
#[derive(Debug, Default)]
pub(super) struct Eras {
    /// The latest era in an answer of the store to this router.
    current: Option<u64>,
    /// When the first answer of that era arrived.
    current_since_ms: u64,
    /// For each of the latest eras that has ended, when this router's list of servers last matched the store in it.
    matched_ms: collections::BTreeMap<u64, u64>,
    /// When this router last detected a restore of the store.
    restored_ms: Option<u64>,
    /// The earliest possible time of that restore.
    restored_after_ms: u64,
    /// The era that peers reported, until the store confirms or refutes it.
    unconfirmed: Option<UnconfirmedEra>,
    /// An era that the store did not confirm, and until when peers' reports of it or an earlier one are ignored.
    rejected: Option<(u64, u64)>,
    /// Servers whose records were removed, by VM.
    removed: collections::BTreeMap<String, Removed>,
    /// The revisions of the listed records, where known.
    revisions: collections::BTreeMap<String, u64>,
    /// Servers that a restored store lists although their records had been removed, and until when they get no
    /// requests.
    held_back_until_ms: collections::BTreeMap<String, u64>,
    /// Failure domains evacuated in the lost history, and until when they stay evacuated.
    evacuated: Option<(collections::BTreeSet<String>, u64)>,
}

impl Eras {
    /// Whether a server gets no requests because a restore brought back its removed record.
    pub(super) fn holds_back(&self, vm: &str) -> bool {
        self.held_back_until_ms.contains_key(vm)
    }

    /// Clears the removal of a server whose record was written again.
    pub(super) fn clear_removal(&mut self, vm: &str) {
        self.removed.remove(vm);
        self.held_back_until_ms.remove(vm);
    }

    /// Stores the revision of a server's record.
    pub(super) fn set_record_revision(&mut self, vm: &str, revision: u64) {
        self.revisions.insert(vm.to_owned(), revision);
    }

    /// Records the removal of a server's record; `listed` is the position of a list that contained it.
    pub(super) fn record_removal(
        &mut self,
        vm: &str,
        incarnation: ids::ServerIncarnation,
        listed: store::Position,
        now_ms: u64,
    ) {
        let revision = self.revisions.remove(vm).unwrap_or(listed.revision);
        if self.removed.len() >= REMOVED_MAX {
            let oldest = self.removed.iter().min_by_key(|(_, removed)| removed.at_ms);
            if let Some(oldest) = oldest.map(|(vm, _)| vm.clone()) {
                self.removed.remove(&oldest);
            }
        }
        self.removed.insert(vm.to_owned(), Removed { incarnation, revision, at_ms: now_ms });
    }

    /// Failure domains that stay evacuated although the restored store does not list them.
    pub(super) fn evacuated(&self) -> impl Iterator<Item = &String> {
        self.evacuated.iter().flat_map(|(domains, _)| domains)
    }
}

impl Node {
    /// The store's era as known to this router: from the store's answers or, before the first one, from peers.
    pub fn store_era(&self) -> u64 {
        self.eras.current.unwrap_or(self.vms_index.era)
    }

    /// The era that an answer of the store named; `None` before any answer.
    pub(super) fn known_store_era(&self) -> Option<u64> {
        self.eras.current
    }

    /// Processes the era of an answer of the store. A lower era than the current one belongs to a late answer and is
    /// ignored.
    pub fn handle_store_era(&mut self, era: u64, now_ms: u64) {
        let previous = self.eras.current;
        if previous.is_some_and(|current| era <= current) {
            return;
        }
        if self.store_era() != era {
            self.reset_version_record();
        }
        self.eras.current = Some(era);
        self.eras.current_since_ms = now_ms;
        self.eras.unconfirmed = self.eras.unconfirmed.filter(|unconfirmed| unconfirmed.era > era);
        let latest_copy = self.latest_copy();
        if latest_copy != store::Position::START && latest_copy.era < era {
            self.record_matched(latest_copy.era, now_ms);
        }
        if previous.is_none() && latest_copy.era > era {
            // The copies come from peers that reported an era which the store has not reached.
            self.reset_copies(now_ms);
        } else if previous.is_some()
            || (latest_copy != store::Position::START && latest_copy.era < era)
        {
            let previous = previous.unwrap_or(latest_copy.era);
            self.actions.push(Action::Notice(Notice::StoreRestored { era, previous }));
            self.counters.store_restores += 1;
            let before_ms = self
                .watching
                .as_ref()
                .and_then(|watching| watching.servers.last_current_or_failed_ms());
            self.eras.restored_after_ms = before_ms.unwrap_or(now_ms);
            self.restart_polls(now_ms);
            self.quarantine.handle_store_restored(now_ms, &mut self.rng);
            self.eras.restored_ms = Some(now_ms);
            let grants = &self.grants;
            self.ledgers.iter_mut().for_each(|ledger| ledger.reset_after_restore(era, grants));
            self.grants.await_recovery();
            self.relay.push_due = true;
        }
    }

    /// Whether data of this era may be applied. A router that has had no answer of the store accepts any era from
    /// peers.
    pub(super) fn accepts_era(&self, era: u64) -> bool {
        self.eras.current.is_none_or(|current| era <= current)
    }

    /// The latest position among this router's copies of the store's topics.
    fn latest_copy(&self) -> store::Position {
        let watching = self.watching.as_ref();
        let configuration =
            watching.map(|watching| watching.configuration.position()).unwrap_or_default();
        self.vms_index.max(configuration).max(self.evacuations.position)
    }

    /// Resets the positions of all copies, so that everything is read again.
    fn reset_copies(&mut self, now_ms: u64) {
        self.vms_index = store::Position::START;
        self.evacuations.position = store::Position::START;
        self.relay.reset_changes(store::Position::START);
        if let Some(watching) = &mut self.watching {
            watch::Topic::ALL.iter().for_each(|topic| watching.topic(*topic).discard_copy());
        }
        self.restart_polls(now_ms);
    }

    /// Cancels the polls of the previous era, so that everything is read again.
    fn restart_polls(&mut self, now_ms: u64) {
        let Some(watching) = &mut self.watching else { return };
        watching.schedule_announcement();
        for topic in watch::Topic::ALL {
            for number in watching.topic(topic).reset_after_restore(now_ms) {
                self.actions.push(Action::CancelPoll { topic, number });
            }
        }
    }

    /// Handles a peer's digest with a later era than the store's last answer: schedules a call to the store and keeps
    /// all copies until it answers. Servers that are leaving according to the digest get no new requests.
    pub(super) fn handle_unconfirmed_era(
        &mut self,
        from: ids::Incarnation,
        digest: &message::Digest,
        now_ms: u64,
    ) {
        for change in &digest.changes {
            let watch::ServerRecord::Listed(vm) = &change.record else { continue };
            let is_leaving = vm.state == servers::VmState::Leaving;
            if is_leaving
                && self.vms.get(&vm.vm).is_some_and(|listed| listed.incarnation == vm.incarnation)
            {
                let source = crate::leaving_servers::Source::Record;
                self.record_leaving(&vm.vm, vm.incarnation, source, Some(from));
            }
        }
        let era = digest.era.max(digest.servers.position.era);
        let rejected = self.eras.rejected.filter(|(_, until_ms)| now_ms < *until_ms);
        let is_scheduled = self.eras.unconfirmed.is_some_and(|unconfirmed| era <= unconfirmed.era);
        if is_scheduled || rejected.is_some_and(|(rejected, _)| era <= rejected) {
            return;
        }
        let window_ms = self.members.live_count() * 1_000 / ERA_CALLS_PER_S;
        let call_at_ms = now_ms + rand::RngExt::random_range(&mut self.rng, 0..=window_ms);
        self.eras.unconfirmed = Some(UnconfirmedEra { era, reported_ms: now_ms, call_at_ms });
    }

    /// Rejects the unconfirmed era if the store answered with an earlier one to a call sent after peers reported it.
    pub(super) fn check_unconfirmed_era(&mut self, era: u64, sent_ms: u64, now_ms: u64) {
        let Some(unconfirmed) = self.eras.unconfirmed else { return };
        if era < unconfirmed.era && sent_ms > unconfirmed.reported_ms {
            self.eras.unconfirmed = None;
            self.eras.rejected = Some((unconfirmed.era, now_ms + REJECTED_ERA_TTL_MS));
            self.actions.push(Action::Notice(Notice::EraUnconfirmed { era: unconfirmed.era }));
        }
    }

    /// Calls the store when the verification of an unconfirmed era is due.
    pub(super) fn tick_eras(&mut self, now_ms: u64) {
        self.release_held_back(now_ms);
        let Some(unconfirmed) = &mut self.eras.unconfirmed else { return };
        if now_ms < unconfirmed.call_at_ms {
            return;
        }
        unconfirmed.call_at_ms = now_ms + ERA_CALL_INTERVAL_MS;
        let Some(watching) = &mut self.watching else { return };
        if let Some(call) = watching.servers.start_era_check(now_ms) {
            self.actions.push(Action::Poll(call));
        }
    }

    /// Prepares for replacing the copy by a list of a later era: servers removed in the lost history stay unused until
    /// their writers had time to write again, and records missing from the list are kept for a while.
    pub(super) fn prepare_era_change(&mut self, all: &watch::AllServers, now_ms: u64) {
        // The restore may have happened long before this router detected it.
        self.retain_missing(all, self.eras.restored_after_ms, now_ms);
        let until_ms = now_ms + REWRITE_WINDOW_MS;
        let eras = &mut self.eras;
        eras.removed.retain(|_, removed| now_ms < removed.at_ms + REMOVED_TTL_MS);
        for vm in &all.listed {
            let revision = all.revisions.get(&vm.vm).copied().unwrap_or(0);
            let is_unchanged = |removed: &Removed| {
                vm.incarnation <= removed.incarnation && revision <= removed.revision
            };
            if eras.removed.get(&vm.vm).is_some_and(is_unchanged) {
                eras.held_back_until_ms.insert(vm.vm.clone(), until_ms);
                let notice =
                    Notice::ServerHeldBack { vm: vm.vm.clone(), for_ms: REWRITE_WINDOW_MS };
                self.actions.push(Action::Notice(notice));
            }
        }
    }

    /// Ends expired restrictions of the lost history: held-back servers that are still listed are used again.
    fn release_held_back(&mut self, now_ms: u64) {
        let eras = &mut self.eras;
        if eras.evacuated.take_if(|(_, until_ms)| now_ms >= *until_ms).is_some() {
            self.update_evacuated_domains(now_ms);
        }
        let eras = &mut self.eras;
        let held_back = eras.held_back_until_ms.len();
        eras.held_back_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        if eras.held_back_until_ms.len() < held_back {
            let vms = self.vms.values().cloned().collect();
            self.replace_vms(self.vms_index, vms, now_ms);
        }
    }

    /// Retains the evacuations of the lost history before `update` of a later era replaces them, so that the operator
    /// has time to write them again.
    pub(super) fn retain_evacuations(
        &mut self,
        position: store::Position,
        update: &evacuation::Update,
        now_ms: u64,
    ) {
        let current = &self.evacuations;
        let restored =
            current.position != store::Position::START && position.era > current.position.era;
        match update {
            evacuation::Update::All(_) if restored => {
                let mut domains = current.domains.clone();
                domains.extend(
                    self.eras.evacuated.take().into_iter().flat_map(|(domains, _)| domains),
                );
                self.eras.evacuated = Some((domains, now_ms + EVACUATIONS_TTL_MS));
            }
            evacuation::Update::All(_) => {}
            // The operator wrote these domains after the restore.
            evacuation::Update::Changes(changes) => {
                if let Some((domains, _)) = &mut self.eras.evacuated {
                    changes.iter().for_each(|change| _ = domains.remove(&change.domain));
                }
            }
        }
    }

    /// Returns whether an answer of the store is of an earlier era than the current one, and counts it if so.
    pub(super) fn reject_earlier_era(&mut self, topic: watch::Topic, era: u64) -> bool {
        let earlier = self.eras.current.is_some_and(|current| era < current);
        if earlier {
            self.count_call(watching::poll_purpose(topic), CallOutcome::EarlierEra);
        }
        earlier
    }

    /// The time before which nothing is drawn from the ledger.
    pub(super) fn draw_not_before_ms(&self) -> u64 {
        self.eras.restored_ms.map_or(0, |at_ms| at_ms + LEDGER_RECOVERY_MS)
    }

    /// Whether other routers had time to write their part of the ledger back to a restored store.
    pub(super) fn recovery_window_over(&self, now_ms: u64) -> bool {
        now_ms >= self.eras.restored_ms.unwrap_or(self.started_ms) + LEDGER_RECOVERY_MS
    }

    /// When this router learned of the store's present era; 0 before the first.
    pub(super) fn era_since_ms(&self) -> u64 {
        self.eras.current_since_ms
    }

    /// Whether the store was restored while this router ran.
    pub(super) fn detected_restore(&self) -> bool {
        self.eras.restored_ms.is_some()
    }

    /// How long this router had run, in milliseconds, when it last knew the store to be in an earlier era than `era`; 0 if
    /// it never did. A router that did not reach the store may hear of an era long after it began.
    pub(super) fn ran_before_era_ms(&self, era: u64) -> u64 {
        let matched_ms = self.eras.matched_ms.range(..era).next_back().map(|(_, at_ms)| *at_ms);
        let read_ms = self.ledgers.iter().filter_map(|ledger| ledger.read_before_ms(era)).max();
        matched_ms.max(read_ms).unwrap_or(0).saturating_sub(self.started_ms)
    }

    /// Records when the list of servers last matched the store in `era`, which has ended.
    fn record_matched(&mut self, era: u64, now_ms: u64) {
        let age_ms = self.watching.as_ref().and_then(|watching| watching.servers.age_ms(now_ms));
        let Some(age_ms) = age_ms else { return };
        self.eras.matched_ms.insert(era, now_ms.saturating_sub(age_ms));
        if self.eras.matched_ms.len() > ERAS_MAX {
            self.eras.matched_ms.pop_first();
        }
    }

    /// Milliseconds since the first answer of the store's era; `None` before any answer.
    pub(super) fn era_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.eras.current.map(|_| now_ms.saturating_sub(self.eras.current_since_ms))
    }
}
