//! A record of whether the ledger is complete in the store's era.

use super::Error;
use super::{DecodeSnafu, PREFIX};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

/// A value in the store for its present era, the time since the store was last restored from a backup: whether a budget
/// that the ledger lacks is new, or may have been lost in the restore. Routers determine from it whether tokens that
/// the configuration pays in may be drawn ([`crate::ledger_writer::PrepaidState`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraRecord {
    /// The era in which the record was written.
    pub era: u64,
    /// Whether every budget that was lost at the start of the era is in the ledger again, so that others are new.
    pub settled: bool,
}

impl EraRecord {
    /// Decodes the record from the store's value.
    pub fn decode(value: &[u8]) -> Result<Self, Error> {
        serde_json::from_slice(value).context(DecodeSnafu)
    }

    /// Encodes the record for the store.
    pub fn encode(&self) -> Vec<u8> {
        // An integer and a boolean cannot fail to serialize.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Returns the key of the record in the store.
pub fn era_record_key() -> String {
    format!("{PREFIX}era")
}
