//! The ledger and its writer: what a lost reply, a lost race or an end may and may not change.

#![allow(clippy::unwrap_used, missing_docs)]

mod ledger_bench;

use doorswitch_core::{ids, ledger, ledger_writer, store};
use ledger_bench::{Bench, OTHER, OWN};
use quickcheck::quickcheck;

#[test]
fn a_draw_without_a_reply_counts_only_once_it_is_read_back() {
    let mut bench = Bench::new(100_000);
    let (sent, _) = bench.read();
    let sent = sent.unwrap();
    bench.reply(sent.call, store::Reply::Unknown);
    assert_eq!(bench.account().free_tokens(), 0);
    bench.apply(&sent);
    bench.read();
    assert_eq!(bench.account().free_tokens(), bench.held_in_store());
    assert!(bench.held_in_store() > 0);
}

#[test]
fn a_draw_that_never_arrived_is_no_token() {
    let mut bench = Bench::new(100_000);
    let (sent, _) = bench.read();
    bench.reply(sent.unwrap().call, store::Reply::Unknown);
    let (again, _) = bench.read();
    bench.assert_safe();
    let again = again.unwrap();
    let reply = bench.apply(&again);
    bench.reply(again.call, reply);
    assert_eq!(bench.account().free_tokens(), bench.held_in_store());
}

#[test]
fn returned_tokens_are_out_of_reach_from_the_moment_the_write_is_made() {
    let mut bench = Bench::with_surplus();
    let before = bench.account().free_tokens();
    let (sent, _) = bench.read();
    assert!(sent.is_some());
    assert!(bench.account().free_tokens() < before);
}

#[test]
fn a_return_that_may_still_arrive_stays_out_of_reach() {
    let mut bench = Bench::with_surplus();
    let (sent, _) = bench.read();
    let sent = sent.unwrap();
    bench.reply(sent.call, store::Reply::Unknown);
    // The store still shows the old value: the write may be on its way.
    let (_, _) = bench.read();
    bench.apply(&sent);
    bench.assert_safe();
}

#[test]
fn a_return_that_lost_its_race_comes_back() {
    let mut bench = Bench::with_surplus();
    let before = bench.account().free_tokens();
    let (sent, _) = bench.read();
    let sent = sent.unwrap();
    bench.index += 1;
    let reply = bench.apply(&sent);
    assert_eq!(reply, store::Reply::Conflict);
    bench.reply(sent.call, reply);
    bench.shard.pay("w/main", "second", 1).unwrap();
    bench.index += 1;
    let (again, _) = bench.read();
    bench.assert_safe();
    let again = again.unwrap();
    bench.index += 1;
    bench.reply(again.call, store::Reply::Conflict);
    bench.read();
    assert!(bench.account().free_tokens() <= before);
}

#[test]
fn a_holder_that_was_written_off_draws_no_more() {
    let mut bench = Bench::new(100_000);
    bench.round();
    bench.shard.write_off(OWN);
    bench.index += 1;
    let (sent, events) = bench.read();
    assert!(sent.is_none());
    assert!(events.contains(&ledger_writer::Event::WrittenOff));
}

#[test]
fn a_stopping_holder_closes_with_its_last_word() {
    let mut bench = Bench::new(100_000);
    bench.round();
    let slot = bench.budget;
    let reservation = bench.table.reserve(slot, 100).unwrap().dispatch();
    bench.table.settle(reservation, 60);
    bench.stopping = true;
    bench.round();
    let budget = &bench.shard.budgets["w/main"];
    assert!(budget.grants.is_empty());
    assert_eq!(budget.remaining_tokens(), Some(100_000 - 60));
    assert_eq!(budget.closed_consumed_tokens, 60);
}

