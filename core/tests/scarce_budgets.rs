//! Guards against budgets that are spent to the last token at full rate, so that nothing is served from then on.
//!
//! Each budget has one holder, and is paid for fewer seconds than the callers go on. Large requests take most of its
//! tokens. Crashes of its holder write off more of them. With the fault, each budget serves everything until it is
//! empty, and after the last loss of all routers only requests without tokens are served: 85 of 344.

#![allow(clippy::unwrap_used, missing_docs)]

mod world;

use doorswitch_core::node;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use world::{End, Shape, World};

/// The requests of one budget: how many arrive in 10 s, and their token bounds.
const MIX: [(u64, u64); 4] = [(20, 0), (60, 1_000), (15, 2_400), (20, 9_400)];
/// The tokens that the requests of one budget ask for in a second.
const TOKENS_PER_S: u64 = (60 * 1_000 + 15 * 2_400 + 20 * 9_400) / 10;
/// The time after a return of all routers from which on requests are counted, and the time for which they are.
const RECOVERY_MS: u64 = 12_000;
const COUNTED_MS: u64 = 4_000;
const SEEDS: u64 = 8;
/// The part of a budget, in percent, that callers may not rely on.
const UNRELIABLE_PERCENT: u64 = 3;

/// A day's faults, in milliseconds from its first request.
struct Day {
    routers: usize,
    /// The seconds of demand that each budget is paid for.
    paid_s: u64,
    /// When all routers are lost.
    losses_ms: &'static [u64],
    /// When the holder of the first budget is killed.
    holder_kills_ms: &'static [u64],
    /// When all routers are cut from the store, and until when.
    store_cut_ms: Option<(u64, u64)>,
    /// When seconds of demand are paid in, and how many.
    top_up: Option<(u64, u64)>,
    /// When the first budget gets five times its requests, and until when.
    burst_ms: Option<(u64, u64)>,
}

const DAY: Day = Day {
    routers: 7,
    paid_s: 36,
    losses_ms: &[34_000],
    holder_kills_ms: &[],
    store_cut_ms: None,
    top_up: None,
    burst_ms: None,
};

fn fleet(routers: usize, paid_s: u64, seed: u64) -> World {
    let paid_tokens = paid_s * TOKENS_PER_S;
    let mut shape = Shape { routers, paid_tokens, servers: 8, slots: 64, ..Shape::default() };
    for budget in &mut shape.budgets {
        budget.cover_s = 15;
        budget.minimum_grant_tokens = 0;
        budget.held_percent = 50;
        budget.holders = 1;
        budget.loss_spread_s = 20;
    }
    let mut world = World::new(shape, seed);
    world.run_ms(10_000);
    world
}

/// Plays a day until its last requests are counted.
fn play(day: &Day, seed: u64) -> World {
    let mut world = fleet(day.routers, day.paid_s, seed);
    let mut rng = StdRng::seed_from_u64(seed);
    let start_ms = world.now_ms;
    let last_loss_ms = day.losses_ms.iter().max().unwrap();
    let end_ms = last_loss_ms + 600 + RECOVERY_MS + COUNTED_MS;
    let mut restarts = Vec::new();
    for at_ms in (0..end_ms).step_by(world::TICK_MS as usize) {
        let within =
            |span: Option<(u64, u64)>| span.is_some_and(|(from, to)| (from..to).contains(&at_ms));
        world.faults.store_unavailable = within(day.store_cut_ms);
        if day.losses_ms.contains(&at_ms) {
            (0..day.routers).for_each(|router| world.kill(router));
            restarts.extend((0..day.routers).map(|router| (at_ms + 600, router)));
        }
        if day.holder_kills_ms.contains(&at_ms) {
            let holder = holder(&world).unwrap();
            world.kill(holder);
            restarts.push((at_ms + 600, holder));
        }
        for (_, router) in restarts.extract_if(.., |(due_ms, _)| *due_ms <= at_ms) {
            world.restart(router, true);
        }
        if let Some((_, paid_s)) = day.top_up.filter(|(top_up_ms, _)| *top_up_ms == at_ms) {
            (0..2).for_each(|budget| world.pay(budget, paid_s * TOKENS_PER_S));
        }
        for budget in 0..2 {
            let times = if budget == 0 && within(day.burst_ms) { 5 } else { 1 };
            submit(&mut world, &mut rng, budget, times);
        }
        world.step();
    }
    assert_eq!(world.now_ms, start_ms + end_ms);
    world
}

/// Submits the requests of one tick, each to a router drawn at random.
fn submit(world: &mut World, rng: &mut StdRng, budget: usize, times: u64) {
    let live: Vec<usize> =
        (0..world.routers.len()).filter(|router| world.routers[*router].alive).collect();
    if live.is_empty() {
        return;
    }
    for (per_10_s, bound_tokens) in MIX {
        if rng.random_range(0..10_000) < per_10_s * times * world::TICK_MS {
            let router = live[rng.random_range(0..live.len())];
            let key = world.requests.len() as u64;
            world.admit(router, budget, key, bound_tokens, bound_tokens * 9 / 10, false);
        }
    }
}

