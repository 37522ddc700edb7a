//! Unit tests of the origins of streams: which version a stream goes on at, what is kept of it, and what is refused.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{ids, message, node, servers, streams, version_record};
use watch_fleet::traffic::Traffic;

const KEPT_MS: u64 = 5_000;

fn origin(version: &str) -> streams::Origin {
    streams::Origin { service: "service".to_owned(), version: version.to_owned() }
}

fn stream(number: u8) -> ids::StreamId {
    ids::StreamId([number; 16])
}

fn router(number: u64) -> ids::Incarnation {
    ids::Incarnation(number)
}

/// A fleet whose routers list these servers with their versions, each of which runs `slots` requests at once.
fn fleet(routers: usize, servers: &[(&str, &str)], slots: u64) -> Traffic {
    let mut traffic = Traffic::new(routers, 1, 1);
    traffic.fleet.loss_percent = 0;
    for (name, version) in servers {
        put(&mut traffic, name, version, slots);
    }
    traffic.fleet.run_ms(6_000);
    traffic
}

fn put(traffic: &mut Traffic, name: &str, version: &str, slots: u64) {
    traffic.fleet.server_versions.insert(name.to_owned(), version.to_owned());
    traffic.fleet.put_server_with_slots(name, servers::VmState::Live, slots);
}

/// Submits a request at a router and returns its slot.
fn admit(traffic: &mut Traffic, router: usize, version: Option<&str>) -> ids::RequestSlot {
    let mut request = traffic.next_request();
    request.parts = Vec::new();
    request.priority = u8::from(version.is_some());
    let version = version.map(str::to_owned);
    request.stream = Some(node::StreamRequest { id: stream(9), version, kept_ms: KEPT_MS });
    let now_ms = traffic.fleet.now_ms;
    let slot = traffic.fleet.routers[router].node.admit(request, now_ms);
    traffic.fleet.perform_actions(router);
    slot
}

/// The VM to which a request was dispatched, or why it was refused; `None` if it waits.
fn decision(traffic: &Traffic, slot: ids::RequestSlot) -> Option<Result<String, node::Reason>> {
    let mut answers = traffic.fleet.answers.iter().rev();
    answers.find(|(_, _, other, _)| *other == slot).and_then(|(_, _, _, answer)| match answer {
        node::Answer::Dispatch { vm, .. } => Some(Ok(vm.clone())),
        node::Answer::Refuse { reason, .. } => Some(Err(*reason)),
        _ => None,
    })
}

fn search(traffic: &mut Traffic, router: usize, number: u8) -> node::OriginFound {
    let search =
        node::OriginSearch { stream: Some(stream(number)), services: vec!["service".to_owned()] };
    let now_ms = traffic.fleet.now_ms;
    let slot = traffic.fleet.routers[router].node.find_stream_origin(search, now_ms);
    traffic.fleet.perform_actions(router);
    traffic.fleet.run_ms(400);
    let found = traffic.fleet.origins_found.iter().find(|(_, _, other, _)| *other == slot);
    found.unwrap().3.clone()
}

fn is_refused(found: &node::OriginFound, expected: node::Reason) -> bool {
    matches!(found, node::OriginFound::Refused { reason, .. } if *reason == expected)
}

/// Guards against a stream that waits for a server of its version and holds up requests that other servers could run.
#[test]
fn a_stream_that_waits_for_its_version_does_not_hold_up_other_requests() {
    let mut traffic = fleet(1, &[("vm-1", "v1"), ("vm-2", "v2")], 1);
    let running = [admit(&mut traffic, 0, Some("v1")), admit(&mut traffic, 0, Some("v2"))];
    let bound = admit(&mut traffic, 0, Some("v1"));
    let free = admit(&mut traffic, 0, None);
    assert!(decision(&traffic, bound).is_none() && decision(&traffic, free).is_none());
    let now_ms = traffic.fleet.now_ms;
    let end = node::RequestOutcome::Ran { consumed_tokens: 0, outcome: None, healthy: true };
    traffic.fleet.routers[0].node.finish(running[1], end, now_ms);
    traffic.fleet.perform_actions(0);
    assert_eq!(decision(&traffic, free), Some(Ok("vm-2".to_owned())));
    assert_eq!(decision(&traffic, bound), None);
}

