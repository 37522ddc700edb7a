//! Datagrams with arbitrary bytes or from other writers. Guards against panics, against outdated lists of servers that
//! are applied, and against datagrams that are too large.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{ids, members, message, node, servers, store, watch};
use quickcheck::{Arbitrary, Gen};
use watch_fleet::{BOUNDS, Fleet, up_to_date_fleet};

const CASES: usize = 4_000;
/// The largest datagram that a router sends.
const DATAGRAM_BYTES_MAX: usize = 8 << 10;

/// Returns datagrams that a router sends while records, limits and the configuration change.
fn datagrams(fleet: &mut Fleet) -> Vec<Vec<u8>> {
    fleet.put_server("server-1", servers::VmState::Leaving);
    fleet.restart_server("server-2", servers::VmState::Live);
    fleet.corrupt_server_record("server-3");
    fleet.publish();
    let names: Vec<(String, ids::ServerIncarnation)> = fleet.routers[0]
        .node
        .servers()
        .iter()
        .map(|(_, server)| (server.vm.vm.clone(), server.vm.incarnation))
        .collect();
    let now_ms = fleet.now_ms;
    for (vm, incarnation) in &names {
        let limit = servers::Directive::Value(1_100);
        fleet.routers[0].node.report_limit(vm, *incarnation, limit, 5, now_ms);
    }
    let mut datagrams = permits(fleet, &names[0]);
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
            datagrams.push(postcard::to_stdvec(&datagram).unwrap());
        }
    }
    assert!(!datagrams.is_empty());
    datagrams
}

/// Requests for permits and seats and replies, which routers don't send in an undisturbed fleet.
fn permits(fleet: &Fleet, (vm, incarnation): &(String, ids::ServerIncarnation)) -> Vec<Vec<u8>> {
    let id = |router: usize| fleet.routers[router].node.members().own().id;
    let wanted = servers::PermitsRequested { permits: 2, within_ms: 400, trial: false };
    let granted = servers::PermitsGranted { permits: 1, in_ms: 300 };
    let (vm, incarnation) = (vm.clone(), *incarnation);
    let answer = servers::AnswerId { router: id(0), number: 1 };
    let update = servers::LimitUpdate {
        vm: vm.clone(),
        incarnation,
        limit_milli_per_s: Some(1_100),
        answer,
        sent_age_ms: 40,
        received_age_ms: 20,
    };
    let brittle = servers::BrittleUpdate {
        vm: vm.clone(),
        incarnation,
        rejections_per_s: Some(3),
        age_ms: 20,
    };
    let seats =
        servers::SeatsRequested { number: 2, replied: 1, held: 3, wanted: 5, rejections: 1 };
    let dealt = servers::SeatsDealt { seats: 4, in_turn: true, retry_ms: 50 };
    let messages = [
        message::Message::SeatRequest { brittle, requested: seats },
        message::Message::SeatReply { number: 1, vm: vm.clone(), incarnation, dealt },
        message::Message::PermitRequest { number: 1, limit_update: update, requested: wanted },
        message::Message::PermitReply { number: 1, vm, incarnation, trial: false, granted },
    ];
    let envelopes = messages.map(|message| message::Envelope { from: id(0), to: id(1), message });
    let datagrams = envelopes.map(message::Datagram::Message);
    datagrams.iter().map(|datagram| postcard::to_stdvec(datagram).unwrap()).collect()
}

fn handle(fleet: &mut Fleet, datagram: message::Datagram) {
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
fn an_arbitrary_datagram_causes_no_panic() {
    let mut fleet = up_to_date_fleet(6, BOUNDS, 31);
    let valid = datagrams(&mut fleet);
    let mut g = Gen::from_size_and_seed(64, 31);
    let mut decoded = 0;
    for case in 0..CASES {
        let mut bytes = valid[case % valid.len()].clone();
        for _ in 0..1 + usize::arbitrary(&mut g) % 3 {
            let position = usize::arbitrary(&mut g) % bytes.len();
            bytes[position] = u8::arbitrary(&mut g);
        }
        if u8::arbitrary(&mut g) % 8 == 0 {
            bytes = Vec::arbitrary(&mut g);
        }
        if let Ok(datagram) = postcard::from_bytes::<message::Datagram>(&bytes) {
            decoded += 1;
            handle(&mut fleet, datagram);
        }
    }
    assert!(decoded > CASES / 10, "only {decoded} of {CASES} datagrams could be decoded");
}

/// A list of servers that is not newer than the copy of router 1.
fn old_list(fleet: &Fleet, g: &mut Gen) -> message::Message {
    let current = fleet.routers[1].node.vms_index();
    let position = store::Position::new(current.era, u64::arbitrary(g) % (current.revision + 1));
    let vm = servers::Vm {
        vm: format!("server-{}", u8::arbitrary(g) % 8),
        service: "service".to_owned(),
        address: "10.9.0.9:1".to_owned(),
        class: String::new(),
        version: String::new(),
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
fn a_list_of_servers_that_is_not_newer_removes_no_server() {
    let mut fleet = up_to_date_fleet(6, BOUNDS, 32);
    let mut g = Gen::from_size_and_seed(64, 32);
    let servers = |fleet: &Fleet| -> Vec<servers::Vm> {
        let mut vms: Vec<servers::Vm> =
            fleet.routers[1].node.servers().iter().map(|(_, server)| server.vm.clone()).collect();
        vms.sort_by(|left, right| left.vm.cmp(&right.vm));
        vms
    };
    let before = servers(&fleet);
    for _ in 0..500 {
        let message = old_list(&fleet, &mut g);
        let (from, to) =
            (fleet.routers[0].node.members().own().id, fleet.routers[1].node.members().own().id);
        handle(&mut fleet, message::Datagram::Message(message::Envelope { from, to, message }));
    }
    assert_eq!(servers(&fleet), before);
}

#[test]
fn long_names_from_another_writer_do_not_make_datagrams_too_large() {
    let mut fleet = up_to_date_fleet(6, BOUNDS, 33);
    for number in 0..40 {
        // The texts of a record may have this length in total.
        fleet.put_server(&format!("{number:0800}"), servers::VmState::Live);
    }
    fleet.run_ms(400);
    for bytes in datagrams(&mut fleet) {
        assert!(bytes.len() <= DATAGRAM_BYTES_MAX, "a datagram has {} bytes", bytes.len());
    }
    fleet.run_ms(4_000);
    let count = fleet.routers[1].node.servers().iter().count();
    assert!(count >= 40, "only {count} servers are listed");
    let alive: Vec<&members::Record> = fleet.routers[1].node.members().live().collect();
    assert_eq!(alive.len(), 5);
    assert_eq!(fleet.routers[1].node.watch_role(), Some(watch::Role::EveryRouter));
}
