//! The life cycle of a reservation, so that wrong orders of events do not compile.
//!
//! A `Reservation<Held>` has sent nothing and may be released; dispatching makes it a
//! `Reservation<Sent>`, which can only be settled. Both moves consume the value: settling twice, or
//! dispatching without a reservation, is a type error. Neither type can be copied.

use crate::ids;
use std::marker;

/// Nothing was sent yet.
#[derive(Debug)]
pub enum Held {}

/// Something may have been sent to a backend server.
#[derive(Debug)]
pub enum Sent {}

/// Tokens set apart for one request.
#[derive(Debug)]
#[must_use = "a reservation is released or settled"]
pub struct Reservation<State> {
    budget: ids::BudgetSlot,
    bound_tokens: u64,
    state: marker::PhantomData<State>,
}

/// What is left of a reservation that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The budget it was made from.
    pub budget: ids::BudgetSlot,
    /// What had been set apart.
    pub bound_tokens: u64,
}

impl<State> Reservation<State> {
    /// The budget that it was made from.
    pub fn budget(&self) -> ids::BudgetSlot {
        self.budget
    }

    /// The most that the request can cost.
    pub fn bound_tokens(&self) -> u64 {
        self.bound_tokens
    }
}

impl Reservation<Held> {
    /// Records that `bound_tokens` were set apart; only the table of grants calls this.
    pub(crate) fn new(budget: ids::BudgetSlot, bound_tokens: u64) -> Self {
        Self { budget, bound_tokens, state: marker::PhantomData }
    }

    /// From here on the request may run.
    pub fn dispatch(self) -> Reservation<Sent> {
        Reservation {
            budget: self.budget,
            bound_tokens: self.bound_tokens,
            state: marker::PhantomData,
        }
    }

    /// Gives the tokens back: nothing was sent.
    pub(crate) fn release(self) -> Ended {
        Ended { budget: self.budget, bound_tokens: self.bound_tokens }
    }
}

impl Reservation<Sent> {
    /// Ends the reservation; the caller books what was consumed.
    pub(crate) fn settle(self) -> Ended {
        Ended { budget: self.budget, bound_tokens: self.bound_tokens }
    }
}
