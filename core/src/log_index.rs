//! The log of claims and settlements: what lies in its segments and what follows from them.
//!
//! A shard of the log is a row of write-once segments. The order of entries in it decides: the
//! first claim of an id may run, and the first settlement of an id is billed.

use crate::ids;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt};
use std::collections;

/// The key of a segment's value.
pub fn key(shard: u32, number: u64) -> String {
    format!("doorswitch/log/{shard}/{number:012}")
}

/// The prefix of all segments of a shard.
pub fn prefix(shard: u32) -> String {
    format!("doorswitch/log/{shard}/")
}

/// Why a segment could not be read.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("log segment is not readable: {source}"))]
    Decode { source: serde_json::Error },
    #[snafu(display("log key {key:?} names no segment"))]
    BadKey { key: String },
}

/// One write-once value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Who wrote it.
    pub writer: ids::Incarnation,
    /// Tells this write from any other by the same writer.
    pub nonce: u64,
    /// What it records, in order.
    pub entries: Vec<Entry>,
}

impl Segment {
    /// Reads a segment from the store's value.
    pub fn decode(value: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(value).context(DecodeSnafu)
    }

    /// The value for the store.
    pub fn encode(&self) -> Vec<u8> {
        // Integers, strings and byte arrays cannot fail to serialize.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// The number of the segment that a key names.
pub fn segment_number(key: &str) -> Result<u64, Error> {
    let last = key.rsplit('/').next().and_then(|part| part.parse().ok());
    last.context(BadKeySnafu { key })
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// An unrepeatable request asks to run.
    Claim(Claim),
    /// The claim's attempt certainly did not run, so another may.
    Release {
        /// The request.
        key: ids::RequestKey,
        /// The attempt that gave up.
        attempt: ids::AttemptId,
    },
    /// A request ended.
    Settle(Settlement),
}

impl Entry {
    /// The request that the entry is about.
    pub fn key(&self) -> ids::RequestKey {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Release { key, .. } => *key,
            Self::Settle(settlement) => settlement.key,
        }
    }

    /// The attempt that the entry is about.
    pub fn attempt(&self) -> ids::AttemptId {
        match self {
            Self::Claim(claim) => claim.attempt,
            Self::Release { attempt, .. } => *attempt,
            Self::Settle(settlement) => settlement.attempt,
        }
    }
}

/// An attempt's wish to run an unrepeatable request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request.
    pub key: ids::RequestKey,
    /// Who asks.
    pub attempt: ids::AttemptId,
    /// A digest of the request's body: the same id with another body is a conflict.
    pub body_hash: u64,
}

/// How a request ended and what it cost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The request.
    pub key: ids::RequestKey,
    /// The attempt that ended.
    pub attempt: ids::AttemptId,
    /// A digest of the request's body.
    pub body_hash: u64,
    /// The budget that it spent from.
    pub budget: String,
    /// Where the router that served it runs.
    pub region: String,
    /// The tokens that were served.
    pub consumed_tokens: u64,
    /// The answer of an unrepeatable request, for callers that ask again.
    pub outcome: Option<Outcome>,
}

/// The recorded answer of an unrepeatable request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: String,
    /// The body; absent if it was too large to record.
    pub body: Option<String>,
}

/// What is known of an id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdState {
    /// An attempt may be running it.
    Claimed(Claim),
    /// It ended.
    Settled {
        /// The digest of the body that was run.
        body_hash: u64,
        /// The attempts that were settled: the first is billed.
        attempts: Vec<ids::AttemptId>,
        /// The recorded answer.
        outcome: Option<Outcome>,
    },
}

/// The two figures of a budget in one region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Tokens billed: once for each id.
    pub billed_tokens: u64,
    /// Requests billed.
    pub billed_requests: u64,
    /// Tokens served again for an id that was billed already: consumed, not billed.
    pub repeated_tokens: u64,
}

