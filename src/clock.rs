//! Reads the wall clock, for times that leave the process. Durations are measured with the monotonic clock instead.

use std::time;

/// The current time in Unix seconds; 0 if the clock shows a time before 1970.
pub fn unix_time_s() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
