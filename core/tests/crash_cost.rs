//! The prepaid tokens that a workspace loses when routers crash.
//!
//! Guards against a holder that keeps tokens in proportion to what a budget has left instead of what is spent from it.
//! Each budget has one holder. With that fault, a holder that has not measured any spending holds a third of the
//! unspent tokens (552,311 with 1,124,504 undrawn and none consumed, at a rate of 510 tokens a second), and they are
//! lost with its router: if five of seven routers are killed one second after the first requests, six of ten budgets
//! lose that third, and 1,836,125 of 8,621,557 paid tokens are written off. Later crashes cost less: 336,970 with three
//! routers, 35,468 with all of them at second 34. The budgets end early, the first at second 13, six at second 26 and
//! all ten at second 36; four in five requests are then refused with `budget_exhausted`, and 83 of 344 are served.

#![allow(clippy::unwrap_used, missing_docs)]

mod world;

use world::{Shape, World};

const ROUTERS: usize = 7;
const PAID_TOKENS: u64 = 1_000_000;
const COVER_S: u64 = 15;
const BOUND_TOKENS: u64 = 500;

/// A fleet in which one router holds each budget, as on a platform whose machines may all fail at once.
fn fleet(seed: u64) -> World {
    fleet_with_held_percent(33, seed)
}

