//! Guards against unnecessary reads of the ledger writer, late or lost syncs, and draws of too many or too few tokens.

#![allow(clippy::unwrap_used, missing_docs)]

mod ledger_harness;

use doorswitch_core::{config, grants, ids, ledger, ledger_writer, store};
use ledger_harness::{Harness, OTHER, context, description};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Starts a second sync after a first one whose reply contained the index of the value.
fn start_second_sync(harness: &mut Harness) -> (ids::CallId, store::Request) {
    let (sent, _) = harness.read();
    let sent = sent.unwrap();
    assert_eq!(harness.apply(&sent), store::Reply::Written { era: 0 });
    harness.reply(sent.call, store::Reply::WrittenAt { index: harness.position() });
    let slot = harness.budget;
    let reservation = harness.table.reserve(slot, 1_000, harness.now_ms).unwrap().dispatch();
    harness.table.settle(reservation, 1_000);
    harness.now_ms += 1_000;
    let call = ids::CallId(500);
    (call, harness.start(call))
}

#[test]
fn a_value_whose_index_is_known_is_written_without_reading_it() {
    let mut harness = Harness::new(100_000);
    let (_, request) = start_second_sync(&mut harness);
    let store::Request::Write { expected_index, .. } = request else {
        panic!("expected a write, not {request:?}");
    };
    assert_eq!(expected_index, harness.position());
}

#[test]
fn a_write_that_conflicted_is_repeated_on_the_newer_value() {
    let mut harness = Harness::new(100_000);
    let (call, _) = start_second_sync(&mut harness);
    harness.shard.draw("w/main", OTHER, 90_000);
    harness.index += 1;
    let conflict =
        store::Reply::ConflictWith { index: harness.position(), value: harness.shard.encode() };
    let (sent, _) = harness.reply(call, conflict);
    let sent = sent.unwrap();
    assert_eq!(sent.expected_index, harness.position());
    let draft = ledger::Shard::decode(&sent.value).unwrap();
    assert_eq!(draft.budgets["w/main"].grants[&OTHER].granted_tokens, 90_000);
    assert!(draft.budgets["w/main"].remaining_tokens().is_some());
}

#[test]
fn a_small_fleet_retries_within_400_ms_after_a_store_outage_of_any_length() {
    let mut harness = Harness::new(100_000);
    for call in 0..40 {
        let call = ids::CallId(600 + call);
        harness.start(call);
        harness.reply(call, store::Reply::Unknown);
        harness.now_ms += 400;
        assert!(
            harness.writer.may_be_due(harness.now_ms),
            "no sync is due 400 ms after a failed one"
        );
    }
}

#[test]
fn a_prepaid_amount_of_an_older_configuration_does_not_replace_a_newer_one() {
    let mut shard = ledger::Shard::default();
    shard.set_prepaid("w/main", 500, 4);
    shard.set_prepaid("w/main", 900, 3);
    assert_eq!(shard.budgets["w/main"].paid_tokens, 500);
    shard.set_prepaid("w/main", 700, 5);
    assert_eq!(shard.budgets["w/main"].paid_tokens, 700);
}

#[test]
fn a_lowered_budget_is_not_spent_until_the_ledger_was_read_at_its_version() {
    let mut harness = Harness::new(0);
    harness.shard = ledger::Shard::default();
    let slot = harness.budget;
    let cover = config::Cover {
        cover_s: 10,
        minimum_grant_tokens: 50_000,
        held_percent: 50,
        holders: 0,
        loss_spread_s: 0,
    };
    let prepaid = |tokens, version| Some(grants::Prepaid { tokens, version });
    harness.table.declare_prepaid("w/main", cover, prepaid(100_000, 1), 0);
    harness.sync();
    harness.sync();
    let before = harness.account().free_tokens();
    assert!(before > 1_000, "only {before} free tokens");
    harness.table.declare_prepaid("w/main", cover, prepaid(1_000, 2), 0);
    assert!(
        harness.table.reserve(slot, 500, harness.now_ms).is_none(),
        "reserved before the ledger was read"
    );
    harness.sync();
    harness.sync();
    let free = harness.account().free_tokens();
    assert!(free <= 1_000, "{free} of {before} tokens are still free: {:?}", harness.shard);
    assert!(
        harness.table.reserve(slot, 500, harness.now_ms).is_some()
            || harness.account().free_tokens() < 500
    );
}

