//! Streams of a service whose servers have several software versions. Guards against streams that hold events of two
//! versions: resumed by a router within one answer, or continued by their clients after a broken connection.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend;
use routes::streams::*;
use routes::{World, request};
use std::time::Duration;

const TWO: [&str; 4] = ["v1", "v1", "v2", "v2"];

macro_rules! broken_by_their_servers {
    ($($name:ident: $versions:expr;)*) => { $(
        #[test]
        fn $name() {
            let world = start(stringify!($name), &$versions);
            let mut streams: Vec<Received> = Vec::new();
            for round in 0..5 {
                let mut begun = in_parallel(8, |number| {
                    let mut received = Received::default();
                    let id = format!("id-{round}-{number}");
                    read_into(&mut received, &world, number % ROUTERS, &id, BREAKS);
                    received
                });
                for_each(&mut begun, |number, stream| {
                    continue_stream(&world, number % ROUTERS, stream);
                });
                streams.extend(begun);
            }
            assert_unmixed(&streams);
            assert_continued(&streams);
        }
    )* };
}

#[test]
fn streams_that_routers_resume_hold_one_version() {
    let world = start("resumed", &["v1", "v1", "v2", "v2", "v3", "v3"]);
    let streams = in_parallel(40, |number| {
        let mut received = Received::default();
        read_into(&mut received, &world, number % ROUTERS, &format!("id-{number}"), BREAKS);
        received
    });
    assert!(streams.iter().any(|stream| stream.whole), "no stream was resumed: {streams:?}");
    assert_unmixed(&streams);
}

broken_by_their_servers! {
    streams_that_break_at_two_of_three_versions_go_on_at_theirs: ["v1", "v1", "v2", "v2", "v3", "v3"];
    streams_of_a_version_with_one_server_beside_three_go_on_at_theirs: ["v1", "v2", "v2", "v2"];
    streams_of_a_single_version_go_on: ["v1", "v1", "v1", "v1"];
}

#[test]
fn streams_that_clients_continue_at_the_same_router_hold_one_version() {
    let world = start("same-router", &TWO);
    let mut streams = begin_all(&world, 24, |number| number % ROUTERS);
    for_each(&mut streams, |number, stream| continue_once(&world, number % ROUTERS, stream));
    assert_unmixed(&streams);
    assert_continued(&streams);
}

#[test]
fn streams_that_clients_continue_at_another_router_hold_one_version() {
    let world = start("other-router", &TWO);
    let mut streams = begin_all(&world, 24, |number| number % ROUTERS);
    for_each(&mut streams, |number, stream| continue_once(&world, (number + 1) % ROUTERS, stream));
    assert_unmixed(&streams);
    assert_continued(&streams);
}

#[test]
fn streams_whose_router_was_killed_hold_one_version() {
    let mut world = start("killed-router", &TWO);
    let mut streams = begin_all(&world, 24, |_| 0);
    world.kill(0);
    for_each(&mut streams, |number, stream| continue_once(&world, 1 + number % 2, stream));
    assert_unmixed(&streams);
    assert_continued(&streams);
}

#[test]
fn streams_that_clients_continue_twice_hold_one_version() {
    let world = start("twice", &TWO);
    let mut streams = begin_all(&world, 24, |number| number % ROUTERS);
    for_each(&mut streams, |number, stream| {
        let headers = stream.headers();
        let id = format!("{}-second", stream.first);
        let answer = read(&world, (number + 1) % ROUTERS, &id, &headers, Some(1));
        stream.add(&id, &answer, Duration::ZERO);
        continue_once(&world, (number + 2) % ROUTERS, stream);
    });
    assert_unmixed(&streams);
    assert_continued(&streams);
}

#[test]
fn streams_are_refused_or_go_on_at_their_version_after_the_loss_of_all_routers() {
    let mut world = start("all-routers", &TWO);
    let mut streams = begin_all(&world, 16, |number| number % ROUTERS);
    restart_all(&mut world);
    for_each(&mut streams, |number, stream| continue_once(&world, number % ROUTERS, stream));
    assert_unmixed(&streams);
    let not_whole = streams.into_iter().filter(|stream| !stream.whole);
    assert_refused(&not_whole.collect::<Vec<_>>());
}

#[test]
fn streams_of_a_single_version_go_on_after_the_loss_of_all_routers() {
    let mut world = start("all-routers-one-version", &["v1", "v1"]);
    let mut streams = begin_all(&world, 16, |number| number % ROUTERS);
    restart_all(&mut world);
    for_each(&mut streams, |number, stream| continue_once(&world, number % ROUTERS, stream));
    assert_continued(&streams);
}

#[test]
fn streams_whose_version_left_are_refused_at_once() {
    let world = start("version-left", &TWO);
    let mut streams = begin_all(&world, 16, |number| number % ROUTERS);
    for server in ["i-0", "i-1"] {
        world.remove_record(server);
    }
    for router in 0..ROUTERS {
        fleet::eventually("the router lists the two servers that stay", || {
            world.dump(router)["servers"].as_object().is_some_and(|servers| servers.len() == 2)
        });
    }
    for_each(&mut streams, |number, stream| continue_once(&world, number % ROUTERS, stream));
    assert_unmixed(&streams);
    let (gone, staying): (Vec<Received>, Vec<Received>) =
        streams.into_iter().partition(|stream| stream.versions.contains("v1"));
    assert!(!gone.is_empty(), "no stream began at v1");
    assert_refused(&gone);
    assert_continued(&staying);
}

