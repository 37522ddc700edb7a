//! The polls of the store in flight, and why one of them is abandoned.

use crate::store;

/// How a router found out that the store will probably not answer one of its polls (requests for changes): a later poll
/// of this router returned an update that this poll should have returned, or another router reported such an update.
/// The router then waits only shortly for the answer, abandons the poll, and reports this reason in the
/// [`AbandonedPoll`].
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

/// A poll of the platform's store whose answer this router no longer waits for, with the reason. It is reported so that
/// it can be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbandonedPoll {
    /// The number of the poll.
    pub number: u64,
    /// How long the poll had been in flight, in milliseconds.
    pub waited_ms: u64,
    /// What showed that no answer was to be expected.
    pub evidence: Evidence,
}

/// A poll that the platform's store has not answered yet, in the form in which [`super::Subscription`] reports it for a
/// log line: its number, how long ago it was sent, and how long the store may wait for a change before it answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenPoll {
    /// The number of the poll.
    pub number: u64,
    /// How long the store may wait for a change, in milliseconds.
    pub wait_ms: u64,
    /// How long ago the poll was sent, in milliseconds.
    pub sent_ms_ago: u64,
}

/// What a router takes into account of the other routers to decide whether it polls the platform's store itself: the
/// number of live routers, its rank among them, and whether it receives nothing from any of them.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// The number of live routers, including this one.
    pub routers: u64,
    /// This router's position among them in the order of their ids, from 0.
    pub rank: u64,
    /// Whether nothing was received from any peer for as long as a copy takes to become stale.
    pub alone: bool,
}

/// A poll of the platform's store that was sent and not answered, with what was requested. It is used to decide whether
/// an answer still applies to this router's copy.
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
