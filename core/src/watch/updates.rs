//! The updates in the store's answers.

use crate::{config, evacuation, servers, store};
use serde::{Deserialize, Serialize};
use std::collections;

/// One change in the platform's list of backend servers: the VM, the new record and the position of the change in the
/// store's history. Routers apply it to their copies of the list and pass it on to other routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChange {
    /// The VM that runs the server.
    pub vm: String,
    /// The position of the change in the store's history.
    pub position: store::Position,
    /// The record after the change.
    pub record: ServerRecord,
}

impl ServerChange {
    /// Returns the total length of the strings in the change, in bytes; its other fields are small.
    pub fn text_bytes(&self) -> usize {
        let record = match &self.record {
            ServerRecord::Listed(vm) => vm.text_bytes(),
            ServerRecord::Removed | ServerRecord::Unreadable | ServerRecord::Lapsed => 0,
        };
        self.vm.len() + record
    }
}

/// What the platform's list of backend servers contains about a server after a change: that it is listed, was removed,
/// has a record that cannot be decoded, or disappeared while the store was unavailable. The router makes it from the
/// store's answer to a poll, updates its copy of the list with it, and passes it on to other routers in a
/// [`ServerChange`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerRecord {
    /// The server is listed.
    Listed(servers::Vm),
    /// The record was removed.
    Removed,
    /// The record cannot be decoded, so it lists no usable server.
    Unreadable,
    /// The record disappeared while the store was unavailable. Records lapse then, and may be registered again soon.
    Lapsed,
}

/// The full list of backend servers, as a poll of the platform's store returned it or another router sent it. It
/// replaces a router's copy of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AllServers {
    /// The records that could be decoded.
    pub listed: Vec<servers::Vm>,
    /// The VMs whose records cannot be decoded.
    pub unreadable: Vec<String>,
    /// The revisions of the servers' records by VM, where they are known.
    pub revisions: collections::BTreeMap<String, u64>,
}

/// What a poll of the platform's store returned of the operators' publications: a new version of the configuration, if
/// there is one, and the changed evacuations of failure domains (the backend servers in an evacuated one get no new
/// requests). The router applies both to its copies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationUpdate {
    /// The configuration, if it can be decoded and has changed or the full state was requested.
    pub published: Option<Box<config::Published>>,

    /// The evacuations that changed.
    pub evacuations: evacuation::Update,
}

/// The content of the platform's store that one poll returned: changes of the configuration and of the evacuations of
/// failure domains (the backend servers in an evacuated one get no new requests), changes of the records that list
/// single backend servers, or the full list of these. It may contain no change. The router applies it to its copies.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// Changes of the configuration and the evacuations.
    Configuration(ConfigurationUpdate),
    /// Changes of server records.
    Servers(Vec<ServerChange>),
    /// The full list of server records.
    AllServers(AllServers),
}

impl Update {
    /// Returns whether the update contains any change.
    pub fn has_changes(&self) -> bool {
        match self {
            Self::Configuration(update) => update.published.is_some() || update.evacuations.any(),
            Self::Servers(changes) => !changes.is_empty(),
            Self::AllServers(_) => true,
        }
    }
}

/// How a poll of the platform's store ended: with an answer, with the need to read the full state because the requested
/// history is incomplete, with an error status, or without a usable answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The store answered the poll.
    Answered {
        /// The position in the store's history after the update.
        position: store::Position,
        /// The update in the answer; it may contain no change.
        update: Update,
    },
    /// The store no longer has the history since the requested revision, or was restored while its full state was read.
    HistoryLost,
    /// The store answered with an error status.
    Rejected,
    /// The poll got no answer that can be read.
    NoAnswer,
}
