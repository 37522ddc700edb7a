//! Guards against routers that keep using an older configuration because a long poll of the store stays unanswered.
//!
//! A poll that a router sends while the store accepts requests and answers none is never answered. Its connection stays
//! open after the store has recovered. If nothing cancels the poll before its own timeout, requests are served until
//! then that only the older configuration allows, and an added route gets 404.
//!
//! With eight routers that are killed and restarted, the fault looks like this: store silent from 9.3 to 10.8 s;
//! changes acknowledged at 8.0, 11.0, 12.0, 13.0 and 14.0 s; `event=watch_failed prefix=op/ ... Timeout while waiting
//! for response` at 20.3 s at each router; 404 for the newest route until then (87 answers at one router, from 16.0 s
//! on, with a bound of 2 s). After the loss of all routers alone nothing is stale, so the cause is the poll and not
//! what routers read when they start.
//!
//! The seeds generate schedules of overlapping faults that can make the configuration stale in the same way.

#![allow(clippy::unwrap_used, missing_docs)]

mod soaks;

use doorswitch_soak::schedule;
use soaks::{ROUTERS, check_no_violations};

/// The time within which the faults of a seed begin.
const FAULTS_BEGIN_WITHIN_MS: u64 = 20_000;

macro_rules! named_schedules {
    ($($test:ident: $seed:literal, $name:literal;)*) => { $(
        #[test]
        fn $test() {
            let schedule = schedule::Schedule::named($name, ROUTERS).unwrap();
            check_no_violations($name, $seed, &schedule);
        }
    )* };
}

macro_rules! seeds {
    ($($test:ident: $seed:literal;)*) => { $(
        #[test]
        fn $test() {
            let schedule = schedule::Schedule::generate($seed, ROUTERS, FAULTS_BEGIN_WITHIN_MS);
            check_no_violations(stringify!($test), $seed, &schedule);
        }
    )* };
}

named_schedules! {
    changes_arrive_after_the_loss_of_all_routers_and_a_silent_store: 1, "loss-of-all-then-silent-store";
    changes_arrive_after_the_loss_of_all_routers_and_an_unanswered_poll: 2, "loss-of-all-then-one-call-unanswered";
}

seeds! {
    changes_arrive_under_the_faults_of_seed_101: 101;
    changes_arrive_under_the_faults_of_seed_104: 104;
    changes_arrive_under_the_faults_of_seed_108: 108;
}
