//! Reports entries in the store that cannot be read, once for each key and revision.

use crate::logging;
use doorswitch_core::store::Position;
use doorswitch_platform::store;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Entries that are remembered; a writer of more than these makes some be reported again.
const REMEMBERED: usize = 1_024;

/// Which entries were reported.
#[derive(Clone, Debug, Default)]
pub struct Reported(Rc<RefCell<HashMap<String, Position>>>);

impl Reported {
    /// Writes a log line and counts the entry, unless that was done for this revision of it.
    pub fn report(&self, change: &store::Change, fault: &dyn std::error::Error) {
        let mut reported = self.0.borrow_mut();
        if reported.get(&change.key) == Some(&change.position) {
            return;
        }
        if reported.len() >= REMEMBERED {
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
