//! Budgets that only a few routers hold in hand, in a fleet that is large for them.

#![allow(clippy::unwrap_used, missing_docs)]

mod world;

use doorswitch_core::{ids, members, node};
use world::{End, Shape, World};

const ROUTERS: usize = 24;
const PAID_TOKENS: u64 = 100_000;
const BOUND_TOKENS: u64 = 2_000;

fn fleet() -> World {
    let shape = Shape { routers: ROUTERS, paid_tokens: PAID_TOKENS, ..Shape::few_holders() };
    let mut world = World::new(shape, 5);
    world.run_ms(15_000);
    world
}

fn holders(world: &World) -> Vec<usize> {
    let name = world.budget_name(0);
    let holds = |router: &world::Router| {
        let grants = router.node.grants();
        grants.account(grants.find(&name).unwrap()).holder
    };
    (0..ROUTERS).filter(|at| holds(&world.routers[*at])).collect()
}

fn free_tokens(world: &World, at: usize) -> u64 {
    let grants = world.routers[at].node.grants();
    grants.account(grants.find(&world.budget_name(0)).unwrap()).free_tokens()
}

fn served(world: &World, place: usize) -> bool {
    world.given[place].end == Some(End::Closed { safe: true })
}

#[test]
fn all_routers_agree_on_the_holder() {
    let world = fleet();
    assert_eq!(holders(&world).len(), 1);
}

#[test]
fn every_router_serves_from_the_one_holder_and_few_write_to_the_ledger() {
    let mut world = fleet();
    let before = world.store_calls;
    let places: Vec<usize> = (0..ROUTERS)
        .map(|at| world.admit(at, 0, at as u64, BOUND_TOKENS, BOUND_TOKENS, false).unwrap())
        .collect();
    world.run_ms(3_000);
    assert!(places.iter().all(|place| served(&world, *place)), "{:?}", world.refusals);
    assert!(world.ledger(0).grants.len() <= 2, "{:?}", world.ledger(0).grants);
    let calls = world.store_calls.0 + world.store_calls.1 - before.0 - before.1;
    // Settlements are logged as well; without holders each request is a write that others overtake.
    assert!(calls < 3 * ROUTERS as u64, "{calls} calls for {ROUTERS} requests");
}

#[test]
fn what_is_left_over_comes_back() {
    let mut world = fleet();
    for at in 0..ROUTERS {
        world.admit(at, 0, at as u64, BOUND_TOKENS, 0, false);
    }
    world.run_ms(3_000);
    let holder = holders(&world)[0];
    let kept: Vec<u64> =
        (0..ROUTERS).filter(|at| *at != holder).map(|at| free_tokens(&world, at)).collect();
    assert_eq!(kept.iter().sum::<u64>(), 0, "{kept:?}");
    // All of it can be spent by one request.
    let place = world.admit((holder + 1) % ROUTERS, 0, 1_000, 90_000, 90_000, false).unwrap();
    world.run_ms(3_000);
    assert!(served(&world, place), "{:?}", world.given[place].end);
}

#[test]
fn a_silent_holder_is_passed_over() {
    let mut world = fleet();
    let holder = holders(&world)[0];
    world.kill(holder);
    let other = (holder + 1) % ROUTERS;
    let place = world.admit(other, 0, 1, BOUND_TOKENS, BOUND_TOKENS, false).unwrap();
    world.run_ms(1_500);
    assert!(served(&world, place), "{:?}", world.given[place].end);
}

#[test]
fn a_holder_whose_peers_are_cut_off_leaves_them_the_ledger() {
    let mut world = fleet();
    let holder = holders(&world)[0];
    for at in (0..ROUTERS).filter(|at| *at != holder) {
        world.faults.pairs_cut.insert((at.min(holder), at.max(holder)));
    }
    let other = (holder + 1) % ROUTERS;
    let place = world.admit(other, 0, 1, BOUND_TOKENS, BOUND_TOKENS, false).unwrap();
    world.run_ms(1_500);
    assert!(served(&world, place), "{:?}", world.given[place].end);
}

#[test]
fn a_fleet_that_starts_reads_no_more_of_the_ledger_than_its_holders_need() {
    let world = fleet();
    let budgets = world.shape.budgets.len() as u64;
    // Without that, every router reads every value.
    let reads = world.ledger_reads;
    assert!(reads <= 4 * budgets, "{reads} reads for {budgets} budgets");
}

