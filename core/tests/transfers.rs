//! Guards against tokens that are created when messages of a transfer are lost, repeated or delayed.

#![allow(clippy::unwrap_used, missing_docs)]

mod world;

use doorswitch_core::{grants, message, node};
use world::{Shape, TICK_MS, World};

const PAID_TOKENS: u64 = 10_000;
const TRANSFER_TOKENS: u64 = 5_000;
const TIMEOUT_MS: u64 = 5_000;

fn pair() -> World {
    let shape = Shape { routers: 2, regions: 1, paid_tokens: PAID_TOKENS, ..Shape::default() };
    let mut world = World::new(shape, 3);
    world.run_ms(2_000);
    world
}

fn account(world: &World, router: usize) -> &grants::Account {
    let grants = world.routers[router].node.grants();
    grants.account(grants.find(&world.budget_name(0)).unwrap())
}

fn run_until(world: &mut World, what: &str, condition: impl Fn(&World) -> bool) {
    let end_ms = world.now_ms + TIMEOUT_MS;
    while !condition(world) {
        assert!(world.now_ms < end_ms, "not reached within {TIMEOUT_MS} ms: {what}");
        world.run_ms(TICK_MS);
    }
}

#[test]
fn a_repeated_transfer_is_not_applied_by_the_next_router_at_the_address() {
    let mut world = pair();
    // Router 0 draws nearly all tokens and spends none of them.
    let all = PAID_TOKENS - 1_500;
    world.admit(0, 0, 1, all, 0, false);
    run_until(&mut world, "a draw", |world| world.requests[0].dispatched);
    world.faults.store_unavailable = true;
    run_until(&mut world, "an end", |world| world.requests[0].end.is_some());

    // Router 1 receives a transfer, and its acknowledgement is lost.
    world.faults.delay_max_ms = 60;
    world.admit(1, 0, 2, TRANSFER_TOKENS, TRANSFER_TOKENS, false);
    run_until(&mut world, "a transfer", |world| {
        world.routers[0].node.counters().transfers_sent > 0
    });
    world.faults.lose_messages_percent = 100;
    run_until(&mut world, "a dispatch", |world| world.requests[1].dispatched);

    // Router 1 is killed, and the transfer is sent again to the new router at its address.
    world.kill(1);
    world.restart(1, true);
    world.faults.lose_messages_percent = 0;
    world.run_ms(TIMEOUT_MS);
    world.faults.store_unavailable = false;
    run_until(&mut world, "a configuration", |world| world.routers[1].node.config_version() > 0);
    world.run_ms(TIMEOUT_MS);
    assert_eq!(
        account(&world, 1).received_tokens,
        0,
        "the transfer was applied by the next router at the address"
    );
    world.admit(0, 0, 3, account(&world, 0).free_tokens(), PAID_TOKENS, false);
    world.admit(1, 0, 4, TRANSFER_TOKENS, TRANSFER_TOKENS, false);
    world.run_ms(TIMEOUT_MS);
}

#[test]
fn a_declined_transfer_is_not_applied_when_a_copy_arrives_later() {
    let mut world = pair();
    world.faults.store_unavailable = true;
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
            tokens: TRANSFER_TOKENS,
        },
    };
    // Router 1 has no configuration yet and declines the transfer, so the sender keeps the tokens.
    let now_ms = world.now_ms;
    world.routers[1].node.handle_message(transfer(1), now_ms);
    world.faults.store_unavailable = false;
    run_until(&mut world, "a ready router", |world| {
        world.routers[1].node.lifecycle() == node::Lifecycle::Ready
    });
    let now_ms = world.now_ms;
    world.routers[1].node.handle_message(transfer(1), now_ms);
    assert_eq!(account(&world, 1).received_tokens, 0, "a declined transfer was applied");
    world.routers[1].node.handle_message(transfer(2), now_ms);
    assert_eq!(
        account(&world, 1).received_tokens,
        TRANSFER_TOKENS,
        "a new transfer was not applied"
    );
}
