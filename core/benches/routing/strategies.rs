//! The routing strategies that are compared: doorswitch and two common ones.

use crate::engines::{Ended, Engines};
use crate::{DEADLINE_MS, ROUTERS, Request, STEP_MS};
use doorswitch_core::{config, ids, ledger, node, servers, store};
use std::collections::HashMap;

const REPORT_EVERY_MS: u64 = 500;
const BUDGET: &str = "w/b";

pub enum Decision {
    Send { number: usize, server: usize },
    Refuse { number: usize, retry_after_ms: u64 },
}

pub trait Strategy {
    fn arrive(&mut self, request: &Request, now_ms: u64);
    fn ended(&mut self, ended: &Ended, now_ms: u64);
    fn tick(&mut self, engines: &Engines, now_ms: u64);
    fn decisions(&mut self) -> Vec<Decision>;
}

pub fn by_name(name: &str) -> Box<dyn Strategy> {
    match name {
        "doorswitch" => Box::new(Doorswitch::new()),
        "round robin" => Box::new(Baseline::new(|baseline, router| {
            baseline.next[router] = (baseline.next[router] + 1) % Engines::len();
            baseline.next[router]
        })),
        _ => Box::new(Baseline::new(|baseline, router| {
            let outstanding = &baseline.outstanding[router];
            (0..Engines::len()).min_by_key(|server| outstanding[*server]).unwrap()
        })),
    }
}

/// Sends every request immediately, by the counts of its own router; a broken request is sent to the next choice.
struct Baseline {
    choose: fn(&mut Baseline, usize) -> usize,
    next: Vec<usize>,
    outstanding: Vec<Vec<u64>>,
    routers: HashMap<usize, usize>,
    decisions: Vec<Decision>,
}

impl Baseline {
    fn new(choose: fn(&mut Baseline, usize) -> usize) -> Self {
        Self {
            choose,
            next: (0..ROUTERS).collect(),
            outstanding: vec![vec![0; Engines::len()]; ROUTERS],
            routers: HashMap::new(),
            decisions: Vec::new(),
        }
    }

    fn send(&mut self, number: usize, router: usize) {
        let server = (self.choose)(self, router);
        self.outstanding[router][server] += 1;
        self.decisions.push(Decision::Send { number, server });
    }
}

impl Strategy for Baseline {
    fn arrive(&mut self, request: &Request, _now_ms: u64) {
        self.routers.insert(request.number, request.router);
        self.send(request.number, request.router);
    }

    fn ended(&mut self, ended: &Ended, _now_ms: u64) {
        let router = self.routers[&ended.number];
        self.outstanding[router][ended.server] -= 1;
        if ended.broken {
            self.send(ended.number, router);
        }
    }

    fn tick(&mut self, _engines: &Engines, _now_ms: u64) {}

    fn decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }
}

/// The core of doorswitch: one node for each router, with budgets that do not run out.
struct Doorswitch {
    nodes: Vec<node::Node>,
    slots: HashMap<(usize, ids::RequestSlot), usize>,
    numbers: HashMap<usize, (usize, ids::RequestSlot)>,
    /// A store for each router, because this benchmark measures the choice of servers only.
    stores: Vec<HashMap<String, (u64, Vec<u8>)>>,
    decisions: Vec<Decision>,
}

impl Doorswitch {
    fn new() -> Self {
        let mut doorswitch = Self {
            nodes: (0..ROUTERS).map(new_node).collect(),
            slots: HashMap::new(),
            numbers: HashMap::new(),
            stores: vec![HashMap::new(); ROUTERS],
            decisions: Vec::new(),
        };
        let mut shard = ledger::Shard::default();
        shard.pay(BUDGET, "paid", 1 << 50).unwrap();
        let shards = config::Layout::default().ledger_shards;
        let key = ledger::key(ledger::shard_of(BUDGET, shards));
        for store in &mut doorswitch.stores {
            store.insert(key.clone(), (1, shard.encode()));
        }
        // Draws the grants before the first request.
        for router in 0..ROUTERS {
            doorswitch.nodes[router].tick(0);
            doorswitch.perform_actions(router, 0);
        }
        doorswitch
    }

    fn perform_actions(&mut self, router: usize, now_ms: u64) {
        loop {
            let actions = self.nodes[router].take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    node::Action::Store { call, request } => {
                        let reply = store_reply(&mut self.stores[router], request);
                        self.nodes[router].handle_store_reply(call, reply, now_ms);
                    }
                    node::Action::Answer { slot, answer } => {
                        self.handle_answer(router, slot, answer)
                    }
                    _ => {}
                }
            }
        }
    }

    fn handle_answer(&mut self, router: usize, slot: ids::RequestSlot, answer: node::Answer) {
        let Some(number) = self.slots.get(&(router, slot)).copied() else { return };
        match answer {
            node::Answer::Dispatch { vm, .. } => {
                let server = vm.trim_start_matches("server-").parse().unwrap();
                self.decisions.push(Decision::Send { number, server });
            }
            node::Answer::Refuse { retry_after_ms, .. } => {
                self.decisions.push(Decision::Refuse { number, retry_after_ms });
            }
            _ => {}
        }
    }
}

