//! The cost of limited servers: a fleet without any, and one of the largest size with some or all servers limited.

use crate::{allocated_bytes, control, nanoseconds};
use doorswitch_core::{ids, message, node, servers};
use std::hint::black_box;

const MEMBERS: usize = 760;
const SERVERS: usize = 4_800;
const TICK_MS: u64 = 20;
/// The number of ticks until updates are no longer sent.
const GOSSIP_TICKS: u64 = 250;

/// Reports a limit for each of the first `servers` servers.
fn report_limits(node: &mut node::Node, servers: usize, now_ms: u64) {
    for server in 0..servers {
        let directive = servers::Directive::Value(1_100 + server as u64);
        let vm = format!("server-{server}");
        node.report_limit(&vm, ids::ServerIncarnation::UNKNOWN, directive, 5, now_ms);
    }
    node.take_actions();
}

/// The bytes of limits in the answer to a probe, and the bytes of the datagram.
fn datagram_bytes(node: &mut node::Node, now_ms: u64) -> (usize, usize) {
    let ping = message::Gossip { kind: message::GossipKind::Ping, ..control::gossip(0) };
    node.handle_gossip(&ping, now_ms);
    let mut answers = node.take_actions().into_iter().filter_map(|action| match action {
        node::Action::Gossip { gossip, .. } => Some(gossip),
        _ => None,
    });
    let bytes = |gossip: Box<message::Gossip>| {
        let limits = postcard::to_stdvec(&gossip.limits).unwrap_or_default().len();
        (limits, postcard::to_stdvec(&gossip).unwrap_or_default().len())
    };
    answers.next_back().map(bytes).unwrap_or_default()
}

pub fn show() {
    println!("\n# Servers that limit what they take, {MEMBERS} members, {SERVERS} servers");
    for limited in [0, 10, 200, SERVERS] {
        let mut node = control::node_with(MEMBERS, SERVERS);
        let mut now_ms = control::BUILT_MS;
        let before = allocated_bytes();
        report_limits(&mut node, limited, now_ms);
        let bytes = allocated_bytes().saturating_sub(before);
        for _ in 0..GOSSIP_TICKS {
            now_ms += TICK_MS;
            node.tick(now_ms);
            node.take_actions();
        }
        let (limits, datagram) = datagram_bytes(&mut node, now_ms);
        // The time doesn't advance, so that the measurement doesn't depend on what expires meanwhile.
        let tick = nanoseconds(|| {
            node.tick(now_ms);
            black_box(node.take_actions());
        });
        println!(
            "{limited} limited: {bytes} bytes held, {limits} of the {datagram} bytes of a datagram, a tick of {:.1} us",
            tick / 1_000.0
        );
    }
}
