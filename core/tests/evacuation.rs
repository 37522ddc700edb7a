//! Evacuated failure domains: who hears of them, and what their servers get.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{evacuation, store, watch};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use watch_fleet::{Fleet, Store, settled};

const BOUNDS: watch::Bounds = watch::Bounds { configuration_ms: 2_000, servers_ms: 2_000 };
/// The failure domain of the fleet's servers.
const DOMAIN: &str = "a";

fn at(revision: u64) -> store::Position {
    store::Position::new(0, revision)
}

fn change(revision: u64, evacuated: bool) -> evacuation::Change {
    evacuation::Change { position: at(revision), domain: DOMAIN.to_owned(), evacuated }
}

fn evacuates_and_takes_back(routers: usize) {
    let mut fleet = settled(routers, BOUNDS, 1);
    for evacuated in [true, false, true] {
        fleet.evacuate(DOMAIN, evacuated);
        fleet.run_until("all know", 2_000, Fleet::all_know_latest);
        fleet.run_ms(3_000);
    }
}

macro_rules! each_hears {
    ($($name:ident: $routers:expr;)*) => {$(
        #[test]
        fn $name() {
            evacuates_and_takes_back($routers);
        }
    )*};
}

each_hears! {
    one_router_hears_of_an_evacuation: 1;
    seven_routers_hear_of_an_evacuation: 7;
    forty_routers_hear_of_an_evacuation: 40;
}

#[test]
fn a_router_that_starts_learns_of_an_evacuation_before_it_is_ready() {
    for store in [Store::Well, Store::Refuses] {
        let mut fleet = settled(7, BOUNDS, 2);
        fleet.evacuate(DOMAIN, true);
        fleet.run_until("all know", 2_000, Fleet::all_know_latest);
        fleet.set_store(store);
        fleet.restart(3);
        let ready = |fleet: &Fleet| fleet.routers[3].node.config_version() > 0;
        fleet.run_until("it is ready", 5_000, ready);
        assert!(fleet.routers[3].node.evacuated().contains(DOMAIN), "{store:?}");
    }
}

#[test]
fn an_evacuation_whose_call_stays_unanswered_is_heard_in_time() {
    for at_ms in (0..10_000).step_by(900) {
        let mut fleet = settled(7, BOUNDS, 3);
        fleet.run_ms(at_ms);
        (0..7).for_each(|place| fleet.leave_calls_unanswered(place));
        fleet.evacuate(DOMAIN, true);
        // The fleet holds every router in touch to its bound.
        fleet.run_ms(6_000);
        assert!(fleet.all_know_latest());
    }
}

#[test]
fn older_answers_change_nothing() {
    let mut known = evacuation::Evacuations::default();
    known.apply(at(10), evacuation::Update::Changes(vec![change(10, true)]));
    known.apply(at(9), evacuation::Update::Changes(vec![change(8, false)]));
    known.apply(at(7), evacuation::Update::All(Default::default()));
    known.replace_if_newer(&evacuation::Evacuations {
        position: at(9),
        domains: Default::default(),
    });
    assert!(known.domains.contains(DOMAIN));
    assert_eq!(known.position, at(10));
    known.apply(at(12), evacuation::Update::Changes(vec![change(11, false)]));
    assert!(known.domains.is_empty());
}

#[test]
fn the_same_evacuation_twice_is_one() {
    let mut known = evacuation::Evacuations::default();
    known.apply(at(11), evacuation::Update::Changes(vec![change(10, true), change(11, true)]));
    known.apply(at(12), evacuation::Update::Changes(vec![change(12, false)]));
    assert!(known.domains.is_empty());
}

/// Evacuations beside outages, unanswered calls, restarts, cuts and lost history.
fn random_schedule(routers: usize, seed: u64) {
    let mut fleet = Fleet::new(routers, 3, BOUNDS, seed);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    fleet.loss_percent = rng.random_range(0..10);
    fleet.answer_ms = rng.random_range(20..150);
    fleet.run_ms(5_000);
    for _ in 0..60 {
        let place = rng.random_range(0..routers);
        let domain = ["a", "b", "unknown"][rng.random_range(0..3)];
        match rng.random_range(0..12) {
            0..2 => fleet.evacuate(domain, true),
            2..4 => fleet.evacuate(domain, false),
            4 => fleet.leave_calls_unanswered(place),
            5 => fleet.restart(place),
            6 => {
                let cut = fleet.routers[place].cut;
                fleet.set_cut(place, !cut);
            }
            7 => fleet.set_store(Store::Silent),
            8 => fleet.set_store(Store::Refuses),
            9 => fleet.set_store(Store::Well),
            10 => fleet.publish(),
            _ => fleet.forget_history(),
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
    evacuations_at_random_with_six_routers: 6, 0..40;
    evacuations_at_random_with_thirty_routers: 30, 100..115;
}