/// Guards against a stream that waits, after the last server of its version has left, until its time in the queue is
/// over.
#[test]
fn a_stream_that_waits_is_refused_when_its_version_leaves() {
    let mut traffic = fleet(1, &[("vm-1", "v1"), ("vm-2", "v2")], 1);
    admit(&mut traffic, 0, Some("v1"));
    let bound = admit(&mut traffic, 0, Some("v1"));
    assert_eq!(decision(&traffic, bound), None);
    traffic.fleet.put_server_with_slots("vm-1", servers::VmState::Leaving, 1);
    traffic.fleet.run_ms(100);
    assert_eq!(decision(&traffic, bound), Some(Err(node::Reason::NoServerOfVersion)));
}

#[test]
fn a_stream_of_a_version_without_servers_is_refused_at_once() {
    let mut traffic = fleet(1, &[("vm-1", "v1")], 8);
    let slot = admit(&mut traffic, 0, Some("v2"));
    assert_eq!(decision(&traffic, slot), Some(Err(node::Reason::NoServerOfVersion)));
}

/// Guards against a server that starts again under its name with another version, without an incarnation in its record,
/// and takes over what was recorded of the earlier one.
#[test]
fn a_server_that_changes_its_version_counts_as_another_one() {
    let mut table = servers::Table::default();
    let vm = |version: &str| servers::Vm {
        vm: "vm-1".to_owned(),
        service: "service".to_owned(),
        address: "10.0.0.1:1".to_owned(),
        class: String::new(),
        version: version.to_owned(),
        failure_domain: "a".to_owned(),
        state: servers::VmState::Live,
        slots: 1,
        incarnation: ids::ServerIncarnation::UNKNOWN,
        cold_ms: 0,
    };
    table.apply_list(&[vm("v1")], 0);
    let earlier = table.find("vm-1").unwrap();
    table.apply_list(&[vm("v2")], 1_000);
    let later = table.find("vm-1").unwrap();
    assert_ne!(earlier, later);
    assert!(table.get(earlier).is_none_or(|server| server.vm.version == "v1"));
    assert_eq!(table.get(later).unwrap().vm.version, "v2");
}

#[test]
fn an_unknown_stream_goes_on_where_there_is_one_version() {
    let mut traffic = fleet(3, &[("vm-1", "v1"), ("vm-2", "v1")], 8);
    let found = search(&mut traffic, 0, 1);
    let source = node::OriginSource::OnlyVersion;
    assert_eq!(found, node::OriginFound::Origin { origin: origin("v1"), source });
}

#[test]
fn an_unknown_stream_is_refused_where_there_are_two_versions() {
    let mut traffic = fleet(3, &[("vm-1", "v1"), ("vm-2", "v2")], 8);
    let found = search(&mut traffic, 0, 1);
    assert!(is_refused(&found, node::Reason::StreamOriginUnknown), "{found:?}");
}

/// Guards against a version that has just left and is forgotten by a router that started after that.
#[test]
fn an_unknown_stream_is_refused_at_a_new_router_if_others_have_seen_two_versions() {
    let mut traffic = fleet(3, &[("vm-1", "v1"), ("vm-2", "v2")], 8);
    traffic.fleet.remove_server("vm-1");
    traffic.fleet.run_ms(5_000);
    traffic.fleet.restart(0);
    traffic.fleet.run_ms(5_000);
    let found = search(&mut traffic, 0, 1);
    assert!(is_refused(&found, node::Reason::StreamOriginUnknown), "{found:?}");
}

#[test]
fn an_unknown_stream_goes_on_again_when_the_other_version_is_long_gone() {
    let mut traffic = fleet(2, &[("vm-1", "v1"), ("vm-2", "v2")], 8);
    traffic.fleet.remove_server("vm-1");
    traffic.fleet.run_ms(streams::KEPT_MAX_MS + 5_000);
    let found = search(&mut traffic, 0, 1);
    let source = node::OriginSource::OnlyVersion;
    assert_eq!(found, node::OriginFound::Origin { origin: origin("v2"), source });
}

#[test]
fn nothing_is_sent_about_streams_of_a_single_version() {
    let mut traffic = fleet(3, &[("vm-1", "v1"), ("vm-2", "v1")], 8);
    (0..8).for_each(|_| {
        admit(&mut traffic, 0, None);
    });
    traffic.fleet.run_ms(2_000);
    assert_eq!(traffic.fleet.origin_messages, (0, 0));
}

/// Guards against origins that are sent for good after a read of the record has failed once.
#[test]
fn nothing_is_sent_about_streams_of_a_single_version_once_the_store_is_back() {
    let mut traffic = fleet(3, &[("vm-1", "v1")], 60);
    traffic.fleet.set_store(watch_fleet::StoreMode::Rejecting);
    traffic.fleet.run_ms(1_000);
    search(&mut traffic, 0, 99);
    traffic.fleet.set_store(watch_fleet::StoreMode::Available);
    traffic.fleet.run_ms(10_000);
    let sent = traffic.fleet.origin_messages;
    place(&mut traffic, 0, 0..8);
    traffic.fleet.run_ms(2_000);
    assert_eq!(traffic.fleet.origin_messages, sent);
}

