//! A test harness for one ledger writer with a store that holds a single shard; the test makes every call.

#![allow(dead_code, clippy::unwrap_used, missing_docs)]

use doorswitch_core::{config, grants, ids, ledger, ledger_writer, store};
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const OWN: ids::Incarnation = ids::Incarnation(1);
pub const OTHER: ids::Incarnation = ids::Incarnation(2);

/// A writer, its accounts and a store with a single shard.
pub struct Harness {
    pub table: grants::Table,
    pub budget: ids::BudgetSlot,
    pub writer: ledger_writer::Writer,
    pub shard: ledger::Shard,
    pub index: u64,
    pub now_ms: u64,
    pub calls: u64,
    pub rng: StdRng,
    pub stopping: bool,
}

/// A write that was sent to the store.
pub struct Sent {
    pub call: ids::CallId,
    pub expected_index: store::Position,
    pub value: Vec<u8>,
}

/// The record of the holder `OWN`.
pub fn description() -> ledger::Holder {
    ledger::Holder {
        vm: "a".to_owned(),
        address: "a:1".to_owned(),
        listed_index: 1,
        listed_era: 0,
        clock_run: None,
    }
}

/// The writer's context for a call of `OWN`, the only router.
pub fn context(
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
        termination: &|_, _| None,
        recovery_window_over: true,
        draw_not_before_ms: 0,
        prepaid_state: ledger_writer::PrepaidState::Drawable,
    }
}

impl Harness {
    pub fn new(paid_tokens: u64) -> Self {
        let mut table = grants::Table::new(1);
        let cover = config::Cover {
            cover_s: 10,
            minimum_grant_tokens: 1_000,
            held_percent: 0,
            holders: 0,
            loss_spread_s: 0,
        };
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

    /// The position of the shard in the store's history.
    pub fn position(&self) -> store::Position {
        store::Position::new(0, self.index)
    }

    pub fn account(&self) -> &grants::Account {
        self.table.account(self.budget)
    }

    /// Delivers a reply to the writer; returns the write that follows and the reported events.
    pub fn reply(
        &mut self,
        call: ids::CallId,
        reply: store::Reply,
    ) -> (Option<Sent>, Vec<ledger_writer::Event>) {
        let description = description();
        let context = context(&description, self.now_ms, self.stopping);
        let (write, events) =
            self.writer.handle_reply(call, reply, &mut self.table, &context, &mut self.rng);
        self.calls += 1;
        let call = ids::CallId(1_000 + self.calls);
        let sent = write.map(|write| Sent {
            call,
            expected_index: write.expected_index,
            value: write.value,
        });
        if sent.is_some() {
            self.writer.set_write_call(call);
        }
        (sent, events)
    }

    /// Starts a sync, with a read unless the writer has a current copy, and returns the write that follows.
    pub fn read(&mut self) -> (Option<Sent>, Vec<ledger_writer::Event>) {
        self.now_ms += 10_000;
        self.calls += 1;
        let call = ids::CallId(self.calls);
        if let store::Request::Write { expected_index, value, .. } = self.start(call) {
            return (Some(Sent { call, expected_index, value }), Vec::new());
        }
        let found = store::Reply::Found { index: self.position(), value: self.shard.encode() };
        self.reply(call, found)
    }

    /// Starts a sync and returns its first request.
    pub fn start(&mut self, call: ids::CallId) -> store::Request {
        let description = description();
        let context = context(&description, self.now_ms, self.stopping);
        self.writer.start(call, &mut self.table, &context)
    }

    /// Applies a write in the store, immediately after it was sent or later.
    pub fn apply(&mut self, sent: &Sent) -> store::Reply {
        if sent.expected_index.revision != self.index {
            return store::Reply::Conflict;
        }
        self.shard = ledger::Shard::decode(&sent.value).unwrap();
        self.index += 1;
        store::Reply::Written { era: 0 }
    }

    /// Performs a sync without faults.
    pub fn sync(&mut self) {
        if let (Some(sent), _) = self.read() {
            let reply = self.apply(&sent);
            self.reply(sent.call, reply);
        }
    }

    /// Returns a harness whose router has many more tokens than its target.
    pub fn with_surplus() -> Self {
        let mut harness = Self::new(100_000);
        harness.table.account_mut(harness.budget).shortage_tokens = 20_000;
        harness.sync();
        harness.table.account_mut(harness.budget).shortage_tokens = 0;
        assert!(harness.account().free_tokens() >= 20_000);
        harness
    }

    /// Tokens that are granted to `OWN` in the store.
    pub fn granted_in_store(&self) -> u64 {
        self.shard.budgets["w/main"].grants.get(&OWN).map_or(0, |grant| grant.granted_tokens)
    }

    /// Asserts that the tokens that the router can spend never exceed those that the store has granted to it.
    pub fn assert_safe(&self) {
        assert!(self.account().free_tokens() <= self.granted_in_store());
    }
}
