//! The store's record of the software versions at which streams may begin.
//!
//! A version is in the record before a stream begins at one of its servers, and stays there for as long as such a stream
//! may be continued. A router that starts after a loss of all routers therefore finds each version that can have written
//! the events of a stream which its client continues.

use crate::{ids, store};
use serde::{Deserialize, Serialize};
use std::{collections, str};

/// Key of the record in the store.
pub const KEY: &str = "doorswitch/stream-versions";
/// Key of the marker that is written before the first record. While it is there, a record that is missing was lost.
pub const MARKER_KEY: &str = "doorswitch/stream-versions-begun";
/// The format that this build reads and writes.
const FORMAT: u32 = 1;

/// Encodes the marker that a router writes.
pub fn marker(router: ids::Incarnation) -> Vec<u8> {
    router.0.to_string().into_bytes()
}

/// Returns the router that wrote a marker; `None` if that is not readable.
pub fn marked_by(marker: &[u8]) -> Option<ids::Incarnation> {
    str::from_utf8(marker).ok()?.parse().ok().map(ids::Incarnation)
}

/// Whether streams may begin at a version in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Streams may begin at the version.
    Current,
    /// The version is about to be removed: streams that began at it may be continued, but none begins. A router that
    /// uses it again has to write it as current first, so that a removal which is still in transit is refused.
    Retiring,
}

/// The versions of each service at which streams can have begun that may still be continued.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    format: u32,
    /// The store's era in which the record was written. In a later era the store was restored from a backup, which may
    /// lack versions.
    pub era: u64,
    /// Whether each stream that may still be continued began at one of the versions. That does not hold while routers
    /// run, or have just run, that do not write the record.
    pub complete: bool,
    /// The versions, by service.
    pub services: collections::BTreeMap<String, collections::BTreeMap<String, State>>,
}

/// A record with its position in the store's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// The position of the record.
    pub position: store::Position,
    /// The record.
    pub record: Record,
}

/// Why a record cannot be used.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum DecodeError {
    #[snafu(display("the record is not readable: {source}"))]
    Unreadable { source: serde_json::Error },
    #[snafu(display("format {format} is later than {FORMAT}"))]
    LaterFormat { format: u32 },
}

#[derive(Deserialize)]
struct Format {
    format: u32,
}

impl Record {
    /// Returns a record of this era without versions.
    pub fn new(era: u64) -> Self {
        Self { format: FORMAT, era, complete: false, services: Default::default() }
    }

    /// Encodes the record as JSON.
    pub fn encode(&self) -> Vec<u8> {
        // Maps with keys that are strings cannot fail to serialize.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a record of this build's format.
    pub fn decode(value: &[u8]) -> Result<Self, DecodeError> {
        let unreadable = |source| DecodeError::Unreadable { source };
        let Format { format } = serde_json::from_slice(value).map_err(unreadable)?;
        snafu::ensure!(format <= FORMAT, LaterFormatSnafu { format });
        serde_json::from_slice(value).map_err(unreadable)
    }

    /// Returns the state of a version; `None` if it is not in the record.
    pub fn state(&self, service: &str, version: &str) -> Option<State> {
        self.services.get(service)?.get(version).copied()
    }

    /// Sets the state of a version.
    pub fn set(&mut self, service: &str, version: &str, state: State) {
        let versions = self.services.entry(service.to_owned()).or_default();
        versions.insert(version.to_owned(), state);
    }

    /// Iterates over all versions with their services.
    pub fn versions(&self) -> impl Iterator<Item = (&str, &str, State)> {
        self.services.iter().flat_map(|(service, versions)| {
            versions
                .iter()
                .map(move |(version, state)| (service.as_str(), version.as_str(), *state))
        })
    }
}