impl Totals {
    /// All tokens served.
    pub fn consumed_tokens(&self) -> u64 {
        self.billed_tokens + self.repeated_tokens
    }
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// This attempt, and no other, may run the request.
    Granted,
    /// Another attempt holds the claim and has not ended.
    Taken,
    /// The request ran; here is what was recorded.
    Done(Option<Outcome>),
    /// The id was used with another body.
    Conflict,
}

/// Everything that follows from a shard's segments read so far.
#[derive(Clone, Debug, Default)]
pub struct Index {
    ids: collections::HashMap<ids::RequestKey, IdState>,
    /// Attempts that gave up. A claim of theirs is void, also one that arrives after the release.
    released: collections::HashSet<ids::AttemptId>,
    totals: collections::BTreeMap<(String, String), Totals>,
}

impl Index {
    /// Takes in one entry, in the log's order.
    pub fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::Claim(claim) if self.released.contains(&claim.attempt) => {}
            Entry::Claim(claim) => {
                self.ids.entry(claim.key).or_insert(IdState::Claimed(*claim));
            }
            Entry::Release { key, attempt } => self.release(*key, *attempt),
            Entry::Settle(settlement) => self.settle(settlement),
        }
    }

    /// What is known of an id.
    pub fn find(&self, key: ids::RequestKey) -> Option<&IdState> {
        self.ids.get(&key)
    }

    /// How many ids are known.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no id is known.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// The figures by budget and region.
    pub fn totals(&self) -> impl Iterator<Item = (&str, &str, &Totals)> {
        self.totals
            .iter()
            .map(|((budget, region), totals)| (budget.as_str(), region.as_str(), totals))
    }

    /// What the log says to a claim; `None` if the id is unknown to it.
    pub fn verdict(&self, claim: &Claim) -> Option<Verdict> {
        if self.released.contains(&claim.attempt) {
            return Some(Verdict::Taken);
        }
        let verdict = match self.ids.get(&claim.key)? {
            IdState::Claimed(known) if known.attempt == claim.attempt => Verdict::Granted,
            IdState::Claimed(known) if known.body_hash != claim.body_hash => Verdict::Conflict,
            IdState::Claimed(_) => Verdict::Taken,
            IdState::Settled { body_hash, .. } if *body_hash != claim.body_hash => {
                Verdict::Conflict
            }
            IdState::Settled { outcome, .. } => Verdict::Done(outcome.clone()),
        };
        Some(verdict)
    }

    /// Whether an entry is in the log already, so that it need not be written again.
    pub fn contains(&self, entry: &Entry) -> bool {
        match (entry, self.ids.get(&entry.key())) {
            (Entry::Release { attempt, .. }, _) => self.released.contains(attempt),
            (Entry::Claim(_), known) => known.is_some(),
            (Entry::Settle(settlement), Some(IdState::Settled { attempts, .. })) => {
                attempts.contains(&settlement.attempt)
            }
            (Entry::Settle(_), _) => false,
        }
    }

    fn release(&mut self, key: ids::RequestKey, attempt: ids::AttemptId) {
        self.released.insert(attempt);
        let held = matches!(
            self.ids.get(&key),
            Some(IdState::Claimed(claim)) if claim.attempt == attempt
        );
        if held {
            self.ids.remove(&key);
        }
    }

    fn settle(&mut self, settlement: &Settlement) {
        let place = (settlement.budget.clone(), settlement.region.clone());
        let totals = self.totals.entry(place).or_default();
        if let Some(IdState::Settled { attempts, .. }) = self.ids.get_mut(&settlement.key) {
            if attempts.contains(&settlement.attempt) {
                return;
            }
            attempts.push(settlement.attempt);
            totals.repeated_tokens += settlement.consumed_tokens;
            return;
        }
        totals.billed_tokens += settlement.consumed_tokens;
        totals.billed_requests += 1;
        let state = IdState::Settled {
            body_hash: settlement.body_hash,
            attempts: vec![settlement.attempt],
            outcome: settlement.outcome.clone(),
        };
        self.ids.insert(settlement.key, state);
    }
}
