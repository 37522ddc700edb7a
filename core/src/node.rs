//! One router's control state: tables, and the systems that run over them each tick.
//!
//! [`Node`] takes events as method calls and leaves what is to be done in a list of [`Action`]s. The
//! systems live in the modules beside this one: `admit` (from request to dispatch), `retries`, `tokens` and `queue`
//! (what requests wait for), `limits` (what servers take), `said` (what they say of themselves), `settle` (their ends), `platform` (calls to the store), `peers` (messages).

mod admit;
mod adopt;
mod confirmations;
mod copies;
mod counters;
mod dump;
mod era_record;
mod eras;
mod evacuate;
mod holders;
mod lifecycle;
mod limits;
mod notices;
mod outage;
mod pauses;
mod peers;
mod platform;
mod quarantine;
mod questions;
mod queue;
mod relay;
mod retries;
mod said;
mod settle;
mod tokens;
mod types;
mod watching;

pub use counters::{CallOutcome, CallPurpose, Counters};
pub use notices::{ConfigSource, LimitSource, Notice, QuarantineSource};
pub use quarantine::BrokenRun;
pub use types::*;

use crate::{
    config, evacuation, grants, ids, leaving_servers, ledger, ledger_writer, limiter, log_writer,
    members, outbox, retry, servers, store, watch,
};
use rand::SeedableRng;
use rand::rngs;
use std::collections;

/// The share of the platform's rates that the routers use together, in percent; operators, engines
/// and watches need the rest.
const PLATFORM_SHARE_PERCENT: u64 = 70;
/// How often spend rates are measured.
const MEASURE_EVERY_MS: u64 = 500;

/// Where a request stands. Each stage owns what it may still use.
#[derive(Debug)]
enum Stage {
    /// Too few tokens are free here.
    WaitingBudget,
    /// Every fitting server is full.
    WaitingServer { reservation: crate::request::Reservation<crate::request::Held> },
    /// Its claim is not durable yet.
    WaitingClaim {
        reservation: crate::request::Reservation<crate::request::Held>,
        server: ids::ServerSlot,
        appended: bool,
        /// When another attempt was last seen to hold the id: this one waits for its outcome.
        taken_ms: Option<u64>,
    },
    /// Sent to a server.
    Running {
        reservation: crate::request::Reservation<crate::request::Sent>,
        server: ids::ServerSlot,
        sent_ms: u64,
    },
    /// Settled; its last chunk waits until the settlement is safe.
    Ending,
}

#[derive(Debug)]
struct Request {
    wanted: Wanted,
    budget: ids::BudgetSlot,
    attempt: ids::AttemptId,
    stage: Stage,
    stage_since_ms: u64,
    failed_servers: Vec<ids::ServerSlot>,
    /// Servers on which it may have run and failed.
    attempts: u32,
    /// Tokens that its server has to read before the first token of the answer.
    unread_tokens: u64,
}

/// What was asked of peers for one budget.
#[derive(Debug, Default)]
struct Ask {
    unanswered: collections::BTreeSet<ids::Incarnation>,
    asked_ms: u64,
    /// Everybody was asked in vain: until then, requests of this size are refused at once.
    refused_until_ms: u64,
    refused_tokens: u64,
    refused_reason: Option<Reason>,
    /// When the store was last followed.
    followed_ms: u64,
    /// No holder could help: until then, tokens come straight from the ledger.
    direct_until_ms: u64,
}

