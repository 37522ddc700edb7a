//! Streams of a service whose servers have several software versions. Guards against streams that hold events of two
//! versions: resumed by a router within one answer, or continued by their clients after a broken connection.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::{backend, wire};
use routes::{World, request};
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const ROUTERS: usize = 3;
/// The number of events of a whole stream.
const EVENTS: u64 = 6;
/// The event after which streams are broken, by their server or by their client.
const BROKEN_AFTER: u64 = 2;
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// The least share of the streams that go on while a server of their version has room, in percent.
const CONTINUED_PERCENT_MIN: usize = 95;
/// How often a client tries to continue a stream, and how long it waits at most.
const TRIES_MAX: usize = 6;
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
/// The time within which a stream that cannot be continued is refused.
const REFUSAL_MAX: Duration = Duration::from_millis(500);

/// A header by which a client has the first server break the stream off.
const BREAKS: &str = "X-Break: 1\r\n";

/// A server that names its version in each event. It continues any stream, and breaks those off that ask for it.
fn server(version: &'static str) -> backend::Script {
    Box::new(move |_, received| {
        let continued = received.header("last-event-id").map(|id| id.parse::<u64>().unwrap());
        let first = continued.map_or(1, |last| last + 1);
        let breaks = received.header("x-break").is_some() && continued.is_none();
        let mut steps = vec![backend::Step::Write(routes::STREAM_HEAD.to_owned())];
        for number in first..=EVENTS {
            steps.push(backend::Step::Pause(EVENT_INTERVAL));
            let event = format!("id: {number}\ndata: {version}\n\n");
            steps.push(backend::Step::Write(format!("{:x}\r\n{event}\r\n", event.len())));
            if breaks && number == BROKEN_AFTER {
                steps.push(backend::Step::Reset);
                return steps;
            }
        }
        steps.push(routes::last_chunk());
        steps
    })
}

/// Starts a server of each of these versions, and three routers in front of them.
fn start(name: &str, versions: &[&'static str]) -> World {
    let mut world = World::unready(name, versions.iter().copied().map(server).collect());
    for (index, version) in versions.iter().enumerate() {
        world.record_version(index, &format!("i-{index}"), version, "ready");
    }
    world.publish(&[routes::KEY], routes::PREPAID);
    world.add_fleet((0..ROUTERS).map(address));
    world
}

fn address(router: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 92, 0, 1 + u8::try_from(router).unwrap()))
}

/// What a client received of one stream, over all its requests.
#[derive(Debug, Default)]
struct Received {
    /// The id of the request whose answer brought the first event.
    first: String,
    last_id: u64,
    /// The versions that the events name.
    versions: BTreeSet<String>,
    whole: bool,
    /// The status and the time of each answer.
    answers: Vec<(u16, Duration)>,
}

impl Received {
    fn add(&mut self, id: &str, answer: &routes::Answer, took: Duration) {
        self.answers.push((answer.status, took));
        if answer.status != 200 {
            return;
        }
        for event in answer.text().split_terminator("\n\n") {
            let Some((number, version)) = event.split_once("\ndata: ") else { continue };
            let number: u64 = number.strip_prefix("id: ").unwrap().parse().unwrap();
            assert_eq!(number, self.last_id + 1, "an event is missing or comes twice");
            self.last_id = number;
            self.versions.insert(version.to_owned());
            if self.first.is_empty() {
                self.first = id.to_owned();
            }
        }
        self.whole = answer.whole && self.last_id == EVENTS;
    }

    fn headers(&self) -> String {
        match self.last_id {
            0 => String::new(),
            last_id => wire::Continuation { last_id, first: &self.first }.headers(),
        }
    }
}

/// Sends a request for a stream, and reads `events` events of it or, without a number, all that arrives.
fn read(
    world: &World,
    router: usize,
    id: &str,
    headers: &str,
    events: Option<u64>,
) -> routes::Answer {
    let request = routes::Request { headers, ..request("/resume/x", id) };
    let mut stream: TcpStream = world.send(router, &request);
    routes::read_answer_until(&mut stream, |answer| {
        let received = answer.text().matches("\n\n").count() as u64;
        events.is_some_and(|events| received >= events)
    })
}

fn read_into(received: &mut Received, world: &World, router: usize, id: &str, headers: &str) {
    let started = Instant::now();
    let answer = read(world, router, id, headers, None);
    received.add(id, &answer, started.elapsed());
}

/// Begins a stream and closes its connection after [`BROKEN_AFTER`] events.
fn begin(world: &World, router: usize, id: &str) -> Received {
    let mut received = Received::default();
    let answer = read(world, router, id, "", Some(BROKEN_AFTER));
    received.add(id, &answer, Duration::ZERO);
    received
}

/// Begins this many streams at once, each at the router that `router` names, and closes them early.
fn begin_all(world: &World, count: usize, router: impl Fn(usize) -> usize + Sync) -> Vec<Received> {
    in_parallel(count, |number| begin(world, router(number), &format!("id-{number}")))
}

/// Continues a stream at a router until it is whole, as a client does that is refused or whose stream breaks again.
fn continue_stream(world: &World, router: usize, received: &mut Received) {
    for attempt in 0..TRIES_MAX {
        if received.whole {
            return;
        }
        if attempt > 0 {
            thread::sleep(RETRY_DELAY_MAX);
        }
        let id = format!("{}-{attempt}-{}", received.first, received.last_id);
        let headers = received.headers();
        read_into(received, world, router, &id, &headers);
    }
}

/// Continues a stream with a single request.
fn continue_once(world: &World, router: usize, received: &mut Received) {
    let (id, headers) = (format!("{}-again", received.first), received.headers());
    read_into(received, world, router, &id, &headers);
}

/// Kills all routers, and then starts them again.
fn restart_all(world: &mut World) {
    for router in 0..ROUTERS {
        world.kill(router);
    }
    for router in 0..ROUTERS {
        world.spawn(router);
        world.wait_ready(router);
    }
}

fn in_parallel<T: Send>(count: usize, run: impl Fn(usize) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let run = &run;
        let running: Vec<_> = (0..count).map(|number| scope.spawn(move || run(number))).collect();
        running.into_iter().map(|running| running.join().unwrap()).collect()
    })
}

fn for_each(streams: &mut [Received], run: impl Fn(usize, &mut Received) + Sync) {
    thread::scope(|scope| {
        for (number, stream) in streams.iter_mut().enumerate() {
            let run = &run;
            scope.spawn(move || run(number, stream));
        }
    });
}

fn assert_unmixed(streams: &[Received]) {
    let mixed: Vec<&Received> = streams.iter().filter(|stream| stream.versions.len() > 1).collect();
    let all = streams.len();
    assert!(
        mixed.is_empty(),
        "{} of {all} streams hold events of two versions: {mixed:?}",
        mixed.len()
    );
}

fn assert_continued(streams: &[Received]) {
    let whole = streams.iter().filter(|stream| stream.whole).count();
    let ended: Vec<&Received> = streams.iter().filter(|stream| !stream.whole).collect();
    assert!(
        whole * 100 >= streams.len() * CONTINUED_PERCENT_MIN,
        "{whole} of {} streams went on: {ended:?}",
        streams.len()
    );
}

/// Checks that each stream was refused at once, with a time after which to retry.
fn assert_refused(streams: &[Received]) {
    for stream in streams {
        let (status, took) = *stream.answers.last().unwrap();
        assert_eq!(status, 503, "{stream:?}");
        assert!(took <= REFUSAL_MAX, "refused after {took:?}: {stream:?}");
    }
}

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
