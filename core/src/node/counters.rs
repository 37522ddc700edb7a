//! What a node counts.

use super::Reason;
use serde::Serialize;

/// What a call to the store is for.
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
    /// Of the log of settled requests.
    LogRead,
    LogWrite,
    /// Of the record of requests that are kept from servers.
    QuarantineRead,
    QuarantineWrite,
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
        }
    }
}

/// What became of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// It went out; how it ended is counted apart.
    Sent,
    /// It brought news.
    News,
    /// It ended without any.
    Empty,
    /// The history that it asked for is gone.
    Forgotten,
    /// The store said that it does not serve.
    Refused,
    /// No answer came.
    Silent,
    /// Another router's write came first.
    Overtaken,
    /// It was given up, because news came that it should have brought.
    GivenUp,
    /// It ended after it was given up.
    Late,
    /// The answer is of an earlier era of the store.
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

/// Counts since the start.
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
    /// Backoffs that servers asked for, by service.
    pub server_backoffs: std::collections::BTreeMap<String, u64>,
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
