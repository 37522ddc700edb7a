//! How long requests have been refused because no tokens could be had, for `Retry-After`.

/// An outage has ended if nothing was refused by it for so long.
const ENDED_AFTER_MS: u64 = 5_000;
/// Whoever is refused by an outage shall not come back before this. What is held in hand lasts for some
/// seconds of it, so one that refuses is not a short one. Chosen on one site, see docs/POLICY.md.
const COME_BACK_LEAST_MS: u64 = 3_000;
/// Nor be told to stay away longer than this.
const COME_BACK_MOST_MS: u64 = 30_000;

/// An outage as the requests that it refuses show it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outage {
    since_ms: u64,
    refused_ms: Option<u64>,
}

impl Outage {
    /// Notes a refusal; returns when to come back. One that has lasted long is likely to last as long again.
    pub(super) fn refuse(&mut self, now_ms: u64) -> u64 {
        let goes_on = self.refused_ms.is_some_and(|at_ms| now_ms < at_ms + ENDED_AFTER_MS);
        if !goes_on {
            self.since_ms = now_ms;
        }
        self.refused_ms = Some(now_ms);
        now_ms.saturating_sub(self.since_ms).clamp(COME_BACK_LEAST_MS, COME_BACK_MOST_MS)
    }
}
