//! Guards against streams that are lost or billed twice if they end while regions and the platform are unreachable.

#![allow(clippy::unwrap_used, missing_docs)]

mod world;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use world::{End, Shape, World};

const ROUTERS: usize = 4;
const STREAMS: usize = 8;
const TOKENS: u64 = 63;
/// The maximum time from the end of the last network partition until each stream is billed.
const BILLED_WITHIN_MS: u64 = 40_000;

/// Additional faults during the partitions.
#[derive(Clone, Copy)]
struct Faults {
    replies: bool,
    messages: bool,
    pauses: bool,
}

const NONE: Faults = Faults { replies: false, messages: false, pauses: false };

/// Runs streams at all routers while the regions are partitioned and some routers can't reach the platform. The
/// partitions end in random order.
fn run(faults: Faults, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5e77);
    let mut world = World::new(Shape { routers: ROUTERS, ..Shape::default() }, seed);
    world.run_ms(3_000);
    world.serve_ms = rng.random_range(200..2_000);
    for stream in 0..STREAMS {
        world.admit(stream % ROUTERS, 0, stream as u64, 2 * TOKENS, TOKENS, false).unwrap();
        world.run_ms(rng.random_range(0..100));
    }
    if faults.replies {
        world.faults.lose_replies_percent = rng.random_range(0..30);
        world.faults.late_writes_percent = rng.random_range(0..20);
    }
    if faults.messages {
        world.faults.lose_messages_percent = rng.random_range(0..30);
        world.faults.repeat_messages_percent = rng.random_range(0..30);
    }
    world.run_ms(rng.random_range(0..1_500));
    world.faults.pairs_cut.extend([(0, 1), (0, 3), (1, 2), (2, 3)]);
    world.run_ms(rng.random_range(0..300));
    world.faults.store_cut.extend((0..ROUTERS).filter(|_| rng.random_bool(0.5)));
    let paused = rng.random_range(0..ROUTERS);
    if faults.pauses {
        world.pause(paused);
    }
    world.run_ms(rng.random_range(200..4_000));
    let regions_first = rng.random_bool(0.5);
    for regions in [regions_first, !regions_first] {
        match regions {
            true => world.faults.pairs_cut.clear(),
            false => world.faults.store_cut.clear(),
        }
        world.run_ms(rng.random_range(0..500));
    }
    world.resume(paused);
    world.run_ms(BILLED_WITHIN_MS);
    assert!(world.requests.iter().all(|stream| matches!(stream.end, Some(End::Closed { .. }))));
    let billed: u64 = world.log().totals().map(|(_, _, totals)| totals.billed_requests).sum();
    let tokens: u64 = world.log().totals().map(|(_, _, totals)| totals.billed_tokens).sum();
    assert_eq!((billed, tokens), (STREAMS as u64, STREAMS as u64 * TOKENS), "seed {seed}");
    world.check_billing();
}

macro_rules! schedules {
    ($($name:ident: $faults:expr;)*) => {$(
        #[test]
        fn $name() {
            (0..100).for_each(|seed| run($faults, seed));
        }
    )*};
}

schedules! {
    streams_that_end_during_partitions_are_billed_once: NONE;
    streams_that_end_during_partitions_beside_lost_replies_are_billed_once:
        Faults { replies: true, ..NONE };
    streams_that_end_during_partitions_beside_lost_messages_are_billed_once:
        Faults { messages: true, ..NONE };
    streams_that_end_during_partitions_beside_a_pause_are_billed_once: Faults { pauses: true, ..NONE };
    streams_that_end_during_partitions_beside_all_faults_are_billed_once:
        Faults { replies: true, messages: true, pauses: true };
}
