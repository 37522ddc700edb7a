//! Events for the log, and the sources from which a router received what they report.

use crate::{ids, leaving_servers, ledger, ledger_writer, servers, store, watch};

/// Whether a router read a version of the configuration from the platform's store or received it from another router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// It was read from the platform's store.
    Store,
    /// It was received from another router.
    Peer(ids::Incarnation),
}

/// How a router received the information that a request crashes backend servers, or that it no longer does: its own
/// observation of a crash or of a successful run, another router, the platform's store or an operator. It is written to
/// the log lines on quarantined requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineSource {
    /// It detected the crash itself.
    Observed,
    /// Another router reported it by gossip.
    Peer,
    /// It was read from the platform's store.
    Store,
    /// A run of the request succeeded on this router.
    SuccessfulRun,
    /// An operator released it by a command.
    Operator,
}

impl QuarantineSource {
    /// The value of the key `source` in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Observed => "Seen",
            Self::Peer => "Peer",
            Self::Store => "Store",
            Self::SuccessfulRun => "GoodEnd",
            Self::Operator => "Operator",
        }
    }
}

/// Why a router changed its record of the rate limit of a backend server (the requests per second that it accepts from
/// all routers together): an answer of the server to this or to another router, or no answer that confirmed the limit
/// for too long. It is written to the log lines on limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSource {
    /// An answer of the server to this router.
    Answer,
    /// An answer of the server to another router.
    Peer(ids::Incarnation),
    /// No answer confirmed the limit for too long, so that it expired.
    Expired,
}

