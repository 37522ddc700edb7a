//! The retry budget of a fleet: guards against more retries than the ratio allows, in a burst or in the long run.

#![allow(missing_docs)]

use doorswitch_core::retry;

/// The number of retries that all routers together can make at once after a long time without retries.
fn burst(routers: u64) -> u64 {
    let one_router = || {
        let mut budget = retry::Budget::default();
        (0..1_000).for_each(|_| budget.earn(routers));
        (0..1_000).take_while(|_| budget.try_spend(routers)).count() as u64
    };
    (0..routers).map(|_| one_router()).sum()
}

#[test]
fn the_burst_of_retries_does_not_grow_with_the_fleet() {
    for routers in [1, 3, 7, 8, 20, 40] {
        assert!(
            burst(routers) <= 40,
            "{routers} routers retry {} requests at once",
            burst(routers)
        );
    }
    assert!(burst(8) >= 30, "the burst is too small");
}

#[test]
fn retries_are_a_tenth_of_successes_in_the_long_run() {
    let mut budget = retry::Budget::default();
    let mut spent = 0;
    for _ in 0..10_000 {
        budget.earn(8);
        spent += u64::from(budget.try_spend(8));
    }
    assert!((990..=1_015).contains(&spent), "{spent} retries of 10,000 requests");
}
