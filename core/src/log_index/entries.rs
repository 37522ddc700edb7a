//! The entries of the log, and the states of the ids that follow from them.

use crate::ids;
use serde::{Deserialize, Serialize};

/// An entry of the stored log by which routers agree on requests: a claim to run a request that must run at most once,
/// the release of a claim, or the outcome and cost of a request.
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

/// The record by which one attempt to run a request obtains the right to do so, where the request must run at most
/// once. Routers append it to the log in the platform's store before they send the request. The first claim of a
/// request in the log is granted; other attempts are refused unless it is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that the attempt is to run.
    pub key: ids::RequestKey,
    /// The attempt that is to run it.
    pub attempt: ids::AttemptId,
    /// A digest of the request's body, by which reuse of the id with another body is detected.
    pub body_hash: u64,
}

/// The record of a request that ended: its cost in tokens, the budget that is charged and, for a request that must run
/// at most once, its answer. Routers append it to the log in the platform's store, where the first settlement of each
/// request is billed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The request that was run.
    pub key: ids::RequestKey,
    /// The attempt that ran it; other attempts may have run it as well.
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
    /// The number of tokens that the attempt is charged with.
    pub consumed_tokens: u64,
    /// The answer to an unrepeatable request, replayed to callers that repeat it.
    pub outcome: Option<Outcome>,
}

/// The answer to a request that must run at most once, as it is recorded in the log. A caller that repeats the request
/// receives this answer, and the request doesn't run again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The HTTP status code of the server's answer.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The body; `None` if it was too large to record.
    pub body: Option<String>,
}

/// What the log of claims and settlements contains about one request: that an attempt has claimed it and may be running
/// it, or that it has ended. Routers use it to decide whether another attempt, for a repetition of the request, may
/// run.
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

/// The tokens and the number of requests that were billed to one budget in one region, summed over the settlements in
/// the log. An [`super::Index`] computes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// The tokens billed, for one attempt of each request.
    pub billed_tokens: u64,
    /// The number of requests billed.
    pub billed_requests: u64,
    /// The tokens of further attempts of a request that was already billed; consumed from the budget, but not billed.
    pub repeated_tokens: u64,
}

impl Totals {
    /// Returns the number of tokens that all attempts were charged with, billed or not.
    pub fn consumed_tokens(&self) -> u64 {
        self.billed_tokens + self.repeated_tokens
    }
}

/// The log's decision on a [`Claim`]: whether the attempt may run the request, or why not (another attempt has claimed
/// it, it has already run, or its id was used for another request).
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
