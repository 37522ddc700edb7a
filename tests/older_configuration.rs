//! Real routers that went on with an older configuration.
//!
//! Eight routers were lost at once and came back. Some seconds later requests were still run as only an older configuration
//! allows, and a route that had been added got 404. A call for news that a router had made while the store took calls and
//! answered none was never answered; its connection lived, the store was well again, and nothing gave the call up before its
//! own end. What settled it, on the code of that time: the store silent from 9.3 to 10.8 s, changes acknowledged at 8.0, 11.0,
//! 12.0, 13.0 and 14.0 s, `event=watch_failed prefix=op/ ... Timeout while waiting for response` at 20.3 s at each
//! router, 404 for the newest route until then (87 answers at one router, from 16.0 s on, the bound being 2 s). With the loss of
//! all alone nothing was stale: so not what routers read at their start, but the call that they wait for afterwards.
//!
//! The seeds are schedules of overlapping faults that broke the same promise on that code.

#![allow(clippy::unwrap_used, missing_docs)]

mod soaks;

use doorswitch_soak::schedule;
use soaks::{ROUTERS, check_no_violations};

/// Faults of a seed begin over this time.
const SEED_MS: u64 = 20_000;

macro_rules! written_down {
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
let schedule = schedule :: Schedule :: generate ( $ seed , ROUTERS , SEED_MS ) ; check_no_violations ( stringify!( $ test ) , $ seed , & schedule ) ;
        }
    )* };
}

written_down! {
    a_silent_store_after_the_loss_of_all_hides_no_change: 1, "loss-of-all-then-silent-store";
    an_unanswered_call_after_the_loss_of_all_hides_no_change: 2, "loss-of-all-then-one-call-unanswered";
}

seeds! {
    seed_101_hides_no_change: 101;
    seed_104_hides_no_change: 104;
    seed_108_hides_no_change: 108;
}
