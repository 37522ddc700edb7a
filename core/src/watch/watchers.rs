//! Chooses the routers that poll the store on behalf of a larger fleet.

use crate::{ids, members, rendezvous};

/// The number of routers that poll the store for a larger fleet: two, in different failure domains, so that polling
/// goes on without an election if one fails.
pub const WATCHERS: usize = 2;

/// Returns the routers that poll for all: the first in rank, and the next one in another failure domain, or in the same
/// one if there is no other. Routers with the same membership list choose the same watchers.
pub fn watchers<'a>(members: impl Iterator<Item = &'a members::Record>) -> Vec<ids::Incarnation> {
    let subject = rendezvous::digest("watch");
    let mut ranked: Vec<&members::Record> = members.collect();
    ranked.sort_by_cached_key(|member| {
        std::cmp::Reverse((rendezvous::weight(subject, member.id.0), member.id))
    });
    let Some(first) = ranked.first().copied() else { return Vec::new() };
    let other_domain = |member: &&&members::Record| member.failure_domain != first.failure_domain;
    let second = ranked.iter().skip(1).find(other_domain).or(ranked.get(1));
    let mut watchers: Vec<ids::Incarnation> =
        [Some(&first), second].into_iter().flatten().map(|member| member.id).collect();
    watchers.truncate(WATCHERS);
    watchers
}