/// Continues the stream `first` with these headers, at a router that did not place it.
fn continue_with(world: &World, id: &str, headers: &str) -> Received {
    let mut received = Received { last_id: BROKEN_AFTER, ..Received::default() };
    read_into(&mut received, world, 1, id, headers);
    received
}

macro_rules! unusable_continuations {
    ($($name:ident: $headers:expr, $status:expr;)*) => { $(
        #[test]
        fn $name() {
            let world = start(stringify!($name), &TWO);
            let begun = begin(&world, 0, "id-1");
            assert_eq!(begun.last_id, BROKEN_AFTER);
            let received = continue_with(&world, "id-2", &$headers);
            let (status, took) = received.answers[0];
            assert_eq!(status, $status, "{received:?}");
            assert!(took <= REFUSAL_MAX, "refused after {took:?}");
        }
    )* };
}

unusable_continuations! {
    a_stream_that_never_began_is_refused: "Last-Event-Id: 2\r\nResumes: other\r\n", 503;
    a_stream_that_is_not_named_is_refused: "Last-Event-Id: 2\r\n", 503;
    a_stream_with_two_names_is_refused: "Last-Event-Id: 2\r\nResumes: id-1\r\nResumes: id-1\r\n", 400;
    a_stream_with_too_long_a_name_is_refused: format!("Last-Event-Id: 2\r\nResumes: {}\r\n", "x".repeat(257)), 400;
    a_stream_with_an_unreadable_name_is_refused: "Last-Event-Id: 2\r\nResumes: \u{e9}\r\n", 400;
    a_stream_with_an_empty_name_is_refused: "Last-Event-Id: 2\r\nResumes: \r\n", 400;
}

/// Guards against a workspace that learns where a stream of another one runs, or that has it continued.
#[test]
fn a_stream_of_another_workspace_is_refused() {
    let world = start("other-workspace", &TWO);
    let begun = begin(&world, 0, "id-1");
    for router in 0..ROUTERS {
        let headers = begun.headers();
        let request = routes::Request {
            key: "school-key",
            headers: &headers,
            ..request("/resume/x", "id-2")
        };
        assert_eq!(world.call(router, &request).status, 503);
    }
}

#[test]
fn a_request_that_names_a_stream_but_no_event_begins_a_new_one() {
    let world = start("no-event", &TWO);
    begin(&world, 0, "id-1");
    let answer = read(&world, 1, "id-2", "Resumes: id-1\r\n", None);
    let mut received = Received::default();
    received.add("id-2", &answer, Duration::ZERO);
    assert!(received.whole && received.versions.len() == 1, "{received:?}");
}

/// Guards against an origin that is lost because the router that placed the stream and one with a copy end.
#[test]
fn streams_go_on_after_their_router_and_another_one_were_killed() {
    let mut world = start("two-killed", &TWO);
    let mut streams = begin_all(&world, 16, |_| 0);
    world.kill(0);
    world.kill(1);
    for_each(&mut streams, |_, stream| continue_once(&world, 2, stream));
    assert_unmixed(&streams);
    assert_continued(&streams);
}

/// Guards against an origin that is lost because all routers are restarted as planned, one after the other.
#[test]
fn streams_go_on_while_all_routers_are_restarted_in_turn() {
    let mut world = start("restarted-in-turn", &TWO);
    let mut streams = begin_all(&world, 16, |number| number % ROUTERS);
    for router in 0..ROUTERS {
        world.signal(router, "TERM");
        world.wait_stopped(router);
        world.spawn(router);
        world.wait_ready(router);
        for other in 0..ROUTERS {
            world.wait_for_peers(other, ROUTERS - 1);
        }
    }
    for_each(&mut streams, |number, stream| continue_once(&world, number % ROUTERS, stream));
    assert_unmixed(&streams);
    assert_continued(&streams);
}

/// Guards against the origin of a stream that began before a service had several versions.
#[test]
fn streams_that_began_before_a_release_hold_one_version() {
    let mut world = start("release", &["v1", "v1"]);
    let mut streams = begin_all(&world, 16, |number| number % ROUTERS);
    for _ in 0..2 {
        let backend = backend::Backend::start(server("v2")).unwrap();
        world.backends.push(backend);
        let index = world.backends.len() - 1;
        world.record_version(index, &format!("i-{index}"), "v2", "ready");
    }
    for router in 0..ROUTERS {
        fleet::eventually("the router lists both versions", || {
            world.dump(router)["versions"]["app"].as_object().is_some_and(|all| all.len() == 2)
        });
    }
    world.kill(0);
    for_each(&mut streams, |number, stream| continue_once(&world, 1 + number % 2, stream));
    assert_unmixed(&streams);
    assert_continued(&streams);
}
