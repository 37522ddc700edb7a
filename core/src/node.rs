//! One router's control state: tables, and the functions that process them on each tick.
//!
//! [`Node`] receives events as method calls and queues the effects as a list of [`Action`]s. Its functions are in the
//! submodules: `admit` (from a request to its dispatch), `retries`, `tokens` and `queue` (waits for tokens and for
//! servers), `limits` (rate limits of servers), `seats` (requests at brittle servers), `directives` (headers of servers' answers that direct routers),
//! `stream_origins` (streams that clients continue), `settle` (ends of requests), `platform` (calls to the store), `peers` (messages).

mod admit;
mod config_and_vms;
mod confirmations;
mod counters;
mod directives;
mod dump;
mod earlier_starts;
mod early_statements;
mod era_record;
mod eras;
mod evacuate;
mod holders;
mod ledger_copies;
mod lifecycle;
mod limits;
mod notices;
mod outage;
mod peers;
mod platform;
mod process_pauses;
mod quarantine;
mod queue;
mod record_reads;
mod relay;
mod retries;
mod seats;
mod settle;
mod stream_origins;
mod tokens;
mod transfer_requests;
mod types;
mod version_record;
mod watching;

pub use counters::{CallOutcome, CallPurpose, Counters};
pub use notices::{ConfigSource, LimitSource, Notice, QuarantineSource, UnknownOrigin};
pub use quarantine::BrokenRun;
pub use stream_origins::{OriginFound, OriginSearch, OriginSource};
pub use types::*;

use crate::{
    config, evacuation, grants, ids, leaving_servers, ledger, ledger_writer, limiter, log_writer,
    members, outbox, retry, servers, store, watch,
};
use rand::SeedableRng;
use rand::rngs;
use std::collections;

/// The share of the platform's call rates that all routers use together, in percent; the rest is for operators, backend
/// servers and polls.
const PLATFORM_SHARE_PERCENT: u64 = 70;
/// Interval between measurements of the spending rates.
const MEASURE_INTERVAL_MS: u64 = 500;

/// The processing stage of a request. Each stage owns the reservation that it may still use.
#[derive(Debug)]
enum Stage {
    /// Too few tokens of its budget are free on this router.
    WaitingBudget,
    /// No eligible server has capacity for it.
    WaitingServer { reservation: crate::request::Reservation<crate::request::Held> },
    /// A server is chosen, and its claim is not durable yet.
    WaitingClaim {
        reservation: crate::request::Reservation<crate::request::Held>,
        server: ids::ServerSlot,
        /// Whether this router appended the claim itself.
        appended: bool,
        /// When the log was last checked for the outcome of another attempt that has claimed the id; `None` if none
        /// has.
        other_claim_checked_ms: Option<u64>,
    },
    /// Sent to a server, whose answer has not ended.
    Running {
        reservation: crate::request::Reservation<crate::request::Sent>,
        server: ids::ServerSlot,
        sent_ms: u64,
    },
    /// Settled; its last chunk waits, for a limited time, until the settlement survives a failure of this router.
    WaitingHandover,
}

/// A request that was submitted for admission and has not ended, with the state of its waits and attempts.
#[derive(Debug)]
struct Request {
    admission: AdmissionRequest,
    budget: ids::BudgetSlot,
    attempt: ids::AttemptId,
    stage: Stage,
    stage_since_ms: u64,
    /// Servers to which the request is not sent again.
    failed_servers: Vec<ids::ServerSlot>,
    /// The number of servers on which it may have run and failed.
    attempts: u32,
    /// Software version of the server that wrote the first event of the answer. The answer goes on only at that version.
    version: Option<String>,
    /// Prompt tokens that its server is estimated to process before the first token of the answer.
    unread_tokens: u64,
}

