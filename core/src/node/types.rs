//! Inputs and outputs of a node: settings, requests and their outcomes, answers and actions.

use super::{ConfigSource, Notice, OriginFound};
use crate::{ids, log_index, machine_clock, message, quarantine, servers, store, watch};
use serde::Serialize;

/// The service name under which the platform lists the routers' own VMs.
pub const ROUTER_SERVICE: &str = "doorswitch";

/// The settings of one router's [`super::Node`], fixed when it is created: the router's identity and location, the
/// addresses of other routers, the rate limits of the platform's store, and the longest waits of a request.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identifies this run of the process.
    pub incarnation: ids::Incarnation,
    /// Name of the VM that the router runs on.
    pub vm: String,
    /// Address at which peers reach this router.
    pub address: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Region of the VM, recorded with each settlement.
    pub region: String,
    /// Addresses at which other routers may be reached.
    pub seeds: Vec<String>,
    /// Wall clock at time 0 of the node, in seconds since 1970. Used for the timestamps of stored records, such as
    /// those by which request ids expire from the log.
    pub started_s: u64,
    /// The steady clock of the machine; `None` if there is none that outlives the process.
    pub machine_clock: Option<machine_clock::MachineClock>,
    /// Reads per second that the platform's store accepts from all callers together.
    pub platform_reads_per_s: u64,
    /// Writes per second that the platform's store accepts from all callers together.
    pub platform_writes_per_s: u64,
    /// Staleness bounds for the copies of the store that the node polls; `None` if the shell follows the store instead.
    pub watch: Option<watch::Bounds>,
    /// Longest time, in milliseconds, that a request waits for tokens from the store or from peers.
    pub budget_wait_ms: u64,
    /// Longest time, in milliseconds, that a request waits for its claim to become durable.
    pub claim_wait_ms: u64,
    /// Longest time, in milliseconds, that the last chunk of an answer is delayed until its settlement is safe.
    pub handover_wait_ms: u64,
}

/// Whether a router process is starting, accepts requests, is stopping or has stopped, or must be restarted because
/// another router took it for terminated and closed its grants (its shares of the token budgets).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    /// It does not have both a configuration and a list of VMs yet.
    Starting,
    /// It has a configuration and a list of VMs, and accepts requests.
    Ready,
    /// Another router wrote off its grants as those of a terminated router. It accepts no new requests and must be
    /// restarted.
    Fenced,
    /// A planned stop is in progress: it refuses new requests and finishes the running ones.
    Stopping,
    /// All its grants are returned and its settlements are durable.
    Stopped,
}

/// A caller's request, described for the [`super::Node`] that decides whether to admit it and to which backend server
/// it is sent: its id, budget, service, maximum cost, priority and deadline. The thread that serves the caller's
/// connection (a traffic thread) creates it after it has authenticated the caller and evaluated the policy.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The request id, unique within the fleet: the caller's id together with the workspace.
    pub key: ids::RequestKey,
    /// Whether the caller supplied the id, and may therefore repeat the request with it.
    pub keyed: bool,
    /// Digest of the request, which detects an id that is reused for another request.
    pub body_hash: u64,
    /// Name of the budget in the ledger.
    pub budget: String,
    /// Name of the service, a group of interchangeable backend servers.
    pub service: String,
    /// Classes of VMs that the policy allows; empty allows all.
    pub classes: Vec<String>,
    /// Priority; requests with a higher value are served first.
    pub priority: u8,
    /// Upper bound on the cost of the request.
    pub bound_tokens: u64,
    /// Whether the request must run at most once.
    pub unrepeatable: bool,
    /// Upper bound on the servers that may run it, with retries.
    pub attempts_max: u32,
    /// Digest of the beginning of the prompt.
    pub prefix_hash: Option<u64>,
    /// Fingerprint by which equal requests are recognized; `None` while no request with the same head is suspected of
    /// crashing servers.
    pub fingerprint: Option<ids::Fingerprint>,
    /// Fingerprints of the parts that its prompt may share with other requests.
    pub part_fingerprints: Vec<ids::Fingerprint>,
    /// Parts of the prompt, where they are known.
    pub parts: Vec<servers::Part>,
    /// The stream that the answer begins or goes on with; `None` if the client can't continue it.
    pub stream: Option<StreamRequest>,
    /// Time at which the caller stops waiting.
    pub deadline_ms: u64,
}

