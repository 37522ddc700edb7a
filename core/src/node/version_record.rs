//! Maintains the store's record of the software versions at which streams may begin.
//!
//! A router begins a stream that its client may continue only at a version that it knows to be in the record. After a
//! loss of all routers the record then names each version that can have begun a stream. A record that is missing, of an
//! earlier era or of a fleet with routers that do not write it proves nothing: what a router has not seen itself is then
//! unknown for as long as streams may be continued.

use super::{Lifecycle, Node, Notice, platform, record_reads, watching};
use crate::{ids, ledger, message, routes, store, streams, version_record};
use rand::RngExt;
use std::collections;

/// Minimum interval between calls for the record while calls fail.
const RETRY_INTERVAL_MS: u64 = 250;
/// Rate of the calls of all routers while calls fail.
const RETRIES_PER_S: u64 = 200;
/// Interval of the check whether the record is to be changed, while neither it nor the list of servers changes.
const CHECK_INTERVAL_MS: u64 = 1_000;
/// The same interval until the record is complete.
const CHECK_INTERVAL_INCOMPLETE_MS: u64 = 100;
/// Time for which a router that is not the first in rank lets the first one write a version.
const FIRST_WRITER_MS: u64 = 30;
/// Rates of the reads and of the writes of all routers that are not the first in rank.
const READS_PER_S: u64 = 1_000;
const WRITES_PER_S: u64 = 100;
/// Time from the marking of a version as retiring to its removal. A router that uses the version has noticed the mark by
/// then, or has written the version again.
const RETIREMENT_MS: u64 = 30_000;
/// Age of the list of servers up to which versions that it lacks are removed.
const LIST_AGE_MAX_MS: u64 = 10_000;

/// A call to the store that this router has made for the record.
#[derive(Debug)]
enum Call {
    Read(record_reads::ReadNumber),
    Write(version_record::Record),
    /// Looks for a trace of earlier routers, as there is no record.
    ReadTrace,
    WriteMarker,
}

/// This router's copy of the record, and the state of the calls for it.
#[derive(Debug, Default)]
pub(super) struct VersionRecord {
    /// The record as it was last read, written or received.
    stored: Option<version_record::Record>,
    /// The record's index in the store, which a write expects.
    index: store::Position,
    /// Whether `index` is that of `stored`; not after a write whose result is not known.
    is_current: bool,
    /// When a reply of the store last contained the record, or showed that there is none.
    read_ms: Option<u64>,
    /// Whether the store had no record when this router first read it; `None` before that.
    was_missing: Option<bool>,
    /// How many of the traces of earlier routers this router has looked for since it found no record.
    traces_read: usize,
    /// Whether it found one of them.
    trace_found: bool,
    /// Whether the store has the marker of a fleet that writes the record.
    is_marked: bool,
    /// When the record last changed, as far as this router knows.
    changed_ms: u64,
    /// The call without a reply.
    call: Option<Call>,
    /// The earliest time of the next call.
    not_before_ms: u64,
    /// When this router writes a change that another one should have written.
    turn_ms: Option<u64>,
    /// Whether this router has read or written a complete record in the store's present era.
    was_complete: bool,
    /// Whether the record that was last read could be decoded.
    is_readable: bool,
    /// Whether a later build writes the record, in a format that this one does not know.
    is_of_later_format: bool,
    /// The index of the unreadable record that was reported.
    reported_index: Option<store::Position>,
    /// When gossip of a router that does not write the record was last received.
    older_build_ms: Option<u64>,
    /// The routers that write the record.
    writers: collections::BTreeSet<ids::Incarnation>,
    /// Whether the peer that gossip is sent to next lacks this router's copy.
    peer_lacks_record: bool,
    /// The services whose streams can be continued by clients, as configured.
    services: collections::BTreeSet<String>,
    /// When this router next checks whether the record is to be changed.
    checked_next_ms: u64,
}

