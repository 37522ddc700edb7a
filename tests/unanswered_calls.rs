//! Calls that the other end takes and never answers, while it answers all others and its connections live.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend;
use routes::{KEY, PREPAID, World, answers, request};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The bound of the routers' settings, and what a call may take.
const HEARD: Duration = Duration::from_millis(2_000 + 1_000);

fn world(name: &str) -> World {
    World::start(name, vec![answers("0"), answers("1")])
}

fn status(world: &World, id: &str) -> u16 {
    world.call(0, &request("/read/x", id)).status
}

/// Both of the router's calls for news stay unanswered.
fn leave_calls_unanswered(world: &World) {
    fleet::eventually("both calls wait", || world.store.open_watches() == 2);
    world.store.leave_open_watches_unanswered();
}

#[test]
fn unanswered_calls_do_not_hide_a_new_configuration() {
    let mut world = world("unanswered-configuration");
    assert_eq!(status(&world, "before"), 200);
    leave_calls_unanswered(&world);
    world.publish(&["another-key"], PREPAID);
    let published = Instant::now();
    fleet::eventually("the old key is refused", || status(&world, "after") == 401);
    let heard = published.elapsed();
    assert!(heard < HEARD, "{KEY} is refused after {heard:?}: {}", world.log(0));
}

#[test]
fn unanswered_calls_do_not_hide_a_leaving_server() {
    let world = world("unanswered-leaving");
    let leaving = world.call(0, &request("/read/x", "first")).text();
    leave_calls_unanswered(&world);
    world.record_server(leaving.parse().unwrap(), "draining");
    let said = Instant::now();
    let asked = || world.call(0, &request("/read/x", "id")).text();
    let told = format!("event=server_leaving vm=i-{leaving} ");
    fleet::eventually("the leaving is heard", || world.log(0).contains(&told));
    let heard = said.elapsed();
    assert!(heard < HEARD, "heard after {heard:?}: {}", world.log(0));
    assert!((0..20).all(|_| asked() != leaving));
}

/// A server that answers all requests but the first one that any of them takes.
fn leaves_the_first_unanswered(taken: &Arc<AtomicUsize>) -> backend::Script {
    let taken = taken.clone();
    Box::new(move |_, _| match taken.fetch_add(1, Ordering::Relaxed) {
        0 => vec![backend::Step::AwaitClose],
        _ => vec![backend::response("200 OK", "answer")],
    })
}

#[test]
fn unanswered_calls_to_a_server_are_repeated_elsewhere_within_the_deadline() {
    let taken = Arc::new(AtomicUsize::new(0));
    let scripts = vec![leaves_the_first_unanswered(&taken), leaves_the_first_unanswered(&taken)];
    let world = World::start("unanswered-server", scripts);
    let began = Instant::now();
    // The client waits for 3 s.
    let answer = world.call(0, &request("/read/x", "id"));
    let took = began.elapsed();
    assert_eq!(answer.status, 200, "after {took:?}: {}", world.log(0));
    assert!(took < Duration::from_millis(2_000), "after {took:?}");
    let left = || world.backends.iter().any(|backend| backend.closed_by_client() == 1);
    fleet::eventually("the first server is left", left);
}
