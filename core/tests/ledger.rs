//! The ledger and its writer, call by call: what a lost reply may and may not change.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_core::{config, grants, ids, ledger, ledger_writer, store};
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::StdRng;

const OWN: ids::Incarnation = ids::Incarnation(1);
const OTHER: ids::Incarnation = ids::Incarnation(2);

/// One writer, its accounts and a store with a single value, driven by hand.
struct Bench {
    table: grants::Table,
    budget: ids::BudgetSlot,
    writer: ledger_writer::Writer,
    shard: ledger::Shard,
    index: u64,
    now_ms: u64,
    calls: u64,
    rng: StdRng,
    stopping: bool,
}

/// A write that went out.
struct Sent {
    call: ids::CallId,
    expected_index: u64,
    value: Vec<u8>,
}

fn description() -> ledger::Holder {
    ledger::Holder { vm: "a".to_owned(), address: "a:1".to_owned(), listed_index: 1 }
}

fn context(
    description: &ledger::Holder,
    now_ms: u64,
    stopping: bool,
) -> ledger_writer::Context<'_> {
    ledger_writer::Context {
        now_ms,
        holder: OWN,
        description,
        routers: 1,
        stopping,
        gone: &|_, _| false,
    }
}

impl Bench {
    fn new(paid_tokens: u64) -> Self {
        let mut table = grants::Table::new(1);
        let cover =
            config::Cover { cover_s: 10, minimum_grant_tokens: 1_000, held_percent: 0, holders: 0 };
        let budget = table.declare("w/main", cover, 0);
        let mut shard = ledger::Shard::default();
        shard.pay("w/main", "first", paid_tokens).unwrap();
        Self {
            table,
            budget,
            writer: ledger_writer::Writer::new(0),
            shard,
            index: 1,
            now_ms: 1_000,
            calls: 0,
            rng: StdRng::seed_from_u64(1),
            stopping: false,
        }
    }

    fn account(&self) -> &grants::Account {
        self.table.account(self.budget)
    }

    fn reply(
        &mut self,
        call: ids::CallId,
        reply: store::Reply,
    ) -> (Option<Sent>, Vec<ledger_writer::Event>) {
        let description = description();
        let context = context(&description, self.now_ms, self.stopping);
        let (write, events) =
            self.writer.reply(call, reply, &mut self.table, &context, &mut self.rng);
        self.calls += 1;
        let call = ids::CallId(1_000 + self.calls);
        let sent = write.map(|(expected_index, value)| Sent { call, expected_index, value });
        if sent.is_some() {
            self.writer.writing(call);
        }
        (sent, events)
    }

    /// Starts a round, by a read unless the writer knows what it would read; returns the write that
    /// follows.
    fn read(&mut self) -> (Option<Sent>, Vec<ledger_writer::Event>) {
        self.now_ms += 10_000;
        self.calls += 1;
        let call = ids::CallId(self.calls);
        if let store::Request::Write { expected_index, value, .. } = self.start(call) {
            return (Some(Sent { call, expected_index, value }), Vec::new());
        }
        let found = store::Reply::Found { index: self.index, value: self.shard.encode() };
        self.reply(call, found)
    }

    /// Starts a round; returns the first call.
    fn start(&mut self, call: ids::CallId) -> store::Request {
        let description = description();
        let context = context(&description, self.now_ms, self.stopping);
        self.writer.start(call, &mut self.table, &context)
    }

    /// The store takes a write, now or late.
    fn apply(&mut self, sent: &Sent) -> store::Reply {
        if sent.expected_index != self.index {
            return store::Reply::Conflict;
        }
        self.shard = ledger::Shard::decode(&sent.value).unwrap();
        self.index += 1;
        store::Reply::Written
    }

    /// A round that works.
    fn round(&mut self) {
        if let (Some(sent), _) = self.read() {
            let reply = self.apply(&sent);
            self.reply(sent.call, reply);
        }
    }

    /// Makes the router hold far more than it wants.
    fn with_surplus() -> Self {
        let mut bench = Self::new(100_000);
        bench.table.account_mut(bench.budget).shortage_tokens = 20_000;
        bench.round();
        bench.table.account_mut(bench.budget).shortage_tokens = 0;
        assert!(bench.account().free_tokens() >= 20_000);
        bench
    }

    fn held_in_store(&self) -> u64 {
        self.shard.budgets["w/main"].grants.get(&OWN).map_or(0, |grant| grant.granted_tokens)
    }

    /// The promise: what can be spent here is never more than the store has granted.
    fn assert_safe(&self) {
        assert!(self.account().free_tokens() <= self.held_in_store());
    }
}

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
    let found = store::Reply::Found { index: 9, value: b"{".to_vec() };
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
                2 => { shard.give_back("w/main", holder, tokens); }
                _ if tokens % 2 == 0 => { shard.write_off(holder); }
                _ => {
                    let granted = shard.budgets["w/main"].grants.get(&holder);
                    let consumed_tokens = granted.map_or(0, |grant| grant.granted_tokens / 2);
                    let closing = ledger::Closing { consumed_tokens, ..Default::default() };
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

/// Starts a second round after a first one whose reply told the index of the value.
fn second_round(bench: &mut Bench) -> (ids::CallId, store::Request) {
    let (sent, _) = bench.read();
    let sent = sent.unwrap();
    assert_eq!(bench.apply(&sent), store::Reply::Written);
    bench.reply(sent.call, store::Reply::WrittenAt { index: bench.index });
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
    assert_eq!(expected_index, bench.index);
}

#[test]
fn a_write_that_was_overtaken_goes_on_from_what_lies_there() {
    let mut bench = Bench::new(100_000);
    let (call, _) = second_round(&mut bench);
    bench.shard.draw("w/main", OTHER, 90_000);
    bench.index += 1;
    let overtaken = store::Reply::Overtaken { index: bench.index, value: bench.shard.encode() };
    let (sent, _) = bench.reply(call, overtaken);
    let sent = sent.unwrap();
    assert_eq!(sent.expected_index, bench.index);
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
        config::Cover { cover_s: 10, minimum_grant_tokens: 0, held_percent: 50, holders: 0 };
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
    let (long, lasts_ms) = share_milli(75_000);
    assert!((20_000..30_000).contains(&lasts_ms), "{lasts_ms}");
    let (short, _) = share_milli(15_000);
    assert!(short * 3 < long, "{short} and {long} in a thousand");
    let (ample, _) = share_milli(10_000_000);
    assert!(ample <= 100, "a quarter of 40% is divided evenly, whatever is spent: {ample}");
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
    writer.poke();
    let mut now_ms = 1_000;
    for number in 1..4 {
        assert!(writer.due(&table, &context(&description, now_ms, false)), "round {number}");
        let call = ids::CallId(number);
        let asked = context(&description, now_ms, false);
        writer.start(call, &mut table, &asked);
        writer.reply(call, store::Reply::Unknown, &mut table, &asked, &mut rng);
        now_ms += 5_000;
    }
    let asked = context(&description, now_ms, false);
    writer.start(ids::CallId(4), &mut table, &asked);
    writer.reply(ids::CallId(4), store::Reply::Missing, &mut table, &asked, &mut rng);
    assert!(!writer.due(&table, &context(&description, now_ms + 5_000, false)), "it was answered");
}
