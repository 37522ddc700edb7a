//! Repeats writes of the operator and the servers that a restore lost.

use super::{Backup, Store};
use std::collections::BTreeSet;

/// Prefixes of the keys that the operator and the servers write.
const REWRITTEN_PREFIXES: [&str; 2] = ["op/", "servers/"];

impl Backup {
    fn value(&self, key: &str) -> Option<&String> {
        self.items.get(key)?.value.as_ref()
    }

    /// The keys of the operator and the servers that exist in either state.
    fn rewritten_keys<'a>(&'a self, other: &'a Self) -> BTreeSet<&'a String> {
        let keys = self.items.keys().chain(other.items.keys());
        keys.filter(|key| REWRITTEN_PREFIXES.iter().any(|prefix| key.starts_with(prefix))).collect()
    }

    /// Returns this state with the values of `before_restore` for all keys that still have those of `restored`.
    pub fn with_lost_writes(&self, before_restore: &Self, restored: &Self) -> Self {
        let mut merged = self.clone();
        for key in before_restore.rewritten_keys(restored) {
            if self.value(key) != restored.value(key) {
                continue;
            }
            match before_restore.items.get(key) {
                Some(item) => merged.items.insert(key.clone(), item.clone()),
                None => merged.items.remove(key),
            };
        }
        merged
    }
}

impl Store {
    /// Repeats the writes that a restore from `before_restore` to `restored` lost, except for keys that changed since.
    pub fn repeat_lost_writes(&self, before_restore: &Backup, restored: &Backup) {
        let current = self.back_up();
        for key in before_restore.rewritten_keys(restored) {
            let unchanged = current.value(key) == restored.value(key);
            if unchanged && before_restore.value(key) != restored.value(key) {
                self.shared.lock().write(key, before_restore.value(key).cloned());
            }
        }
    }
}
