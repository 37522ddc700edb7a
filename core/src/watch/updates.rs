//! The updates in the store's answers.

use crate::{config, evacuation, servers, store};
use serde::{Deserialize, Serialize};
use std::collections;

/// A change of one server's record.
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
            ServerRecord::Gone | ServerRecord::Unreadable | ServerRecord::Lapsed => 0,
        };
        self.vm.len() + record
    }
}

/// A server's record after a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerRecord {
    /// The server is listed.
    Listed(servers::Vm),
    /// The record was removed.
    Gone,
    /// The record cannot be decoded, so it lists no usable server.
    Unreadable,
    /// The record disappeared while the store was unavailable. Records lapse then, and may be registered again soon.
    Lapsed,
}

/// The full list of server records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AllServers {
    /// The records that could be decoded.
    pub listed: Vec<servers::Vm>,
    /// The VMs whose records cannot be decoded.
    pub unreadable: Vec<String>,
    /// The revisions of the servers' records by VM, where they are known.
    pub revisions: collections::HashMap<String, u64>,
}

/// The part of the configuration topic that a poll returned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationUpdate {
    /// The configuration, if it can be decoded and has changed or the full state was requested.
    pub published: Option<Box<config::Published>>,

    /// The evacuations that changed.
    pub evacuations: evacuation::Update,
}

/// The update in the answer to a poll.
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

/// The outcome of a poll.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The store answered the poll.
    Answered {
        /// The position in the store's history after the update.
        position: store::Position,
        /// The update in the answer; it may contain no change.
        update: Update,
    },
    /// The store no longer has the history since the requested revision.
    HistoryLost,
    /// The store answered that it is unavailable.
    Rejected,
    /// The poll got no answer.
    NoAnswer,
}
