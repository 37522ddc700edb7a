//! Small stand-ins for the external systems that doorswitch depends on, for tests and for the demonstration.
//!
//! Each implements the published interface of the real system, keeps all state in memory and can simulate faults. They
//! are not part of the product.

pub mod backend;
pub mod cli;
pub mod engine;
pub mod late_copies;
pub mod network;
pub mod platform;
pub mod ports;
pub mod replies;
pub mod runs;
pub mod server;
pub mod service;
pub mod store;
pub mod wire;
