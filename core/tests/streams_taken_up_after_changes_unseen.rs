//! Guards against streams that go on at another version because a router concludes from what it has missed: a version
//! that returned, a restore of the store, a second placement, a new configuration.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{ids, node, servers, streams};
use std::ops;
use watch_fleet::take_ups;
use watch_fleet::traffic::Traffic;

const SLOTS: u64 = 64;
const KEPT_MS: u64 = 100_000;
/// How long routers run before anything changes.
const RUN_MS: u64 = 6_000;
const STREAMS: u8 = 20;

fn stream(number: u8) -> ids::StreamId {
    ids::StreamId([number; 16])
}

fn put(traffic: &mut Traffic, name: &str, version: &str) {
    traffic.fleet.server_versions.insert(name.to_owned(), version.to_owned());
    traffic.fleet.put_server_with_slots(name, servers::VmState::Live, SLOTS);
}

fn fleet(routers: usize, servers: &[(&str, &str)], seed: u64) -> Traffic {
    let mut traffic = Traffic::new(routers, seed, 7);
    traffic.fleet.loss_percent = 0;
    servers.iter().for_each(|(name, version)| put(&mut traffic, name, version));
    traffic.fleet.run_ms(RUN_MS);
    traffic
}

/// Cuts a router off from the store and the others, or heals the cut.
fn set_cut(traffic: &mut Traffic, router: usize, cut: bool) {
    traffic.fleet.set_cut(router, cut);
    traffic.set_partition(router, u64::from(cut));
}

fn lists_version(traffic: &Traffic, router: usize, version: &str) -> bool {
    let servers = traffic.fleet.routers[router].node.servers();
    servers.iter().any(|(_, server)| server.vm.version == version)
}

/// The service to which the route leads in the configuration that a router has.
fn route_service(traffic: &Traffic, router: usize) -> String {
    let config = traffic.fleet.routers[router].node.config().expect("a configuration");
    config.document.routes[0].targets[0].service.clone()
}

fn request(traffic: &mut Traffic, number: u8) -> node::AdmissionRequest {
    let mut request = traffic.next_request();
    request.parts = Vec::new();
    request.stream =
        Some(node::StreamRequest { id: stream(number), version: None, kept_ms: KEPT_MS });
    request
}

/// The version of the server at which a router last placed a request.
fn version_placed(traffic: &Traffic, slot: ids::RequestSlot) -> Option<String> {
    let fleet = &traffic.fleet;
    let vm = fleet.answers.iter().rev().find_map(|(_, _, other, answer)| {
        let node::Answer::Dispatch { vm, .. } = answer else { return None };
        (*other == slot).then_some(vm.clone())
    })?;
    Some(fleet.server_versions[&vm].clone())
}

/// Begins streams at routers in turn.
fn begin(traffic: &mut Traffic, routers: ops::Range<usize>) -> Vec<(u8, String)> {
    let mut begun = Vec::new();
    for number in 0..STREAMS {
        let router = routers.start + usize::from(number) % routers.len();
        let mut request = request(traffic, number);
        request.service = route_service(traffic, router);
        traffic.fleet.answers.clear();
        let now_ms = traffic.fleet.now_ms;
        let slot = traffic.fleet.routers[router].node.admit(request, now_ms);
        traffic.fleet.routers[router].node.answer_started(slot, now_ms);
        traffic.fleet.perform_actions(router);
        begun.extend(version_placed(traffic, slot).map(|version| (number, version)));
    }
    assert!(begun.len() * 2 > usize::from(STREAMS), "{} streams began", begun.len());
    begun
}

/// Takes streams up at routers in turn.
fn take_up(
    traffic: &mut Traffic,
    begun: &[(u8, String)],
    routers: ops::Range<usize>,
) -> take_ups::Counts {
    let take_up = |(index, (number, version)): (usize, &(u8, String))| {
        let router = routers.start + index % routers.len();
        take_ups::TakeUp {
            stream: stream(*number),
            version: version.clone(),
            router,
            services: vec![route_service(traffic, router)],
        }
    };
    let take_ups = begun.iter().enumerate().map(take_up).collect();
    traffic.fleet.take_up(take_ups)
}

