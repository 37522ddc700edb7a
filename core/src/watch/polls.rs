//! The polls of the store in flight, and why one of them is abandoned.

use crate::store;

/// What shows that a poll will probably not be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The answer to a later poll of this router contained an update that this poll should have returned.
    LaterCall,
    /// A peer reported such an update.
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

/// A poll that was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbandonedPoll {
    /// The number of the poll.
    pub number: u64,
    /// How long the poll had been in flight, in milliseconds.
    pub waited_ms: u64,
    /// What showed that no answer was to be expected.
    pub evidence: Evidence,
}

/// A poll in flight, as it is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenPoll {
    /// The number of the poll.
    pub number: u64,
    /// How long the store may wait for a change, in milliseconds.
    pub wait_ms: u64,
    /// How long ago the poll was sent, in milliseconds.
    pub sent_ms_ago: u64,
}

/// The state of the fleet on which the decision to poll depends.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// The number of live routers, including this one.
    pub routers: u64,
    /// This router's position among them in the order of their ids, from 0.
    pub rank: u64,
    /// Whether nothing was received from any peer for as long as a copy takes to become stale.
    pub alone: bool,
}

/// A poll in flight.
#[derive(Clone, Copy, Debug)]
pub struct PollInFlight {
    /// The number of the poll.
    pub(super) number: u64,
    /// When the poll was sent.
    pub(super) sent_ms: u64,
    /// How long the store may wait for a change, in milliseconds.
    pub(super) wait_ms: u64,
    /// The position after which changes were requested; `None` if the full state was requested.
    pub(super) after: Option<store::Position>,
}

impl PollInFlight {
    /// Returns when the poll was sent.
    pub fn sent_ms(&self) -> u64 {
        self.sent_ms
    }

    /// Returns whether an answer at `position` can be applied. Changes of another era do not continue the copy for
    /// which they were requested.
    pub fn accepts_answer_at(&self, position: store::Position) -> bool {
        self.after.is_none_or(|after| after.era == position.era)
    }
}