/// The state of the search for one budget's tokens, in the store and at peers.
#[derive(Debug, Default)]
struct TokenSearch {
    /// Peers that have not answered the last transfer request.
    unanswered: collections::BTreeSet<ids::Incarnation>,
    /// When transfer requests were last sent to peers.
    requested_ms: u64,
    /// After an unsuccessful search: until then, requests of `refused_tokens` or more are refused at once.
    refused_until_ms: u64,
    refused_tokens: u64,
    refused_reason: Option<Reason>,
    /// When the last sync of the budget's ledger shard ended.
    synced_ms: u64,
    /// After no holder has answered: until then, tokens are drawn from the ledger.
    direct_draw_until_ms: u64,
}

/// The control state of one router process, with all its decisions: which requests are admitted and to which backend
/// servers they are sent, how many tokens the router takes from budgets, and what it exchanges with the store and with
/// other routers. It receives events as method calls and returns the effects as [`Action`]s.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    rng: rngs::StdRng,
    actions: Vec<Action>,
    lifecycle: Lifecycle,
    config: Option<config::Published>,
    vms: collections::BTreeMap<String, servers::Vm>,
    vms_index: store::Position,
    /// When a list of VMs was last received from the platform.
    vms_received_ms: u64,
    /// The position of the first list that contained this router's own VM; [`store::Position::START`] before that.
    listed_index: store::Position,
    leaving_servers: leaving_servers::LeavingServers,
    leaving_servers_pushed_ms: u64,
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
    waiting_servers: collections::BTreeSet<queue::QueuePosition>,
    /// How fast the queue of each service drains.
    queue_drains: collections::HashMap<String, queue::DrainRate>,
    token_searches: collections::HashMap<ids::BudgetSlot, TokenSearch>,
    retries: collections::HashMap<String, retry::Budget>,
    /// The maximum number of routers that were live at once since this process started, so that routers that are cut
    /// off still count.
    max_live_routers: u64,
    outbox: outbox::Outbox,
    holders: holders::Holders,
    outage: outage::Outage,
    /// VMs whose records expired and may be listed again soon.
    lapsed: Vec<servers::Vm>,
    earlier_starts: earlier_starts::EarlierStarts,
    evacuations: evacuation::Evacuations,
    eras: eras::Eras,
    era_record: era_record::EraRecordState,
    confirmations: confirmations::Confirmations,
    /// The maximum age of a backup of the store at its restore, in milliseconds.
    backup_age_ms: u64,
    /// Whether no router of this deployment ran before this one and those that started with it.
    is_first_start: bool,
    pauses: process_pauses::PauseDetector,
    quarantine: quarantine::Quarantine,
    limits: limits::PermitState,
    seats: seats::SeatState,
    /// What peers told of servers before the first list of them.
    early_statements: Vec<early_statements::EarlyStatements>,
    stream_origins: stream_origins::StreamOrigins,
    version_record: version_record::VersionRecord,
    record_reads: record_reads::RecordReads,
    /// The subscriptions to the store's topics; `None` where the shell follows the store.
    watching: Option<watching::Watching>,
    relay: relay::Relay,
    started_ms: u64,
    calls: collections::HashMap<ids::CallId, platform::StoreCall>,
    next_call: u64,
    read_limiter: limiter::RateLimiter,
    write_limiter: limiter::RateLimiter,
    measured_ms: u64,
    counters: Counters,
}

