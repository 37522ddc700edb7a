//! Records of VMs in the platform's list, and load reports of servers.

use crate::ids;
use serde::{Deserialize, Serialize};

/// The record of one VM in the platform's list: the backend server or router on it, its address, class, software
/// version and failure domain, and whether it is about to stop. Routers choose servers among these VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub vm: String,
    /// Service that runs on it, or `doorswitch` for a router.
    pub service: String,
    /// Network address of the service.
    pub address: String,
    /// Hardware class of the VM.
    pub class: String,
    /// Software version of the service on it; empty if its record names none.
    #[serde(default)]
    pub version: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Lifecycle state of the VM.
    pub state: VmState,
    /// Number of requests that its server processes at once; 0 if unknown.
    #[serde(default)]
    pub slots: u64,
    /// Incarnation of its server.
    #[serde(default)]
    #[serde(rename = "life")]
    pub incarnation: ids::ServerIncarnation,
    /// Remaining time in which its server is cold, counted from the report, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
}

impl Vm {
    /// Total length of the strings in the record, in bytes.
    pub fn text_bytes(&self) -> usize {
        let texts = [
            &self.vm,
            &self.service,
            &self.address,
            &self.class,
            &self.version,
            &self.failure_domain,
        ];
        texts.into_iter().map(String::len).sum()
    }
}

/// Whether the backend server or router on a VM may get new requests or is about to stop, according to the VM's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The server on it accepts new requests.
    Live,
    /// Is about to stop and receives no new requests.
    Leaving,
}

/// The numbers of running and waiting requests that a backend server reports for all routers together. They are part of
/// the cost by which servers are compared when one is chosen for a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests in its batch.
    pub running: u64,
    /// Number of requests that wait for a place in the batch.
    pub queued: u64,
    /// Size of its batch.
    pub slots: u64,
}
