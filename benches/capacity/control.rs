//! The control state of one node: the cost of a tick and of a decision, and the memory per budget, member, server and
//! request.

use crate::{allocated_bytes, nanoseconds};
use doorswitch_core::{config, ids, members, message, node, servers, store};

const SIZES: [usize; 4] = [10, 100, 1_000, 10_000];

/// The size of a node's state.
#[derive(Clone, Copy, Default)]
struct NodeSize {
    budgets: usize,
    /// The number of these budgets that are in use at this node.
    active: usize,
    members: usize,
    servers: usize,
    requests: usize,
}

pub fn show() {
    println!("\ncontrol state of one node: time of a tick, bytes held");
    println!(
        "{:<28} {:>8} {:>12} {:>14} {:>12}",
        "what grows", "count", "tick ns", "bytes", "bytes each"
    );
    let base = NodeSize { budgets: 10, active: 10, members: 8, servers: 10, requests: 0 };
    row("budgets, none in use", |count| NodeSize { budgets: count, active: 0, ..base });
    row("budgets, all in use", |count| NodeSize { budgets: count, active: count, ..base });
    row("members", |count| NodeSize { members: count, ..base });
    row("servers", |count| NodeSize { servers: count, ..base });
    row("requests in flight", |count| NodeSize { requests: count, servers: count, ..base });
    decisions();
    refusals();
}

fn row(what: &str, size: impl Fn(usize) -> NodeSize) {
    for count in SIZES {
        let before = allocated_bytes();
        let mut node = build(size(count));
        let bytes = allocated_bytes() - before;
        let mut now_ms = 1_000_000;
        let tick = nanoseconds(|| {
            now_ms += 20;
            node.tick(now_ms);
            answer_store(&mut node, now_ms);
        });
        println!("{what:<28} {count:>8} {tick:>12.0} {bytes:>14} {:>12}", bytes / count);
    }
}

/// Measures the decisions per second of one node's core: admit, dispatch, finish.
fn decisions() {
    println!("\ndecisions of one core: admit, dispatch, finish");
    println!("{:<28} {:>8} {:>12} {:>14}", "servers", "count", "ns each", "a second");
    for servers in [10, 32, 100, 1_000] {
        let size = NodeSize { budgets: 10, active: 10, members: 8, servers, requests: 0 };
        let mut node = build(size);
        let mut number = 0;
        let each = nanoseconds(|| {
            number += 1;
            let slot = node.admit(admission_request(number, 0), 1_000_000);
            let request_outcome =
                node::RequestOutcome::Ran { consumed_tokens: 1, outcome: None, healthy: true };
            node.finish(slot, request_outcome, 1_000_000);
            acknowledge(&mut node);
        });
        println!("{:<28} {servers:>8} {each:>12.0} {:>14.0}", "", 1e9 / each);
    }
}

/// Measures the cost of a refusal: the queue is full, all servers are busy.
fn refusals() {
    let mut node = build(NodeSize { budgets: 10, active: 10, members: 8, servers: 1, requests: 0 });
    for key in 0..200 {
        node.admit(admission_request(key, 0), 1_000_000);
    }
    node.take_actions();
    let mut key = 1_000;
    let each = nanoseconds(|| {
        key += 1;
        node.admit(admission_request(key, 0), 1_000_000);
        node.take_actions();
    });
    println!("a refusal with a full queue: {each:.0} ns");
}

fn settings() -> node::Settings {
    node::Settings {
        incarnation: ids::Incarnation(1),
        vm: "entry-0".to_owned(),
        address: "10.0.0.1:7100".to_owned(),
        failure_domain: "a".to_owned(),
        region: "r".to_owned(),
        seeds: Vec::new(),
        started_s: 0,
        machine_clock: None,
        platform_reads_per_s: 2_000,
        platform_writes_per_s: 100,
        budget_wait_ms: 500,
        claim_wait_ms: 3_000,
        handover_wait_ms: 1_000,
        watch: None,
    }
}

fn build(size: NodeSize) -> node::Node {
    let mut node = node::Node::new(settings(), 1, 0);
    node.offer_vms(store::Position::new(0, 1), vms(size.servers), 0);
    node.offer_config(published(size), 0);
    for number in 0..size.members {
        node.handle_gossip(&gossip(number), 1);
    }
    let mut now_ms = 1_000;
    for _ in 0..200 {
        now_ms += 100;
        node.tick(now_ms);
        answer_store(&mut node, now_ms);
    }
    for number in 0..size.requests {
        node.admit(admission_request(1_000_000 + number as u64, number % 10), now_ms);
    }
    node.take_actions();
    node
}

/// Builds a node with this many members and servers.
pub fn node_with(members: usize, servers: usize) -> node::Node {
    build(NodeSize { budgets: 10, active: 10, members, servers, requests: 0 })
}

/// The time of the last tick of a node that was just built, in milliseconds.
pub const BUILT_MS: u64 = 21_000;