/// Returns the accounts of a holder of a budget that has spent 10,000 tokens in a second, while `undrawn_tokens` are
/// left in the ledger.
fn holder_of(undrawn_tokens: u64) -> (grants::Table, ids::BudgetSlot) {
    let mut table = grants::Table::new(1);
    let cover = config::Cover {
        cover_s: 10,
        minimum_grant_tokens: 0,
        held_percent: 40,
        holders: 1,
        loss_spread_s: 0,
    };
    let budget = table.declare("w/main", cover, 0);
    let account = table.account_mut(budget);
    account.holder = true;
    account.granted_tokens = 10_000;
    account.consumed_tokens = 10_000;
    account.remaining_tokens = Some(undrawn_tokens);
    table.measure_rates(1_000);
    (table, budget)
}

#[test]
fn a_holder_keeps_a_smaller_share_of_a_budget_that_is_almost_spent() {
    let share_milli = |undrawn_tokens: u64| {
        let (table, budget) = holder_of(undrawn_tokens);
        let account = table.account(budget);
        let lasts_ms = undrawn_tokens * 1_000 / account.rate_tokens_per_s();
        (account.target_tokens() * 1_000 / undrawn_tokens, lasts_ms)
    };
    let (long, lasts_ms) = share_milli(225_000);
    assert!((20_000..30_000).contains(&lasts_ms), "the budget lasts for {lasts_ms} ms");
    let (short, _) = share_milli(18_000);
    assert!(
        short * 3 < long,
        "a budget that is almost spent has {short} in a thousand held, another one {long}"
    );
    let (ample, _) = share_milli(30_000_000);
    assert!(
        ample <= 10,
        "the target follows the paid tokens instead of the spending: {ample} in a thousand"
    );
}

/// Returns the account of a holder that has spent nothing from its budget, of which 100,000 tokens are undrawn.
fn new_holder(others_rate_tokens_per_s: u64, minimum_grant_tokens: u64) -> grants::Account {
    let mut table = grants::Table::new(1);
    let cover = config::Cover {
        cover_s: 10,
        minimum_grant_tokens,
        held_percent: 40,
        holders: 1,
        loss_spread_s: 0,
    };
    let budget = table.declare("w/main", cover, 0);
    let account = table.account_mut(budget);
    account.holder = true;
    account.remaining_tokens = Some(100_000);
    account.others_rate_tokens_per_s = others_rate_tokens_per_s;
    account.clone()
}

#[test]
fn a_holder_keeps_no_more_tokens_than_its_spending_requires() {
    assert_eq!(
        new_holder(0, 0).target_tokens(),
        0,
        "a holder keeps tokens although none were spent"
    );
    assert_eq!(
        new_holder(0, 2_000).target_tokens(),
        2_000,
        "a new holder does not keep the configured minimum"
    );
    assert_eq!(
        new_holder(200, 0).target_tokens(),
        0,
        "a holder keeps the tokens that other routers spend and keep themselves"
    );
    assert_eq!(
        new_holder(0, 1_000_000).target_tokens(),
        40_000,
        "the minimum exceeds the held share"
    );
}

#[test]
fn free_tokens_that_a_former_holder_reported_are_not_counted_as_unspent() {
    let (mut table, budget) = holder_of(50_000);
    let target_tokens = table.account(budget).target_tokens();
    assert!(target_tokens > 0);
    // The former holder transferred them when it stopped being a holder, so they are spent or free in this account.
    table.account_mut(budget).held_tokens = 100_000;
    assert_eq!(table.account(budget).target_tokens(), target_tokens);
}

