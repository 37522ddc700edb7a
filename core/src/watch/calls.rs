//! Calls for news in flight, and why one of them is given up.

use crate::store;

/// What shows that a call will not be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A later call of this router brought news that this one should have brought.
    LaterCall,
    /// A peer told such news.
    Peer,
}

impl Evidence {
    /// The value of the key `evidence` in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LaterCall => "LaterCall",
            Self::Peer => "Peer",
        }
    }
}

/// A call that was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// Its number.
    pub number: u64,
    /// How long it had been in flight.
    pub waited_ms: u64,
    /// Why.
    pub evidence: Evidence,
}

/// A call in flight, as a log line tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenCall {
    /// Its number.
    pub number: u64,
    /// How long the store may wait.
    pub wait_ms: u64,
    /// How long ago it went out.
    pub sent_ms_ago: u64,
}

/// What a router knows of the fleet when it decides whether to call.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// How many routers there are.
    pub routers: u64,
    /// This router's place among them, by their ids.
    pub rank: u64,
    /// Whether no peer was heard for as long as knowledge may be old.
    pub alone: bool,
}

/// A call in flight.
#[derive(Clone, Copy, Debug)]
pub struct Flight {
    /// Its number.
    pub(super) number: u64,
    /// When it went out.
    pub(super) sent_ms: u64,
    /// How long the store may wait.
    pub(super) wait_ms: u64,
    /// Requested changes after this position; `None` requested the full state.
    pub(super) after: Option<store::Position>,
}

impl Flight {
    /// When the call was sent.
    pub fn sent_ms(&self) -> u64 {
        self.sent_ms
    }

    /// Whether an answer at `position` can be applied. Changes of another era do not continue the copy for which they
    /// were requested.
    pub fn accepts_answer_at(&self, position: store::Position) -> bool {
        self.after.is_none_or(|after| after.era == position.era)
    }
}
