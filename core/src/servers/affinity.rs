//! Cache affinity for prompts without named parts: the server that last received the same prefix is
//! chosen again unless it is much busier than the alternative.

use super::Table;
use crate::ids;

/// Maximum cost of the server with the cached prefix, in percent of the cost of the alternative.
const AFFINITY_MARGIN_PERCENT: u64 = 150;
/// Maximum number of prefixes whose last server is recorded.
const PREFIXES_MAX: usize = 4_096;

impl Table {
    pub(super) fn with_affinity(
        &self,
        cheapest: ids::ServerSlot,
        open: &[ids::ServerSlot],
        prefix_hash: Option<u64>,
        now_ms: u64,
    ) -> ids::ServerSlot {
        let service_average = self.service_answer_time(open);
        let cost_us = |slot: ids::ServerSlot| self.servers[slot].cost_us(service_average, now_ms);
        let cached = prefix_hash.and_then(|hash| self.prefixes.get(&hash)).copied();
        match cached.filter(|slot| open.contains(slot)) {
            Some(slot) if cost_us(slot) * 100 <= cost_us(cheapest) * AFFINITY_MARGIN_PERCENT => {
                slot
            }
            _ => cheapest,
        }
    }

    pub(super) fn record_prefix(&mut self, hash: u64, slot: ids::ServerSlot) {
        if self.prefixes.insert(hash, slot).is_none() {
            self.prefix_order.push_back(hash);
        }
        if self.prefix_order.len() > PREFIXES_MAX
            && let Some(oldest) = self.prefix_order.pop_front()
        {
            self.prefixes.remove(&oldest);
        }
    }
}
