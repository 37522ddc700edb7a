//! Sends of suspected requests and prompt parts, which all routers together keep apart.

use super::{Subjects, Table, left_ms, signed};
use crate::ids;
use serde::{Deserialize, Serialize};

/// Minimum time between two sends of a suspected request or prompt part to servers, by all routers together. Equal to
/// the minimum distance of crashes that are counted separately: if servers take equally long until they crash, each
/// of them counts.
const SEND_DISTANCE_MIN_MS: i64 = super::CRASH_DISTANCE_MIN_MS;
/// Maximum age of a send that is reported to other routers. Lower than the time for which it is stored, because the
/// age in a report does not include its transmission, and a router must recognize a send that it has stored before.
const REPORTED_AGE_MAX_MS: i64 = SEND_DISTANCE_MIN_MS / 2;
/// Maximum number of sends stored per request or prompt part. Usually there is one.
const SENDS_STORED_MAX: usize = 4;

/// Identifies a send of a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendId {
    /// The router that sent the request.
    pub router: ids::Incarnation,
    /// When it did, in milliseconds by its own clock.
    pub sent_ms: u64,
}

/// A recent send of a suspected request or prompt part to a server, as routers report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendReport {
    /// Fingerprint of the request or prompt part.
    pub subject: ids::Fingerprint,
    /// The send.
    pub id: SendId,
    /// Time since the send, in milliseconds.
    pub age_ms: u64,
    /// Whether the request did not reach the server, so that another one may be sent.
    pub withdrawn: bool,
}

#[derive(Clone, Copy, Debug)]
struct TimedSend {
    id: SendId,
    /// Time by this router's clock; negative before its start.
    at_ms: i64,
    withdrawn: bool,
}

/// The recent sends of one request or prompt part.
#[derive(Clone, Debug, Default)]
pub(super) struct Sends(Vec<TimedSend>);

impl Sends {
    /// Merges a send; returns whether that changes what is known of it.
    fn merge(&mut self, send: TimedSend, now_ms: i64) -> bool {
        self.0.retain(|stored| stored.at_ms + SEND_DISTANCE_MIN_MS > now_ms);
        if let Some(stored) = self.0.iter_mut().find(|stored| stored.id == send.id) {
            let newly_withdrawn = send.withdrawn && !stored.withdrawn;
            stored.withdrawn |= send.withdrawn;
            stored.at_ms = stored.at_ms.min(send.at_ms);
            return newly_withdrawn;
        }
        if send.at_ms + SEND_DISTANCE_MIN_MS <= now_ms {
            return false;
        }
        if self.0.len() == SENDS_STORED_MAX {
            self.0.remove(0);
        }
        self.0.push(send);
        true
    }

    /// Withdraws a send; returns whether it is stored.
    fn withdraw(&mut self, id: SendId) -> bool {
        let stored = self.0.iter_mut().find(|stored| stored.id == id);
        stored.map(|stored| stored.withdrawn = true).is_some()
    }

    /// When the next request may be sent; `None` if there is no recent send.
    pub(super) fn next_ms(&self) -> Option<i64> {
        let sends = self.0.iter().filter(|send| !send.withdrawn);
        sends.map(|send| send.at_ms + SEND_DISTANCE_MIN_MS).max()
    }
}

impl Table {
    /// Records that this router sends a request to a server.
    pub fn record_send(&mut self, request: Subjects<'_>, id: SendId) {
        let (at_ms, withdrawn) = (signed(id.sent_ms), false);
        for subject in request.iter() {
            if let Some(entry) = self.entries.get_mut(&subject)
                && entry.is_paced()
                && entry.sends.merge(TimedSend { id, at_ms, withdrawn }, at_ms)
            {
                entry.enqueue();
            }
        }
    }

    /// Records that a request that this router sent did not reach the server.
    pub fn withdraw_send(&mut self, request: Subjects<'_>, id: SendId) {
        for subject in request.iter() {
            if let Some(entry) = self.entries.get_mut(&subject)
                && entry.sends.withdraw(id)
            {
                entry.enqueue();
            }
        }
    }

    /// Merges the report of a peer on a send.
    pub fn merge_send(&mut self, report: &SendReport, now_ms: u64) {
        let SendReport { subject, id, age_ms, withdrawn } = *report;
        let at_ms = signed(now_ms).saturating_sub(signed(age_ms));
        if let Some(entry) = self.entries.get_mut(&subject)
            && entry.is_paced()
            && entry.sends.merge(TimedSend { id, at_ms, withdrawn }, signed(now_ms))
        {
            entry.enqueue();
        }
    }

    /// Reports on the recent sends of a request or prompt part.
    pub(super) fn send_reports(
        &self,
        subject: ids::Fingerprint,
        now_ms: u64,
    ) -> impl Iterator<Item = SendReport> {
        let entry = self.entries.get(&subject).filter(|entry| entry.is_paced());
        let sends = entry.into_iter().flat_map(|entry| &entry.sends.0);
        sends.filter_map(move |send| {
            let age_ms = signed(now_ms) - send.at_ms;
            let (id, withdrawn) = (send.id, send.withdrawn);
            let report =
                SendReport { subject, id, age_ms: u64::try_from(age_ms).unwrap_or(0), withdrawn };
            (age_ms <= REPORTED_AGE_MAX_MS).then_some(report)
        })
    }

    /// Remaining time until a request may be sent after the last send of one like it, in milliseconds; `None` if it may
    /// be sent.
    pub(super) fn send_pause_ms(&self, subject: &ids::Fingerprint, now_ms: u64) -> Option<u64> {
        let entry = self.entries.get(subject).filter(|entry| entry.is_paced())?;
        left_ms(entry.sends.next_ms()?, now_ms)
    }
}
