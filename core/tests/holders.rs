//! Guards against refused requests, lost tokens and many store calls if only a few routers of a large fleet hold the
//! tokens of a budget.

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
    (0..ROUTERS).filter(|index| holds(&world.routers[*index])).collect()
}

fn free_tokens(world: &World, router: usize) -> u64 {
    let grants = world.routers[router].node.grants();
    grants.account(grants.find(&world.budget_name(0)).unwrap()).free_tokens()
}

fn served(world: &World, request: usize) -> bool {
    world.requests[request].end == Some(End::Closed { safe: true })
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
    let requests: Vec<usize> = (0..ROUTERS)
        .map(|router| {
            world.admit(router, 0, router as u64, BOUND_TOKENS, BOUND_TOKENS, false).unwrap()
        })
        .collect();
    world.run_ms(3_000);
    assert!(
        requests.iter().all(|request| served(&world, *request)),
        "requests {:?} were refused",
        world.refusals
    );
    assert!(
        world.ledger(0).grants.len() <= 2,
        "more than two routers drew from the ledger: {:?}",
        world.ledger(0).grants
    );
    let calls = world.store_calls.0 + world.store_calls.1 - before.0 - before.1;
    // The calls include the log of settlements. Without holders, every request would cause a write of the ledger, and
    // these writes would conflict.
    assert!(calls < 3 * ROUTERS as u64, "{calls} store calls for {ROUTERS} requests");
}

#[test]
fn unused_tokens_return_to_the_holder() {
    let mut world = fleet();
    for router in 0..ROUTERS {
        world.admit(router, 0, router as u64, BOUND_TOKENS, 0, false);
    }
    world.run_ms(3_000);
    let holder = holders(&world)[0];
    let remaining: Vec<u64> = (0..ROUTERS)
        .filter(|router| *router != holder)
        .map(|router| free_tokens(&world, router))
        .collect();
    assert_eq!(remaining.iter().sum::<u64>(), 0, "tokens stay at other routers: {remaining:?}");
    // One request can spend all of them.
    let request = world.admit((holder + 1) % ROUTERS, 0, 1_000, 90_000, 90_000, false).unwrap();
    world.run_ms(3_000);
    assert!(
        served(&world, request),
        "the request was not served: {:?}",
        world.requests[request].end
    );
}

#[test]
fn requests_are_served_although_the_holder_does_not_answer() {
    let mut world = fleet();
    let holder = holders(&world)[0];
    world.kill(holder);
    let other = (holder + 1) % ROUTERS;
    let request = world.admit(other, 0, 1, BOUND_TOKENS, BOUND_TOKENS, false).unwrap();
    world.run_ms(1_500);
    assert!(
        served(&world, request),
        "the request was not served: {:?}",
        world.requests[request].end
    );
}

#[test]
fn a_holder_whose_peers_are_cut_off_leaves_them_the_ledger() {
    let mut world = fleet();
    let holder = holders(&world)[0];
    for router in (0..ROUTERS).filter(|router| *router != holder) {
        world.faults.pairs_cut.insert((router.min(holder), router.max(holder)));
    }
    let other = (holder + 1) % ROUTERS;
    let request = world.admit(other, 0, 1, BOUND_TOKENS, BOUND_TOKENS, false).unwrap();
    world.run_ms(1_500);
    assert!(
        served(&world, request),
        "the request was not served: {:?}",
        world.requests[request].end
    );
}

#[test]
fn a_starting_fleet_reads_the_ledger_only_for_its_holders() {
    let world = fleet();
    let budgets = world.shape.budgets.len() as u64;
    // Guards against a fleet in which every router reads every value.
    let reads = world.ledger_reads;
    assert!(reads <= 4 * budgets, "{reads} reads of the ledger for {budgets} budgets");
}