/// A router's control state.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    rng: rngs::StdRng,
    actions: Vec<Action>,
    lifecycle: Lifecycle,
    config: Option<config::Published>,
    vms: collections::HashMap<String, servers::Vm>,
    vms_index: store::Position,
    vms_heard_ms: u64,
    /// The first list in which this router saw its own VM; [`store::Position::START`] before that.
    listed_index: store::Position,
    leavings: leaving_servers::LeavingServers,
    leavings_told_ms: u64,
    grants: grants::Table,
    servers: servers::Table,
    members: members::Table,
    ledgers: Vec<ledger_writer::Writer>,
    logs: Vec<log_writer::Writer>,
    /// This router's settlements, counted for each shard of the log.
    settled_in_shard: Vec<u64>,
    requests: slotmap::SlotMap<ids::RequestSlot, Request>,
    by_key: collections::HashMap<ids::RequestKey, ids::RequestSlot>,
    by_attempt: collections::HashMap<ids::AttemptId, ids::RequestSlot>,
    waiting_servers: collections::BTreeSet<queue::Place>,
    drained: collections::HashMap<String, queue::Drain>,
    asks: collections::HashMap<ids::BudgetSlot, Ask>,
    retries: collections::HashMap<String, retry::Budget>,
    /// The most routers that were live at once in this life: those that are cut off still count.
    most_routers: u64,
    outbox: outbox::Outbox,
    holders: holders::Holders,
    outage: outage::Outage,
    /// VMs that are missing from the platform's list and may be back soon.
    lapsed: Vec<servers::Vm>,
    evacuations: evacuation::Evacuations,
    eras: eras::Eras,
    era_record: era_record::Known,
    confirmations: confirmations::Confirmations,
    /// The age that a backup of the store has at most when it is restored.
    backup_age_ms: u64,
    /// Whether no router of this deployment has run before this one and those that started with it.
    is_first_start: bool,
    pauses: pauses::Pauses,
    quarantine: quarantine::Quarantine,
    limits: limits::Sharing,
    /// How the store's news are followed; `None` where the shell follows them.
    watching: Option<watching::Watching>,
    relay: relay::Relay,
    started_ms: u64,
    calls: collections::HashMap<ids::CallId, platform::StoreCall>,
    next_call: u64,
    reads: limiter::RateLimiter,
    writes: limiter::RateLimiter,
    measured_ms: u64,
    counters: Counters,
}

impl Node {
    /// A node that knows nothing yet: it serves once it has a configuration.
    pub fn new(settings: Settings, seed: u64, now_ms: u64) -> Self {
        let own = members::Record {
            id: settings.incarnation,
            address: settings.address.clone(),
            vm: settings.vm.clone(),
            failure_domain: settings.failure_domain.clone(),
            beat: 0,
            health: members::Health::Alive,
        };
        let members = members::Table::new(own, settings.seeds.clone());
        let watching = settings.watch.map(watching::Watching::new);
        let reads = limiter::RateLimiter::new(settings.platform_reads_per_s, 50, now_ms);
        let writes = limiter::RateLimiter::new(settings.platform_writes_per_s, 5, now_ms);
        Self {
            settings,
            rng: rngs::StdRng::seed_from_u64(seed),
            actions: Vec::new(),
            lifecycle: Lifecycle::Starting,
            config: None,
            vms: Default::default(),
            vms_index: store::Position::START,
            vms_heard_ms: 0,
            listed_index: store::Position::START,
            leavings: Default::default(),
            leavings_told_ms: 0,
            grants: grants::Table::default(),
            servers: servers::Table::default(),
            members,
            ledgers: Vec::new(),
            logs: Vec::new(),
            settled_in_shard: Vec::new(),
            requests: Default::default(),
            by_key: Default::default(),
            by_attempt: Default::default(),
            waiting_servers: Default::default(),
            drained: Default::default(),
            asks: Default::default(),
            retries: Default::default(),
            most_routers: 1,
            outbox: outbox::Outbox::default(),
            holders: Default::default(),
            outage: Default::default(),
            lapsed: Vec::new(),
            evacuations: Default::default(),
            eras: Default::default(),
            era_record: Default::default(),
            confirmations: Default::default(),
            backup_age_ms: grants::DEFAULT_BACKUP_AGE_MS,
            is_first_start: false,
            pauses: pauses::Pauses::new(now_ms),
            quarantine: Default::default(),
            limits: Default::default(),
            watching,
            relay: relay::Relay::default(),
            started_ms: now_ms,
            calls: Default::default(),
            next_call: 0,
            reads,
            writes,
            measured_ms: now_ms,
            counters: Counters::default(),
        }
    }

