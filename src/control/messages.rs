//! What the control thread is told and asked.

use super::Reply;
use actix::prelude::Message;
use doorswitch_core::{ids, node, quarantine, servers};
use std::time::Instant;

/// Asks to admit a request. The reply names its slot, for what follows.
#[derive(Debug, Message)]
#[rtype(result = "(ids::RequestSlot, Reply)")]
pub struct Admit {
    /// The request; its deadline is a time left, in milliseconds.
    pub wanted: node::Wanted,
}

/// Reports the end of a dispatched request. The reply comes when its end is safe.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub struct Finish {
    /// The request.
    pub slot: ids::RequestSlot,
    /// How it ended.
    pub ending: node::Ending,
}

/// Asks for another server after one failed.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub struct Retry {
    /// The request.
    pub slot: ids::RequestSlot,
    /// What became of the try.
    pub tried: node::Tried,
}

/// A server said on an answer how loaded it is.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Reported {
    /// The server's VM.
    pub vm: String,
    /// The life of the server that said so.
    pub life: ids::ServerLife,
    /// Its load.
    pub load: servers::Load,
}

/// A server said something of itself in the head of an answer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct HeadReported {
    /// The server's VM.
    pub vm: String,
    /// The life of the server that said so.
    pub life: ids::ServerLife,
    /// What it said.
    pub said: servers::Directives,
    /// When the request was sent.
    pub sent: Instant,
    /// When the head came.
    pub heard: Instant,
}

/// A run broke off before its answer was whole.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct RunBroken(pub node::BrokenRun);

/// A server's address refuses connections.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ServerRefused(pub quarantine::ServerInstance);

/// A server took a connection after a run on it broke off.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ServerAccepted(pub quarantine::ServerInstance);

/// A run of a request ended well against which a crash may count.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct EndedWell(pub ids::Fingerprint);

/// Releases a request from quarantine; how many crashes counted against it.
#[derive(Debug, Message)]
#[rtype(result = "usize")]
pub struct Release {
    /// The request.
    pub request: ids::Fingerprint,
    /// Only tells.
    pub dry_run: bool,
}

/// Releases what is withheld of a budget since a restore of the store; how many tokens, `None` if the budget is unknown.
#[derive(Debug, Message)]
#[rtype(result = "Option<u64>")]
pub struct ReleaseWithheld {
    /// The budget's name in the ledger.
    pub budget: String,
    /// Only tells.
    pub dry_run: bool,
}

/// The answer of a dispatched request has begun.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Answering(pub ids::RequestSlot);

/// The settings now name these rates of the platform.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct Rates {
    /// Reads that it takes a second, from all together.
    pub reads_per_s: u64,
    /// Writes that it takes a second, from all together.
    pub writes_per_s: u64,
}

/// Addresses were found where other routers may be.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct OfferSeeds(pub Vec<String>);

/// Asks for the whole state.
#[derive(Debug, Message)]
#[rtype(result = "serde_json::Value")]
pub struct Dump;

/// Starts a planned stop.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;
