//! Identifiers that cross module or process boundaries.

use serde::{Deserialize, Serialize};
use std::{fmt, str};

/// One run of a router process from start to end, as a number drawn at random at every start and never reused. It
/// identifies the router in messages to other routers and in the values that it writes to the platform's store, so that
/// a restarted router counts as another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A server incarnation, one run of a backend server from start to end: the Unix time of its start in milliseconds, so
/// that a later incarnation is greater. What routers recorded of one incarnation, such as its load, does not apply to
/// another.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ServerIncarnation(pub u64);

impl ServerIncarnation {
    /// The incarnation of a server that doesn't report its start.
    pub const UNKNOWN: Self = Self(0);
}

/// Identifies one request of a caller in messages between routers and in the log in which they record who may run a
/// request and what it cost. It is a digest of the caller's workspace and of the request id. A request that its caller
/// repeats with the same id has the same key, by which routers recognize the repetition.
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

/// The end of [`Fingerprint::whole`] by which the fingerprints of prompt parts differ from those of requests.
const PART_MARK: [u8; 4] = *b"part";

/// Identifies all requests that have the same caller and content, even if their request ids differ, or all requests of
/// one caller that have a part of their prompts in common. It is used to recognize requests and parts that crash
/// backend servers, and reveals neither caller nor content, because it consists of digests that cannot be inverted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Of a request: the digest of everything except the body, which is available without reading the body. Of a part:
    /// the digest of the service and the part, which is equal for all callers.
    pub head: u64,
    /// The digest of the whole request, or of the service, the caller and the part.
    pub whole: [u8; 16],
}

impl Fingerprint {
    /// Creates the fingerprint of a prompt part from its digests.
    pub fn of_part(head: u64, whole: [u8; 12]) -> Self {
        let mut marked = [0; 16];
        marked[..12].copy_from_slice(&whole);
        marked[12..].copy_from_slice(&PART_MARK);
        Self { head, whole: marked }
    }

    /// Whether this is the fingerprint of a prompt part.
    pub fn is_part(&self) -> bool {
        self.whole.ends_with(&PART_MARK)
    }

    /// What the fingerprint identifies, for log lines and dumps.
    pub fn kind(&self) -> &'static str {
        if self.is_part() { "part" } else { "request" }
    }
}

/// The error of parsing a [`Fingerprint`], which identifies the requests of one caller with the same content, from a
/// text that does not consist of 48 hexadecimal digits. An operator enters the text to release such requests from
/// quarantine, in which routers refuse requests that crash backend servers.
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

/// Identifies a stream that its client may continue after its connection broke, in all routers. It is a digest of the
/// workspace and of the id of the request whose answer brought the first event, so that no workspace can name the
/// stream of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamId(pub [u8; 16]);

impl StreamId {
    /// Returns the part of the digest by which routers are ranked for the stream.
    pub fn subject(self) -> u64 {
        (u128::from_be_bytes(self.0) >> 64) as u64
    }
}

/// Identifies one attempt to run a request, drawn at random when a router receives it. A repetition by the caller is
/// another attempt; a retry by the router on another backend server belongs to the same one. The stored records of the
/// right to run a request, and of its cost, contain the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(pub u64);

/// Identifies one call of a router to the platform's key-value store. The router numbers its calls, so that the reply
/// to a call reaches the part of the router that made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

slotmap::new_key_type! {
    /// The key of one entry in a router's table of requests in flight. It identifies the request between the control
    /// state ([`crate::node::Node`]) and the thread that serves the caller, and is invalid after the request has ended.
    pub struct RequestSlot;
    /// The key of one entry in a router's table of budgets ([`crate::grants::Table`]). It identifies the budget that a
    /// request is charged to, and is valid within one router process only.
    pub struct BudgetSlot;
    /// The key of one entry in a router's table of backend servers ([`crate::servers::Table`]). It identifies the
    /// server that a request is sent to, and is valid within one router process only.
    pub struct ServerSlot;
    /// The key of one origin of streams in a router's [`crate::streams::Table`], valid within one router process only.
    pub struct OriginSlot;
    /// The key of one search for the origin of a stream, until the router has found it or given up.
    pub struct OriginSearchSlot;
}
