//! What a crash of routers costs a workspace of the tokens that it paid in.
//!
//! Five of seven routers were killed one second after the first requests came. Each budget has one holder, and a
//! holder that had not measured any spending held a third of what was unspent. Six of ten budgets lost that third at
//! once: `event=balance budget=ziti620/prepaid free_tokens=552311 rate_tokens_per_s=510 undrawn_tokens=1124504
//! consumed_tokens=0` before, `event=dead_holder_closed written_off_tokens=552311` after it, 1,836,125 of the
//! 8,621,557 tokens paid in all. A later crash of three routers took 336,970, the loss of all routers at
//! second 34 only 35,468. The budgets ended early: the first at second 13, six of ten at second 26, all
//! ten at second 36. When all routers were back, `code=budget_exhausted` was the answer to four in five requests,
//! and 83 of 344 were served. So not what the last loss took left nothing to serve, but what the first one took of
//! budgets that nobody had used yet. What a holder has in hand must follow what is spent, not what there is.

#![allow(clippy::unwrap_used, missing_docs)]

mod world;

use world::{Shape, World};

const ROUTERS: usize = 7;
const PAID_TOKENS: u64 = 1_000_000;
const COVER_S: u64 = 15;
const BOUND_TOKENS: u64 = 500;

/// A fleet in which one router holds each budget, as on a platform whose machines may all be lost at once.
fn fleet(seed: u64) -> World {
    fleet_that_holds(33, seed)
}

fn fleet_that_holds(held_percent: u64, seed: u64) -> World {
    let mut shape = Shape { routers: ROUTERS, paid_tokens: PAID_TOKENS, ..Shape::default() };
    for budget in &mut shape.budgets {
        budget.cover_s = COVER_S;
        budget.minimum_grant_tokens = 0;
        budget.held_percent = held_percent;
        budget.holders = 1;
    }
    let mut world = World::new(shape, seed);
    world.run_ms(10_000);
    world
}

/// Has routers in turn spend from each budget for a while.
fn spend(world: &mut World, tokens_per_s: u64, time_ms: u64) {
    let pause_ms = BOUND_TOKENS * 1_000 / tokens_per_s;
    let end_ms = world.now_ms + time_ms;
    while world.now_ms < end_ms {
        for budget in 0..2 {
            let number = world.given.len();
            world.admit(number % ROUTERS, budget, number as u64, BOUND_TOKENS, BOUND_TOKENS, false);
        }
        world.run_ms(pause_ms);
    }
}

/// The router that holds a budget.
fn holder(world: &World, budget: usize) -> usize {
    let name = world.budget_name(budget);
    let holds = |router: &world::Router| {
        let grants = router.node.grants();
        router.alive && grants.account(grants.find(&name).unwrap()).holder
    };
    world.routers.iter().position(holds).unwrap()
}

/// Kills routers and starts them again where they were; they close what the earlier lives held.
fn crash(world: &mut World, places: &[usize]) {
    places.iter().for_each(|at| world.kill(*at));
    world.run_ms(600);
    places.iter().for_each(|at| world.restart(*at, true));
    world.run_ms(1_000);
    spend(world, 1_000, 5_000);
}

#[test]
fn a_crash_before_anything_was_spent_takes_next_to_nothing() {
    for seed in 1..6 {
        let mut world = fleet(seed);
        let (first, second) = (holder(&world, 0), holder(&world, 1));
        let spared = (0..ROUTERS).filter(|at| *at != first && *at != second).take(2);
        let spared: Vec<usize> = spared.collect();
        let killed: Vec<usize> = (0..ROUTERS).filter(|at| !spared.contains(at)).collect();
        crash(&mut world, &killed);
        let lost_tokens = world.written_off_tokens;
        assert!(
            lost_tokens <= 2 * PAID_TOKENS / 100,
            "seed {seed}: {lost_tokens} tokens of two budgets of {PAID_TOKENS} were written off"
        );
    }
}

#[test]
fn a_crash_takes_seconds_of_what_a_budget_spends_however_much_was_paid() {
    const TOKENS_PER_S: u64 = 1_000;
    for seed in 1..6 {
        let mut world = fleet(seed);
        spend(&mut world, TOKENS_PER_S, 20_000);
        let holder = holder(&world, 0);
        let incarnation = world.routers[holder].incarnation;
        let before_tokens = world.ledger(0).written_off_tokens;
        crash(&mut world, &[holder]);
        assert!(!world.ledger(0).grants.contains_key(&incarnation), "seed {seed}: it was closed");
        let lost_tokens = world.ledger(0).written_off_tokens - before_tokens;
        assert!(
            lost_tokens <= 2 * COVER_S * TOKENS_PER_S,
            "seed {seed}: {lost_tokens} tokens lost, {TOKENS_PER_S} a second were spent"
        );
    }
}

