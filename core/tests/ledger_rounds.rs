//! Rounds of the ledger's writer: when there is one, what it reads and writes, and how much it draws.

#![allow(clippy::unwrap_used, missing_docs)]

mod ledger_bench;

use doorswitch_core::{config, grants, ids, ledger, ledger_writer, store};
use ledger_bench::{Bench, OTHER, context, description};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Starts a second round after a first one whose reply told the index of the value.
fn second_round(bench: &mut Bench) -> (ids::CallId, store::Request) {
    let (sent, _) = bench.read();
    let sent = sent.unwrap();
    assert_eq!(bench.apply(&sent), store::Reply::Written { era: 0 });
    bench.reply(sent.call, store::Reply::WrittenAt { index: bench.position() });
    let slot = bench.budget;
    let reservation = bench.table.reserve(slot, 1_000).unwrap().dispatch();
    bench.table.settle(reservation, 1_000);
    bench.now_ms += 1_000;
    let call = ids::CallId(500);
    (call, bench.start(call))
}

#[test]
fn a_value_whose_index_is_known_is_written_without_reading_it() {
    let mut bench = Bench::new(100_000);
    let (_, request) = second_round(&mut bench);
    let store::Request::Write { expected_index, .. } = request else {
        panic!("a write, not {request:?}");
    };
    assert_eq!(expected_index, bench.position());
}

#[test]
fn a_write_that_was_overtaken_goes_on_from_what_lies_there() {
    let mut bench = Bench::new(100_000);
    let (call, _) = second_round(&mut bench);
    bench.shard.draw("w/main", OTHER, 90_000);
    bench.index += 1;
    let overtaken =
        store::Reply::ConflictWith { index: bench.position(), value: bench.shard.encode() };
    let (sent, _) = bench.reply(call, overtaken);
    let sent = sent.unwrap();
    assert_eq!(sent.expected_index, bench.position());
    let draft = ledger::Shard::decode(&sent.value).unwrap();
    assert_eq!(draft.budgets["w/main"].grants[&OTHER].granted_tokens, 90_000);
    assert!(draft.budgets["w/main"].remaining_tokens().is_some());
}

#[test]
fn a_small_fleet_tries_again_within_half_a_second_however_long_the_store_was_away() {
    let mut bench = Bench::new(100_000);
    for call in 0..40 {
        let call = ids::CallId(600 + call);
        bench.start(call);
        bench.reply(call, store::Reply::Unknown);
        bench.now_ms += 400;
        assert!(bench.writer.may_be_due(bench.now_ms), "a round may start again after 400 ms");
    }
}

#[test]
fn an_amount_that_an_older_configuration_named_does_not_replace_a_newer_one() {
    let mut shard = ledger::Shard::default();
    shard.set_prepaid("w/main", 500, 4);
    shard.set_prepaid("w/main", 900, 3);
    assert_eq!(shard.budgets["w/main"].paid_tokens, 500);
    shard.set_prepaid("w/main", 700, 5);
    assert_eq!(shard.budgets["w/main"].paid_tokens, 700);
}

#[test]
fn a_lowered_amount_is_not_spent_from_until_the_ledger_was_read_at_its_version() {
    let mut bench = Bench::new(0);
    bench.shard = ledger::Shard::default();
    let slot = bench.budget;
    let cover =
        config::Cover { cover_s: 10, minimum_grant_tokens: 50_000, held_percent: 50, holders: 0 };
    let prepaid = |tokens, version| Some(grants::Prepaid { tokens, version });
    bench.table.declare_prepaid("w/main", cover, prepaid(100_000, 1), 0);
    bench.round();
    bench.round();
    let held = bench.account().free_tokens();
    assert!(held > 1_000, "{held} tokens are in hand");
    bench.table.declare_prepaid("w/main", cover, prepaid(1_000, 2), 0);
    assert!(bench.table.reserve(slot, 500).is_none(), "not before the ledger was read");
    bench.round();
    bench.round();
    let free = bench.account().free_tokens();
    assert!(free <= 1_000, "{free} tokens of {held} are still here: {:?}", bench.shard);
    assert!(bench.table.reserve(slot, 500).is_some() || bench.account().free_tokens() < 500);
}

