//! Guards against believing an answer that belongs to another request: a server sends a second copy of an earlier answer
//! in the place where the answer to the next request on the connection is due, and runs that request.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::{self, ReceivedRequest, Script, Step};
use routes::{World, request};

const REJECTION: &str = "503 Busy\r\nNot-Executed: full";
const MISDIRECTED: &str = "421 Misdirected Request";
const LEAVING: &str = "503 Busy\r\nNot-Executed: full\r\nServer-Leaving: 1";
const SERVERS: usize = 2;

/// An answer without a body to the request `id`; `head` is its status and further header lines.
fn answer_to(id: &str, head: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 {head}\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\nContent-Length: 0\r\n\r\n"
    ))
}

/// Answers the first request on each connection with `head`, and each later one with a copy of the first answer followed
/// by its own.
fn repeats_its_first_answer(head: &'static str) -> Script {
    let mut first_ids = std::collections::HashMap::new();
    Box::new(move |_, received: &ReceivedRequest| {
        let id = received.id().unwrap_or_default().to_owned();
        let first = first_ids.entry(received.connection).or_insert_with(|| id.clone());
        match *first == id {
            true => vec![answer_to(&id, head)],
            false => vec![answer_to(first, head), backend::response("200 OK", "ran")],
        }
    })
}

/// How many requests `id` were run, by a server that runs each but the first on a connection.
fn runs(world: &World, id: &str) -> usize {
    let ran = |backend: &backend::Backend| {
        let requests = backend.requests();
        let mut seen = std::collections::HashSet::new();
        requests
            .iter()
            .filter(|request| !seen.insert(request.connection) && request.id() == Some(id))
            .count()
    };
    world.backends.iter().map(ran).sum()
}

/// Sends two requests; the second one meets copies of the answers to the first on the connections that were kept.
fn send_after_a_copy(name: &str, path: &str, head: &'static str) -> (World, u16) {
    let scripts = (0..SERVERS).map(|_| repeats_its_first_answer(head)).collect();
    let world = World::start(name, scripts);
    assert_eq!(world.call(0, &request(path, "first")).status, 503, "{}", world.log(0));
    let status = world.call(0, &request(path, "second")).status;
    (world, status)
}

macro_rules! a_copy_of_a_rejection_is_not_believed {
    ($($name:ident: $path:expr, $head:expr;)*) => {$(
        #[test]
        fn $name() {
            let (world, status) = send_after_a_copy(stringify!($name), $path, $head);
            assert_eq!(runs(&world, "second"), 1, "it ran again: {}", world.log(0));
            assert_eq!(status, 502, "a request that ran was refused as not run");
            let metrics = world.metrics(0);
            assert!(metrics.contains("doorswitch_answers_to_other_requests_total 1"), "{metrics}");
        }
    )*};
}

a_copy_of_a_rejection_is_not_believed! {
    a_call_is_not_sent_again_after_the_rejection_of_another: "/pay/x", REJECTION;
    a_call_is_not_sent_again_after_the_misdirection_of_another: "/pay/x", MISDIRECTED;
    a_stream_is_not_sent_again_after_the_rejection_of_another: "/stream/x", REJECTION;
    a_stream_is_not_sent_again_after_the_misdirection_of_another: "/stream/x", MISDIRECTED;
}

/// The answer of the server itself may still arrive on the connection, in the place of that to a third request.
#[test]
fn a_connection_with_a_copy_of_an_answer_is_not_used_again() {
    let (world, _) = send_after_a_copy("shifted", "/pay/x", REJECTION);
    for number in 0..6 {
        let id = format!("later-{number}");
        let answer = world.call(0, &request("/pay/x", &id));
        assert!([200, 502, 503].contains(&answer.status), "{answer:?}");
        assert!(runs(&world, &id) <= 1, "{id} ran twice: {}", world.log(0));
    }
    let both = |requests: &[ReceivedRequest]| {
        requests.iter().filter(|request| request.connection == 0).count()
    };
    for backend in &world.backends {
        let requests = backend.requests();
        assert!(both(&requests) <= 2, "the connection was used after a copy: {requests:?}");
    }
}

/// The copy states that the server leaves, which it may have withdrawn since.
#[test]
fn the_directives_of_an_answer_to_another_request_are_ignored() {
    let other = |received: &ReceivedRequest| match received.id() {
        Some("second") => vec![answer_to("first", LEAVING)],
        _ => vec![backend::response("200 OK", "ran")],
    };
    let world = World::start("directives", vec![Box::new(move |_, received| other(received))]);
    assert_eq!(world.call(0, &request("/pay/x", "first")).status, 200);
    assert_eq!(world.call(0, &request("/pay/x", "second")).status, 502);
    let answer = world.call(0, &request("/pay/x", "third"));
    assert_eq!(answer.status, 200, "the server counts as leaving: {}", world.log(0));
}
