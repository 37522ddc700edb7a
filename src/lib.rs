//! doorswitch: a router fleet that puts prepaid token budgets before model and application backend
//! servers.
//!
//! The decisions are made in `doorswitch-core`, without any input or output. This crate runs it: one thread owns the
//! control state and exchanges messages with the platform and with other routers, other threads serve callers.

pub mod answer_memory;
pub mod answers;
pub mod api_error;
pub mod auth;
pub mod bound;
pub mod clock;
pub mod cmd;
pub mod completion;
pub mod control;
pub mod descriptors;
pub mod document;
pub mod events;
pub mod feed;
pub mod fingerprint;
pub mod front;
pub mod gateway;
pub mod http_client;
pub mod keep_alive;
pub mod links;
pub mod logging;
pub mod model;
pub mod operator;
pub mod peers;
pub mod plain;
pub mod platform;
pub mod policy;
pub mod probe;
pub mod publish;
pub mod reload;
pub mod reply;
pub mod router;
pub mod settings;
pub mod snapshot;
pub mod telemetry;
pub mod timer;
pub mod upstream;
