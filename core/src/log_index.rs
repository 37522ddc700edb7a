//! The log of claims and settlements: its segments and the index built from them.
//!
//! A shard of the log is a sequence of write-once segments. The order of its entries is decisive: the first claim of an
//! id is granted, and the first settlement of an id is billed.

mod entries;

pub use entries::{Claim, ClaimVerdict, Entry, IdState, Outcome, Settlement, Totals};

use crate::ids;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt};
use std::collections;

/// How long an id is kept in the index, in seconds by the clocks of the log's writers.
pub const ID_RETENTION_S: u64 = 24 * 3600;
/// How long the settlement numbers of a router without new settlements are kept, in seconds.
const ORIGIN_RETENTION_S: u64 = 7 * 24 * 3600;
/// The number of latest released attempts that are kept.
const RELEASED_ATTEMPTS_MAX: usize = 1_000;

/// Returns the store's key for a segment; it starts with the prefix of the segment's epoch.
pub fn key(shard: u32, number: u64, epoch_segments: u64) -> String {
    format!("{}{number:012}", epoch_prefix(shard, number / epoch_segments))
}

/// Returns the prefix of the keys of one epoch's segments.
pub fn epoch_prefix(shard: u32, epoch: u64) -> String {
    format!("{}{epoch:08}/", prefix(shard))
}

/// Returns the prefix of the keys of all segments of a shard.
pub fn prefix(shard: u32) -> String {
    format!("doorswitch/log/{shard}/")
}

/// Returns the store's key for the checkpoint of a shard.
pub fn checkpoint_key(shard: u32) -> String {
    format!("doorswitch/checkpoint/{shard}")
}

/// The error of decoding what the store contains of the log of claims and settlements: a segment's value is invalid, or
/// a key does not end in a segment number.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("log segment cannot be decoded: {source}"))]
    Decode { source: serde_json::Error },
    #[snafu(display("log key {key:?} does not end in a segment number"))]
    BadKey { key: String },
}

/// A batch of successive entries of one shard of the log of claims and settlements, stored as one value that is written
/// once and never changed. The segments of a shard in the order of their numbers are its log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The router that wrote the segment.
    pub writer: ids::Incarnation,
    /// Distinguishes this write from other writes of the same router.
    pub nonce: u64,
    /// The writer's clock, in seconds since 1970.
    pub written_s: u64,
    /// The entries in the order in which they are applied.
    pub entries: Vec<Entry>,
}

impl Segment {
    /// Decodes a segment from the store's value.
    pub fn decode(value: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(value).context(DecodeSnafu)
    }

    /// Encodes the segment as the store's value.
    pub fn encode(&self) -> Vec<u8> {
        // Integers, strings and byte arrays cannot fail to serialize.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Returns the segment number at the end of a key.
pub fn segment_number(key: &str) -> Result<u64, Error> {
    let last = key.rsplit('/').next().and_then(|part| part.parse().ok());
    last.context(BadKeySnafu { key })
}

/// The numbers of one router's settlements that are in the log: all up to `below`, and those in `above`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct SettlementNumbers {
    below: u64,
    above: collections::BTreeSet<u64>,
    seen_s: u64,
}

impl SettlementNumbers {
    fn contains(&self, number: u64) -> bool {
        number <= self.below || self.above.contains(&number)
    }

    fn insert(&mut self, number: u64) -> bool {
        if self.contains(number) {
            return false;
        }
        self.above.insert(number);
        while self.above.remove(&(self.below + 1)) {
            self.below += 1;
        }
        true
    }
}

/// The state of one shard of the log, in which routers record claims (who may run a request) and settlements (what it
/// cost), built by applying the shard's segments in order: which request ids are claimed or have ended, and the billed
/// totals. It determines whether a claim is granted and whether a settlement is billed.
#[derive(Clone, Debug, Default)]
pub struct Index {
    ids: collections::HashMap<ids::RequestKey, (IdState, u64)>,
    /// Ids in the order in which they were last written, with the time, so that old ones expire.
    order: collections::VecDeque<(u64, ids::RequestKey)>,
    origins: collections::BTreeMap<ids::Incarnation, SettlementNumbers>,
    /// Released attempts. Their claims are void, even those that are applied after the release.
    released: collections::VecDeque<ids::AttemptId>,
    totals: collections::BTreeMap<(String, String), Totals>,
    clock_s: u64,
}

/// The [`Index`] of one shard of the log of claims and settlements in its stored form, including all segments with
/// numbers below `upto`. A router that starts reads it instead of these segments, which can then be deleted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The number of the first segment that is not included.
    pub upto: u64,
    clock_s: u64,
    ids: Vec<(ids::RequestKey, IdState, u64)>,
    origins: collections::BTreeMap<ids::Incarnation, SettlementNumbers>,
    released: collections::VecDeque<ids::AttemptId>,
    totals: Vec<(String, String, Totals)>,
}

impl Checkpoint {
    /// Decodes a checkpoint from the store's value.
    pub fn decode(value: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(value).context(DecodeSnafu)
    }

    /// Encodes the checkpoint as the store's value.
    pub fn encode(&self) -> Vec<u8> {
        // Integers, strings and lists cannot fail to serialize.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Restores the index from the checkpoint.
    pub fn restore(self) -> Index {
        let mut index = Index {
            origins: self.origins,
            released: self.released,
            clock_s: self.clock_s,
            ..Index::default()
        };
        for (key, state, recorded_s) in self.ids {
            index.order.push_back((recorded_s, key));
            index.ids.insert(key, (state, recorded_s));
        }
        for (budget, region, totals) in self.totals {
            index.totals.insert((budget, region), totals);
        }
        index
    }
}

impl Index {
    /// Applies a segment. Segments must be applied in the order of the log.
    pub fn apply_segment(&mut self, segment: &Segment) {
        self.clock_s = self.clock_s.max(segment.written_s);
        for entry in &segment.entries {
            self.apply(entry);
        }
        self.expire_old();
    }