#[test]
fn a_router_that_takes_over_has_in_hand_what_is_spent() {
    const TOKENS_PER_S: u64 = 5_000;
    for seed in 1..6 {
        let mut world = fleet(seed);
        spend(&mut world, TOKENS_PER_S, 15_000);
        let dead = holder(&world, 0);
        world.kill(dead);
        world.run_ms(3_000);
        let mut most_tokens = 0;
        for _ in 0..50 {
            spend(&mut world, TOKENS_PER_S, 200);
            let held = world.routers.iter().map(|router| held(&world, router));
            most_tokens = most_tokens.max(held.max().unwrap());
        }
        let needed = COVER_S * TOKENS_PER_S / 2..2 * COVER_S * TOKENS_PER_S;
        assert!(needed.contains(&most_tokens), "seed {seed}: {most_tokens} in hand at the most");
    }
}

/// What a router has in hand of the first budget, if it holds it.
fn held(world: &World, router: &world::Router) -> u64 {
    let grants = router.node.grants();
    let account = grants.account(grants.find(&world.budget_name(0)).unwrap());
    if account.holder { account.free_tokens() } else { 0 }
}

#[test]
fn an_outage_soon_after_the_first_requests_is_ridden_out() {
    for seed in 1..6 {
        let mut world = fleet(seed);
        spend(&mut world, 10_000, 2_000);
        world.faults.store_out = true;
        let before = world.refusals.len();
        spend(&mut world, 10_000, 8_000);
        let refused = world.refusals.len() - before;
        assert!(refused == 0, "seed {seed}: {refused} refused");
    }
}

#[test]
fn the_second_request_of_a_budget_is_served_in_an_outage() {
    for seed in 1..6 {
        let mut world = fleet(seed);
        let holder = holder(&world, 0);
        world.admit(holder, 0, 1, BOUND_TOKENS, BOUND_TOKENS, false).unwrap();
        world.run_ms(100);
        world.faults.store_out = true;
        for number in 2..5 {
            world.admit(holder, 0, number, BOUND_TOKENS, BOUND_TOKENS, false).unwrap();
            world.run_ms(300);
        }
        assert!(world.refusals.is_empty(), "seed {seed}: {:?}", world.refusals);
    }
}

/// All routers were cut from the store for 8 s and used up what they held; all died two seconds after that. Holders
/// had filled up at once, and 5.8 million tokens were lost, three seconds of spending of the busiest budget.
#[test]
fn a_loss_just_after_an_outage_takes_seconds_of_spending() {
    const TOKENS_PER_S: u64 = 10_000;
    for seed in 1..6 {
        let mut world = fleet_that_holds(50, seed);
        spend(&mut world, TOKENS_PER_S, 15_000);
        world.faults.store_out = true;
        spend(&mut world, TOKENS_PER_S, 17_000);
        world.faults.store_out = false;
        spend(&mut world, TOKENS_PER_S, 2_000);
        let most = world.routers.iter().map(|router| held(&world, router)).max().unwrap();
        assert!(most <= 5 * TOKENS_PER_S, "seed {seed}: {most} in hand two seconds after");
        spend(&mut world, TOKENS_PER_S, 8_000);
        let most = world.routers.iter().map(|router| held(&world, router)).max().unwrap();
        assert!(most >= 5 * TOKENS_PER_S, "seed {seed}: {most} in hand ten seconds after");
    }
}

/// A workspace sent several times its usual for six seconds before all routers were cut from the store. At that rate the
/// budget would have ended in twelve seconds; its holder had two seconds of it in hand, refused 1,684 requests in
/// that day, most of them in the cut, and 2.9 million of 17.3 million tokens were undrawn nine seconds after it.
#[test]
fn a_budget_that_a_burst_would_use_up_soon_serves_through_an_outage() {
    for seed in 1..6 {
        let mut world = fleet_that_holds(50, seed);
        spend(&mut world, 25_000, 30_000);
        world.faults.store_out = true;
        let before = world.refusals.len();
        spend(&mut world, 25_000, 4_000);
        let refused = world.refusals.len() - before;
        assert!(refused == 0, "seed {seed}: {refused} refused");
    }
}
