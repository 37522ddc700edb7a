//! What a datagram tells of a table that does not fit into it: news first, then one after the other what was told before.

use std::{cmp, collections, ops};

/// How often each change is told.
pub const REPEATS: u32 = 6;
/// Items in one datagram.
const ITEMS: usize = 16;
/// The most that the names in one datagram take: what another writer calls a server may be long.
const NAMES_BYTES_MAX: usize = 1 << 10;

/// An entry that is told.
pub trait Told {
    /// How often it is still told as news.
    fn news_left(&self) -> u32;

    /// The same, to be changed.
    fn news_left_mut(&mut self) -> &mut u32;
}

/// Whether something is to be told at once.
pub fn has_news<K, V: Told>(table: &collections::BTreeMap<K, V>) -> bool {
    table.values().any(|entry| entry.news_left() == REPEATS)
}

/// Where the next datagram goes on with what is no news.
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
    /// The entries that the next datagram tells; they count as told.
    pub fn take<V: Told>(
        &mut self,
        table: &mut collections::BTreeMap<K, V>,
        name_bytes: impl Fn(&K) -> usize,
    ) -> Vec<K> {
        let mut keys: Vec<K> = table.keys().cloned().collect();
        let told_before = |key: &K| self.next.as_ref().is_some_and(|next| key < next);
        keys.sort_by_cached_key(|key| {
            (cmp::Reverse(table[key].news_left()), told_before(key), key.clone())
        });
        let mut bytes = 0;
        let fits = |key: &K| {
            bytes += name_bytes(key);
            bytes <= NAMES_BYTES_MAX
        };
        let keys: Vec<K> = keys.into_iter().take(ITEMS).take_while(fits).collect();
        keys.iter().for_each(|key| self.note_told(table, key));
        keys
    }

    fn note_told<V: Told>(&mut self, table: &mut collections::BTreeMap<K, V>, key: &K) {
        let after = (ops::Bound::Excluded(key), ops::Bound::Unbounded);
        let next = table.range(after).next().map(|(next, _)| next.clone());
        let Some(entry) = table.get_mut(key) else { return };
        match entry.news_left_mut() {
            0 => self.next = next,
            left => *left -= 1,
        }
    }
}
