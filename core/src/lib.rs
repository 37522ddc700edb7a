//! The decision logic of doorswitch, without I/O.
//!
//! Time is passed in as an argument, randomness as a seeded generator and messages as typed values; the output is a
//! list of typed actions. Nothing here opens a socket, reads a clock, locks or logs, so tests can run any interleaving
//! of loss, delay, duplication, process pauses and crashes.

pub mod backoff;
pub mod config;
pub mod evacuation;
pub mod gossip_rotation;
pub mod grants;
pub mod ids;
pub mod leaving_servers;
pub mod ledger;
pub mod ledger_writer;
pub mod limiter;
pub mod links;
pub mod log_index;
pub mod log_writer;
pub mod machine_clock;
pub mod members;
pub mod message;
pub mod node;
pub mod outbox;
pub mod quarantine;
pub mod rendezvous;
pub mod request;
pub mod retry;
pub mod routes;
pub mod servers;
pub mod store;
pub mod streams;
pub mod version_record;
pub mod watch;
