//! Maintains the store's record by which routers distinguish budgets that a restore of the store lost from new ones.
//!
//! A router that has just started cannot distinguish them. So after a restore, a router that has run in the era for
//! long enough records that lost budgets are in the ledger again. In the first era, nothing was lost.

use super::{Lifecycle, Node, platform};
use crate::{ids, ledger, ledger_writer, rendezvous, store};

/// Interval between calls for the record.
const CALL_INTERVAL_MS: u64 = 1_000;

/// This router's copy of the record, and the state of the calls for it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EraRecordState {
    record: Option<ledger::EraRecord>,
    /// The record's index in the store, which a write expects.
    index: store::Position,
    /// The record that is being written, if one is.
    writing: Option<ledger::EraRecord>,
    in_flight: bool,
    /// The earliest time of the next call.
    not_before_ms: u64,
}

impl Node {
    /// How the ledger treats prepaid tokens of the configuration that it does not contain yet.
    pub(super) fn prepaid_state(&self) -> ledger_writer::PrepaidState {
        // Until the store has named its era, it may have been restored.
        let Some(era) = self.known_store_era() else {
            return ledger_writer::PrepaidState::Undecided;
        };
        match self.era_record.record.filter(|record| record.era == era) {
            _ if era == 0 => ledger_writer::PrepaidState::Drawable,
            Some(record) if record.settled => ledger_writer::PrepaidState::Drawable,
            Some(_) => ledger_writer::PrepaidState::Withheld,
            None if self.detected_restore() => ledger_writer::PrepaidState::Withheld,
            None => ledger_writer::PrepaidState::Undecided,
        }
    }

    /// Updates how prepaid tokens are treated, and calls the store for the record when that is due.
    pub(super) fn tick_era_record(&mut self, now_ms: u64) {
        if self.store_era() == 0 {
            return;
        }
        let state = self.era_record;
        let ready = self.era_age_ms(now_ms).is_some() && self.lifecycle == Lifecycle::Ready;
        if !ready || state.in_flight || now_ms < state.not_before_ms {
            return;
        }
        let era = self.store_era();
        match state.record.filter(|record| record.era == era) {
            Some(record) if record.settled => {}
            Some(_) if !self.may_settle(now_ms) => {}
            Some(_) => self.write_era_record(ledger::EraRecord { era, settled: true }, now_ms),
            None => {
                let call = self.era_record_call(now_ms);
                let key = ledger::era_record_key();
                self.send_store_call(call, store::Request::Read { key });
            }
        }
    }

    /// Whether routers had enough time to recover the budgets that the restore lost, and this one has read all its
    /// shards and is the one to write the record.
    fn may_settle(&self, now_ms: u64) -> bool {
        let old_enough = self.era_age_ms(now_ms).is_some_and(|age_ms| age_ms > self.backup_age_ms);
        let first = self.ranks_first(&ledger::era_record_key());
        old_enough && first && self.ledgers.iter().all(|ledger| ledger.has_read_all(&self.grants))
    }

    /// Whether this router ranks first among the live routers for a subject.
    pub(super) fn ranks_first(&self, subject: &str) -> bool {
        let subject = rendezvous::digest(subject);
        let weight = |id: ids::Incarnation| rendezvous::weight(subject, id.0);
        let own = weight(self.settings.incarnation);
        self.members.live().all(|record| weight(record.id) < own)
    }

    /// Registers a call for the record.
    fn era_record_call(&mut self, now_ms: u64) -> ids::CallId {
        self.era_record.in_flight = true;
        self.era_record.not_before_ms = now_ms + CALL_INTERVAL_MS;
        self.register_call(platform::Purpose::EraRecord)
    }

    /// Starts a write of the record.
    fn write_era_record(&mut self, record: ledger::EraRecord, now_ms: u64) {
        let call = self.era_record_call(now_ms);
        self.era_record.writing = Some(record);
        let request = store::Request::Write {
            key: ledger::era_record_key(),
            expected_index: self.era_record.index,
            value: record.encode(),
            sets_era_marker: record.era > 0,
        };
        self.send_store_call(call, request);
    }

    /// Handles the store's reply to a call for the record.
    pub(super) fn handle_era_record_reply(&mut self, reply: store::Reply, now_ms: u64) {
        let written = self.era_record.writing.take();
        self.era_record.in_flight = false;
        let era = self.store_era();
        match (reply, written) {
            (store::Reply::Written { .. } | store::Reply::WrittenAt { .. }, Some(record)) => {
                // The next write belongs to a later era, and follows a read of the record.
                self.era_record.record = Some(record).filter(|record| record.settled);
            }
            (store::Reply::Found { index, value }, None) => {
                self.era_record.index = index;
                match ledger::EraRecord::decode(&value) {
                    Ok(record) if record.era == era => self.era_record.record = Some(record),
                    _ => self.write_era_record(ledger::EraRecord { era, settled: false }, now_ms),
                }
            }
            (store::Reply::Missing { .. }, None) => {
                self.era_record.index = store::Position::new(era, 0);
                let settled = self.is_first_start && !self.detected_restore();
                self.write_era_record(ledger::EraRecord { era, settled }, now_ms);
            }
            _ => {}
        }
    }
}
