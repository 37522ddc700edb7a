//! Guards against one odd record among those of the servers that decides over other servers than its own.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use routes::{World, answers, request};
use std::thread;
use std::time::Duration;

const SERVERS: usize = 4;
const REQUESTS: usize = 20;
/// Longer than news of the store take.
const SETTLED: Duration = Duration::from_millis(1_500);
const BORN_MS: &str = "1796440000000";
/// `drainMs` and the time of one request.
const DRAINED: Duration = Duration::from_millis(2_500);

fn served(world: &World, router: usize) -> usize {
    let call = |number: usize| {
        let id = format!("{router}-{number}");
        world.call(router, &request("/read/x", &id)).status
    };
    (0..REQUESTS).filter(|number| call(*number) == 200).count()
}

fn start(name: &str, born: Option<&str>) -> World {
    let world = World::start(name, (0..SERVERS).map(|_| answers("done")).collect());
    for index in (0..SERVERS).filter(|_| born.is_some()) {
        world.record_server_born(index, "ready", born.unwrap());
    }
    world
}

/// A record of another writer, with the address of a server and the value `born`.
fn put_odd_record(world: &World, born: &str) {
    let address = world.backends[0].address();
    let record = format!(
        r#"{{"service":"app","address":"{address}","zone":"a","version":"v1","slots":4,"state":"draining","coldLeftMs":0,"callSeq":0,"born":{born}}}"#
    );
    world.store.put("servers/odd", record.as_bytes());
}

macro_rules! one_odd_record_takes_no_other_server_out_of_use {
    ($($name:ident: $servers:expr, $odd:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut world = start(stringify!($name), $servers);
            assert_eq!(served(&world, 0), REQUESTS);
            put_odd_record(&world, $odd);
            thread::sleep(SETTLED);
            assert_eq!(served(&world, 0), REQUESTS, "{}", world.log(0));
            // A router that starts beside the record.
            world.add_router();
            world.wait_ready(1);
            assert_eq!(served(&world, 1), REQUESTS, "{}", world.log(1));
        }
    )*};
}

one_odd_record_takes_no_other_server_out_of_use! {
    a_start_among_servers_that_record_none: None, BORN_MS;
    a_start_far_in_the_future_among_servers_that_record_none: None, "18446744073709551615";
    no_start_among_servers_that_record_one: Some(BORN_MS), "null";
    an_unreadable_start_among_servers_that_record_one: Some(BORN_MS), "1e300";
}

/// Another writer overwrites a server's record once, with a start that is far too late. The server's own record follows.
#[test]
fn a_start_that_is_too_late_hides_no_later_record_of_its_server() {
    let world = start("odd-late", Some(BORN_MS));
    world.record_server_born(0, "ready", "4102444800000");
    thread::sleep(SETTLED);
    world.record_server_born(0, "draining", BORN_MS);
    thread::sleep(DRAINED);
    let before = world.backends[0].requests().len();
    for _ in 0..5 {
        assert_eq!(served(&world, 0), REQUESTS);
    }
    let after = world.backends[0].requests().len();
    assert_eq!(after, before, "a server that leaves got requests");
}
