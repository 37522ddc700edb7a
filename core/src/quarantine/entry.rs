//! Crashes of one request in a router's view.

use super::{
    CRASH_DISTANCE_MIN_MS, CRASHES_STORED_MAX, CRASHES_TO_QUARANTINE, CRASHES_TO_STOP_RETRIES,
    QUARANTINE_MS, Server,
};

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
    pub(super) cleared_ms: Option<i64>,
    pub(super) sends_left: u32,
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
        let mut separate_crashes: Vec<usize> = Vec::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            let last_ms = separate_crashes.last().map(|last| self.crashes[*last].at_ms);
            if last_ms.is_none_or(|last_ms| crash.at_ms >= last_ms + CRASH_DISTANCE_MIN_MS) {
                separate_crashes.push(index);
            }
        }
        separate_crashes
    }

    fn sort(&mut self) {
        self.crashes.sort_by_key(|crash| crash.at_ms);
        self.count();
    }

    fn count(&mut self) {
        self.counted = self.separate_crashes().len();
    }

    /// Removes crashes that do not satisfy a condition.
    pub(super) fn retain_crashes(&mut self, kept: impl Fn(&TimedCrash) -> bool) {
        self.crashes.retain(kept);
        self.count();
    }

    pub(super) fn quarantined_until_ms(&self) -> Option<i64> {
        let latest = self.crashes.last()?;
        let enough = self.counted >= CRASHES_TO_QUARANTINE;
        enough.then_some(latest.at_ms + QUARANTINE_MS)
    }

    /// Time of the latest crash or clearing.
    pub(super) fn latest_ms(&self) -> i64 {
        let crash = self.crashes.last().map_or(i64::MIN, |crash| crash.at_ms);
        crash.max(self.cleared_ms.unwrap_or(i64::MIN))
    }

    pub(super) fn urgent(&self) -> bool {
        self.counted >= CRASHES_TO_STOP_RETRIES
    }

    pub(super) fn enqueue(&mut self) {
        self.sends_left = if self.urgent() { URGENT_TRANSMISSIONS } else { TRANSMISSIONS };
    }
}
