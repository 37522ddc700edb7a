//! A server may restart under the same id, which its record shows by a later start. Guards against routers that apply
//! state of the earlier server incarnation to the later one, or keep using its connections: the restarted server has
//! lost all requests that were open before.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend;
use routes::{World, answers, long_deadline_request, request};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The maximum time from a restart until an open request is repeated or ends: well below the time that the kernel takes
/// to detect a silent connection.
const RESTART_DETECTED_WITHIN: Duration = Duration::from_millis(1_000);

/// Starts of a server, in Unix milliseconds.
const FIRST_START_MS: &str = "1796250000000";
const LATER_START_MS: &str = "1796250009000";

fn status(world: &World, router: usize) -> u16 {
    world.call(router, &request("/read/x", "id")).status
}

/// Starts one router and servers whose records contain a start time.
fn world(name: &str, scripts: Vec<backend::Script>) -> World {
    let world = World::start(name, scripts);
    for server in 0..world.backends.len() {
        world.record_server_born(server, "ready", FIRST_START_MS);
    }
    world
}

#[test]
fn a_leaving_state_does_not_apply_after_a_server_restart() {
    let mut world = world("restart-leaving", vec![answers("0")]);
    world.add_router();
    for router in [0, 1] {
        world.wait_ready(router);
        fleet::eventually("the server is used", || status(&world, router) == 200);
    }
    world.record_server_born(0, "draining", FIRST_START_MS);
    for router in [0, 1] {
        fleet::eventually("the router receives that the server leaves", || {
            status(&world, router) == 503
        });
    }
    world.record_server_born(0, "ready", LATER_START_MS);
    for router in [0, 1] {
        fleet::eventually("the restarted server is used", || status(&world, router) == 200);
    }
}

#[test]
fn a_record_of_an_earlier_start_is_ignored() {
    let world = world("restart-older", vec![answers("0")]);
    world.record_server_born(0, "ready", LATER_START_MS);
    fleet::eventually("the server is used", || status(&world, 0) == 200);
    world.record_server_born(0, "draining", FIRST_START_MS);
    // An unreadable entry that is written afterwards shows in the log when the router has read both.
    world.store.put("servers/mark", b"{");
    fleet::eventually("the marker entry is read", || world.log(0).contains("key=\"servers/mark\""));
    assert!(
        (0..20).all(|_| status(&world, 0) == 200),
        "the older record is used: {}",
        world.log(0)
    );
}

/// A server that leaves the first request unanswered.
fn first_unanswered(received: &Arc<AtomicUsize>) -> backend::Script {
    let received = received.clone();
    Box::new(move |_, _| match received.fetch_add(1, Ordering::Relaxed) {
        0 => vec![backend::Step::AwaitClose],
        _ => vec![backend::response("200 OK", "answer")],
    })
}

/// Keeps a request open at a server that restarts; returns the status of the answer, the time from the restart to the
/// answer and the number of requests that the server received.
fn open_request_at_a_restart(name: &str, path: &str) -> (u16, Duration, usize) {
    let received = Arc::new(AtomicUsize::new(0));
    let world = world(name, vec![first_unanswered(&received)]);
    let mut client = world.send(0, &long_deadline_request(path, "id"));
    fleet::eventually("the request is received", || received.load(Ordering::Relaxed) == 1);
    // The connection must be older than the time in which a router may already have connected to the restarted server.
    std::thread::sleep(Duration::from_millis(1_500));
    world.record_server_born(0, "ready", LATER_START_MS);
    let restarted = Instant::now();
    let answer = routes::read_answer(&mut client);
    (answer.status, restarted.elapsed(), received.load(Ordering::Relaxed))
}

#[test]
fn an_open_repeatable_request_is_repeated_after_a_server_restart() {
    let (status, took, received) = open_request_at_a_restart("restart-repeat", "/long/x");
    assert_eq!((status, received), (200, 2), "not repeated, answered after {took:?}");
    assert!(took < RESTART_DETECTED_WITHIN, "answered only after {took:?}");
}

#[test]
fn an_open_unrepeatable_request_ends_at_a_server_restart() {
    let (status, took, received) = open_request_at_a_restart("restart-once", "/long-pay/x");
    assert_eq!((status, received), (502, 1), "not ended, answered after {took:?}");
    assert!(took < RESTART_DETECTED_WITHIN, "answered only after {took:?}");
}

#[test]
fn idle_connections_are_not_reused_after_a_server_restart() {
    let world = world("restart-idle", vec![answers("0")]);
    fleet::eventually("the server is used", || status(&world, 0) == 200);
    assert_eq!(status(&world, 0), 200);
    let before = world.backends[0].requests().last().unwrap().connection;
    world.record_server_born(0, "ready", LATER_START_MS);
    world.store.put("servers/mark", b"{");
    fleet::eventually("the marker entry is read", || world.log(0).contains("key=\"servers/mark\""));
    assert_eq!(status(&world, 0), 200);
    let after = world.backends[0].requests().last().unwrap().connection;
    assert_ne!(before, after);
}

macro_rules! unreadable_starts {
    ($($name:ident: $born:literal;)*) => { $(
        #[test]
        fn $name() {
            let mut world = world(stringify!($name), vec![answers("0"), answers("1")]);
            world.record_server_born(0, "ready", $born);
            // Only the server with the unreadable start remains.
            world.record_server_born(1, "draining", FIRST_START_MS);
            world.add_router();
            for router in [0, 1] {
                world.wait_ready(router);
                fleet::eventually("no server is used", || status(&world, router) == 503);
            }
        }
    )* };
}

unreadable_starts! {
    a_record_with_a_negative_start_is_not_used: "-5";
    a_record_with_a_fractional_start_is_not_used: "1796250000000.5";
    a_record_with_a_start_that_is_text_is_not_used: "\"1796250000000\"";
    a_record_with_a_start_that_is_null_is_not_used: "null";
    a_record_with_a_huge_start_is_not_used: "1e300";
}

#[test]
fn a_record_without_a_start_is_not_used_beside_those_with_one() {
    let mut world = World::start("restart-undated", vec![answers("0"), answers("1")]);
    fleet::eventually("the server is used", || status(&world, 0) == 200);
    world.record_server_born(1, "draining", FIRST_START_MS);
    world.add_router();
    for router in [0, 1] {
        world.wait_ready(router);
        fleet::eventually("no server is used", || status(&world, router) == 503);
    }
}
