//! Requests whose time passes while they wait in their router, because its process does not run.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use routes::scripted::ScriptedWorld;
use routes::{Answer, World, read_answer, request};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 3;
const SERVICE_TIME: Duration = Duration::from_millis(20);
const REQUESTS: usize = 30;
const DEADLINE_MS: u64 = 800;
/// Outlasts the deadlines of all requests that are sent as it begins.
const PAUSE: Duration = Duration::from_millis(1_500);
/// The time for a refusal after the pause. A request may last this much longer than its time.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Sends a request on each connection, or on a new one, as the router is paused. Returns the answers, and how long after
/// the pause they came.
fn send_in_pause(world: &World, path: &str, kept: bool) -> Vec<(Answer, Duration)> {
    let sent = |id: &str| {
        let request = routes::Request { deadline_ms: DEADLINE_MS, ..request(path, id) };
        world.send(0, &request)
    };
    let kept_streams: Vec<_> = (0..REQUESTS)
        .filter(|_| kept)
        .map(|number| {
            let mut stream = sent(&format!("before-{number}"));
            assert_eq!(read_answer(&mut stream).status, 200);
            stream
        })
        .collect();
    world.signal(0, "STOP");
    let paused = Instant::now();
    let streams: Vec<_> = match kept {
        true => kept_streams
            .into_iter()
            .enumerate()
            .map(|(number, mut stream)| {
                let id = format!("late-{number}");
                let request = routes::Request { deadline_ms: DEADLINE_MS, ..request(path, &id) };
                std::io::Write::write_all(&mut stream, request.bytes().as_bytes()).unwrap();
                stream
            })
            .collect(),
        false => (0..REQUESTS).map(|number| sent(&format!("late-{number}"))).collect(),
    };
    thread::sleep(PAUSE.saturating_sub(paused.elapsed()));
    world.signal(0, "CONT");
    let resumed = Instant::now();
    thread::scope(|scope| {
        let reading: Vec<_> = streams
            .into_iter()
            .map(|mut stream| scope.spawn(move || (read_answer(&mut stream), resumed.elapsed())))
            .collect();
        reading.into_iter().map(|reading| reading.join().unwrap()).collect()
    })
}

macro_rules! late_requests {
    ($($name:ident: $path:literal, $kept:literal;)*) => {$(
        #[test]
        fn $name() {
            let replying = ScriptedWorld::start(stringify!($name), 1, SERVERS, SERVICE_TIME);
            let before = Instant::now();
            let answers = send_in_pause(&replying.world, $path, $kept);
            let log = replying.world.log(0);
            for (answer, after) in &answers {
                assert_eq!(answer.status, 503, "not said to be unsent\n{log}");
                assert!(answer.header("retry-after").is_some(), "{}", answer.head);
                assert!(*after <= REFUSAL_TIME, "refused after {after:?}\n{log}");
            }
            for server in 0..SERVERS {
                let arrivals = replying.arrivals(server, before, Instant::now());
                let late = arrivals.iter().filter(|(_, id)| id.starts_with("late-")).count();
                assert_eq!(late, 0, "requests reached a server after their deadline\n{log}");
            }
        }
    )*};
}

late_requests! {
    requests_that_a_paused_router_finds_too_late_reach_no_server: "/read/x", false;
    payments_that_a_paused_router_finds_too_late_reach_no_server: "/pay/x", false;
    requests_on_kept_connections_that_a_paused_router_finds_too_late_reach_no_server:
        "/read/x", true;
}
