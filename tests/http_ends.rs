//! Tests of the gateway's HTTP server and client: which messages are forwarded, that truncated answers are never
//! forwarded as complete, and that the request to the server is cancelled when its client disconnects. One router
//! process runs with servers whose answers are scripted byte by byte.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::{Step, response};
use fleet::eventually;
use routes::{
    KEY, Request, STREAM_HEAD, World, answers, event, last_chunk, long_deadline_request, request,
};
use std::io::Write;
use std::time::Duration;

/// An answer without a length, whose body ends with the connection.
fn unframed(body: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {{id}}\r\nServer-Seal: seal\r\nConnection: close\r\n\r\n{body}"
    ))
}

#[test]
fn a_request_is_forwarded_unchanged_with_the_router_s_own_headers_set() {
    let world = World::start("unchanged", vec![answers("done")]);
    let mut sent = request("/read/a%20b?c=d&e", "id-1");
    sent.headers = "X-Own: kept\r\nTenant: forged\r\nConnection: X-Hop\r\nX-Hop: dropped\r\n";
    sent.body = "the body";
    let answer = world.call(0, &sent);
    assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
    assert_eq!(answer.header("server-seal").as_deref(), Some("seal"));
    let received = &world.backends[0].requests()[0];
    assert_eq!(received.line, "POST /read/a%20b?c=d&e HTTP/1.1");
    assert_eq!(received.body, b"the body");
    assert_eq!(received.header("host"), Some(routes::HOST));
    assert_eq!(received.header("attempt-id"), Some("id-1"));
    assert_eq!(received.header("x-own"), Some("kept"));
    assert_eq!(received.header("tenant"), Some("cafe"));
    assert_eq!(received.header("expect-instance"), Some("i-0"));
    assert_eq!(received.header("authorization"), None);
    assert_eq!(received.header("x-hop"), None);
    let left_ms: u64 = received.header("deadline-ms").unwrap().parse().unwrap();
    assert!((1..=3_000).contains(&left_ms), "the server is told that {left_ms} ms are left");
}

#[test]
fn chunked_bodies_are_accepted_and_oversized_ones_refused() {
    let world = World::start("chunked", vec![answers("done")]);
    let mut stream = std::net::TcpStream::connect(world.routers[0].clients).unwrap();
    let head = format!(
        "POST /read/x HTTP/1.1\r\nHost: {}\r\nAttempt-Id: id-1\r\nAuthorization: Bearer {KEY}\r\n\
         Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n",
        routes::HOST
    );
    stream.write_all(head.as_bytes()).unwrap();
    assert_eq!(routes::read_answer(&mut stream).status, 200);
    assert_eq!(world.backends[0].requests()[0].body, b"four");
    let large = "x".repeat(70_000);
    let answer = world.call(0, &Request { body: &large, ..request("/read/x", "id-2") });
    assert_eq!(answer.status, 413);
    assert_eq!(world.backends[0].requests().len(), 1);
}

#[test]
fn unknown_routes_and_keys_are_refused_and_nothing_is_sent() {
    let world = World::start("unknown", vec![answers("done")]);
    assert_eq!(world.call(0, &request("/nowhere/x", "id-1")).status, 404);
    let wrong = Request { key: "another-key", ..request("/read/x", "id-2") };
    assert_eq!(world.call(0, &wrong).status, 401);
    assert!(world.backends[0].requests().is_empty());
}

#[test]
fn an_answer_without_length_is_complete_after_a_close_and_failed_after_a_reset() {
    let script = Box::new(|number, _: &_| match number {
        0 => vec![unframed("clean"), Step::Close],
        _ => vec![unframed("cut"), Step::Pause(Duration::from_millis(50)), Step::Reset],
    });
    let world = World::start("unframed", vec![script]);
    let clean = world.call(0, &request("/read/x", "id-1"));
    assert_eq!((clean.status, clean.text().as_str(), clean.whole), (200, "clean", true));
    let cut = world.call(0, &request("/read/x", "id-2"));
    assert_ne!(cut.status, 200, "a body that ended with a reset was forwarded as complete");
}

#[test]
fn an_unrequested_second_answer_is_not_forwarded() {
    let unrequested = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 5\r\n\r\nstray";
    let script = Box::new(move |number, _: &_| match number {
        0 => vec![response("200 OK", "first"), Step::Write(unrequested.to_owned())],
        _ => vec![response("200 OK", "second")],
    });
    let world = World::start("surplus", vec![script]);
    assert_eq!(world.call(0, &request("/read/x", "id-1")).text(), "first");
    // A request that is sent on that connection before the second answer arrives fails with the connection.
    let mut number = 1;
    eventually("a later request is served", || {
        number += 1;
        let answer = world.call(0, &request("/read/x", &format!("id-{number}")));
        assert!(!answer.text().contains("stray"), "the second answer was forwarded: {answer:?}");
        assert!(answer.status == 502 || answer.text() == "second", "unexpected answer: {answer:?}");
        answer.status == 200
    });
    assert!(number <= 3, "one connection had an unrequested answer, {number} requests were sent");
}

