//! Servers that send bytes without end, anywhere in an answer. Guards against routers that buffer such answers until
//! their memory is used up, so that one faulty server ends them all.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::{Script, Step};
use routes::{Request, STREAM_HEAD, World, event, request};
use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The memory of the smallest VMs.
const MEMORY_BYTES_MAX: u64 = 110 << 20;
/// The number of requests at the same time.
const REQUESTS: usize = 12;
/// A request ends at its deadline at the latest.
const DEADLINE_MS: u64 = 3_000;
/// Long enough for a server to send more than the memory.
const LONG_DEADLINE_MS: u64 = 8_000;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
const HEAD: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\n";

/// A server that writes the start of an answer and then a text without end.
fn endless(start: &str, pause: Duration, text: &str) -> Script {
    let steps = vec![
        Step::Write(start.to_owned()),
        Step::Pause(pause),
        Step::WriteWithoutEnd(text.to_owned()),
    ];
    Box::new(move |_, received| match received.line.contains("sound") {
        true => vec![doorswitch_standins::backend::response("200 OK", "answer")],
        false => steps.clone(),
    })
}

/// Sends several requests at once to endless answers, and sound ones meanwhile; checks the router's memory, that all
/// requests end in time and none looks complete, and that the sound ones are served.
fn check(name: &str, path: &str, start: &str, pause: Duration, text: &str, deadline_ms: u64) {
    let scripts = (0..4).map(|_| endless(start, pause, text)).collect();
    let world = World::start(name, scripts);
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let world = &world;
                scope.spawn(move || {
                    let (sent, id) = (Instant::now(), format!("endless-{number}"));
                    let request = Request { deadline_ms, ..request(path, &id) };
                    let mut stream = world.send(0, &request);
                    if path.contains("unread") {
                        std::thread::sleep(Duration::from_millis(deadline_ms));
                    }
                    let complete = match path.contains("stream") {
                        true => ends_complete(&mut stream),
                        false => {
                            let answer = routes::read_answer(&mut stream);
                            answer.status == 200 && answer.whole
                        }
                    };
                    (sent.elapsed(), complete)
                })
            })
            .collect();
        for number in 0..10 {
            std::thread::sleep(Duration::from_millis(100));
            let id = format!("sound-{number}");
            let answer = world.call(0, &request("/read/sound", &id));
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
        for call in calls {
            let (took, complete) = call.join().unwrap();
            assert!(took < Duration::from_millis(deadline_ms + 1_500), "took {took:?}");
            // One byte is the whole answer before the bytes that follow it.
            assert!(!complete || start.contains("Content-Length: 1"), "it looks complete");
        }
    });
    let peak_bytes = world.peak_memory_bytes(0);
    eprintln!("peak memory: {} MiB", peak_bytes >> 20);
    assert!(peak_bytes < MEMORY_BYTES_MAX, "peak memory: {} MiB", peak_bytes >> 20);
}

/// Reads a chunked answer to its end without keeping it; returns whether it ended with the last chunk.
fn ends_complete(stream: &mut TcpStream) -> bool {
    let (mut received, mut tail) = (vec![0; 64 << 10], Vec::new());
    while let Ok(length) = stream.read(&mut received) {
        tail.extend_from_slice(&received[..length]);
        tail.drain(..tail.len().saturating_sub(LAST_CHUNK.len()));
        if length == 0 || tail == LAST_CHUNK {
            break;
        }
    }
    tail == LAST_CHUNK
}

macro_rules! bounded {
    ($($name:ident: $path:literal, $start:expr, $text:expr;)*) => { $(
        #[test]
        fn $name() {
            check(stringify!($name), $path, &$start, Duration::ZERO, $text, DEADLINE_MS);
        }
    )* };
}

