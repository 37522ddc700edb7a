//! Event counters of a node.

use super::{OriginSource, Reason};
use serde::Serialize;

/// What a call of a router to the platform's store is for: following the configuration or the list of servers,
/// recording the router's address, or reading or writing the ledger (token budgets), the log (who may run a request,
/// and what it cost) the record of requests that crash servers or that of software versions. Calls are counted by purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum CallPurpose {
    WatchConfiguration,
    WatchServers,
    /// Recording this router's address and listing the others'.
    Announce,
    LedgerRead,
    LedgerWrite,
    /// Reads the log of claims and settlements of requests.
    LogRead,
    LogWrite,
    /// Reads the record of quarantined requests, which are not sent to servers.
    QuarantineRead,
    QuarantineWrite,
    /// Reads the record of the software versions at which streams may begin.
    VersionsRead,
    VersionsWrite,
}

impl CallPurpose {
    /// The value of the label `purpose` in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WatchConfiguration => "WatchConfiguration",
            Self::WatchServers => "WatchServers",
            Self::Announce => "Announce",
            Self::LedgerRead => "LedgerRead",
            Self::LedgerWrite => "LedgerWrite",
            Self::LogRead => "LogRead",
            Self::LogWrite => "LogWrite",
            Self::QuarantineRead => "QuarantineRead",
            Self::QuarantineWrite => "QuarantineWrite",
            Self::VersionsRead => "VersionsRead",
            Self::VersionsWrite => "VersionsWrite",
        }
    }
}

/// The result of a call of a router to the platform's store, such as an update, no change, a conflict or no answer.
/// Polls are counted when they end; other calls when they are sent, and again if they end in a conflict or without an
/// answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// A call other than a poll was sent.
    Sent,
    /// The poll returned an update.
    News,
    /// The poll was answered without an update.
    Empty,
    /// The store has discarded the history that the poll requested.
    Forgotten,
    /// The store answered the poll that it is unavailable.
    Refused,
    /// The call ended without an answer. For calls other than polls, this includes an answer that belongs to an earlier
    /// era of the store.
    Silent,
    /// The write was rejected as a conflict, because another one was applied before it.
    Overtaken,
    /// The poll was cancelled, because the update that it waited for arrived from elsewhere.
    GivenUp,
    /// The poll ended after it was cancelled.
    Late,
    /// The answer to the poll belongs to an earlier era of the store.
    EarlierEra,
}

impl CallOutcome {
    /// The value of the label `outcome` in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "Sent",
            Self::News => "News",
            Self::Empty => "Empty",
            Self::Forgotten => "Forgotten",
            Self::Refused => "Refused",
            Self::Silent => "Silent",
            Self::Overtaken => "Overtaken",
            Self::GivenUp => "GivenUp",
            Self::Late => "Late",
            Self::EarlierEra => "EarlierEra",
        }
    }
}

/// Counts of what happened at one router since its process started: requests, tokens, calls to the store and messages.
/// They are exported as metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[allow(missing_docs)]
pub struct Counters {
    pub admitted: u64,
    pub dispatched: u64,
    pub settled: u64,
    pub closed_unsafe: u64,
    pub not_run: u64,
    pub replayed: u64,
    pub server_crashes: u64,
    pub refused: std::collections::BTreeMap<Reason, u64>,
    /// Requests refused because all fitting servers were limited, by service.
    pub refused_for_limits: std::collections::BTreeMap<String, u64>,
    /// Requests that brittle servers rejected, by service.
    pub brittle_rejections: std::collections::BTreeMap<String, u64>,
    /// Requests for seats at brittle servers that were sent to other routers.
    pub seat_requests: u64,
    /// Backoffs that servers requested, by service.
    pub server_backoffs: std::collections::BTreeMap<String, u64>,
    /// Streams whose origin was found when their client continued them, by how it was found.
    pub stream_origins: std::collections::BTreeMap<OriginSource, u64>,
    #[serde(skip)]
    pub store_calls: std::collections::BTreeMap<(CallPurpose, CallOutcome), u64>,
    pub consumed_tokens: u64,
    pub written_off_tokens: u64,
    pub overrun_tokens: u64,
    pub platform_reads: u64,
    pub platform_writes: u64,
    pub platform_unknown: u64,
    pub platform_conflicts: u64,
    pub messages_sent: u64,
    pub gossip_sent: u64,
    pub transfers_sent: u64,
    pub transfers_received: u64,
    /// Restores of the store that this router detected.
    pub store_restores: u64,
}