#[test]
fn an_origin_expires() {
    let mut table = streams::Table::default();
    table.record_own(stream(1), &origin("v1"), 1_000, true);
    table.expire(999);
    assert_eq!(table.origin(stream(1)), Some(&origin("v1")));
    table.expire(1_000);
    assert_eq!(table.origin(stream(1)), None);
    assert!(table.is_empty());
}

#[test]
fn the_number_of_origins_is_bounded() {
    let mut table = streams::Table::default();
    for number in 0..streams::STREAMS_MAX as u64 + 10 {
        let mut id = [0; 16];
        id[..8].copy_from_slice(&number.to_be_bytes());
        table.record_own(ids::StreamId(id), &origin("v1"), 1_000 + number, true);
    }
    assert_eq!(table.len(), streams::STREAMS_MAX);
    assert_eq!(table.origin(stream(0)), None, "the origin that expires first was kept");
}

#[test]
fn an_earlier_message_does_not_replace_a_later_one() {
    let mut table = streams::Table::default();
    table.record_copy(stream(1), &origin("v2"), 1_000, (router(1), 2));
    table.record_copy(stream(1), &origin("v1"), 1_000, (router(1), 1));
    assert_eq!(table.origin(stream(1)), Some(&origin("v2")));
}

/// Guards against a client that uses the id of a request twice and has its streams continued at a version by chance.
#[test]
fn an_id_that_two_routers_placed_at_two_versions_is_unknown() {
    let mut table = streams::Table::default();
    table.record_copy(stream(1), &origin("v1"), 1_000, (router(1), 1));
    table.record_copy(stream(1), &origin("v2"), 1_000, (router(2), 1));
    assert_eq!(table.origin(stream(1)), None);
}

/// Guards against a version that left while no router ran, and is unknown to all that start after that.
#[test]
fn an_unknown_stream_is_refused_if_its_version_left_while_no_router_ran() {
    let mut traffic = fleet(3, &[("vm-1", "v1"), ("vm-2", "v2")], 8);
    (0..3).for_each(|router| traffic.fleet.kill(router));
    traffic.fleet.remove_server("vm-1");
    (0..3).for_each(|router| traffic.fleet.restart(router));
    traffic.fleet.run_ms(6_000);
    let found = search(&mut traffic, 0, 1);
    assert!(is_refused(&found, node::Reason::StreamOriginUnknown), "{found:?}");
}

/// The incarnation by which the other routers know one.
fn incarnation_of(traffic: &Traffic, router: usize) -> ids::Incarnation {
    let routers = &traffic.fleet.routers;
    let other = &routers[(router + 1) % routers.len()];
    let mut records = other.node.members().live();
    records.find(|record| record.address == routers[router].address).unwrap().id
}

/// Delivers a router's message that it placed a stream at a version to another router.
fn deliver_copy(traffic: &mut Traffic, (from, to): (usize, usize), number: u64, version: &str) {
    let copies = vec![streams::StreamCopy { stream: stream(1), left_ms: 60_000 }];
    let message =
        message::Message::StreamOrigins { number, origin: origin(version), streams: copies };
    let (sender, receiver) = (incarnation_of(traffic, from), incarnation_of(traffic, to));
    let envelope = message::Envelope { from: sender, to: receiver, message };
    let now_ms = traffic.fleet.now_ms;
    traffic.fleet.routers[to].node.handle_message(envelope, now_ms);
}

/// Guards against a stream that continues at the version of its first placement, which a router with a copy still takes
/// for its origin because it missed the message about the second one.
#[test]
fn a_copy_that_missed_the_last_placement_does_not_decide() {
    for asked in [1, 2, 3] {
        let mut traffic = fleet(4, &[("vm-1", "v1"), ("vm-2", "v2")], 8);
        deliver_copy(&mut traffic, (0, 1), 1_000, "v1");
        deliver_copy(&mut traffic, (0, 2), 1_000, "v1");
        deliver_copy(&mut traffic, (0, 2), 1_001, "v2");
        traffic.fleet.kill(0);
        let found = search(&mut traffic, asked, 1);
        let node::OriginFound::Origin { origin: found, .. } = found else { panic!("{found:?}") };
        assert_eq!(found, origin("v2"), "asked of router {asked}");
    }
}

