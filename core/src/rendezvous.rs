//! Rendezvous hashing: every router with the same member list ranks the members alike, without a
//! table.

use crate::ids;

/// Scrambles a value with the finalizer of SplitMix64.
pub fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Hash of a name.
pub fn digest(name: &str) -> u64 {
    name.bytes().fold(0, |hash, byte| mix(hash ^ u64::from(byte)))
}

/// The weight of `member` for `subject`; the member with the highest weight is the first choice.
pub fn weight(subject: u64, member: u64) -> u64 {
    mix(subject ^ mix(member))
}

/// Returns the member with the highest weight for a subject.
pub fn first(
    subject: u64,
    members: impl Iterator<Item = ids::Incarnation>,
) -> Option<ids::Incarnation> {
    members.max_by_key(|member| weight(subject, member.0))
}
