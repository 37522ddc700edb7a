//! The messages of the control actor.

use super::Reply;
use actix::prelude::Message;
use doorswitch_core::{ids, node, quarantine, servers};
use std::time::Instant;
use tokio::sync::oneshot;

/// Requests the admission of a request. The reply contains its slot, by which later messages refer to it.
#[derive(Debug, Message)]
#[rtype(result = "(ids::RequestSlot, Reply)")]
pub struct Admit {
    /// The request. Its deadline counts from `submitted_at`, in milliseconds.
    pub request: node::AdmissionRequest,
    /// When the request was submitted.
    pub submitted_at: Instant,
}

impl Admit {
    /// Submits a request whose deadline counts from now.
    pub fn new(request: node::AdmissionRequest) -> Self {
        Self { request, submitted_at: Instant::now() }
    }
}

/// Searches for the origin of a stream that a client continues.
#[derive(Debug, Message)]
#[rtype(result = "oneshot::Receiver<node::OriginFound>")]
pub struct FindStreamOrigin(pub node::OriginSearch);

/// Reports the end of a dispatched request. The reply comes when its settlement is safe.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub struct Finish {
    /// The slot of the request in the control thread.
    pub slot: ids::RequestSlot,

    /// The outcome of the request.
    pub outcome: node::RequestOutcome,
}

/// Requests another server after an attempt failed.
#[derive(Debug, Message)]
#[rtype(result = "Reply")]
pub struct Retry {
    /// The slot of the request in the control thread.
    pub slot: ids::RequestSlot,

    /// How the attempt failed.
    pub failure: node::AttemptFailure,
}

/// The load that a server reported with an answer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct LoadReported {
    /// The VM that runs the server.
    pub vm: String,
    /// The incarnation of the server that reported it.
    pub incarnation: ids::ServerIncarnation,
    /// The numbers of running and queued requests and of slots at the server.
    pub load: servers::Load,
}

/// The directives of a server in the head of an answer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct DirectivesReported {
    /// The VM that runs the server.
    pub vm: String,
    /// The incarnation of the server that sent them.
    pub incarnation: ids::ServerIncarnation,

    /// The directives that were read from the headers.
    pub directives: servers::Directives,
    /// The time at which the request was sent.
    pub sent_at: Instant,
    /// The time at which the head was received.
    pub received_at: Instant,
}

/// A run whose connection ended before its answer was complete.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct RunBroken(pub node::BrokenRun);

/// A server instance whose address refuses connections.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ServerRefused(pub quarantine::ServerInstance);

/// A server instance that accepted a connection after the connection of a run on it was lost.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct ServerAccepted(pub quarantine::ServerInstance);

/// A request of which a run succeeded.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct RunSucceeded {
    /// The fingerprint of the request, if a crash may count against it.
    pub request: Option<ids::Fingerprint>,
    /// The fingerprints of the parts that its prompt may share with other requests.
    pub parts: Vec<ids::Fingerprint>,
}

/// Releases a request from quarantine. The reply is the number of crashes that counted against it.
#[derive(Debug, Message)]
#[rtype(result = "usize")]
pub struct Release {
    /// The fingerprint of the quarantined request.
    pub request: ids::Fingerprint,
    /// Only counts the crashes, without a release.
    pub dry_run: bool,
}

/// Releases the tokens of a budget that are withheld since the store was restored. The reply is their number, `None`
/// if the budget is unknown.
#[derive(Debug, Message)]
#[rtype(result = "Option<u64>")]
pub struct ReleaseWithheld {
    /// The budget's name in the ledger.
    pub budget: String,
    /// Only counts the tokens, without a release.
    pub dry_run: bool,
}

/// A dispatched request whose answer has started.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct AnswerStarted(pub ids::RequestSlot);

/// Sets the rates of the platform after a change of the settings.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct SetPlatformRates {
    /// Reads per second that the platform accepts from all routers together.
    pub reads_per_s: u64,
    /// Writes per second that the platform accepts from all routers together.
    pub writes_per_s: u64,
}

/// Adds addresses at which other routers may be reached.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct OfferSeeds(pub Vec<String>);

/// Requests the complete state of the router as JSON.
#[derive(Debug, Message)]
#[rtype(result = "serde_json::Value")]
pub struct Dump;

/// Starts a planned stop.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Stop;
