//! What the platform's store keeps of requests that are kept from servers: it outlasts the loss of all routers.

use super::{Crash, Report, Server};
use crate::ids;
use serde::{Deserialize, Serialize};

/// Where it lies.
pub const KEY: &str = "doorswitch/quarantine";
/// The most requests in it, at about 250 bytes each: half of what a value may hold.
const REQUESTS_MAX: usize = 2_000;

/// Why a value is no record.
#[derive(Debug, snafu::Snafu)]
#[snafu(display("the record of quarantined requests is not readable: {source}"), context(false))]
pub struct Error {
    source: serde_json::Error,
}

/// The requests that are kept from servers. Times are of the day, because no other outlasts a machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    requests: Vec<Kept>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    request: ids::Fingerprint,
    crashes: Vec<KeptCrash>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct KeptCrash {
    server: Server,
    /// When, in Unix milliseconds.
    at_unix_ms: u64,
}

impl Record {
    /// What is to be kept, at a time of the day in Unix milliseconds.
    pub fn new(reports: Vec<Report>, unix_ms: u64) -> Self {
        let kept = |report: Report| {
            let crashes = report.crashes.iter().map(|crash| KeptCrash {
                server: crash.server,
                at_unix_ms: unix_ms.saturating_sub(crash.age_ms),
            });
            Kept { request: report.request, crashes: crashes.collect() }
        };
        Self { requests: reports.into_iter().take(REQUESTS_MAX).map(kept).collect() }
    }

    /// What was kept, at a time of the day in Unix milliseconds. A clock that stepped back makes it seem younger.
    pub fn reports(self, unix_ms: u64) -> Vec<Report> {
        let report = |kept: Kept| {
            let crashes = kept.crashes.iter().map(|crash| Crash {
                server: crash.server,
                age_ms: unix_ms.saturating_sub(crash.at_unix_ms),
            });
            Report { request: kept.request, crashes: crashes.collect(), cleared_age_ms: None }
        };
        self.requests.into_iter().map(report).collect()
    }

    /// Whether the record contains a request.
    pub fn holds(&self, request: ids::Fingerprint) -> bool {
        self.requests.iter().any(|kept| kept.request == request)
    }

    /// Its form in the store.
    pub fn encode(&self) -> Vec<u8> {
        // Plain data: there is nothing in it that cannot be written as JSON.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads its form in the store.
    pub fn decode(value: &[u8]) -> Result<Self, Error> {
        Ok(serde_json::from_slice(value)?)
    }
}
