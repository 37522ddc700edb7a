//! The interface by routes: requests are passed on by host and path, and answers as they are.
//!
//! Both ends are `hyper` connections: they end when their peer leaves, and tell a whole answer from a
//! broken one (`tests/http_ends.rs` shows it). Everything runs on the thread of the control state.

mod attempt;
mod backends;
mod body;
mod events;
mod exchange;
mod listener;
mod pace;
mod refusal;
pub(crate) mod socket;
mod streaming;
mod ticket;

pub use listener::{Gateway, Phase, serve};
