//! The entries of the log, and the states of the ids that follow from them.

use crate::ids;
use serde::{Deserialize, Serialize};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// Claims the right to run an unrepeatable request.
    Claim(Claim),
    /// Releases a claim whose attempt certainly did not run the request, so that another attempt may.
    Release {
        /// The request that was claimed.
        key: ids::RequestKey,
        /// The attempt whose claim is released.
        attempt: ids::AttemptId,
    },
    /// Records the outcome and cost of a request.
    Settle(Settlement),
}

impl Entry {
    /// Returns the request that the entry concerns.
    pub fn key(&self) -> ids::RequestKey {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Release { key, .. } => *key,
            Self::Settle(settlement) => settlement.key,
        }
    }

    /// Returns the attempt that the entry concerns.
    pub fn attempt(&self) -> ids::AttemptId {
        match self {
            Self::Claim(claim) => claim.attempt,
            Self::Release { attempt, .. } => *attempt,
            Self::Settle(settlement) => settlement.attempt,
        }
    }
}

/// An attempt's claim to run an unrepeatable request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request to run.
    pub key: ids::RequestKey,
    /// The attempt that is to run it.
    pub attempt: ids::AttemptId,
    /// A digest of the request's body, by which reuse of the id with another body is detected.
    pub body_hash: u64,
}

/// The outcome and cost of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The request that ended.
    pub key: ids::RequestKey,
    /// The attempt that ended.
    pub attempt: ids::AttemptId,
    /// The router that served the request.
    pub origin: ids::Incarnation,
    /// The number of the settlement among those of `origin` in this shard, from 1. Settlements with the same number are
    /// one settlement, however often and by whichever router they are written.
    pub number: u64,
    /// Whether the caller chose the id and may repeat the request with it.
    pub keyed: bool,
    /// A digest of the request's body.
    pub body_hash: u64,
    /// The budget that was charged, as `workspace/budget`.
    pub budget: String,
    /// The region of the router that served the request.
    pub region: String,
    /// The number of tokens served.
    pub consumed_tokens: u64,
    /// The answer to an unrepeatable request, replayed to callers that repeat it.
    pub outcome: Option<Outcome>,
}

/// The recorded answer to an unrepeatable request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The HTTP status code.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The body; `None` if it was too large to record.
    pub body: Option<String>,
}

/// The state of an id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IdState {
    /// An attempt has claimed the id and may be running the request.
    Claimed(Claim),
    /// The request has ended, and the log contains its settlement.
    Settled {
        /// The digest of the request's body.
        body_hash: u64,
        /// The recorded answer, if there is one.
        outcome: Option<Outcome>,
    },
}

/// The tokens and requests billed to a budget in one region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// The tokens billed, once for each id.
    pub billed_tokens: u64,
    /// The number of requests billed.
    pub billed_requests: u64,
    /// The tokens served again for an id that was already billed; consumed, but not billed.
    pub repeated_tokens: u64,
}

impl Totals {
    /// Returns the total of tokens served.
    pub fn consumed_tokens(&self) -> u64 {
        self.billed_tokens + self.repeated_tokens
    }
}

/// The log's decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// Only this attempt may run the request.
    Granted,
    /// Another attempt has claimed the request and not ended, or this attempt was released.
    Taken,
    /// The request has run; contains the recorded answer, if there is one.
    Done(Option<Outcome>),
    /// The id was already used with another body.
    Conflict,
}
