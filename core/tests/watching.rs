//! Guards against routers that apply updates of the store too late, and against fleets that poll the store too often.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{ids, servers, store, watch};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use watch_fleet::{BOUNDS, Fleet, StoreMode, up_to_date_fleet};

/// Bounds that are shorter than those of most tests.
const TIGHT: watch::Bounds = watch::Bounds { configuration_ms: 2_000, servers_ms: 2_000 };

fn calls_in(fleet: &mut Fleet, time_ms: u64) -> u64 {
    let before = fleet.calls;
    fleet.run_ms(time_ms);
    fleet.calls - before
}

/// Makes a change in both topics.
fn change(fleet: &mut Fleet) {
    fleet.publish();
    fleet.put_server("server-0", servers::VmState::Leaving);
}

#[test]
fn in_a_small_fleet_every_router_polls_the_store() {
    let fleet = up_to_date_fleet(8, TIGHT, 1);
    let roles = fleet.routers.iter().map(|router| router.node.watch_role());
    assert!(roles.into_iter().all(|role| role == Some(watch::Role::EveryRouter)));
}

#[test]
fn in_a_larger_fleet_two_routers_of_different_failure_domains_poll_the_store() {
    for seed in 0..5 {
        let fleet = up_to_date_fleet(40, BOUNDS, seed);
        let watchers = fleet.watchers();
        assert_eq!(watchers.len(), 2, "not two watchers: {watchers:?}");
        // The failure domain of a router is its index modulo 4.
        assert_ne!(
            watchers[0] % 4,
            watchers[1] % 4,
            "both watchers are in one failure domain: {watchers:?}"
        );
    }
}

macro_rules! polls_do_not_increase_with_the_fleet {
    ($($name:ident: $routers:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = up_to_date_fleet($routers, BOUNDS, 3);
            let calls = calls_in(&mut fleet, 20_000);
            // Two watchers poll two topics once a second, with a few additional polls.
            assert!((60..=110).contains(&calls), "{calls} calls in 20 s");
        }
    )*};
}

polls_do_not_increase_with_the_fleet! {
    polls_of_an_undisturbed_fleet_of_23_routers: 23;
    polls_of_an_undisturbed_fleet_of_86_routers: 86;
    polls_of_an_undisturbed_fleet_of_295_routers: 295;
}

#[test]
fn updates_reach_all_routers_in_time_although_datagrams_are_lost() {
    let mut fleet = up_to_date_fleet(86, BOUNDS, 4);
    fleet.loss_percent = 30;
    for _ in 0..10 {
        change(&mut fleet);
        fleet.run_ms(500);
        let current =
            fleet.routers.iter().filter(|router| fleet.is_up_to_date(&router.node)).count();
        assert!(current * 100 >= 86 * 90, "{current} of 86 routers are up to date after 500 ms");
        // This is before their copies count as stale, so that they don't poll the store.
        fleet.run_until("all routers are up to date", 1_500, Fleet::all_up_to_date);
        fleet.run_ms(500);
    }
}

macro_rules! watchers_fail {
    ($($name:ident: $routers:expr, $bounds:expr, $fail:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..4 {
                let mut fleet = up_to_date_fleet($routers, $bounds, seed);
                let watchers = fleet.watchers();
                assert!(!watchers.is_empty());
                for index in watchers {
                    let fail: fn(&mut Fleet, usize) = $fail;
                    fail(&mut fleet, index);
                }
                let before = fleet.calls;
                change(&mut fleet);
                // The fleet asserts the staleness bounds in every step.
                fleet.run_ms(10_000);
                let calls = fleet.calls - before;
                assert!(calls < 20 * 10, "{calls} calls in 10 s");
            }
        }
    )*};
}

