//! Servers that are leaving according to their records in the store or to their own answers.
//!
//! An entry applies to one incarnation of a server. One that came from an answer is kept even if
//! the record expires, reappears or still lists the server as ready.

use crate::{gossip_rotation, ids, message};
use serde::{Deserialize, Serialize};
use std::collections;

/// Number of times each entry from an answer is sent to other routers: enough that hardly any of a hundred routers misses
/// all of them for one of a hundred servers that leave at the same time.
const TRANSMISSIONS: u32 = 12;
/// Time for which an entry from an answer is kept after the server's record was removed.
const UNLISTED_TTL_MS: u64 = 3_600_000;
/// Maximum number of kept entries without a record.
const UNLISTED_MAX: usize = 4_096;

/// Whether a backend server was reported as leaving (about to stop, so that it gets no new requests) by its record in
/// the platform's store or by one of its own answers. An entry from an answer is kept longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The server's record in the store.
    Record,
    /// An answer of the server itself.
    Answer,
}

impl Source {
    /// Value of the key `source` in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Record => "Record",
            Self::Answer => "Answer",
        }
    }
}

/// The incarnation (run of the process) of a VM's backend server that is leaving: it is about to stop and gets no new
/// requests. The entry is kept so that an outdated record does not make the server available again, and is sent to
/// other routers.
#[derive(Clone, Debug)]
pub struct LeavingServer {
    /// Incarnation that is leaving.
    pub incarnation: ids::ServerIncarnation,
    /// Source of the information.
    pub source: Source,
    /// Time since which the store has no record of the server; `None` if it has one.
    unlisted_since_ms: Option<u64>,
    sends_left: u32,
}

impl gossip_rotation::Gossiped for LeavingServer {
    fn sends_left(&self) -> u32 {
        self.sends_left
    }

    fn sends_left_mut(&mut self) -> &mut u32 {
        &mut self.sends_left
    }
}

/// All backend servers that were reported to this router as leaving, that is, about to stop and without new requests,
/// by VM. It selects the entries that are sent to other routers by gossip.
#[derive(Debug, Default)]
pub struct LeavingServers {
    by_vm: collections::BTreeMap<String, LeavingServer>,
    rotation: gossip_rotation::Rotation<String>,
}

impl LeavingServers {
    /// Records that an incarnation of a server is leaving; returns whether this is new or from a
    /// source that is kept longer.
    pub fn record(
        &mut self,
        vm: &str,
        incarnation: ids::ServerIncarnation,
        source: Source,
    ) -> bool {
        let sends_left = if source == Source::Answer { TRANSMISSIONS } else { 0 };
        let present = self.by_vm.get(vm).map(|leaving| (leaving.incarnation, leaving.source));
        if present.is_some_and(|present| present >= (incarnation, source)) {
            return false;
        }
        let leaving = LeavingServer { incarnation, source, unlisted_since_ms: None, sends_left };
        self.by_vm.insert(vm.to_owned(), leaving);
        true
    }

    /// Whether an incarnation of a server is leaving or has been followed by one that is.
    pub fn contains(&self, vm: &str, incarnation: ids::ServerIncarnation) -> bool {
        self.by_vm.get(vm).is_some_and(|leaving| leaving.incarnation >= incarnation)
    }

    /// Iterates over all leaving servers with their VMs.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &LeavingServer)> {
        self.by_vm.iter().map(|(vm, leaving)| (vm.as_str(), leaving))
    }

    /// Whether an entry is still to be sent.
    pub fn has_unsent(&self) -> bool {
        self.by_vm.values().any(|leaving| leaving.sends_left > 0)
    }

    /// Takes the updates for the next datagram.
    pub fn take_updates(&mut self) -> Vec<message::LeavingUpdate> {
        let vms = self.rotation.take(&mut self.by_vm, String::len);
        let updates = vms.into_iter().filter_map(|vm| {
            let LeavingServer { incarnation, source, .. } = *self.by_vm.get(&vm)?;
            Some(message::LeavingUpdate { vm, incarnation, source })
        });
        updates.collect()
    }

    /// Removes entries that no longer apply, given the incarnations of all servers with a record in the store; returns
    /// the VMs and incarnations of the removed entries.
    pub fn remove_outdated(
        &mut self,
        incarnations: &collections::HashMap<&str, ids::ServerIncarnation>,
        now_ms: u64,
    ) -> Vec<(String, ids::ServerIncarnation)> {
        for (vm, leaving) in &mut self.by_vm {
            let listed = incarnations.contains_key(vm.as_str());
            let since_ms = leaving.unlisted_since_ms.unwrap_or(now_ms);
            leaving.unlisted_since_ms = (!listed).then_some(since_ms);
        }
        let oldest_ms = self.oldest_kept_ms(now_ms);
        let still_applies = |vm: &str, leaving: &LeavingServer| match incarnations.get(vm) {
            Some(present) => *present <= leaving.incarnation,
            None => {
                let since_ms = leaving.unlisted_since_ms.unwrap_or(now_ms);
                leaving.source == Source::Answer && since_ms >= oldest_ms
            }
        };
        let removed = self.by_vm.extract_if(.., |vm, leaving| !still_applies(vm, leaving));
        removed.map(|(vm, leaving)| (vm, leaving.incarnation)).collect()
    }

    /// Earliest time of a record's disappearance for which an entry is kept.
    fn oldest_kept_ms(&self, now_ms: u64) -> u64 {
        let unlisted = self.by_vm.values().filter_map(|leaving| leaving.unlisted_since_ms);
        let mut unlisted_ms: Vec<u64> = unlisted.collect();
        unlisted_ms.sort_unstable_by(|a, b| b.cmp(a));
        let too_many_ms = unlisted_ms.get(UNLISTED_MAX).map_or(0, |since_ms| since_ms + 1);
        too_many_ms.max((now_ms + 1).saturating_sub(UNLISTED_TTL_MS))
    }
}
