//! When copies matched the store, as routers tell each other.
//!
//! A peer states how old a confirmation is, without the time that its datagram takes. If only that counted, each hop would
//! renew the confirmation a little, and routers that pass on the confirmations of each other would never find a copy stale.

use crate::ids;
use serde::{Deserialize, Serialize};
use std::collections;

/// A moment at which the store was read: which router polled it, and when by the clock of that router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The router that polled the store.
    pub router: ids::Incarnation,
    /// The time since that router started, in milliseconds.
    pub at_ms: u64,
}

/// The latest confirmation of one router, on both clocks.
#[derive(Clone, Copy, Debug)]
struct Latest {
    at_ms: u64,
    local_ms: u64,
}

/// Converts the times of other routers' confirmations to this router's clock.
#[derive(Debug, Default)]
pub struct PeerClocks {
    latest: collections::BTreeMap<ids::Incarnation, Latest>,
}

impl PeerClocks {
    /// Returns when a confirmation happened by this router's clock. `reported_ms` is the time that follows from the age
    /// in a datagram, and is late by the transit time of each hop. A confirmation that was received before, or one before
    /// it, is not later than it was then.
    pub fn local_ms(&mut self, confirmation: Confirmation, reported_ms: u64) -> u64 {
        let Confirmation { router, at_ms } = confirmation;
        match self.latest.get_mut(&router) {
            Some(latest) if at_ms <= latest.at_ms => {
                let earlier_ms = latest.at_ms - at_ms;
                latest.local_ms = latest.local_ms.min(reported_ms.saturating_add(earlier_ms));
                latest.local_ms.saturating_sub(earlier_ms)
            }
            _ => {
                self.latest.insert(router, Latest { at_ms, local_ms: reported_ms });
                reported_ms
            }
        }
    }

    /// Forgets the routers for which `is_live` returns false.
    pub fn retain(&mut self, is_live: impl Fn(ids::Incarnation) -> bool) {
        self.latest.retain(|router, _| is_live(*router));
    }
}
