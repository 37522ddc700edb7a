//! Quarantine of requests that crash the servers that run them.
//!
//! Each router records the requests during which it observed server crashes and sends them to the
//! other routers. Crashes are counted by server incarnation, so that the views of routers merge as
//! sets: in any order, with duplicates and delays, without a coordinator. A request with three
//! crashes is quarantined, that is, withheld from servers for a while; a run of it that succeeds
//! anywhere voids the earlier crashes. Times are sent as ages, because routers share no clock.
//!
//! The same holds for the parts of prompts that requests have in common. All parts of a request are
//! under each of its crashes, so a part is quarantined only for crashes that no other part or
//! request explains better, and a part with which requests have succeeded needs more of them.

mod entry;
mod record;
mod record_sync;
mod runs;
mod sends;
mod sound_parts;

pub use record::{Error, KEY, Record};
pub use record_sync::{RecordSync, Reply};
pub use runs::{Runs, ServerInstance};
pub use sends::{SendId, SendReport};

use crate::{ids, rendezvous};
use entry::Entry;
use serde::{Deserialize, Serialize};
use std::{cmp, collections};

/// Number of crashes after which a request is quarantined. A request that merely runs beside one
/// that crashes servers rarely meets three crashes without a successful run in between.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Number of crashes after which a prompt part is quarantined. More than for a request, because a
/// part runs more often while others crash its servers.
pub const CRASHES_TO_QUARANTINE_PART: usize = 4;
/// The same if requests with the part have succeeded before. While all servers of a service are down,
/// no run of a part that all requests share can succeed between crashes that it does not cause.
pub const CRASHES_TO_QUARANTINE_PROVEN_PART: usize = 5;
/// Minimum number of crashes that quarantine a request or prompt part after a loss of all routers, if
/// it was not quarantined before.
const CRASHES_AFTER_LOSS_MIN: usize = 2;
/// Number of crashes after which a router itself does not retry a request, because the next crash
/// would be the last one before the quarantine.
pub const CRASHES_TO_STOP_RETRIES: usize = 2;
/// Duration of the quarantine after the last crash. Longer than clients repeat a request, and short
/// enough that a request quarantined by mistake is tried again the same day.
pub const QUARANTINE_MS: i64 = 600_000;
/// Duration of the quarantine of a prompt part with which requests have succeeded before, doubled with
/// each further crash. Short, because all requests of a caller may share such a part.
const PROVEN_PART_QUARANTINE_MS: i64 = 10_000;
/// Time for which a crash counts. Longer than the quarantine, so that a single further crash starts
/// the next one.
const CRASH_TTL_MS: i64 = 3_600_000;
/// Minimum distance between crashes that are counted separately. Before updates on the first crash
/// have reached all routers, a successful run of the same request elsewhere goes unnoticed.
const CRASH_DISTANCE_MIN_MS: i64 = 500;
/// Maximum number of crashes stored per request; more of them within [`CRASH_DISTANCE_MIN_MS`] carry no
/// information.
const CRASHES_STORED_MAX: usize = 8;
/// Crashes of a VM within this time are one crash that several routers observed.
const SAME_CRASH_WINDOW_MS: u64 = 1_000;
/// Maximum number of stored requests and prompt parts, at about 200 bytes each.
const ENTRIES_MAX: usize = 2_048;
/// Maximum number of reports in one datagram, at about 65 bytes each, and of sends, at about 45.
const REPORTS_MAX: usize = 16;

/// The backend server that crashed in a [`Crash`], as a hash. By it, routers count a crash only once that several of
/// them observed. The variants distinguish servers that report their start from those that do not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Server {
    /// One incarnation of a server, which crashes only once.
    #[serde(rename = "Life")]
    Incarnation(u64),
    /// A VM whose server does not report its start; its incarnations are distinguished by the times
    /// of their crashes.
    Vm(u64),
}

impl Server {
    /// Creates the identity of an incarnation of a VM's server.
    pub fn new(vm: &str, incarnation: ids::ServerIncarnation) -> Self {
        let vm = rendezvous::digest(vm);
        match incarnation {
            ids::ServerIncarnation::UNKNOWN => Self::Vm(vm),
            ids::ServerIncarnation(incarnation) => {
                Self::Incarnation(rendezvous::mix(vm ^ rendezvous::mix(incarnation)))
            }
        }
    }

    /// Whether two crashes that are `apart_ms` apart are the same one.
    fn same_crash(self, other: Self, apart_ms: u64) -> bool {
        self == other && (matches!(self, Self::Incarnation(_)) || apart_ms < SAME_CRASH_WINDOW_MS)
    }
}

