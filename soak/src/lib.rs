//! A randomized soak: real router processes before stand-ins of the platform's store and of backend servers, with
//! faults that are injected from outside, and checks of what clients see.
//!
//! A seed gives a schedule, one list of steps; a run carries it out while one prober for each router asks for a route
//! that only the newest acknowledged configuration has. Steps can be left out by their numbers, so that a failing
//! schedule can be cut down to the few that matter.

pub mod fleet;
pub mod limited;
pub mod observe;
pub mod outspoken;
pub mod poison;
pub mod prober;
pub mod run;
pub mod schedule;
mod servers;