fn holder(world: &World) -> Option<usize> {
    let name = world.budget_name(0);
    let holds = |router: &world::Router| {
        let grants = router.node.grants();
        router.alive && grants.find(&name).is_some_and(|slot| grants.account(slot).holder)
    };
    world.routers.iter().position(holds)
}

/// How many of the last requests were served, and how many were owed. A request is not owed if its budget is spent and
/// crashes took less than the part of it that callers may not rely on.
fn last_served(world: &World) -> (usize, usize) {
    let from_ms = world.now_ms - COUNTED_MS;
    let owed = |request: &&world::SubmittedRequest| {
        let ledger = world.ledger(request.budget);
        let lost_percent = 100 * ledger.written_off_tokens / ledger.paid_tokens;
        request.bound_tokens == 0 || lost_percent >= UNRELIABLE_PERCENT
    };
    let last = world.requests.iter().filter(|request| request.submitted_ms > from_ms);
    let last = last.filter(owed);
    let served = |request: &&world::SubmittedRequest| !matches!(request.end, Some(End::Refused(_)));
    (last.clone().filter(served).count(), last.count())
}

macro_rules! a_quarter_is_served_after_a_return {
    ($($name:ident: $day:expr,)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..SEEDS {
                let world = play(&$day, seed);
                let (served, sent) = last_served(&world);
                assert!(
                    served * 4 >= sent,
                    "seed {seed}: {served} of the last {sent} requests were served"
                );
            }
        }
    )*};
}

a_quarter_is_served_after_a_return! {
    a_budget_still_serves_after_one_loss_of_all_routers: DAY,
    a_budget_still_serves_after_two_losses_of_all_routers:
        Day { losses_ms: &[18_000, 34_000], paid_s: 42, ..DAY },
    a_budget_still_serves_after_three_losses_of_all_routers:
        Day { losses_ms: &[2_000, 18_000, 34_000], paid_s: 44, ..DAY },
    a_budget_still_serves_after_losses_of_its_holder:
        Day { holder_kills_ms: &[21_000, 25_000], paid_s: 42, ..DAY },
    a_budget_still_serves_after_a_loss_right_after_an_outage_of_the_store:
        Day { store_cut_ms: Some((20_000, 32_000)), paid_s: 34, ..DAY },
    a_budget_still_serves_after_a_loss_right_after_a_payment:
        Day { top_up: Some((33_000, 4)), paid_s: 32, ..DAY },
    a_budget_still_serves_after_a_burst_and_a_loss_of_all_routers:
        Day { burst_ms: Some((10_000, 16_000)), paid_s: 50, ..DAY },
    a_budget_still_serves_among_twenty_routers: Day { routers: 20, ..DAY },
    a_budget_that_ends_long_before_the_loss_still_serves_after_it:
        Day { paid_s: 20, ..DAY },
}

#[test]
fn a_budget_that_lasts_is_never_exhausted() {
    let day = Day { paid_s: 80, ..DAY };
    for seed in 0..SEEDS {
        let world = play(&day, seed);
        let exhausted = End::Refused(node::Reason::BudgetExhausted);
        let refused = world
            .refusals
            .iter()
            .filter(|index| world.requests[**index].end.as_ref() == Some(&exhausted));
        assert_eq!(refused.count(), 0, "seed {seed}: requests were refused");
    }
}

#[test]
fn large_requests_still_get_a_part_of_a_scarce_budget() {
    for seed in 0..SEEDS {
        let world = play(&Day { losses_ms: &[2_000, 18_000, 34_000], paid_s: 44, ..DAY }, seed);
        let from_ms = world.now_ms - RECOVERY_MS - COUNTED_MS;
        let large = world
            .requests
            .iter()
            .filter(|request| request.submitted_ms > from_ms && request.bound_tokens == MIX[3].1);
        let served = large.filter(|request| request.dispatched).count();
        assert!(served > 0, "seed {seed}: no large request was served after the last loss");
    }
}

#[test]
fn a_payment_ends_the_limit_on_a_scarce_budget() {
    for seed in 0..SEEDS {
        let day = Day { losses_ms: &[2_000, 18_000], top_up: Some((30_000, 60)), ..DAY };
        let world = play(&Day { losses_ms: &[2_000, 18_000, 34_000], ..day }, seed);
        let paid_ms = world.now_ms - RECOVERY_MS - COUNTED_MS - 600 - 4_000;
        let limited =
            world.refusals.iter().map(|index| &world.requests[*index]).filter(|request| {
                request.submitted_ms > paid_ms + 1_500
                    && request.end == Some(End::Refused(node::Reason::BudgetLow))
            });
        assert_eq!(limited.count(), 0, "seed {seed}: requests were refused after the payment");
    }
}
