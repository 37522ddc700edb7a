//! Unusable entries of another writer in the store, beside those that a router follows: fields missing or of another
//! type, unreadable bytes, and a value that the store cannot have encoded.
//!
//! Guards against two faults. If a value that is not base64 makes every answer of the store that contains it unreadable
//! as a whole, routers keep their old configuration and servers as long as the entry stays: within 40 s a router logs
//! 1,107 times `event=watch_failed prefix=op/ wait_ms=10 after_ms=0 fault="the store's answer is not readable: Invalid
//! symbol 37, offset 0."`, and no `event=config_in_force`. If a server's record that becomes unreadable is dropped by
//! routers that list the records and kept by routers that poll for changes, the routers disagree.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use routes::{KEY, PREPAID, World, answers, request};
use std::time::{Duration, Instant};

/// The bound on staleness in the routers' settings plus the time that one request may take.
const UPDATE_BOUND: Duration = Duration::from_millis(2_000 + 1_000);

const UNREADABLE: &[&[u8]] =
    &[b"", b"\xff\xfe", b"{", b"[]", b"null", b"7", b"{\"service\":7}", b"{\"version\":\"x\"}"];

fn status(world: &World, index: usize) -> u16 {
    world.call(index, &request("/read/x", "id")).status
}

fn put_unreadable_entries(world: &World) {
    world.store.put_unreadable_entries(UNREADABLE);
}

fn check_new_configuration_is_applied(world: &mut World, index: usize) {
    assert_eq!(status(world, index), 200);
    world.publish(&["another-key"], PREPAID);
    let published = Instant::now();
    fleet::eventually("the old key is refused", || status(world, index) == 401);
    let elapsed = published.elapsed();
    assert!(
        elapsed < UPDATE_BOUND,
        "{KEY} was refused only after {elapsed:?}: {}",
        world.log(index)
    );
}

#[test]
fn bad_entries_delay_no_new_configuration() {
    let mut world = World::start("bad-entries-configuration", vec![answers("0"), answers("1")]);
    put_unreadable_entries(&world);
    check_new_configuration_is_applied(&mut world, 0);
}

#[test]
fn bad_entries_delay_no_leaving_server() {
    let world = World::start("bad-entries-leaving", vec![answers("0")]);
    assert_eq!(status(&world, 0), 200);
    put_unreadable_entries(&world);
    world.record_server(0, "draining");
    let recorded = Instant::now();
    fleet::eventually("the draining server is not used any more", || status(&world, 0) == 503);
    let elapsed = recorded.elapsed();
    assert!(
        elapsed < UPDATE_BOUND,
        "the server was used for another {elapsed:?}: {}",
        world.log(0)
    );
}

#[test]
fn bad_entries_prevent_no_router_from_starting() {
    let mut world = World::unready("bad-entries-start", vec![answers("0")]);
    put_unreadable_entries(&world);
    world.publish(&[KEY], PREPAID);
    world.add_router();
    world.wait_ready(0);
    check_new_configuration_is_applied(&mut world, 0);
}

/// Router 0 polls for changes as the record of the only server becomes unreadable; router 1 starts later and lists the
/// records. Neither may use the server until its record is readable again.
fn server_with_unreadable_record_is_not_used(name: &str, make_unreadable: impl Fn(&World)) {
    let mut world = World::start(name, vec![answers("0")]);
    assert_eq!(status(&world, 0), 200);
    make_unreadable(&world);
    fleet::eventually("the polling router removes the server", || status(&world, 0) == 503);
    world.add_router();
    world.wait_ready(1);
    assert_eq!(status(&world, 1), 503, "the listing router uses the server: {}", world.log(1));
    assert_eq!(status(&world, 0), 503, "the polling router uses the server: {}", world.log(0));
    world.record_server(0, "ready");
    for index in [0, 1] {
        fleet::eventually("the server is used again", || status(&world, index) == 200);
    }
}

macro_rules! unreadable_records {
    ($($name:ident: $make_unreadable:expr;)*) => { $(
        #[test]
        fn $name() {
            server_with_unreadable_record_is_not_used(stringify!($name), $make_unreadable);
        }
    )* };
}

unreadable_records! {
    bad_entries_of_a_server_whose_record_is_no_json: |world| world.store.put("servers/i-0", b"{");
    bad_entries_of_a_server_whose_record_lacks_fields: |world| world.store.put("servers/i-0", b"{\"state\":\"ready\"}");
    bad_entries_of_a_server_whose_record_has_an_unknown_state: |world| world.record_server(0, "paused");
    bad_entries_of_a_server_whose_record_is_undecodable: |world| world.store.put_undecodable("servers/i-0");
}
