//! Guards against requests whose clients leave: tokens that servers handed out meanwhile are charged, and what was reserved
//! for a request is given back.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::{Script, Step};
use fleet::eventually;
use routes::{Request, STREAM_HEAD, World, answers, event, last_chunk, request};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

const PROMPT_TOKENS: u64 = 700;
const ANSWER_TOKENS_MAX: u64 = 300;
/// The tokens of an event, by the configuration of the tests.
const EVENT_TOKENS: u64 = 3;
const EVENTS: u64 = 60;
/// How long a server works before its answer begins, if it begins while the router stands still.
const WORK: Duration = Duration::from_millis(300);

fn metered<'a>(path: &'a str, id: &'a str) -> Request<'a> {
    Request { tokens: Some((PROMPT_TOKENS, ANSWER_TOKENS_MAX)), ..request(path, id) }
}

/// A stream that begins after `pause` and of which the last events come at once.
fn stream(first: u64, pause: Duration, end: Vec<Step>) -> Script {
    Box::new(move |_, _| {
        let mut steps = vec![];
        if first > 0 {
            steps.push(Step::Write(STREAM_HEAD.to_owned()));
            steps.extend((1..=first).map(event));
        }
        steps.push(Step::Pause(pause));
        if first == 0 {
            steps.push(Step::Write(STREAM_HEAD.to_owned()));
        }
        steps.extend((first + 1..=EVENTS).map(event));
        steps.extend(end.clone());
        steps
    })
}

/// The tokens that were charged for a request, and its outcome.
fn charged(world: &World, id: &str) -> Option<(u64, String)> {
    let log = world.log(0);
    let line = log.lines().find(|line| line.contains(&format!("event=request_ended id={id} ")))?;
    let field = |name: &str| {
        let value = line.split_whitespace().find_map(|word| word.strip_prefix(name));
        value.unwrap().to_owned()
    };
    Some((field("tokens=").parse().unwrap(), field("outcome=")))
}

/// Has a router stand still while a server answers, and the client leave meanwhile; returns what is charged.
fn charged_after_a_standstill(name: &str, path: &str, script: Script) -> u64 {
    let world = World::start(name, vec![script]);
    let client = world.send(0, &metered(path, "id-1"));
    eventually("the server has the request", || world.backends[0].requests().len() == 1);
    thread::sleep(WORK / 3);
    world.signal(0, "STOP");
    thread::sleep(2 * WORK);
    drop(client);
    thread::sleep(WORK / 3);
    world.signal(0, "CONT");
    eventually("the request has ended", || charged(&world, "id-1").is_some());
    charged(&world, "id-1").unwrap().0
}

const WHOLE: u64 = PROMPT_TOKENS + EVENTS * EVENT_TOKENS;
const MOST: u64 = PROMPT_TOKENS + ANSWER_TOKENS_MAX;

macro_rules! tokens_that_were_handed_out_while_a_router_stood_still_are_charged {
    ($($name:ident: $path:expr, $script:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let tokens = charged_after_a_standstill(stringify!($name), $path, $script);
            let expected: std::ops::RangeInclusive<u64> = $expected;
            assert!(expected.contains(&tokens), "{tokens} tokens were charged");
        }
    )*};
}

tokens_that_were_handed_out_while_a_router_stood_still_are_charged! {
    a_whole_stream_that_had_not_begun:
        "/stream/x", stream(0, WORK, vec![last_chunk()]) => WHOLE..=WHOLE;
    a_stream_that_had_not_begun_and_goes_on:
        "/stream/x", stream(0, WORK, vec![Step::AwaitClose]) => WHOLE..=WHOLE + 30;
    a_stream_that_had_not_begun_and_breaks_off:
        "/stream/x", stream(0, WORK, vec![Step::Close]) => WHOLE..=WHOLE + 30;
    a_whole_stream_that_had_begun:
        "/stream/x", stream(5, WORK, vec![last_chunk()]) => WHOLE..=WHOLE;
    a_stream_that_had_begun_and_goes_on:
        "/stream/x", stream(5, WORK, vec![Step::AwaitClose]) => WHOLE..=WHOLE + 30;
    a_resumable_stream_that_had_not_begun:
        "/resume/x", stream(0, WORK, vec![last_chunk()]) => WHOLE..=WHOLE;
}

