//! The state of backend servers at one router, and the choice of a server for a request.
//!
//! Load reports are delayed. The router counts its own requests exactly and takes only the average
//! number of other routers' requests from the reports. It samples servers at random and takes the
//! cheapest one, so that routers with the same outdated view do not all pick the same server.

mod affinity;
mod answer_time;
mod backoff;
mod by_prompt;
mod capacity;
mod directives;
mod health;
mod limit_checks;
mod limits;
mod permits;
mod restarts;
mod seats;
mod versions;
mod vm;
mod warm_up;

pub use backoff::Backoff;
pub use by_prompt::{Choice, Part, chain};
pub use directives::{AnswerAge, Directive, Directives, Header};
pub use limits::{AnswerId, KnownLimit, LimitChange, LimitReport, LimitUpdate, Limits};
pub use permits::{
    PERMIT_TTL_MS, PermitsGranted, PermitsRequested, TRIAL_INTERVAL_MAX_MS, trial_interval_ms,
};
pub use restarts::Restarted;
pub use seats::{Brittle, BrittleUpdate, Pool, Seats, SeatsDealt, SeatsRequested};
pub use vm::{Load, Vm, VmState};
pub use warm_up::{ColdLimit, Fleet};

use crate::{ids, rendezvous};
use rand::rngs;
use rand::seq::IndexedRandom;
use std::collections;

/// Assumed number of concurrent requests of a server that has not reported its slots.
const DEFAULT_SLOTS: u64 = 8;
/// Weight of a load report in the moving average of the load: one part in this many.
const REPORT_AVERAGE_DIVISOR: u64 = 16;
/// Share of the open servers that is sampled and compared, in percent, and the minimum sample.
const SAMPLE_PERCENT: usize = 50;
const SAMPLE_MIN: usize = 2;

/// What this router has recorded about one incarnation of a backend server, that is, one run of its process: its record
/// in the platform's list, its load, its answer time and its failures. The router compares these values to choose a
/// server for a request.
#[derive(Clone, Debug)]
pub struct Server {
    /// VM on which the server runs.
    pub vm: Vm,
    /// Whether a later incarnation of the server is known. The slot then stays only for requests
    /// that still run.
    superseded: bool,
    /// Whether the last list contained the server. Its record may expire and reappear while
    /// requests run on it.
    listed: bool,
    /// Whether its failure domain is evacuated.
    evacuated: bool,
    /// Whether streams that clients can continue may begin at its version.
    version_recorded: bool,
    warm_up: Option<warm_up::WarmUp>,
    /// Last load report of the server.
    pub load: Option<Load>,
    /// Number of this router's requests on the server.
    pub in_flight: u64,
    /// Moving average of all requests on the server, in thousandths.
    total_load_milli: u64,
    /// Moving average of this router's requests on the server at the times of the reports, in
    /// thousandths.
    own_load_milli: u64,
    answer_time: answer_time::AnswerTime,
    /// Prompt tokens that this router sent and that the server has not processed yet.
    unread_tokens: u64,
    name_hash: u64,
    failures: u32,
    /// Failures of requests that were sent before are not counted: the link to the server was lost then.
    failures_count_from_ms: u64,
    ejected_until_ms: u64,
    /// When the last ejection began. Requests that were sent before don't prolong it.
    ejected_ms: u64,
    probing: bool,
    /// Backoff that the server requested, kept until its normal share of requests is restored.
    backoff: Option<Backoff>,
    /// Time of the last rejection that counted as a failure.
    rejected_ms: Option<u64>,
    /// Headers of the server that were unreadable; each is logged once.
    unreadable_headers: collections::BTreeSet<Header>,
}

impl Server {
    fn new(vm: Vm) -> Self {
        Self {
            superseded: false,
            listed: true,
            evacuated: false,
            version_recorded: false,
            warm_up: None,
            unread_tokens: 0,
            name_hash: rendezvous::digest(&vm.vm),
            vm,
            load: None,
            in_flight: 0,
            total_load_milli: 0,
            own_load_milli: 0,
            answer_time: answer_time::AnswerTime::default(),
            failures: 0,
            failures_count_from_ms: 0,
            ejected_until_ms: 0,
            ejected_ms: 0,
            probing: false,
            backoff: None,
            rejected_ms: None,
            unreadable_headers: Default::default(),
        }
    }

