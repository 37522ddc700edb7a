//! The cost of origins of streams: a fleet of the largest size whose servers have one or two software versions.

use crate::{allocated_bytes, control};
use doorswitch_core::{ids, message, node, servers, store};
use std::time::Instant;

const MEMBERS: usize = 760;
const SERVERS: usize = 4_800;
/// The number of streams that one router places within the time for which origins are kept.
const STREAMS: u64 = 10_000;
const KEPT_MS: u64 = 60_000;
/// The bytes of the protocol's version in front of a datagram.
const VERSION_BYTES: usize = 2;

/// Lists the servers again, every second one with another version if `versions` is 2.
fn set_versions(node: &mut node::Node, versions: u64, now_ms: u64) {
    let mut vms: Vec<servers::Vm> =
        node.servers().iter().map(|(_, server)| server.vm.clone()).collect();
    for (number, vm) in vms.iter_mut().enumerate() {
        vm.version = format!("v1.{}", number as u64 % versions);
    }
    node.offer_vms(store::Position::new(0, u64::MAX / 2), vms, now_ms);
    node.take_actions();
}

/// Places a stream, and returns the number and the bytes of the datagrams that this sends.
fn place(node: &mut node::Node, number: u64, now_ms: u64) -> (usize, usize) {
    let mut id = [0; 16];
    id[..8].copy_from_slice(&doorswitch_core::rendezvous::mix(number).to_be_bytes());
    let stream = node::StreamRequest { id: ids::StreamId(id), version: None, kept_ms: KEPT_MS };
    let request = node::AdmissionRequest {
        stream: Some(stream),
        ..control::admission_request(number + 1, 0)
    };
    let slot = node.admit(request, now_ms);
    let sent = node.take_actions().into_iter().filter_map(|action| match action {
        node::Action::Send { envelope, .. } => Some(envelope),
        _ => None,
    });
    let envelopes: Vec<message::Envelope> = sent.collect();
    node.finish(slot, node::RequestOutcome::NotRun, now_ms);
    node.take_actions();
    let bytes = envelopes.iter().cloned().map(datagram_bytes);
    (envelopes.len(), bytes.sum())
}

fn datagram_bytes(envelope: message::Envelope) -> usize {
    let datagram = message::Datagram::Message(envelope);
    VERSION_BYTES + postcard::to_stdvec(&datagram).unwrap_or_default().len()
}

pub fn show() {
    println!("\n# Streams that clients may continue, {MEMBERS} members, {SERVERS} servers");
    let acknowledgement = message::Envelope {
        from: ids::Incarnation(u64::MAX),
        to: ids::Incarnation(u64::MAX),
        message: message::Message::StreamOriginsStored { number: STREAMS },
    };
    println!("an acknowledgement: {} bytes", datagram_bytes(acknowledgement));
    for versions in [1, 2] {
        let mut node = control::node_with(MEMBERS, SERVERS);
        let now_ms = control::BUILT_MS;
        set_versions(&mut node, versions, now_ms);
        let before = allocated_bytes();
        let (mut datagrams, mut bytes) = (0, 0);
        let begin = Instant::now();
        for number in 0..STREAMS {
            let (sent, sent_bytes) = place(&mut node, number, now_ms);
            datagrams += sent;
            bytes += sent_bytes;
        }
        let took_us = begin.elapsed().as_micros() as f64 / STREAMS as f64;
        let held = allocated_bytes().saturating_sub(before) as u64 / STREAMS;
        println!(
            "{versions} versions: {held} bytes held for each of {} streams, {datagrams} datagrams of {bytes} bytes for {STREAMS} streams, {took_us:.1} us each with its decision",
            node.stream_origins_kept(),
        );
    }
}
