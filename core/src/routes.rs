//! Routes: which service answers a request that names a host and a path, and within which limits.

use crate::rendezvous;
use serde::{Deserialize, Serialize};

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that a request must name.
    pub host: String,
    /// What its path must begin with.
    pub path_prefix: String,
    /// How its requests may be repeated, and the form of their answers.
    pub kind: RouteKind,
    /// The longest time that a request may be held.
    pub timeout_ms: u64,
    /// The time within which an answer is wanted.
    pub target_ms: u64,
    /// Its rank; higher goes first.
    pub priority: u8,
    /// The services that serve it, with the share of each.
    pub targets: Vec<Target>,
    /// The most servers that one request may be sent to.
    pub attempts_max: u32,
    /// Whether it may be called without a key.
    pub public: bool,
    /// Whether a stream may be continued at another server.
    pub resumable: bool,
}

/// How requests may be repeated.
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

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The service.
    pub service: String,
    /// Its part of the sum of all weights.
    pub weight: u64,
}

impl Route {
    /// Whether a request may run again after it may have run.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// The service for a request; equal digests get the same one.
    pub fn service(&self, digest: u64) -> Option<&str> {
        let sum: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut place = rendezvous::mix(digest).checked_rem(sum)?;
        for target in &self.targets {
            match place.checked_sub(target.weight) {
                Some(left) => place = left,
                None => return Some(&target.service),
            }
        }
        None
    }
}

/// The route for a host and a path: the one with the longest prefix.
pub fn find<'a>(routes: &'a [Route], host: &str, path: &str) -> Option<&'a Route> {
    routes
        .iter()
        .filter(|route| route.host.eq_ignore_ascii_case(host))
        .filter(|route| path.starts_with(&route.path_prefix))
        .max_by_key(|route| route.path_prefix.len())
}
