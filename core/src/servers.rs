//! Backend servers as one router sees them, and the choice among them.
//!
//! Reports of load come late. The router knows its own requests exactly and takes from the reports
//! only what others have there, on average. Of two candidates drawn at random the better one is taken:
//! routers with the same old view then do not all pick the same server.

mod affinity;
mod backoff;
mod by_prompt;
mod health;
mod limits;
mod lives;
mod pace;
mod permits;
mod said;
mod sharing;
mod vm;
mod warm_up;

pub use backoff::Backoff;
pub use by_prompt::{Choice, Part, chain};
pub use limits::{AnswerId, Known, LimitChange, LimitNews, LimitReport, Limits};
pub use lives::Restarted;
pub use permits::{
    KEPT_MS as PERMIT_KEPT_MS, PermitsGranted, PermitsWanted, TRIAL_EVERY_MAX_MS, trial_every_ms,
};
pub use said::{AnswerAge, Header, Said, Stated};
pub use vm::{Load, Vm, VmState};
pub use warm_up::{ColdLimit, Fleet};

use crate::{ids, rendezvous};
use rand::rngs;
use rand::seq::IndexedRandom;
use std::collections;

/// Requests at once on a server that has not reported its slots.
const DEFAULT_SLOTS: u64 = 8;
/// A report counts for one part in so many of the average load.
const REPORT_WEIGHT: u64 = 16;
/// Of a hundred servers with room, so many are compared; at least two.
const DRAWN_PERCENT: usize = 50;
const DRAWN_MIN: usize = 2;

/// One backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The VM that it runs on.
    pub vm: Vm,
    /// Whether a later life of it was heard of: only what still runs on this one keeps it here.
    over: bool,
    /// Whether the last list had it. Its record may lapse and come back while requests run on it.
    listed: bool,
    /// Whether its failure domain is evacuated.
    evacuated: bool,
    warm_up: Option<warm_up::WarmUp>,
    /// Its last report.
    pub load: Option<Load>,
    /// This router's requests on it.
    pub in_flight: u64,
    /// All requests on it, averaged over reports, in thousandths.
    all_milli: u64,
    /// This router's requests on it when reports came, averaged alike.
    own_milli: u64,
    pace: pace::Pace,
    /// Tokens of prompts that this router sent and that are not read yet.
    unread_tokens: u64,
    name_hash: u64,
    failures: u32,
    ejected_until_ms: u64,
    probing: bool,
    /// What it asked this router for, until it has its part again.
    backoff: Option<Backoff>,
    /// When it last turned a request away, of those that count.
    turned_away_ms: Option<u64>,
    /// Its headers that could not be read: told once each.
    unreadable: collections::BTreeSet<Header>,
}

impl Server {
    fn new(vm: Vm) -> Self {
        Self {
            over: false,
            listed: true,
            evacuated: false,
            warm_up: None,
            unread_tokens: 0,
            name_hash: rendezvous::digest(&vm.vm),
            vm,
            load: None,
            in_flight: 0,
            all_milli: 0,
            own_milli: 0,
            pace: pace::Pace::default(),
            failures: 0,
            ejected_until_ms: 0,
            probing: false,
            backoff: None,
            turned_away_ms: None,
            unreadable: Default::default(),
        }
    }

    /// Whether a later life of it was heard of; its slot stays for what still runs on it.
    pub fn is_over(&self) -> bool {
        self.over
    }

    /// A digest of its VM's name.
    pub fn name_hash(&self) -> u64 {
        self.name_hash
    }

    /// Places in the server's batch.
    pub fn slots(&self) -> u64 {
        match (self.load, self.vm.slots) {
            (Some(load), _) => load.slots.max(1),
            (None, 0) => DEFAULT_SLOTS,
            (None, slots) => slots,
        }
    }

    /// Requests that are on the server now, as far as can be told: this router's own, which it knows,
    /// and those of others, which late reports show only on average.
    pub fn estimated_load(&self) -> u64 {
        self.in_flight + self.all_milli.saturating_sub(self.own_milli) / 1_000
    }

    /// Whether it may get new work.
    pub fn is_live(&self) -> bool {
        !self.over && self.listed && !self.evacuated && self.vm.state == VmState::Live
    }

    /// Whether it is listed and leaves.
    pub fn leaves(&self) -> bool {
        !self.over && self.listed && self.vm.state == VmState::Leaving
    }

