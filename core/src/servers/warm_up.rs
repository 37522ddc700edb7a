//! Warm-up of cold servers: for some seconds after its start a server can process only a few
//! requests per second from all routers together.
//!
//! Routers divide this rate without a message: the first few in a rendezvous order for each server
//! send to it, each with an equal part. Routers in a network partition see fewer members and use
//! proportionally less.

use super::{Server, Table};
use crate::{ids, limiter, rendezvous};
use std::collections;

/// Share of a cold server's capacity that is used, in percent. Routers whose views of the fleet
/// differ for a moment may send at the same time.
const USED_CAPACITY_PERCENT: u64 = 60;
/// Capacity of a cold server per sending router, in thousandths of a request per second. Each
/// router may have accumulated one request, and the sum of these has to stay small compared to the
/// capacity.
const CAPACITY_PER_ROUTER_MILLI_PER_S: u64 = 2_000;
/// Maximum warm-up time; longer reported times are cut to it.
const COLD_MAX_MS: u64 = 60_000;

/// The rate of requests that each backend server of a service accepts from all routers together while it is cold, that
/// is, for some time after its start, and the length of that time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdLimit {
    /// Rate of requests from all routers together, in thousandths per second; 0 for no limit.
    pub milli_per_s: u64,
    /// Warm-up time after the start of a server, in milliseconds.
    pub start_ms: u64,
}

/// The live routers of the fleet according to this router's membership list. It is used to compute this router's share
/// of the rate at which all routers together may send to a backend server that has just started.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Incarnation of this router.
    pub own: ids::Incarnation,
    /// Routers that share the limit, including this one.
    pub members: Vec<ids::Incarnation>,
    /// Largest number of routers that were known at once.
    pub routers: u64,
    /// Whether membership has had time to converge. Before that, the router sends nothing to cold
    /// servers.
    pub settled: bool,
}

impl Default for Fleet {
    /// The view of a router without peers.
    fn default() -> Self {
        let own = ids::Incarnation(0);
        Self { own, members: vec![own], routers: 1, settled: false }
    }
}

/// The time for which one backend server is cold after its start, with the rate at which this router may send requests
/// to it until then.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    until_ms: u64,
    /// Rate limit of this router for the server; `None` if it may send nothing.
    limiter: Option<limiter::RateLimiter>,
}

impl WarmUp {
    /// Starts a warm-up of `cold_ms`; `None` if the server needs no limit.
    pub fn start(
        cold_ms: u64,
        limit: ColdLimit,
        fleet: &Fleet,
        name_hash: u64,
        now_ms: u64,
    ) -> Option<Self> {
        if cold_ms == 0 || limit.milli_per_s == 0 {
            return None;
        }
        let rate_milli_per_s = rate_milli_per_s(limit, fleet, name_hash);
        let limiter =
            rate_milli_per_s.map(|rate| limiter::RateLimiter::with_milli_rate(rate, 1, now_ms));
        Some(Self { until_ms: now_ms + cold_ms.min(COLD_MAX_MS), limiter })
    }

    /// Whether this router must not send a request to the server now.
    pub fn holds_back(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms && !self.limiter.is_some_and(|limiter| limiter.has_one(now_ms))
    }

    /// Counts a request that is sent to the server.
    pub fn count(&mut self, now_ms: u64) {
        if let Some(limiter) = &mut self.limiter {
            limiter.try_take(now_ms);
        }
    }
}

/// This router's rate for a cold server, in thousandths of a request per second; `None` if only
/// other routers may send.
fn rate_milli_per_s(limit: ColdLimit, fleet: &Fleet, name_hash: u64) -> Option<u64> {
    if !fleet.settled {
        return None;
    }
    let members = fleet.members.len() as u64;
    let used = limit.milli_per_s.saturating_mul(USED_CAPACITY_PERCENT) / 100;
    let share = used.saturating_mul(members.min(fleet.routers)) / fleet.routers.max(1);
    let senders = (share / CAPACITY_PER_ROUTER_MILLI_PER_S + 1).min(members.max(1));
    let weight = |router: ids::Incarnation| rendezvous::weight(name_hash, router.0);
    let own = weight(fleet.own);
    let ranked_before = fleet.members.iter().filter(|router| weight(**router) > own).count() as u64;
    (ranked_before < senders).then_some(share / senders)
}

impl Table {
    /// Failure domains whose servers receive no new requests.
    pub fn evacuated(&self) -> &collections::BTreeSet<String> {
        &self.evacuated
    }

    /// Sets the evacuated failure domains, whose servers receive no new requests. Servers of a
    /// domain that is no longer evacuated start cold.
    pub fn evacuate(&mut self, domains: collections::BTreeSet<String>, now_ms: u64) {
        let returning =
            |server: &&mut Server| server.evacuated && !domains.contains(&server.vm.failure_domain);
        for server in self.servers.values_mut().filter(returning) {
            let limit = self.cold_limits.get(&server.vm.service).copied().unwrap_or_default();
            server.warm_up =
                WarmUp::start(limit.start_ms, limit, &self.fleet, server.name_hash, now_ms);
        }
        for server in self.servers.values_mut() {
            server.evacuated = domains.contains(&server.vm.failure_domain);
        }
        self.evacuated = domains;
    }

    /// Sets the limits for cold servers by service. A starting router may receive the record of a
    /// cold server before these limits, so the first call starts the warm-ups.
    pub fn set_cold_limits(
        &mut self,
        limits: impl Iterator<Item = (String, ColdLimit)>,
        now_ms: u64,
    ) {
        let first = self.cold_limits.is_empty();
        self.cold_limits = limits.collect();
        if first {
            let slots: Vec<ids::ServerSlot> = self.servers.keys().collect();
            slots.into_iter().for_each(|slot| self.start_warm_up(slot, now_ms));
        }
    }

    /// Sets the view of the fleet from which this router's share is computed.
    pub fn set_fleet(&mut self, fleet: Fleet) {
        self.fleet = fleet;
    }

    /// Starts the warm-up of a server that reported itself cold.
    pub(super) fn start_warm_up(&mut self, slot: ids::ServerSlot, now_ms: u64) {
        let server = &mut self.servers[slot];
        let limit = self.cold_limits.get(&server.vm.service).copied().unwrap_or_default();
        let (cold_ms, name_hash) = (server.vm.cold_ms, server.name_hash);
        server.warm_up = WarmUp::start(cold_ms, limit, &self.fleet, name_hash, now_ms);
    }
}