    /// Whether a later incarnation of the server is known. The slot then stays only for requests
    /// that still run.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Hash of the VM's name.
    pub fn name_hash(&self) -> u64 {
        self.name_hash
    }

    /// Number of requests that the server processes at once.
    pub fn slots(&self) -> u64 {
        match (self.load, self.vm.slots) {
            (Some(load), _) => load.slots.max(1),
            (None, 0) => DEFAULT_SLOTS,
            (None, slots) => slots,
        }
    }

    /// Estimated number of requests on the server: this router's exact count, plus the average
    /// number of other routers' requests from the delayed load reports.
    pub fn estimated_load(&self) -> u64 {
        self.in_flight + self.total_load_milli.saturating_sub(self.own_load_milli) / 1_000
    }

    /// Whether the server may receive new requests.
    pub fn is_live(&self) -> bool {
        !self.superseded && self.listed && !self.evacuated && self.vm.state == VmState::Live
    }

    /// Whether the server is listed and leaving.
    pub fn is_leaving(&self) -> bool {
        !self.superseded && self.listed && self.vm.state == VmState::Leaving
    }

    fn has_room(&self) -> bool {
        self.estimated_load() < self.slots()
    }

    /// Whether the server gets no request now because it is cold or has just ended a backoff.
    fn is_held_back(&self, now_ms: u64) -> bool {
        self.warm_up.is_some_and(|warm_up| warm_up.holds_back(now_ms))
            || self.backoff.is_some_and(|backoff| backoff.holds_back(now_ms))
    }

    /// Whether the server is live, and its class and version are allowed.
    fn matches(&self, criteria: &Criteria<'_>) -> bool {
        let class = criteria.classes.is_empty() || criteria.classes.contains(&self.vm.class);
        let version = criteria.version.is_none_or(|version| version == self.vm.version);
        let recorded = !criteria.recorded_versions_only || self.version_recorded;
        class && version && recorded && self.is_live()
    }

    /// Estimated time for one more request, in microseconds: the server's answer time scaled by its
    /// load.
    fn cost_us(&self, service_average: answer_time::ServiceAnswerTime, now_ms: u64) -> u64 {
        (self.estimated_load() + 1) * self.answer_time.answer_us(service_average, now_ms).max(1)
            / self.slots()
    }
}

/// The properties of one request by which a backend server is chosen for it: the service, the allowed classes of VM,
/// the software version, the prompt, and the servers on which the request already failed.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Allowed classes of VM; empty allows all.
    pub classes: &'a [String],
    /// Software version that the server must have; `None` allows all.
    pub version: Option<&'a str>,
    /// Whether the store's record must contain the server's version, as a stream begins there that its client may
    /// continue after all routers were lost.
    pub recorded_versions_only: bool,
    /// Hash of the beginning of the prompt.
    pub prefix_hash: Option<u64>,
    /// Parts of the prompt; empty if they are not known.
    pub parts: &'a [Part],
    /// Servers on which this request already failed.
    pub excluded: &'a [ids::ServerSlot],
}

/// The reason why [`Table::choose`] returns no backend server for a request: all matching servers are full, accept only
/// a limited rate of requests, or requested a backoff (a time in which they are sent nothing), or there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unavailable {
    /// Every matching server that does not back off is full, limited or held back after its start, and at least one is
    /// not limited.
    Full,
    /// Every matching server that does not back off is limited, and this router may send to none of
    /// them now.
    Limited,
    /// Every matching server requested a backoff that still lasts.
    Backoff,
    /// No matching server is live.
    None,
    /// No matching server is live whose version is in the store's record, but others are.
    Unrecorded,
}

/// All backend servers of which one router has a record, with the load, limits and failures on which the choice of a
/// server for a request depends.
#[derive(Debug, Default)]
pub struct Table {
    servers: slotmap::SlotMap<ids::ServerSlot, Server>,
    by_vm: collections::HashMap<String, ids::ServerSlot>,
    by_service: collections::BTreeMap<String, Vec<ids::ServerSlot>>,
    prefixes: collections::HashMap<u64, ids::ServerSlot>,
    prefix_order: collections::VecDeque<u64>,
    sent_parts: by_prompt::SentParts,
    evacuated: collections::BTreeSet<String>,
    cold_limits: collections::HashMap<String, ColdLimit>,
    fleet: Fleet,
    restarted: Vec<Restarted>,
    limits: Limits,
    seats: Seats,
    /// Servers with a backoff.
    backing_off: collections::BTreeSet<ids::ServerSlot>,
    /// Number of requests that a limited server did not get because of its limit, by service.
    held_back: collections::BTreeMap<String, u64>,
    versions: versions::Versions,
    /// Average answer time of each service.
    service_answer_times: collections::HashMap<String, answer_time::ServiceAnswerTime>,
}

