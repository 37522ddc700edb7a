//! Tokens that pass from router to router: none is made, whatever gets lost or comes again.

#![allow(clippy::unwrap_used, missing_docs)]

mod world;

use doorswitch_core::{grants, message, node};
use world::{Shape, TICK_MS, World};

const PAID_TOKENS: u64 = 10_000;
const GIVEN_TOKENS: u64 = 5_000;
const PATIENCE_MS: u64 = 5_000;

fn pair() -> World {
    let shape = Shape { routers: 2, regions: 1, paid_tokens: PAID_TOKENS, ..Shape::default() };
    let mut world = World::new(shape, 3);
    world.run_ms(2_000);
    world
}

fn account(world: &World, at: usize) -> &grants::Account {
    let grants = world.routers[at].node.grants();
    grants.account(grants.find(&world.budget_name(0)).unwrap())
}

fn run_until(world: &mut World, what: &str, condition: impl Fn(&World) -> bool) {
    let end_ms = world.now_ms + PATIENCE_MS;
    while !condition(world) {
        assert!(world.now_ms < end_ms, "never came: {what}");
        world.run_ms(TICK_MS);
    }
}

#[test]
fn a_transfer_that_comes_again_is_not_applied_by_the_next_life_at_the_address() {
    let mut world = pair();
    // The first router draws nearly all and spends none of it.
    let all = PAID_TOKENS - 1_500;
    world.admit(0, 0, 1, all, 0, false);
    run_until(&mut world, "a draw", |world| world.given[0].dispatched);
    world.faults.store_out = true;
    run_until(&mut world, "an end", |world| world.given[0].end.is_some());

    // The second one is given tokens; its word of it is lost.
    world.faults.delay_max_ms = 60;
    world.admit(1, 0, 2, GIVEN_TOKENS, GIVEN_TOKENS, false);
    run_until(&mut world, "a transfer", |world| {
        world.routers[0].node.counters().transfers_sent > 0
    });
    world.faults.lose_messages_percent = 100;
    run_until(&mut world, "a dispatch", |world| world.given[1].dispatched);

    // It dies, and the transfer is sent again to whoever has its address now.
    world.kill(1);
    world.restart(1, true);
    world.faults.lose_messages_percent = 0;
    world.run_ms(PATIENCE_MS);
    world.faults.store_out = false;
    run_until(&mut world, "a configuration", |world| world.routers[1].node.config_version() > 0);
    world.run_ms(PATIENCE_MS);
    assert_eq!(account(&world, 1).received_tokens, 0, "applied by another life");
    world.admit(0, 0, 3, account(&world, 0).free_tokens(), PAID_TOKENS, false);
    world.admit(1, 0, 4, GIVEN_TOKENS, GIVEN_TOKENS, false);
    world.run_ms(PATIENCE_MS);
}

#[test]
fn a_transfer_that_was_declined_is_not_applied_by_a_copy_that_comes_later() {
    let mut world = pair();
    world.faults.store_out = true;
    world.kill(1);
    world.restart(1, true);
    let (from, to) = (world.routers[0].incarnation, world.routers[1].incarnation);
    let budget = world.budget_name(0);
    let transfer = |number| message::Envelope {
        from,
        to,
        message: message::Message::Transfer {
            number,
            open_from: 1,
            in_reply_to: 0,
            budget: budget.clone(),
            tokens: GIVEN_TOKENS,
        },
    };
    // It has no configuration yet, so it declines; its sender has the tokens back.
    let now_ms = world.now_ms;
    world.routers[1].node.handle_message(transfer(1), now_ms);
    world.faults.store_out = false;
    run_until(&mut world, "a ready router", |world| {
        world.routers[1].node.lifecycle() == node::Lifecycle::Ready
    });
    let now_ms = world.now_ms;
    world.routers[1].node.handle_message(transfer(1), now_ms);
    assert_eq!(account(&world, 1).received_tokens, 0, "its sender has them back");
    world.routers[1].node.handle_message(transfer(2), now_ms);
    assert_eq!(account(&world, 1).received_tokens, GIVEN_TOKENS, "a new one is applied");
}
