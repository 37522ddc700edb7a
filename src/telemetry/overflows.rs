//! Connections that the kernel drops because a listening socket has no room for them.

use std::fs;

/// The kernel's counters of the network namespace that this process is in.
const COUNTERS_FILE: &str = "/proc/self/net/netstat";
const GROUP: &str = "TcpExt:";
const COUNTER: &str = "ListenOverflows";

/// The number of connections that were dropped since the host started, at all of its listening sockets; `None` if the
/// kernel does not tell it.
pub fn read() -> Option<u64> {
    let counters = fs::read_to_string(COUNTERS_FILE).ok()?;
    // Each group has a line of names, then one of values.
    let mut lines = counters.lines().filter_map(|line| line.strip_prefix(GROUP));
    let (names, values) = (lines.next()?, lines.next()?);
    let position = names.split_whitespace().position(|name| name == COUNTER)?;
    values.split_whitespace().nth(position)?.parse().ok()
}
