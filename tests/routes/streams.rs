//! Clients that begin streams and continue them, and servers that name their version in each event.

use super::{Answer, World, request};
use doorswitch_standins::{backend, wire};
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

pub const ROUTERS: usize = 3;
/// The number of events of a whole stream.
pub const EVENTS: u64 = 6;
/// The event after which streams are broken, by their server or by their client.
pub const BROKEN_AFTER: u64 = 2;
pub const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// The least share of the streams that go on while a server of their version has room, in percent.
pub const CONTINUED_PERCENT_MIN: usize = 95;
/// How often a client tries to continue a stream, and how long it waits at most.
pub const TRIES_MAX: usize = 6;
pub const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);
/// The time within which a stream that cannot be continued is refused.
pub const REFUSAL_MAX: Duration = Duration::from_millis(500);

/// A header by which a client has the first server break the stream off.
pub const BREAKS: &str = "X-Break: 1\r\n";

/// A server that names its version in each event. It continues any stream, and breaks those off that ask for it.
pub fn server(version: &'static str) -> backend::Script {
    Box::new(move |_, received| {
        let continued = received.header("last-event-id").map(|id| id.parse::<u64>().unwrap());
        let first = continued.map_or(1, |last| last + 1);
        let breaks = received.header("x-break").is_some() && continued.is_none();
        let mut steps = vec![backend::Step::Write(super::STREAM_HEAD.to_owned())];
        for number in first..=EVENTS {
            steps.push(backend::Step::Pause(EVENT_INTERVAL));
            let event = format!("id: {number}\ndata: {version}\n\n");
            steps.push(backend::Step::Write(format!("{:x}\r\n{event}\r\n", event.len())));
            if breaks && number == BROKEN_AFTER {
                steps.push(backend::Step::Reset);
                return steps;
            }
        }
        steps.push(super::last_chunk());
        steps
    })
}

/// Starts a server of each of these versions, and three routers in front of them.
pub fn start(name: &str, versions: &[&'static str]) -> World {
    start_fleet(name, versions, ROUTERS)
}

/// Starts a server of each of these versions, and a number of routers in front of them.
pub fn start_fleet(name: &str, versions: &[&'static str], routers: usize) -> World {
    let mut world = World::unready(name, versions.iter().copied().map(server).collect());
    for (index, version) in versions.iter().enumerate() {
        world.record_version(index, &format!("i-{index}"), version, "ready");
    }
    world.publish(&[super::KEY], super::PREPAID);
    world.add_fleet((0..routers).map(address));
    world
}

pub fn address(router: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 92, 0, 1 + u8::try_from(router).unwrap()))
}

/// What a client received of one stream, over all its requests.
#[derive(Debug, Default)]
pub struct Received {
    /// The id of the request whose answer brought the first event.
    pub first: String,
    pub last_id: u64,
    /// The versions that the events name.
    pub versions: BTreeSet<String>,
    pub whole: bool,
    /// The status and the time of each answer.
    pub answers: Vec<(u16, Duration)>,
}

impl Received {
    pub fn add(&mut self, id: &str, answer: &Answer, took: Duration) {
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

    pub fn headers(&self) -> String {
        match self.last_id {
            0 => String::new(),
            last_id => wire::Continuation { last_id, first: &self.first }.headers(),
        }
    }
}

/// Sends a request for a stream, and reads `events` events of it or, without a number, all that arrives.
pub fn read(world: &World, router: usize, id: &str, headers: &str, events: Option<u64>) -> Answer {
    let request = super::Request { headers, ..request("/resume/x", id) };
    let mut stream: TcpStream = world.send(router, &request);
    super::read_answer_until(&mut stream, |answer| {
        let received = answer.text().matches("\n\n").count() as u64;
        events.is_some_and(|events| received >= events)
    })
}

pub fn read_into(received: &mut Received, world: &World, router: usize, id: &str, headers: &str) {
    let started = Instant::now();
    let answer = read(world, router, id, headers, None);
    received.add(id, &answer, started.elapsed());
}

/// Begins a stream and closes its connection after [`BROKEN_AFTER`] events.
pub fn begin(world: &World, router: usize, id: &str) -> Received {
    let mut received = Received::default();
    let answer = read(world, router, id, "", Some(BROKEN_AFTER));
    received.add(id, &answer, Duration::ZERO);
    received
}

/// Begins this many streams at once, each at the router that `router` names, and closes them early.
pub fn begin_all(
    world: &World,
    count: usize,
    router: impl Fn(usize) -> usize + Sync,
) -> Vec<Received> {
    in_parallel(count, |number| begin(world, router(number), &format!("id-{number}")))
}

/// Continues a stream at a router until it is whole, as a client does that is refused or whose stream breaks again.
pub fn continue_stream(world: &World, router: usize, received: &mut Received) {
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
pub fn continue_once(world: &World, router: usize, received: &mut Received) {
    let (id, headers) = (format!("{}-again", received.first), received.headers());
    read_into(received, world, router, &id, &headers);
}

/// Kills all routers, and then starts them again.
pub fn restart_all(world: &mut World) {
    for router in 0..world.routers.len() {
        world.kill(router);
    }
    for router in 0..world.routers.len() {
        world.spawn(router);
        world.wait_ready(router);
    }
}

pub fn in_parallel<T: Send>(count: usize, run: impl Fn(usize) -> T + Sync) -> Vec<T> {
    thread::scope(|scope| {
        let run = &run;
        let running: Vec<_> = (0..count).map(|number| scope.spawn(move || run(number))).collect();
        running.into_iter().map(|running| running.join().unwrap()).collect()
    })
}

pub fn for_each(streams: &mut [Received], run: impl Fn(usize, &mut Received) + Sync) {
    thread::scope(|scope| {
        for (number, stream) in streams.iter_mut().enumerate() {
            let run = &run;
            scope.spawn(move || run(number, stream));
        }
    });
}

pub fn assert_unmixed(streams: &[Received]) {
    let mixed: Vec<&Received> = streams.iter().filter(|stream| stream.versions.len() > 1).collect();
    let all = streams.len();
    assert!(
        mixed.is_empty(),
        "{} of {all} streams hold events of two versions: {mixed:?}",
        mixed.len()
    );
}

pub fn assert_continued(streams: &[Received]) {
    let whole = streams.iter().filter(|stream| stream.whole).count();
    let ended: Vec<&Received> = streams.iter().filter(|stream| !stream.whole).collect();
    assert!(
        whole * 100 >= streams.len() * CONTINUED_PERCENT_MIN,
        "{whole} of {} streams went on: {ended:?}",
        streams.len()
    );
}

/// Checks that each stream was refused at once, with a time after which to retry.
pub fn assert_refused(streams: &[Received]) {
    for stream in streams {
        let (status, took) = *stream.answers.last().unwrap();
        assert_eq!(status, 503, "{stream:?}");
        assert!(took <= REFUSAL_MAX, "refused after {took:?}: {stream:?}");
    }
}

/// Begins streams that are numbered from `first` on, at the routers in turn, and closes them early.
pub fn begin_named(world: &World, first: usize, count: usize, routers: usize) -> Vec<Received> {
    in_parallel(count, |number| begin(world, number % routers, &format!("id-{}", first + number)))
}