impl VersionRecord {
    /// Sets the services whose streams can be continued by clients.
    pub(super) fn set_services(&mut self, routes: &[routes::Route]) {
        let resumable = routes.iter().filter(|route| route.resumable);
        let targets = resumable.flat_map(|route| &route.targets).filter(|target| target.weight > 0);
        self.services = targets.map(|target| target.service.clone()).collect();
        self.checked_next_ms = 0;
    }

    /// Has the next tick check whether the record is to be changed.
    pub(super) fn schedule_check(&mut self) {
        self.checked_next_ms = 0;
    }

    /// Time since the store last answered a read of the record, in milliseconds; `None` if it never did.
    pub(super) fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.read_ms.map(|read_ms| now_ms.saturating_sub(read_ms))
    }

    /// The versions of a service at which streams may begin, according to this router's copy of the record.
    pub(super) fn current_versions(&self, service: &str) -> impl Iterator<Item = &str> {
        let versions = self.stored.as_ref().and_then(|record| record.services.get(service));
        let current = versions
            .into_iter()
            .flatten()
            .filter(|(_, state)| **state == version_record::State::Current);
        current.map(|(version, _)| version.as_str())
    }

    pub(super) fn peer_lacks_record(&self) -> bool {
        self.peer_lacks_record
    }

    /// Whether a router that does not write the record may have begun a stream that can still be continued.
    fn older_build_was_seen(&self, now_ms: u64) -> bool {
        self.older_build_ms.is_some_and(|at_ms| now_ms < at_ms + streams::KEPT_MAX_MS)
    }

    fn record_older_build(&mut self, at_ms: u64, now_ms: u64) {
        if !self.older_build_was_seen(now_ms) {
            self.schedule_check();
        }
        self.older_build_ms = self.older_build_ms.max(Some(at_ms));
    }

    /// Whether a router sends what only routers that write the record send.
    pub(super) fn is_writer(&self, router: ids::Incarnation) -> bool {
        self.writers.contains(&router)
    }
}

impl Node {
    /// Whether this router has seen, or read, every version at which a stream can have begun that is still continued.
    pub(super) fn knows_recent_versions(&self, now_ms: u64) -> bool {
        self.has_seen_all_versions(now_ms) || self.version_record.was_complete
    }

    /// Whether streams can have begun only at versions that were in the record while this router ran.
    pub(super) fn record_names_all_versions(&self, now_ms: u64) -> bool {
        self.version_record.was_complete && !self.version_record.older_build_was_seen(now_ms)
    }

    fn has_seen_all_versions(&self, now_ms: u64) -> bool {
        // A restore may have lost versions at which streams began that other routers saw.
        let since_ms = self.started_ms.max(self.era_since_ms());
        self.is_among_first_routers() || now_ms >= since_ms + streams::KEPT_MAX_MS
    }

    /// Whether no router ran before this one and those that started with it, except such as have written the record since.
    /// A store in which a fleet ran has a ledger, as soon as a budget is used, and the marker of a fleet that writes the
    /// record. In a later era, a restore may have lost them.
    fn is_among_first_routers(&self) -> bool {
        let state = &self.version_record;
        let found_nothing =
            state.was_missing == Some(true) && state.traces_read == self.traces().len();
        let first_of_store = found_nothing || (self.had_no_ledger() && state.read_ms.is_some());
        let is_first_start = self.is_first_start && !self.detected_restore();
        is_first_start || (first_of_store && !state.trace_found && self.store_era() == 0)
    }

    /// Whether the ledger had never been written when this router first read it.
    fn had_no_ledger(&self) -> bool {
        let shard = self.first_shard_with_budgets();
        let ledger = shard.and_then(|shard| self.ledgers.get(shard as usize));
        ledger.is_some_and(|ledger| ledger.was_missing() == Some(true))
    }

    /// The first shard of the ledger that contains configured budgets.
    fn first_shard_with_budgets(&self) -> Option<u32> {
        let mut shards = 0..self.ledgers.len() as u32;
        shards.find(|shard| !self.grants.in_shard(*shard).is_empty())
    }