    fn has_room(&self, now_ms: u64) -> bool {
        let held_back = self.warm_up.is_some_and(|warm_up| warm_up.holds_back(now_ms))
            || self.backoff.is_some_and(|backoff| backoff.holds_back(now_ms));
        self.estimated_load() < self.slots() && !held_back
    }

    /// Whether it is live and of a class that is wanted.
    fn fits(&self, wanted: &Wanted<'_>) -> bool {
        let class = wanted.classes.is_empty() || wanted.classes.contains(&self.vm.class);
        class && self.is_live()
    }

    /// The time that one more request would take, in microseconds: the server's pace, stretched by its load.
    fn cost_us(&self, service: pace::ServicePace, now_ms: u64) -> u64 {
        (self.estimated_load() + 1) * self.pace.answer_us(service, now_ms).max(1) / self.slots()
    }
}

/// What to look for.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The service.
    pub service: &'a str,
    /// The classes of VM that the policy allows; empty allows all.
    pub classes: &'a [String],
    /// A digest of the prompt's beginning.
    pub prefix_hash: Option<u64>,
    /// The parts of the prompt, where they are known.
    pub parts: &'a [Part],
    /// Servers that failed this request already.
    pub not: &'a [ids::ServerSlot],
}

/// Why there is no server for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lack {
    /// Every fitting server is full, or limited.
    Full,
    /// Every fitting server is limited, and this router may send to none of them now.
    Limited,
    /// Every fitting server asked this router to send it nothing now.
    Backoff,
    /// No fitting server is live.
    None,
}

/// All servers that this router knows.
#[derive(Debug, Default)]
pub struct Table {
    servers: slotmap::SlotMap<ids::ServerSlot, Server>,
    by_vm: collections::HashMap<String, ids::ServerSlot>,
    by_service: collections::HashMap<String, Vec<ids::ServerSlot>>,
    prefixes: collections::HashMap<u64, ids::ServerSlot>,
    prefix_order: collections::VecDeque<u64>,
    sent: by_prompt::Sent,
    evacuated: collections::BTreeSet<String>,
    cold_limits: collections::HashMap<String, ColdLimit>,
    fleet: Fleet,
    restarted: Vec<Restarted>,
    limits: Limits,
    /// Servers with a backoff.
    backing_off: collections::BTreeSet<ids::ServerSlot>,
    /// Requests that a limited server did not get, by service.
    held_back: collections::BTreeMap<String, u64>,
    /// How fast services answer.
    paces: collections::HashMap<String, pace::ServicePace>,
}

impl Table {
    /// Follows the platform's list. A server that is gone stays until its last request ends.
    pub fn follow(&mut self, vms: &[Vm], now_ms: u64) {
        let listed: collections::HashSet<&str> = vms.iter().map(|vm| vm.vm.as_str()).collect();
        for server in self.servers.values_mut() {
            server.listed = listed.contains(server.vm.vm.as_str());
        }
        for vm in vms {
            self.follow_vm(vm, now_ms);
        }
        self.forget_gone(&listed, now_ms);
    }

    /// The server in a slot.
    pub fn get(&self, slot: ids::ServerSlot) -> Option<&Server> {
        self.servers.get(slot)
    }