/// The part of an [`AdmissionRequest`] for a stream that its client may continue with another request after its
/// connection broke.
#[derive(Clone, Debug)]
pub struct StreamRequest {
    /// The stream: that of the request that began it.
    pub id: ids::StreamId,
    /// Software version of the server that wrote the first event; `None` for a new stream.
    pub version: Option<String>,
    /// Time for which the origin of the stream is kept, in milliseconds; at most [`crate::streams::KEPT_MAX_MS`].
    pub kept_ms: u64,
}

impl AdmissionRequest {
    /// What identifies the request among those during which servers crashed.
    pub fn subjects(&self) -> quarantine::Subjects<'_> {
        quarantine::Subjects { request: self.fingerprint, parts: &self.part_fingerprints }
    }
}

/// How a request ended that was sent to a backend server: it did not run, it ran and used tokens, the caller
/// disconnected, or it is not known whether it ran. The thread that sent the request reports it to the [`super::Node`],
/// and it determines how many tokens are charged.
#[derive(Clone, Debug)]
pub enum RequestOutcome {
    /// Nothing was sent, or the server reported that it did not start the request.
    NotRun,
    /// The server ran the request, completely or partially.
    Ran {
        /// Tokens that the run used.
        consumed_tokens: u64,
        /// The answer to record, for a request that must run at most once.
        outcome: Option<log_index::Outcome>,
        /// Whether the server answered without a fault.
        healthy: bool,
    },
    /// The caller disconnected before the end; this does not count as a failure of the server.
    Cancelled {
        /// Upper bound on the tokens that were used.
        consumed_tokens: u64,
    },
    /// The request was sent and no answer arrived: it may have run, and is charged as if it had.
    Unknown,
}

/// Whether a backend server that returned no answer to a request received nothing of it, reported that it did not run
/// it, or may have run it. It determines whether the failure counts as an attempt of the request, whether a retry
/// counts against the retries that its service may make, and how the failure counts against the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent,
    /// No byte of the request was sent, because neither this router nor another one that it asked reaches the server.
    NoRoute,
    /// The server reported that it did not run the request.
    Rejected,
    /// The server may have run the request.
    MayHaveRun,
}

/// Why a router refused a request, for instance because its budget is exhausted or no backend server is available. The
/// router reports the reason to the caller, and counts its refusals by reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The router does not have both a configuration and a list of VMs yet.
    NotReady,
    /// The router is stopping, as planned by its operator.
    Stopping,
    /// The router's grants were written off by another router, and it must restart.
    Fenced,
    /// The service or the budget is not configured.
    Unconfigured,
    /// The budget has too few tokens left for the request.
    BudgetExhausted,
    /// So little of the budget is left that it is spent slowly, and this request is not among those that are served.
    BudgetLow,
    /// It could not be determined in time whether the budget covers the request, or only tokens that may not be drawn
    /// yet would cover it.
    BudgetUnreachable,
    /// Too many requests wait for a server, or this one waited too long.
    Overloaded,
    /// No matching server is live or, for a retry, none has capacity.
    NoServer,
    /// The caller's deadline passed before the request could be sent to a server.
    DeadlineTooClose,
    /// The claim could not be recorded in the log.
    ClaimUnreachable,
    /// A request with this id is in progress, or its outcome is unknown.
    InProgress,
    /// The id was used for another request.
    IdConflict,
    /// No attempt or no retry is left.
    RetriesExhausted,
    /// Several servers crashed while they ran it: it is not dispatched for some time.
    Quarantined,
    /// Several servers crashed while they ran requests with a part of its prompt: no request with the part is dispatched
    /// for some time.
    PartQuarantined,
    /// A server has just crashed while it ran the request, or one with a part of its prompt: it may be repeated after a
    /// short time.
    Suspended,
    /// All matching servers limit their request rate, and none of them has room for it in time.
    Limited,
    /// All matching servers requested a backoff, in which this router sends them no requests.
    Backoff,
    /// No matching server has the software version at which the answer began.
    NoServerOfVersion,
    /// A client continues a stream of which no router in reach knows the software version.
    StreamOriginUnknown,
    /// A stream that its client may continue can begin only at a software version that is not in the store's record yet.
    VersionUnrecorded,
}