#[test]
fn a_stopping_holder_returns_what_is_free_while_a_request_still_runs() {
    let mut bench = Bench::new(100_000);
    bench.round();
    let slot = bench.budget;
    let running = bench.table.reserve(slot, 100).unwrap().dispatch();
    bench.stopping = true;
    bench.round();
    assert_eq!(bench.shard.budgets["w/main"].remaining_tokens(), Some(100_000 - 100));
    assert!(bench.table.reserve(slot, 1).is_none(), "what was returned is not spent");
    bench.table.settle(running, 60);
    bench.round();
    let budget = &bench.shard.budgets["w/main"];
    assert!(budget.grants.is_empty());
    assert_eq!(budget.remaining_tokens(), Some(100_000 - 60));
}

#[test]
fn an_unreadable_ledger_is_left_alone() {
    let mut bench = Bench::new(100);
    let call = ids::CallId(77);
    bench.start(call);
    let found = store::Reply::Found { index: store::Position::new(0, 9), value: b"{".to_vec() };
    let (sent, events) = bench.reply(call, found);
    assert!(sent.is_none());
    assert!(matches!(events[..], [ledger_writer::Event::Unusable(_)]));
}

#[test]
fn a_payment_applies_once_and_not_with_another_amount() {
    let mut shard = ledger::Shard::default();
    assert!(shard.pay("w/main", "one", 5).unwrap());
    assert!(!shard.pay("w/main", "one", 5).unwrap());
    assert!(shard.pay("w/main", "one", 6).is_err());
    assert!(shard.pay("w/main", "two", u64::MAX).is_err());
    assert_eq!(shard.budgets["w/main"].paid_tokens, 5);
}

#[test]
fn a_dead_holders_grant_counts_as_spent() {
    let mut shard = ledger::Shard::default();
    shard.pay("w/main", "one", 1_000).unwrap();
    shard.draw("w/main", OTHER, 400);
    assert_eq!(shard.write_off(OTHER), 400);
    assert_eq!(shard.budgets["w/main"].remaining_tokens(), Some(600));
    assert_eq!(shard.write_off(OTHER), 0);
}

#[test]
fn a_write_off_tells_each_budget_and_what_its_holder_said_last() {
    let mut shard = ledger::Shard::default();
    for budget in ["w/main", "w/side"] {
        shard.pay(budget, "one", 1_000).unwrap();
        shard.draw(budget, OTHER, 400);
    }
    let main = shard.budgets.get_mut("w/main").unwrap().grants.get_mut(&OTHER).unwrap();
    main.consumed_tokens = 150;
    let dead = shard.grants_of(OTHER);
    let told: Vec<(&str, u64)> =
        dead.iter().map(|it| (it.budget.as_str(), it.written_off_tokens())).collect();
    assert_eq!(told, [("w/main", 250), ("w/side", 400)]);
    assert_eq!(shard.write_off(OTHER), 650);
    assert!(shard.grants_of(OTHER).is_empty());
}

quickcheck! {
    /// Whatever is drawn, returned, closed and written off: what remains is never negative, and what
    /// is granted never more than what was paid.
    fn the_ledger_never_grants_more_than_was_paid(ops: Vec<(u8, u8, u16)>) -> bool {
        let mut shard = ledger::Shard::default();
        shard.pay("w/main", "one", 10_000).unwrap();
        for (kind, holder, tokens) in ops {
            let (holder, tokens) = (ids::Incarnation(u64::from(holder % 5)), u64::from(tokens));
            match kind % 4 {
                0 | 1 => { shard.draw("w/main", holder, tokens); }
                2 => { shard.return_tokens("w/main", holder, tokens); }
                _ if tokens % 2 == 0 => { shard.write_off(holder); }
                _ => {
                    let granted = shard.budgets["w/main"].grants.get(&holder);
                    let consumed_tokens = granted.map_or(0, |grant| grant.granted_tokens / 2);
                    let closing = ledger::FinalTotals { consumed_tokens, ..Default::default() };
                    shard.close("w/main", holder, closing);
                }
            }
            if shard.budgets["w/main"].remaining_tokens().is_none() {
                return false;
            }
        }
        ledger::Shard::decode(&shard.encode()).unwrap() == shard
    }
}