watchers_fail! {
    both_watchers_are_killed: 40, BOUNDS, |fleet, index| fleet.kill(index);
    both_watchers_freeze: 40, BOUNDS, |fleet, index| fleet.set_frozen(index, true);
    both_watchers_are_cut_from_the_store: 40, BOUNDS, |fleet, index| fleet.set_cut(index, true);
    both_watchers_are_rejected_by_the_store: 40, BOUNDS, |fleet, index| fleet.set_rejected_by_store(index, true);
    both_watchers_are_cut_with_a_tight_bound: 40, TIGHT, |fleet, index| fleet.set_cut(index, true);
    both_watchers_are_killed_in_a_fleet_of_295: 295, BOUNDS, |fleet, index| fleet.kill(index);
}

#[test]
fn polls_decrease_again_after_the_watchers_reach_the_store() {
    let mut fleet = up_to_date_fleet(40, BOUNDS, 5);
    for index in fleet.watchers() {
        fleet.set_cut(index, true);
    }
    fleet.run_ms(8_000);
    for index in 0..40 {
        fleet.set_cut(index, false);
    }
    fleet.run_ms(2_000);
    let calls = calls_in(&mut fleet, 10_000);
    assert!(calls <= 60, "{calls} calls in 10 s");
}

#[test]
fn an_outage_of_the_store_causes_a_bounded_number_of_polls() {
    for store in [StoreMode::Rejecting, StoreMode::Silent] {
        let mut fleet = up_to_date_fleet(86, BOUNDS, 6);
        fleet.set_store(store);
        let calls = calls_in(&mut fleet, 10_000);
        // Each topic may be polled 12 times a second, in addition to the polls of the watchers.
        assert!(calls <= 10 * (2 * 12 + 10), "{calls} calls in 10 s of {store:?}");
        change(&mut fleet);
        fleet.set_store(StoreMode::Available);
        let took_ms = fleet.run_until(
            "all routers are up to date after the outage",
            4_000,
            Fleet::all_up_to_date,
        );
        assert!(
            took_ms <= 2_500,
            "routers are up to date only {took_ms} ms after the store was {store:?}"
        );
    }
}

#[test]
fn a_fleet_whose_routers_all_start_at_once_makes_few_calls_of_the_store() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(86, 3, BOUNDS, seed);
        let took_ms = fleet.run_until("all routers are up to date", 10_000, Fleet::all_up_to_date);
        assert!(took_ms <= 3_000, "routers are up to date only after {took_ms} ms");
        assert!(fleet.calls <= 40, "the start made {} calls of the store", fleet.calls);
    }
}

#[test]
fn routers_without_seeds_discover_each_other_through_the_store() {
    let mut fleet = Fleet::new(30, 0, BOUNDS, 7);
    fleet.run_ms(20_000);
    assert!(fleet.all_up_to_date());
    let live = fleet.routers.iter().map(|router| router.node.members().live_count());
    assert!(live.into_iter().all(|live| live == 30));
    assert_eq!(fleet.watchers().len(), 2);
}

#[test]
fn a_router_starts_with_the_state_of_its_peers_while_the_store_is_unavailable() {
    let mut fleet = up_to_date_fleet(20, BOUNDS, 8);
    fleet.set_store(StoreMode::Rejecting);
    fleet.run_ms(3_000);
    fleet.restart(17);
    fleet.run_until("the router is up to date", 1_000, |fleet| {
        fleet.is_up_to_date(&fleet.routers[17].node)
    });
}

#[test]
fn both_sides_of_a_network_partition_follow_the_store_and_merge_afterwards() {
    let mut fleet = up_to_date_fleet(40, BOUNDS, 9);
    for index in 0..40 {
        fleet.routers[index].partition = (index % 2) as u64;
    }
    for _ in 0..8 {
        change(&mut fleet);
        fleet.run_ms(2_500);
    }
    for router in &mut fleet.routers {
        router.partition = 0;
    }
    fleet.run_ms(60_000);
    assert_eq!(fleet.watchers().len(), 2);
}

