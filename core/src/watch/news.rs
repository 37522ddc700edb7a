//! What the store's answers bring.

use crate::{config, evacuation, servers, store};
use serde::{Deserialize, Serialize};
use std::collections;

/// A change of one server's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChange {
    /// The server's VM.
    pub vm: String,
    /// The position of the change in the store's history.
    pub position: store::Position,
    /// What it says now.
    pub record: ServerRecord,
}

impl ServerChange {
    /// The bytes of the texts in it; what else it holds is small.
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
    /// It is listed.
    Listed(servers::Vm),
    /// It is gone.
    Gone,
    /// It cannot be read: it names no server to use.
    Unreadable,
    /// It went while the store was away: records lapse then, and may be back soon.
    Lapsed,
}

/// All records of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AllServers {
    /// The servers.
    pub listed: Vec<servers::Vm>,
    /// The VMs whose records cannot be read.
    pub unreadable: Vec<String>,
    /// The revisions of the servers' records by VM, where known.
    pub revisions: collections::HashMap<String, u64>,
}

/// What the operator wrote.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigurationNews {
    /// The configuration, if it changed or if all was asked for, and it can be read.
    pub published: Option<Box<config::Published>>,
    /// What is evacuated.
    pub evacuations: evacuation::Update,
}

/// What a topic's answer brought.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// What the operator wrote.
    Configuration(ConfigurationNews),
    /// Changes of servers' records.
    Servers(Vec<ServerChange>),
    /// All servers.
    AllServers(AllServers),
}

impl News {
    /// Whether there is any.
    pub fn any(&self) -> bool {
        match self {
            Self::Configuration(news) => news.published.is_some() || news.evacuations.any(),
            Self::Servers(changes) => !changes.is_empty(),
            Self::AllServers(_) => true,
        }
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The store answered.
    Answered {
        /// What the news stand for.
        position: store::Position,
        /// What it brought.
        news: News,
    },
    /// The store does not have the history since the revision any more.
    Forgotten,
    /// The store answered that it does not serve.
    Refused,
    /// No answer came.
    Silent,
}
