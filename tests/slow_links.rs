//! A configuration that is large for the link over which it is read. Guards against a timeout that covers the whole
//! answer, although bytes keep arriving.
//!
//! If all routers of a deployment read 350 KB at once over shared links, and each answer has to be complete within the
//! second that a call may take beyond its wait, none is: `event=watch_failed prefix=op/ wait_ms=10 after_ms=1018
//! fault="... Response Payload IO timed out"`, from 16.3 s to 20.7 s at all 18 routers. A revoked key is served for
//! 4.8 s.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use routes::{KEY, PREPAID, World, answers, request};

/// The throughput of the link: the answer takes about three seconds.
const LINK_BYTES_PER_S: u64 = 200_000;
/// The number of keys in the configuration, at some 70 bytes each as they are transferred.
const KEYS: usize = 8_000;

#[test]
fn a_large_configuration_arrives_over_a_slow_link() {
    let mut world = World::start_behind_proxies("slow-links", vec![answers("0")]);
    assert_eq!(world.call(0, &request("/read/x", "id")).status, 200);
    let network = world.store_proxy.as_ref().unwrap();
    network.change(|faults| faults.cut_all = true);
    fleet::eventually("calls fail", || world.log(0).contains("event=watch_failed prefix=op/"));
    let keys: Vec<String> = (0..KEYS).map(|number| format!("{number:050}")).collect();
    let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
    world.publish(&keys, PREPAID);
    world.store_proxy.as_ref().unwrap().change(|faults| {
        faults.cut_all = false;
        faults.bytes_per_s = LINK_BYTES_PER_S;
    });
    let refused = || world.call(0, &request("/read/x", "id")).status == 401;
    assert!(
        fleet::holds_within(std::time::Duration::from_secs(15), refused),
        "{KEY} is still accepted: {}",
        world.log(0)
    );
}