fn fleet_with_held_percent(held_percent: u64, seed: u64) -> World {
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

/// Spends from each budget at a constant rate, through the routers in turn.
fn spend(world: &mut World, tokens_per_s: u64, time_ms: u64) {
    let pause_ms = BOUND_TOKENS * 1_000 / tokens_per_s;
    let end_ms = world.now_ms + time_ms;
    while world.now_ms < end_ms {
        for budget in 0..2 {
            let number = world.requests.len();
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

/// Kills routers and restarts them at the same addresses; they close the grants of their earlier incarnations.
fn crash(world: &mut World, routers: &[usize]) {
    routers.iter().for_each(|router| world.kill(*router));
    world.run_ms(600);
    routers.iter().for_each(|router| world.restart(*router, true));
    world.run_ms(1_000);
    spend(world, 1_000, 5_000);
}

#[test]
fn a_crash_before_any_spending_loses_at_most_a_hundredth() {
    for seed in 1..6 {
        let mut world = fleet(seed);
        let (first, second) = (holder(&world, 0), holder(&world, 1));
        let survivors = (0..ROUTERS).filter(|router| *router != first && *router != second).take(2);
        let survivors: Vec<usize> = survivors.collect();
        let killed: Vec<usize> =
            (0..ROUTERS).filter(|router| !survivors.contains(router)).collect();
        crash(&mut world, &killed);
        let lost_tokens = world.written_off_tokens;
        assert!(
            lost_tokens <= 2 * PAID_TOKENS / 100,
            "seed {seed}: {lost_tokens} tokens of two budgets of {PAID_TOKENS} were written off"
        );
    }
}

#[test]
fn the_loss_in_a_crash_is_bounded_by_spending_and_not_by_the_paid_tokens() {
    const TOKENS_PER_S: u64 = 1_000;
    for seed in 1..6 {
        let mut world = fleet(seed);
        spend(&mut world, TOKENS_PER_S, 20_000);
        let holder = holder(&world, 0);
        let incarnation = world.routers[holder].incarnation;
        let before_tokens = world.ledger(0).written_off_tokens;
        crash(&mut world, &[holder]);
        assert!(
            !world.ledger(0).grants.contains_key(&incarnation),
            "seed {seed}: the grant was not closed"
        );
        let lost_tokens = world.ledger(0).written_off_tokens - before_tokens;
        assert!(
            lost_tokens <= 2 * COVER_S * TOKENS_PER_S,
            "seed {seed}: {lost_tokens} tokens lost at {TOKENS_PER_S} spent a second"
        );
    }
}

#[test]
fn the_grant_of_a_new_holder_follows_spending() {
    const TOKENS_PER_S: u64 = 5_000;
    for seed in 1..6 {
        let mut world = fleet(seed);
        spend(&mut world, TOKENS_PER_S, 15_000);
        let killed = holder(&world, 0);
        world.kill(killed);
        world.run_ms(3_000);
        let mut max_granted_tokens = 0;
        for _ in 0..50 {
            spend(&mut world, TOKENS_PER_S, 200);
            let granted = world.routers.iter().map(|router| granted_tokens(&world, router));
            max_granted_tokens = max_granted_tokens.max(granted.max().unwrap());
        }
        let needed = COVER_S * TOKENS_PER_S / 2..2 * COVER_S * TOKENS_PER_S;
        assert!(
            needed.contains(&max_granted_tokens),
            "seed {seed}: the new holder was granted {max_granted_tokens} tokens at the most"
        );
    }
}

/// The free tokens that a router is granted of the first budget, or 0 if it is not the holder.
fn granted_tokens(world: &World, router: &world::Router) -> u64 {
    let grants = router.node.grants();
    let account = grants.account(grants.find(&world.budget_name(0)).unwrap());
    if account.holder { account.free_tokens() } else { 0 }
}

#[test]
fn no_request_is_refused_in_an_outage_soon_after_the_first_requests() {
    for seed in 1..6 {
        let mut world = fleet(seed);
        spend(&mut world, 10_000, 2_000);
        world.faults.store_unavailable = true;
        let before = world.refusals.len();
        spend(&mut world, 10_000, 8_000);
        let refused = world.refusals.len() - before;
        assert!(refused == 0, "seed {seed}: {refused} requests were refused in the outage");
    }
}

#[test]
fn the_second_request_of_a_budget_is_served_in_an_outage() {
    for seed in 1..6 {
        let mut world = fleet(seed);
        let holder = holder(&world, 0);
        world.admit(holder, 0, 1, BOUND_TOKENS, BOUND_TOKENS, false).unwrap();
        world.run_ms(100);
        world.faults.store_unavailable = true;
        for number in 2..5 {
            world.admit(holder, 0, number, BOUND_TOKENS, BOUND_TOKENS, false).unwrap();
            world.run_ms(300);
        }
        assert!(
            world.refusals.is_empty(),
            "seed {seed}: requests {:?} were refused",
            world.refusals
        );
    }
}

/// Guards against holders that refill completely right after an outage. Routers that are cut from the store for 8 s
/// spend their grants; if they then draw new ones in full and are killed two seconds later, 5.8 million tokens are
/// lost, three seconds of spending of the busiest budget.
#[test]
fn grants_refill_gradually_after_an_outage() {
    const TOKENS_PER_S: u64 = 10_000;
    for seed in 1..6 {
        let mut world = fleet_with_held_percent(50, seed);
        spend(&mut world, TOKENS_PER_S, 15_000);
        world.faults.store_unavailable = true;
        spend(&mut world, TOKENS_PER_S, 17_000);
        world.faults.store_unavailable = false;
        spend(&mut world, TOKENS_PER_S, 2_000);
        let max_granted_tokens =
            world.routers.iter().map(|router| granted_tokens(&world, router)).max().unwrap();
        assert!(
            max_granted_tokens <= 5 * TOKENS_PER_S,
            "seed {seed}: a holder was granted {max_granted_tokens} tokens two seconds after the outage"
        );
        spend(&mut world, TOKENS_PER_S, 8_000);
        let max_granted_tokens =
            world.routers.iter().map(|router| granted_tokens(&world, router)).max().unwrap();
        assert!(
            max_granted_tokens >= 5 * TOKENS_PER_S,
            "seed {seed}: only {max_granted_tokens} tokens were granted ten seconds after the outage"
        );
    }
}

/// Guards against a grant that is too small for an outage during a burst. A workspace sends several times its usual
/// load for six seconds before all routers are cut from the store. At that rate the budget lasts for twelve seconds,
/// but with the fault its holder is granted only two seconds of it: 1,684 requests are refused, most of them
/// during the cut, and 2.9 million of 17.3 million tokens are still undrawn nine seconds after it.
#[test]
fn a_burst_does_not_leave_a_budget_unserved_in_an_outage() {
    for seed in 1..6 {
        let mut world = fleet_with_held_percent(50, seed);
        spend(&mut world, 25_000, 30_000);
        world.faults.store_unavailable = true;
        let before = world.refusals.len();
        spend(&mut world, 25_000, 4_000);
        let refused = world.refusals.len() - before;
        assert!(refused == 0, "seed {seed}: {refused} requests were refused in the outage");
    }
}

/// Guards against crashes that each take a share of what is left as if none had taken one before: losses of all
/// routers at seconds 2, 18 and 34 took 41 in 100 of the paid tokens.
#[test]
fn repeated_losses_of_all_routers_take_a_third_of_a_budget_and_little_more() {
    const TOKENS_PER_S: u64 = 25_000;
    for seed in 1..6 {
        let mut world = fleet_with_held_percent(50, seed);
        for spent_ms in [2_000, 6_000, 6_000] {
            spend(&mut world, TOKENS_PER_S, spent_ms);
            (0..ROUTERS).for_each(|router| world.kill(router));
            world.run_ms(600);
            (0..ROUTERS).for_each(|router| world.restart(router, true));
            world.run_ms(1_000);
        }
        spend(&mut world, 1_000, 3_000);
        let lost_tokens = world.ledger(0).written_off_tokens;
        assert!(
            lost_tokens <= PAID_TOKENS * 2 / 5,
            "seed {seed}: {lost_tokens} of {PAID_TOKENS} tokens were written off"
        );
    }
}