/// A crash of a backend server while it ran a request. Crashes are counted for each request, and a request with too
/// many of them is quarantined: no router sends it to a server for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Identity of the server that crashed.
    pub server: Server,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// The backend server crashes that count against one request, and the time of its last successful run or release, as a
/// router sends them to other routers. The receiver merges them into its own [`Table`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Fingerprint of the request.
    pub request: ids::Fingerprint,
    /// Latest crashes that count against the request.
    pub crashes: Vec<Crash>,
    /// Time since a run succeeded or an operator released the request, in milliseconds: earlier
    /// crashes do not count.
    pub cleared_age_ms: Option<u64>,
}

/// The part of a gossip datagram that reports requests that crash backend servers, with a hash of the sender's state by
/// which the receiver detects that their states differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Updates {
    /// Hash over all requests with more than one crash; equal if two routers have the same state.
    pub summary: u64,
    /// A part of the sender's reports.
    pub reports: Vec<Report>,
    /// Recent sends of the requests that the reports name. They follow the other fields of a datagram; empty from a build
    /// that does not send them.
    #[serde(skip)]
    pub sends: Vec<SendReport>,
}

impl Updates {
    /// Increases all ages by the time the datagram was queued, in milliseconds.
    pub fn add_age_ms(&mut self, queued_ms: u64) {
        for report in &mut self.reports {
            for crash in &mut report.crashes {
                crash.age_ms = crash.age_ms.saturating_add(queued_ms);
            }
            let cleared_age_ms = report.cleared_age_ms;
            report.cleared_age_ms = cleared_age_ms.map(|age_ms| age_ms.saturating_add(queued_ms));
        }
        for send in &mut self.sends {
            send.age_ms = send.age_ms.saturating_add(queued_ms);
        }
    }
}

/// How an observed crash, a successful run, an operator's release or a report from another router changed the server
/// crashes that count against a request, and thereby whether the request is quarantined, that is, not sent to any
/// server for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The crashes that count against the request are the same as before.
    None,
    /// One more crash counts against the request.
    Suspected {
        /// Number of crashes that count now.
        crashes: usize,
    },
    /// The quarantine of the request starts or is extended.
    Quarantined,
    /// Crashes that counted against the request no longer do.
    Cleared {
        /// Number of crashes that counted.
        crashes: usize,
    },
}

/// What identifies one request in a [`Table`] of backend server crashes: the fingerprints of the request and of the parts
/// of its prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Subjects<'a> {
    /// Fingerprint of the request; `None` if no request like it is suspected.
    pub request: Option<ids::Fingerprint>,
    /// Fingerprints of the parts that its prompt may share with other requests.
    pub parts: &'a [ids::Fingerprint],
}

impl<'a> Subjects<'a> {
    /// The fingerprints of the request and of its parts.
    pub fn iter(self) -> impl Iterator<Item = ids::Fingerprint> + use<'a> {
        self.request.into_iter().chain(self.parts.iter().copied())
    }

    fn contains(self, subject: &ids::Fingerprint) -> bool {
        self.request.as_ref() == Some(subject) || self.parts.contains(subject)
    }
}

/// How the record in the store lists a request or prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stored {
    /// The next crashes may put it into quarantine. The record has so few of its crashes that it
    /// takes at least two more after a loss of all routers, because the news that a run succeeded may
    /// not have reached the store.
    Suspected,
    /// It is quarantined.
    Quarantined,
}

/// Which entries explain the crashes of a prompt part.
#[derive(Clone, Copy)]
enum Explanation<'a> {
    /// Those with further crashes.
    MoreCrashes,
    /// Those that are not subjects of this request, with the same crashes at least. If two parts
    /// have the same crashes, a request with only one of them shows which of the two causes them.
    OutsideOf(Subjects<'a>),
}

/// The requests and prompt parts during which backend servers crashed, as observed by this router or reported by
/// others, with their crashes. It determines which of them are quarantined (not sent to a server for a while) and what
/// is sent to other routers.
#[derive(Debug, Default)]
pub struct Table {
    entries: collections::HashMap<ids::Fingerprint, Entry>,
    sound_parts: sound_parts::SoundParts,
    revision: u64,
    /// Position at which the next reply to a peer with a different state starts.
    reply_position: usize,
}

