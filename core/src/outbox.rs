//! Settlements that are not in the log yet, and transfers that are not acknowledged yet.

use crate::{ids, log_index};
use std::collections;

/// How long to wait for a sign of life before a message is sent again.
pub const RESEND_MS: u64 = 1_000;
/// The first pause before a transfer is sent again.
const TRANSFER_AGAIN_MS: u64 = 100;
/// A transfer that is not acknowledged for so long, by one who is not known to live, is lost.
const TRANSFER_GIVEN_UP_MS: u64 = 30_000;
/// How long a router has to acknowledge a settlement before the next one gets it too.
pub const HAND_ON_MS: u64 = 150;

/// A settlement on its way into the log.
#[derive(Clone, Debug)]
pub struct Unsettled {
    /// What is to be recorded.
    pub settlement: log_index::Settlement,
    /// The request whose last chunk waits for it to be safe.
    pub waiting: Option<ids::RequestSlot>,
    /// How often it was handed over.
    pub tries: usize,
    /// Whether another router has it, or the log.
    pub safe: bool,
    /// When it was last sent or appended.
    pub sent_ms: u64,
    /// When the answer ended.
    pub since_ms: u64,
}

impl Unsettled {
    /// Whether it is time to hand it over (again).
    pub fn due(&self, now_ms: u64) -> bool {
        let pause_ms = if self.safe { RESEND_MS } else { HAND_ON_MS };
        now_ms >= self.sent_ms + pause_ms
    }
}

/// Tokens taken out of an account for another router that has not acknowledged them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: ids::Incarnation,
    /// The budget's name.
    pub budget: String,
    /// How many tokens.
    pub tokens: u64,
    /// The receiver's question that it answers; 0 if none.
    pub answers: u64,
    /// When it was first sent.
    pub since_ms: u64,
    /// When it was last sent.
    pub sent_ms: u64,
}

impl Outgoing {
    /// Whether it is time to send it again: soon at first, seldom to one who stays silent.
    pub fn due(&self, now_ms: u64) -> bool {
        let age_ms = self.sent_ms.saturating_sub(self.since_ms);
        now_ms >= self.sent_ms + age_ms.clamp(TRANSFER_AGAIN_MS, RESEND_MS)
    }

    /// Whether it is too old to be waited for.
    pub fn given_up(&self, now_ms: u64) -> bool {
        now_ms >= self.since_ms + TRANSFER_GIVEN_UP_MS
    }
}

/// Transfers of one sender as the receiver remembers them.
#[derive(Debug, Default)]
struct Seen {
    /// All lower numbers are over.
    open_from: u64,
    /// Whether each later one was applied, or declined for good.
    applied: collections::BTreeMap<u64, bool>,
}

/// What a receiver did with a transfer before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Earlier {
    /// It is new.
    New,
    /// It was applied.
    Applied,
    /// It was declined and never will be applied.
    Declined,
}

/// All that this router owes to others.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Settlements by attempt.
    pub unsettled: collections::BTreeMap<ids::AttemptId, Unsettled>,
    /// Transfers by number.
    pub transfers: collections::BTreeMap<u64, Outgoing>,
    seen: collections::HashMap<ids::Incarnation, Seen>,
    next_transfer: u64,
}

impl Outbox {
    /// Notes a transfer and returns its number.
    pub fn add_transfer(&mut self, outgoing: Outgoing) -> u64 {
        self.next_transfer += 1;
        self.transfers.insert(self.next_transfer, outgoing);
        self.next_transfer
    }

    /// All lower numbers of transfers are over.
    pub fn open_from(&self) -> u64 {
        let first = self.transfers.first_key_value().map(|(number, _)| *number);
        first.unwrap_or(self.next_transfer + 1)
    }

    /// The transfer that answers a question, if it is not acknowledged yet.
    pub fn answer_to(&self, to: ids::Incarnation, question: u64) -> Option<(u64, Outgoing)> {
        let answers = |outgoing: &Outgoing| outgoing.to == to && outgoing.answers == question;
        let found = self.transfers.iter().rev().find(|(_, outgoing)| answers(outgoing));
        found.map(|(number, outgoing)| (*number, outgoing.clone()))
    }

    /// What was done here with a transfer.
    pub fn earlier(&self, from: ids::Incarnation, number: u64) -> Earlier {
        let Some(seen) = self.seen.get(&from) else { return Earlier::New };
        match seen.applied.get(&number) {
            Some(true) => Earlier::Applied,
            Some(false) => Earlier::Declined,
            // Its sender has given it up or heard of its end: too late to apply it.
            None if number < seen.open_from => Earlier::Applied,
            None => Earlier::New,
        }
    }

    /// Remembers what was done with a transfer, and forgets those that come no more.
    pub fn note(&mut self, from: ids::Incarnation, number: u64, open_from: u64, applied: bool) {
        let seen = self.seen.entry(from).or_default();
        seen.applied.insert(number, applied);
        seen.open_from = seen.open_from.max(open_from.min(number));
        seen.applied = seen.applied.split_off(&seen.open_from);
    }
}