    /// Keys of the store that show that other routers ran before.
    fn traces(&self) -> Vec<String> {
        let ledger = self.first_shard_with_budgets().map(ledger::key);
        ledger.into_iter().chain([version_record::MARKER_KEY.to_owned()]).collect()
    }

    /// Applies the store's reply to a read of the record for streams of unknown origin. Returns whether it contained a
    /// record.
    pub(super) fn apply_record_reply(
        &mut self,
        reply: store::Reply,
        read: record_reads::ReadNumber,
        now_ms: u64,
    ) -> bool {
        let store::Reply::Found { index, value } = reply else { return false };
        if index >= self.version_record.index {
            self.handle_version_record(index, &value, Some(read), now_ms);
        }
        self.version_record.is_readable
    }

    /// This router's copy of the record.
    pub(super) fn version_record_copy(&self) -> Option<version_record::Copy> {
        let state = &self.version_record;
        let record = state.stored.clone()?;
        Some(version_record::Copy { position: state.index, record })
    }

    /// Applies a peer's copy of the record of this era, if it is later than this router's.
    pub(super) fn adopt_version_record(&mut self, copy: version_record::Copy, now_ms: u64) {
        if copy.position > self.version_record.index {
            self.version_record.index = copy.position;
            self.version_record.is_current = true;
            self.apply_version_record(copy.record, now_ms);
        }
    }

    /// Reads the record once streams may begin, and writes the changes that are due.
    pub(super) fn tick_version_record(&mut self, now_ms: u64) {
        let state = &self.version_record;
        let runs = matches!(self.lifecycle, Lifecycle::Starting | Lifecycle::Ready);
        let may_call = runs && state.call.is_none() && now_ms >= state.not_before_ms;
        if !may_call || state.services.is_empty() || state.is_of_later_format {
            return;
        }
        if !state.is_current {
            self.read_version_record(now_ms);
            return;
        }
        if state.was_missing == Some(true)
            && !state.trace_found
            && let Some(key) = self.traces().into_iter().nth(state.traces_read)
        {
            self.call_store(Call::ReadTrace, store::Request::Read { key }, now_ms);
            return;
        }
        if now_ms < state.checked_next_ms && state.turn_ms.is_none() {
            return;
        }
        let interval_ms = match state.was_complete {
            true => CHECK_INTERVAL_MS,
            false => CHECK_INTERVAL_INCOMPLETE_MS,
        };
        self.version_record.checked_next_ms = now_ms + interval_ms;
        let Some((record, urgent)) = self.due_version_record(now_ms) else {
            self.version_record.turn_ms = None;
            return;
        };
        if self.ranks_first(version_record::KEY) {
            self.write_version_record(record, now_ms);
        } else if urgent {
            self.write_in_turn(record, now_ms);
        }
    }

    /// Writes a change that the router which is first in rank has not written, after another read.
    fn write_in_turn(&mut self, record: version_record::Record, now_ms: u64) {
        let routers = self.members.live_count();
        let Some(turn_ms) = self.version_record.turn_ms else {
            let wait_ms = self.rng.random_range(0..=routers * 1_000 / READS_PER_S);
            self.version_record.turn_ms = Some(now_ms + FIRST_WRITER_MS + wait_ms);
            return;
        };
        if now_ms < turn_ms {
            return;
        }
        let is_read = self.version_record.read_ms.is_some_and(|read_ms| read_ms >= turn_ms);
        if is_read {
            self.version_record.turn_ms = None;
            self.write_version_record(record, now_ms);
            return;
        }
        self.read_version_record(now_ms);
        let wait_ms = self.rng.random_range(0..=routers * 1_000 / WRITES_PER_S);
        self.version_record.not_before_ms = now_ms + wait_ms;
    }