/// Begins streams at a router, with these numbers.
fn place(traffic: &mut Traffic, router: usize, numbers: std::ops::Range<u8>) {
    for number in numbers {
        let mut request = traffic.next_request();
        request.stream =
            Some(node::StreamRequest { id: stream(number), version: None, kept_ms: KEPT_MS });
        let now_ms = traffic.fleet.now_ms;
        let slot = traffic.fleet.routers[router].node.admit(request, now_ms);
        traffic.fleet.routers[router].node.answer_started(slot, now_ms);
        traffic.fleet.perform_actions(router);
    }
}

/// Guards against streams that are lost with two routers because a third one, whose end the first had not noticed, was
/// to keep one of two copies.
#[test]
fn copies_that_an_ended_router_does_not_acknowledge_are_kept_by_another_one() {
    for ended in 1..5 {
        let mut traffic = fleet(6, &[("vm-1", "v1"), ("vm-2", "v2")], 60);
        traffic.fleet.kill(ended);
        place(&mut traffic, 0, 0..10);
        traffic.fleet.run_ms(300);
        traffic.fleet.kill(0);
        traffic.fleet.kill(ended % 4 + 1);
        for number in 0..10 {
            let found = search(&mut traffic, 5, number);
            let known = matches!(found, node::OriginFound::Origin { .. });
            assert!(known, "router {ended}, stream {number}: {found:?}");
        }
    }
}

/// Guards against streams that a router refuses because it has just started: it was not ready yet, or did not know of
/// the routers with copies.
#[test]
fn a_router_that_has_just_started_finds_streams() {
    for started_ms in [0, 20, 40, 60, 100, 200, 500] {
        for number in 0..10 {
            let mut traffic = fleet(6, &[("vm-1", "v1"), ("vm-2", "v2")], 60);
            place(&mut traffic, 0, number..number + 1);
            traffic.fleet.run_ms(300);
            traffic.fleet.restart(0);
            traffic.fleet.run_ms(started_ms);
            let found = search(&mut traffic, 0, number);
            let known = matches!(found, node::OriginFound::Origin { .. });
            assert!(known, "after {started_ms} ms, stream {number}: {found:?}");
        }
    }
}

/// The store's record of versions.
fn record(traffic: &Traffic) -> version_record::Record {
    let (_, value) = &traffic.fleet.values[version_record::KEY];
    version_record::Record::decode(value).unwrap()
}

/// Restarts all routers and lets them read the store.
fn restart_all(traffic: &mut Traffic) {
    let routers = traffic.fleet.routers.len();
    (0..routers).for_each(|router| traffic.fleet.restart(router));
    traffic.fleet.run_ms(3_000);
}

#[test]
fn streams_of_one_version_cause_no_calls() {
    let mut traffic = fleet(3, &[("vm-1", "v1")], 60);
    assert!(record(&traffic).complete);
    let calls = traffic.fleet.value_calls;
    for _ in 0..40 {
        admit(&mut traffic, 0, None);
        traffic.fleet.run_ms(500);
    }
    assert_eq!(traffic.fleet.value_calls, calls);
}

#[test]
fn a_version_that_left_stays_in_the_record_while_streams_may_be_continued() {
    let mut traffic = fleet(3, &[("vm-1", "v1"), ("vm-2", "v2")], 8);
    traffic.fleet.remove_server("vm-1");
    traffic.fleet.run_ms(streams::KEPT_MAX_MS);
    assert_eq!(record(&traffic).state("service", "v1"), Some(version_record::State::Current));
    traffic.fleet.run_ms(10_000);
    assert_eq!(record(&traffic).state("service", "v1"), Some(version_record::State::Retiring));
    traffic.fleet.run_ms(40_000);
    assert_eq!(record(&traffic).state("service", "v1"), None);
    assert_eq!(record(&traffic).state("service", "v2"), Some(version_record::State::Current));
    restart_all(&mut traffic);
    let found = search(&mut traffic, 0, 1);
    assert!(
        matches!(found, node::OriginFound::Origin { ref origin, .. } if origin.version == "v2")
    );
}

