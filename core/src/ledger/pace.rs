//! Bounds what the holder of a grant may have spent since it last wrote to the ledger.
//!
//! A holder takes tokens for a long outage of the store in advance, and spends them at a bounded rate. Its successor on
//! the same machine knows how long ago the holder wrote at the latest, and so how much of the grant is unspent.

use serde::{Deserialize, Serialize};

/// The bound on what the holder of a [`super::Grant`] spends until it writes again. The holder writes it together with the
/// grant, and exceeds it at no time while the ledger may contain it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The store's era in which it was written. In another era it proves nothing: a restore may have lost later ones.
    pub era: u64,
    /// When it was written, by the steady clock of the holder's machine.
    pub at_ms: u64,
    /// The tokens that may have left the grant by then: those that the holder had consumed, reserved for requests or
    /// sent to others, and those that it may spend at once.
    pub limit_tokens: u64,
    /// How fast the limit rises from then on.
    pub tokens_per_s: u64,
}

impl Pace {
    /// The tokens that may have left the grant at a time of the machine's clock; `None` before it was written.
    pub fn limit_at(&self, at_ms: u64) -> Option<u64> {
        let elapsed_ms = at_ms.checked_sub(self.at_ms)?;
        let added = u128::from(self.tokens_per_s) * u128::from(elapsed_ms) / 1_000;
        let added = u64::try_from(added).unwrap_or(u64::MAX);
        Some(self.limit_tokens.saturating_add(added))
    }
}

/// How it is known that the holder of a grant has terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// Nothing is known of when it terminated.
    AtUnknownTime,
    /// Its process ran on this machine, in the present run of the machine's clock, and had ended by `ended_ms`.
    OnThisMachine {
        /// The time on the machine's steady clock, in milliseconds.
        ended_ms: u64,
    },
}

impl super::Grant {
    /// The most tokens of the grant that its terminated holder may have spent, as read in an era of the store.
    pub fn spent_tokens_max(&self, termination: Termination, era: u64) -> u64 {
        let limit = match (termination, self.pace) {
            (Termination::OnThisMachine { ended_ms }, Some(pace)) if pace.era == era => {
                pace.limit_at(ended_ms)
            }
            _ => None,
        };
        limit.map_or(self.granted_tokens, |limit| {
            limit.max(self.consumed_tokens).min(self.granted_tokens)
        })
    }
}
