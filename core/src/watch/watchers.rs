//! Who watches the store for a larger fleet.

use crate::{ids, members, rendezvous};

/// How many routers watch for a larger fleet. Two, in different failure domains, so that nothing waits
/// for an election when one is lost.
pub const WATCHERS: usize = 2;

/// The routers that watch for all: the first in rank, and the next one in another failure domain, if
/// there is one. Every router that knows the same members names the same ones.
pub fn watchers<'a>(members: impl Iterator<Item = &'a members::Record>) -> Vec<ids::Incarnation> {
    let subject = rendezvous::digest("watch");
    let mut ranked: Vec<&members::Record> = members.collect();
    ranked.sort_by_cached_key(|member| {
        std::cmp::Reverse((rendezvous::weight(subject, member.id.0), member.id))
    });
    let Some(first) = ranked.first().copied() else { return Vec::new() };
    let elsewhere = |member: &&&members::Record| member.failure_domain != first.failure_domain;
    let second = ranked.iter().skip(1).find(elsewhere).or(ranked.get(1));
    let mut watchers: Vec<ids::Incarnation> =
        [Some(&first), second].into_iter().flatten().map(|member| member.id).collect();
    watchers.truncate(WATCHERS);
    watchers
}
