//! Events for the log, and from where a router knows what it acts on.

use crate::{ids, leaving_servers, ledger, ledger_writer, servers, store, watch};

/// From where a router has its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// The platform's store.
    Store,
    /// Another router.
    Peer(ids::Incarnation),
}

/// From where a router knows of a request that crashes servers, or of its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineSource {
    /// It saw the crash itself.
    Seen,
    /// Another router told it.
    Peer,
    /// The platform's store keeps it.
    Store,
    /// A run of it ended well here.
    GoodEnd,
    /// An operator's command.
    Operator,
}

impl QuarantineSource {
    /// The value of the key `source` in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Seen => "Seen",
            Self::Peer => "Peer",
            Self::Store => "Store",
            Self::GoodEnd => "GoodEnd",
            Self::Operator => "Operator",
        }
    }
}

/// From where a router knows what a server says of its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSource {
    /// An answer that it got itself.
    Answer,
    /// An answer that another router got.
    Peer(ids::Incarnation),
    /// No answer confirmed it for long.
    Lapsed,
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A dead holder's grants were closed.
    ClosedDead {
        /// The dead holder.
        holder: ids::Incarnation,
        /// Tokens that are counted as spent without a report.
        written_off_tokens: u64,
        /// The grants.
        grants: Vec<ledger::DeadGrant>,
    },
    /// It was found out what becomes of tokens that were withheld since a restore.
    RecoveryDecided {
        /// The shard of the ledger.
        shard: u32,
        /// The store's era.
        era: u64,
        /// What was found out.
        verdict: ledger_writer::Verdict,
    },
    /// A server started again under its name.
    ServerRestarted(servers::Restarted),
    /// A server crashed while requests of this router ran on it.
    ServerCrashed {
        /// The server's VM.
        vm: String,
        /// Its life that is over.
        life: ids::ServerLife,
        /// How many requests broke off.
        requests: usize,
    },
    /// Servers crashed under a request; others may have been the cause.
    RequestSuspected {
        /// The request.
        request: ids::Fingerprint,
        /// How many crashes count against it.
        crashes: usize,
        /// From where it is known.
        source: QuarantineSource,
    },
    /// A request is kept from servers.
    RequestQuarantined {
        /// The request.
        request: ids::Fingerprint,
        /// For how long from now on.
        for_ms: u64,
        /// From where it is known.
        source: QuarantineSource,
    },
    /// Crashes do not count against a request any more.
    RequestCleared {
        /// The request.
        request: ids::Fingerprint,
        /// How many did.
        crashes: usize,
        /// From where it is known.
        source: QuarantineSource,
    },
    /// What the store keeps cannot be read.
    RecordUnreadable {
        /// Its key.
        key: &'static str,
        /// Why.
        fault: String,
    },
    /// This router was counted as gone.
    Fenced,
    /// A value in the store is unusable.
    Unusable(String),
    /// A holder of a budget did not answer in time and is passed over for a while.
    HolderSilent {
        /// The holder's VM.
        vm: String,
        /// The budget that it was asked for.
        budget: String,
    },
    /// A server limits the requests that it takes, to another number than before, or no more.
    ServerLimit {
        /// The server's VM.
        vm: String,
        /// What runs on it.
        service: String,
        /// Requests a second from all routers together, in thousandths; `None` if it is limited no more.
        limit_milli_per_s: Option<u64>,
        /// From where this is known.
        source: LimitSource,
    },
    /// A server leaves: it gets nothing new.
    ServerLeaving {
        /// The server's VM.
        vm: String,
        /// The life that leaves.
        life: ids::ServerLife,
        /// What runs on it; empty if that is not known.
        service: String,
        /// Who told.
        source: leaving_servers::Source,
        /// The router that told this one; `None` if it heard it itself.
        from: Option<ids::Incarnation>,
    },
    /// That a server leaves holds no more: a later life of it began, or it is gone.
    ServerLeavingEnded {
        /// The server's VM.
        vm: String,
        /// The life that left.
        life: ids::ServerLife,
    },
    /// A server asked this router to send it nothing for a while.
    ServerBackoff {
        /// The server's VM.
        vm: String,
        /// The life that asked.
        life: ids::ServerLife,
        /// What runs on it.
        service: String,
        /// For how long from now on.
        for_ms: u64,
    },
    /// A server that asked for a backoff has its part again.
    ServerBackoffEnded {
        /// The server's VM.
        vm: String,
        /// What runs on it.
        service: String,
    },
    /// A header of a server's answers cannot be read.
    HeaderUnreadable {
        /// The server's VM.
        vm: String,
        /// The header.
        header: servers::Header,
    },
    /// A server's record went while the store was away; it is kept for so long.
    ItemLapsed {
        /// The server's VM.
        vm: String,
        /// For how long.
        kept_ms: u64,
    },
    /// A failure domain is evacuated from now on, or that is taken back.
    Evacuation {
        /// The failure domain.
        failure_domain: String,
        /// Whether it is evacuated from now on.
        evacuated: bool,
        /// How many servers are known there.
        servers: usize,
    },
    /// A call for news was given up, as its answer will not come.
    CallGivenUp {
        /// What it asked for.
        topic: watch::Topic,
        /// The call.
        call: watch::GivenUp,
    },
    /// An answer of the store was ignored because its position precedes that of this router's copy.
    StaleAnswerIgnored {
        /// The topic of the call.
        topic: watch::Topic,
        /// The position of the answer.
        position: store::Position,
        /// The position of this router's copy.
        known: store::Position,
    },
    /// The store was restored from a backup.
    StoreRestored {
        /// The new era.
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
        /// The server's VM.
        vm: String,
        /// The maximum duration in milliseconds.
        for_ms: u64,
    },
    /// This router's part in following the store changed.
    WatchDuty {
        /// What it is now.
        duty: watch::Duty,
    },
    /// A server failed several times in a row and gets nothing for a while.
    Ejected {
        /// The server's VM.
        vm: String,
        /// For how long.
        ejected_ms: u64,
    },
    /// A server served more than it was allowed.
    Overrun {
        /// The budget.
        budget: String,
        /// Tokens beyond the reservation.
        tokens: u64,
    },
}
