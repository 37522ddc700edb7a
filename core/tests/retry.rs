//! The retry budget of a fleet.

#![allow(missing_docs)]

use doorswitch_core::retry;

/// The most retries that routers can make at once after a long calm.
fn burst(routers: u64) -> u64 {
    let one = || {
        let mut budget = retry::Budget::default();
        (0..1_000).for_each(|_| budget.earn(routers));
        (0..1_000).take_while(|_| budget.try_spend(routers)).count() as u64
    };
    (0..routers).map(|_| one()).sum()
}

#[test]
fn all_routers_together_save_up_no_more_than_a_few_routers_do() {
    for routers in [1, 3, 7, 8, 20, 40] {
        assert!(burst(routers) <= 40, "{routers} routers: {}", burst(routers));
    }
    assert!(burst(8) >= 30, "and it is not much less");
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