bounded! {
    endless_status_lines_take_little_memory: "/read/x", "HTTP/1.1 200 ", "a";
    endless_header_lines_take_little_memory: "/read/x", "HTTP/1.1 200 OK\r\nA: ", "a";
    endless_headers_take_little_memory: "/read/x", HEAD, "A: b\r\n";
    endless_bodies_take_little_memory: "/read/x", format!("{HEAD}\r\n"), "a";
    endless_chunks_take_little_memory:
        "/read/x", format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n"), "1\r\na\r\n";
    endless_chunk_lines_take_little_memory:
        "/read/x", format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n"), "0";
    endless_chunk_extensions_take_little_memory:
        "/read/x", format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n1;"), "a";
    bytes_without_end_after_an_answer_take_little_memory:
        "/read/x", format!("{HEAD}Content-Length: 1\r\n\r\n"), "a";
    endless_streams_take_little_memory:
        "/stream/x", STREAM_HEAD, "14\r\nid: 1\ndata: piece 1\n\n\r\n";
    endless_events_take_little_memory: "/stream/x", STREAM_HEAD, "6\r\ndata: \r\n";
    endless_events_without_chunks_take_little_memory: "/stream/x", format!("{HEAD}\r\n"), "data: a";
}

/// Guards against a bound on the number of events that wait for a client, and none on their bytes.
#[test]
fn endless_large_events_that_clients_do_not_read_take_little_memory() {
    let name = "endless_large_events_that_clients_do_not_read_take_little_memory";
    let event = format!("id: 1\ndata: {}\n\n", "a".repeat(900_000));
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    check(name, "/stream/unread", STREAM_HEAD, Duration::ZERO, &chunk, LONG_DEADLINE_MS);
}

#[test]
fn bytes_without_end_on_idle_connections_take_little_memory() {
    let name = "bytes_without_end_on_idle_connections_take_little_memory";
    let start = format!("{HEAD}Content-Length: 1\r\n\r\na");
    check(name, "/read/x", &start, Duration::from_millis(200), "a", DEADLINE_MS);
}

/// Guards against bounds on faulty answers that refuse sound ones.
#[test]
fn large_heads_and_chunk_extensions_and_many_small_chunks_are_forwarded() {
    let (field, extension) = ("f".repeat(100_000), "e".repeat(15_000));
    let chunks = "1\r\na\r\n".repeat(50_000);
    let start = format!("{HEAD}Field: {field}\r\nTransfer-Encoding: chunked\r\n\r\n");
    let text = format!("{start}1;{extension}\r\nb\r\n{chunks}0\r\n\r\n");
    let script: Script = Box::new(move |_, _| vec![Step::Write(text.clone())]);
    let world = World::start("bounded-sound", vec![script]);
    let answer = world.call(0, &request("/read/x", "id-1"));
    assert_eq!((answer.status, answer.whole), (200, true), "{}", world.log(0));
    assert_eq!(answer.header("field").map(|field| field.len()), Some(100_000));
    assert_eq!(answer.text().len(), 50_001);
}

/// A stream may come with neither a length nor chunks and end with its connection.
#[test]
fn a_stream_without_chunks_is_whole_if_it_ends_after_an_event() {
    for (end, whole) in [("", true), ("id: 2\ndata: pie", false)] {
        let text =
            format!("{HEAD}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n{end}");
        let script: Script = Box::new(move |_, _| vec![Step::Write(text.clone()), Step::Close]);
        let world = World::start("unframed-stream", vec![script]);
        let answer = world.call(0, &request("/stream/x", "id-1"));
        assert_eq!((answer.status, answer.whole), (200, whole), "{end:?}");
        assert_eq!(answer.text(), "id: 1\ndata: piece 1\n\n", "{end:?}");
    }
}

/// One that ends inside an event goes on at another server where the route allows it.
#[test]
fn a_stream_without_chunks_that_ends_inside_an_event_is_resumed() {
    let script = || -> Script {
        Box::new(move |_, received| match received.header("last-event-id") {
            None => {
                let events = "id: 1\ndata: piece 1\n\nid: 2\nda";
                vec![Step::Write(format!("{HEAD}\r\n{events}")), Step::Close]
            }
            Some(_) => {
                vec![Step::Write(STREAM_HEAD.to_owned()), event(2), routes::last_chunk()]
            }
        })
    };
    let world = World::start("unframed-resumed", vec![script(), script()]);
    let answer = world.call(0, &request("/resume/x", "id-1"));
    assert_eq!((answer.status, answer.whole), (200, true));
    assert_eq!(answer.text(), "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n");
}