#[test]
fn a_router_that_is_isolated_from_its_peers_polls_the_store() {
    let mut fleet = up_to_date_fleet(40, BOUNDS, 10);
    let isolated = (0..40).find(|index| !fleet.watchers().contains(index)).unwrap();
    fleet.routers[isolated].partition = 1;
    for _ in 0..6 {
        change(&mut fleet);
        fleet.run_ms(3_000);
    }
    assert!(fleet.is_up_to_date(&fleet.routers[isolated].node));
}

/// Bounds of a deployment. Guards against a router that exceeds them when it starts among peers without a connection to
/// the store.
const SHORT: watch::Bounds = watch::Bounds { configuration_ms: 3_000, servers_ms: 3_000 };

#[test]
fn a_router_that_starts_among_peers_without_the_store_is_up_to_date_in_time() {
    for seed in 0..20 {
        let mut fleet = up_to_date_fleet(17, SHORT, seed);
        for index in 0..3 {
            fleet.routers[index].partition = 1;
            fleet.set_cut(index, index > 0);
        }
        fleet.kill(0);
        fleet.run_ms(500);
        fleet.restart(0);
        // The fleet asserts the staleness bounds in every step.
        for _ in 0..4 {
            fleet.run_ms(1_000);
            change(&mut fleet);
        }
        fleet.run_ms(3_000);
    }
}

macro_rules! one_router_reaches_the_store {
    ($($name:ident: $routers:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..3 {
                let mut fleet = up_to_date_fleet($routers, SHORT, seed);
                for index in 1..$routers {
                    fleet.set_cut(index, true);
                }
                for _ in 0..4 {
                    change(&mut fleet);
                    // The fleet asserts the staleness bounds in every step.
                    fleet.run_ms(4_000);
                }
            }
        }
    )*};
}

one_router_reaches_the_store! {
    the_only_router_of_23_that_reaches_the_store_is_up_to_date_in_time: 23;
    the_only_router_of_86_that_reaches_the_store_is_up_to_date_in_time: 86;
    the_only_router_of_295_that_reaches_the_store_is_up_to_date_in_time: 295;
}

#[test]
fn an_equally_stale_peer_does_not_delay_a_poll() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (router, topic) = (ids::Incarnation(1), watch::Topic::Configuration);
        let mut watch = watch::Subscription::new(router, topic, SHORT.configuration_ms);
        watch.confirm(store::Position::new(0, 5), 0, None);
        let fleet = watch::Fleet { routers: 17, rank: 3, alone: false };
        let due = (0..3_500).step_by(20).find(|now_ms| {
            // The delay of its messages makes the reported state look slightly newer each time.
            if now_ms % 100 == 0 {
                watch.confirm(store::Position::new(0, 5), now_ms / 50, None);
            }
            watch.due_poll(watch::Role::Listener, fleet, *now_ms, &mut rng).is_some()
        });
        // The copy is stale after 1,500 ms, and 17 routers make 12 polls a second.
        assert!(
            due.is_some_and(|now_ms| now_ms <= 3_020),
            "seed {seed}: the poll was due at {due:?}"
        );
    }
}

#[test]
fn few_routers_read_the_store_again_after_its_history_was_discarded() {
    let mut fleet = up_to_date_fleet(60, BOUNDS, 11);
    let before = fleet.calls;
    for _ in 0..5 {
        fleet.write_unwatched_key();
        fleet.put_server("server-9", servers::VmState::Live);
        fleet.remove_server("server-1");
        fleet.discard_history();
        fleet.run_ms(2_000);
        assert!(fleet.all_up_to_date());
        fleet.put_server("server-1", servers::VmState::Live);
        fleet.run_ms(1_000);
    }
    let calls = fleet.calls - before;
    assert!(calls <= 15 * 8, "{calls} calls in 15 s");
}