    /// What is to be done since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Where the router is in its life.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&config::Published> {
        self.config.as_ref()
    }

    /// The version in force; 0 before the first.
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// What the list of VMs as known here stands for; [`store::Position::START`] before the first.
    pub fn vms_index(&self) -> store::Position {
        self.vms_index
    }

    /// How long ago this router's copies of what it follows held all that the store had, in milliseconds; empty where
    /// the shell follows the store, `None` for a copy that never did.
    pub fn news_ages_ms(&self, now_ms: u64) -> Vec<(watch::Topic, Option<u64>)> {
        self.watching.iter().flat_map(|watching| watching.ages_ms(now_ms)).collect()
    }

    /// Counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The budgets as held here.
    pub fn grants(&self) -> &grants::Table {
        &self.grants
    }

    /// The servers as seen from here.
    pub fn servers(&self) -> &servers::Table {
        &self.servers
    }

    /// The servers that are known to leave.
    pub fn leavings(&self) -> &leaving_servers::LeavingServers {
        &self.leavings
    }

    /// The routers as seen from here.
    pub fn members(&self) -> &members::Table {
        &self.members
    }

    /// The logs as read so far.
    pub fn logs(&self) -> &[log_writer::Writer] {
        &self.logs
    }

    /// Runs every system once.
    pub fn tick(&mut self, now_ms: u64) {
        self.tick_pauses(now_ms);
        self.tick_members(now_ms);
        self.tick_eras(now_ms);
        self.tick_era_record(now_ms);
        self.tick_confirmations(now_ms);
        self.tick_copies(now_ms);
        self.tick_watching(now_ms);
        self.tick_rates(now_ms);
        self.tick_waiting_budget(now_ms);
        self.tick_said(now_ms);
        self.tick_limits(now_ms);
        self.tick_waiting_servers(now_ms);
        self.tick_waiting_claims(now_ms);
        self.tick_settlements(now_ms);
        self.tick_transfers(now_ms);
        self.tick_holders(now_ms);
        self.tick_quarantine(now_ms);
        self.tick_platform(now_ms);
        self.tick_lifecycle(now_ms);
    }

    /// Takes in a load report of a server, and gives waiting requests what room it shows.
    pub fn report_load(&mut self, slot: ids::ServerSlot, load: servers::Load) {
        self.servers.reported(slot, load);
    }

    /// The answer of a dispatched request has begun: its prompt is read.
    pub fn answering(&mut self, slot: ids::RequestSlot) {
        let Some(request) = self.requests.get_mut(slot) else { return };
        let Stage::Running { server, sent_ms, .. } = &request.stage else { return };
        let tokens = std::mem::take(&mut request.unread_tokens);
        self.servers.has_read(*server, tokens);
        self.servers.answered(*server, *sent_ms);
    }

    /// Takes in what a server said of its load on an answer.
    pub fn report_load_of(&mut self, vm: &str, life: ids::ServerLife, load: servers::Load) {
        if let Some(slot) = self.servers.find_life(vm, life) {
            self.report_load(slot, load);
        }
    }

    /// Changes what the platform takes from all routers together; in force from the next measurement.
    pub fn set_platform_rates(&mut self, reads_per_s: u64, writes_per_s: u64) {
        self.settings.platform_reads_per_s = reads_per_s;
        self.settings.platform_writes_per_s = writes_per_s;
    }

    /// Sets the age that a backup of the store has at most when it is restored, in milliseconds. To be called before the
    /// first configuration; 30 s if it is not.
    pub fn set_backup_age_ms(&mut self, backup_age_ms: u64) {
        self.backup_age_ms = backup_age_ms;
    }

    /// Notes that no router of this deployment has run before, so that a store which was restored earlier has lost nothing
    /// of the ledger. To be called before the first configuration.
    pub fn set_first_start(&mut self) {
        self.is_first_start = true;
    }

    /// Adds addresses where other routers may be found.
    pub fn offer_seeds(&mut self, seeds: Vec<String>) {
        self.members.add_seeds(seeds.into_iter());
    }

    fn tick_rates(&mut self, now_ms: u64) {
        if now_ms < self.measured_ms + MEASURE_EVERY_MS {
            return;
        }
        self.measured_ms = now_ms;
        let routers = self.members.live_count();
        self.most_routers = self.most_routers.max(routers);
        self.grants.measure_rates(now_ms);
        self.note_holders(now_ms);
        self.follow_fleet(now_ms);
        let share = |rate_per_s: u64| (rate_per_s * PLATFORM_SHARE_PERCENT / 100 / routers).max(1);
        self.reads.set_rate(share(self.settings.platform_reads_per_s));
        self.writes.set_rate(share(self.settings.platform_writes_per_s));
        for drain in self.drained.values_mut() {
            drain.measure(now_ms);
        }
    }

    /// Takes a request out of the table.
    fn forget_request(&mut self, slot: ids::RequestSlot) -> Option<Request> {
        let request = self.requests.remove(slot)?;
        self.by_attempt.remove(&request.attempt);
        if self.by_key.get(&request.wanted.key) == Some(&slot) {
            self.by_key.remove(&request.wanted.key);
        }
        Some(request)
    }

    fn ledger_holder(&self) -> ledger::Holder {
        ledger::Holder {
            vm: self.settings.vm.clone(),
            address: self.settings.address.clone(),
            listed_era: self.listed_index.era,
            listed_index: self.listed_index.revision,
        }
    }
}
