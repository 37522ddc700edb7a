//! How many requests of a service this router may send to the service's servers in a time.

use super::Table;

const US_PER_MS: u64 = 1_000;

impl Table {
    /// Number of requests that the servers of a service take from this router within `time_ms`, if it keeps the share
    /// of their load that it has now. Limited and brittle servers, and those that are held back, are not counted.
    pub fn requests_within(&self, service: &str, time_ms: u64, now_ms: u64) -> usize {
        let slots = self.by_service.get(service).into_iter().flatten();
        let average = self.service_answer_times.get(service).copied().unwrap_or_default();
        let (mut requests, mut own_load, mut load) = (0, 0, 0);
        for slot in slots {
            let Some(server) = self.servers.get(*slot).filter(|server| server.usable(now_ms))
            else {
                continue;
            };
            let unlimited = self.limits.limited(*slot).is_none() && self.seats.get(*slot).is_none();
            if !unlimited || server.is_held_back(now_ms) {
                continue;
            }
            let answer_us = server.answer_time.answer_us(average, now_ms).max(1);
            requests += server.slots() * time_ms * US_PER_MS / answer_us;
            own_load += server.in_flight;
            load += server.estimated_load();
        }
        usize::try_from(requests * own_load / load.max(1)).unwrap_or(usize::MAX)
    }
}