/// A client that leaves a router that runs is charged for what its server made, and for what it makes until it stops.
#[test]
fn a_stream_that_had_not_begun_costs_its_prompt_and_little_more() {
    let world = World::start("left-early", vec![Box::new(|_, _| vec![Step::AwaitClose])]);
    let client = world.send(0, &metered("/stream/x", "id-1"));
    eventually("the server has the request", || world.backends[0].requests().len() == 1);
    drop(client);
    let left = Instant::now();
    eventually("the server is told", || world.backends[0].closed_by_client() == 1);
    let told = left.elapsed();
    eventually("the request has ended", || charged(&world, "id-1").is_some());
    let (tokens, outcome) = charged(&world, "id-1").unwrap();
    assert_eq!((tokens, outcome.as_str()), (PROMPT_TOKENS + 30, "client_left"));
    assert!(told < Duration::from_millis(400), "the server worked on for {told:?}");
}

/// What a server has made of an answer that comes as a whole is not seen before it is complete.
#[test]
fn an_answer_that_is_no_stream_costs_its_most_if_its_client_leaves() {
    let world = World::start("left-whole", vec![Box::new(|_, _| vec![Step::AwaitClose])]);
    let client = world.send(0, &metered("/read/x", "id-1"));
    eventually("the server has the request", || world.backends[0].requests().len() == 1);
    drop(client);
    eventually("the request has ended", || charged(&world, "id-1").is_some());
    assert_eq!(charged(&world, "id-1").unwrap().0, MOST);
}

#[test]
fn a_request_that_a_server_rejects_after_its_client_left_costs_nothing() {
    let rejection = || -> Script {
        let rejection =
            "HTTP/1.1 503 Busy\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        Box::new(move |_, _| vec![Step::Pause(WORK), Step::Write(rejection.to_owned())])
    };
    let tokens = charged_after_a_standstill("left-rejected", "/pay/x", rejection());
    assert_eq!(tokens, 0);
}

/// Clients leave while the control thread decides on their requests. With the fault, one decision in ten is lost, and its
/// tokens stay reserved until the process ends.
#[test]
fn what_was_reserved_for_clients_that_left_is_given_back() {
    const CLIENTS: usize = 300;
    const ROUNDS: usize = 6;
    let world = World::start("left-reserved", (0..4).map(|_| answers("done")).collect());
    let budgets = || world.dump(0)["budgets"].clone();
    for round in 0..ROUNDS {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let id = format!("id-{round}-{number}");
                let mut stream = std::net::TcpStream::connect(world.routers[0].clients).unwrap();
                stream.write_all(metered("/read/x", &id).bytes().as_bytes()).unwrap();
                stream
            })
            .collect();
        // Some leave before their answers, at once.
        for (number, client) in clients.into_iter().enumerate() {
            if number % 60 == 0 {
                thread::sleep(Duration::from_millis(1));
            }
            drop(client);
        }
    }
    let reserved = || {
        let budgets = budgets();
        let reserved = budgets.as_object().unwrap().values();
        reserved.map(|budget| budget["reserved_tokens"].as_u64().unwrap()).sum::<u64>()
    };
    // Before that, requests that the router has not read reserve no tokens.
    eventually("all requests are read", || world.open_client_connections(0) == 0);
    eventually("no tokens are reserved", || reserved() == 0);
    let answer = world.call(0, &metered("/read/x", "last"));
    assert_eq!(answer.status, 200, "{}", budgets());
}