impl Table {
    /// Applies the platform's list of VMs. A server that is no longer listed stays until its last
    /// request ends.
    pub fn apply_list(&mut self, vms: &[Vm], now_ms: u64) {
        let listed: collections::HashSet<&str> = vms.iter().map(|vm| vm.vm.as_str()).collect();
        for server in self.servers.values_mut() {
            server.listed = listed.contains(server.vm.vm.as_str());
        }
        for vm in vms {
            self.apply_vm(vm, now_ms);
        }
        self.remove_unlisted(&listed, now_ms);
        self.update_versions(now_ms);
    }

    /// Returns the server in a slot.
    pub fn get(&self, slot: ids::ServerSlot) -> Option<&Server> {
        self.servers.get(slot)
    }

    /// Returns the slot of a VM's server.
    pub fn find(&self, vm: &str) -> Option<ids::ServerSlot> {
        self.by_vm.get(vm).copied()
    }

    /// Iterates over all servers with their slots.
    pub fn iter(&self) -> impl Iterator<Item = (ids::ServerSlot, &Server)> {
        self.servers.iter()
    }

    /// Number of live servers of each software version, by service.
    pub fn live_versions(&self) -> collections::BTreeMap<&str, collections::BTreeMap<&str, u64>> {
        let mut versions = collections::BTreeMap::<_, collections::BTreeMap<_, u64>>::new();
        for server in self.servers.values().filter(|server| server.is_live()) {
            let of_service = versions.entry(server.vm.service.as_str()).or_default();
            *of_service.entry(server.vm.version.as_str()).or_default() += 1;
        }
        versions
    }

    /// Chooses a server with room and counts the request on it.
    pub fn choose(
        &mut self,
        criteria: &Criteria<'_>,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Result<Choice, Unavailable> {
        let chosen = self.choose_recorded(criteria, now_ms, rng);
        match chosen {
            Err(Unavailable::None) if self.awaits_record(criteria) => Err(Unavailable::Unrecorded),
            chosen => chosen,
        }
    }

    fn choose_recorded(
        &mut self,
        criteria: &Criteria<'_>,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Result<Choice, Unavailable> {
        if !criteria.parts.is_empty() {
            return self.choose_for_prompt(criteria, now_ms);
        }
        let matching = self.matching(criteria, now_ms);
        if matching.is_empty() {
            return Err(Unavailable::None);
        }
        let open = matching.iter().copied().filter(|slot| self.is_open(*slot, now_ms));
        let open: Vec<ids::ServerSlot> = open.collect();
        let trial = open.iter().copied().find(|slot| self.is_trial_due(*slot, now_ms));
        let chosen = match trial {
            Some(slot) => slot,
            None => {
                let cheapest = self.cheapest_of_sample(&open, now_ms, rng);
                let cheapest = cheapest.ok_or_else(|| self.unavailability(&matching, now_ms))?;
                self.with_affinity(cheapest, &open, criteria.prefix_hash, now_ms)
            }
        };
        self.count_held_back(criteria.service, &matching, now_ms);
        self.count_sent(chosen, now_ms);
        if let Some(hash) = criteria.prefix_hash {
            self.record_prefix(hash, chosen);
        }
        Ok(Choice { slot: chosen, unread_tokens: 0 })
    }

    /// Records that a header of a server was unreadable; returns whether this is the first time.
    pub fn record_unreadable(&mut self, slot: ids::ServerSlot, header: Header) -> bool {
        self.servers.get_mut(slot).is_some_and(|server| server.unreadable_headers.insert(header))
    }

    /// Counts a request on a server as ended.
    pub fn record_end(&mut self, slot: ids::ServerSlot) {
        if let Some(server) = self.servers.get_mut(slot) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }

    /// Records a load report of a server.
    pub fn record_load(&mut self, slot: ids::ServerSlot, load: Load) {
        if let Some(server) = self.servers.get_mut(slot) {
            server.load = Some(load);
            server.total_load_milli =
                moving_average(server.total_load_milli, load.running + load.queued);
            server.own_load_milli = moving_average(server.own_load_milli, server.in_flight);
        }
    }