fn published(size: NodeSize) -> config::Published {
    let budget = |number: usize| config::Budget {
        name: format!("b{number}"),
        cover_s: 60,
        minimum_grant_tokens: if number < size.active { 100_000 } else { 0 },
        prepaid_tokens: None,
        held_percent: 0,
        holders: 0,
        loss_spread_s: 0,
    };
    let service = config::Service {
        name: "service".to_owned(),
        kind: config::Kind::Model,
        policy: "policy".to_owned(),
        models: Vec::new(),
        answer_tokens_max: 1,
        call_tokens: 0,
        unrepeatable: Vec::new(),
        queue_length: 64,
        queue_age_ms: 600_000,
        answer_time_ms: 1,
        connections_max: None,
        event_tokens: 1,
        cold_milli_per_s: 0,
        cold_start_ms: 0,
    };
    let document = config::Document {
        evacuated: Vec::new(),
        routes: Vec::new(),
        callers: config::CallerLimits::default(),
        layout: config::Layout { ledger_shards: 16, log_shards: 16, ..config::Layout::default() },
        workspaces: vec![config::Workspace {
            priority: 0,
            name: "w".to_owned(),
            keys: Vec::new(),
            budgets: (0..size.budgets).map(budget).collect(),
        }],
        services: vec![service],
        policies: Vec::new(),
    };
    config::Published::next(None, "bench", document)
}

fn vms(servers: usize) -> Vec<servers::Vm> {
    let vm = |number: usize| servers::Vm {
        vm: format!("server-{number}"),
        service: "service".to_owned(),
        address: format!("10.2.{}.{}:8000", number / 250, number % 250),
        class: "new".to_owned(),
        version: "v1.0".to_owned(),
        failure_domain: "a".to_owned(),
        state: servers::VmState::Live,
        slots: 0,
        incarnation: Default::default(),
        cold_ms: 0,
    };
    (0..servers).map(vm).collect()
}

pub fn record(number: usize) -> members::Record {
    members::Record {
        id: ids::Incarnation(1_000 + number as u64 * 7_919),
        address: format!("10.1.{}.{}:7100", number / 250, number % 250),
        vm: format!("entry-{number}"),
        failure_domain: format!("domain-{}", number % 9),
        beat: 0,
        health: members::Health::Alive,
    }
}

pub fn gossip(number: usize) -> message::Gossip {
    message::Gossip {
        from: record(number),
        kind: message::GossipKind::Ack,
        digest: message::Digest { config_version: 1, ..Default::default() },
        member_updates: Vec::new(),
        leaving: Vec::new(),
        quarantine: Default::default(),
        limits: Vec::new(),
        brittle: Vec::new(),
        extension: None,
        confirmations: None,
    }
}

pub fn admission_request(key: u64, budget: usize) -> node::AdmissionRequest {
    node::AdmissionRequest {
        attempts_max: u32::MAX,
        fingerprint: None,
        part_fingerprints: Vec::new(),
        key: ids::RequestKey { high: key, low: key },
        keyed: false,
        body_hash: 1,
        budget: format!("w/b{budget}"),
        service: "service".to_owned(),
        classes: Vec::new(),
        priority: 5,
        bound_tokens: 1,
        unrepeatable: false,
        prefix_hash: Some(key),
        parts: Vec::new(),
        stream: None,
        deadline_ms: u64::MAX,
    }
}

/// Answers the node's calls of the store: every budget has enough tokens, and every write succeeds.
fn answer_store(node: &mut node::Node, now_ms: u64) {
    use doorswitch_core::ledger;
    for action in node.take_actions() {
        let node::Action::Store { call, request } = action else { continue };
        let reply = match request {
            store::Request::Read { key } if key.contains("ledger") => {
                let mut shard = ledger::Shard::default();
                let names: Vec<String> =
                    node.grants().iter().map(|(_, account)| account.name.clone()).collect();
                for (slot, name) in names.iter().enumerate() {
                    shard.pay(name, "paid", 1 << 40).unwrap();
                    let _ = slot;
                    let found = node.grants().find(name).unwrap();
                    let granted = node.grants().account(found).granted_tokens;
                    shard.draw(name, ids::Incarnation(1), granted);
                }
                store::Reply::Found {
                    index: store::Position::new(0, now_ms),
                    value: shard.encode(),
                }
            }
            store::Request::Read { .. } => store::Reply::Missing { era: 0 },
            _ => store::Reply::Written { era: 0 },
        };
        node.handle_store_reply(call, reply, now_ms);
    }
}

/// Acknowledges settlements as the log of a peer does.
fn acknowledge(node: &mut node::Node) {
    for action in node.take_actions() {
        let node::Action::Send { envelope, .. } = action else { continue };
        if let message::Message::Settle(settlement) = envelope.message {
            let durable = message::Message::SettleDurable(settlement.attempt);
            let (from, to) = (envelope.to, envelope.from);
            node.handle_message(message::Envelope { from, to, message: durable }, 1_000_000);
        }
    }
    node.take_actions();
}
