//! A copy of what lies under a prefix of the platform's store.

use doorswitch_platform::store;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::time;

/// Items that went while the store was away are kept for so long after its return: servers that live are back
/// in its list within about two seconds. The store may have turned this router alone away while servers left,
/// so this stays well below the two seconds after which such a server must get nothing new.
const LAPSED_KEPT: Duration = Duration::from_millis(1_400);
/// When nothing lapsed, the next look at it is this far away.
const FAR: Duration = Duration::from_secs(60);

/// What a prefix holds, as last heard.
#[derive(Debug, Default)]
pub struct Mirror {
    /// The store's revision that it stands for.
    pub revision: u64,
    /// What lies there, by key.
    pub items: BTreeMap<String, store::Change>,
    /// Items that went while the store was away: leases lapse then although their owners
    /// live, and these write again soon.
    lapsed: BTreeMap<String, store::Change>,
    returned: Option<Instant>,
    /// Whether the answer at hand is the first one after that.
    first_answer: bool,
}

impl Mirror {
    /// Notes that the store answered; `again` tells that it said before that it does not serve.
    pub fn heard(&mut self, again: bool) {
        self.first_answer = again;
        if again {
            self.returned = Some(Instant::now());
        }
    }

    /// Whether an item that is missing may be back soon.
    fn settling(&self) -> bool {
        self.returned.is_some_and(|returned| returned.elapsed() < LAPSED_KEPT)
    }

    /// When what lapsed is to be forgotten; far away if nothing did.
    pub fn forgets_at(&self) -> time::Instant {
        let kept = self.returned.filter(|_| !self.lapsed.is_empty());
        let at = kept.map_or_else(|| Instant::now() + FAR, |returned| returned + LAPSED_KEPT);
        time::Instant::from_std(at)
    }

    /// Forgets what lapsed and did not come back in time; tells whether there was any.
    pub fn forget_lapsed(&mut self) -> bool {
        if self.settling() || self.lapsed.is_empty() {
            return false;
        }
        self.lapsed.clear();
        true
    }

    /// Items that are gone and may be back soon.
    pub fn lapsed(&self) -> impl Iterator<Item = &store::Change> {
        self.lapsed.values()
    }

    pub fn replace(&mut self, changes: store::Changes) {
        let earlier = std::mem::take(&mut self.items);
        self.apply(changes);
        for (key, item) in earlier {
            if !self.items.contains_key(&key) {
                self.went(key, item);
            }
        }
    }

    pub fn apply(&mut self, changes: store::Changes) {
        self.revision = changes.revision;
        for change in changes.changes {
            // A page may be newer than the watch that follows it.
            let known = self.items.get(&change.key).map_or(0, |known| known.revision);
            match change.value {
                _ if change.revision < known => {}
                Some(_) => {
                    self.lapsed.remove(&change.key);
                    self.items.insert(change.key.clone(), change);
                }
                None => {
                    if let Some(item) = self.items.remove(&change.key) {
                        self.went(change.key, item);
                    }
                }
            }
        }
    }

    fn went(&mut self, key: String, item: store::Change) {
        // What goes later goes while the store is there.
        if self.first_answer {
            log::info!("event=item_lapsed key={key} kept_ms={}", LAPSED_KEPT.as_millis());
            self.lapsed.insert(key, item);
        }
    }
}
