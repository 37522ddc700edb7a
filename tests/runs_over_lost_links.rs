//! Streams whose router loses its link to the server while it writes them. Guards against answers that are lost although
//! the server makes them and another router reaches it.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend;
use doorswitch_standins::network::{Faults, OpenConnections};
use doorswitch_standins::runs::Runs;
use routes::{World, long_deadline_request};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Whether a copy was written.
type Copied = Arc<AtomicBool>;

const EVENTS: u64 = 60;
const INTERVAL: Duration = Duration::from_millis(50);
/// The time that a run takes that nothing disturbs.
const RUN_TIME: Duration = INTERVAL.saturating_mul(EVENTS as u32);
/// A stream that goes on has no longer pause.
const PAUSE_MAX: Duration = Duration::from_secs(1);
/// An answer that is lost ends within this time after the link went silent.
const LOST_BOUND: Duration = Duration::from_millis(2_500);
/// A server whose client has left stops the run within this time.
const CLIENT_LEFT_BOUND: Duration = Duration::from_secs(1);

fn address(router: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 94, 0, 1 + u8::try_from(router).unwrap()))
}

/// Routers in front of servers behind proxies; the servers keep runs that are stopped if `keeps` is set.
fn start(name: &str, routers: usize, runs: &[Runs], events: u64, keeps: bool) -> World {
    let scripts = runs.iter().map(|runs| runs.script(events, INTERVAL, keeps)).collect();
    let mut world = World::unready(name, scripts);
    world.put_proxies_before_servers();
    world.publish(&[routes::KEY], routes::PREPAID);
    world.add_fleet((0..routers).map(address));
    world
}

/// Cuts the links of the first router to all servers.
fn cut(world: &World, faults: &Faults) {
    for proxy in &world.server_proxies {
        proxy.set_faults(faults.clone());
    }
}

/// New connections of the first router hang; this happens to its open ones.
fn dropped(open: OpenConnections) -> Faults {
    Faults { dropped: [(address(0), open)].into(), ..Faults::default() }
}

/// New connections of the first router are established and closed at once, and so are its open ones.
fn closed() -> Faults {
    Faults { cut: [address(0)].into(), ..Faults::default() }
}

/// Sends a request to the first router and waits until its run has made some events.
fn send(world: &World, runs: &[Runs], path: &str) -> TcpStream {
    let client = world.send(0, &long_deadline_request(path, "id"));
    fleet::eventually("the run has begun", || runs.iter().any(|runs| runs.begun() > 0));
    std::thread::sleep(5 * INTERVAL);
    client
}

fn assert_whole(answer: &routes::Answer, log: &str) {
    let expected: String =
        (1..=EVENTS).map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect();
    assert!(answer.whole, "{}\n{log}", answer.text());
    assert_eq!(answer.text(), expected, "{log}");
}

macro_rules! streams_that_go_on {
    ($($name:ident: $path:expr, $routers:expr, $faults:expr;)*) => {$(
        #[test]
        fn $name() {
            let runs = [Runs::default(), Runs::default()];
            let world = start(stringify!($name), $routers, &runs, EVENTS, true);
            let mut client = send(&world, &runs, $path);
            let began = Instant::now();
            cut(&world, &$faults);
            let answer = routes::read_answer(&mut client);
            let took = began.elapsed();
            let log = world.log(0);
            assert_whole(&answer, &log);
            assert!(took < RUN_TIME + PAUSE_MAX, "{took:?}: {log}");
            let begun: usize = runs.iter().map(Runs::begun).sum();
            let continued: usize = runs.iter().map(Runs::continued).sum();
            assert_eq!((begun, continued), (1, 1), "{log}");
            assert!(log.contains("event=run_continued id=id "), "{log}");
            assert!(!log.contains("event=server_crashed"), "{log}");
        }
    )*};
}

streams_that_go_on! {
    a_stream_that_may_not_be_resumed_goes_on_after_its_link_went_silent: "/long-stream/x", 2, dropped(OpenConnections::Silent);
    a_stream_that_may_be_resumed_goes_on_at_its_server: "/resume/x", 2, dropped(OpenConnections::Silent);
    a_stream_goes_on_through_one_of_several_routers: "/long-stream/x", 4, dropped(OpenConnections::Silent);
    a_stream_that_may_not_be_resumed_goes_on_after_its_connection_was_reset:
        "/long-stream/x", 2, dropped(OpenConnections::Reset);
    a_stream_that_may_be_resumed_goes_on_at_its_server_after_a_reset:
        "/resume/x", 2, dropped(OpenConnections::Reset);
    a_stream_that_may_not_be_resumed_goes_on_while_new_connections_close_at_once:
        "/long-stream/x", 2, closed();
    a_stream_that_may_be_resumed_goes_on_while_new_connections_close_at_once:
        "/resume/x", 3, closed();
}

#[test]
fn a_stream_goes_on_though_the_reply_of_the_server_that_stopped_it_is_lost() {
    let runs = [Runs::default(), Runs::default()];
    let world = start("lost-reply", 2, &runs, EVENTS, true);
    let mut client = send(&world, &runs, "/long-stream/x");
    runs.iter().for_each(|runs| runs.lose_replies(1));
    cut(&world, &dropped(OpenConnections::Reset));
    assert_whole(&routes::read_answer(&mut client), &world.log(0));
    let continued: usize = runs.iter().map(Runs::continued).sum();
    assert_eq!(continued, 1, "{}", world.log(0));
}