#[test]
fn several_holders_keep_no_more_tokens_than_their_spending_requires() {
    let mut table = grants::Table::new(1);
    let cover = config::Cover {
        cover_s: 10,
        minimum_grant_tokens: 0,
        held_percent: 40,
        holders: 2,
        loss_spread_s: 0,
    };
    let budget = table.declare("w/main", cover, 0);
    let account = table.account_mut(budget);
    account.holder = true;
    account.routers = 2;
    account.remaining_tokens = Some(1_000_000);
    assert_eq!(account.target_tokens(), 0, "holders keep tokens although none were spent");
    account.granted_tokens = 1_000;
    account.consumed_tokens = 1_000;
    table.measure_rates(1_000);
    let account = table.account(budget);
    let cover_tokens = 10 * account.rate_tokens_per_s();
    assert!(cover_tokens > 0);
    assert_eq!(
        account.target_tokens(),
        cover_tokens,
        "a holder does not keep ten seconds of its spending"
    );
}

#[test]
fn single_requests_at_a_router_without_headroom_cause_few_draws() {
    let mut table = grants::Table::new(1);
    let cover = config::Cover {
        cover_s: 10,
        minimum_grant_tokens: 0,
        held_percent: 40,
        holders: 1,
        loss_spread_s: 0,
    };
    let budget = table.declare("w/main", cover, 0);
    let mut undrawn_tokens = 1_000_000;
    let mut draws = 0;
    for request in 0..200 {
        let account = table.account_mut(budget);
        account.draws_on_demand = true;
        account.shortage_tokens = 1_000;
        if account.needs_draw() {
            let drawn_tokens = account.draw_tokens(undrawn_tokens, 1);
            assert!(drawn_tokens >= 1_000);
            account.granted_tokens += drawn_tokens;
            undrawn_tokens -= drawn_tokens;
            draws += 1;
        }
        account.shortage_tokens = 0;
        account.consumed_tokens += 1_000;
        table.measure_rates(10 * (request + 1));
    }
    assert!(draws <= 20, "{draws} draws for 200 requests");
    let account = table.account(budget);
    assert!(account.free_tokens() <= 3 * account.rate_tokens_per_s(), "{account:?}");
}

#[test]
fn a_requested_read_is_repeated_until_it_is_answered() {
    let mut table = grants::Table::new(1);
    let cover = config::Cover {
        cover_s: 10,
        minimum_grant_tokens: 0,
        held_percent: 33,
        holders: 1,
        loss_spread_s: 0,
    };
    table.declare("w/main", cover, 0);
    let mut writer = ledger_writer::Writer::new(0);
    let mut rng = StdRng::seed_from_u64(1);
    let description = description();
    assert!(
        !writer.due(&table, &context(&description, 1_000, false)),
        "a sync is due at a router without grants"
    );
    writer.request_sync();
    let mut now_ms = 1_000;
    for number in 1..4 {
        assert!(
            writer.due(&table, &context(&description, now_ms, false)),
            "no sync is due before call {number}"
        );
        let call = ids::CallId(number);
        let writer_context = context(&description, now_ms, false);
        writer.start(call, &mut table, &writer_context);
        writer.handle_reply(call, store::Reply::Unknown, &mut table, &writer_context, &mut rng);
        now_ms += 5_000;
    }
    let writer_context = context(&description, now_ms, false);
    writer.start(ids::CallId(4), &mut table, &writer_context);
    writer.handle_reply(
        ids::CallId(4),
        store::Reply::Missing { era: 0 },
        &mut table,
        &writer_context,
        &mut rng,
    );
    assert!(
        !writer.due(&table, &context(&description, now_ms + 5_000, false)),
        "a sync is due although the read was answered"
    );
}
