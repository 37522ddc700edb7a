//! The fake store and the fake network, and the faults that can be injected into them.

use super::{Event, STORE_TIMEOUT_MS, World};
use doorswitch_core::{ids, ledger, message, store};
use rand::RngExt;
use std::collections::BTreeSet;

/// The faults that are active.
#[derive(Clone, Debug)]
pub struct Faults {
    /// No call reaches the store.
    pub store_unavailable: bool,
    /// Routers that cannot reach the store.
    pub store_cut: BTreeSet<usize>,
    /// Pairs of routers that cannot reach each other, the lower one first.
    pub pairs_cut: BTreeSet<(usize, usize)>,
    /// Percentage of writes that are applied and whose reply is lost.
    pub lose_replies_percent: u32,
    /// Percentage of writes that are reported as unanswered and applied later.
    pub late_writes_percent: u32,
    /// Percentage of messages that are lost.
    pub lose_messages_percent: u32,
    /// Percentage of messages that are delivered twice.
    pub repeat_messages_percent: u32,
    /// The maximum one-way delay of a message or a store call, in milliseconds.
    pub delay_max_ms: u64,
    /// Whether polls of the store are answered, each with the store's era.
    pub polls_name_era: bool,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            store_unavailable: false,
            store_cut: BTreeSet::new(),
            pairs_cut: BTreeSet::new(),
            lose_replies_percent: 0,
            late_writes_percent: 0,
            lose_messages_percent: 0,
            repeat_messages_percent: 0,
            delay_max_ms: 5,
            polls_name_era: true,
        }
    }
}

impl World {
    pub fn connected(&self, first: usize, second: usize) -> bool {
        !self.faults.pairs_cut.contains(&(first.min(second), first.max(second)))
    }

    pub fn reaches_store(&self, router: usize) -> bool {
        !self.faults.store_unavailable && !self.faults.store_cut.contains(&router)
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    pub(super) fn delay_ms(&mut self) -> u64 {
        self.rng.random_range(1..=self.faults.delay_max_ms)
    }

    pub(super) fn call_store(
        &mut self,
        from: usize,
        incarnation: ids::Incarnation,
        call: ids::CallId,
        request: store::Request,
    ) {
        if request.is_write() {
            self.store_calls.1 += 1;
        } else {
            self.store_calls.0 += 1;
            self.ledger_reads += u64::from(is_ledger_read(&request));
        }
        if !self.reaches_store(from) {
            self.reply_unknown(from, incarnation, call);
            return;
        }
        if request.is_write() && self.chance(self.faults.late_writes_percent) {
            self.reply_unknown(from, incarnation, call);
            let late_ms = STORE_TIMEOUT_MS + self.rng.random_range(0..3_000);

            // The node ignores the reply to this call, as it has already received `Unknown` for it.
            self.schedule(late_ms, Event::StoreCall { from, incarnation, call, request });
            return;
        }
        let delay_ms = self.delay_ms();
        self.schedule(delay_ms, Event::StoreCall { from, incarnation, call, request });
    }

    pub(super) fn execute_store_call(
        &mut self,
        from: usize,
        incarnation: ids::Incarnation,
        call: ids::CallId,
        request: store::Request,
    ) {
        let is_write = request.is_write();
        let reply = self.apply(request);
        let lost = is_write && self.chance(self.faults.lose_replies_percent);
        if lost || !self.reaches_store(from) {
            self.reply_unknown(from, incarnation, call);
            return;
        }
        let delay_ms = self.delay_ms();
        self.schedule(delay_ms, Event::StoreReply { to: from, incarnation, call, reply });
    }

    fn reply_unknown(&mut self, to: usize, incarnation: ids::Incarnation, call: ids::CallId) {
        let reply = store::Reply::Unknown;
        self.schedule(STORE_TIMEOUT_MS, Event::StoreReply { to, incarnation, call, reply });
    }

    fn apply(&mut self, request: store::Request) -> store::Reply {
        match request {
            store::Request::Read { key } => match self.store.get(&key) {
                Some((index, value)) => {
                    let index = store::Position::new(self.era, *index);
                    store::Reply::Found { index, value: value.clone() }
                }
                None => store::Reply::Missing { era: self.era },
            },
            store::Request::Write { key, expected_index, value, sets_era_marker } => {
                let present = self.store.get(&key).map_or(0, |(index, _)| *index);
                let newer_era = self.marked_eras.range(expected_index.era + 1..).next().is_some();
                if present != expected_index.revision || newer_era {
                    return store::Reply::Conflict;
                }
                self.index += 1;
                self.store.insert(key, (self.index, value));
                if sets_era_marker {
                    self.marked_eras.insert(expected_index.era);
                }
                store::Reply::Written { era: self.era }
            }
            store::Request::DeletePrefix { prefix } => {
                self.store.retain(|key, _| !key.starts_with(&prefix));
                store::Reply::Written { era: self.era }
            }
        }
    }

    /// Sends to an address: the router that has it when the message arrives receives the message, as in a real network.
    pub(super) fn send(&mut self, from: usize, address: &str, envelope: message::Envelope) {
        // Ledger copies use a separate generator, so that they do not change the schedules of existing seeds.
        let is_copy = matches!(envelope.message, message::Message::LedgerCopy { .. });
        if is_copy {
            std::mem::swap(&mut self.rng, &mut self.ledger_copy_rng);
        }
        self.send_message(from, address, envelope);
        if is_copy {
            std::mem::swap(&mut self.rng, &mut self.ledger_copy_rng);
        }
    }

    fn send_message(&mut self, from: usize, address: &str, envelope: message::Envelope) {
        let Some(to) = self.routers.iter().position(|router| router.address == address) else {
            return;
        };
        if !self.connected(from, to) || self.chance(self.faults.lose_messages_percent) {
            return;
        }
        let times = if self.chance(self.faults.repeat_messages_percent) { 2 } else { 1 };
        for _ in 0..times {
            let delay_ms = self.delay_ms();
            let envelope = envelope.clone();
            self.schedule(delay_ms, Event::Message { to, envelope });
        }
    }

    pub(super) fn send_gossip(&mut self, from: usize, address: &str, gossip: Box<message::Gossip>) {
        let Some(to) = self.routers.iter().position(|router| router.address == address) else {
            return;
        };
        if !self.connected(from, to) || self.chance(self.faults.lose_messages_percent) {
            return;
        }
        let delay_ms = self.delay_ms();
        self.schedule(delay_ms, Event::Gossip { to, gossip });
    }
}

fn is_ledger_read(request: &store::Request) -> bool {
    matches!(request, store::Request::Read { key } if key.starts_with(ledger::PREFIX))
}
