//! Updates the position and age of a copy from answers, failed polls and peers' reports.

use super::{
    Confirmation, Evidence, PollInFlight, RETRY_DELAY_FIRST_MS, Role, STALE_POLLS_PER_S,
    Subscription,
};
use crate::store;
use rand::RngExt;
use rand::rngs;

/// The delay of the next poll after a change, so that changes in quick succession need only one poll.
const BATCH_DELAY_MS: u64 = 100;
/// The same where every router polls. It must be well below the bounds of a deployment, of which the smallest in
/// use is two seconds.
const EVERY_ROUTER_BATCH_DELAY_MS: u64 = 500;

impl Subscription {
    /// Prepares for a full poll after a restore of the store. Returns the numbers of the polls in flight, which are to
    /// be canceled.
    pub fn reset_after_restore(&mut self, now_ms: u64) -> Vec<u64> {
        self.needs_full_state = true;
        self.superseded = None;
        self.not_before_ms = now_ms;
        self.retry_backoff.reset();
        let canceled = [self.long_poll.take(), self.freshness_check.take()];
        canceled.into_iter().flatten().map(|flight| flight.number).collect()
    }

    /// Discards the position of the copy and the time at which it was last current.
    pub fn discard_copy(&mut self) {
        self.position = store::Position::START;
        self.confirmed_ms = None;
        self.confirmation = None;
    }

    /// Handles the answer to a poll; `changed` is whether it contained changes.
    pub fn handle_answer(
        &mut self,
        role: Role,
        flight: PollInFlight,
        position: store::Position,
        changed: bool,
        now_ms: u64,
    ) {
        self.retry_backoff.reset();
        self.needs_full_state = false;
        self.unanswered = false;
        // The store sends an answer without changes when the wait is over, one with changes at any time before.
        let waited_ms = if changed { 0 } else { flight.wait_ms };
        let current_ms = match now_ms >= flight.sent_ms + waited_ms {
            true => flight.sent_ms + waited_ms,
            false => flight.sent_ms,
        };
        self.not_before_ms = match (changed, role) {
            (false, _) => now_ms,
            (true, Role::EveryRouter) => now_ms + EVERY_ROUTER_BATCH_DELAY_MS,
            (true, _) => now_ms + BATCH_DELAY_MS,
        };
        if changed && self.long_poll.is_some_and(|long_poll| long_poll.sent_ms < flight.sent_ms) {
            self.supersede(Evidence::LaterCall, now_ms);
        }
        let confirmation = Confirmation { router: self.router, at_ms: current_ms };
        self.confirm(position, current_ms, Some(confirmation));
        self.last_rejected_ms = None;
    }

    /// Records that the store no longer has the history since the copy's revision, so that the next poll requests the
    /// full state.
    pub fn request_full_state(&mut self) {
        self.needs_full_state = true;
    }

    /// Handles a failed poll. `rejected` is whether the store rejected it; a missing answer may be caused by this
    /// router's own connection.
    pub fn handle_failure(
        &mut self,
        rejected: bool,
        role: Role,
        routers: u64,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) {
        self.unanswered = true;
        self.last_failed_ms = Some(now_ms);
        if rejected {
            self.last_rejected_ms = Some(now_ms);
        }
        // A poll without an answer has already taken its whole timeout.
        let delay_ms = match rejected {
            true => RETRY_DELAY_FIRST_MS / 2 + self.retry_backoff.next_delay_ms(rng),
            false => rng.random_range(0..RETRY_DELAY_FIRST_MS / 2),
        };
        self.not_before_ms = now_ms + delay_ms;
        if role == Role::Listener {
            // Other routers poll soon, so this one need not.
            let window_ms = routers * 1_000 / STALE_POLLS_PER_S;
            let half_ms = window_ms / 2;
            self.stale_poll_ms = Some(now_ms + rng.random_range(half_ms..=half_ms + window_ms));
        }
    }

    /// Records that the copy, at `position` or a later one, matched the store at `confirmed_ms`, as `confirmation` showed.
    /// Returns by how many milliseconds the copy's age decreased.
    pub fn confirm(
        &mut self,
        position: store::Position,
        confirmed_ms: u64,
        confirmation: Option<Confirmation>,
    ) -> u64 {
        self.position = self.position.max(position);
        let before_ms = self.confirmed_ms.unwrap_or(0);
        if self.confirmed_ms.is_some() && confirmed_ms <= before_ms {
            return 0;
        }
        self.confirmed_ms = Some(confirmed_ms);
        self.confirmation = confirmation;
        self.last_rejected_ms = self.last_rejected_ms.filter(|at_ms| confirmed_ms <= *at_ms);
        confirmed_ms.saturating_sub(before_ms)
    }

    /// Records that this router has taken over a peer's copy at `position`.
    pub fn adopt(&mut self, position: store::Position) {
        self.position = self.position.max(position);
    }
}
