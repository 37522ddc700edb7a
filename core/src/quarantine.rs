//! Quarantine of requests that crash the servers that run them.
//!
//! Each router records the requests during which it observed server crashes and sends them to the
//! other routers. Crashes are counted by server incarnation, so that the views of routers merge as
//! sets: in any order, with duplicates and delays, without a coordinator. A request with three
//! crashes is quarantined, that is, withheld from servers for a while; a run of it that succeeds
//! anywhere voids the earlier crashes. Times are sent as ages, because routers share no clock.

mod entry;
mod record;
mod record_sync;
mod runs;

pub use record::{Error, KEY, Record};
pub use record_sync::{RecordSync, Reply};
pub use runs::{Runs, ServerInstance};

use crate::{ids, rendezvous};
use entry::Entry;
use serde::{Deserialize, Serialize};
use std::collections;

/// Number of crashes after which a request is quarantined. A request that merely runs beside one
/// that crashes servers rarely meets three crashes without a successful run in between.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Number of crashes after which a router itself does not retry a request, because the next crash
/// would be the last one before the quarantine.
pub const CRASHES_TO_STOP_RETRIES: usize = 2;
/// Duration of the quarantine after the last crash. Longer than clients repeat a request, and short
/// enough that a request quarantined by mistake is tried again the same day.
pub const QUARANTINE_MS: i64 = 600_000;
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
/// Maximum number of stored requests, at about 200 bytes each.
const ENTRIES_MAX: usize = 2_048;
/// Maximum number of reports in one datagram, at about 65 bytes each.
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

/// The requests during which backend servers crashed, as observed by this router or reported by others, with their
/// crashes. It determines which requests are quarantined (not sent to a server for a while) and what is sent to other
/// routers.
#[derive(Debug, Default)]
pub struct Table {
    entries: collections::HashMap<ids::Fingerprint, Entry>,
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
        self.evict_for(request);
        let entry = self.entries.entry(request).or_default();
        let added = entry.add(server, signed(at_ms));
        if added {
            entry.enqueue();
        }
        let change = match (added, entry.counted) {
            (false, _) => Change::None,
            (true, crashes) if crashes < CRASHES_TO_QUARANTINE => Change::Suspected { crashes },
            (true, _) => Change::Quarantined,
        };
        self.revision += 1;
        change
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
        self.evict_for(report.request);
        let entry = self.entries.entry(report.request).or_default();
        let voids = |cleared_ms: i64| crashes.iter().any(|(_, at_ms)| *at_ms <= cleared_ms);
        let sender_lacks_clearing = entry.cleared_ms.is_some_and(voids);
        let removed = cleared_ms.map_or(0, |cleared_ms| entry.clear(cleared_ms));
        let added = crashes.iter().filter(|(server, at_ms)| entry.add(*server, *at_ms)).count();
        if added > 0 || removed > 0 || sender_lacks_clearing {
            entry.enqueue();
        }
        let change = match (added, removed, entry.counted) {
            (0, 0, _) => Change::None,
            (0, crashes, _) => Change::Cleared { crashes },
            (_, _, crashes) if crashes < CRASHES_TO_QUARANTINE => Change::Suspected { crashes },
            _ => Change::Quarantined,
        };
        self.revision += 1;
        change
    }

    /// Number of crashes that count against a request.
    pub fn crashes(&self, request: &ids::Fingerprint) -> usize {
        self.entries.get(request).map_or(0, |entry| entry.counted)
    }

    /// Number of servers that crashed during a request since its last successful run, including
    /// crashes that are not counted separately.
    pub fn servers_crashed(&self, request: &ids::Fingerprint) -> usize {
        self.entries.get(request).map_or(0, |entry| entry.crashes.len())
    }

    /// Remaining time of a request's quarantine in milliseconds; `None` if it is not quarantined.
    pub fn quarantined_ms(&self, request: &ids::Fingerprint, now_ms: u64) -> Option<u64> {
        let until_ms = self.entries.get(request)?.quarantined_until_ms()?;
        u64::try_from(until_ms - signed(now_ms)).ok().filter(|left_ms| *left_ms > 0)
    }

    /// Remaining time for which a request is delayed in milliseconds, so that updates on its last
    /// crash reach all routers and runs elsewhere can succeed; `None` if the request has no recent
    /// crash.
    pub fn suspended_ms(&self, request: &ids::Fingerprint, now_ms: u64) -> Option<u64> {
        // A request that has succeeded is not delayed, because its next successful runs are needed to
        // void the next crash.
        let entry = self.entries.get(request).filter(|entry| entry.cleared_ms.is_none())?;
        let latest = entry.crashes.last()?;
        let left_ms = latest.at_ms + CRASH_DISTANCE_MIN_MS - signed(now_ms);
        u64::try_from(left_ms).ok().filter(|left_ms| *left_ms > 0)
    }

    /// Quarantined requests with the remaining time in milliseconds.
    pub fn quarantined(&self, now_ms: u64) -> Vec<(ids::Fingerprint, u64)> {
        let requests = self.entries.keys();
        let with_left_ms =
            |request: &ids::Fingerprint| Some((*request, self.quarantined_ms(request, now_ms)?));
        let mut quarantined: Vec<_> = requests.filter_map(with_left_ms).collect();
        quarantined.sort_unstable();
        quarantined
    }

    /// Number of requests with a crash that counts against them.
    pub fn suspected(&self) -> usize {
        self.entries.values().filter(|entry| !entry.crashes.is_empty()).count()
    }

    /// Fingerprint heads of the requests with a crash that counts against them.
    pub fn suspected_heads(&self) -> collections::HashSet<u64> {
        let suspected = self.entries.iter().filter(|(_, entry)| !entry.crashes.is_empty());
        suspected.map(|(request, _)| request.head).collect()
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
        match queued.map(Entry::urgent).max()? {
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
        Updates { summary: self.summary(), reports }
    }

    /// Reports of the quarantined requests, as they are written to the store.
    pub fn reports_of_quarantined(&self, now_ms: u64) -> Vec<Report> {
        let quarantined = self.quarantined(now_ms).into_iter();
        quarantined.filter_map(|(request, _)| self.report(&request, now_ms)).collect()
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

/// Converts to a signed time, which can be before this router's start.
fn signed(time_ms: u64) -> i64 {
    i64::try_from(time_ms).unwrap_or(i64::MAX / 4).min(i64::MAX / 4)
}
