//! Entries of another writer beside those that a router follows: fields missing or of another type, bytes that cannot be
//! read, a value that the store cannot have encoded.
//!
//! One value that was not base64 made each answer that held it fail as a whole, for all that lay beside it: the routers
//! went on with the configuration and the servers that they knew, for as long as the entry stayed. A server's record
//! that became unreadable was dropped by whoever listed the records and kept by whoever watched them, so that two routers
//! disagreed. The lines that settled it: `event=watch_failed prefix=op/ wait_ms=10 after_ms=0 fault="the store's answer
//! is not readable: Invalid symbol 37, offset 0."`, 1,107 times in 40 s, and no `event=config_in_force` after it.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use routes::{KEY, PREPAID, World, answers, request};
use std::time::{Duration, Instant};

/// The bound of the routers' settings, and what a call may take.
const HEARD: Duration = Duration::from_millis(2_000 + 1_000);

const UNREADABLE: &[&[u8]] =
    &[b"", b"\xff\xfe", b"{", b"[]", b"null", b"7", b"{\"service\":7}", b"{\"version\":\"x\"}"];

fn status(world: &World, place: usize) -> u16 {
    world.ask(place, &request("/read/x", "id")).status
}

fn put_bad_entries(world: &World) {
    world.store.put_unreadable_entries(UNREADABLE);
}

fn new_configuration_is_heard(world: &mut World, place: usize) {
    assert_eq!(status(world, place), 200);
    world.publish(&["another-key"], PREPAID);
    let published = Instant::now();
    fleet::eventually("the old key is refused", || status(world, place) == 401);
    let heard = published.elapsed();
    assert!(heard < HEARD, "{KEY} is refused after {heard:?}: {}", world.log(place));
}

#[test]
fn bad_entries_hide_no_new_configuration() {
    let mut world = World::start("bad-entries-configuration", vec![answers("0"), answers("1")]);
    put_bad_entries(&world);
    new_configuration_is_heard(&mut world, 0);
}

#[test]
fn bad_entries_hide_no_leaving_server() {
    let world = World::start("bad-entries-leaving", vec![answers("0")]);
    assert_eq!(status(&world, 0), 200);
    put_bad_entries(&world);
    world.record_server(0, "draining");
    let said = Instant::now();
    fleet::eventually("the leaving is heard", || status(&world, 0) == 503);
    let heard = said.elapsed();
    assert!(heard < HEARD, "heard after {heard:?}: {}", world.log(0));
}

#[test]
fn bad_entries_keep_no_router_from_starting() {
    let mut world = World::unready("bad-entries-start", vec![answers("0")]);
    put_bad_entries(&world);
    world.publish(&[KEY], PREPAID);
    world.add_router();
    world.wait_ready(0);
    new_configuration_is_heard(&mut world, 0);
}

/// One router watches the record of the only server as it becomes unreadable, the other one starts later and lists it.
fn unreadable_record_names_no_server(name: &str, spoil: impl Fn(&World)) {
    let mut world = World::start(name, vec![answers("0")]);
    assert_eq!(status(&world, 0), 200);
    spoil(&world);
    fleet::eventually("the watching router drops it", || status(&world, 0) == 503);
    world.add_router();
    world.wait_ready(1);
    assert_eq!(status(&world, 1), 503, "{}", world.log(1));
    assert_eq!(status(&world, 0), 503, "{}", world.log(0));
    world.record_server(0, "ready");
    for place in [0, 1] {
        fleet::eventually("it is used again", || status(&world, place) == 200);
    }
}

macro_rules! unreadable_records {
    ($($name:ident: $spoil:expr;)*) => { $(
        #[test]
        fn $name() {
            unreadable_record_names_no_server(stringify!($name), $spoil);
        }
    )* };
}

unreadable_records! {
    bad_entries_of_a_server_whose_record_is_no_json: |world| world.store.put("servers/i-0", b"{");
    bad_entries_of_a_server_whose_record_lacks_fields: |world| world.store.put("servers/i-0", b"{\"state\":\"ready\"}");
    bad_entries_of_a_server_whose_record_has_an_unknown_state: |world| world.record_server(0, "paused");
    bad_entries_of_a_server_whose_record_is_undecodable: |world| world.store.put_undecodable("servers/i-0");
}