/// Guards against a version that is used again while its removal from the record is under way.
#[test]
fn a_retiring_version_is_current_again_before_streams_begin_at_it() {
    let mut traffic = fleet(3, &[("vm-1", "v1"), ("vm-2", "v2")], 8);
    traffic.fleet.remove_server("vm-1");
    traffic.fleet.run_ms(streams::KEPT_MAX_MS + 10_000);
    assert_eq!(record(&traffic).state("service", "v1"), Some(version_record::State::Retiring));
    put(&mut traffic, "vm-3", "v1", 8);
    traffic.fleet.remove_server("vm-2");
    traffic.fleet.run_ms(5_000);
    assert_eq!(record(&traffic).state("service", "v1"), Some(version_record::State::Current));
    let slot = admit(&mut traffic, 0, None);
    assert_eq!(decision(&traffic, slot), Some(Ok("vm-3".to_owned())));
}

/// Guards against a version that stays unused because its servers were away for a while.
#[test]
fn streams_begin_again_at_a_version_that_was_away() {
    for away_ms in [1_000, streams::KEPT_MAX_MS - 30_000, streams::KEPT_MAX_MS - 100] {
        let mut traffic = fleet(3, &[("vm-1", "v1"), ("vm-2", "v2")], 8);
        traffic.fleet.remove_server("vm-1");
        traffic.fleet.run_ms(away_ms);
        put(&mut traffic, "vm-3", "v1", 8);
        traffic.fleet.remove_server("vm-2");
        traffic.fleet.run_ms(5_000);
        let slot = admit(&mut traffic, 0, None);
        assert_eq!(decision(&traffic, slot), Some(Ok("vm-3".to_owned())), "away for {away_ms} ms");
    }
}

/// Guards against the trust in a record that routers of an earlier build do not write.
#[test]
fn a_record_is_incomplete_beside_a_router_that_does_not_write_it() {
    let mut traffic = fleet(3, &[("vm-1", "v1")], 8);
    assert!(record(&traffic).complete);
    traffic.fleet.gossip_from_unknown_peer(1, message::Digest::default());
    traffic.fleet.run_ms(2_000);
    assert!(!record(&traffic).complete);
    restart_all(&mut traffic);
    let found = search(&mut traffic, 0, 1);
    assert!(is_refused(&found, node::Reason::StreamOriginUnknown), "{found:?}");
    traffic.fleet.run_ms(streams::KEPT_MAX_MS + 5_000);
    assert!(record(&traffic).complete);
}

/// Guards against a router that overwrites what a later build has written, or goes on by it.
#[test]
fn a_record_of_a_later_format_is_left_as_it_is() {
    let mut traffic = fleet(3, &[("vm-1", "v1")], 8);
    let later = br#"{"format":2,"fleets":[]}"#.to_vec();
    let (revision, value) = traffic.fleet.values.get_mut(version_record::KEY).unwrap();
    (*revision, *value) = (*revision + 1_000, later.clone());
    restart_all(&mut traffic);
    let found = search(&mut traffic, 0, 1);
    assert!(is_refused(&found, node::Reason::StreamOriginUnknown), "{found:?}");
    let slot = admit(&mut traffic, 0, None);
    assert_eq!(decision(&traffic, slot), Some(Ok("vm-1".to_owned())));
    traffic.fleet.run_ms(5_000);
    assert_eq!(traffic.fleet.values[version_record::KEY].1, later);
}

/// Guards against a stream that begins at a version before it is in the record, and against one that waits in vain while
/// a router that cannot reach the store has peers which can.
#[test]
fn a_router_without_the_store_learns_from_peers_where_streams_may_begin() {
    let mut traffic = fleet(3, &[("vm-1", "v1")], 8);
    traffic.fleet.restart(1);
    traffic.fleet.set_cut(1, true);
    traffic.fleet.run_ms(3_000);
    let slot = admit(&mut traffic, 1, None);
    assert_eq!(decision(&traffic, slot), Some(Ok("vm-1".to_owned())));
}

/// Guards against a stream that begins at a version which is not in the record.
#[test]
fn a_stream_waits_while_its_version_cannot_be_recorded() {
    let mut traffic = fleet(1, &[("vm-1", "v1")], 8);
    let now_ms = traffic.fleet.now_ms;
    traffic.fleet.set_store(watch_fleet::StoreMode::Rejecting);
    let mut vm = traffic.fleet.routers[0].node.servers().iter().next().unwrap().1.vm.clone();
    (vm.vm, vm.version) = ("vm-2".to_owned(), "v2".to_owned());
    let position = traffic.fleet.routers[0].node.vms_index();
    traffic.fleet.routers[0].node.offer_vms(position, vec![vm], now_ms);
    let slot = admit(&mut traffic, 0, None);
    assert_eq!(decision(&traffic, slot), None);
    traffic.fleet.run_ms(1_000);
    assert_eq!(decision(&traffic, slot), Some(Err(node::Reason::VersionUnrecorded)));
}
