//! Crashes of one request, or of all requests with one prompt part, in a router's view.

use super::{
    CRASH_DISTANCE_MIN_MS, CRASHES_STORED_MAX, CRASHES_TO_QUARANTINE, CRASHES_TO_QUARANTINE_PART,
    CRASHES_TO_QUARANTINE_PROVEN_PART, CRASHES_TO_STOP_RETRIES, PROVEN_PART_QUARANTINE_MS,
    QUARANTINE_MS, Server, sends,
};
use crate::ids;

/// Number of times each router forwards a report: for urgent requests and for others. With three
/// transmissions 94 of 100 routers receive a report; the rest receive it with the second crash of
/// the request.
const URGENT_TRANSMISSIONS: u32 = 6;
const TRANSMISSIONS: u32 = 3;

#[derive(Clone, Copy, Debug)]
pub(super) struct TimedCrash {
    pub(super) server: Server,
    /// Time by this router's clock; negative before its start.
    pub(super) at_ms: i64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    /// Latest crashes since the last successful run, oldest first.
    pub(super) crashes: Vec<TimedCrash>,
    /// Number of crashes that are counted separately.
    pub(super) counted: usize,
    /// The highest value of `counted` since crashes were last removed. A report that waited while a
    /// process was paused states too high ages, with which separate crashes appear as one.
    pub(super) counted_max: usize,
    pub(super) cleared_ms: Option<i64>,
    /// Whether this router observed a crash, rather than learning of it.
    pub(super) observed: bool,
    pub(super) sends_left: u32,
    /// The recent sends to servers while it was suspected, by this router and others.
    pub(super) sends: sends::Sends,
}

impl Entry {
    /// Adds a crash unless it is recorded already or was voided; returns whether it was added.
    pub(super) fn add(&mut self, server: Server, at_ms: i64) -> bool {
        if self.cleared_ms.is_some_and(|cleared_ms| at_ms <= cleared_ms) {
            return false;
        }
        let same = |recorded: &&mut TimedCrash| {
            recorded.server.same_crash(server, recorded.at_ms.abs_diff(at_ms))
        };
        if let Some(recorded) = self.crashes.iter_mut().find(same) {
            // The age in a report does not include its transmission, so a crash appears later with
            // each router that passes it on, and the oldest report is the most accurate.
            recorded.at_ms = recorded.at_ms.min(at_ms);
            self.sort();
            return false;
        }
        self.crashes.push(TimedCrash { server, at_ms });
        self.sort();
        let surplus = self.crashes.len() > CRASHES_STORED_MAX;
        let dropped = surplus.then(|| self.crashes.remove(self.least_informative()));
        self.count();
        dropped.is_none_or(|dropped| (dropped.server, dropped.at_ms) != (server, at_ms))
    }

    /// Index of the crash with the least information: the last one that is not counted separately,
    /// or the oldest.
    fn least_informative(&self) -> usize {
        let separate_crashes = self.separate_crashes();
        (0..self.crashes.len()).rev().find(|index| !separate_crashes.contains(index)).unwrap_or(0)
    }

    /// Voids crashes up to a time; returns the number of removed crashes.
    pub(super) fn clear(&mut self, at_ms: i64) -> usize {
        if self.cleared_ms.is_some_and(|cleared_ms| at_ms <= cleared_ms) {
            return 0;
        }
        self.cleared_ms = Some(at_ms);
        let before = self.crashes.len();
        self.retain_crashes(|crash| crash.at_ms > at_ms);
        before - self.crashes.len()
    }

    /// Indices of the crashes that are counted separately.
    fn separate_crashes(&self) -> Vec<usize> {
        self.separate_crashes_from(0)
    }

    /// The same for the crashes from an index on.
    fn separate_crashes_from(&self, first: usize) -> Vec<usize> {
        let mut separate_crashes: Vec<usize> = Vec::new();
        for (index, crash) in self.crashes.iter().enumerate().skip(first) {
            let last_ms = separate_crashes.last().map(|last| self.crashes[*last].at_ms);
            if last_ms.is_none_or(|last_ms| crash.at_ms >= last_ms + CRASH_DISTANCE_MIN_MS) {
                separate_crashes.push(index);
            }
        }
        separate_crashes
    }

