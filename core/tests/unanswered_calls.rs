//! Calls for news that the store takes and never answers, while it answers all others.
//!
//! Routers refused new keys and kept to old routes for up to 11 s after a silent outage. A call for the
//! configuration had been made in the last second of the outage (`event=watch_failed prefix=op/ wait_ms=10000
//! after_ms=11001` at 14.5 s and again at 25.5 s; the store was silent from 11.9 s to 15.4 s, the change was
//! acknowledged at 16.1 s). The connection lived and acknowledged; only that answer never came. So not the
//! connections, nor the routers' view of each other: only the end of the call could show it.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{servers, watch};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use watch_fleet::{Fleet, Store, settled};

const BOUNDS: watch::Bounds = watch::Bounds { configuration_ms: 2_000, servers_ms: 2_000 };

fn change(fleet: &mut Fleet) {
    fleet.publish();
    fleet.put_server("server-0", servers::VmState::Leaving);
}

/// The store is silent for so long at each moment of the longest call.
fn silent_at_each_moment(routers: usize, outage_ms: u64) {
    for at_ms in (0..11_000).step_by(700) {
        let mut fleet = settled(routers, BOUNDS, 1);
        fleet.run_ms(at_ms);
        fleet.set_store(Store::Silent);
        fleet.run_ms(outage_ms);
        fleet.set_store(Store::Well);
        fleet.run_ms(300);
        // The fleet holds every router in touch to its bound.
        change(&mut fleet);
        fleet.run_ms(5_000);
        change(&mut fleet);
        fleet.run_ms(6_000);
    }
}

/// Of all routers, the calls in flight stay unanswered, at each moment of the longest call.
fn unanswered_at_each_moment(routers: usize) {
    for at_ms in (0..11_000).step_by(700) {
        let mut fleet = settled(routers, BOUNDS, 2);
        fleet.run_ms(at_ms);
        for place in 0..routers {
            fleet.leave_calls_unanswered(place);
        }
        for _ in 0..4 {
            fleet.run_ms(800);
            change(&mut fleet);
        }
        fleet.run_ms(5_000);
    }
}

macro_rules! at_each_moment {
    ($($name:ident: $trouble:expr;)*) => {$(
        #[test]
        fn $name() {
            $trouble;
        }
    )*};
}

at_each_moment! {
    unanswered_calls_of_one_router_after_a_silent_outage: silent_at_each_moment(1, 3_500);
    unanswered_calls_of_two_routers_after_a_silent_outage: silent_at_each_moment(2, 3_500);
    unanswered_calls_of_seven_routers_after_a_silent_outage: silent_at_each_moment(7, 3_500);
    unanswered_calls_of_seven_routers_after_a_short_silence: silent_at_each_moment(7, 300);
    unanswered_calls_of_twelve_routers_after_a_silent_outage: silent_at_each_moment(12, 3_500);
    unanswered_calls_of_forty_routers_after_a_silent_outage: silent_at_each_moment(40, 3_500);
    unanswered_calls_of_one_router: unanswered_at_each_moment(1);
    unanswered_calls_of_seven_routers: unanswered_at_each_moment(7);
    unanswered_calls_of_forty_routers: unanswered_at_each_moment(40);
}

/// A router that was cut off from its peers made a call that waits for long, as in a small fleet. Its peers are back, and
/// the call is never answered; then they are gone again.
#[test]
fn an_unanswered_call_of_a_small_fleet_holds_up_no_listener() {
    let mut fleet = settled(24, BOUNDS, 3);
    let place = 13;
    fleet.routers[place].group = 1;
    fleet.trouble(place);
    fleet.run_until("it watches alone", 120_000, |fleet| {
        let calls = fleet.routers[place].node.open_polls(watch::Topic::Servers, fleet.now_ms);
        calls.iter().any(|call| call.wait_ms > 20_000)
    });
    fleet.leave_calls_unanswered(place);
    fleet.routers[place].group = 0;
    fleet.run_until("it listens again", 10_000, |fleet| {
        fleet.routers[place].node.watch_role() == Some(watch::Role::Listener)
    });
    fleet.routers[place].group = 1;
    fleet.trouble(place);
    change(&mut fleet);
    // The fleet holds it to its bound.
    fleet.run_ms(8_000);
}

/// Calls that stay unanswered at any moment, beside outages, cuts, restarts and changes.
fn random_schedule(routers: usize, seed: u64) {
    let mut fleet = Fleet::new(routers, 3, BOUNDS, seed);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    fleet.loss_percent = rng.random_range(0..10);
    fleet.answer_ms = rng.random_range(20..150);
    fleet.run_ms(5_000);
    for _ in 0..60 {
        let place = rng.random_range(0..routers);
        match rng.random_range(0..12) {
            0..3 => fleet.leave_calls_unanswered(place),
            3 => (0..routers).for_each(|place| fleet.leave_calls_unanswered(place)),
            4 => fleet.restart(place),
            5 => {
                let cut = fleet.routers[place].cut;
                fleet.set_cut(place, !cut);
            }
            6 => fleet.set_store(Store::Silent),
            7 => fleet.set_store(Store::Well),
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
    unanswered_calls_of_one_router_at_random: 1, 0..30;
    unanswered_calls_of_six_routers_at_random: 6, 100..130;
    unanswered_calls_of_thirty_routers_at_random: 30, 200..215;
}
