//! Starts scripted servers and stores their records.

use crate::fleet;
use doorswitch_standins::{backend, store, wire};
use snafu::ResultExt;

/// The software version of the servers that all have the same.
pub const VERSION: &str = "v1";

/// Starts a scripted server on a free port.
pub fn start(script: backend::Script) -> Result<backend::Backend, fleet::Error> {
    backend::Backend::start(script).context(fleet::IoSnafu { what: "start a server" })
}

/// Stores the record of a ready server. `started_ms` is when its current incarnation started, in Unix milliseconds.
pub fn record(
    store: &store::Store,
    service: &str,
    name: &str,
    server: &backend::Backend,
    started_ms: u64,
) {
    let address = server.address();
    let record = wire::Record { service, address, version: VERSION, state: "ready", started_ms };
    store.record_server(name, &record);
}
