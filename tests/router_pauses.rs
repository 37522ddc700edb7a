//! A router process that does not run for a while, although its machine, the servers and the clients do. Guards against
//! routers that take it for the failure of all servers: three servers were ejected within 1 ms for up to 8 s.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use routes::scripted::ScriptedWorld;
use routes::{Answer, request};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 3;
/// The time that a server takes to answer.
const SERVICE_TIME: Duration = Duration::from_millis(200);
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// A pause outlasts half of it, after which a router repeats a request, and ends before it.
const DEADLINE_MS: u64 = 2_000;
const PAUSE: Duration = Duration::from_millis(1_500);
/// Requests that arrive earlier than this before a pause are answered before it.
const BEFORE_PAUSE: Duration = Duration::from_millis(300);
const AFTER_PAUSE: Duration = Duration::from_millis(2_500);

/// Sends requests to the router at intervals until it was paused and resumed `pauses` times. None is sent during a pause:
/// the router may refuse some of those that it would find at once after it.
fn send_beside_pauses(replying: &ScriptedWorld, path: &str, pauses: usize) -> Vec<Answer> {
    let sent_for = (BEFORE_PAUSE + PAUSE + AFTER_PAUSE) * u32::try_from(pauses).unwrap();
    let started = Instant::now();
    let paused = AtomicBool::new(false);
    thread::scope(|scope| {
        let paused = &paused;
        scope.spawn(move || {
            for _ in 0..pauses {
                thread::sleep(BEFORE_PAUSE);
                paused.store(true, Ordering::Relaxed);
                replying.world.signal(0, "STOP");
                thread::sleep(PAUSE);
                replying.world.signal(0, "CONT");
                paused.store(false, Ordering::Relaxed);
                thread::sleep(AFTER_PAUSE);
            }
        });
        let mut calls = Vec::new();
        while started.elapsed() < sent_for {
            if paused.load(Ordering::Relaxed) {
                thread::sleep(REQUEST_INTERVAL);
                continue;
            }
            let id = format!("0-{}", started.elapsed().as_micros());
            calls.push(scope.spawn(move || {
                let request = routes::Request { deadline_ms: DEADLINE_MS, ..request(path, &id) };
                replying.world.call(0, &request)
            }));
            thread::sleep(REQUEST_INTERVAL);
        }
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    })
}

macro_rules! a_router_that_pauses {
    ($($name:ident: $path:literal, $pauses:literal;)*) => {$(
        #[test]
        fn $name() {
            let replying = ScriptedWorld::start(stringify!($name), 1, SERVERS, SERVICE_TIME);
            let before = Instant::now();
            let answers = send_beside_pauses(&replying, $path, $pauses);
            let log = replying.world.log(0);
            let ejections = log.lines().filter(|line| line.contains("event=server_ejected")).count();
            assert_eq!(ejections, 0, "servers were ejected:\n{log}");
            let unserved: Vec<u16> =
                answers.iter().map(|answer| answer.status).filter(|status| *status != 200).collect();
            assert!(unserved.is_empty(), "of {} requests were not served {unserved:?}", answers.len());
            let mut sends: BTreeMap<String, usize> = BTreeMap::new();
            for server in 0..SERVERS {
                for (_, id) in replying.arrivals(server, before, Instant::now()) {
                    *sends.entry(id).or_default() += 1;
                }
            }
            let repeated = sends.values().filter(|sends| **sends > 1).count();
            assert_eq!(repeated, 0, "requests were sent again although their answers had arrived");
            let paused = log.lines().filter(|line| line.contains("event=process_paused")).count();
            assert!(paused >= $pauses, "only {paused} pauses were reported:\n{log}");
        }
    )*};
}

a_router_that_pauses! {
    a_router_that_pauses_ejects_no_server: "/read/x", 1;
    a_router_that_pauses_twice_ejects_no_server: "/read/x", 2;
    a_router_that_pauses_leaves_no_unrepeatable_request_unknown: "/pay/x", 2;
}
