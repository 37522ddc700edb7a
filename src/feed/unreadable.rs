//! Reports unreadable entries of the store, once for each key and revision.

use crate::logging;
use doorswitch_core::store::Position;
use doorswitch_platform::store;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Entries that are recorded as reported. When there are more, all are removed, and some are reported again.
const REPORTED_ENTRIES_MAX: usize = 1_024;

/// The entries that were reported, by key, with the position of the revision.
#[derive(Clone, Debug, Default)]
pub struct ReportedEntries(Rc<RefCell<HashMap<String, Position>>>);

impl ReportedEntries {
    /// Logs and counts an entry, unless this revision of it was reported before.
    pub fn report(&self, change: &store::Change, fault: &dyn std::error::Error) {
        let mut reported = self.0.borrow_mut();
        if reported.get(&change.key) == Some(&change.position) {
            return;
        }
        if reported.len() >= REPORTED_ENTRIES_MAX {
            reported.clear();
        }
        reported.insert(change.key.clone(), change.position);
        metrics::counter!("doorswitch_unreadable_entries_total").increment(1);
        log::error!(
            "event=entry_unreadable key={} revision={} fault={}",
            logging::quoted(&change.key),
            change.position.revision,
            logging::quoted(fault)
        );
    }
}