    /// Applies one entry. Entries must be applied in the order of the log.
    pub fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::Claim(claim) if self.released.contains(&claim.attempt) => {}
            Entry::Claim(claim) if self.ids.contains_key(&claim.key) => {}
            Entry::Claim(claim) => self.record_state(claim.key, IdState::Claimed(*claim)),
            Entry::Release { key, attempt } => self.release(*key, *attempt),
            Entry::Settle(settlement) => self.settle(settlement),
        }
    }

    /// Merges the index of another shard, for a view of all shards.
    pub fn merge(&mut self, other: Index) {
        self.ids.extend(other.ids);
        for (totals_key, totals) in other.totals {
            let sum = self.totals.entry(totals_key).or_default();
            sum.billed_tokens += totals.billed_tokens;
            sum.billed_requests += totals.billed_requests;
            sum.repeated_tokens += totals.repeated_tokens;
        }
    }

    /// Returns the checkpoint to store once all segments below `upto` are applied.
    pub fn checkpoint(&self, upto: u64) -> Checkpoint {
        let ids = self.order.iter().filter_map(|(recorded_s, key)| {
            let (state, latest_s) = self.ids.get(key)?;
            (latest_s == recorded_s).then(|| (*key, state.clone(), *recorded_s))
        });
        let totals = self
            .totals
            .iter()
            .map(|((budget, region), totals)| (budget.clone(), region.clone(), *totals));
        Checkpoint {
            upto,
            clock_s: self.clock_s,
            ids: ids.collect(),
            origins: self.origins.clone(),
            released: self.released.clone(),
            totals: totals.collect(),
        }
    }

    /// Returns the state of an id; `None` if it is not in the index.
    pub fn find(&self, key: ids::RequestKey) -> Option<&IdState> {
        self.ids.get(&key).map(|(state, _)| state)
    }

    /// Returns the number of ids in the index.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns whether the index contains no id.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Returns the totals by budget and region.
    pub fn totals(&self) -> impl Iterator<Item = (&str, &str, &Totals)> {
        self.totals
            .iter()
            .map(|((budget, region), totals)| (budget.as_str(), region.as_str(), totals))
    }

    /// Returns the verdict on a claim; `None` if its id is not in the index.
    pub fn claim_verdict(&self, claim: &Claim) -> Option<ClaimVerdict> {
        if self.released.contains(&claim.attempt) {
            return Some(ClaimVerdict::Taken);
        }
        let verdict = match self.find(claim.key)? {
            IdState::Claimed(existing) if existing.attempt == claim.attempt => {
                ClaimVerdict::Granted
            }
            IdState::Claimed(existing) if existing.body_hash != claim.body_hash => {
                ClaimVerdict::Conflict
            }
            IdState::Claimed(_) => ClaimVerdict::Taken,
            IdState::Settled { body_hash, .. } if *body_hash != claim.body_hash => {
                ClaimVerdict::Conflict
            }
            IdState::Settled { outcome, .. } => ClaimVerdict::Done(outcome.clone()),
        };
        Some(verdict)
    }

    /// Returns whether an entry is already in the log and need not be written again.
    pub fn contains(&self, entry: &Entry) -> bool {
        match entry {
            Entry::Release { attempt, .. } => self.released.contains(attempt),
            Entry::Claim(claim) => self.ids.contains_key(&claim.key),
            Entry::Settle(settlement) => self
                .origins
                .get(&settlement.origin)
                .is_some_and(|numbers| numbers.contains(settlement.number)),
        }
    }

    fn record_state(&mut self, key: ids::RequestKey, state: IdState) {
        self.order.push_back((self.clock_s, key));
        self.ids.insert(key, (state, self.clock_s));
    }

    fn expire_old(&mut self) {
        let clock_s = self.clock_s;
        while let Some((recorded_s, key)) = self.order.front().copied() {
            if recorded_s + ID_RETENTION_S > clock_s {
                break;
            }
            self.order.pop_front();
            if self.ids.get(&key).is_some_and(|(_, latest_s)| *latest_s == recorded_s) {
                self.ids.remove(&key);
            }
        }
        self.origins.retain(|_, numbers| numbers.seen_s + ORIGIN_RETENTION_S > clock_s);
    }

    fn release(&mut self, key: ids::RequestKey, attempt: ids::AttemptId) {
        if !self.released.contains(&attempt) {
            self.released.push_back(attempt);
        }
        if self.released.len() > RELEASED_ATTEMPTS_MAX {
            self.released.pop_front();
        }
        if matches!(self.find(key), Some(IdState::Claimed(claim)) if claim.attempt == attempt) {
            self.ids.remove(&key);
        }
    }

    fn settle(&mut self, settlement: &Settlement) {
        let numbers = self.origins.entry(settlement.origin).or_default();
        numbers.seen_s = self.clock_s;
        if !numbers.insert(settlement.number) {
            return;
        }
        let billed_before = matches!(self.find(settlement.key), Some(IdState::Settled { .. }));
        let totals_key = (settlement.budget.clone(), settlement.region.clone());
        let totals = self.totals.entry(totals_key).or_default();
        if billed_before {
            totals.repeated_tokens += settlement.consumed_tokens;
            return;
        }
        totals.billed_tokens += settlement.consumed_tokens;
        totals.billed_requests += 1;
        if settlement.keyed {
            let (body_hash, outcome) = (settlement.body_hash, settlement.outcome.clone());
            self.record_state(settlement.key, IdState::Settled { body_hash, outcome });
        }
    }
}
