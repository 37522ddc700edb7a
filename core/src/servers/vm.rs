//! What the platform's list and a server itself say of it.

use crate::ids;
use serde::{Deserialize, Serialize};

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: String,
    /// What runs on it: a service's name, or `doorswitch`.
    pub service: String,
    /// Where it is reached.
    pub address: String,
    /// Its class of hardware.
    pub class: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it stays.
    pub state: VmState,
    /// Requests that its server works on at once; 0 if the list does not say.
    #[serde(default)]
    pub slots: u64,
    /// The life of its server.
    #[serde(default)]
    pub life: ids::ServerLife,
    /// How long its server is cold, counted from when that was said, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
}

impl Vm {
    /// The bytes of the texts in it.
    pub fn text_bytes(&self) -> usize {
        let texts = [&self.vm, &self.service, &self.address, &self.class, &self.failure_domain];
        texts.into_iter().map(String::len).sum()
    }

    /// What was heard, unless a later life of the same server is known: then that is late news, and what is known stays.
    pub fn unless_over(self, known: Option<&Self>) -> Self {
        match known {
            Some(known) if known.life > self.life => known.clone(),
            _ => self,
        }
    }
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It will go: it gets nothing new.
    Leaving,
}

/// What a server says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in its batch.
    pub running: u64,
    /// Requests that wait for a place in it.
    pub queued: u64,
    /// Places in its batch.
    pub slots: u64,
}
