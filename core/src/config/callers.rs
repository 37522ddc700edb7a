//! The limits on what clients of routes send.

use serde::{Deserialize, Serialize};

/// The operator's limits on the connections of clients whose requests are forwarded by a [`crate::routes::Route`]: the
/// largest head and body of a request, and the longest time to receive a head or to be idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes_max: u64,
    /// The largest body of a request, in bytes.
    pub body_bytes_max: u64,
    /// The longest time that receiving a head may take, in milliseconds. The routers measure it together with the idle
    /// time before the head, and the longer of the two limits applies.
    pub head_read_ms: u64,
    /// The longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes_max: 16 << 10,
            body_bytes_max: 2 << 20,
            head_read_ms: 5_000,
            idle_ms: 60_000,
        }
    }
}