    /// The record as it should be, if that differs from the present one, and whether streams wait for it.
    fn due_version_record(&self, now_ms: u64) -> Option<(version_record::Record, bool)> {
        let state = &self.version_record;
        let era = self.store_era();
        let mut record = state.stored.clone().unwrap_or(version_record::Record::new(era));
        let mut urgent = false;
        let was_complete = record.complete && record.era == era;
        for service in state.services.iter().map(String::as_str) {
            for version in self.servers.recent_versions(service, now_ms) {
                if record.state(service, version).is_none() {
                    record.set(service, version, version_record::State::Current);
                }
            }
            for version in self.servers.listed_versions(service) {
                let present = state.stored.as_ref().filter(|stored| stored.era == era);
                let present = present.and_then(|stored| stored.state(service, version));
                urgent |= present != Some(version_record::State::Current);
                record.set(service, version, version_record::State::Current);
            }
        }
        let list_age_ms =
            self.watching.as_ref().and_then(|watching| watching.servers.age_ms(now_ms));
        if list_age_ms.is_none_or(|age_ms| age_ms <= LIST_AGE_MAX_MS) {
            let may_remove = now_ms >= state.changed_ms + RETIREMENT_MS;
            for (service, versions) in &mut record.services {
                let recent = self.servers.recent_versions(service, now_ms);
                versions.retain(|version, known| {
                    let gone = !recent.contains(&version.as_str());
                    let retired = *known == version_record::State::Retiring;
                    if gone {
                        *known = version_record::State::Retiring;
                    }
                    !(gone && retired && may_remove)
                });
            }
            record.services.retain(|_, versions| !versions.is_empty());
        }
        let older_build = state.older_build_was_seen(now_ms);
        let known = was_complete || state.was_complete || self.has_seen_all_versions(now_ms);
        record.complete = known && !older_build;
        record.era = era;
        let tells_more = record.complete && !was_complete && self.is_among_first_routers();
        let tells_less = was_complete && !record.complete;
        let differs = state.stored.as_ref() != Some(&record);
        (differs && !record.services.is_empty())
            .then_some((record, urgent || tells_more || tells_less))
    }

    fn read_version_record(&mut self, now_ms: u64) {
        let key = version_record::KEY.to_owned();
        let read = self.record_reads.begin();
        self.call_store(Call::Read(read), store::Request::Read { key }, now_ms);
    }

    fn write_version_record(&mut self, record: version_record::Record, now_ms: u64) {
        let state = &mut self.version_record;
        let expected_index = store::Position::new(record.era, state.index.revision);
        if expected_index.revision == 0 && !state.is_marked {
            let request = store::Request::Write {
                key: version_record::MARKER_KEY.to_owned(),
                expected_index,
                value: version_record::marker(self.settings.incarnation),
                sets_era_marker: false,
            };
            self.call_store(Call::WriteMarker, request, now_ms);
            return;
        }
        state.is_current = false;
        let request = store::Request::Write {
            key: version_record::KEY.to_owned(),
            expected_index,
            value: record.encode(),
            sets_era_marker: record.era > 0,
        };
        self.call_store(Call::Write(record), request, now_ms);
    }

    fn call_store(&mut self, kind: Call, request: store::Request, now_ms: u64) {
        self.version_record.call = Some(kind);
        self.version_record.not_before_ms = now_ms;
        let call = self.register_call(platform::Purpose::VersionRecord);
        self.send_store_call(call, request);
    }

