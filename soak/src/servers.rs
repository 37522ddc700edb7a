//! Scripted servers of a soak, and their records.

use crate::fleet;
use doorswitch_standins::{backend, store, wire};
use snafu::ResultExt;

/// Starts a server.
pub fn start(script: backend::Script) -> Result<backend::Backend, fleet::Error> {
    backend::Backend::start(script).context(fleet::IoSnafu { what: "start a server" })
}

/// Records a server as ready, with when its present life started, in Unix milliseconds.
pub fn record(
    store: &store::Store,
    service: &str,
    name: &str,
    server: &backend::Backend,
    started_ms: u64,
) {
    let address = server.address();
    let record = wire::Record { service, address, state: "ready", started_ms };
    store.record_server(name, &record);
}
