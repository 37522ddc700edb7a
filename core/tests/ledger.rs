//! Guards against tokens that the ledger or its writer creates or loses when a reply is lost, a write conflicts or a
//! router shuts down.

#![allow(clippy::unwrap_used, missing_docs)]

mod ledger_harness;

use doorswitch_core::{grants, ids, ledger, ledger_writer, store};
use ledger_harness::{Harness, OTHER, OWN};
use quickcheck::quickcheck;

#[test]
fn a_draw_without_a_reply_counts_only_once_it_is_read_back() {
    let mut harness = Harness::new(100_000);
    let (sent, _) = harness.read();
    let sent = sent.unwrap();
    harness.reply(sent.call, store::Reply::Unknown);
    assert_eq!(harness.account().free_tokens(), 0);
    harness.apply(&sent);
    harness.read();
    assert_eq!(harness.account().free_tokens(), harness.granted_in_store());
    assert!(harness.granted_in_store() > 0);
}

#[test]
fn a_draw_that_never_arrived_grants_no_tokens() {
    let mut harness = Harness::new(100_000);
    let (sent, _) = harness.read();
    harness.reply(sent.unwrap().call, store::Reply::Unknown);
    let (again, _) = harness.read();
    harness.assert_safe();
    let again = again.unwrap();
    let reply = harness.apply(&again);
    harness.reply(again.call, reply);
    assert_eq!(harness.account().free_tokens(), harness.granted_in_store());
}

#[test]
fn returned_tokens_cannot_be_spent_once_the_write_is_sent() {
    let mut harness = Harness::with_surplus();
    let before = harness.account().free_tokens();
    let (sent, _) = harness.read();
    assert!(sent.is_some());
    assert!(harness.account().free_tokens() < before);
}

#[test]
fn returned_tokens_cannot_be_spent_while_the_write_may_still_arrive() {
    let mut harness = Harness::with_surplus();
    let (sent, _) = harness.read();
    let sent = sent.unwrap();
    harness.reply(sent.call, store::Reply::Unknown);
    // The store still contains the old value, but the write may still be on its way.
    let (_, _) = harness.read();
    harness.apply(&sent);
    harness.assert_safe();
}

#[test]
fn a_return_that_conflicted_creates_no_tokens() {
    let mut harness = Harness::with_surplus();
    let before = harness.account().free_tokens();
    let (sent, _) = harness.read();
    let sent = sent.unwrap();
    harness.index += 1;
    let reply = harness.apply(&sent);
    assert_eq!(reply, store::Reply::Conflict);
    harness.reply(sent.call, reply);
    harness.shard.pay("w/main", "second", 1).unwrap();
    harness.index += 1;
    let (again, _) = harness.read();
    harness.assert_safe();
    let again = again.unwrap();
    harness.index += 1;
    harness.reply(again.call, store::Reply::Conflict);
    harness.read();
    assert!(harness.account().free_tokens() <= before);
}

#[test]
fn a_holder_that_was_written_off_draws_no_more() {
    let mut harness = Harness::new(100_000);
    harness.sync();
    harness.shard.write_off(OWN, ledger::Termination::AtUnknownTime, 0);
    harness.index += 1;
    let (sent, events) = harness.read();
    assert!(sent.is_none());
    assert!(events.contains(&ledger_writer::Event::WrittenOff));
}

#[test]
fn a_stopping_holder_closes_its_grant_with_its_final_totals() {
    let mut harness = Harness::new(100_000);
    harness.sync();
    let slot = harness.budget;
    let reservation = harness.table.reserve(slot, 100, harness.now_ms).unwrap().dispatch();
    harness.table.settle(reservation, 60);
    harness.stopping = true;
    harness.sync();
    let budget = &harness.shard.budgets["w/main"];
    assert!(budget.grants.is_empty());
    assert_eq!(budget.remaining_tokens(), Some(100_000 - 60));
    assert_eq!(budget.closed_consumed_tokens, 60);
}

#[test]
fn a_stopping_holder_returns_its_free_tokens_while_a_request_still_runs() {
    let mut harness = Harness::new(100_000);
    harness.sync();
    let slot = harness.budget;
    let running = harness.table.reserve(slot, 100, harness.now_ms).unwrap().dispatch();
    harness.stopping = true;
    harness.sync();
    assert_eq!(harness.shard.budgets["w/main"].remaining_tokens(), Some(100_000 - 100));
    assert!(
        harness.table.reserve(slot, 1, harness.now_ms).is_none(),
        "returned tokens were reserved"
    );
    harness.table.settle(running, 60);
    harness.sync();
    let budget = &harness.shard.budgets["w/main"];
    assert!(budget.grants.is_empty());
    assert_eq!(budget.remaining_tokens(), Some(100_000 - 60));
}

