//! Guards against routers that learn of the evacuation of a failure domain, or of its end, too late or not at all.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{evacuation, store, watch};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use watch_fleet::{Fleet, StoreMode, up_to_date_fleet};

const BOUNDS: watch::Bounds = watch::Bounds { configuration_ms: 2_000, servers_ms: 2_000 };
/// The failure domain of the fleet's servers.
const DOMAIN: &str = "a";

fn position(revision: u64) -> store::Position {
    store::Position::new(0, revision)
}

fn change(revision: u64, evacuated: bool) -> evacuation::Change {
    evacuation::Change { position: position(revision), domain: DOMAIN.to_owned(), evacuated }
}

fn check_evacuation_and_end(routers: usize) {
    let mut fleet = up_to_date_fleet(routers, BOUNDS, 1);
    for evacuated in [true, false, true] {
        fleet.evacuate(DOMAIN, evacuated);
        fleet.run_until("all routers are up to date", 2_000, Fleet::all_up_to_date);
        fleet.run_ms(3_000);
    }
}

macro_rules! evacuations_reach_all {
    ($($name:ident: $routers:expr;)*) => {$(
        #[test]
        fn $name() {
            check_evacuation_and_end($routers);
        }
    )*};
}

evacuations_reach_all! {
    one_router_applies_an_evacuation_in_time: 1;
    seven_routers_apply_an_evacuation_in_time: 7;
    forty_routers_apply_an_evacuation_in_time: 40;
}

#[test]
fn a_starting_router_is_not_ready_before_it_has_received_the_evacuations() {
    for store in [StoreMode::Available, StoreMode::Rejecting] {
        let mut fleet = up_to_date_fleet(7, BOUNDS, 2);
        fleet.evacuate(DOMAIN, true);
        fleet.run_until("all routers are up to date", 2_000, Fleet::all_up_to_date);
        fleet.set_store(store);
        fleet.restart(3);
        let ready = |fleet: &Fleet| fleet.routers[3].node.config_version() > 0;
        fleet.run_until("the router is ready", 5_000, ready);
        assert!(
            fleet.routers[3].node.evacuated().contains(DOMAIN),
            "the router is ready without the evacuation, with a store that is {store:?}"
        );
    }
}

#[test]
fn an_evacuation_is_applied_in_time_although_open_polls_stay_unanswered() {
    for at_ms in (0..10_000).step_by(900) {
        let mut fleet = up_to_date_fleet(7, BOUNDS, 3);
        fleet.run_ms(at_ms);
        (0..7).for_each(|index| fleet.leave_polls_unanswered(index));
        fleet.evacuate(DOMAIN, true);
        // The fleet asserts the staleness bounds in every step.
        fleet.run_ms(6_000);
        assert!(fleet.all_up_to_date());
    }
}

#[test]
fn older_answers_do_not_undo_newer_evacuations() {
    let mut evacuations = evacuation::Evacuations::default();
    evacuations.apply(position(10), evacuation::Update::Changes(vec![change(10, true)]));
    evacuations.apply(position(9), evacuation::Update::Changes(vec![change(8, false)]));
    evacuations.apply(position(7), evacuation::Update::All(Default::default()));
    evacuations.replace_if_newer(&evacuation::Evacuations {
        position: position(9),
        domains: Default::default(),
    });
    assert!(evacuations.domains.contains(DOMAIN));
    assert_eq!(evacuations.position, position(10));
    evacuations.apply(position(12), evacuation::Update::Changes(vec![change(11, false)]));
    assert!(evacuations.domains.is_empty());
}

#[test]
fn a_repeated_evacuation_is_ended_by_one_change() {
    let mut evacuations = evacuation::Evacuations::default();
    evacuations
        .apply(position(11), evacuation::Update::Changes(vec![change(10, true), change(11, true)]));
    evacuations.apply(position(12), evacuation::Update::Changes(vec![change(12, false)]));
    assert!(evacuations.domains.is_empty());
}

/// Runs a random schedule of evacuations with outages, unanswered polls, restarts, routers without a connection to the
/// store, and discarded history.
fn random_schedule(routers: usize, seed: u64) {
    let mut fleet = Fleet::new(routers, 3, BOUNDS, seed);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    fleet.loss_percent = rng.random_range(0..10);
    fleet.answer_delay_max_ms = rng.random_range(20..150);
    fleet.run_ms(5_000);
    for _ in 0..60 {
        let router = rng.random_range(0..routers);
        let domain = ["a", "b", "unknown"][rng.random_range(0..3)];
        match rng.random_range(0..12) {
            0..2 => fleet.evacuate(domain, true),
            2..4 => fleet.evacuate(domain, false),
            4 => fleet.leave_polls_unanswered(router),
            5 => fleet.restart(router),
            6 => {
                let cut = fleet.routers[router].cut;
                fleet.set_cut(router, !cut);
            }
            7 => fleet.set_store(StoreMode::Silent),
            8 => fleet.set_store(StoreMode::Rejecting),
            9 => fleet.set_store(StoreMode::Available),
            10 => fleet.publish(),
            _ => fleet.discard_history(),
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
