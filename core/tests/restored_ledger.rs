//! Guards against prepaid tokens that are spent twice after the store was restored from a backup.

#![allow(clippy::unwrap_used, missing_docs)]

mod world;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use world::{Shape, World};

/// The faults that occur in addition to restores.
#[derive(Clone, Copy, Debug, Default)]
struct FaultKinds {
    /// Replies to writes are lost, and some writes are applied seconds later.
    writes: bool,
    /// Routers are paused for a while.
    pauses: bool,
    /// Routers cannot reach the store, or each other, for a while.
    cuts: bool,
    /// Routers are killed and restarted.
    kills: bool,
    /// All routers are killed during one of this many restores on average; 0 if they never are.
    kill_all_one_in: u32,
}

const NONE: FaultKinds =
    FaultKinds { writes: false, pauses: false, cuts: false, kills: false, kill_all_one_in: 0 };

const ALL: FaultKinds =
    FaultKinds { writes: true, pauses: true, cuts: true, kills: true, kill_all_one_in: 0 };

/// Runs a random schedule. The world asserts after every step that no more tokens are served than were paid.
fn run_schedule(shape: Shape, faults: FaultKinds, seed: u64) -> World {
    let routers = shape.routers;
    let mut world = World::new(shape, seed);
    let mut rng = StdRng::seed_from_u64(seed ^ 0xacc0);
    world.run_ms(3_000);
    if faults.writes {
        world.faults.lose_replies_percent = rng.random_range(0..20);
        world.faults.late_writes_percent = rng.random_range(0..20);
    }
    let mut backup = world.back_up_ledger();
    let mut backed_up_ms = world.now_ms;
    let mut key = 0;
    for _ in 0..150 {
        let router = rng.random_range(0..routers);
        match rng.random_range(0..20) {
            0 => {
                world.faults.store_unavailable = true;
                world.run_ms(rng.random_range(0..1_500));
                let kill_all =
                    faults.kill_all_one_in > 0 && rng.random_ratio(1, faults.kill_all_one_in);
                if kill_all {
                    (0..routers).for_each(|router| world.kill(router));
                }
                world.restore_ledger(&backup);
                world.faults.store_unavailable = false;
                if kill_all {
                    (0..routers).for_each(|router| world.restart(router, true));
                }
            }
            1 | 2 if world.now_ms > backed_up_ms + 500 => {
                backup = world.back_up_ledger();
                backed_up_ms = world.now_ms;
            }
            3 if faults.pauses => match rng.random_bool(0.5) {
                true => world.pause(router),
                false => world.resume(router),
            },
            4 if faults.cuts => {
                let cut = &mut world.faults.store_cut;
                if !cut.remove(&router) {
                    cut.insert(router);
                }
            }
            5 if faults.cuts && router + 1 < routers => {
                let pair = (router, router + 1);
                let cut = &mut world.faults.pairs_cut;
                if !cut.remove(&pair) {
                    cut.insert(pair);
                }
            }
            6 if faults.kills => match rng.random_bool(0.5) {
                true => world.kill(router),
                false => world.restart(router, true),
            },
            _ => {
                for _ in 0..rng.random_range(1..5) {
                    key += 1;
                    let budget = rng.random_range(0..2);
                    let bound = rng.random_range(50..400);
                    world.admit(router, budget, key, bound, bound * 3 / 4, false);
                }
            }
        }
        world.run_ms(rng.random_range(20..400));
    }
    world
}

macro_rules! schedules {
    ($($name:ident: $shape:expr, $faults:expr, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut served = 0;
            for seed in $seeds {
                let world = run_schedule($shape, $faults, seed);
                served += world.totals.iter().map(|totals| totals.served_tokens).sum::<u64>();
            }
            assert!(served > 0);
        }
    )*};
}