impl Table {
    /// Records a crash that this router observed.
    pub fn record_crash(
        &mut self,
        request: ids::Fingerprint,
        server: Server,
        at_ms: u64,
    ) -> Change {
        let entry = self.entry_mut(request);
        let added = entry.add(server, signed(at_ms));
        entry.observed = true;
        if added {
            entry.enqueue();
        }
        let crashes = entry.counted_max;
        self.revision += 1;
        match (added, self.quarantined_until_ms(&request)) {
            (false, _) => Change::None,
            (true, None) => Change::Suspected { crashes },
            (true, Some(_)) => Change::Quarantined,
        }
    }

    /// Records that a run of a request with a prompt part succeeded; voids the recorded crashes of
    /// the part, if there are any.
    pub fn record_sound_part(&mut self, part: ids::Fingerprint, now_ms: u64) -> Change {
        self.sound_parts.record_success(part, now_ms);
        self.clear(part, now_ms)
    }

    /// Voids the recorded crashes of a request, if there are any.
    pub fn clear(&mut self, request: ids::Fingerprint, now_ms: u64) -> Change {
        let Some(entry) = self.entries.get_mut(&request) else { return Change::None };
        if entry.crashes.is_empty() {
            return Change::None;
        }
        // The crashes before the clearing determine the number of transmissions, because other
        // routers may have received more crashes.
        entry.enqueue();
        let crashes = entry.clear(signed(now_ms));
        self.revision += 1;
        Change::Cleared { crashes }
    }

    /// Merges the report of a peer; returns the resulting change.
    pub fn merge_report(&mut self, report: &Report, now_ms: u64) -> Change {
        let at_ms = |age_ms: u64| signed(now_ms).saturating_sub(signed(age_ms));
        let counts = |at_ms: i64| at_ms + CRASH_TTL_MS > signed(now_ms);
        let crashes = report.crashes.iter().take(CRASHES_STORED_MAX);
        let crashes: Vec<(Server, i64)> = crashes
            .map(|crash| (crash.server, at_ms(crash.age_ms)))
            .filter(|(_, at_ms)| counts(*at_ms))
            .collect();
        let cleared_ms = report.cleared_age_ms.map(at_ms).filter(|at_ms| counts(*at_ms));
        if crashes.is_empty() && cleared_ms.is_none() {
            return Change::None;
        }
        let was_quarantined = self.quarantined_until_ms(&report.request).is_some();
        let entry = self.entry_mut(report.request);
        let voids = |cleared_ms: i64| crashes.iter().any(|(_, at_ms)| *at_ms <= cleared_ms);
        let sender_lacks_clearing = entry.cleared_ms.is_some_and(voids);
        let removed = cleared_ms.map_or(0, |cleared_ms| entry.clear(cleared_ms));
        let added = crashes.iter().filter(|(server, at_ms)| entry.add(*server, *at_ms)).count();
        if added > 0 || removed > 0 || sender_lacks_clearing {
            entry.enqueue();
        }
        let crashes = entry.counted_max;
        self.revision += 1;
        match (added, removed, self.quarantined_until_ms(&report.request)) {
            // Without a new crash if crashes now appear as separate.
            (0, _, Some(_)) if !was_quarantined => Change::Quarantined,
            (0, 0, _) => Change::None,
            (0, crashes, _) => Change::Cleared { crashes },
            (_, _, None) => Change::Suspected { crashes },
            _ => Change::Quarantined,
        }
    }

    /// Whether this router observed a crash during a request, rather than learning of it.
    pub fn is_observed(&self, request: &ids::Fingerprint) -> bool {
        self.entries.get(request).is_some_and(|entry| entry.observed)
    }

    /// Number of crashes that count against a request.
    pub fn crashes(&self, request: &ids::Fingerprint) -> usize {
        self.entries.get(request).map_or(0, |entry| entry.counted_max)
    }

    /// Whether a run of a request, or of one with a prompt part, succeeded before the crashes that
    /// count against it.
    pub fn is_proven(&self, subject: &ids::Fingerprint) -> bool {
        self.entries.get(subject).is_some_and(Entry::is_proven)
    }

    /// Number of servers that crashed during a request since its last successful run, including
    /// crashes that are not counted separately.
    pub fn servers_crashed(&self, request: &ids::Fingerprint) -> usize {
        self.entries.get(request).map_or(0, |entry| entry.crashes.len())
    }

    /// Remaining time of the quarantine of a request or prompt part in milliseconds; `None` if it is
    /// not quarantined.
    pub fn quarantined_ms(&self, subject: &ids::Fingerprint, now_ms: u64) -> Option<u64> {
        left_ms(self.quarantined_until_ms(subject)?, now_ms)
    }

