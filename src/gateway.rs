//! The gateway: forwards requests to backend servers by routes, which match host and path, and returns the answers
//! unchanged.
//!
//! Both sides are `hyper` connections: they end when the peer closes, and an answer that is cut short can be
//! distinguished from a complete one (see `tests/http_ends.rs`). Everything runs on the control thread.

mod abandoned;
mod attempt;
mod backends;
mod body;
mod clients;
mod continuation;
mod dispatch;
mod event_gaps;
mod exchange;
mod history;
mod lag;
mod listener;
mod outliving;
mod refusal;
mod silence;
pub(crate) mod socket;
mod stopped_runs;
mod streaming;
mod ticket;

pub use listener::{Gateway, Phase, serve, watch_silence_and_lag};
