//! Prompt parts with which requests have succeeded at this router.

use crate::ids;
use std::collections;

/// Number of parts after which the older half is forgotten, at about 40 bytes each.
const GENERATION_MAX: usize = 8_192;

/// The times of the last successful runs of requests with a prompt part. Bounded: parts that have not been used for the
/// longest time are forgotten first, so that ever new parts do not evict those in use.
#[derive(Debug, Default)]
pub(super) struct SoundParts {
    recent: collections::HashMap<ids::Fingerprint, u64>,
    earlier: collections::HashMap<ids::Fingerprint, u64>,
}

impl SoundParts {
    pub(super) fn record_success(&mut self, part: ids::Fingerprint, now_ms: u64) {
        self.recent.insert(part, now_ms);
        if self.recent.len() >= GENERATION_MAX {
            self.earlier = std::mem::take(&mut self.recent);
        }
    }

    pub(super) fn last_success_ms(&self, part: &ids::Fingerprint) -> Option<u64> {
        self.recent.get(part).or_else(|| self.earlier.get(part)).copied()
    }
}