    /// The part of a request's prompt because of which the request is not sent to servers, and the
    /// remaining time in milliseconds; `None` if there is none.
    pub fn quarantined_part(
        &self,
        request: Subjects<'_>,
        now_ms: u64,
    ) -> Option<(ids::Fingerprint, u64)> {
        let explanation = Explanation::OutsideOf(request);
        let left_ms = |part: &ids::Fingerprint| {
            left_ms(self.part_quarantined_until_ms(part, explanation)?, now_ms)
        };
        let quarantined = request.parts.iter().filter_map(|part| Some((*part, left_ms(part)?)));
        quarantined.max_by_key(|(_, left_ms)| *left_ms)
    }

    fn quarantined_until_ms(&self, subject: &ids::Fingerprint) -> Option<i64> {
        if subject.is_part() {
            return self.part_quarantined_until_ms(subject, Explanation::MoreCrashes);
        }
        let entry = self.entries.get(subject)?;
        let enough = entry.counted_max >= entry.crashes_to_quarantine(subject);
        enough.then_some(entry.latest_crash_ms()? + entry.quarantine_duration_ms(subject))
    }

    fn part_quarantined_until_ms(
        &self,
        part: &ids::Fingerprint,
        explanation: Explanation<'_>,
    ) -> Option<i64> {
        let entry = self.entries.get(part).filter(|entry| entry.counted_max > 0)?;
        let until_ms = entry.latest_crash_ms()? + entry.quarantine_duration_ms(part);
        let needed = entry.crashes_to_quarantine(part);
        let enough = entry.counted_max >= needed
            && self.unexplained_crashes(part, entry, explanation) >= needed;
        (enough || self.is_quarantined_for_others(part, entry)).then_some(until_ms)
    }

    /// Number of crashes under a part that no other entry explains. A part or request that has never
    /// succeeded explains those of a part that has. It explains those of another one that has not
    /// only if it is under all of them.
    fn unexplained_crashes(
        &self,
        part: &ids::Fingerprint,
        entry: &Entry,
        explanation: Explanation<'_>,
    ) -> usize {
        let candidates = self.entries.iter().filter(|(other, candidate)| {
            let suspect = candidate.urgent() && !candidate.is_proven() && *other != part;
            let covers = entry.is_proven() || candidate.contains_all(entry);
            suspect && covers
        });
        let explaining = candidates.filter(|(other, candidate)| match explanation {
            Explanation::MoreCrashes => {
                entry.is_proven() || candidate.crashes.len() > entry.crashes.len()
            }
            Explanation::OutsideOf(request) => !request.contains(other),
        });
        let explaining: Vec<&Entry> = explaining.map(|(_, candidate)| candidate).collect();
        entry.unexplained(|crash| explaining.iter().any(|other| other.contains(crash)))
    }

    /// Whether a part that has never succeeded for this caller is quarantined for another one: then
    /// it causes the crashes of servers, whoever sends it.
    fn is_quarantined_for_others(&self, part: &ids::Fingerprint, entry: &Entry) -> bool {
        if entry.is_proven() {
            return false;
        }
        let mut others = self.entries.iter().filter(|(other, other_entry)| {
            other.head == part.head
                && *other != part
                && other.is_part()
                && !other_entry.is_proven()
                && other_entry.counted_max >= CRASHES_TO_QUARANTINE_PART
        });
        others.any(|(other, other_entry)| {
            let explanation = Explanation::MoreCrashes;
            self.unexplained_crashes(other, other_entry, explanation) >= CRASHES_TO_QUARANTINE_PART
        })
    }

    /// Remaining time for which a request is delayed in milliseconds, so that updates on its last
    /// crash reach all routers and runs elsewhere can succeed, and so that those that arrive while
    /// one of them runs do not crash several servers at once; `None` if the request is not delayed.
    pub fn suspended_ms(&self, request: &ids::Fingerprint, now_ms: u64) -> Option<u64> {
        self.crash_pause_ms(request, now_ms).max(self.send_pause_ms(request, now_ms))
    }

    /// Remaining time for which a request is delayed after its last crash in milliseconds; `None` if
    /// it is not.
    pub fn crash_pause_ms(&self, request: &ids::Fingerprint, now_ms: u64) -> Option<u64> {
        // A request that has succeeded is not delayed, because its next successful runs are needed to
        // void the next crash.
        let entry = self.entries.get(request).filter(|entry| !entry.is_proven())?;
        left_ms(entry.latest_crash_ms()? + CRASH_DISTANCE_MIN_MS, now_ms)
    }