    /// Index from which on the crashes count as the given number, or 0 if all count as fewer.
    pub(super) fn index_of_last(&self, counted: usize) -> usize {
        let enough = |first: &usize| self.separate_crashes_from(*first).len() >= counted;
        (0..self.crashes.len()).rev().find(enough).unwrap_or(0)
    }

    fn sort(&mut self) {
        self.crashes.sort_by_key(|crash| crash.at_ms);
        self.count();
    }

    fn count(&mut self) {
        self.counted = self.separate_crashes().len();
        self.counted_max = self.counted_max.max(self.counted);
    }

    /// Removes crashes that do not satisfy a condition.
    pub(super) fn retain_crashes(&mut self, kept: impl Fn(&TimedCrash) -> bool) {
        let before = self.crashes.len();
        self.crashes.retain(kept);
        if self.crashes.len() < before {
            self.counted_max = 0;
        }
        self.count();
    }

    /// Whether a run succeeded before the crashes.
    pub(super) fn is_proven(&self) -> bool {
        self.cleared_ms.is_some()
    }

    /// Whether the sends of such requests are kept apart.
    pub(super) fn is_paced(&self) -> bool {
        !self.is_proven() && !self.crashes.is_empty()
    }

    /// Number of crashes after which the subject of this entry is quarantined.
    pub(super) fn crashes_to_quarantine(&self, subject: &ids::Fingerprint) -> usize {
        match (subject.is_part(), self.is_proven()) {
            (true, true) => CRASHES_TO_QUARANTINE_PROVEN_PART,
            (true, false) => CRASHES_TO_QUARANTINE_PART,
            (false, _) => CRASHES_TO_QUARANTINE,
        }
    }

    /// Duration of the quarantine of this entry's subject after the last crash.
    pub(super) fn quarantine_duration_ms(&self, subject: &ids::Fingerprint) -> i64 {
        if !subject.is_part() || !self.is_proven() {
            return QUARANTINE_MS;
        }
        let more = self.counted_max.saturating_sub(CRASHES_TO_QUARANTINE_PROVEN_PART);
        QUARANTINE_MS.min(PROVEN_PART_QUARANTINE_MS << more)
    }

    /// Number of separate crashes, without those that `is_explained`.
    pub(super) fn unexplained(&self, is_explained: impl Fn(&TimedCrash) -> bool) -> usize {
        let mut unexplained = self.clone();
        unexplained.retain_crashes(|crash| !is_explained(crash));
        unexplained.counted_max
    }

    /// Whether a crash of another entry counts here too.
    pub(super) fn contains(&self, other: &TimedCrash) -> bool {
        let same = |crash: &TimedCrash| {
            crash.server.same_crash(other.server, crash.at_ms.abs_diff(other.at_ms))
        };
        self.crashes.iter().any(same)
    }

    /// Whether each crash of another entry counts here too.
    pub(super) fn contains_all(&self, other: &Entry) -> bool {
        other.crashes.iter().all(|crash| self.contains(crash))
    }

    pub(super) fn latest_crash_ms(&self) -> Option<i64> {
        self.crashes.last().map(|crash| crash.at_ms)
    }

    /// Time of the latest crash or clearing.
    pub(super) fn latest_ms(&self) -> i64 {
        let crash = self.latest_crash_ms().unwrap_or(i64::MIN);
        crash.max(self.cleared_ms.unwrap_or(i64::MIN))
    }

    pub(super) fn urgent(&self) -> bool {
        self.counted >= CRASHES_TO_STOP_RETRIES
    }

    pub(super) fn enqueue(&mut self) {
        self.sends_left = if self.urgent() { URGENT_TRANSMISSIONS } else { TRANSMISSIONS };
    }
}
