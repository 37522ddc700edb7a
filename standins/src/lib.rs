//! Small stand-ins for what doorswitch meets outside itself, for tests and for the demonstration.
//!
//! Each speaks the published form of the real thing, keeps all state in memory and can be told to
//! misbehave. They are not part of the product.

pub mod backend;
pub mod cli;
pub mod engine;
pub mod network;
pub mod platform;
pub mod ports;
pub mod replies;
pub mod server;
pub mod service;
pub mod store;
pub mod wire;