#[test]
fn what_a_router_drew_itself_and_did_not_use_goes_to_the_holder_without_a_call() {
    let mut world = fleet();
    let holder = holders(&world)[0];
    for at in (0..ROUTERS).filter(|at| *at != holder) {
        world.faults.pairs_cut.insert((at.min(holder), at.max(holder)));
    }
    let other = (holder + 1) % ROUTERS;
    let place = world.admit(other, 0, 1, BOUND_TOKENS, 0, false).unwrap();
    world.run_ms(1_500);
    assert!(served(&world, place), "{:?}", world.given[place].end);
    world.faults.pairs_cut.clear();
    world.run_ms(10_000);
    let holder_incarnation = world.routers[holder].incarnation;
    let ledger = world.ledger(0);
    let others =
        ledger.grants.iter().filter(|(incarnation, _)| **incarnation != holder_incarnation);
    let drawn_tokens: u64 = others.map(|(_, grant)| grant.granted_tokens).sum();
    assert!(drawn_tokens >= BOUND_TOKENS, "{drawn_tokens} still granted: no call gave them back");
    let elsewhere = (0..ROUTERS).filter(|at| *at != holder);
    let left_tokens: u64 = elsewhere.map(|at| free_tokens(&world, at)).sum();
    assert!(left_tokens < BOUND_TOKENS / 5, "{left_tokens} were not handed to the holder");
    // Nothing is lost by that: the whole budget can still be spent.
    let rest = world.admit(holder, 0, 2, 95_000, 95_000, false).unwrap();
    world.run_ms(3_000);
    assert!(served(&world, rest), "{:?}", world.given[rest].end);
}

#[test]
fn an_empty_budget_is_refused_without_a_call_for_each_request() {
    let mut world = fleet();
    for at in 0..ROUTERS {
        world.admit(at, 0, at as u64, 4_000, 4_000, false);
    }
    world.run_ms(5_000);
    let before = world.store_calls;
    for number in 0..200 {
        world.admit(number as usize % ROUTERS, 0, 1_000 + number, 20_000, 20_000, false);
        world.run_ms(20);
    }
    world.run_ms(1_000);
    let calls = world.store_calls.0 + world.store_calls.1 - before.0 - before.1;
    let refused = world.refusals.len();
    assert!(refused >= 200, "{refused} were refused");
    assert!(calls < 60, "{calls} calls for {refused} refusals");
    let reason = &world.given[*world.refusals.last().unwrap()].end;
    assert_eq!(*reason, Some(End::Refused(node::Reason::BudgetExhausted)));
}

#[test]
fn a_dead_member_is_suspected_soon_however_large_the_fleet() {
    let mut world = fleet();
    let dead = world.routers[3].incarnation;
    world.kill(3);
    world.run_ms(3_000);
    let suspects = |router: &world::Router, id: ids::Incarnation| {
        let record = router.node.members().find(id);
        record.is_some_and(|record| record.health >= members::Health::Suspect)
    };
    let living = world.routers.iter().filter(|router| router.incarnation != dead);
    let knowing = living.filter(|router| suspects(router, dead)).count();
    assert!(knowing > 0, "nobody noticed");
}

#[test]
fn a_life_that_starts_where_another_held_tokens_is_told_and_closes_them() {
    let mut world = fleet();
    let holder = holders(&world)[0];
    let earlier = world.routers[holder].incarnation;
    // A holder has something in hand once the budget is spent from.
    world.admit(holder, 0, 0, BOUND_TOKENS, BOUND_TOKENS, false);
    world.run_ms(2_000);
    assert!(world.ledger(0).grants.contains_key(&earlier));
    world.kill(holder);
    world.restart(holder, true);
    world.run_ms(10_000);
    // Somebody else holds the budget now; what an earlier life held, only its successor at the address can close.
    world.admit((holder + 1) % ROUTERS, 0, 1, BOUND_TOKENS, BOUND_TOKENS, false);
    world.run_ms(10_000);
    let ledger = world.ledger(0);
    assert!(!ledger.grants.contains_key(&earlier), "{:?}", ledger.grants);
    assert!(ledger.written_off_tokens > 0);
}
