//! A randomized soak test: real router processes in front of stand-ins for the platform's store and for backend
//! servers, with faults injected from outside, and checks of the answers that clients receive.
//!
//! A seed determines a schedule, which is a list of steps. During the run, one prober per router requests a route that
//! exists only in the newest acknowledged configuration. Steps can be selected by their numbers, so that a failing
//! schedule can be reduced to the steps that cause the failure.

pub mod directives;
pub mod fleet;
pub mod late_copies;
pub mod limited;
pub mod observe;
pub mod partitions;
pub mod poison;
pub mod prober;
pub mod run;
pub mod schedule;
mod servers;
mod streams;
pub mod versions;