#[test]
fn an_unreadable_ledger_is_not_overwritten() {
    let mut harness = Harness::new(100);
    let call = ids::CallId(77);
    harness.start(call);
    let found = store::Reply::Found { index: store::Position::new(0, 9), value: b"{".to_vec() };
    let (sent, events) = harness.reply(call, found);
    assert!(sent.is_none());
    assert!(matches!(events[..], [ledger_writer::Event::Unusable(_)]));
}

#[test]
fn a_payment_is_applied_once_and_not_with_another_amount() {
    let mut shard = ledger::Shard::default();
    assert!(shard.pay("w/main", "one", 5).unwrap());
    assert!(!shard.pay("w/main", "one", 5).unwrap());
    assert!(shard.pay("w/main", "one", 6).is_err());
    assert!(shard.pay("w/main", "two", u64::MAX).is_err());
    assert_eq!(shard.budgets["w/main"].paid_tokens, 5);
}

/// Writes the grants of `OTHER` off, and returns the budgets and what was written off of each.
fn written_off(shard: &mut ledger::Shard) -> Vec<(String, u64)> {
    let closed = shard.write_off(OTHER, ledger::Termination::AtUnknownTime, 0);
    closed.iter().map(|grant| (grant.budget.clone(), grant.written_off_tokens())).collect()
}

#[test]
fn the_grant_of_a_terminated_holder_counts_as_spent() {
    let mut shard = ledger::Shard::default();
    shard.pay("w/main", "one", 1_000).unwrap();
    shard.draw("w/main", OTHER, 400);
    assert_eq!(written_off(&mut shard), [("w/main".to_owned(), 400)]);
    assert_eq!(shard.budgets["w/main"].remaining_tokens(), Some(600));
    assert_eq!(written_off(&mut shard), []);
}

#[test]
fn a_write_off_covers_each_budget_and_subtracts_the_reported_consumption() {
    let mut shard = ledger::Shard::default();
    for budget in ["w/main", "w/side"] {
        shard.pay(budget, "one", 1_000).unwrap();
        shard.draw(budget, OTHER, 400);
    }
    let main = shard.budgets.get_mut("w/main").unwrap().grants.get_mut(&OTHER).unwrap();
    main.consumed_tokens = 150;
    let closed = [("w/main".to_owned(), 250), ("w/side".to_owned(), 400)];
    assert_eq!(written_off(&mut shard), closed);
    assert_eq!(shard.budgets["w/main"].written_off_tokens, 250);
    assert_eq!(shard.budgets["w/main"].closed_spent_tokens, 400);
    assert_eq!(written_off(&mut shard), []);
}

/// Guards against tokens that are kept for a waiting request although the lowered amount is spent.
#[test]
fn nothing_is_kept_for_a_waiting_request_of_a_budget_whose_lowered_amount_is_spent() {
    let mut harness = Harness::new(0);
    let cover = harness.account().settings;
    let prepaid = |tokens, version| Some(grants::Prepaid { tokens, version });
    harness.table.declare_prepaid("w/main", cover, prepaid(100_000, 1), 0);
    harness.table.account_mut(harness.budget).shortage_tokens = 20_000;
    harness.sync();
    let slot = harness.budget;
    let running = harness.table.reserve(slot, 10_000, harness.now_ms).unwrap().dispatch();
    harness.table.settle(running, 10_000);
    harness.table.declare_prepaid("w/main", cover, prepaid(10_000, 2), 0);
    harness.table.account_mut(slot).shortage_tokens = 5_000;
    harness.sync();
    harness.sync();
    let reserved = harness.table.reserve(slot, 5_000, harness.now_ms);
    assert!(reserved.is_none(), "15,000 of 10,000 tokens: {:?}", harness.account());
}

quickcheck! {
    /// Random draws, returns, closings and write-offs never make the remaining tokens negative, so that the granted
    /// tokens never exceed the paid ones.
    fn the_ledger_never_grants_more_than_was_paid(ops: Vec<(u8, u8, u16)>) -> bool {
        let mut shard = ledger::Shard::default();
        shard.pay("w/main", "one", 10_000).unwrap();
        for (kind, holder, tokens) in ops {
            let (holder, tokens) = (ids::Incarnation(u64::from(holder % 5)), u64::from(tokens));
            match kind % 4 {
                0 | 1 => { shard.draw("w/main", holder, tokens); }
                2 => { shard.return_tokens("w/main", holder, tokens); }
                _ if tokens % 2 == 0 => {
                    shard.write_off(holder, ledger::Termination::AtUnknownTime, 0);
                }
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