/// Guards against streams that go on at another version because theirs has been away for long at a router that was cut
/// off when it returned: the store's record has named it all the time.
#[test]
fn a_version_that_returned_unseen_is_in_the_record() {
    for (seed, routers) in [2, 3, 5].into_iter().enumerate() {
        let servers = [("old-0", "v1"), ("new-0", "v2")];
        let mut traffic = fleet(routers, &servers, seed as u64);
        traffic.fleet.remove_server("old-0");
        traffic.fleet.run_ms(streams::KEPT_MAX_MS - 6_000);
        set_cut(&mut traffic, 0, true);
        put(&mut traffic, "old-1", "v1");
        traffic.fleet.remove_server("new-0");
        traffic.fleet.run_until("routers in touch list the version", 3_000, |fleet| {
            let servers = fleet.routers[1].node.servers();
            servers.iter().any(|(_, server)| server.vm.version == "v1")
        });
        traffic.fleet.run_ms(2_000);
        let begun = begin(&mut traffic, 1..routers);
        assert!(begun.iter().all(|(_, version)| version == "v1"));
        traffic.fleet.run_ms(6_000);
        assert!(!lists_version(&traffic, 0, "v1"));
        set_cut(&mut traffic, 0, false);
        let counts = take_up(&mut traffic, &begun, 0..1);
        assert_eq!(counts.mixed, 0, "{routers} routers: {counts:?}");
    }
}

/// Guards against streams that begin at a version which the others have removed from the record while their router was
/// cut off from the store and the others, but not from its servers.
#[test]
fn a_version_that_was_removed_from_the_record_during_a_cut() {
    for cut_ms in [20_000, 100_000, 160_000, 200_000] {
        let mut traffic = fleet(3, &[("old-0", "v1")], cut_ms);
        set_cut(&mut traffic, 0, true);
        put(&mut traffic, "new-0", "v2");
        traffic.fleet.run_ms(3_000);
        traffic.fleet.remove_server("old-0");
        traffic.fleet.run_ms(cut_ms);
        let begun = begin(&mut traffic, 0..1);
        assert!(begun.iter().all(|(_, version)| version == "v1"));
        traffic.fleet.run_ms(1_000);
        let counts = take_up(&mut traffic, &begun, 1..3);
        assert_eq!(counts.mixed, 0, "cut off for {cut_ms} ms: {counts:?}");
    }
}

/// Guards against streams that go on at another service because the route led there when the router was cut off.
#[test]
fn a_route_that_leads_to_another_service_since_the_cut() {
    for (seed, healed) in [false, true].into_iter().enumerate() {
        let mut traffic = fleet(3, &[("old-0", "v1")], seed as u64);
        set_cut(&mut traffic, 0, true);
        traffic.fleet.server_services.insert("other-0".to_owned(), "other".to_owned());
        put(&mut traffic, "other-0", "v2");
        traffic.fleet.publish_route_to("other");
        traffic.fleet.run_ms(8_000);
        assert_eq!(route_service(&traffic, 1), "other");
        let begun = begin(&mut traffic, 1..3);
        assert!(begun.iter().all(|(_, version)| version == "v2"));
        traffic.fleet.run_ms(500);
        if healed {
            set_cut(&mut traffic, 0, false);
        }
        assert_eq!(route_service(&traffic, 0), "service");
        let counts = take_up(&mut traffic, &begun, 0..1);
        assert_eq!(counts.mixed, 0, "healed: {healed}: {counts:?}");
    }
}

/// Guards against streams that go on at another version because the store was restored to a state before theirs joined.
fn check_restore(routers: usize, age_ms: u64, others_end: bool) {
    let mut traffic = fleet(routers, &[("old-0", "v1")], 5);
    traffic.fleet.run_ms(age_ms);
    let backup = traffic.fleet.back_up();
    set_cut(&mut traffic, 0, true);
    put(&mut traffic, "new-0", "v2");
    traffic.fleet.run_ms(2_000);
    traffic.fleet.remove_server("old-0");
    traffic.fleet.run_ms(2_000);
    let begun = begin(&mut traffic, 1..routers);
    assert!(begun.iter().all(|(_, version)| version == "v2"));
    traffic.fleet.run_ms(5_000);
    traffic.fleet.restore(&backup);
    if others_end {
        (1..routers).for_each(|router| traffic.fleet.kill(router));
    }
    set_cut(&mut traffic, 0, false);
    let mut all = take_ups::Counts::default();
    for _ in 0..6 {
        let counts = take_up(&mut traffic, &begun, 0..1);
        all.mixed += counts.mixed;
        all.continued += counts.continued;
        all.refused += counts.refused;
    }
    assert_eq!(all.mixed, 0, "{all:?}");
}

macro_rules! streams_hold_one_version_after_a_restore {
    ($($name:ident: $routers:expr, $age_ms:expr, $others_end:expr;)*) => {$(
        #[test]
        fn $name() {
            check_restore($routers, $age_ms, $others_end);
        }
    )*};
}

