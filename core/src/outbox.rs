//! A router's settlements that are not in the log yet, and its transfers of tokens that are not acknowledged yet.

use crate::{ids, log_index};
use std::collections;

/// The interval at which a message without a reply is sent again.
pub const RESEND_MS: u64 = 1_000;
/// The delay before a transfer is first sent again.
const TRANSFER_RESEND_FIRST_MS: u64 = 100;
/// How long a transfer to a router that isn't known to be live waits for its acknowledgment; after this it counts
/// as lost.
const TRANSFER_TIMEOUT_MS: u64 = 30_000;
/// How long a router may take to acknowledge a settlement before it is also sent to the next one.
pub const SETTLEMENT_TIMEOUT_MS: u64 = 150;

/// The record of the cost of a request that this router served ([`log_index::Settlement`]), as long as it is not in the
/// log in the platform's store. The router hands it over to another router or to the log until the log contains it.
#[derive(Clone, Debug)]
pub struct PendingSettlement {
    /// The settlement to append.
    pub settlement: log_index::Settlement,
    /// The request whose last chunk waits until the settlement is safe; `None` after this wait.
    pub waiting_request: Option<ids::RequestSlot>,
    /// The number of attempts to hand the settlement over to another router or to the log.
    pub handover_count: usize,
    /// Whether another router or the log has the settlement.
    pub safe: bool,
    /// When the settlement was last sent or appended.
    pub sent_ms: u64,
    /// When the answer to the request ended.
    pub ended_ms: u64,
}

impl PendingSettlement {
    /// Returns whether the settlement is due to be handed over, for the first time or again.
    pub fn due(&self, now_ms: u64) -> bool {
        let delay_ms = if self.safe { RESEND_MS } else { SETTLEMENT_TIMEOUT_MS };
        now_ms >= self.sent_ms + delay_ms
    }
}

/// Tokens of a budget that this router has given to another router and whose receipt that router has not acknowledged.
/// It is sent again until it is acknowledged or too old.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingTransfer {
    /// The router incarnation that receives the tokens.
    pub to: ids::Incarnation,
    /// The budget, as `workspace/budget`.
    pub budget: String,
    /// The number of tokens transferred.
    pub tokens: u64,
    /// The number of the receiver's request that this is the reply to; 0 if there is none.
    pub in_reply_to: u64,
    /// When the transfer was first sent.
    pub first_sent_ms: u64,
    /// When the transfer was last sent.
    pub sent_ms: u64,
}

impl OutgoingTransfer {
    /// Returns whether the transfer is due to be sent again. The delay grows while there is no acknowledgment.
    pub fn due(&self, now_ms: u64) -> bool {
        let age_ms = self.sent_ms.saturating_sub(self.first_sent_ms);
        now_ms >= self.sent_ms + age_ms.clamp(TRANSFER_RESEND_FIRST_MS, RESEND_MS)
    }

    /// Returns whether the transfer is too old to expect an acknowledgment.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.first_sent_ms + TRANSFER_TIMEOUT_MS
    }
}

/// The transfers received from one router.
#[derive(Debug, Default)]
struct ReceivedTransfers {
    /// The sender no longer sends any transfer with a lower number.
    open_from: u64,
    /// For the numbers from `open_from`, whether the transfer was applied; `false` if it was declined for good.
    applied: collections::BTreeMap<u64, bool>,
}

/// What a router did before with a transfer of budget tokens from another router: nothing, applied it or declined it.
/// Transfers are sent again until they are acknowledged, so a router looks this up to apply each at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferStatus {
    /// The transfer has not been received before.
    New,
    /// The transfer was applied, or is too late to be applied.
    Applied,
    /// The transfer was declined and will never be applied.
    Declined,
}

/// What one router must send until it is acknowledged: the settlements (records of the cost) of its requests that are
/// not in the log yet, and the tokens that it transfers to other routers. It also records which transfers arrived from
/// other routers, so that each is applied at most once.
#[derive(Debug, Default)]
pub struct Outbox {
    /// The settlements that are not in the log yet, by attempt.
    pub settlements: collections::BTreeMap<ids::AttemptId, PendingSettlement>,
    /// The transfers that are not acknowledged yet, by number.
    pub transfers: collections::BTreeMap<u64, OutgoingTransfer>,
    received_transfers: collections::HashMap<ids::Incarnation, ReceivedTransfers>,
    next_transfer: u64,
}

impl Outbox {
    /// Adds a transfer and returns its number.
    pub fn add_transfer(&mut self, outgoing: OutgoingTransfer) -> u64 {
        self.next_transfer += 1;
        self.transfers.insert(self.next_transfer, outgoing);
        self.next_transfer
    }

    /// Returns the lowest number of a transfer that may still be sent.
    pub fn open_from(&self) -> u64 {
        let first = self.transfers.first_key_value().map(|(number, _)| *number);
        first.unwrap_or(self.next_transfer + 1)
    }

    /// Returns the transfer that is the reply to a request, if it is not acknowledged yet.
    pub fn reply_to(&self, to: ids::Incarnation, request: u64) -> Option<(u64, OutgoingTransfer)> {
        let is_reply =
            |outgoing: &OutgoingTransfer| outgoing.to == to && outgoing.in_reply_to == request;
        let found = self.transfers.iter().rev().find(|(_, outgoing)| is_reply(outgoing));
        found.map(|(number, outgoing)| (*number, outgoing.clone()))
    }

    /// Returns what this router has already done with a received transfer.
    pub fn transfer_status(&self, from: ids::Incarnation, number: u64) -> TransferStatus {
        let Some(received) = self.received_transfers.get(&from) else { return TransferStatus::New };
        match received.applied.get(&number) {
            Some(true) => TransferStatus::Applied,
            Some(false) => TransferStatus::Declined,
            // The sender has abandoned the transfer or received its acknowledgment, so it is too late to apply it.
            None if number < received.open_from => TransferStatus::Applied,
            None => TransferStatus::New,
        }
    }

    /// Records whether a received transfer was applied, and discards the records of those that are not sent again.
    pub fn record_transfer(
        &mut self,
        from: ids::Incarnation,
        number: u64,
        open_from: u64,
        applied: bool,
    ) {
        let received = self.received_transfers.entry(from).or_default();
        received.applied.insert(number, applied);
        received.open_from = received.open_from.max(open_from.min(number));
        received.applied = received.applied.split_off(&received.open_from);
    }
}
