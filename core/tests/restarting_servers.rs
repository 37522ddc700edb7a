//! Guards against routers that disagree about the servers after these have restarted under the same names and their
//! records were corrupted, while the routers follow the store.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{servers, watch};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use watch_fleet::{BOUNDS, Fleet, StoreMode};

/// The staleness bounds of existing deployments.
const DEPLOYED_BOUNDS: watch::Bounds = watch::Bounds { configuration_ms: 2_000, servers_ms: 2_000 };

/// A random schedule in which servers restart under the same names, leave, and lose or corrupt their records, while
/// updates arrive late and in any order. All routers must agree in the end.
fn restarts_and_corrupt_records(routers: usize, bounds: watch::Bounds, seed: u64) {
    let mut fleet = Fleet::new(routers, 3, bounds, seed);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x11fe);
    fleet.loss_percent = rng.random_range(0..20);
    fleet.answer_delay_max_ms = rng.random_range(20..900);
    fleet.run_ms(5_000);
    for _ in 0..60 {
        let index = rng.random_range(0..routers);
        let name = format!("server-{}", rng.random_range(0..6));
        match rng.random_range(0..14) {
            0 => fleet.restart(index),
            1 => fleet.set_store(StoreMode::Rejecting),
            2 => fleet.set_store(StoreMode::Silent),
            3 | 4 => fleet.set_store(StoreMode::Available),
            5 => fleet.set_rejected_by_store(index, true),
            6 => fleet.set_rejected_by_store(index, false),
            7 => fleet.put_server(&name, servers::VmState::Leaving),
            8 => fleet.remove_server(&name),
            9 => fleet.discard_history(),
            10 => fleet.corrupt_server_record(&name),
            11 => fleet.routers[index].partition = rng.random_range(0..2),
            _ => fleet.restart_server(&name, servers::VmState::Live),
        }
        fleet.run_ms(rng.random_range(20..1_500));
    }
    fleet.set_store(StoreMode::Available);
    for index in 0..routers {
        fleet.set_rejected_by_store(index, false);
        fleet.routers[index].partition = 0;
    }
    fleet.run_until("all routers agree", 20_000, Fleet::all_up_to_date);
}

macro_rules! restarts {
    ($($name:ident: $routers:expr, $bounds:expr, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                restarts_and_corrupt_records($routers, $bounds, seed);
            }
        }
    )*};
}

restarts! {
    a_small_fleet_agrees_after_server_restarts: 6, DEPLOYED_BOUNDS, 0..60;
    a_larger_fleet_agrees_after_server_restarts: 24, BOUNDS, 100..130;
}
