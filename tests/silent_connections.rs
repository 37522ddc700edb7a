//! Connections that go silent: nothing that is sent on them arrives, nothing comes, and nobody closes them. New ones work.
//!
//! Requests went on to a server for seconds after it had said that it leaves. A router asks the store for news by a call
//! that waits up to ten seconds for a change. The connections that carried these calls had gone silent, so the change
//! was told into nothing: connections silent at 5.0 s, the leaving acknowledged from 10.006 s on, `event=watch_failed
//! prefix=servers/ ... Timeout while waiting for response` at 14.78 s, the next `event=store_changed prefix=servers/` at
//! 15.09 s, with a bound of 2 s. In the same play with connections reset instead of silent nothing was late. So not
//! the store, nor the routers' view of each other, but the end of the call was all that could show the silence.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use routes::{World, answers, long_deadline_request, request};
use std::time::{Duration, Instant};

/// The bound of the routers' settings, and what a new connection and a call may take.
const LEAVING_HEARD: Duration = Duration::from_millis(2_000 + 1_000);

/// By when a connection's silence is found and the request was served on another one.
const SILENCE_FOUND: Duration = Duration::from_secs(6);

/// A request that takes longer was sent on a silent connection.
const SILENT: Duration = Duration::from_secs(1);

/// The server that answers a request.
fn asked(world: &World) -> String {
    world.call(0, &request("/read/x", "id")).text()
}

#[test]
fn a_server_that_leaves_gets_nothing_new_though_the_store_s_connections_went_silent() {
    let world = World::start_behind_proxies("silent", vec![answers("0"), answers("1")]);
    let leaving = asked(&world);
    world.store_proxy.as_ref().unwrap().blackhole_connections();
    std::thread::sleep(Duration::from_millis(100));
    world.record_server(leaving.parse().unwrap(), "draining");
    let said = Instant::now();
    let told = format!("event=server_leaving vm=i-{leaving} ");
    fleet::eventually("the leaving is heard", || world.log(0).contains(&told));
    let heard = said.elapsed();
    assert!(heard < LEAVING_HEARD, "heard after {heard:?}: {}", world.log(0));
    assert!((0..20).all(|_| asked(&world) != leaving));
}

#[test]
fn a_request_on_a_server_s_silent_connection_is_served_elsewhere_long_before_its_deadline() {
    let world = World::start_behind_proxies("silent-server", vec![answers("0"), answers("1")]);
    let used: usize = asked(&world).parse().unwrap();
    world.server_proxies[used].blackhole_connections();
    std::thread::sleep(Duration::from_millis(100));
    let mut longest = Duration::ZERO;
    for number in 0..300 {
        if longest > SILENT {
            break;
        }
        std::thread::sleep(Duration::from_millis(10));
        let began = Instant::now();
        let answer = world.call(0, &long_deadline_request("/long/x", &format!("id-{number}")));
        let took = began.elapsed();
        assert_eq!(answer.status, 200, "after {took:?}: {}", world.log(0));
        assert!(took < SILENCE_FOUND, "after {took:?}");
        longest = longest.max(took);
    }
    assert!(longest > SILENT, "none was sent on the silent connection");
}
