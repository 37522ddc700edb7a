//! Identifiers that cross module or process boundaries.

use serde::{Deserialize, Serialize};
use std::{fmt, str};

/// One run of a router process from start to end: drawn at random at every start and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A server incarnation, one run of a backend server from start to end: the Unix time of its start in milliseconds, so
/// that a later incarnation is greater. The state of one incarnation is not valid for another.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ServerIncarnation(pub u64);

impl ServerIncarnation {
    /// The incarnation of a server that doesn't report its start.
    pub const UNKNOWN: Self = Self(0);
}

/// A digest of the workspace and the caller's request id, so that equal ids of two workspaces have different keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The first eight bytes of the digest.
    pub high: u64,
    /// The next eight bytes of the digest.
    pub low: u64,
}

impl RequestKey {
    /// Returns which of the log's `shards` shards records this request.
    pub fn shard(self, shards: u32) -> u32 {
        (self.high % u64::from(shards.max(1))) as u32
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.high, self.low)
    }
}

/// Identifies requests with different ids that have the same caller and content. It reveals neither, because it
/// consists of digests that cannot be inverted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// The digest of everything except the body, which is available without reading the body.
    pub head: u64,
    /// The digest of the whole request.
    pub whole: [u8; 16],
}

/// The error of a text that is not a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("a fingerprint is 48 hexadecimal digits"))]
pub struct FingerprintError;

impl str::FromStr for Fingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        let (head, whole) = text.split_at_checked(16).ok_or(FingerprintError)?;
        let digits = |part: &str, length| {
            part.len() == length && part.bytes().all(|byte| byte.is_ascii_hexdigit())
        };
        if !digits(head, 16) || !digits(whole, 32) {
            return Err(FingerprintError);
        }
        let head = u64::from_str_radix(head, 16).map_err(|_| FingerprintError)?;
        let whole = u128::from_str_radix(whole, 16).map_err(|_| FingerprintError)?;
        Ok(Self { head, whole: whole.to_be_bytes() })
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:032x}", self.head, u128::from_be_bytes(self.whole))
    }
}

/// One attempt to run a request; a retry by the caller or by a router is another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(pub u64);

/// Identifies one call to the platform's store, so that its reply is passed to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

slotmap::new_key_type! {
    /// A request in the table of requests in flight.
    pub struct RequestSlot;
    /// A budget in the table of grants.
    pub struct BudgetSlot;
    /// A backend server in the table of servers.
    pub struct ServerSlot;
}