impl Strategy for Doorswitch {
    fn arrive(&mut self, request: &Request, now_ms: u64) {
        let router = request.router;
        let slot = self.nodes[router].admit(admission_request(request, now_ms), now_ms);
        self.slots.insert((router, slot), request.number);
        self.numbers.insert(request.number, (router, slot));
        self.perform_actions(router, now_ms);
    }

    fn ended(&mut self, ended: &Ended, now_ms: u64) {
        let (router, slot) = self.numbers[&ended.number];
        if ended.broken {
            self.nodes[router].retry(slot, node::AttemptFailure::MayHaveRun, now_ms);
            self.perform_actions(router, now_ms);
            return;
        }
        // A caller that leaves does not count as a failure of the server.
        let outcome =
            node::RequestOutcome::Ran { consumed_tokens: 1, outcome: None, healthy: true };
        self.nodes[router].finish(slot, outcome, now_ms);
        self.perform_actions(router, now_ms);
    }

    fn tick(&mut self, engines: &Engines, now_ms: u64) {
        for router in 0..ROUTERS {
            if (now_ms + router as u64 * STEP_MS).is_multiple_of(REPORT_EVERY_MS) {
                let servers: Vec<(ids::ServerSlot, String)> = self.nodes[router]
                    .servers()
                    .iter()
                    .map(|(slot, server)| (slot, server.vm.vm.clone()))
                    .collect();
                for (slot, vm) in servers {
                    let server = vm.trim_start_matches("server-").parse().unwrap();
                    if let Some(load) = engines.report(server, now_ms) {
                        self.nodes[router].report_load(slot, load);
                    }
                }
            }
            self.nodes[router].tick(now_ms);
            self.perform_actions(router, now_ms);
        }
    }

    fn decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }
}

fn new_node(router: usize) -> node::Node {
    let settings = node::Settings {
        incarnation: ids::Incarnation(1 + router as u64),
        vm: format!("entry-{router}"),
        address: format!("10.0.0.{router}:1"),
        failure_domain: "a".to_owned(),
        region: "r".to_owned(),
        seeds: Vec::new(),
        started_s: 0,
        machine_clock: None,
        platform_reads_per_s: 1_000_000,
        platform_writes_per_s: 1_000_000,
        budget_wait_ms: 500,
        claim_wait_ms: 3_000,
        handover_wait_ms: 0,
        watch: None,
    };
    let mut node = node::Node::new(settings, 3 + router as u64, 0);
    let vms = (0..Engines::len()).map(|server| servers::Vm {
        vm: format!("server-{server}"),
        service: "service".to_owned(),
        address: format!("10.2.0.{server}:1"),
        class: "any".to_owned(),
        version: String::new(),
        failure_domain: "a".to_owned(),
        state: servers::VmState::Live,
        slots: 0,
        incarnation: Default::default(),
        cold_ms: 0,
    });
    node.offer_vms(store::Position::new(0, 1), vms.collect(), 0);
    node.offer_config(config::Published::next(None, "bench", document()), 0);
    node
}

fn document() -> config::Document {
    config::Document {
        evacuated: Vec::new(),
        routes: Vec::new(),
        callers: config::CallerLimits::default(),
        layout: config::Layout::default(),
        workspaces: vec![config::Workspace {
            priority: 0,
            name: "w".to_owned(),
            keys: Vec::new(),
            budgets: vec![config::Budget {
                name: "b".to_owned(),
                cover_s: 60,
                minimum_grant_tokens: 1 << 30,
                prepaid_tokens: None,
                held_percent: 0,
                holders: 0,
                loss_spread_s: 0,
            }],
        }],
        services: vec![config::Service {
            name: "service".to_owned(),
            kind: config::Kind::Model,
            policy: "p".to_owned(),
            models: Vec::new(),
            answer_tokens_max: 1_000,
            call_tokens: 0,
            unrepeatable: Vec::new(),
            queue_length: 64,
            queue_age_ms: 500,
            answer_time_ms: 60_000,
            connections_max: None,
            event_tokens: 1,
            cold_milli_per_s: 0,
            cold_start_ms: 0,
        }],
        policies: Vec::new(),
    }
}

fn admission_request(request: &Request, now_ms: u64) -> node::AdmissionRequest {
    node::AdmissionRequest {
        attempts_max: u32::MAX,
        fingerprint: None,
        part_fingerprints: Vec::new(),
        key: ids::RequestKey { high: request.number as u64, low: 1 },
        keyed: false,
        body_hash: 1,
        budget: BUDGET.to_owned(),
        service: "service".to_owned(),
        classes: Vec::new(),
        priority: 5,
        bound_tokens: 1_000,
        unrepeatable: false,
        prefix_hash: None,
        parts: Vec::new(),
        stream: None,
        deadline_ms: now_ms + DEADLINE_MS,
    }
}

fn store_reply(
    values: &mut HashMap<String, (u64, Vec<u8>)>,
    request: store::Request,
) -> store::Reply {
    match request {
        store::Request::Read { key } => match values.get(&key) {
            Some((index, value)) => {
                store::Reply::Found { index: store::Position::new(0, *index), value: value.clone() }
            }
            None => store::Reply::Missing { era: 0 },
        },
        store::Request::Write { key, expected_index, value, .. } => {
            values.insert(key, (expected_index.revision + 1, value));
            store::Reply::Written { era: 0 }
        }
        store::Request::DeletePrefix { .. } => store::Reply::Written { era: 0 },
    }
}
