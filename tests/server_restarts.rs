//! A server may start again under the id that it had: it then knows nothing of before, and nothing that was learned of its
//! earlier life holds for the later one.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend;
use routes::{World, answers, patient, request};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Well below the time by which the kernel finds that a connection is silent.
const SOON: Duration = Duration::from_millis(1_000);

const FIRST: &str = "1796250000000";
const LATER: &str = "1796250009000";

fn status(world: &World, place: usize) -> u16 {
    world.ask(place, &request("/read/x", "id")).status
}

/// One server, whose record says when it started.
fn world(name: &str, scripts: Vec<backend::Script>) -> World {
    let world = World::start(name, scripts);
    for place in 0..world.backends.len() {
        world.record_server_born(place, "ready", FIRST);
    }
    world
}

#[test]
fn server_lives_a_leaving_does_not_hold_for_the_next_life() {
    let mut world = world("lives-leaving", vec![answers("0")]);
    world.add_router();
    for place in [0, 1] {
        world.wait_ready(place);
        fleet::eventually("it is used", || status(&world, place) == 200);
    }
    world.record_server_born(0, "draining", FIRST);
    for place in [0, 1] {
        fleet::eventually("the leaving is heard", || status(&world, place) == 503);
    }
    world.record_server_born(0, "ready", LATER);
    for place in [0, 1] {
        fleet::eventually("the next life is used", || status(&world, place) == 200);
    }
}

#[test]
fn server_lives_an_older_record_changes_nothing() {
    let world = world("lives-older", vec![answers("0")]);
    world.record_server_born(0, "ready", LATER);
    fleet::eventually("it is used", || status(&world, 0) == 200);
    world.record_server_born(0, "draining", FIRST);
    // What is written after it tells when the router has read it.
    world.store.put("servers/mark", b"{");
    fleet::eventually("it is read", || world.log(0).contains("key=\"servers/mark\""));
    assert!((0..20).all(|_| status(&world, 0) == 200), "{}", world.log(0));
}

/// A server whose first life answers nothing.
fn silent_at_first(taken: &Arc<AtomicUsize>) -> backend::Script {
    let taken = taken.clone();
    Box::new(move |_, _| match taken.fetch_add(1, Ordering::Relaxed) {
        0 => vec![backend::Step::AwaitClose],
        _ => vec![backend::response("200 OK", "answer")],
    })
}

/// The status and the time of a request that was open at a server when it started again.
fn open_when_it_starts_again(name: &str, path: &str) -> (u16, Duration, usize) {
    let taken = Arc::new(AtomicUsize::new(0));
    let world = world(name, vec![silent_at_first(&taken)]);
    let mut client = world.send(0, &patient(path, "id"));
    fleet::eventually("it is taken", || taken.load(Ordering::Relaxed) == 1);
    // Its connection is older than the time in which a router may have connected to the next life already.
    std::thread::sleep(Duration::from_millis(1_500));
    world.record_server_born(0, "ready", LATER);
    let restarted = Instant::now();
    let answer = routes::read_answer(&mut client);
    (answer.status, restarted.elapsed(), taken.load(Ordering::Relaxed))
}

#[test]
fn server_lives_an_open_request_that_may_repeat_is_repeated() {
    let (status, took, taken) = open_when_it_starts_again("lives-repeat", "/long/x");
    assert_eq!((status, taken), (200, 2), "after {took:?}");
    assert!(took < SOON, "after {took:?}");
}

#[test]
fn server_lives_an_open_request_that_may_not_repeat_ends() {
    let (status, took, taken) = open_when_it_starts_again("lives-once", "/long-pay/x");
    assert_eq!((status, taken), (502, 1), "after {took:?}");
    assert!(took < SOON, "after {took:?}");
}

#[test]
fn server_lives_resting_connections_are_not_used_again() {
    let world = world("lives-resting", vec![answers("0")]);
    fleet::eventually("it is used", || status(&world, 0) == 200);
    assert_eq!(status(&world, 0), 200);
    let before = world.backends[0].requests().last().unwrap().connection;
    world.record_server_born(0, "ready", LATER);
    world.store.put("servers/mark", b"{");
    fleet::eventually("it is read", || world.log(0).contains("key=\"servers/mark\""));
    assert_eq!(status(&world, 0), 200);
    let after = world.backends[0].requests().last().unwrap().connection;
    assert_ne!(before, after);
}

macro_rules! no_start {
    ($($name:ident: $born:literal;)*) => { $(
        #[test]
        fn $name() {
            let mut world = world(stringify!($name), vec![answers("0"), answers("1")]);
            world.record_server_born(0, "ready", $born);
            // Only the other one is left.
            world.record_server_born(1, "draining", FIRST);
            world.add_router();
            for place in [0, 1] {
                world.wait_ready(place);
                fleet::eventually("nothing is used", || status(&world, place) == 503);
            }
        }
    )* };
}

no_start! {
    server_lives_a_start_that_is_negative_names_no_server: "-5";
    server_lives_a_start_that_is_fractional_names_no_server: "1796250000000.5";
    server_lives_a_start_that_is_text_names_no_server: "\"1796250000000\"";
    server_lives_a_start_that_is_null_names_no_server: "null";
    server_lives_a_start_that_is_huge_names_no_server: "1e300";
}

#[test]
fn server_lives_a_record_without_a_start_names_no_server_beside_those_with_one() {
    let mut world = World::start("lives-undated", vec![answers("0"), answers("1")]);
    fleet::eventually("it is used", || status(&world, 0) == 200);
    world.record_server_born(1, "draining", FIRST);
    world.add_router();
    for place in [0, 1] {
        world.wait_ready(place);
        fleet::eventually("nothing is used", || status(&world, place) == 503);
    }
}
