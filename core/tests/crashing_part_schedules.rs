//! Requests with a prompt part that crashes each server, no two alike, sent to fleets of routers that are partitioned,
//! frozen, killed and restarted. The tests guard against two failures: such requests still reach servers after five of
//! them have crashed, and parts of other requests are quarantined, among them a part that all requests share.

#![allow(clippy::unwrap_used, missing_docs)]

mod crash_fleet;
mod watch_fleet;

use crash_fleet::{DEPLOYED_BOUNDS, Kind, SERVERS, Scenario};
use doorswitch_core::{ids, node, watch};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use watch_fleet::{BOUNDS, FAULT_RECOVERY_MS, Fleet};

/// The number of crashes from which the bound for sends counts.
const COUNTED_CRASHES: usize = 5;
/// A part that all requests share.
const SHARED: u8 = 0;

fn part(number: u8) -> ids::Fingerprint {
    ids::Fingerprint::of_part(u64::from(number), [number; 12])
}

/// Requests, no two alike, with the shared part and others.
fn kind(crashing: bool, parts: &[u8], every_ms: u64, runs_ms: u64) -> Kind {
    let parts = [SHARED].iter().chain(parts).map(|number| part(*number)).collect();
    let next_ms = if crashing { 8_000 } else { 5_000 };
    Kind { request: None, parts, crashing, every_ms, runs_ms, next_ms }
}

fn scenario(routers: usize, bounds: watch::Bounds, crashing_kinds: u8, seed: u64) -> Scenario {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x9a27);
    let mut fleet = Fleet::new(routers, 3, bounds, seed);
    fleet.loss_percent = rng.random_range(0..20);
    fleet.answer_delay_max_ms = rng.random_range(20..300);
    let mut kinds = Vec::new();
    for number in 0..crashing_kinds {
        let (every_ms, runs_ms) = (rng.random_range(50..500), rng.random_range(40..150));
        kinds.push(kind(true, &[100 + number, 200], every_ms, runs_ms));
    }
    for (number, runs_ms) in [(1, 20), (2, 100), (3, 300), (4, 600)] {
        kinds.push(kind(false, &[number, 200], 40, runs_ms));
    }
    // Parts that few requests have, so that a successful run rarely comes between two crashes.
    for number in 5..9 {
        let (every_ms, runs_ms) = (rng.random_range(800..4_000), rng.random_range(100..800));
        kinds.push(kind(false, &[number, 201], every_ms, runs_ms));
    }
    Scenario::with_kinds(fleet, kinds, rng)
}

/// Injects faults at random times; `each` runs after each of them.
fn run_with_faults(scenario: &mut Scenario, mut each: impl FnMut(&mut Scenario)) {
    scenario.run_ms(8_000);
    for _ in 0..30 {
        scenario.inject_fault();
        let pause_ms = scenario.rng.random_range(20..1_500);
        scenario.run_ms(pause_ms);
        each(scenario);
    }
    scenario.end_faults();
    scenario.run_ms(10_000);
}

fn schedule(routers: usize, bounds: watch::Bounds, crashing_kinds: u8, seed: u64) {
    let mut scenario = scenario(routers, bounds, crashing_kinds, seed);
    run_with_faults(&mut scenario, |_| {});
    scenario.check_late_sends(COUNTED_CRASHES, seed);
    let now_ms = scenario.fleet.now_ms;
    for (index, router) in scenario.fleet.routers.iter().enumerate() {
        for kind in scenario.kinds.iter().filter(|kind| kind.crashing) {
            let refusal = router.node.quarantine_refusal(kind.subjects(), now_ms);
            let quarantined =
                refusal.is_some_and(|(reason, _)| reason == node::Reason::PartQuarantined);
            assert!(quarantined, "seed {seed}: router {index} does not quarantine a part");
        }
    }
}

/// Crashes all servers within a second, or each with the given probability.
fn crash_some(scenario: &mut Scenario) {
    let all = scenario.rng.random_bool(0.3);
    for server in 0..SERVERS {
        if all || scenario.rng.random_bool(0.2) {
            scenario.crash_if_up(server);
        }
        if scenario.rng.random_bool(0.3) {
            let pause_ms = scenario.rng.random_range(1..100);
            scenario.run_ms(pause_ms);
        }
    }
}

macro_rules! schedules {
    ($($name:ident: $routers:expr, $bounds:expr, $crashing_kinds:expr, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                schedule($routers, $bounds, $crashing_kinds, seed);
            }
        }
    )*};
}

schedules! {
    one_crashing_part_in_a_small_fleet: 7, DEPLOYED_BOUNDS, 1, 0..40;
    three_crashing_parts_in_a_small_fleet: 7, DEPLOYED_BOUNDS, 3, 100..130;
    crashing_parts_in_a_larger_fleet: 24, BOUNDS, 2, 200..215;
}

#[test]
fn a_quarantine_of_a_part_survives_a_restart_of_all_routers() {
    for seed in 300..310 {
        let mut scenario = scenario(7, DEPLOYED_BOUNDS, 1, seed);
        scenario.run_ms(20_000);
        let crashes = scenario.crashes_ms[0].len();
        scenario.restart_all();
        scenario.run_ms(15_000);
        scenario.check_late_sends(COUNTED_CRASHES, seed);
        // Some are sent before a restarted router has read the quarantine record from the store.
        let later = scenario.crashes_ms[0].len() - crashes;
        assert!(later < 3, "seed {seed}: {later} crashes after the restart");
    }
}

/// The routers restart after the second crash, before the quarantine.
#[test]
fn crashes_under_a_part_survive_a_restart_of_all_routers() {
    const CRASHES: usize = 2;
    for seed in 400..440 {
        let mut scenario = scenario(7, DEPLOYED_BOUNDS, 1, seed);
        let bad = part(100);
        let counted = |scenario: &Scenario, router: usize| {
            scenario.fleet.routers[router].node.quarantine().crashes(&bad)
        };
        while (0..7).all(|router| counted(&scenario, router) < CRASHES) {
            scenario.run_ms(20);
        }
        scenario.kinds[0].next_ms = u64::MAX;
        scenario.run_ms(FAULT_RECOVERY_MS);
        scenario.restart_all();
        scenario.run_ms(FAULT_RECOVERY_MS);
        for router in 0..7 {
            let crashes = counted(&scenario, router);
            assert!(crashes >= CRASHES, "seed {seed}: router {router} counts {crashes} crashes");
        }
    }
}

#[test]
fn no_part_is_quarantined_when_servers_crash_for_other_reasons() {
    (600..640).for_each(crashes_for_other_reasons);
}

/// The fleet asserts the staleness bounds in every step.
#[test]
fn gossip_does_not_keep_an_old_configuration_young() {
    crashes_for_other_reasons(10_143);
}

fn crashes_for_other_reasons(seed: u64) {
    let mut scenario = scenario(7, DEPLOYED_BOUNDS, 0, seed);
    scenario.crash_interval_ms = 10_000;
    run_with_faults(&mut scenario, |scenario| {
        if scenario.rng.random_bool(0.2) {
            crash_some(scenario);
        }
    });
}