    /// The slot of a VM's server.
    pub fn find(&self, vm: &str) -> Option<ids::ServerSlot> {
        self.by_vm.get(vm).copied()
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = (ids::ServerSlot, &Server)> {
        self.servers.iter()
    }

    /// Chooses a server with room and counts the request on it.
    pub fn choose(
        &mut self,
        wanted: &Wanted<'_>,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Result<Choice, Lack> {
        if !wanted.parts.is_empty() {
            return self.choose_for_prompt(wanted, now_ms);
        }
        let fitting = self.fitting(wanted, now_ms);
        if fitting.is_empty() {
            return Err(Lack::None);
        }
        let open = fitting.iter().copied().filter(|slot| self.is_open(*slot, now_ms));
        let open: Vec<ids::ServerSlot> = open.collect();
        let trial = open.iter().copied().find(|slot| self.wants_trial(*slot, now_ms));
        let chosen = match trial {
            Some(slot) => slot,
            None => {
                let better = self.best_of_some(&open, now_ms, rng);
                let better = better.ok_or_else(|| self.lack(&fitting, now_ms))?;
                self.with_affinity(better, &open, wanted.prefix_hash, now_ms)
            }
        };
        self.count_held_back(wanted.service, &fitting, now_ms);
        self.started(chosen, now_ms);
        if let Some(hash) = wanted.prefix_hash {
            self.remember_prefix(hash, chosen);
        }
        Ok(Choice { slot: chosen, unread_tokens: 0 })
    }

    /// Whether a header of a server could not be read for the first time.
    pub fn note_unreadable(&mut self, slot: ids::ServerSlot, header: Header) -> bool {
        self.servers.get_mut(slot).is_some_and(|server| server.unreadable.insert(header))
    }

    /// Counts a request off a server again.
    pub fn ended(&mut self, slot: ids::ServerSlot) {
        if let Some(server) = self.servers.get_mut(slot) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }

    /// Takes in a load report of a server.
    pub fn reported(&mut self, slot: ids::ServerSlot, load: Load) {
        if let Some(server) = self.servers.get_mut(slot) {
            server.load = Some(load);
            server.all_milli = averaged(server.all_milli, load.running + load.queued);
            server.own_milli = averaged(server.own_milli, server.in_flight);
        }
    }

    /// The servers whose load this router asks for: at most `most` of each service, a subset that
    /// is its own and stays the same while the servers do.
    pub fn subset(
        &self,
        own: ids::Incarnation,
        most: usize,
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
            ranked.truncate(most);
            chosen.extend(ranked.into_iter().map(|slot| (slot, &self.servers[slot])));
        }
        chosen
    }

    /// A server that is gone stays while requests run on it, and while it backs off: its record may be back before.
    fn forget_gone(&mut self, listed: &collections::HashSet<&str>, now_ms: u64) {
        self.servers.retain(|_, server| {
            let stays = !server.over && listed.contains(server.vm.vm.as_str());
            let backs_off = !server.over && server.backs_off(now_ms);
            server.in_flight > 0 || stays || backs_off
        });
        let servers = &self.servers;
        self.limits.retain(|slot| servers.contains_key(slot));
        self.by_vm.retain(|_, slot| servers.contains_key(*slot));
        for slots in self.by_service.values_mut() {
            slots.retain(|slot| servers.contains_key(*slot));
        }
    }

    fn fitting(&self, wanted: &Wanted<'_>, now_ms: u64) -> Vec<ids::ServerSlot> {
        let Some(slots) = self.by_service.get(wanted.service) else { return Vec::new() };
        let fits = |slot: &&ids::ServerSlot| {
            self.servers[**slot].fits(wanted) && !wanted.not.contains(slot)
        };
        let live: Vec<ids::ServerSlot> = slots.iter().filter(fits).copied().collect();
        // Ejection is this router's guess, a backoff the server's word: where all others were ejected, one that failed
        // lately is better than none, but one that backs off is not.
        let backs_off = |slot: &ids::ServerSlot| self.servers[*slot].backs_off(now_ms);
        let usable = |slot: &ids::ServerSlot| self.servers[*slot].usable(now_ms);
        match live.iter().any(|slot| usable(slot) && !backs_off(slot)) {
            true => live.into_iter().filter(|slot| usable(slot) || backs_off(slot)).collect(),
            false => live,
        }
    }

    /// The cheapest of some that are drawn at random.
    fn best_of_some(
        &self,
        open: &[ids::ServerSlot],
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Option<ids::ServerSlot> {
        let service = self.service_pace(open);
        let drawn = open.sample(rng, (open.len() * DRAWN_PERCENT).div_ceil(100).max(DRAWN_MIN));
        drawn.min_by_key(|slot| self.servers[**slot].cost_us(service, now_ms)).copied()
    }

    /// How fast the service of these servers answers.
    fn service_pace(&self, slots: &[ids::ServerSlot]) -> pace::ServicePace {
        let service = slots.first().map(|slot| &self.servers[*slot].vm.service);
        service.and_then(|service| self.paces.get(service)).copied().unwrap_or_default()
    }

    fn started(&mut self, slot: ids::ServerSlot, now_ms: u64) {
        let server = &mut self.servers[slot];
        if let Some(warm_up) = &mut server.warm_up {
            warm_up.count(now_ms);
        }
        if let Some(backoff) = &mut server.backoff {
            backoff.count(now_ms);
        }
        server.in_flight += 1;
        self.limits.count(slot, now_ms);
        server.note_probing();
    }
}

fn averaged(average_milli: u64, requests: u64) -> u64 {
    (average_milli * (REPORT_WEIGHT - 1) + requests * 1_000) / REPORT_WEIGHT
}
