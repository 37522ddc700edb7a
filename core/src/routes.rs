//! Routes: which service answers a request for a host and a path, and within which limits.

use crate::rendezvous;
use serde::{Deserialize, Serialize};

/// A rule of the configuration by which requests with one host and path prefix are sent to the backend servers of one
/// or more services, with the time limits, the priority and the retries that apply to them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that a request must name.
    pub host: String,
    /// Prefix that the path of a request must have.
    pub path_prefix: String,
    /// How requests may be repeated, and the form of the answers.
    pub kind: RouteKind,
    /// Maximum time for which a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is expected, in milliseconds. The routers do not use it.
    pub target_ms: u64,
    /// Priority; higher values go first.
    pub priority: u8,
    /// Services that handle the route, with their weights.
    pub targets: Vec<Target>,
    /// Maximum number of servers to which one request may be sent.
    pub attempts_max: u32,
    /// Whether the route may be called without a key.
    pub public: bool,
    /// Whether an interrupted stream may be continued on another server.
    pub resumable: bool,
}

/// Whether a request of a [`Route`] may run more than once after a failure, must run at most once, or is answered by a
/// stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The answer is a stream of events.
    Stream,
}

/// One of the services to which a [`Route`] sends requests, with the service's share of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Its share, relative to the sum of all weights of the route.
    pub weight: u64,
}

impl Route {
    /// Whether a request may run again after it may already have run.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Selects the service for a request; equal digests select the same service.
    pub fn service(&self, digest: u64) -> Option<&str> {
        let sum: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut position = rendezvous::mix(digest).checked_rem(sum)?;
        for target in &self.targets {
            match position.checked_sub(target.weight) {
                Some(rest) => position = rest,
                None => return Some(&target.service),
            }
        }
        None
    }
}

/// Finds the route for a host and a path: the one with the longest matching prefix.
pub fn find<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    routes
        .iter()
        .filter(|route| route.host.eq_ignore_ascii_case(host))
        .filter(|route| path.starts_with(&route.path_prefix))
        .max_by_key(|route| route.path_prefix.len())
}
