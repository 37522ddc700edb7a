//! Maintains the store's record of the services whose servers have had several software versions lately.
//!
//! A router that has just started does not know which versions have left, at which a stream that a client continues can
//! have begun. It asks other routers, and after a loss of all routers it reads this record. While each service has one
//! version, the record is neither read nor written.

use super::{Lifecycle, Node, platform};
use crate::{ids, store, streams};
use std::collections;

/// Key of the record in the store.
const KEY: &str = "doorswitch/versions";
/// Interval between calls for the record.
const CALL_INTERVAL_MS: u64 = 1_000;

/// The recent versions of the services that have several.
type Versions = collections::BTreeMap<String, collections::BTreeSet<String>>;

/// This router's copy of the record, and the state of the calls for it.
#[derive(Debug, Default)]
pub(super) struct VersionRecord {
    /// The record as it was last read or written; `None` before the first read and after a conflict.
    stored: Option<Versions>,
    /// The record's index in the store, which a write expects.
    index: store::Position,
    /// The record that is being written, if one is.
    writing: Option<Versions>,
    in_flight: bool,
    /// The earliest time of the next call.
    not_before_ms: u64,
    /// Whether this router has read the record since its start.
    was_read: bool,
}

impl Node {
    /// Whether this router has seen, or read, every version at which a stream can have begun that is still continued.
    pub(super) fn knows_recent_versions(&self, now_ms: u64) -> bool {
        self.is_first_start
            || self.version_record.was_read
            || now_ms >= self.started_ms + streams::KEPT_MAX_MS
    }

    /// Reads the record, which a search for the origin of a stream needs.
    pub(super) fn request_version_record(&mut self, now_ms: u64) {
        let state = &self.version_record;
        if !state.was_read && !state.in_flight && now_ms >= state.not_before_ms {
            self.read_version_record(now_ms);
        }
    }

    /// Writes the record when it differs from what this router sees, if this router is the one to write it.
    pub(super) fn tick_version_record(&mut self, now_ms: u64) {
        let state = &self.version_record;
        let follows_store = self.watching.is_some() && self.lifecycle == Lifecycle::Ready;
        if !follows_store || state.in_flight || now_ms < state.not_before_ms {
            return;
        }
        let seen = self.mixed_versions(now_ms);
        let needed = state.stored.as_ref().map_or(!seen.is_empty(), |stored| *stored != seen);
        if !needed || !self.ranks_first(KEY) {
            return;
        }
        match state.stored {
            None => self.read_version_record(now_ms),
            Some(_) => self.write_version_record(seen, now_ms),
        }
    }

    /// The recent versions of the services that have several.
    fn mixed_versions(&self, now_ms: u64) -> Versions {
        let services = self.servers.services_of_several_versions(now_ms);
        let versions = services.map(|service| {
            let versions = self.servers.recent_versions(service, now_ms).into_iter();
            (service.to_owned(), versions.map(str::to_owned).collect())
        });
        versions.collect()
    }

    fn read_version_record(&mut self, now_ms: u64) {
        let call = self.version_record_call(now_ms);
        self.send_store_call(call, store::Request::Read { key: KEY.to_owned() });
    }

    fn write_version_record(&mut self, versions: Versions, now_ms: u64) {
        let call = self.version_record_call(now_ms);
        let request = store::Request::Write {
            key: KEY.to_owned(),
            expected_index: self.version_record.index,
            // A map with keys that are strings cannot fail to serialize.
            value: serde_json::to_vec(&versions).unwrap_or_default(),
            sets_era_marker: false,
        };
        self.version_record.writing = Some(versions);
        self.send_store_call(call, request);
    }

    fn version_record_call(&mut self, now_ms: u64) -> ids::CallId {
        self.version_record.in_flight = true;
        self.version_record.not_before_ms = now_ms + CALL_INTERVAL_MS;
        self.register_call(platform::Purpose::VersionRecord)
    }

    /// Handles the store's reply to a call for the record.
    pub(super) fn handle_version_record_reply(&mut self, reply: store::Reply, now_ms: u64) {
        let state = &mut self.version_record;
        state.in_flight = false;
        match (reply, state.writing.take()) {
            (store::Reply::WrittenAt { index }, Some(written)) => {
                state.index = index;
                state.stored = Some(written);
            }
            (store::Reply::Found { index, value }, None) => {
                // Without a readable record, any versions may have left.
                let Ok(versions) = serde_json::from_slice::<Versions>(&value) else { return };
                state.index = index;
                state.was_read = true;
                for (service, versions) in &versions {
                    for version in versions {
                        self.servers.record_recent_version(service, version, now_ms);
                    }
                }
                state.stored = Some(versions);
                self.conclude_answered_searches(now_ms);
            }
            (store::Reply::Missing { era }, None) => {
                state.index = store::Position::new(era, 0);
                state.was_read = true;
                state.stored = Some(Versions::new());
                self.conclude_answered_searches(now_ms);
            }
            // The next read tells what was written by this router or another one.
            (_, Some(_)) => state.stored = None,
            (_, None) => {}
        }
    }
}
