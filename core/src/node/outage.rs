//! Measures how long requests have been refused because no tokens were available, for `Retry-After`.

/// Time without a refusal after which an outage has ended.
const OUTAGE_END_AFTER_MS: u64 = 5_000;
/// Minimum `Retry-After` of a refused request. Granted tokens last for the first seconds of an outage, so an outage
/// that causes refusals is not a short one; see docs/POLICY.md.
const RETRY_AFTER_MIN_MS: u64 = 3_000;
/// Maximum `Retry-After` of a refused request.
const RETRY_AFTER_MAX_MS: u64 = 30_000;

/// An outage of the supply of tokens, as observed by the requests that are refused.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Outage {
    since_ms: u64,
    last_refusal_ms: Option<u64>,
}

impl Outage {
    /// Records a refusal; returns the time in milliseconds after which to retry: an outage is expected to last as long
    /// again as it has lasted.
    pub(super) fn record_refusal(&mut self, now_ms: u64) -> u64 {
        let is_ongoing =
            self.last_refusal_ms.is_some_and(|at_ms| now_ms < at_ms + OUTAGE_END_AFTER_MS);
        if !is_ongoing {
            self.since_ms = now_ms;
        }
        self.last_refusal_ms = Some(now_ms);
        now_ms.saturating_sub(self.since_ms).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
    }
}