schedules! {
    restores_spend_no_token_twice: Shape::default(), NONE, 0..60;
    restores_spend_no_token_of_few_holders_twice: Shape::few_holders(), NONE, 0..60;
    restores_beside_lost_replies_spend_no_token_twice:
        Shape::default(), FaultKinds { writes: true, ..NONE }, 0..60;
    restores_beside_lost_replies_spend_no_token_of_few_holders_twice:
        Shape::few_holders(), FaultKinds { writes: true, ..NONE }, 0..60;
    restores_beside_pauses_spend_no_token_twice:
        Shape::default(), FaultKinds { pauses: true, ..NONE }, 0..60;
    restores_beside_pauses_spend_no_token_of_few_holders_twice:
        Shape::few_holders(), FaultKinds { pauses: true, ..NONE }, 0..60;
    restores_beside_cuts_spend_no_token_twice:
        Shape::default(), FaultKinds { cuts: true, ..NONE }, 0..60;
    restores_beside_cuts_spend_no_token_of_few_holders_twice:
        Shape::few_holders(), FaultKinds { cuts: true, ..NONE }, 0..60;
    restores_beside_kills_spend_no_token_twice:
        Shape::default(), FaultKinds { kills: true, ..NONE }, 0..60;
    restores_beside_kills_spend_no_token_of_few_holders_twice:
        Shape::few_holders(), FaultKinds { kills: true, ..NONE }, 0..60;
    restores_beside_all_faults_spend_no_token_twice: Shape::default(), ALL, 0..60;
    restores_beside_all_faults_spend_no_token_of_few_holders_twice:
        Shape::few_holders(), ALL, 0..60;
}

schedules! {
    restores_with_all_routers_killed_spend_no_token_twice:
        Shape::default(), FaultKinds { kill_all_one_in: 2, ..NONE }, 0..60;
    restores_with_all_routers_killed_spend_no_token_of_few_holders_twice:
        Shape::few_holders(), FaultKinds { kill_all_one_in: 2, ..NONE }, 0..60;
    restores_with_all_routers_killed_beside_all_faults_spend_no_token_twice:
        Shape::default(), FaultKinds { kill_all_one_in: 3, ..ALL }, 0..60;
    restores_with_all_routers_killed_beside_all_faults_spend_no_token_of_few_holders_twice:
        Shape::few_holders(), FaultKinds { kill_all_one_in: 3, ..ALL }, 0..60;
}

/// Prints for each class of schedules which of 600 other seeds fail, and the mean of served tokens of the others. The
/// variable `SEEDS` sets another number of seeds.
#[test]
#[ignore = "runs for minutes"]
fn more_seeds_of_each_class() {
    let with_kills = |faults: FaultKinds, kill_all_one_in| FaultKinds { kill_all_one_in, ..faults };
    let classes = [
        ("restores alone", NONE),
        ("lost replies", FaultKinds { writes: true, ..NONE }),
        ("pauses", FaultKinds { pauses: true, ..NONE }),
        ("cuts", FaultKinds { cuts: true, ..NONE }),
        ("kills", FaultKinds { kills: true, ..NONE }),
        ("all faults", ALL),
        ("all routers killed", with_kills(NONE, 2)),
        ("all routers killed beside all faults", with_kills(ALL, 3)),
    ];
    let seeds: u64 = std::env::var("SEEDS").map_or(600, |seeds| seeds.parse().unwrap());
    std::thread::scope(|scope| {
        let mut running = Vec::new();
        for (name, faults) in classes {
            for (shape_name, shape) in
                [("default", Shape::default()), ("few holders", Shape::few_holders())]
            {
                running.push(scope.spawn(move || {
                    let mut served = Vec::new();
                    let mut broken = Vec::new();
                    for seed in 10_000..10_000 + seeds {
                        let shape = shape.clone();
                        match std::panic::catch_unwind(|| run_schedule(shape, faults, seed)) {
                            Ok(world) => served.push(
                                world.totals.iter().map(|totals| totals.served_tokens).sum::<u64>(),
                            ),
                            Err(_) => broken.push(seed),
                        }
                    }
                    let mean = served.iter().sum::<u64>() / served.len().max(1) as u64;
                    format!("{name}, {shape_name}: broken {broken:?}, served {mean}")
                }));
            }
        }
        running.into_iter().for_each(|class| println!("{}", class.join().unwrap()));
    });
}
