//! Limits on callers of routes.

use serde::{Deserialize, Serialize};

/// What a caller of a route may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// The largest head of a request.
    pub head_bytes_max: u64,
    /// The largest body of a request.
    pub body_bytes_max: u64,
    /// How long a head may take to arrive.
    pub head_read_ms: u64,
    /// How long a connection may rest.
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
