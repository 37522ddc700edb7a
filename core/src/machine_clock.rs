//! The steady clock of the machine that a router runs on. It goes on when the router's process ends, so that the next
//! process on the machine can tell how long ago its predecessor wrote something.

use serde::{Deserialize, Serialize};

/// The greatest difference between the epochs of one run of a clock, in milliseconds: the clock and the time of day are
/// read one after the other.
const EPOCH_DIFFERENCE_MAX_MS: u64 = 50;

/// Identifies one run of a machine's steady clock, from a start of the machine to the next one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockRun {
    /// The kernel's id of the run.
    pub boot: String,
    /// The time of day at time 0 of the clock, in milliseconds since 1970, as seen when the process started. A step of the
    /// time of day, a suspended machine and a clock that starts anew change it.
    pub epoch_ms: u64,
}

impl ClockRun {
    /// Whether times on the clocks of both runs can be compared. Steps of the time of day may hide it, but cannot make it
    /// appear so.
    pub fn is_same(&self, other: &Self) -> bool {
        let difference_ms = self.epoch_ms.abs_diff(other.epoch_ms);
        !self.boot.is_empty() && self.boot == other.boot && difference_ms <= EPOCH_DIFFERENCE_MAX_MS
    }
}

/// A machine's steady clock, and the times on it at which one router process started. Steps of the time of day do not
/// change it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineClock {
    /// The present run of the clock.
    pub run: ClockRun,
    /// The time on this clock, in milliseconds, at time 0 of the [`crate::node::Node`].
    pub origin_ms: u64,
    /// The time on this clock, in milliseconds, at which the process had bound the address for peers. A predecessor at
    /// that address had ended by then.
    pub address_bound_ms: u64,
}

impl MachineClock {
    /// When a predecessor at the same address had ended at the latest, by its own clock in the run `run`; `None` if that
    /// was another run.
    pub fn predecessor_ended_ms(&self, run: &ClockRun) -> Option<u64> {
        let ended_ms = self.address_bound_ms.saturating_add(EPOCH_DIFFERENCE_MAX_MS);
        self.run.is_same(run).then_some(ended_ms)
    }
}