    /// Servers whose load this router polls, at most `max_per_service` of each service. The subset
    /// differs between routers and stays the same while the servers do.
    pub fn subset(
        &self,
        own: ids::Incarnation,
        max_per_service: usize,
        now_ms: u64,
    ) -> Vec<(ids::ServerSlot, &Server)> {
        let mut chosen = Vec::new();
        for slots in self.by_service.values() {
            let mut ranked: Vec<ids::ServerSlot> = slots.clone();
            ranked.retain(|slot| {
                let server = &self.servers[*slot];
                server.is_live() && !server.backs_off(now_ms)
            });
            ranked.sort_by_key(|slot| {
                std::cmp::Reverse(rendezvous::weight(
                    own.0,
                    rendezvous::digest(&self.servers[*slot].vm.vm),
                ))
            });
            ranked.truncate(max_per_service);
            chosen.extend(ranked.into_iter().map(|slot| (slot, &self.servers[slot])));
        }
        chosen
    }

    /// Removes servers that are no longer listed, except those with running requests or with a
    /// backoff that still lasts: their records may reappear before it ends.
    fn remove_unlisted(&mut self, listed: &collections::HashSet<&str>, now_ms: u64) {
        self.servers.retain(|_, server| {
            let stays = !server.superseded && listed.contains(server.vm.vm.as_str());
            let backs_off = !server.superseded && server.backs_off(now_ms);
            server.in_flight > 0 || stays || backs_off
        });
        let servers = &self.servers;
        self.limits.retain(|slot| servers.contains_key(slot));
        self.seats.retain(|slot| servers.contains_key(slot));
        self.by_vm.retain(|_, slot| servers.contains_key(*slot));
        for slots in self.by_service.values_mut() {
            slots.retain(|slot| servers.contains_key(*slot));
        }
    }

    fn matching(&self, criteria: &Criteria<'_>, now_ms: u64) -> Vec<ids::ServerSlot> {
        let Some(slots) = self.by_service.get(criteria.service) else { return Vec::new() };
        let matches = |slot: &&ids::ServerSlot| {
            self.servers[**slot].matches(criteria) && !criteria.excluded.contains(slot)
        };
        let live: Vec<ids::ServerSlot> = slots.iter().filter(matches).copied().collect();
        // An ejection is this router's own estimate, a backoff is a directive of the server. If all
        // other servers are ejected, an ejected one is used, but never one that backs off.
        let backs_off = |slot: &ids::ServerSlot| self.servers[*slot].backs_off(now_ms);
        let usable = |slot: &ids::ServerSlot| self.servers[*slot].usable(now_ms);
        match live.iter().any(|slot| usable(slot) && !backs_off(slot)) {
            true => live.into_iter().filter(|slot| usable(slot) || backs_off(slot)).collect(),
            false => live,
        }
    }

    /// The cheapest server of a random sample.
    fn cheapest_of_sample(
        &self,
        open: &[ids::ServerSlot],
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Option<ids::ServerSlot> {
        let service_average = self.service_answer_time(open);
        let sampled = open.sample(rng, (open.len() * SAMPLE_PERCENT).div_ceil(100).max(SAMPLE_MIN));
        sampled.min_by_key(|slot| self.servers[**slot].cost_us(service_average, now_ms)).copied()
    }

    /// Average answer time of the service to which these servers belong.
    fn service_answer_time(&self, slots: &[ids::ServerSlot]) -> answer_time::ServiceAnswerTime {
        let service = slots.first().map(|slot| &self.servers[*slot].vm.service);
        service
            .and_then(|service| self.service_answer_times.get(service))
            .copied()
            .unwrap_or_default()
    }

    fn count_sent(&mut self, slot: ids::ServerSlot, now_ms: u64) {
        let server = &mut self.servers[slot];
        if let Some(warm_up) = &mut server.warm_up {
            warm_up.count(now_ms);
        }
        if let Some(backoff) = &mut server.backoff {
            backoff.count(now_ms);
        }
        server.in_flight += 1;
        self.limits.count(slot, now_ms);
        self.seats.count_sent(slot, now_ms);
        server.mark_probed();
    }
}

fn moving_average(average_milli: u64, requests: u64) -> u64 {
    (average_milli * (REPORT_AVERAGE_DIVISOR - 1) + requests * 1_000) / REPORT_AVERAGE_DIVISOR
}
