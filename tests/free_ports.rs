//! Tests that the ports allocated to the routers of a test fleet can be bound.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

const PORT_COUNT: usize = 2_000;

/// Guards against ports kept in use by child processes that inherited a probe socket and have not yet called exec.
#[test]
fn a_free_port_is_free_while_other_processes_start() {
    let stop = AtomicBool::new(false);
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let failed_binds = thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    Command::new("true").status().unwrap();
                }
            });
        }
        let bind_fails = |_: &usize| TcpListener::bind(fleet::free_port(ip)).is_err();
        let failed_binds = (0..PORT_COUNT).filter(bind_fails).count();
        stop.store(true, Ordering::Relaxed);
        failed_binds
    });
    assert_eq!(failed_binds, 0, "ports returned as free could not be bound");
}
