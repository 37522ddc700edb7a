//! Streams whose connections end early without a reset, whose runs were stopped, or that go on from another event than
//! the last one that was forwarded. Guards against streams that miss events, have events twice, or look complete before
//! their last event.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::{self, ReceivedRequest, Script, Step};
use doorswitch_standins::network::{Faults, OpenConnections};
use doorswitch_standins::runs::Runs;
use doorswitch_standins::wire;
use routes::{STREAM_HEAD, World, event, last_chunk, long_deadline_request};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

const EVENTS: u64 = 20;
const INTERVAL: Duration = Duration::from_millis(50);
/// More replies than a router asks for in the time of a test.
const ALL_REPLIES: usize = 10_000;
/// The status of an answer that is forwarded as it arrives.
const STREAMED: u16 = 200;
/// How long a server of the tests is down after a crash.
const DOWN: Duration = Duration::from_secs(1);

fn address(router: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 96, 0, 1 + u8::try_from(router).unwrap()))
}

/// Two routers in front of servers behind proxies.
fn start_behind_proxies(name: &str, scripts: Vec<Script>) -> World {
    let mut world = World::unready(name, scripts);
    world.put_proxies_before_servers();
    world.publish(&[routes::KEY], routes::PREPAID);
    world.add_fleet((0..2).map(address));
    world
}

/// Silences the open connections of the first router to all servers, and has its new ones hang.
fn silence_links(world: &World) {
    let dropped = [(address(0), OpenConnections::Silent)].into();
    set_faults(world, &Faults { dropped, ..Faults::default() });
}

fn set_faults(world: &World, faults: &Faults) {
    world.server_proxies.iter().for_each(|proxy| proxy.set_faults(faults.clone()));
}

/// Delays each answer of a server, but not its replies to requests that stop runs.
fn delayed(mut server: Script, delay: Duration) -> Script {
    Box::new(move |number, received| {
        let mut steps = server(number, received);
        if !is_stop(received) {
            steps.insert(0, Step::Pause(delay));
        }
        steps
    })
}

fn is_stop(received: &ReceivedRequest) -> bool {
    received.line.contains("/kv-move")
}

fn events(numbers: impl IntoIterator<Item = u64>) -> String {
    let event = |number| format!("id: {number}\ndata: piece {number}\n\n");
    numbers.into_iter().map(event).collect()
}