#[test]
fn an_older_answer_of_the_store_does_not_undo_updates_from_peers() {
    let mut fleet = up_to_date_fleet(40, BOUNDS, 12);
    fleet.answer_delay_max_ms = 900;
    fleet.run_ms(2_000);
    // Records change faster than answers arrive, and answers arrive in any order.
    for step in 0..40 {
        fleet.put_server("server-1", servers::VmState::Live);
        fleet.run_ms(100);
        match step % 3 {
            0 => fleet.remove_server("server-2"),
            1 => fleet.put_server("server-2", servers::VmState::Leaving),
            _ => fleet.discard_history(),
        }
        fleet.publish();
        fleet.run_ms(400);
    }
    fleet.run_ms(5_000);
    assert!(fleet.all_up_to_date());
}

/// Runs a random schedule of overlapping faults and changes.
fn random_schedule(routers: usize, bounds: watch::Bounds, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(routers, 3, bounds, seed);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5eed);
    fleet.loss_percent = rng.random_range(0..20);
    fleet.answer_delay_max_ms = rng.random_range(20..300);
    fleet.run_ms(5_000);
    for _ in 0..60 {
        let index = rng.random_range(0..routers);
        let name = format!("server-{}", rng.random_range(0..12));
        match rng.random_range(0..16) {
            0 => fleet.restart(index),
            1 => fleet.kill(index),
            2 => {
                let frozen = fleet.routers[index].frozen;
                fleet.set_frozen(index, !frozen);
            }
            3 => {
                let cut = fleet.routers[index].cut;
                fleet.set_cut(index, !cut);
            }
            4 => {
                let rejected_by_store = fleet.routers[index].rejected_by_store;
                fleet.set_rejected_by_store(index, !rejected_by_store);
            }
            5 => fleet.routers[index].partition = rng.random_range(0..3),
            6 => fleet.set_store(StoreMode::Rejecting),
            7 => fleet.set_store(StoreMode::Silent),
            8 | 9 => fleet.set_store(StoreMode::Available),
            10 => fleet.publish(),
            11 => fleet.put_server(&name, servers::VmState::Leaving),
            12 => fleet.put_server(&name, servers::VmState::Live),
            13 => fleet.remove_server(&name),
            14 => fleet.discard_history(),
            _ => fleet.write_unwatched_key(),
        }
        // Some killed routers stay down for several steps, as restarts at once would hide the effects of a lost router.
        if !fleet.routers[index].alive && rng.random_range(0..2) == 0 {
            fleet.restart(index);
        }
        fleet.run_ms(rng.random_range(20..2_500));
    }
    fleet
}

macro_rules! random_schedules {
    ($($name:ident: $routers:expr, $bounds:expr, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                random_schedule($routers, $bounds, seed);
            }
        }
    )*};
}

random_schedules! {
    random_schedules_of_a_small_fleet: 6, TIGHT, 0..40;
    random_schedules_of_a_larger_fleet: 24, BOUNDS, 100..130;
    random_schedules_of_a_larger_fleet_with_a_tight_bound: 24, TIGHT, 200..220;
}

/// Each hop takes 20 ms, of which the age in a datagram says nothing.
#[test]
fn a_confirmation_that_circulates_does_not_get_younger() {
    let mut clocks = watch::PeerClocks::default();
    let confirmation = watch::Confirmation { router: ids::Incarnation(1), at_ms: 5_000 };
    assert_eq!(clocks.local_ms(confirmation, 700), 700);
    for hop in 1..50 {
        assert_eq!(clocks.local_ms(confirmation, 700 + hop * 20), 700);
    }
    // A shorter way shows that it happened earlier.
    assert_eq!(clocks.local_ms(confirmation, 690), 690);
    let earlier = watch::Confirmation { at_ms: 4_900, ..confirmation };
    assert_eq!(clocks.local_ms(earlier, 900), 590);
    let later = watch::Confirmation { at_ms: 5_500, ..confirmation };
    assert_eq!(clocks.local_ms(later, 1_250), 1_250);
}
