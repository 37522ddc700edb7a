//! Copies of ledger shards at other routers, from which draws that a restore of the store loses are recovered.

use super::{Action, Node, Notice};
use crate::{ids, ledger, ledger_writer, members, message, rendezvous, store};
use std::collections;

/// The number of routers that receive a copy of a ledger shard after a write that draws tokens or closes grants. A draw
/// cannot be recovered only if its router and this many others are unavailable.
const LEDGER_COPIES: usize = 2;

/// The number of routers, out of one and the `others` that it has met, that may be unavailable at once while every draw
/// has a copy at another router, or is small. Of routers that it has not met any number may be unavailable.
pub(super) fn unavailable_max(others: usize) -> u64 {
    LEDGER_COPIES.min(others) as u64
}

impl Node {
    /// Unlocks draws that enough other routers have stored a copy of, and sends copies again that were not
    /// acknowledged.
    pub(super) fn tick_ledger_copies(&mut self, now_ms: u64) {
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

    /// Sends a shard of the ledger to other routers, preferably in the same failure domain. They recover it if a
    /// restore of the store loses it and this router is unavailable.
    pub(super) fn send_ledger_copies(
        &mut self,
        shard: usize,
        copied_to: &collections::BTreeSet<ids::Incarnation>,
    ) {
        let Some((position, value)) = self.ledgers[shard].last_seen() else { return };
        let (position, value) = (*position, value.encode());
        let key = rendezvous::digest(&ledger::key(shard as u32));
        let own_domain = self.settings.failure_domain.clone();
        let alive = self.members.live().filter(|record| record.health == members::Health::Alive);
        let alive = alive.filter(|record| !copied_to.contains(&record.id));
        let mut peers: Vec<(bool, u64, ids::Incarnation)> = alive
            .map(|record| {
                let same_domain = record.failure_domain == own_domain;
                (same_domain, rendezvous::weight(key, record.id.0), record.id)
            })
            .collect();
        peers.sort_unstable_by(|left, right| right.cmp(left));
        for (_, _, peer) in peers.into_iter().take(LEDGER_COPIES.saturating_sub(copied_to.len())) {
            let value = value.clone();
            self.send(peer, message::Message::LedgerCopy { shard: shard as u32, position, value });
        }
    }

    /// Stores a copy of a ledger shard that another router wrote. A copy of an earlier era is not acknowledged: this
    /// router may already have reported to others that it has recovered all its data.
    pub(super) fn handle_ledger_copy(
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
                let notice = Notice::UnusableValue(format!(
                    "a peer's copy of ledger shard {shard}: {error}"
                ));
                self.actions.push(Action::Notice(notice));
            }
        }
    }
}
