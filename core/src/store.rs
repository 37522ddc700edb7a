//! The interface of the core to the platform's key-value store: typed calls and typed replies.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A point in the history of the platform's key-value store, used to order the values and changes that routers read
/// from it.
///
/// A store that is restored from a backup returns to a lower revision and assigns the later ones again. Each restore
/// starts a new era, so positions are ordered by era first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The number of times the store had been restored.
    pub era: u64,
    /// The revision within that era; 0 before the first change.
    pub revision: u64,
}

impl Position {
    /// The position before the first change.
    pub const START: Self = Self { era: 0, revision: 0 };

    /// Returns the position of a revision in an era.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// One call of a router to the platform's key-value store: a read, a conditional write or a deletion. Every call counts
/// against the platform's rate limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Reads the value of one key.
    Read {
        /// The key to read.
        key: String,
    },
    /// Writes one key if its modification index still is `expected_index` (revision 0: the key is absent) and the store
    /// has no marker of a later era. Markers are keys that the first writes after a restore of the store set.
    Write {
        /// The key to write.
        key: String,
        /// The index of the value when it was read.
        expected_index: Position,
        /// The value to store.
        value: Vec<u8>,
        /// Also sets the marker of the era of `expected_index`, so that pending writes of earlier eras are refused.
        sets_era_marker: bool,
    },
    /// Deletes all keys with a prefix; the reply is [`Reply::Written`].
    DeletePrefix {
        /// The prefix of the keys to delete.
        prefix: String,
    },
}

impl Request {
    /// Returns whether the call counts as a write.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Write { .. } | Self::DeletePrefix { .. })
    }
}

impl Reply {
    /// Returns the store's era; `None` if the reply does not contain it.
    pub fn era(&self) -> Option<u64> {
        match self {
            Self::Missing { era } | Self::Written { era } => Some(*era),
            Self::Found { index, .. }
            | Self::WrittenAt { index }
            | Self::ConflictWith { index, .. }
            | Self::Undecodable { index } => Some(index.era),
            Self::Conflict | Self::Unknown => None,
        }
    }

    /// Returns the reply without the details that only some stores return.
    pub fn without_details(self) -> Self {
        match self {
            Self::WrittenAt { index } => Self::Written { era: index.era },
            Self::ConflictWith { .. } | Self::Undecodable { .. } => Self::Conflict,
            other => other,
        }
    }
}

/// The result of a [`Request`] to the platform's key-value store: what was read, whether the write took effect, or that
/// no reply arrived and the effect is not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The key exists, and its value was read.
    Found {
        /// The modification index of the value.
        index: Position,
        /// The value of the key.
        value: Vec<u8>,
    },
    /// The key is absent.
    Missing {
        /// The era of the store when it replied.
        era: u64,
    },
    /// The compare-and-swap or the deletion took effect.
    Written {
        /// The era of the store when it replied.
        era: u64,
    },
    /// The compare-and-swap took effect, and the value now has this index.
    WrittenAt {
        /// The modification index of the value.
        index: Position,
    },
    /// The compare-and-swap did not take effect, and never will.
    Conflict,
    /// The compare-and-swap did not take effect, and never will; contains the current value.
    ConflictWith {
        /// The modification index of the value.
        index: Position,
        /// The value of the key.
        value: Vec<u8>,
    },
    /// The current value is not encoded as the store encodes values. A write had no effect.
    Undecodable {
        /// The modification index of the value.
        index: Position,
    },
    /// There was no reply: the call may have taken effect, may take effect later, or never.
    Unknown,
}