    /// Quarantined requests and prompt parts with the remaining time in milliseconds.
    pub fn quarantined(&self, now_ms: u64) -> Vec<(ids::Fingerprint, u64)> {
        let requests = self.entries.keys();
        let with_left_ms =
            |request: &ids::Fingerprint| Some((*request, self.quarantined_ms(request, now_ms)?));
        let mut quarantined: Vec<_> = requests.filter_map(with_left_ms).collect();
        quarantined.sort_unstable();
        quarantined
    }

    /// Number of requests and prompt parts with a crash that counts against them.
    pub fn suspected(&self) -> usize {
        self.entries.values().filter(|entry| !entry.crashes.is_empty()).count()
    }

    /// Fingerprint heads of the requests with a crash that counts against them.
    pub fn suspected_heads(&self) -> collections::HashSet<u64> {
        let suspected = self.entries.iter().filter(|(_, entry)| !entry.crashes.is_empty());
        let requests = suspected.filter(|(request, _)| !request.is_part());
        requests.map(|(request, _)| request.head).collect()
    }

    /// Counter that increases with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Hash over all requests with more than one crash; equal if two routers have the same state.
    pub fn summary(&self) -> u64 {
        let urgent = self.entries.iter().filter(|(_, entry)| entry.urgent());
        urgent.fold(0, |summary, (request, entry)| {
            let [.., a, b, c, d, e, f, g, h] = request.whole;
            let low = u64::from_be_bytes([a, b, c, d, e, f, g, h]);
            let mixed = rendezvous::mix(low) ^ entry.counted as u64;
            summary ^ rendezvous::mix(request.head ^ mixed)
        })
    }

    /// Urgency of the queued updates; `None` if there are none.
    pub fn urgency(&self) -> Option<Urgency> {
        let queued = self.entries.values().filter(|entry| entry.sends_left > 0);
        let at_once = |entry: &Entry| entry.urgent() || entry.sends.next_ms().is_some();
        match queued.map(at_once).max()? {
            true => Some(Urgency::AtOnce),
            false => Some(Urgency::Soon),
        }
    }

    /// Creates the updates for the next datagram: queued ones, those with the most crashes first,
    /// and for a peer with a different state some of the others.
    pub fn next_updates(&mut self, peer_differs: bool, now_ms: u64) -> Updates {
        let queued = self.entries.iter().filter(|(_, entry)| entry.sends_left > 0);
        let mut queued: Vec<(usize, i64, ids::Fingerprint)> =
            queued.map(|(request, entry)| (entry.counted, entry.latest_ms(), *request)).collect();
        queued.sort_unstable_by(|a, b| b.cmp(a));
        queued.truncate(REPORTS_MAX);
        let mut selected: Vec<ids::Fingerprint> =
            queued.into_iter().map(|(_, _, request)| request).collect();
        for request in &selected {
            if let Some(entry) = self.entries.get_mut(request) {
                entry.sends_left -= 1;
            }
        }
        if peer_differs {
            selected.extend(self.next_reply(REPORTS_MAX - selected.len(), &selected));
        }
        let reports = selected.iter().filter_map(|request| self.report(request, now_ms)).collect();
        let sends = selected.iter().flat_map(|request| self.send_reports(*request, now_ms));
        Updates { summary: self.summary(), reports, sends: sends.take(REPORTS_MAX).collect() }
    }

    /// Reports of the requests and prompt parts that the record in the store contains, those with the
    /// most crashes first.
    pub fn reports_to_store(&self, now_ms: u64) -> Vec<Report> {
        let stored_as =
            |subject: &ids::Fingerprint| Some((*subject, self.stored_as(subject, now_ms)?));
        let mut stored: Vec<_> = self.entries.keys().filter_map(stored_as).collect();
        stored.sort_unstable_by_key(|(subject, _)| (cmp::Reverse(self.crashes(subject)), *subject));
        let reports = stored.into_iter();
        reports
            .filter_map(|(subject, stored)| self.report_to_store(&subject, stored, now_ms))
            .collect()
    }

    /// How the record in the store lists a request or prompt part; `None` if it does not.
    pub fn stored_as(&self, subject: &ids::Fingerprint, now_ms: u64) -> Option<Stored> {
        if self.quarantined_ms(subject, now_ms).is_some() {
            return Some(Stored::Quarantined);
        }
        let entry = self.entries.get(subject)?;
        (entry.urgent() && !entry.is_proven()).then_some(Stored::Suspected)
    }

