//! Guards against stale routers while single polls stay unanswered, although the store answers all other calls.
//!
//! A poll of the configuration that is sent in the last second of an outage, while the store is silent, is never
//! answered. Its connection stays open and acknowledges packets, and membership is unaffected, so that only the timeout
//! of the poll reveals the fault. Until then routers refuse new keys and use old routes, for up to 11 s with polls of
//! 10 s: store silent from 11.9 s to 15.4 s, change acknowledged at 16.1 s,
//! `event=watch_failed prefix=op/ wait_ms=10000 after_ms=11001` at 14.5 s and at 25.5 s.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{servers, watch};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use watch_fleet::{Fleet, StoreMode, up_to_date_fleet};

const BOUNDS: watch::Bounds = watch::Bounds { configuration_ms: 2_000, servers_ms: 2_000 };

fn change(fleet: &mut Fleet) {
    fleet.publish();
    fleet.put_server("server-0", servers::VmState::Leaving);
}

/// Makes the store silent for `outage_ms`, starting at each of many moments within the longest poll.
fn silent_at_each_moment(routers: usize, outage_ms: u64) {
    for at_ms in (0..11_000).step_by(700) {
        let mut fleet = up_to_date_fleet(routers, BOUNDS, 1);
        fleet.run_ms(at_ms);
        fleet.set_store(StoreMode::Silent);
        fleet.run_ms(outage_ms);
        fleet.set_store(StoreMode::Available);
        fleet.run_ms(300);
        // The fleet asserts the staleness bounds in every step.
        change(&mut fleet);
        fleet.run_ms(5_000);
        change(&mut fleet);
        fleet.run_ms(6_000);
    }
}

/// Leaves the open polls of all routers unanswered, at each of many moments within the longest poll.
fn unanswered_at_each_moment(routers: usize) {
    for at_ms in (0..11_000).step_by(700) {
        let mut fleet = up_to_date_fleet(routers, BOUNDS, 2);
        fleet.run_ms(at_ms);
        for index in 0..routers {
            fleet.leave_polls_unanswered(index);
        }
        for _ in 0..4 {
            fleet.run_ms(800);
            change(&mut fleet);
        }
        fleet.run_ms(5_000);
    }
}

macro_rules! at_each_moment {
    ($($name:ident: $run:expr;)*) => {$(
        #[test]
        fn $name() {
            $run;
        }
    )*};
}

at_each_moment! {
    unanswered_polls_of_one_router_after_a_silent_outage: silent_at_each_moment(1, 3_500);
    unanswered_polls_of_two_routers_after_a_silent_outage: silent_at_each_moment(2, 3_500);
    unanswered_polls_of_seven_routers_after_a_silent_outage: silent_at_each_moment(7, 3_500);
    unanswered_polls_of_seven_routers_after_a_short_silence: silent_at_each_moment(7, 300);
    unanswered_polls_of_twelve_routers_after_a_silent_outage: silent_at_each_moment(12, 3_500);
    unanswered_polls_of_forty_routers_after_a_silent_outage: silent_at_each_moment(40, 3_500);
    unanswered_polls_of_one_router: unanswered_at_each_moment(1);
    unanswered_polls_of_seven_routers: unanswered_at_each_moment(7);
    unanswered_polls_of_forty_routers: unanswered_at_each_moment(40);
}

/// A router without peers has sent a poll with a long wait, as in a small fleet. The poll is never answered while its
/// peers are reachable again, and then the peers become unreachable a second time.
#[test]
fn an_unanswered_long_poll_of_an_isolated_router_does_not_delay_its_next_polls() {
    let mut fleet = up_to_date_fleet(24, BOUNDS, 3);
    let isolated = 13;
    fleet.routers[isolated].partition = 1;
    fleet.record_fault(isolated);
    fleet.run_until("the isolated router has sent a long poll", 120_000, |fleet| {
        let polls = fleet.routers[isolated].node.open_polls(watch::Topic::Servers, fleet.now_ms);
        polls.iter().any(|poll| poll.wait_ms > 20_000)
    });
    fleet.leave_polls_unanswered(isolated);
    fleet.routers[isolated].partition = 0;
    fleet.run_until("the router is a listener again", 10_000, |fleet| {
        fleet.routers[isolated].node.watch_role() == Some(watch::Role::Listener)
    });
    fleet.routers[isolated].partition = 1;
    fleet.record_fault(isolated);
    change(&mut fleet);
    // The fleet asserts the router's staleness bounds in every step.
    fleet.run_ms(8_000);
}

/// All connections of a router go silent at once, among them an idle one on which its next poll is sent. Datagrams still
/// arrive, so that it hears of a later configuration.
fn named_by_peers_only(routers: usize) {
    /// From then on the router counts as reachable.
    const CONTACT_MS: u64 = 3_000;
    let at_each = |index| (0..800).step_by(100).map(move |after_ms| (index, after_ms));
    for (index, change_after_ms) in (0..routers).flat_map(at_each) {
        let mut fleet = up_to_date_fleet(routers, BOUNDS, 4);
        fleet.leave_polls_unanswered(index);
        fleet.routers[index].silent_links = true;
        fleet.routers[index].silent_polls = 1;
        fleet.run_ms(change_after_ms);
        fleet.publish();
        fleet.run_ms(CONTACT_MS - change_after_ms);
        let node = &fleet.routers[index].node;
        assert!(
            fleet.is_up_to_date(node),
            "router {index} lacks the change after {change_after_ms} ms"
        );
    }
}

macro_rules! named_by_peers {
    ($($name:ident: $routers:expr;)*) => {$(
        #[test]
        fn $name() {
            named_by_peers_only($routers);
        }
    )*};
}

named_by_peers! {
    a_configuration_that_peers_name_is_fetched_by_two_routers: 2;
    a_configuration_that_peers_name_is_fetched_by_seven_routers: 7;
    a_configuration_that_peers_name_is_fetched_by_twelve_routers: 12;
}

/// Runs a random schedule of unanswered polls, outages, connections that fail, restarts and changes.
fn random_schedule(routers: usize, seed: u64) {
    let mut fleet = Fleet::new(routers, 3, BOUNDS, seed);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    fleet.loss_percent = rng.random_range(0..10);
    fleet.answer_delay_max_ms = rng.random_range(20..150);
    fleet.run_ms(5_000);
    for _ in 0..60 {
        let index = rng.random_range(0..routers);
        match rng.random_range(0..12) {
            0..3 => fleet.leave_polls_unanswered(index),
            3 => (0..routers).for_each(|index| fleet.leave_polls_unanswered(index)),
            4 => fleet.restart(index),
            5 => {
                let cut = fleet.routers[index].cut;
                fleet.set_cut(index, !cut);
            }
            6 => fleet.set_store(StoreMode::Silent),
            7 => fleet.set_store(StoreMode::Available),
            8 => fleet.publish(),
            9 => fleet.put_server("server-1", servers::VmState::Leaving),
            10 => fleet.put_server("server-1", servers::VmState::Live),
            _ => change(&mut fleet),
        }
        fleet.run_ms(rng.random_range(20..2_500));
    }
}

macro_rules! random_schedules {
    ($($name:ident: $routers:expr, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            $seeds.for_each(|seed| random_schedule($routers, seed));
        }
    )*};
}

random_schedules! {
    unanswered_polls_of_one_router_at_random: 1, 0..30;
    unanswered_polls_of_six_routers_at_random: 6, 100..130;
    unanswered_polls_of_thirty_routers_at_random: 30, 200..215;
}
