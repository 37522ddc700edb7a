//! The platform's key-value service, as the core sees it: typed calls and typed replies.

/// A call to the store. Every call counts against the platform's rates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Reads one key.
    Read {
        /// The key to read.
        key: String,
    },
    /// Writes one key if its modification index still is `expected_index` (0: the key is absent).
    Write {
        /// The key to write.
        key: String,
        /// The index that the value was read at.
        expected_index: u64,
        /// The new value.
        value: Vec<u8>,
    },
    /// Deletes all keys under a prefix; answered by `Written`.
    DeletePrefix {
        /// The prefix.
        prefix: String,
    },
}

impl Request {
    /// Whether the call counts as a write.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Write { .. } | Self::DeletePrefix { .. })
    }
}

impl Reply {
    /// The reply without what only some stores say.
    pub fn plain(self) -> Self {
        match self {
            Self::WrittenAt { .. } => Self::Written,
            Self::Overtaken { .. } | Self::Undecodable { .. } => Self::Conflict,
            other => other,
        }
    }
}

/// What came back, or that nothing did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The key and its value.
    Found {
        /// The modification index of the value.
        index: u64,
        /// The value.
        value: Vec<u8>,
    },
    /// The key is absent.
    Missing,
    /// The compare-and-swap took effect.
    Written,
    /// The compare-and-swap took effect, and the value now has this index.
    WrittenAt {
        /// The modification index of the value.
        index: u64,
    },
    /// The compare-and-swap did not take effect, and never will.
    Conflict,
    /// The compare-and-swap did not take effect, and never will; this is what lies there.
    Overtaken {
        /// The modification index of the value.
        index: u64,
        /// The value.
        value: Vec<u8>,
    },
    /// What lies there is not encoded as the store encodes values. A write had no effect.
    Undecodable {
        /// The modification index of the value.
        index: u64,
    },
    /// No reply: the call may have taken effect, may do so later, or never.
    Unknown,
}