impl Reason {
    /// The value of the label `reason` in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotReady => "NotReady",
            Self::Stopping => "Stopping",
            Self::Fenced => "Fenced",
            Self::Unconfigured => "Unconfigured",
            Self::BudgetExhausted => "BudgetExhausted",
            Self::BudgetLow => "BudgetLow",
            Self::BudgetUnreachable => "BudgetUnreachable",
            Self::Overloaded => "Overloaded",
            Self::NoServer => "NoServer",
            Self::NoServerOfVersion => "NoServerOfVersion",
            Self::DeadlineTooClose => "DeadlineTooClose",
            Self::ClaimUnreachable => "ClaimUnreachable",
            Self::InProgress => "InProgress",
            Self::IdConflict => "IdConflict",
            Self::RetriesExhausted => "RetriesExhausted",
            Self::Quarantined => "Quarantined",
            Self::PartQuarantined => "PartQuarantined",
            Self::Suspended => "Suspended",
            Self::Limited => "Limited",
            Self::Backoff => "Backoff",
            Self::StreamOriginUnknown => "StreamOriginUnknown",
            Self::VersionUnrecorded => "VersionUnrecorded",
        }
    }
}

impl From<servers::Unavailable> for Reason {
    fn from(unavailable: servers::Unavailable) -> Self {
        match unavailable {
            servers::Unavailable::Full => Self::Overloaded,
            servers::Unavailable::Limited => Self::Limited,
            servers::Unavailable::Backoff => Self::Backoff,
            servers::Unavailable::None => Self::NoServer,
            servers::Unavailable::Unrecorded => Self::VersionUnrecorded,
        }
    }
}

/// A decision of a [`super::Node`] on one request, sent to the thread that serves the caller: to send the request to a
/// backend server, to refuse it, to return the answer that an earlier run of it recorded, or to end the answer. The
/// last chunk of an answer is not sent before this, so that the request's cost is not lost if the router crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Send the request to this server now.
    Dispatch {
        /// Address at which the server accepts requests.
        address: String,
        /// VM of the server.
        vm: String,
        /// Incarnation of the server that the request is meant for.
        incarnation: ids::ServerIncarnation,
        /// Software version of the server; empty if its record names none.
        version: String,
        /// Identifies the attempt to the server.
        attempt: ids::AttemptId,
        /// Estimate of the prompt tokens that the server does not have in its cache.
        unread_tokens: u64,
    },
    /// The request is refused: it was not run, or is not retried any more.
    Refuse {
        /// Why the request is refused.
        reason: Reason,
        /// Time, in milliseconds, after which the caller may repeat it.
        retry_after_ms: u64,
    },
    /// The request ran earlier; contains the recorded outcome, if there is one.
    Replay(Option<log_index::Outcome>),
    /// The request has ended, and the last chunk of its answer may be sent.
    Closed {
        /// Whether the settlement, the record of the request's cost, survives a crash of this router. It does not if
        /// neither another router nor the store could be reached in time.
        safe: bool,
    },
}

/// An effect that a [`super::Node`] requests from the process around it, because it does no input or output itself: a
/// call to the store, a message to another router, an answer to a traffic thread, or a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Calls the store; exactly one reply must follow, `Unknown` if none arrived in time.
    Store {
        /// Identifies the call in the reply.
        call: ids::CallId,
        /// The read, write or deletion to make.
        request: store::Request,
    },
    /// Polls the store for updates; exactly one [`super::Node::poll_ended`] must follow, unless the poll is cancelled.
    Poll(watch::Poll),
    /// Cancels a poll of the store; its answer is no longer needed.
    CancelPoll {
        /// Topic of the poll.
        topic: watch::Topic,
        /// Number of the poll, as in its [`watch::Poll`].
        number: u64,
    },
    /// Records this router's address in the store, and adds the addresses that others recorded there to the seeds.
    Announce,
    /// Sends a message to a peer over a connection; it may be lost.
    Send {
        /// Address of the peer.
        address: String,
        /// The message with its sender and receiver.
        envelope: message::Envelope,
    },
    /// Sends a datagram to a peer; it may be lost.
    Gossip {
        /// Address of the peer.
        address: String,
        /// The datagram with its sender.
        gossip: Box<message::Gossip>,
    },
    /// Sends the decision about a request to its traffic thread.
    Answer {
        /// The slot of the request in the table of requests.
        slot: ids::RequestSlot,
        /// The decision on the request.
        answer: Answer,
    },
    /// Sends the result of a search for a stream's origin to its traffic thread.
    OriginFound {
        /// The search.
        search: ids::OriginSearchSlot,
        /// Its result.
        found: OriginFound,
    },
    /// Reports that a new configuration is in force.
    ConfigInForce {
        /// Version of the configuration that is in force.
        version: u64,
        /// Source from which it was received.
        source: ConfigSource,
    },
    /// Reports that a server restarted: connections to its earlier incarnations are unusable.
    ServerRestarted {
        /// VM of the server.
        vm: String,
        /// Current incarnation of the server.
        incarnation: ids::ServerIncarnation,
    },
    /// Reports an event for the log.
    Notice(Notice),
}
