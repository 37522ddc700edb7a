//! A request's place in the control state, which is given back however the request ends.

use super::pace;
use crate::{control, upstream};
use actix::prelude::Addr;
use doorswitch_core::{ids, node};
use std::time::Instant;

/// Tokens that a server may make between a client's leaving and its own noticing.
const UNSEEN_TOKENS: u64 = 30;

/// What a request may cost and has cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most that it can cost in all.
    pub bound_tokens: u64,
    /// Tokens of the answer that were passed on.
    pub answer_tokens: u64,
}

impl Cost {
    /// What a whole answer cost.
    fn whole(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.answer_tokens).min(self.bound_tokens)
    }

    /// What an answer may have cost that was given up midway.
    fn given_up(&self) -> u64 {
        self.whole().saturating_add(UNSEEN_TOKENS).min(self.bound_tokens)
    }
}

/// A request that was admitted. Dropping it before its end means that the client left.
pub struct Ticket {
    control: Addr<control::Control>,
    slot: ids::RequestSlot,
    /// What it costs.
    pub cost: Cost,
    /// How fast its events come.
    pub pace: pace::Pace,
    id: String,
    admitted: Instant,
    open: bool,
}

impl Ticket {
    /// A request that was admitted.
    pub fn new(
        control: Addr<control::Control>,
        slot: ids::RequestSlot,
        cost: Cost,
        id: String,
    ) -> Self {
        let pace = pace::Pace::new();
        Self { control, slot, cost, pace, id, admitted: Instant::now(), open: true }
    }

    /// Asks for another server.
    pub async fn retry(&self, tried: node::Tried) -> upstream::Admission {
        upstream::retry(&self.control, self.slot, tried).await
    }

    /// The answer has begun.
    pub fn answering(&self) {
        self.control.do_send(control::AnswerStarted(self.slot));
    }

    /// The server answered; `healthy` tells whether it did so as it should.
    pub fn ran(mut self, healthy: bool) {
        let consumed_tokens = self.cost.whole();
        self.end(node::Ending::Ran { consumed_tokens, outcome: None, healthy });
    }

    /// It certainly did not run.
    pub fn not_run(mut self) {
        self.end(node::Ending::NotRun);
    }

    /// It may have run; nobody knows how far.
    pub fn unknown(mut self) {
        self.end(node::Ending::Unknown);
    }

    fn end(&mut self, ending: node::Ending) {
        self.open = false;
        let (outcome, tokens) = match &ending {
            node::Ending::NotRun => ("not_run", 0),
            node::Ending::Ran { consumed_tokens, healthy: true, .. } => ("ran", *consumed_tokens),
            node::Ending::Ran { consumed_tokens, .. } => ("failed", *consumed_tokens),
            node::Ending::Cancelled { consumed_tokens } => ("client_left", *consumed_tokens),
            node::Ending::Unknown => ("unknown", self.cost.bound_tokens),
        };
        log::info!(
            "event=request_ended id={} outcome={outcome} tokens={tokens} bound_tokens={} \
             took_ms={} first_event_ms={} longest_gap_ms={}",
            self.id,
            self.cost.bound_tokens,
            self.admitted.elapsed().as_millis(),
            self.pace.first_event_ms(),
            self.pace.longest_gap_ms(),
        );
        self.control.do_send(control::Finish { slot: self.slot, outcome: ending });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.open {
            let consumed_tokens = self.cost.given_up();
            self.end(node::Ending::Cancelled { consumed_tokens });
        }
    }
}
