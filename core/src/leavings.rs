//! Servers that leave, as their records in the store or their own answers tell.
//!
//! A leaving holds for one life of a server. One that an answer told also outlasts the record: that may lapse and come
//! back, or go on to call the server ready.

use crate::{ids, message, rotation};
use serde::{Deserialize, Serialize};
use std::collections;

/// A leaving that an answer told is remembered for so long after the server's record is gone.
const GONE_KEPT_MS: u64 = 3_600_000;
/// So many leavings without a record are remembered.
const GONE_MAX: usize = 4_096;

/// Who told that a server leaves. The later one here holds for longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// Its record in the store.
    Record,
    /// An answer of the server itself.
    Answer,
}

impl Source {
    /// The value of the key `source` in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Record => "Record",
            Self::Answer => "Answer",
        }
    }
}

/// A server that leaves.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// The life that leaves.
    pub life: ids::ServerLife,
    /// Who told.
    pub source: Source,
    /// Since when no record of the server is known.
    gone_since_ms: Option<u64>,
    news_left: u32,
}

impl rotation::Told for Leaving {
    fn news_left(&self) -> u32 {
        self.news_left
    }

    fn news_left_mut(&mut self) -> &mut u32 {
        &mut self.news_left
    }
}

/// All servers that leave, by their VMs.
#[derive(Debug, Default)]
pub struct Leavings {
    known: collections::BTreeMap<String, Leaving>,
    rotation: rotation::Rotation<String>,
}

impl Leavings {
    /// Notes that a life of a server leaves; whether that is new, or holds for longer than what was known.
    pub fn note(&mut self, vm: &str, life: ids::ServerLife, source: Source) -> bool {
        let news_left = if source == Source::Answer { rotation::REPEATS } else { 0 };
        let known = self.known.get(vm).map(|known| (known.life, known.source));
        if known.is_some_and(|known| known >= (life, source)) {
            return false;
        }
        let leaving = Leaving { life, source, gone_since_ms: None, news_left };
        self.known.insert(vm.to_owned(), leaving);
        true
    }

    /// Whether a life of a server is known to leave.
    pub fn holds(&self, vm: &str, life: ids::ServerLife) -> bool {
        self.known.get(vm).is_some_and(|leaving| leaving.life >= life)
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &Leaving)> {
        self.known.iter().map(|(vm, leaving)| (vm.as_str(), leaving))
    }

    /// Whether something is to be told at once.
    pub fn has_news(&self) -> bool {
        rotation::has_news(&self.known)
    }

    /// What the next datagram tells.
    pub fn take_news(&mut self) -> Vec<message::LeavingUpdate> {
        let vms = self.rotation.take(&mut self.known, String::len);
        let news = vms.into_iter().filter_map(|vm| {
            let Leaving { life, source, .. } = *self.known.get(&vm)?;
            Some(message::LeavingUpdate { vm, life, source })
        });
        news.collect()
    }

    /// Forgets what holds no more, given the lives of the servers whose records are known; returns their VMs and lives.
    pub fn forget(
        &mut self,
        lives: &collections::HashMap<&str, ids::ServerLife>,
        now_ms: u64,
    ) -> Vec<(String, ids::ServerLife)> {
        for (vm, leaving) in &mut self.known {
            let listed = lives.contains_key(vm.as_str());
            let since_ms = leaving.gone_since_ms.unwrap_or(now_ms);
            leaving.gone_since_ms = (!listed).then_some(since_ms);
        }
        let oldest_ms = self.oldest_kept_ms(now_ms);
        let holds = |vm: &str, leaving: &Leaving| match lives.get(vm) {
            Some(present) => *present <= leaving.life,
            None => {
                let since_ms = leaving.gone_since_ms.unwrap_or(now_ms);
                leaving.source == Source::Answer && since_ms >= oldest_ms
            }
        };
        let over = self.known.extract_if(.., |vm, leaving| !holds(vm, leaving));
        over.map(|(vm, leaving)| (vm, leaving.life)).collect()
    }

    /// What went earlier than this is forgotten.
    fn oldest_kept_ms(&self, now_ms: u64) -> u64 {
        let gone = self.known.values().filter_map(|leaving| leaving.gone_since_ms);
        let mut gone_ms: Vec<u64> = gone.collect();
        gone_ms.sort_unstable_by(|one, other| other.cmp(one));
        let too_many_ms = gone_ms.get(GONE_MAX).map_or(0, |since_ms| since_ms + 1);
        too_many_ms.max((now_ms + 1).saturating_sub(GONE_KEPT_MS))
    }
}
