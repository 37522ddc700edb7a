//! Reads the wall clock, for times that leave the process, and the steady clock of the machine, which goes on when the
//! process ends. Durations are measured with the monotonic clock of the standard library instead.

use crate::auth;
use doorswitch_core::machine_clock;
use nix::time as steady;
use std::{fs, time};

/// The kernel's random id of the time since the machine started.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
/// Names the time namespace, in which a container may have a steady clock of its own.
const TIME_NAMESPACE: &str = "/proc/self/ns/time";
/// The digits of the digest that tells runs of the clock apart.
const BOOT_DIGITS: usize = 16;

/// The current time in Unix seconds; 0 if the clock shows a time before 1970.
pub fn unix_time_s() -> u64 {
    since_unix_epoch().as_secs()
}

fn since_unix_epoch() -> time::Duration {
    time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default()
}

/// The time of the machine's steady clock in milliseconds; `None` if it cannot be read. Steps of the time of day do not
/// change it. It stands still while the machine is suspended.
pub fn machine_time_ms() -> Option<u64> {
    let now = steady::clock_gettime(steady::ClockId::CLOCK_MONOTONIC).ok()?;
    u64::try_from(time::Duration::from(now).as_millis()).ok()
}

/// The machine's steady clock, for a process that had bound its address for peers at `address_bound_ms` and whose node
/// starts now. `None` if the run of the clock cannot be identified.
pub fn machine_clock(address_bound_ms: Option<u64>) -> Option<machine_clock::MachineClock> {
    let boot_id = fs::read_to_string(BOOT_ID).ok()?;
    let namespace = fs::read_link(TIME_NAMESPACE).unwrap_or_default();
    let mut boot = auth::digest_hex(&format!("{} {}", boot_id.trim(), namespace.display()));
    boot.truncate(BOOT_DIGITS);
    let origin_ms = machine_time_ms()?;
    let unix_ms = u64::try_from(since_unix_epoch().as_millis()).ok()?;
    Some(machine_clock::MachineClock {
        run: machine_clock::ClockRun { boot, epoch_ms: unix_ms.checked_sub(origin_ms)? },
        origin_ms,
        address_bound_ms: address_bound_ms?,
    })
}