fn ids(answer: &routes::Answer) -> Vec<u64> {
    let text = answer.text();
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// Checks that an answer is either the whole stream, or a beginning of it that does not look complete.
fn assert_in_order(answer: &routes::Answer, last: u64, log: &str) {
    let received = answer.text();
    assert!(events(1..=last).starts_with(&received), "{received}\n{log}");
    assert!(!answer.whole || ids(answer).last() == Some(&last), "{received}\n{log}");
}

macro_rules! stopped_runs_look_incomplete {
    ($($name:ident: $path:expr, $delay_ms:expr, $status:expr;)*) => {$(
        #[test]
        fn $name() {
            let runs = [Runs::unframed(), Runs::unframed()];
            let delay = Duration::from_millis($delay_ms);
            let scripts = runs.iter().map(|runs| delayed(runs.script(EVENTS, INTERVAL, true), delay));
            let world = start_behind_proxies(stringify!($name), scripts.collect());
            runs.iter().for_each(|runs| runs.lose_replies(ALL_REPLIES));
            let mut client = world.send(0, &long_deadline_request($path, "id"));
            fleet::eventually("the run has begun", || runs.iter().any(|runs| runs.begun() > 0));
            std::thread::sleep(2 * INTERVAL);
            silence_links(&world);
            fleet::eventually("the run is stopped", || world.log(0).contains("cause=no_reply"));
            set_faults(&world, &Faults::default());
            let answer = routes::read_answer(&mut client);
            assert_eq!(answer.status, $status, "{}", world.log(0));
            if $status == STREAMED {
                assert_in_order(&answer, EVENTS, &world.log(0));
            }
        }
    )*};
}

// The server ends an answer without a length, as it was asked to stop its run; no reply tells that it did.
stopped_runs_look_incomplete! {
    a_stopped_stream_without_length_does_not_look_complete: "/long-stream/x", 0, STREAMED;
    a_stopped_stream_without_length_that_may_be_resumed_has_all_events: "/resume/x", 0, STREAMED;
    a_stream_without_length_that_is_stopped_before_its_head_does_not_look_complete:
        "/long-stream/x", 400, STREAMED;
    an_answer_without_length_that_is_stopped_before_its_head_does_not_look_complete:
        "/long-pay/x", 400, 502;
}

/// A server whose events end without a length. It crashes after the second one, unless it continues a stream.
fn crashes_in_unframed_stream() -> Script {
    Box::new(|_, received| {
        let head = Step::Write(wire::UNFRAMED_STREAM_HEAD.to_owned());
        let pause = Step::Pause(Duration::from_millis(20));
        match received.header("last-event-id") {
            None => vec![head, Step::Write(events(1..=2)), pause, Step::Crash(DOWN)],
            Some("2") => vec![head, Step::Write(events(3..=4)), Step::Close],
            Some(_) => vec![Step::Reset],
        }
    })
}

#[test]
fn a_stream_without_length_of_a_server_that_crashed_does_not_look_complete() {
    let world = World::start("crashed-unframed", vec![crashes_in_unframed_stream()]);
    let answer = world.call(0, &long_deadline_request("/stream/x", "id"));
    assert_in_order(&answer, 4, &world.log(0));
    assert_eq!(ids(&answer), [1, 2]);
}

#[test]
fn a_stream_without_length_of_a_server_that_crashed_goes_on_at_another() {
    let scripts = (0..2).map(|_| crashes_in_unframed_stream()).collect();
    let world = World::start("crashed-unframed-resumed", scripts);
    let answer = world.call(0, &long_deadline_request("/resume/x", "id"));
    assert!(answer.whole, "{}\n{}", answer.text(), world.log(0));
    assert_in_order(&answer, 4, &world.log(0));
}

#[test]
fn an_answer_without_length_of_a_server_that_crashed_does_not_look_complete() {
    let script = Box::new(|_, _: &_| {
        let head = Step::Write(wire::UNFRAMED_STREAM_HEAD.to_owned());
        let pause = Step::Pause(Duration::from_millis(20));
        vec![head, Step::Write("part".to_owned()), pause, Step::Crash(DOWN)]
    });
    let world = World::start("crashed-unframed-call", vec![script]);
    let answer = world.call(0, &long_deadline_request("/pay/x", "id"));
    assert_ne!(answer.status, 200, "{}\n{}", answer.text(), world.log(0));
}

#[test]
fn a_stream_without_length_of_a_server_that_runs_is_complete() {
    let script = Box::new(|_, _: &_| {
        let head = Step::Write(wire::UNFRAMED_STREAM_HEAD.to_owned());
        vec![head, Step::Write(events(1..=2)), Step::Close]
    });
    let world = World::start("unframed-whole", vec![script]);
    let answer = world.call(0, &long_deadline_request("/stream/x", "id"));
    assert!(answer.whole, "{}", world.log(0));
    assert_eq!(ids(&answer), [1, 2]);
}

macro_rules! closed_links_do_not_end_streams {
    ($($name:ident: $path:expr;)*) => {$(
        #[test]
        fn $name() {
            let runs = [Runs::unframed(), Runs::unframed()];
            let scripts = runs.iter().map(|runs| runs.script(EVENTS, INTERVAL, true)).collect();
            let world = start_behind_proxies(stringify!($name), scripts);
            let mut client = world.send(0, &long_deadline_request($path, "id"));
            fleet::eventually("the run has begun", || runs.iter().any(|runs| runs.begun() > 0));
            std::thread::sleep(4 * INTERVAL);
            set_faults(&world, &Faults { cut: [address(0)].into(), ..Faults::default() });
            let answer = routes::read_answer(&mut client);
            assert!(answer.whole, "{}\n{}", answer.text(), world.log(0));
            assert_in_order(&answer, EVENTS, &world.log(0));
            let begun: usize = runs.iter().map(Runs::begun).sum();
            assert_eq!(begun, 1, "the run began again: {}", world.log(0));
        }
    )*};
}

// The link closes the connection as a server does at the end, and each new one at once.
closed_links_do_not_end_streams! {
    a_stream_without_length_goes_on_after_its_link_closed_the_connection: "/long-stream/x";
    a_stream_without_length_that_may_be_resumed_goes_on_after_its_link_closed_the_connection:
        "/resume/x";
}

/// A server whose answers have no length. It loses its first reply to a request that stops the run, which it carries out
/// late: two events after the run goes on. The third part of the run is the last one.
fn stops_again_late() -> Script {
    let (mut stops, mut parts) = (0, 0);
    Box::new(move |_, received| {
        if is_stop(received) {
            stops += 1;
            return match (stops, parts) {
                (1, _) => vec![Step::Reset],
                (_, 3) => vec![backend::response("404 Not Found", "{}")],
                _ => {
                    let body = serde_json::json!({ "handle": "kept", "made": 2 * parts });
                    vec![backend::response("200 OK", &body.to_string())]
                }
            };
        }
        parts += 1;
        let after: u64 =
            received.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = Step::Write(wire::UNFRAMED_STREAM_HEAD.to_owned());
        let end = if parts == 1 { Step::AwaitClose } else { Step::Close };
        vec![head, Step::Write(events(after + 1..=after + 2)), end]
    })
}

#[test]
fn a_stream_without_length_whose_run_is_stopped_again_late_has_all_events() {
    let scripts = (0..2).map(|_| stops_again_late()).collect();
    let world = start_behind_proxies("stopped-again", scripts);
    let mut client = world.send(0, &long_deadline_request("/long-stream/x", "id"));
    fleet::eventually("the run has begun", || {
        world.backends.iter().any(|backend| !backend.requests().is_empty())
    });
    std::thread::sleep(2 * INTERVAL);
    silence_links(&world);
    let answer = routes::read_answer(&mut client);
    assert_in_order(&answer, 6, &world.log(0));
    assert_eq!(ids(&answer), [1, 2, 3, 4, 5, 6], "{}", world.log(0));
}

/// A server that breaks off its first stream after the second event, and continues streams with these events.
fn continues_with(numbers: &'static [u64]) -> Script {
    Box::new(move |_, received| {
        let mut steps = vec![Step::Write(STREAM_HEAD.to_owned())];
        if received.header("last-event-id").is_none() {
            steps.extend([event(1), event(2), Step::Reset]);
            return steps;
        }
        // One piece, so that the events are read together.
        let together = events(numbers.iter().copied());
        steps.push(Step::Write(format!("{:x}\r\n{together}\r\n", together.len())));
        steps.push(last_chunk());
        steps
    })
}

macro_rules! streams_that_are_not_joined {
    ($($name:ident: $continued:expr;)*) => {$(
        #[test]
        fn $name() {
            let scripts = (0..3).map(|_| continues_with(&$continued)).collect();
            let world = World::start(stringify!($name), scripts);
            let answer = world.call(0, &long_deadline_request("/resume/x", "id"));
            assert!(!answer.whole, "{}\n{}", answer.text(), world.log(0));
            assert_eq!(ids(&answer), [1, 2], "{}", world.log(0));
        }
    )*};
}

// Ids rise within a stream, so a server whose events begin at an earlier id has not continued it.
streams_that_are_not_joined! {
    a_stream_is_not_joined_with_one_that_begins_again: [1, 2, 3];
    a_stream_is_not_joined_with_one_that_repeats_its_last_event: [2, 3];
    a_stream_is_not_joined_with_one_whose_ids_go_back: [3, 2, 4];
}

/// A server that breaks off its first stream after the second event, and writes the rest of another one before that of a
/// stream that it is to continue.
fn continues_another_stream() -> Script {
    Box::new(|_, received| {
        let head = Step::Write(STREAM_HEAD.to_owned());
        if received.header("last-event-id").is_none() {
            return vec![head, event(1), event(2), Step::Reset];
        }
        let other = Step::Write(STREAM_HEAD.replace("{id}", "other"));
        vec![other, event(3), event(4), last_chunk(), head, event(3), last_chunk()]
    })
}

#[test]
fn a_stream_is_not_joined_with_the_answer_to_another_request() {
    let scripts = (0..2).map(|_| continues_another_stream()).collect();
    let world = World::start("other-stream", scripts);
    let answer = world.call(0, &long_deadline_request("/resume/x", "id"));
    assert!(!answer.whole, "{}\n{}", answer.text(), world.log(0));
    assert_eq!(ids(&answer), [1, 2], "{}", world.log(0));
}

#[test]
fn a_stream_that_its_client_continues_does_not_begin_again() {
    let script = Box::new(|_, _: &_| {
        vec![Step::Write(STREAM_HEAD.to_owned()), event(1), event(2), event(3), last_chunk()]
    });
    let world = World::start("continued-by-client", vec![script]);
    let first = routes::streams::read(&world, 0, "first", "", Some(2));
    assert_eq!(first.status, 200);
    let headers = wire::Continuation { last_id: 2, first: "first" }.headers();
    let answer = routes::streams::read(&world, 0, "second", &headers, None);
    assert!(!answer.whole && ids(&answer).is_empty(), "{}\n{}", answer.text(), world.log(0));
}

/// The ids of steps of one are no rule: an event may hold several tokens.
#[test]
fn a_stream_goes_on_at_any_id_after_the_last_one() {
    let scripts = (0..2).map(|_| continues_with(&[4, 8])).collect();
    let world = World::start("larger-steps", scripts);
    let answer = world.call(0, &long_deadline_request("/resume/x", "id"));
    assert!(answer.whole, "{}", world.log(0));
    assert_eq!(ids(&answer), [1, 2, 4, 8]);
}

/// A server whose first answer ends in the middle of the third event, on a connection that stays open. It stops the run
/// and continues it, or lets the router wait for the continued answer if `late` is set.
fn stops_within_an_event(late: bool) -> Script {
    Box::new(move |_, received| {
        if is_stop(received) {
            let body = serde_json::json!({ "handle": "kept", "made": 3 }).to_string();
            return vec![backend::response("200 OK", &body)];
        }
        let head = Step::Write(STREAM_HEAD.to_owned());
        let last_id = received.header("last-event-id").and_then(|id| id.parse().ok());
        if received.header("kv-from").is_none() && last_id.is_none() {
            let half = Step::Write("8\r\nid: 3\nda\r\n".to_owned());
            return vec![head, event(1), event(2), half, Step::AwaitClose];
        }
        if received.header("kv-from").is_some() && late {
            return vec![Step::AwaitClose];
        }
        let mut steps = vec![head];
        steps.extend((last_id.unwrap_or(0) + 1..=5).map(event));
        steps.push(last_chunk());
        steps
    })
}

#[test]
fn a_run_that_was_stopped_within_an_event_goes_on_after_the_last_whole_one() {
    let scripts = (0..2).map(|_| stops_within_an_event(false)).collect();
    let world = start_behind_proxies("half-event", scripts);
    let mut client = world.send(0, &long_deadline_request("/long-stream/x", "id"));
    fleet::eventually("the run has begun", || {
        world.backends.iter().any(|backend| !backend.requests().is_empty())
    });
    std::thread::sleep(2 * INTERVAL);
    silence_links(&world);
    let answer = routes::read_answer(&mut client);
    assert!(answer.whole, "{}\n{}", answer.text(), world.log(0));
    assert_eq!(ids(&answer), [1, 2, 3, 4, 5], "{}", world.log(0));
}

/// A run that was stopped and goes on too late is resumed elsewhere, and ends with its connection.
#[test]
fn a_run_that_goes_on_too_late_is_not_joined_with_the_one_that_resumes_it() {
    let scripts = (0..2).map(|_| stops_within_an_event(true)).collect();
    let world = start_behind_proxies("late-run", scripts);
    let mut client = world.send(0, &long_deadline_request("/resume/x", "id"));
    fleet::eventually("the run has begun", || {
        world.backends.iter().any(|backend| !backend.requests().is_empty())
    });
    std::thread::sleep(2 * INTERVAL);
    let dropped = [(address(0), OpenConnections::Reset)].into();
    set_faults(&world, &Faults { dropped, ..Faults::default() });
    let answer = routes::read_answer(&mut client);
    assert!(answer.whole, "{}\n{}", answer.text(), world.log(0));
    assert_eq!(ids(&answer), [1, 2, 3, 4, 5], "{}", world.log(0));
    assert!(world.log(0).contains("event=stream_resumed"), "{}", world.log(0));
    fleet::eventually("both connections of the first run are closed", || {
        world.backends.iter().map(backend::Backend::closed_by_client).sum::<usize>() == 2
    });
}

#[test]
fn a_stream_without_length_of_the_only_server_is_not_complete_when_its_link_closes() {
    let runs = Runs::unframed();
    let world = start_behind_proxies("only-server", vec![runs.script(EVENTS, INTERVAL, true)]);
    let mut client = world.send(0, &long_deadline_request("/long-stream/x", "id"));
    fleet::eventually("the run has begun", || runs.begun() > 0);
    std::thread::sleep(4 * INTERVAL);
    set_faults(&world, &Faults { cut: [address(0)].into(), ..Faults::default() });
    let answer = routes::read_answer(&mut client);
    assert_in_order(&answer, EVENTS, &world.log(0));
}
