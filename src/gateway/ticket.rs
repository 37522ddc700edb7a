//! An admitted request, which is reported to the control state as finished however it ends.

use super::event_gaps;
use crate::{control, upstream};
use actix::prelude::Addr;
use doorswitch_core::{ids, node};
use std::time::Instant;

/// Tokens that a server may generate from when a client closes its connection until the server stops.
const CANCELLATION_LAG_TOKENS: u64 = 30;

/// What a request may cost and what it has cost so far, in tokens.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The most that the request can cost in total.
    pub bound_tokens: u64,
    /// The number of tokens of the answer that were forwarded to the client.
    pub answer_tokens: u64,
}

impl Cost {
    /// The cost of the prompt and of the answer so far.
    fn tokens_so_far(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.answer_tokens).min(self.bound_tokens)
    }

    /// The most that a request may have cost whose client left before the end of the answer.
    fn cancelled_tokens(&self) -> u64 {
        self.tokens_so_far().saturating_add(CANCELLATION_LAG_TOKENS).min(self.bound_tokens)
    }
}

/// An admitted request. Dropping it before it is finished reports that it is unknown whether it ran.
pub struct Ticket {
    control: Addr<control::Control>,
    slot: ids::RequestSlot,
    /// The cost so far, updated while the answer is forwarded.
    pub cost: Cost,
    /// The times between the events of its answer.
    pub event_gaps: event_gaps::EventGaps,
    id: String,
    admitted: Instant,
    unfinished: bool,
}

impl Ticket {
    /// Wraps a request that has just been admitted to `slot`.
    pub fn new(
        control: Addr<control::Control>,
        slot: ids::RequestSlot,
        cost: Cost,
        id: String,
    ) -> Self {
        let event_gaps = event_gaps::EventGaps::new();
        Self { control, slot, cost, event_gaps, id, admitted: Instant::now(), unfinished: true }
    }

    /// Requests another server from the control thread after an attempt failed.
    pub async fn retry(&self, failure: node::AttemptFailure) -> upstream::Admission {
        upstream::retry(&self.control, self.slot, failure).await
    }

    /// Reports that the answer has started.
    pub fn report_answer_started(&self) {
        self.control.do_send(control::AnswerStarted(self.slot));
    }

    /// Finishes a request that a server answered. `healthy` is false if the answer was a server error.
    pub fn finish_ran(mut self, healthy: bool) {
        let consumed_tokens = self.cost.tokens_so_far();
        self.finish(node::RequestOutcome::Ran { consumed_tokens, outcome: None, healthy });
    }

    /// Finishes a request that did not run on any server.
    pub fn finish_not_run(mut self) {
        self.finish(node::RequestOutcome::NotRun);
    }

    /// Finishes a request whose client left, and whose server is known to have stopped soon after.
    pub fn finish_cancelled(mut self) {
        let consumed_tokens = self.cost.cancelled_tokens();
        self.finish(node::RequestOutcome::Cancelled { consumed_tokens });
    }

    /// Finishes a request whose client left, and whose run was stopped with this many tokens of its answer made.
    pub fn finish_stopped(mut self, answer_tokens: u64) {
        self.cost.answer_tokens = self.cost.answer_tokens.max(answer_tokens);
        let consumed_tokens = self.cost.tokens_so_far();
        self.finish(node::RequestOutcome::Cancelled { consumed_tokens });
    }

    /// Finishes a request that may have run in part or in full.
    pub fn finish_unknown(mut self) {
        self.finish(node::RequestOutcome::Unknown);
    }

    fn finish(&mut self, request_outcome: node::RequestOutcome) {
        self.unfinished = false;
        let (outcome, tokens) = match &request_outcome {
            node::RequestOutcome::NotRun => ("not_run", 0),
            node::RequestOutcome::Ran { consumed_tokens, healthy: true, .. } => {
                ("ran", *consumed_tokens)
            }
            node::RequestOutcome::Ran { consumed_tokens, .. } => ("failed", *consumed_tokens),
            node::RequestOutcome::Cancelled { consumed_tokens } => {
                ("client_left", *consumed_tokens)
            }
            node::RequestOutcome::Unknown => ("unknown", self.cost.bound_tokens),
        };
        log::info!(
            "event=request_ended id={} outcome={outcome} tokens={tokens} bound_tokens={} \
             took_ms={} first_event_ms={} longest_gap_ms={}",
            self.id,
            self.cost.bound_tokens,
            self.admitted.elapsed().as_millis(),
            self.event_gaps.first_event_ms(),
            self.event_gaps.longest_gap_ms(),
        );
        self.control.do_send(control::Finish { slot: self.slot, outcome: request_outcome });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.unfinished {
            self.finish(node::RequestOutcome::Unknown);
        }
    }
}