#[test]
fn an_answer_to_another_request_is_not_forwarded() {
    let stale = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 4\r\n\r\nlate";
    let script = Box::new(move |number, _: &_| match number {
        0 => vec![Step::Write(stale.to_owned())],
        _ => vec![response("200 OK", "own")],
    });
    let world = World::start("late", vec![script]);
    let failed = world.call(0, &request("/pay/x", "id-1"));
    assert_eq!(failed.status, 502, "a request that may have run was retried");
    assert_eq!(world.call(0, &request("/read/x", "id-2")).text(), "own");
}

#[test]
fn the_server_is_released_when_its_client_disconnects() {
    let world = World::start("leaves", vec![Box::new(|_, _| vec![Step::AwaitClose])]);
    let client = world.send(0, &long_deadline_request("/long/x", "id-1"));
    eventually("the server has received the request", || world.backends[0].requests().len() == 1);
    drop(client);
    eventually("the router closes the server's connection", || {
        world.backends[0].closed_by_client() == 1
    });
}

#[test]
fn the_server_is_released_when_its_client_disconnects_in_the_middle_of_an_answer() {
    let head = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 9\r\n\r\npart";
    let script = Box::new(move |_, _: &_| vec![Step::Write(head.to_owned()), Step::AwaitClose]);
    let world = World::start("left-part", vec![script]);
    let client = world.send(0, &long_deadline_request("/long/x", "id-1"));
    eventually("the server has received the request", || world.backends[0].requests().len() == 1);
    std::thread::sleep(Duration::from_millis(50));
    drop(client);
    eventually("the router closes the server's connection", || {
        world.backends[0].closed_by_client() == 1
    });
}

#[test]
fn the_server_is_released_when_a_client_with_a_pipelined_request_disconnects() {
    let world = World::start("pipelined", vec![Box::new(|_, _| vec![Step::AwaitClose])]);
    let mut client = world.send(0, &long_deadline_request("/long/x", "id-1"));
    client.write_all(long_deadline_request("/long/x", "id-2").bytes().as_bytes()).unwrap();
    eventually("the server has received the request", || world.backends[0].requests().len() == 1);
    drop(client);
    eventually("the router closes the server's connection", || {
        world.backends[0].closed_by_client() == 1
    });
    assert_eq!(world.backends[0].requests().len(), 1);
}

#[test]
fn the_server_is_released_when_the_client_of_an_idle_stream_disconnects() {
    let head = Step::Write(STREAM_HEAD.to_owned());
    let script = Box::new(move |_, _: &_| vec![head.clone(), event(1), Step::AwaitClose]);
    let world = World::start("quiet", vec![script]);
    let client = world.send(0, &long_deadline_request("/long-stream/x", "id-1"));
    eventually("the server has received the request", || world.backends[0].requests().len() == 1);
    std::thread::sleep(Duration::from_millis(50));
    drop(client);
    eventually("the router closes the server's connection", || {
        world.backends[0].closed_by_client() == 1
    });
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let script = Box::new(|_, received: &doorswitch_standins::backend::ReceivedRequest| {
        vec![response("200 OK", received.header("attempt-id").unwrap())]
    });
    let world = World::start("order", vec![script]);
    let mut client = world.send(0, &request("/read/x", "id-1"));
    client.write_all(request("/read/x", "id-2").bytes().as_bytes()).unwrap();
    let first = routes::read_answer(&mut client);
    assert!(first.text().starts_with("id-1"));
    eventually("both requests ran", || world.backends[0].requests().len() == 2);
}

#[test]
fn a_stream_forwards_every_event_and_ends_complete() {
    let script = Box::new(|_, _: &_| {
        let pause = Step::Pause(Duration::from_millis(30));
        vec![Step::Write(STREAM_HEAD.to_owned()), event(1), pause, event(2), last_chunk()]
    });
    let world = World::start("stream", vec![script]);
    let answer = world.call(0, &request("/stream/x", "id-1"));
    assert!(answer.whole);
    assert_eq!(answer.text(), "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n");
}

#[test]
fn a_stream_that_breaks_does_not_look_complete() {
    let script = Box::new(|_, _: &_| {
        let half = Step::Write("8\r\nid: 2\nda\r\n".to_owned());
        vec![Step::Write(STREAM_HEAD.to_owned()), event(1), half, Step::Reset]
    });
    let world = World::start("broken", vec![script]);
    let answer = world.call(0, &request("/stream/x", "id-1"));
    assert!(!answer.whole);
    assert_eq!(
        answer.text(),
        "id: 1\ndata: piece 1\n\n",
        "a part of an incomplete event was forwarded"
    );
    assert_eq!(world.backends[0].requests().len(), 1, "the stream was requested a second time");
}

#[test]
fn a_resumable_stream_is_continued_by_another_server_without_a_gap() {
    fn server() -> doorswitch_standins::backend::Script {
        Box::new(|_, received| match received.header("last-event-id") {
            None => vec![Step::Write(STREAM_HEAD.to_owned()), event(1), event(2), Step::Reset],
            Some("2") => vec![Step::Write(STREAM_HEAD.to_owned()), event(3), last_chunk()],
            Some(_) => vec![Step::Reset],
        })
    }
    let world = World::start("resume", vec![server(), server()]);
    let answer = world.call(0, &request("/resume/x", "id-1"));
    assert!(answer.whole);
    let ids: Vec<String> = answer
        .text()
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .map(Into::into)
        .collect();
    assert_eq!(ids, ["1", "2", "3"]);
}