    fn report_to_store(
        &self,
        subject: &ids::Fingerprint,
        stored: Stored,
        now_ms: u64,
    ) -> Option<Report> {
        let mut report = self.report(subject, now_ms)?;
        if stored == Stored::Suspected {
            let entry = self.entries.get(subject)?;
            let kept = entry.crashes_to_quarantine(subject) - CRASHES_AFTER_LOSS_MIN;
            report.crashes.drain(..entry.index_of_last(kept));
        }
        Some(report)
    }

    /// Removes crashes and clearings that no longer count.
    pub fn expire(&mut self, now_ms: u64) {
        if self.entries.is_empty() {
            return;
        }
        let before = self.entries.len();
        let counts = |at_ms: i64| at_ms + CRASH_TTL_MS > signed(now_ms);
        let mut dropped = 0;
        self.entries.retain(|_, entry| {
            let crashes_before = entry.crashes.len();
            if !entry.crashes.iter().all(|crash| counts(crash.at_ms)) {
                entry.retain_crashes(|crash| counts(crash.at_ms));
            }
            dropped += crashes_before - entry.crashes.len();
            !entry.crashes.is_empty() || entry.cleared_ms.is_some_and(counts)
        });
        if dropped > 0 || self.entries.len() < before {
            self.revision += 1;
        }
    }

    /// Selects requests for a peer with a different state; each call continues after the previous
    /// one.
    fn next_reply(&mut self, max: usize, selected: &[ids::Fingerprint]) -> Vec<ids::Fingerprint> {
        let mut urgent: Vec<ids::Fingerprint> = self
            .entries
            .iter()
            .filter(|(request, entry)| entry.urgent() && !selected.contains(request))
            .map(|(request, _)| *request)
            .collect();
        urgent.sort_unstable();
        let count = max.min(urgent.len());
        let start = if self.reply_position < urgent.len() { self.reply_position } else { 0 };
        self.reply_position = start + count;
        urgent.iter().cycle().skip(start).take(count).copied().collect()
    }

    fn report(&self, request: &ids::Fingerprint, now_ms: u64) -> Option<Report> {
        let entry = self.entries.get(request)?;
        let age_ms = |at_ms: i64| u64::try_from(signed(now_ms) - at_ms).unwrap_or(0);
        let crashes = entry.crashes.iter();
        Some(Report {
            request: *request,
            crashes: crashes
                .map(|crash| Crash { server: crash.server, age_ms: age_ms(crash.at_ms) })
                .collect(),
            cleared_age_ms: entry.cleared_ms.map(age_ms),
        })
    }

    /// The entry of a request or prompt part, with its last successful run at this router.
    fn entry_mut(&mut self, subject: ids::Fingerprint) -> &mut Entry {
        self.evict_for(subject);
        let entry = self.entries.entry(subject).or_default();
        if let Some(success_ms) = self.sound_parts.last_success_ms(&subject) {
            entry.clear(signed(success_ms));
        }
        entry
    }

    /// Makes room for a new request: removes the one with the fewest crashes, among equals the
    /// oldest. A client that crashes servers with ever new requests therefore does not evict a
    /// request with repeated crashes.
    fn evict_for(&mut self, request: ids::Fingerprint) {
        if self.entries.len() < ENTRIES_MAX || self.entries.contains_key(&request) {
            return;
        }
        let evicted = self
            .entries
            .iter()
            .min_by_key(|(request, entry)| (entry.counted, entry.latest_ms(), **request));
        if let Some(request) = evicted.map(|(request, _)| *request) {
            self.entries.remove(&request);
        }
    }
}

/// How soon the reports of backend server crashes that are queued in a [`Table`] have to be sent to other routers: with
/// the router's next tick, or within a few.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// With the next tick.
    AtOnce,
    /// Within a few ticks.
    Soon,
}

/// The time left until `until_ms`; `None` if it has passed.
fn left_ms(until_ms: i64, now_ms: u64) -> Option<u64> {
    u64::try_from(until_ms - signed(now_ms)).ok().filter(|left_ms| *left_ms > 0)
}

/// Converts to a signed time, which can be before this router's start.
fn signed(time_ms: u64) -> i64 {
    i64::try_from(time_ms).unwrap_or(i64::MAX / 4).min(i64::MAX / 4)
}