impl Node {
    /// Creates a node without any data. It admits requests once it has a configuration and a list of VMs.
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
        let own = settings.incarnation;
        let watching = settings.watch.map(|bounds| watching::Watching::new(own, bounds));
        let read_limiter = limiter::RateLimiter::new(settings.platform_reads_per_s, 50, now_ms);
        let write_limiter = limiter::RateLimiter::new(settings.platform_writes_per_s, 5, now_ms);
        Self {
            settings,
            rng: rngs::StdRng::seed_from_u64(seed),
            actions: Vec::new(),
            lifecycle: Lifecycle::Starting,
            config: None,
            vms: Default::default(),
            vms_index: store::Position::START,
            vms_received_ms: 0,
            listed_index: store::Position::START,
            leaving_servers: Default::default(),
            leaving_servers_pushed_ms: 0,
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
            queue_drains: Default::default(),
            token_searches: Default::default(),
            retries: Default::default(),
            max_live_routers: 1,
            outbox: outbox::Outbox::default(),
            holders: Default::default(),
            outage: Default::default(),
            lapsed: Vec::new(),
            earlier_starts: Default::default(),
            evacuations: Default::default(),
            eras: Default::default(),
            era_record: Default::default(),
            confirmations: Default::default(),
            backup_age_ms: grants::DEFAULT_BACKUP_AGE_MS,
            is_first_start: false,
            pauses: process_pauses::PauseDetector::new(now_ms),
            quarantine: Default::default(),
            limits: Default::default(),
            seats: Default::default(),
            early_statements: Default::default(),
            stream_origins: Default::default(),
            version_record: Default::default(),
            record_reads: Default::default(),
            watching,
            relay: relay::Relay::default(),
            started_ms: now_ms,
            calls: Default::default(),
            next_call: 0,
            read_limiter,
            write_limiter,
            measured_ms: now_ms,
            counters: Counters::default(),
        }
    }

    /// Removes and returns the actions queued since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The router's lifecycle state, by which it accepts or refuses requests.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle
    }

    /// The configuration in force; `None` before the first.
    pub fn config(&self) -> Option<&config::Published> {
        self.config.as_ref()
    }

    /// The version of the configuration in force; 0 before the first.
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// The position of this router's list of VMs; [`store::Position::START`] before the first.
    pub fn vms_index(&self) -> store::Position {
        self.vms_index
    }

    /// The staleness of this router's copy of each topic, in milliseconds: the time since it was last known to be
    /// current. Empty where the shell follows the store, `None` for a copy that was never current.
    pub fn staleness_ms(&self, now_ms: u64) -> Vec<(watch::Topic, Option<u64>)> {
        self.watching.iter().flat_map(|watching| watching.ages_ms(now_ms)).collect()
    }

    /// Event counts since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The budgets, with the tokens granted to this router.
    pub fn grants(&self) -> &grants::Table {
        &self.grants
    }

    /// The servers in this router's view.
    pub fn servers(&self) -> &servers::Table {
        &self.servers
    }

    /// The servers that are leaving.
    pub fn leaving_servers(&self) -> &leaving_servers::LeavingServers {
        &self.leaving_servers
    }

    /// The routers in this router's view of the membership.
    pub fn members(&self) -> &members::Table {
        &self.members
    }

    /// The shards of the log, as far as they were read.
    pub fn logs(&self) -> &[log_writer::Writer] {
        &self.logs
    }

    /// Runs all periodic work that is due.
    pub fn tick(&mut self, now_ms: u64) {
        self.tick_process_pauses(now_ms);
        self.tick_members(now_ms);
        self.tick_eras(now_ms);
        self.tick_era_record(now_ms);
        self.tick_confirmations(now_ms);
        self.tick_ledger_copies(now_ms);
        self.tick_watching(now_ms);
        self.tick_earlier_starts(now_ms);
        self.tick_rates(now_ms);
        self.tick_waiting_budget(now_ms);
        self.tick_directives(now_ms);
        self.tick_limits(now_ms);
        self.tick_seats(now_ms);
        self.tick_record_reads(now_ms);
        self.tick_stream_origins(now_ms);
        self.tick_version_record(now_ms);
        self.tick_waiting_servers(now_ms);
        self.tick_waiting_claims(now_ms);
        self.tick_settlements(now_ms);
        self.tick_transfers(now_ms);
        self.tick_holders(now_ms);
        self.tick_quarantine(now_ms);
        self.tick_platform(now_ms);
        self.tick_lifecycle(now_ms);
    }

    /// Stores a load report of a server.
    pub fn report_load(&mut self, slot: ids::ServerSlot, load: servers::Load) {
        self.servers.record_load(slot, load);
    }

    /// Handles the first event of the answer to a dispatched request: the server has processed the prompt, and the rest
    /// of the answer must come from the same software version.
    pub fn answer_started(&mut self, slot: ids::RequestSlot, now_ms: u64) {
        let Some(request) = self.requests.get_mut(slot) else { return };
        let Stage::Running { server, sent_ms, .. } = &request.stage else { return };
        let tokens = std::mem::take(&mut request.unread_tokens);
        if request.version.is_none() {
            request.version = self.servers.get(*server).map(|server| server.vm.version.clone());
        }
        let (server, sent_ms) = (*server, *sent_ms);
        self.servers.record_prompt_processed(server, tokens);
        self.servers.record_answer(server, sent_ms);
        self.record_stream_origin(slot, server, now_ms);
    }

    /// Stores the load that a server reported on an answer, if it is the current incarnation of the server.
    pub fn report_load_of(
        &mut self,
        vm: &str,
        incarnation: ids::ServerIncarnation,
        load: servers::Load,
    ) {
        if let Some(slot) = self.servers.find_incarnation(vm, incarnation) {
            self.report_load(slot, load);
        }
    }

    /// Sets the call rates that the platform accepts from all callers together. They are in force from the next
    /// measurement of rates.
    pub fn set_platform_rates(&mut self, reads_per_s: u64, writes_per_s: u64) {
        self.settings.platform_reads_per_s = reads_per_s;
        self.settings.platform_writes_per_s = writes_per_s;
    }

    /// Sets the maximum age of a backup of the store at its restore, in milliseconds. Must be called before the first
    /// configuration is applied; 30 s if it is not.
    pub fn set_backup_age_ms(&mut self, backup_age_ms: u64) {
        self.backup_age_ms = backup_age_ms;
    }

    /// Marks that no router of this deployment has run before, so that a store which was restored earlier has lost
    /// nothing of the ledger. Must be called before the first configuration is applied.
    pub fn set_first_start(&mut self) {
        self.is_first_start = true;
    }

    /// Adds addresses at which other routers may be reachable.
    pub fn offer_seeds(&mut self, seeds: Vec<String>) {
        self.members.add_seeds(seeds.into_iter());
    }

    /// Measures spending and queue rates, and updates what depends on the number of live routers.
    fn tick_rates(&mut self, now_ms: u64) {
        if now_ms < self.measured_ms + MEASURE_INTERVAL_MS {
            return;
        }
        self.measured_ms = now_ms;
        let routers = self.members.live_count();
        self.max_live_routers = self.max_live_routers.max(routers);
        self.grants.measure_rates(now_ms);
        self.update_holders(now_ms);
        self.update_fleet(now_ms);
        let share = |rate_per_s: u64| (rate_per_s * PLATFORM_SHARE_PERCENT / 100 / routers).max(1);
        self.read_limiter.set_rate(share(self.settings.platform_reads_per_s));
        self.write_limiter.set_rate(share(self.settings.platform_writes_per_s));
        for drain in self.queue_drains.values_mut() {
            drain.measure(now_ms);
        }
    }

    /// Removes a request from the tables.
    fn remove_request(&mut self, slot: ids::RequestSlot) -> Option<Request> {
        let request = self.requests.remove(slot)?;
        self.by_attempt.remove(&request.attempt);
        if self.by_key.get(&request.admission.key) == Some(&slot) {
            self.by_key.remove(&request.admission.key);
        }
        Some(request)
    }

    /// This router's entry as a holder in the ledger.
    fn ledger_holder(&self) -> ledger::Holder {
        ledger::Holder {
            vm: self.settings.vm.clone(),
            address: self.settings.address.clone(),
            listed_era: self.listed_index.era,
            listed_index: self.listed_index.revision,
            clock_run: self.settings.machine_clock.as_ref().map(|clock| clock.run.clone()),
        }
    }
}
