//! The life cycle of a reservation, encoded in types so that a wrong order of events doesn't compile.
//!
//! The request of a `Reservation<Held>` has not been sent, and the reservation may be released. Dispatching makes it a
//! `Reservation<Sent>`, which can only be settled. Both transitions consume the value, and neither type can be copied,
//! so settling twice or dispatching without a reservation is a type error.

use crate::ids;
use std::marker;

/// The state of a [`Reservation`] whose request has not been sent to a backend server, so that the reservation may be
/// released. It is used only as a type parameter and has no values.
#[derive(Debug)]
pub enum Held {}

/// The state of a [`Reservation`] whose request may have been sent to a backend server, so that the reservation can
/// only be settled. It is used only as a type parameter and has no values.
#[derive(Debug)]
pub enum Sent {}

/// The tokens of a prepaid budget that a router sets aside for one request, as many as the request can cost at most, so
/// that other requests cannot spend them. `State` is [`Held`] before the request is sent to a backend server and
/// [`Sent`] afterwards.
#[derive(Debug)]
#[must_use = "a reservation is released or settled"]
pub struct Reservation<State> {
    budget: ids::BudgetSlot,
    bound_tokens: u64,
    state: marker::PhantomData<State>,
}

/// The budget and the number of tokens of a [`Reservation`] that has ended, because its request was not sent or its
/// cost is final. [`crate::grants::Table`] uses it to make the tokens available again or to charge them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedReservation {
    /// The budget from which the tokens were reserved.
    pub budget: ids::BudgetSlot,
    /// The number of tokens that were reserved.
    pub bound_tokens: u64,
}

impl<State> Reservation<State> {
    /// Returns the budget from which the tokens are reserved.
    pub fn budget(&self) -> ids::BudgetSlot {
        self.budget
    }

    /// Returns the maximum cost of the request, in tokens.
    pub fn bound_tokens(&self) -> u64 {
        self.bound_tokens
    }
}

impl Reservation<Held> {
    /// Returns a reservation of `bound_tokens`; only the table of grants calls this.
    pub(crate) fn new(budget: ids::BudgetSlot, bound_tokens: u64) -> Self {
        Self { budget, bound_tokens, state: marker::PhantomData }
    }

    /// Marks the request as sent, after which it may run.
    pub fn dispatch(self) -> Reservation<Sent> {
        Reservation {
            budget: self.budget,
            bound_tokens: self.bound_tokens,
            state: marker::PhantomData,
        }
    }

    /// Ends the reservation of a request that was not sent; the caller returns the tokens.
    pub(crate) fn release(self) -> EndedReservation {
        EndedReservation { budget: self.budget, bound_tokens: self.bound_tokens }
    }
}

impl Reservation<Sent> {
    /// Ends the reservation of a request that was sent; the caller records what was consumed.
    pub(crate) fn settle(self) -> EndedReservation {
        EndedReservation { budget: self.budget, bound_tokens: self.bound_tokens }
    }
}