/// An account of a budget of which others hold the share, and of which this router spent 10,000 tokens in a
/// second; `undrawn_tokens` are left.
fn holder_of(undrawn_tokens: u64) -> (grants::Table, ids::BudgetSlot) {
    let mut table = grants::Table::new(1);
    let cover =
        config::Cover { cover_s: 10, minimum_grant_tokens: 0, held_percent: 40, holders: 1 };
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
fn of_a_budget_that_ends_soon_a_smaller_share_is_held() {
    let share_milli = |undrawn_tokens: u64| {
        let (table, budget) = holder_of(undrawn_tokens);
        let account = table.account(budget);
        let lasts_ms = undrawn_tokens * 1_000 / account.rate_tokens_per_s();
        (account.target_tokens() * 1_000 / undrawn_tokens, lasts_ms)
    };
    let (long, lasts_ms) = share_milli(225_000);
    assert!((20_000..30_000).contains(&lasts_ms), "{lasts_ms}");
    let (short, _) = share_milli(18_000);
    assert!(short * 3 < long, "{short} and {long} in a thousand");
    let (ample, _) = share_milli(30_000_000);
    assert!(ample <= 10, "seconds of what is spent, however much was paid: {ample}");
}

/// The holder of a budget of which 100,000 tokens are undrawn and from which it has not spent.
fn new_holder(others_rate_tokens_per_s: u64, minimum_grant_tokens: u64) -> grants::Account {
    let mut table = grants::Table::new(1);
    let cover = config::Cover { cover_s: 10, minimum_grant_tokens, held_percent: 40, holders: 1 };
    let budget = table.declare("w/main", cover, 0);
    let account = table.account_mut(budget);
    account.holder = true;
    account.remaining_tokens = Some(100_000);
    account.others_rate_tokens_per_s = others_rate_tokens_per_s;
    account.clone()
}

#[test]
fn a_holder_has_no_more_in_hand_than_what_is_spent_calls_for() {
    assert_eq!(new_holder(0, 0).target_tokens(), 0, "nobody has spent anything");
    assert_eq!(new_holder(0, 2_000).target_tokens(), 2_000, "the minimum that its settings say");
    assert_eq!(new_holder(200, 0).target_tokens(), 0, "what others spend they have in hand");
    assert_eq!(new_holder(0, 1_000_000).target_tokens(), 40_000, "never more than the share");
}

#[test]
fn what_a_former_holder_reported_as_free_is_not_counted_as_unspent() {
    let (mut table, budget) = holder_of(50_000);
    let target_tokens = table.account(budget).target_tokens();
    assert!(target_tokens > 0);
    // It handed them on when it ceased to hold: they are spent, or free here.
    table.account_mut(budget).held_tokens = 100_000;
    assert_eq!(table.account(budget).target_tokens(), target_tokens);
}

#[test]
fn several_holders_have_no_more_in_hand_than_what_is_spent_calls_for() {
    let mut table = grants::Table::new(1);
    let cover =
        config::Cover { cover_s: 10, minimum_grant_tokens: 0, held_percent: 40, holders: 2 };
    let budget = table.declare("w/main", cover, 0);
    let account = table.account_mut(budget);
    account.holder = true;
    account.routers = 2;
    account.remaining_tokens = Some(1_000_000);
    assert_eq!(account.target_tokens(), 0, "nobody has spent anything");
    account.granted_tokens = 1_000;
    account.consumed_tokens = 1_000;
    table.measure_rates(1_000);
    let account = table.account(budget);
    let cover_tokens = 10 * account.rate_tokens_per_s();
    assert!(cover_tokens > 0);
    assert_eq!(account.target_tokens(), cover_tokens, "ten seconds of its spending");
}

#[test]
fn needs_that_come_one_by_one_at_a_router_that_holds_nothing_take_few_draws() {
    let mut table = grants::Table::new(1);
    let cover =
        config::Cover { cover_s: 10, minimum_grant_tokens: 0, held_percent: 40, holders: 1 };
    let budget = table.declare("w/main", cover, 0);
    let mut left_tokens = 1_000_000;
    let mut draws = 0;
    for need in 0..200 {
        let account = table.account_mut(budget);
        account.draws_on_demand = true;
        account.shortage_tokens = 1_000;
        if account.needs_draw() {
            let drawn_tokens = account.draw_tokens(left_tokens, 1);
            assert!(drawn_tokens >= 1_000);
            account.granted_tokens += drawn_tokens;
            left_tokens -= drawn_tokens;
            draws += 1;
        }
        account.shortage_tokens = 0;
        account.consumed_tokens += 1_000;
        table.measure_rates(10 * (need + 1));
    }
    assert!(draws <= 20, "{draws} draws for 200 needs");
    let account = table.account(budget);
    assert!(account.free_tokens() <= 3 * account.rate_tokens_per_s(), "{account:?}");
}

#[test]
fn a_value_is_read_by_whoever_asks_for_it_until_an_answer_comes() {
    let mut table = grants::Table::new(1);
    let cover =
        config::Cover { cover_s: 10, minimum_grant_tokens: 0, held_percent: 33, holders: 1 };
    table.declare("w/main", cover, 0);
    let mut writer = ledger_writer::Writer::new(0);
    let mut rng = StdRng::seed_from_u64(1);
    let description = description();
    assert!(!writer.due(&table, &context(&description, 1_000, false)), "it holds nothing");
    writer.request_sync();
    let mut now_ms = 1_000;
    for number in 1..4 {
        assert!(writer.due(&table, &context(&description, now_ms, false)), "round {number}");
        let call = ids::CallId(number);
        let asked = context(&description, now_ms, false);
        writer.start(call, &mut table, &asked);
        writer.handle_reply(call, store::Reply::Unknown, &mut table, &asked, &mut rng);
        now_ms += 5_000;
    }
    let asked = context(&description, now_ms, false);
    writer.start(ids::CallId(4), &mut table, &asked);
    writer.handle_reply(
        ids::CallId(4),
        store::Reply::Missing { era: 0 },
        &mut table,
        &asked,
        &mut rng,
    );
    assert!(!writer.due(&table, &context(&description, now_ms + 5_000, false)), "it was answered");
}
