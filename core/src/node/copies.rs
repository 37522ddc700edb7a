//! Copies of the ledger at other routers, for draws that a restore of the store loses.

use super::{Action, Node, Notice};
use crate::{ids, ledger, ledger_writer, members, message, rendezvous, store};
use std::collections;

/// The number of routers that get a copy of a ledger value after a write that draws tokens or closes grants. A draw is
/// unknown to the others only if its router and so many more are unavailable.
const LEDGER_COPIES: usize = 2;

impl Node {
    /// Unlocks draws that enough other routers have a copy of, and sends copies again that were not stored.
    pub(super) fn tick_copies(&mut self, now_ms: u64) {
        if !self.ledgers.iter().any(ledger_writer::Writer::has_unreplicated_draws) {
            return;
        }
        let copies = LEDGER_COPIES.min(self.members.other_addresses());
        for shard in 0..self.ledgers.len() {
            if !self.ledgers[shard].has_unreplicated_draws() {
                continue;
            }
            self.ledgers[shard].lock_unreplicated_draws(&mut self.grants, copies, now_ms);
            if let Some(copied_to) = self.ledgers[shard].copies_due(now_ms) {
                self.send_ledger_copies(shard, &copied_to);
            }
        }
    }

    /// The number of routers that may be silent at once while every draw is known to another router, or small.
    pub(super) fn silent_max(&self) -> u64 {
        LEDGER_COPIES.min(self.members.other_addresses()) as u64
    }

    /// Sends a shard of the ledger to other routers, preferably in the same failure domain. They recover it if a restore
    /// of the store loses it and this router is unavailable.
    pub(super) fn send_ledger_copies(
        &mut self,
        shard: usize,
        copied_to: &collections::BTreeSet<ids::Incarnation>,
    ) {
        let Some((position, value)) = self.ledgers[shard].last_seen() else { return };
        let (position, value) = (*position, value.encode());
        let key = rendezvous::digest(&ledger::key(shard as u32));
        let own_domain = self.settings.failure_domain.clone();
        let alive = self.members.live().filter(|it| it.health == members::Health::Alive);
        let alive = alive.filter(|it| !copied_to.contains(&it.id));
        let mut peers: Vec<(bool, u64, ids::Incarnation)> = alive
            .map(|it| {
                let same_domain = it.failure_domain == own_domain;
                (same_domain, rendezvous::weight(key, it.id.0), it.id)
            })
            .collect();
        peers.sort_unstable_by(|one, other| other.cmp(one));
        for (_, _, peer) in peers.into_iter().take(LEDGER_COPIES.saturating_sub(copied_to.len())) {
            let value = value.clone();
            self.send(peer, message::Message::LedgerCopy { shard: shard as u32, position, value });
        }
    }

    /// Stores a copy of a ledger shard that another router wrote. A copy of an earlier era is not acknowledged: this
    /// router may have told others already that it has recovered all it knew.
    pub(super) fn take_ledger_copy(
        &mut self,
        from: ids::Incarnation,
        shard: u32,
        position: store::Position,
        value: &[u8],
    ) {
        let era = self.store_era();
        let Some(ledger) = self.ledgers.get_mut(shard as usize) else { return };
        match ledger::Shard::decode(value) {
            Ok(copy) => {
                let write = copy.writes.get(&from).copied();
                ledger.merge_peer_copy(position, copy, era);
                if let Some(write) = write.filter(|_| position.era >= era) {
                    self.send(from, message::Message::LedgerCopyStored { shard, write });
                }
            }
            Err(error) => {
                let notice =
                    Notice::Unusable(format!("a peer's copy of ledger shard {shard}: {error}"));
                self.actions.push(Action::Notice(notice));
            }
        }
    }
}