streams_hold_one_version_after_a_restore! {
    restored_before_a_version_in_a_new_fleet: 3, 0, false;
    restored_before_a_version_in_an_old_fleet: 3, 130_000, false;
    restored_before_a_version_and_the_others_end: 3, 0, true;
    restored_before_a_version_and_the_others_of_an_old_fleet_end: 3, 130_000, true;
}

/// Guards against streams that are lost with their router because a restore makes the record of versions incomplete.
#[test]
fn streams_of_one_version_go_on_after_a_restore() {
    for age_ms in [0, 130_000] {
        for wait_ms in [100, 2_000, 10_000] {
            let mut traffic = fleet(3, &[("old-0", "v1"), ("old-1", "v1")], wait_ms);
            traffic.fleet.run_ms(age_ms);
            let backup = traffic.fleet.back_up();
            traffic.fleet.run_ms(5_000);
            let begun = begin(&mut traffic, 0..3);
            traffic.fleet.restore(&backup);
            traffic.fleet.run_ms(wait_ms);
            traffic.fleet.kill(0);
            let counts = take_up(&mut traffic, &begun, 1..3);
            let continued = (counts.continued, begun.len());
            assert_eq!(continued.0, continued.1, "{age_ms} ms, {wait_ms} ms: {counts:?}");
        }
    }
}

/// Streams are placed at one version, their routers copy the origins to others, the first servers fail before they have
/// written anything, and the streams are placed at another version while some routers are cut off.
fn check_second_placement(cut: &[usize], from_store: bool, healed: bool, cut_ms: u64) {
    let routers = 5;
    let mut traffic = fleet(routers, &[("old-0", "v1"), ("new-0", "v2")], 9);
    let mut placed = Vec::new();
    for number in 0..STREAMS {
        let request = request(&mut traffic, number);
        traffic.fleet.answers.clear();
        let now_ms = traffic.fleet.now_ms;
        let slot = traffic.fleet.routers[0].node.admit(request, now_ms);
        traffic.fleet.perform_actions(0);
        placed.extend(version_placed(&traffic, slot).map(|version| (number, slot, version)));
    }
    traffic.fleet.run_ms(100);
    for router in cut {
        traffic.fleet.set_cut(*router, from_store);
        traffic.set_partition(*router, 1);
    }
    let mut begun = Vec::new();
    for (number, slot, first) in placed {
        traffic.fleet.answers.clear();
        let now_ms = traffic.fleet.now_ms;
        let node = &mut traffic.fleet.routers[0].node;
        node.retry(slot, node::AttemptFailure::MayHaveRun, now_ms);
        node.answer_started(slot, now_ms);
        traffic.fleet.perform_actions(0);
        let second = version_placed(&traffic, slot);
        begun.extend(second.filter(|second| *second != first).map(|second| (number, second)));
    }
    assert!(begun.len() > 5, "{} streams were placed at another version", begun.len());
    traffic.fleet.run_ms(cut_ms);
    if healed {
        for router in cut {
            traffic.fleet.set_cut(*router, false);
            traffic.set_partition(*router, 0);
        }
    }
    let mut mixed = Vec::new();
    for router in cut {
        let counts = take_up(&mut traffic, &begun, *router..*router + 1);
        if counts.mixed > 0 {
            mixed.push((*router, counts));
        }
    }
    assert!(mixed.is_empty(), "of {}: {mixed:?}", begun.len());
}

macro_rules! streams_placed_twice_hold_one_version {
    ($($name:ident: $cut:expr, $store:expr, $healed:expr, $cut_ms:expr;)*) => {$(
        #[test]
        fn $name() {
            check_second_placement(&$cut, $store, $healed, $cut_ms);
        }
    )*};
}

streams_placed_twice_hold_one_version! {
    placed_twice_and_one_with_a_copy_is_cut_off: [1], true, false, 8_000;
    placed_twice_and_one_with_a_copy_is_cut_off_for_a_moment: [1], true, false, 300;
    placed_twice_and_one_with_a_copy_is_cut_off_from_others: [1], false, false, 8_000;
    placed_twice_and_one_with_a_copy_is_healed: [1], true, true, 8_000;
    placed_twice_and_one_with_a_copy_is_healed_after_a_moment: [1], true, true, 600;
    placed_twice_and_two_with_copies_are_cut_off: [1, 2], true, false, 600;
    placed_twice_and_two_with_copies_are_healed: [1, 2], true, true, 8_000;
    placed_twice_and_two_with_copies_are_healed_after_a_moment: [1, 2], true, true, 600;
}