/// Before it continues a run, writes a copy of its answer to what the connection carried last, if that named the run.
fn copies_answers(mut server: backend::Script, copied: &Copied) -> backend::Script {
    let (copied, mut replies) = (copied.clone(), HashMap::new());
    Box::new(move |number, received| {
        let mut steps = server(number, received);
        if received.line.contains("/kv-move") {
            let reply = steps.iter().find_map(|step| match step {
                backend::Step::Write(reply) => Some(reply.replace("{id}", "id")),
                _ => None,
            });
            replies.insert(received.connection, reply);
        } else if received.header("kv-from").is_some()
            && let Some(Some(reply)) = replies.remove(&received.connection)
        {
            copied.store(true, Ordering::Relaxed);
            steps.insert(0, backend::Step::Write(reply));
        }
        steps
    })
}

/// Guards against a run that goes on over the connection on which it was stopped: a late copy of that reply names it too.
#[test]
fn a_run_that_goes_on_is_not_answered_by_a_copy_of_the_reply_that_stopped_it() {
    let (runs, copied) = ([Runs::default(), Runs::default()], Copied::default());
    let scripts =
        runs.iter().map(|runs| copies_answers(runs.script(EVENTS, INTERVAL, true), &copied));
    let mut world = World::unready("copied-reply", scripts.collect());
    world.put_proxies_before_servers();
    world.publish(&[routes::KEY], routes::PREPAID);
    world.add_fleet((0..2).map(address));
    let mut client = send(&world, &runs, "/long-stream/x");
    cut(&world, &dropped(OpenConnections::Silent));
    assert_whole(&routes::read_answer(&mut client), &world.log(0));
    assert!(
        !copied.load(Ordering::Relaxed),
        "the run went on where it was stopped: {}",
        world.log(0)
    );
}

#[test]
fn a_stream_that_goes_on_is_billed_once() {
    const PROMPT_TOKENS: u64 = 100;
    const EVENT_TOKENS: u64 = 3;
    let runs = [Runs::default(), Runs::default()];
    let world = start("billed-once", 2, &runs, EVENTS, true);
    let tokens = Some((PROMPT_TOKENS, 2 * EVENTS * EVENT_TOKENS));
    let request = routes::Request { tokens, ..long_deadline_request("/long-stream/x", "id") };
    let mut client = world.send(0, &request);
    fleet::eventually("the run has begun", || runs.iter().any(|runs| runs.begun() > 0));
    std::thread::sleep(5 * INTERVAL);
    cut(&world, &dropped(OpenConnections::Silent));
    assert_whole(&routes::read_answer(&mut client), &world.log(0));
    let ended = format!(
        "event=request_ended id=id outcome=ran tokens={} ",
        PROMPT_TOKENS + EVENTS * EVENT_TOKENS
    );
    fleet::eventually("the request is settled", || world.log(0).contains(&ended));
    assert_eq!(world.log(0).matches("event=request_ended").count(), 1, "{}", world.log(0));
}

#[test]
fn a_stream_that_goes_on_outlives_the_router_in_between() {
    let runs = [Runs::default(), Runs::default()];
    let mut world = start("relay-killed", 3, &runs, EVENTS, true);
    let mut client = send(&world, &runs, "/long-stream/x");
    cut(&world, &dropped(OpenConnections::Silent));
    fleet::eventually("the run goes on", || world.log(0).contains("event=run_continued"));
    let log = world.log(0);
    let relay = log.lines().rfind(|line| line.contains("event=attempt_relayed id=id ")).unwrap();
    let relay = if relay.ends_with("via=entry-1") { 1 } else { 2 };
    std::thread::sleep(2 * INTERVAL);
    world.kill(relay);
    let answer = routes::read_answer(&mut client);
    assert_whole(&answer, &world.log(0));
    assert_eq!(runs.iter().map(Runs::begun).sum::<usize>(), 1, "{}", world.log(0));
    assert_eq!(world.log(0).matches("event=run_continued").count(), 2, "{}", world.log(0));
}

#[test]
fn a_client_that_leaves_while_its_link_is_silent_frees_the_server() {
    let runs = [Runs::default(), Runs::default()];
    let world = start("left-while-silent", 2, &runs, 100, true);
    let client = send(&world, &runs, "/long-stream/x");
    cut(&world, &dropped(OpenConnections::Silent));
    drop(client);
    let left = Instant::now();
    let stopped = || runs.iter().all(|runs| runs.running() == 0);
    assert!(
        fleet::holds_within(CLIENT_LEFT_BOUND, stopped),
        "{:?}: {}",
        left.elapsed(),
        world.log(0)
    );
}

macro_rules! streams_that_are_lost {
    ($($name:ident: $events:expr, $keeps:expr;)*) => {$(
        #[test]
        fn $name() {
            let runs = [Runs::default(), Runs::default()];
            let world = start(stringify!($name), 2, &runs, $events, $keeps);
            let mut client = send(&world, &runs, "/long-stream/x");
            let began = Instant::now();
            cut(&world, &dropped(OpenConnections::Silent));
            let answer = routes::read_answer(&mut client);
            let took = began.elapsed();
            let log = world.log(0);
            assert!(!answer.whole, "{log}");
            assert!(took < LOST_BOUND, "{took:?}: {log}");
            // A thread of its own writes the log.
            fleet::eventually("the outcome is logged", || world.log(0).contains("outcome=unknown"));
            assert_eq!(runs.iter().map(Runs::begun).sum::<usize>(), 1, "{log}");
        }
    )*};
}

streams_that_are_lost! {
    a_stream_whose_run_ended_behind_the_silent_link_ends_soon: 6, true;
    a_stream_of_a_server_that_keeps_no_runs_ends_soon_after_its_link_went_silent: 100, false;
}
