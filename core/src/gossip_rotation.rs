//! Selects the entries of a table for the next gossip datagram where not all fit: changed entries
//! first, then the others in rotation.

use std::{cmp, collections, ops};

/// Number of times each change is sent.
pub const TRANSMISSIONS: u32 = 6;
/// Maximum number of entries in one datagram.
const ENTRIES_MAX: usize = 16;
/// Maximum total length of the names in one datagram, in bytes: names of servers come from another
/// writer and may be long.
const NAMES_BYTES_MAX: usize = 1 << 10;

/// An entry of a table that is sent to other routers in gossip datagrams. It counts how often the entry's last change
/// still has to be sent, so that changes are sent before unchanged entries.
pub trait Gossiped {
    /// Number of times the entry is still sent as a change.
    fn sends_left(&self) -> u32;

    /// Mutable number of times the entry is still sent as a change.
    fn sends_left_mut(&mut self) -> &mut u32;
}

/// Whether the table has a change that was not sent yet.
pub fn has_unsent<K, V: Gossiped>(table: &collections::BTreeMap<K, V>) -> bool {
    table.values().any(|entry| entry.sends_left() == TRANSMISSIONS)
}

/// Selects the entries of a table for each gossip datagram where not all fit: changed entries first, then the unchanged
/// ones in turn. One value keeps the key at which the next datagram continues with unchanged entries.
#[derive(Clone, Debug)]
pub struct Rotation<K> {
    next: Option<K>,
}

impl<K> Default for Rotation<K> {
    fn default() -> Self {
        Self { next: None }
    }
}

impl<K: Ord + Clone> Rotation<K> {
    /// Takes the entries for the next datagram and counts them as sent.
    pub fn take<V: Gossiped>(
        &mut self,
        table: &mut collections::BTreeMap<K, V>,
        name_bytes: impl Fn(&K) -> usize,
    ) -> Vec<K> {
        let mut keys: Vec<K> = table.keys().cloned().collect();
        let already_sent = |key: &K| self.next.as_ref().is_some_and(|next| key < next);
        keys.sort_by_cached_key(|key| {
            (cmp::Reverse(table[key].sends_left()), already_sent(key), key.clone())
        });
        let mut bytes = 0;
        let fits = |key: &K| {
            bytes += name_bytes(key);
            bytes <= NAMES_BYTES_MAX
        };
        let keys: Vec<K> = keys.into_iter().take(ENTRIES_MAX).take_while(fits).collect();
        keys.iter().for_each(|key| self.record_sent(table, key));
        keys
    }

    fn record_sent<V: Gossiped>(&mut self, table: &mut collections::BTreeMap<K, V>, key: &K) {
        let after = (ops::Bound::Excluded(key), ops::Bound::Unbounded);
        let next = table.range(after).next().map(|(next, _)| next.clone());
        let Some(entry) = table.get_mut(key) else { return };
        match entry.sends_left_mut() {
            0 => self.next = next,
            left => *left -= 1,
        }
    }
}
