//! The planned stop of a router.

use super::{Lifecycle, Node, Reason, Stage};
use crate::ids;

impl Node {
    /// Starts a planned stop: new requests are refused, running ones finish, all grants are returned.
    pub fn stop(&mut self, now_ms: u64) {
        if matches!(self.lifecycle, Lifecycle::Stopping | Lifecycle::Stopped) {
            return;
        }
        self.lifecycle = Lifecycle::Stopping;
        self.hand_over_stream_origins(now_ms);
        let waiting: Vec<ids::RequestSlot> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                matches!(request.stage, Stage::WaitingBudget | Stage::WaitingServer { .. })
            })
            .map(|(slot, _)| slot)
            .collect();
        for slot in waiting {
            self.refuse(slot, Reason::Stopping, now_ms);
        }
    }

    /// Completes a planned stop once no request, settlement, transfer or grant is left.
    pub(super) fn tick_lifecycle(&mut self, now_ms: u64) {
        if self.lifecycle != Lifecycle::Stopping {
            return;
        }
        let idle = self.requests.is_empty()
            && self.outbox.settlements.is_empty()
            && self.outbox.transfers.is_empty()
            && self.stream_origins.is_settled()
            && self.logs.iter().all(|log| log.pending() == 0)
            && self.ledgers.iter().all(|ledger| !ledger.busy())
            && self.grants.iter().all(|(_, account)| !account.has_grant);
        if idle {
            self.members.leave();
            self.announce_leaving(now_ms);
            self.lifecycle = Lifecycle::Stopped;
        }
    }
}