    /// Handles the store's reply to a call for the record.
    pub(super) fn handle_version_record_reply(&mut self, reply: store::Reply, now_ms: u64) {
        let state = &mut self.version_record;
        let Some(call) = state.call.take() else { return };
        match (reply, call) {
            (store::Reply::Missing { .. }, Call::ReadTrace) => state.traces_read += 1,
            (store::Reply::Found { value, .. }, Call::ReadTrace) => {
                self.handle_trace(&value, now_ms);
            }
            (store::Reply::Undecodable { .. }, Call::ReadTrace) => state.trace_found = true,
            (store::Reply::Unknown, Call::ReadTrace | Call::WriteMarker) => {
                self.delay_retry(now_ms)
            }
            // A marker that is there already is as good as one that was written.
            (_, Call::WriteMarker) => state.is_marked = true,
            (store::Reply::WrittenAt { index }, Call::Write(written)) if index >= state.index => {
                state.index = index;
                state.is_current = true;
                self.apply_version_record(written, now_ms);
            }
            // The next read tells the index.
            (store::Reply::Written { .. }, Call::Write(written)) => {
                self.apply_version_record(written, now_ms);
            }
            (store::Reply::Found { index, value }, Call::Read(read)) if index >= state.index => {
                self.handle_version_record(index, &value, Some(read), now_ms);
            }
            (store::Reply::ConflictWith { index, value }, Call::Write(_))
                if index >= state.index =>
            {
                self.handle_version_record(index, &value, None, now_ms);
            }
            (store::Reply::Undecodable { index }, _) if index >= state.index => {
                self.handle_version_record(index, &[], None, now_ms);
            }
            (store::Reply::Missing { era }, Call::Read(_)) => {
                state.index = store::Position::new(era, 0);
                state.is_current = true;
                state.read_ms = Some(now_ms);
                state.was_missing.get_or_insert(true);
                self.apply_version_record(version_record::Record::new(era), now_ms);
            }
            // The next read tells what was written by this router or another one.
            _ => self.delay_retry(now_ms),
        }
        self.tick_version_record(now_ms);
    }

    /// Decides whether a trace is one of routers that ran before this one and those that started with it.
    fn handle_trace(&mut self, value: &[u8], now_ms: u64) {
        let is_marker = self.version_record.traces_read + 1 == self.traces().len();
        let is_of_this_fleet = match is_marker {
            true => version_record::marked_by(value).is_some_and(|router| {
                let mut live = self.members.live();
                router == self.settings.incarnation || live.any(|record| record.id == router)
            }),
            false => self.had_no_ledger(),
        };
        let may_be_of_this_fleet =
            is_marker && now_ms < self.started_ms + watching::MEMBERSHIP_SETTLE_MS;
        match (is_of_this_fleet, may_be_of_this_fleet) {
            (true, _) => self.version_record.traces_read += 1,
            (false, true) => self.delay_retry(now_ms),
            (false, false) => self.version_record.trace_found = true,
        }
    }

    /// Delays the next call after one that failed.
    fn delay_retry(&mut self, now_ms: u64) {
        let spread_ms = self.members.live_count() * 1_000 / RETRIES_PER_S;
        let wait_ms = RETRY_INTERVAL_MS + self.rng.random_range(0..=spread_ms);
        let state = &mut self.version_record;
        state.not_before_ms = state.not_before_ms.max(now_ms + wait_ms);
    }

    /// Handles a record in the store, which `read` has shown.
    fn handle_version_record(
        &mut self,
        index: store::Position,
        value: &[u8],
        read: Option<record_reads::ReadNumber>,
        now_ms: u64,
    ) {
        let state = &mut self.version_record;
        state.index = index;
        state.is_current = true;
        state.read_ms = Some(now_ms);
        state.was_missing.get_or_insert(false);
        let record = match version_record::Record::decode(value) {
            Ok(record) => {
                state.is_readable = true;
                self.record_reads.record_success(read);
                state.is_of_later_format = false;
                record
            }
            Err(error) => {
                state.is_readable = false;
                state.is_of_later_format =
                    matches!(error, version_record::DecodeError::LaterFormat { .. });
                if state.reported_index.replace(index) != Some(index) {
                    let (key, fault) = (version_record::KEY, error.to_string());
                    let notice = Notice::RecordUnreadable { key, fault };
                    self.actions.push(super::Action::Notice(notice));
                }
                version_record::Record::new(index.era)
            }
        };
        self.apply_version_record(record, now_ms);
    }