#[test]
fn unused_tokens_that_a_router_drew_itself_go_to_the_holder_without_a_store_call() {
    let mut world = fleet();
    let holder = holders(&world)[0];
    for router in (0..ROUTERS).filter(|router| *router != holder) {
        world.faults.pairs_cut.insert((router.min(holder), router.max(holder)));
    }
    let other = (holder + 1) % ROUTERS;
    let request = world.admit(other, 0, 1, BOUND_TOKENS, 0, false).unwrap();
    world.run_ms(1_500);
    assert!(
        served(&world, request),
        "the request was not served: {:?}",
        world.requests[request].end
    );
    world.faults.pairs_cut.clear();
    world.run_ms(10_000);
    let holder_id = world.routers[holder].incarnation;
    let ledger = world.ledger(0);
    let others = ledger.grants.iter().filter(|(id, _)| **id != holder_id);
    let drawn_tokens: u64 = others.map(|(_, grant)| grant.granted_tokens).sum();
    assert!(
        drawn_tokens >= BOUND_TOKENS,
        "only {drawn_tokens} tokens still granted: a store call returned them"
    );
    let elsewhere = (0..ROUTERS).filter(|router| *router != holder);
    let left_tokens: u64 = elsewhere.map(|router| free_tokens(&world, router)).sum();
    assert!(
        left_tokens < BOUND_TOKENS / 5,
        "{left_tokens} tokens were not transferred to the holder"
    );
    // No tokens were lost: the rest of the budget can still be spent.
    let rest = world.admit(holder, 0, 2, 95_000, 95_000, false).unwrap();
    world.run_ms(3_000);
    assert!(
        served(&world, rest),
        "the rest of the budget was not spent: {:?}",
        world.requests[rest].end
    );
}

#[test]
fn requests_for_an_empty_budget_are_refused_without_a_store_call_each() {
    let mut world = fleet();
    for router in 0..ROUTERS {
        world.admit(router, 0, router as u64, 4_000, 4_000, false);
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
    assert!(refused >= 200, "only {refused} requests were refused");
    assert!(calls < 60, "{calls} store calls for {refused} refusals");
    let reason = &world.requests[*world.refusals.last().unwrap()].end;
    assert_eq!(*reason, Some(End::Refused(node::Reason::BudgetExhausted)));
}

#[test]
fn a_killed_member_is_suspected_within_3_s_in_a_large_fleet() {
    let mut world = fleet();
    let killed = world.routers[3].incarnation;
    world.kill(3);
    world.run_ms(3_000);
    let suspects = |router: &world::Router, id: ids::Incarnation| {
        let record = router.node.members().find(id);
        record.is_some_and(|record| record.health >= members::Health::Suspect)
    };
    let running = world.routers.iter().filter(|router| router.incarnation != killed);
    let suspecting = running.filter(|router| suspects(router, killed)).count();
    assert!(suspecting > 0, "no router suspects the killed member");
}

#[test]
fn a_router_that_replaces_a_killed_holder_at_its_address_closes_the_holders_grants() {
    let mut world = fleet();
    let holder = holders(&world)[0];
    let earlier = world.routers[holder].incarnation;
    // A holder keeps tokens only after requests have spent from the budget.
    world.admit(holder, 0, 0, BOUND_TOKENS, BOUND_TOKENS, false);
    world.run_ms(2_000);
    assert!(world.ledger(0).grants.contains_key(&earlier));
    world.kill(holder);
    world.restart(holder, true);
    world.run_ms(10_000);
    // Another router is the holder now. Only the successor at the address can close the grants of the killed router.
    world.admit((holder + 1) % ROUTERS, 0, 1, BOUND_TOKENS, BOUND_TOKENS, false);
    world.run_ms(10_000);
    let ledger = world.ledger(0);
    assert!(
        !ledger.grants.contains_key(&earlier),
        "the killed holder's grant is not closed: {:?}",
        ledger.grants
    );
    assert!(ledger.written_off_tokens > 0);
}