/// An event at one router that operators are to see in its log lines, such as a crashed backend server, a request that
/// is no longer run because it crashes servers, or the recovery after a restore of the store from a backup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// This router closed the grants of a terminated holder, a router process that held tokens of budgets.
    TerminatedHolderClosed {
        /// The router incarnation that held the grants.
        holder: ids::Incarnation,
        /// Granted tokens that the holder had not reported as consumed. They count as spent, because they may have
        /// been.
        written_off_tokens: u64,
        /// The grants, with the budget that each was granted from.
        grants: Vec<ledger::WrittenOffGrant>,
    },
    /// This router decided how many of the tokens that are withheld since a restore of the store stay withheld, and
    /// whether they are lost.
    RecoveryDecided {
        /// Shard of the ledger whose budgets have withheld tokens.
        shard: u32,
        /// Era of the store for which the decision holds.
        era: u64,
        /// The decision for the budgets of the shard.
        decision: ledger_writer::RecoveryDecision,
    },
    /// A server restarted under its name.
    ServerRestarted(servers::Restarted),
    /// A server crashed while it ran requests of this router.
    ServerCrashed {
        /// VM of the server.
        vm: String,
        /// The server incarnation that ended.
        incarnation: ids::ServerIncarnation,
        /// Number of requests that broke off.
        requests: usize,
    },
    /// Servers crashed while they ran a request; other requests may have been the cause.
    RequestSuspected {
        /// Fingerprint of the request.
        request: ids::Fingerprint,
        /// Number of crashes recorded for it.
        crashes: usize,
        /// Source of the report.
        source: QuarantineSource,
    },
    /// A request was quarantined: it is not dispatched to servers.
    RequestQuarantined {
        /// Fingerprint of the request.
        request: ids::Fingerprint,
        /// Remaining duration of the quarantine, in milliseconds.
        for_ms: u64,
        /// Source of the report.
        source: QuarantineSource,
    },
    /// The crashes recorded for a request were cleared.
    RequestCleared {
        /// Fingerprint of the request.
        request: ids::Fingerprint,
        /// Number of crashes that were recorded.
        crashes: usize,
        /// Source of the report.
        source: QuarantineSource,
    },
    /// A record in the store cannot be read.
    RecordUnreadable {
        /// Key of the record in the store.
        key: &'static str,
        /// Why it cannot be read.
        fault: String,
    },
    /// No router has the origin of a stream that a client continues.
    StreamOriginUnknown(UnknownOrigin),
    /// This router's grants were written off by another router.
    Fenced,
    /// A value in the store is unusable.
    UnusableValue(String),
    /// A holder of a budget did not reply in time; no requests are sent to it for some time.
    HolderSilent {
        /// VM of the holder, a router that keeps tokens of the budget.
        vm: String,
        /// Budget of the transfer request.
        budget: String,
    },
    /// The rate limit of a server changed or ended.
    ServerLimit {
        /// VM of the server.
        vm: String,
        /// Service of the server.
        service: String,
        /// Limit in thousandths of a request per second, for all routers together; `None` if the server is no longer
        /// limited.
        limit_milli_per_s: Option<u64>,
        /// Source from which this router received the change.
        source: LimitSource,
    },
    /// A server is brittle from now on, its statement changed, or it is not brittle any more.
    ServerBrittle {
        /// VM of the server.
        vm: String,
        /// Service of the server.
        service: String,
        /// Number of requests that the server may reject per second without falling over; `None` if it is not brittle any
        /// more.
        rejections_per_s: Option<u64>,
        /// The router that sent the statement, if it was not this one.
        from: Option<ids::Incarnation>,
    },
    /// A server leaves: it gets no new requests.
    ServerLeaving {
        /// VM of the server.
        vm: String,
        /// The server incarnation that leaves.
        incarnation: ids::ServerIncarnation,
        /// Service of the server; empty if unknown.
        service: String,
        /// How the server announced it.
        source: leaving_servers::Source,
        /// The router that reported it; `None` if this router received it from the server or the store.
        from: Option<ids::Incarnation>,
    },
    /// A server is no longer recorded as leaving: a later incarnation of it started, or its record was removed.
    ServerLeavingEnded {
        /// VM of the server.
        vm: String,
        /// The server incarnation that was recorded as leaving.
        incarnation: ids::ServerIncarnation,
    },
    /// A server requested a backoff: this router sends it no requests for some time.
    ServerBackoff {
        /// VM of the server.
        vm: String,
        /// The incarnation that requested the backoff.
        incarnation: ids::ServerIncarnation,
        /// Service of the server.
        service: String,
        /// Duration in milliseconds, from now on.
        for_ms: u64,
    },
    /// The backoff of a server ended, and it gets its full share of requests again.
    ServerBackoffEnded {
        /// VM of the server.
        vm: String,
        /// Service of the server.
        service: String,
    },
    /// A header in the answers of a server cannot be parsed.
    HeaderUnreadable {
        /// VM of the server.
        vm: String,
        /// Header that cannot be parsed.
        header: servers::Header,
    },
    /// A server's record disappeared while the store was unavailable or in a restore of the store; it is kept for some
    /// time.
    RecordLapsed {
        /// VM of the server.
        vm: String,
        /// Time for which the record is kept, in milliseconds.
        kept_ms: u64,
    },
    /// The evacuation of a failure domain started or was cancelled.
    Evacuation {
        /// Name of the failure domain.
        failure_domain: String,
        /// Whether the failure domain is evacuated from now on.
        evacuated: bool,
        /// Number of known servers in it.
        servers: usize,
    },
    /// A poll of the store was cancelled: the update that it waited for arrived from elsewhere, and its answer did not
    /// follow.
    PollGivenUp {
        /// Topic of the poll.
        topic: watch::Topic,
        /// The poll that was cancelled.
        call: watch::AbandonedPoll,
    },
    /// A peer has a newer configuration, which was requested before and has not arrived from any peer or the store.
    ConfigurationNotReceived {
        /// The version that the peer has in force.
        version: u64,
        /// The version that this router has in force.
        own_version: u64,
        /// The peer, of which it is requested now.
        peer: ids::Incarnation,
        /// The time since the request before, in milliseconds.
        waited_ms: u64,
        /// The age of this router's copy, in milliseconds; `None` if it was never current.
        age_ms: Option<u64>,
        /// This router's polls of the store for it.
        open_polls: Vec<watch::OpenPoll>,
    },
    /// An answer of the store was ignored because its position precedes that of this router's copy.
    StaleAnswerIgnored {
        /// Topic of the poll.
        topic: watch::Topic,
        /// The position of the answer.
        position: store::Position,
        /// The position of this router's copy.
        own_position: store::Position,
    },
    /// This process did not run for a while.
    ProcessPaused {
        /// The time between two ticks, in milliseconds.
        paused_ms: u64,
    },
    /// The store was restored from a backup.
    StoreRestored {
        /// The era of the restored store.
        era: u64,
        /// The previous era as known to this router.
        previous: u64,
    },
    /// A peer reported a later era than a subsequent answer of the store.
    EraUnconfirmed {
        /// The era reported by the peer.
        era: u64,
    },
    /// The restored store lists a server whose record had been removed. The server gets no requests until it writes its
    /// record again or `for_ms` has passed.
    ServerHeldBack {
        /// VM of the server.
        vm: String,
        /// The maximum duration in milliseconds.
        for_ms: u64,
    },
    /// This router's role in following the store changed.
    WatchRole {
        /// The role from now on.
        role: watch::Role,
    },
    /// A server failed several times in a row and gets no requests for some time.
    Ejected {
        /// VM of the server.
        vm: String,
        /// Time for which it gets no requests, in milliseconds.
        ejected_ms: u64,
    },
    /// A server reported more tokens than were reserved for the request.
    Overrun {
        /// Name of the budget that the request is charged to.
        budget: String,
        /// Tokens in excess of the reservation.
        tokens: u64,
    },
}

/// What this router knew when it ended the search for the origin of an unknown stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownOrigin {
    /// Whether the stream goes on, as one version only can have written it.
    pub continued: bool,
    /// The number of origins that the stream can have, as far as this router knows.
    pub candidates: usize,
    /// The number of routers that were asked.
    pub asked: usize,
    /// The number of those that did not reply.
    pub unanswered: usize,
    /// The number of routers that are live according to this one, including itself.
    pub live_routers: u64,
    /// The age of the list of servers, in milliseconds; `None` if it was never confirmed.
    pub list_age_ms: Option<u64>,
    /// Time since the store last answered a read of the record of versions, in milliseconds; `None` if it never did.
    pub record_age_ms: Option<u64>,
}
