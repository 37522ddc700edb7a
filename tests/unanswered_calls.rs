//! Calls that the other end receives and never answers, while it answers all others and keeps its connections open.
//! Guards against routers that wait for such a call until it times out.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend;
use routes::{KEY, PREPAID, World, answers, request};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The bound of the routers' settings, plus the time for a poll.
const CHANGE_BOUND: Duration = Duration::from_millis(2_000 + 1_000);

fn world(name: &str) -> World {
    World::start(name, vec![answers("0"), answers("1")])
}

fn status(world: &World, id: &str) -> u16 {
    world.call(0, &request("/read/x", id)).status
}

/// Leaves both open long polls of the router unanswered.
fn leave_polls_unanswered(world: &World) {
    fleet::eventually("both polls wait", || world.store.open_watches() == 2);
    world.store.leave_open_watches_unanswered();
}

#[test]
fn unanswered_polls_do_not_hide_a_new_configuration() {
    let mut world = world("unanswered-configuration");
    assert_eq!(status(&world, "before"), 200);
    leave_polls_unanswered(&world);
    world.publish(&["another-key"], PREPAID);
    let published = Instant::now();
    fleet::eventually("the old key is refused", || status(&world, "after") == 401);
    let delay = published.elapsed();
    assert!(delay < CHANGE_BOUND, "{KEY} was refused only after {delay:?}: {}", world.log(0));
}

#[test]
fn unanswered_polls_do_not_hide_a_leaving_server() {
    let world = world("unanswered-leaving");
    let leaving = world.call(0, &request("/read/x", "first")).text();
    leave_polls_unanswered(&world);
    world.record_server(leaving.parse().unwrap(), "draining");
    let recorded_at = Instant::now();
    let answering_server = || world.call(0, &request("/read/x", "id")).text();
    let logged = format!("event=server_leaving vm=i-{leaving} ");
    fleet::eventually("the router receives that the server leaves", || {
        world.log(0).contains(&logged)
    });
    let delay = recorded_at.elapsed();
    assert!(delay < CHANGE_BOUND, "received only after {delay:?}: {}", world.log(0));
    assert!((0..20).all(|_| answering_server() != leaving));
}

/// A server that answers all requests but the first that any of the servers receives.
fn first_unanswered(received: &Arc<AtomicUsize>) -> backend::Script {
    let received = received.clone();
    Box::new(move |_, _| match received.fetch_add(1, Ordering::Relaxed) {
        0 => vec![backend::Step::AwaitClose],
        _ => vec![backend::response("200 OK", "answer")],
    })
}

#[test]
fn unanswered_requests_to_a_server_are_repeated_elsewhere_within_the_deadline() {
    let received = Arc::new(AtomicUsize::new(0));
    let scripts = vec![first_unanswered(&received), first_unanswered(&received)];
    let world = World::start("unanswered-server", scripts);
    let began = Instant::now();
    // The client waits for 3 s.
    let answer = world.call(0, &request("/read/x", "id"));
    let took = began.elapsed();
    assert_eq!(answer.status, 200, "failed after {took:?}: {}", world.log(0));
    assert!(took < Duration::from_millis(2_000), "answered only after {took:?}");
    let closed = || world.backends.iter().any(|backend| backend.closed_by_client() == 1);
    fleet::eventually("the connection to the first server is closed", closed);
}