    /// Applies a record that was read, written or received from a peer.
    fn apply_version_record(&mut self, record: version_record::Record, now_ms: u64) {
        let era = self.store_era();
        let state = &mut self.version_record;
        let previous = state.stored.take();
        if previous.as_ref() != Some(&record) {
            state.changed_ms = now_ms;
        }
        state.checked_next_ms = 0;
        let lost_completeness = previous.as_ref().is_some_and(|previous| {
            previous.complete && !record.complete && previous.era == record.era
        });
        if lost_completeness {
            // Another router has seen one that does not write the record.
            state.record_older_build(now_ms, now_ms);
        }
        state.was_complete |= record.complete && record.era == era;
        for (service, version, known) in record.versions() {
            let before = previous.as_ref().and_then(|record| record.state(service, version));
            let is_used_again = (before, known)
                == (Some(version_record::State::Retiring), version_record::State::Current);
            if before.is_none() || is_used_again {
                self.servers.record_recent_version(service, version, now_ms);
            }
        }
        self.version_record.stored = Some(record);
        self.mark_recorded_versions();
        self.conclude_answered_searches(now_ms);
        for service in self.services_with_waiting_requests() {
            self.drain_queue(&service, now_ms);
        }
    }

    /// Has streams begin at the versions that the record names, and at no others.
    pub(super) fn mark_recorded_versions(&mut self) {
        let era = self.store_era();
        let state = &self.version_record;
        self.servers.set_recorded_versions(|service, version| {
            if state.is_of_later_format {
                return Some(true);
            }
            let record = state.stored.as_ref()?;
            let known = record.state(service, version)?;
            Some(record.era == era && known == version_record::State::Current)
        });
    }

    fn services_with_waiting_requests(&self) -> collections::BTreeSet<String> {
        self.waiting_servers.iter().map(|position| position.service.clone()).collect()
    }

    /// Forgets which versions are in the record, as a restored store may lack them.
    pub(super) fn reset_version_record(&mut self) {
        let state = &mut self.version_record;
        state.is_current = false;
        state.was_complete = false;
        state.stored = None;
        state.index = store::Position::START;
        state.turn_ms = None;
        state.checked_next_ms = 0;
        self.mark_recorded_versions();
    }

    /// What follows the fields of gossip that all builds know.
    pub(super) fn gossip_extension(&mut self, now_ms: u64) -> message::GossipExtension {
        let state = &mut self.version_record;
        let versions = state.stored.clone();
        let lacks_record = std::mem::take(&mut state.peer_lacks_record);
        let older_build_age_ms = state
            .older_build_ms
            .filter(|_| state.older_build_was_seen(now_ms))
            .map(|at_ms| now_ms.saturating_sub(at_ms));
        message::GossipExtension {
            versions_position: state.index,
            versions: versions.filter(|_| lacks_record),
            older_build_age_ms,
        }
    }

    /// Applies a peer's copy of the record if it is later than this router's.
    pub(super) fn merge_version_record(
        &mut self,
        from: ids::Incarnation,
        extension: Option<&message::GossipExtension>,
        now_ms: u64,
    ) {
        let older_build_age_ms = match extension {
            None => Some(0),
            Some(extension) => extension.older_build_age_ms,
        };
        if let Some(age_ms) = older_build_age_ms {
            self.version_record.record_older_build(now_ms.saturating_sub(age_ms), now_ms);
        }
        let Some(extension) = extension else { return };
        let position = extension.versions_position;
        let members = &self.members;
        let state = &mut self.version_record;
        if state.writers.insert(from) {
            state.writers.retain(|writer| *writer == from || members.find(*writer).is_some());
        }
        state.peer_lacks_record = position < state.index && state.stored.is_some();
        let is_later = position > state.index && position.era == self.store_era();
        let Some(record) = extension.versions.clone().filter(|_| is_later) else { return };
        self.adopt_version_record(version_record::Copy { position, record }, now_ms);
    }
}
