//! What all routers together send again in the first seconds after all of them have started, while servers fail: each router
//! may have saved up retries before it knows with how many others it shares.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{ids, node};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use watch_fleet::{BOUNDS, Fleet, TICK_MS};

/// Of a hundred requests, so many may be sent again, beside the extra ones of a fleet.
const RATIO_PERCENT: usize = 20;

fn wanted(key: u64, now_ms: u64) -> node::AdmissionRequest {
    node::AdmissionRequest {
        key: ids::RequestKey { high: key, low: 1 },
        keyed: false,
        body_hash: 1,
        budget: String::new(),
        service: "service".to_owned(),
        classes: Vec::new(),
        priority: 1,
        bound_tokens: 0,
        unrepeatable: false,
        attempts_max: 2,
        prefix_hash: None,
        fingerprint: None,
        parts: Vec::new(),
        deadline_ms: now_ms + 3_000,
    }
}

/// Requests, and how many of them were sent again, in the first ten seconds after a start of all.
fn retries_after_a_start(routers: usize, per_s: u64, seed: u64) -> (usize, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::with_service(routers, 3, BOUNDS, seed);
    let (mut requests, mut retries, mut owed_milli) = (0, 0, 0);
    let mut sent = std::collections::HashSet::new();
    for _ in 0..10_000 / TICK_MS {
        fleet.step();
        let ready =
            |place: &usize| fleet.routers[*place].node.lifecycle() == node::Lifecycle::Ready;
        let ready: Vec<usize> = (0..routers).filter(ready).collect();
        owed_milli += if ready.is_empty() { 0 } else { per_s * TICK_MS };
        while owed_milli >= 1_000 {
            owed_milli -= 1_000;
            requests += 1;
            let place = ready[rng.random_range(0..ready.len())];
            let now_ms = fleet.now_ms;
            fleet.routers[place].node.admit(wanted(requests as u64, now_ms), now_ms);
            fleet.carry_out(place);
        }
        for (place, incarnation, slot, answer) in std::mem::take(&mut fleet.answers) {
            let again = !sent.insert((place, incarnation, slot));
            match answer {
                node::Answer::Dispatch { .. } if again => {
                    retries += 1;
                    let now_ms = fleet.now_ms;
                    let ending = node::RequestOutcome::Unknown;
                    fleet.routers[place].node.finish(slot, ending, now_ms);
                }
                node::Answer::Dispatch { .. } => {
                    let now_ms = fleet.now_ms;
                    fleet.routers[place].node.retry(slot, node::AttemptFailure::MayHaveRun, now_ms);
                }
                _ => {}
            }
            fleet.carry_out(place);
        }
    }
    (requests, retries)
}

macro_rules! a_start_of_all {
    ($($name:ident: $routers:literal routers, $per_s:literal a second, $extra:literal extra;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..5 {
                let (requests, retries) = retries_after_a_start($routers, $per_s, seed);
                let allowed = requests * RATIO_PERCENT / 100 + $extra;
                assert!(retries <= allowed, "seed {seed}: {retries} of {requests}, {allowed} allowed");
            }
        }
    )*};
}

a_start_of_all! {
    seven_routers_that_start_share_retries: 7 routers, 20 a second, 54 extra;
    many_routers_that_start_share_retries: 86 routers, 500 a second, 212 extra;
    a_large_fleet_that_starts_shares_retries: 295 routers, 800 a second, 630 extra;
}
