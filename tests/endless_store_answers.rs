//! A store that sends bytes or pages without end while a router starts. Guards against routers that keep them until their
//! memory is used up; once the store works again, the router starts.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::{Backend, ReceivedRequest, Script, Step, response};
use fleet::{Fleet, Options};
use routes::{World, answers, request};
use std::thread;
use std::time::{Duration, Instant};

/// The memory of the smallest VMs.
const MEMORY_BYTES_MAX: u64 = 110 << 20;
/// How long the store sends what is no answer; several polls end in this time.
const FAULTY_TIME: Duration = Duration::from_secs(6);

const HEAD: &str = "HTTP/1.0 200 OK\r\n";

fn endless(start: &str, text: &str) -> Script {
    let steps = vec![Step::Write(start.to_owned()), Step::WriteWithoutEnd(text.to_owned())];
    Box::new(move |_, _| steps.clone())
}

/// Answers each read of a range with a page that another one follows.
fn endless_pages(number: usize, received: &ReceivedRequest) -> Vec<Step> {
    let path = received.line.split("pathPrefix=").nth(1).unwrap_or_default();
    let prefix = path.split(['&', ' ']).next().unwrap_or_default();
    let item = |index: usize| {
        serde_json::json!({
            "privateKey": format!("{prefix}{number}-{index}"), "value": "YWFh".repeat(1_000), "revision": 1,
        })
    };
    let items: Vec<_> = (0..100).map(item).collect();
    let page = serde_json::json!({ "items": items, "more": true, "at": 5 });
    vec![response("200 OK", &page.to_string())]
}

fn check_memory(peak_bytes: u64) {
    eprintln!("peak memory: {} MiB", peak_bytes >> 20);
    assert!(peak_bytes < MEMORY_BYTES_MAX, "peak memory: {} MiB", peak_bytes >> 20);
}

/// Starts a router while the store follows a script, beside one that was started before.
fn check_revisions(name: &str, script: Script) {
    let mut world = World::start_behind_proxies(name, vec![answers("answer")]);
    let faulty = Backend::start(script).unwrap();
    let proxy = world.store_proxy.as_ref().unwrap();
    proxy.set_target(faulty.address());
    world.add_router();
    let until = Instant::now() + FAULTY_TIME;
    let mut number = 0;
    while Instant::now() < until {
        let id = format!("sound-{number}");
        assert_eq!(world.call(0, &request("/read/x", &id)).status, 200);
        thread::sleep(Duration::from_millis(100));
        number += 1;
    }
    assert!(!faulty.requests().is_empty(), "the faulty store was not asked");
    (0..2).for_each(|router| check_memory(world.peak_memory_bytes(router)));
    world.store_proxy.as_ref().unwrap().set_target(world.store.address());
    drop(faulty);
    world.wait_ready(1);
}

/// The same for the other protocol of the store, with a router that starts again.
fn check_consul(name: &str, script: Script) {
    let options = Options { routers: 1, ..Options::default() };
    let mut fleet = Fleet::start(name, options);
    fleet.kill(0);
    let faulty = Backend::start(script).unwrap();
    fleet.platform_proxy.set_target(faulty.address());
    fleet.spawn(0);
    thread::sleep(FAULTY_TIME);
    assert!(!faulty.requests().is_empty(), "the faulty store was not asked");
    check_memory(fleet.peak_memory_bytes(0));
    fleet.platform_proxy.set_target(fleet.platform.address());
    drop(faulty);
    fleet.wait_router_ready(0);
}

macro_rules! bounded {
    ($($name:ident: $check:ident, $script:expr;)*) => { $(
        #[test]
        fn $name() {
            $check(stringify!($name), $script);
        }
    )* };
}

bounded! {
    endless_heads_of_the_store_take_little_memory:
        check_revisions, endless("HTTP/1.1 200 OK\r\nA: ", "a");
    endless_bodies_of_the_store_take_little_memory:
        check_revisions, endless(&format!("{HEAD}\r\n{{\"items\":[\""), "a");
    endless_pages_of_the_store_take_little_memory: check_revisions, Box::new(endless_pages);
    endless_heads_of_a_consul_store_take_little_memory:
        check_consul, endless("HTTP/1.1 200 OK\r\nA: ", "a");
    endless_bodies_of_a_consul_store_take_little_memory:
        check_consul, endless(&format!("{HEAD}\r\n[\""), "a");
}
