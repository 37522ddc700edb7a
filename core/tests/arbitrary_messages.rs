//! Whatever arrives from a peer is decoded and taken without a panic, and a list of servers stays as it was if what
//! arrived is not newer.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{ids, members, message, node, servers, store, watch};
use quickcheck::{Arbitrary, Gen};
use watch_fleet::{BOUNDS, Fleet, settled};

const CASES: usize = 4_000;
/// The largest datagram that a router sends.
const DATAGRAM_BYTES_MAX: usize = 8 << 10;

fn datagrams(fleet: &mut Fleet) -> Vec<Vec<u8>> {
    fleet.put_server("server-1", servers::VmState::Leaving);
    fleet.restart_server("server-2", servers::VmState::Live);
    fleet.spoil_server("server-3");
    fleet.publish();
    let names: Vec<(String, ids::ServerIncarnation)> = fleet.routers[0]
        .node
        .servers()
        .iter()
        .map(|(_, server)| (server.vm.vm.clone(), server.vm.incarnation))
        .collect();
    let now_ms = fleet.now_ms;
    for (vm, incarnation) in &names {
        let said = servers::Directive::Value(1_100);
        fleet.routers[0].node.report_limit(vm, *incarnation, said, 5, now_ms);
    }
    let mut found = permits(fleet, &names[0]);
    for _ in 0..40 {
        fleet.now_ms += watch_fleet::TICK_MS;
        let now_ms = fleet.now_ms;
        let node = &mut fleet.routers[0].node;
        node.tick(now_ms);
        for action in node.take_actions() {
            let datagram = match action {
                node::Action::Gossip { gossip, .. } => message::Datagram::Gossip(gossip),
                node::Action::Send { envelope, .. } => message::Datagram::Message(envelope),
                _ => continue,
            };
            found.push(postcard::to_stdvec(&datagram).unwrap());
        }
    }
    assert!(!found.is_empty());
    found
}

/// A question for permits and an answer, which a router in calm does not send.
fn permits(fleet: &Fleet, (vm, incarnation): &(String, ids::ServerIncarnation)) -> Vec<Vec<u8>> {
    let id = |place: usize| fleet.routers[place].node.members().own().id;
    let wanted = servers::PermitsRequested { permits: 2, within_ms: 400, trial: false };
    let granted = servers::PermitsGranted { permits: 1, in_ms: 300 };
    let (vm, incarnation) = (vm.clone(), *incarnation);
    let answer = servers::AnswerId { router: id(0), number: 1 };
    let known = servers::LimitUpdate {
        vm: vm.clone(),
        incarnation,
        limit_milli_per_s: Some(1_100),
        answer,
        sent_age_ms: 40,
        received_age_ms: 20,
    };
    let messages = [
        message::Message::PermitRequest { number: 1, limit_update: known, requested: wanted },
        message::Message::PermitReply { number: 1, vm, incarnation, trial: false, granted },
    ];
    let envelopes = messages.map(|message| message::Envelope { from: id(0), to: id(1), message });
    let datagrams = envelopes.map(message::Datagram::Message);
    datagrams.iter().map(|datagram| postcard::to_stdvec(datagram).unwrap()).collect()
}

fn take(fleet: &mut Fleet, datagram: message::Datagram) {
    let now_ms = fleet.now_ms;
    let node = &mut fleet.routers[1].node;
    match datagram {
        message::Datagram::Gossip(gossip) => node.handle_gossip(&gossip, now_ms),
        message::Datagram::Message(envelope) => node.handle_message(envelope, now_ms),
    }
    node.tick(now_ms);
    node.take_actions();
}

#[test]
fn any_datagram_is_taken_without_a_panic() {
    let mut fleet = settled(6, BOUNDS, 31);
    let sound = datagrams(&mut fleet);
    let mut g = Gen::from_size_and_seed(64, 31);
    let mut decoded = 0;
    for case in 0..CASES {
        let mut bytes = sound[case % sound.len()].clone();
        for _ in 0..1 + usize::arbitrary(&mut g) % 3 {
            let place = usize::arbitrary(&mut g) % bytes.len();
            bytes[place] = u8::arbitrary(&mut g);
        }
        if u8::arbitrary(&mut g) % 8 == 0 {
            bytes = Vec::arbitrary(&mut g);
        }
        if let Ok(datagram) = postcard::from_bytes::<message::Datagram>(&bytes) {
            decoded += 1;
            take(&mut fleet, datagram);
        }
    }
    assert!(decoded > CASES / 10, "{decoded} of {CASES} could be decoded");
}

/// A list of servers that is no newer than what a router knows.
fn old_list(fleet: &Fleet, g: &mut Gen) -> message::Message {
    let known = fleet.routers[1].node.vms_index();
    let position = store::Position::new(known.era, u64::arbitrary(g) % (known.revision + 1));
    let vm = servers::Vm {
        vm: format!("server-{}", u8::arbitrary(g) % 8),
        service: "service".to_owned(),
        address: "10.9.0.9:1".to_owned(),
        class: String::new(),
        failure_domain: "a".to_owned(),
        state: servers::VmState::Leaving,
        slots: 1,
        incarnation: ids::ServerIncarnation(u64::arbitrary(g)),
        cold_ms: 0,
    };
    let copy_state = message::CopyState { position, age_ms: Some(0) };
    message::Message::Vms { copy_state, vms: vec![vm] }
}

#[test]
fn a_list_that_is_no_newer_loses_no_server() {
    let mut fleet = settled(6, BOUNDS, 32);
    let mut g = Gen::from_size_and_seed(64, 32);
    let servers = |fleet: &Fleet| -> Vec<servers::Vm> {
        let mut vms: Vec<servers::Vm> =
            fleet.routers[1].node.servers().iter().map(|(_, server)| server.vm.clone()).collect();
        vms.sort_by(|one, other| one.vm.cmp(&other.vm));
        vms
    };
    let before = servers(&fleet);
    for _ in 0..500 {
        let message = old_list(&fleet, &mut g);
        let (from, to) =
            (fleet.routers[0].node.members().own().id, fleet.routers[1].node.members().own().id);
        take(&mut fleet, message::Datagram::Message(message::Envelope { from, to, message }));
    }
    assert_eq!(servers(&fleet), before);
}

#[test]
fn long_names_of_another_writer_make_no_datagram_too_large() {
    let mut fleet = settled(6, BOUNDS, 33);
    for number in 0..40 {
        // As long as the texts of a record may be, all together.
        fleet.put_server(&format!("{number:0800}"), servers::VmState::Live);
    }
    fleet.run_ms(400);
    for bytes in datagrams(&mut fleet) {
        assert!(bytes.len() <= DATAGRAM_BYTES_MAX, "{} bytes", bytes.len());
    }
    fleet.run_ms(4_000);
    let count = fleet.routers[1].node.servers().iter().count();
    assert!(count >= 40, "{count} servers are known");
    let alive: Vec<&members::Record> = fleet.routers[1].node.members().live().collect();
    assert_eq!(alive.len(), 5);
    assert_eq!(fleet.routers[1].node.watch_role(), Some(watch::Role::EveryRouter));
}
