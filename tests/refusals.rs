//! Guards against believing that a request was not run where the server states something else, or states it of another
//! send of the same request.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::{self, ReceivedRequest, Script, Step};
use fleet::{Fleet, Options, eventually};
use routes::{World, request};
use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const REJECTION: &str = "503 Busy\r\nNot-Executed: full";
const TOO_MANY: &str = "429 Too Many Requests\r\nNot-Executed: limit";
const MISDIRECTED: &str = "421 Misdirected Request";
/// The statuses by which a client is told that its request was not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
const REQUESTS: usize = 8;
/// The time between a copy of a refusal and the answer.
const PAUSE: Duration = Duration::from_millis(30);

/// The ids of the requests that servers ran, in their order.
#[derive(Clone, Debug, Default)]
struct Ran(Arc<Mutex<Vec<String>>>);

impl Ran {
    fn record(&self, received: &ReceivedRequest) -> Step {
        self.0.lock().unwrap().push(received.id().unwrap_or_default().to_owned());
        backend::response("200 OK", "id: 1\ndata: ran\n\n")
    }

    fn count(&self, id: &str) -> usize {
        self.0.lock().unwrap().iter().filter(|ran| *ran == id).count()
    }
}

/// An answer without a body; `head` is its status and further header lines.
fn empty_answer(head: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 {head}\r\nAttempt-Id: {{id}}\r\nServer-Seal: seal\r\nContent-Length: 0\r\n\r\n"
    ))
}

/// Refuses the first request with each id. On a connection that carries an id again it first writes a copy of the refusal,
/// and then runs the request.
fn copies_refusals(head: &'static str, ran: &Ran) -> Script {
    let (ran, mut refused) = (ran.clone(), HashSet::new());
    Box::new(move |_, received| {
        let id = received.id().unwrap_or_default().to_owned();
        if refused.insert((None, id.clone())) {
            refused.insert((Some(received.connection), id));
            return vec![empty_answer(head)];
        }
        let run = ran.record(received);
        match refused.contains(&(Some(received.connection), id)) {
            true => vec![empty_answer(head), Step::Pause(PAUSE), run],
            false => vec![run],
        }
    })
}

macro_rules! a_copy_of_its_refusal_does_not_answer_a_repeated_request {
    ($($name:ident: $path:expr, $head:expr, $servers:expr;)*) => {$(
        #[test]
        fn $name() {
            let ran = Ran::default();
            let scripts = (0..$servers).map(|_| copies_refusals($head, &ran)).collect();
            let world = World::start(stringify!($name), scripts);
            for number in 0..REQUESTS {
                let id = format!("request-{number}");
                let sends: Vec<u16> =
                    (0..3).map(|_| world.call(0, &request($path, &id)).status).collect();
                std::thread::sleep(2 * PAUSE);
                let answered = sends.iter().filter(|status| **status == 200).count();
                let log = world.log(0);
                assert!(PROMISES.contains(&sends[0]), "{sends:?}: {log}");
                assert_eq!(ran.count(&id), answered, "{id} ran and was refused {sends:?}: {log}");
            }
        }
    )*};
}

a_copy_of_its_refusal_does_not_answer_a_repeated_request! {
    a_repeated_call_is_not_refused_by_a_copy_of_its_rejection: "/pay/x", REJECTION, 1;
    a_repeated_call_is_not_refused_by_a_copy_of_its_limit: "/pay/x", TOO_MANY, 1;
    a_repeated_call_is_not_refused_by_a_copy_of_its_misdirection: "/pay/x", MISDIRECTED, 1;
    a_repeated_call_does_not_run_twice_after_a_copy_of_its_rejection: "/pay/x", REJECTION, 2;
    a_repeated_stream_is_not_refused_by_a_copy_of_its_rejection: "/stream/x", REJECTION, 1;
    a_repeated_stream_does_not_run_twice_after_a_copy_of_its_limit: "/stream/x", TOO_MANY, 2;
    a_repeated_resumable_stream_is_not_refused_by_a_copy_of_its_rejection: "/resume/x", REJECTION, 1;
}

#[test]
fn an_answer_after_a_refusal_is_reported() {
    let script = |_, _: &ReceivedRequest| {
        vec![
            empty_answer(REJECTION),
            Step::Pause(2 * PAUSE),
            backend::response("200 OK", "ran after all"),
        ]
    };
    let world = World::start("contradicted", vec![Box::new(script)]);
    assert_eq!(world.call(0, &request("/pay/x", "first")).status, 503);
    eventually("the contradiction is reported", || {
        world.log(0).contains("event=refusal_contradicted id=\"first\" vm=i-0 status=200")
    });
    let metrics = world.metrics(0);
    assert!(metrics.contains("doorswitch_contradicted_refusals_total 1"), "{metrics}");
    assert!(metrics.contains("doorswitch_surplus_answers_total 1"), "{metrics}");
}

/// A server that answers with `head` without stating that it did not run the request, which it ran.
fn refuses_without_a_statement(head: &'static str, ran: &Ran) -> Script {
    let ran = ran.clone();
    Box::new(move |_, received| {
        ran.record(received);
        vec![empty_answer(head)]
    })
}

macro_rules! a_status_without_a_statement_is_no_promise {
    ($($name:ident: $path:expr, $head:expr;)*) => {$(
        #[test]
        fn $name() {
            let ran = Ran::default();
            let world = World::start(
                stringify!($name),
                vec![refuses_without_a_statement($head, &ran), refuses_without_a_statement($head, &ran)],
            );
            let answer = world.call(0, &request($path, "first"));
            assert_ne!(ran.count("first"), 0, "{answer:?}");
            assert_eq!(answer.status, 502, "it ran and was refused: {answer:?} {}", world.log(0));
            assert_eq!(answer.header("server-seal"), None, "{answer:?}");
        }
    )*};
}

a_status_without_a_statement_is_no_promise! {
    a_call_that_may_have_run_is_not_answered_with_503: "/pay/x", "503 Busy";
    a_call_that_may_have_run_is_not_answered_with_429: "/pay/x", "429 Too Many Requests";
    a_call_that_may_have_run_is_not_answered_with_408: "/pay/x", "408 Request Timeout";
    a_stream_that_may_have_run_is_not_answered_with_503: "/stream/x", "503 Busy";
    a_repeatable_call_that_may_have_run_is_not_answered_with_503: "/read/x", "503 Busy";
    a_repeatable_call_that_may_have_run_is_not_answered_with_429: "/read/x", "429 Too Many Requests";
}

/// Guards against a connection that forgets the first ids that it carried.
#[test]
fn a_connection_carries_a_bounded_number_of_requests() {
    const REQUESTS_PER_CONNECTION_MAX: usize = 1_000;
    let world = World::start("bounded", vec![routes::answers("done")]);
    for number in 0..=REQUESTS_PER_CONNECTION_MAX {
        let id = format!("request-{number}");
        assert_eq!(world.call(0, &request("/read/x", &id)).status, 200, "{}", world.log(0));
    }
    let requests = world.backends[0].requests();
    let carried = |number| requests.iter().filter(|one| one.connection == number).count();
    let connections: HashSet<usize> = requests.iter().map(|one| one.connection).collect();
    for number in &connections {
        assert!(carried(*number) <= REQUESTS_PER_CONNECTION_MAX, "{number}: {}", carried(*number));
    }
    assert_eq!(connections.len(), 2);
}

macro_rules! an_engine_s_status_without_a_statement_is_no_promise {
    ($($name:ident: $status:literal;)*) => {$(
        #[test]
        fn $name() {
            let options = Options { routers: 1, engines: 0, services: 0, ..Options::default() };
            let fleet = Fleet::start(stringify!($name), options);
            let script: Script = Box::new(|_, _| vec![backend::response($status, "busy")]);
            let engines = [backend::Backend::start(script).unwrap()];
            fleet.add_scripted_servers(&engines, |_| "roast");
            let answer = fleet.complete(0, "prompt", 4, false).unwrap();
            assert_ne!(answer.ran(), "not_run", "it may have run: {answer:?} {}", fleet.log_text(0));
        }
    )*};
}

an_engine_s_status_without_a_statement_is_no_promise! {
    a_completion_that_may_have_run_is_not_answered_as_not_run_after_429: "429 Too Many Requests";
    a_completion_that_may_have_run_is_not_answered_as_not_run_after_408: "408 Request Timeout";
    a_completion_that_may_have_run_is_not_answered_as_not_run_after_503: "503 Service Unavailable";
}

/// Engines that follow one script; it gets the number of the completion, counted over all of them.
fn engines_fleet(
    name: &str,
    engines: usize,
    steps: impl Fn(usize) -> Vec<Step> + Clone + Send + 'static,
) -> (Fleet, Vec<backend::Backend>) {
    let options = Options { routers: 1, engines: 0, services: 0, ..Options::default() };
    let fleet = Fleet::start(name, options);
    let completions = Arc::new(AtomicUsize::new(0));
    let start = |_| {
        let (steps, completions) = (steps.clone(), completions.clone());
        let script: Script = Box::new(move |_, received| match received.line.contains("/v1/") {
            true => steps(completions.fetch_add(1, Ordering::Relaxed)),
            false => vec![backend::response("404 Not Found", "")],
        });
        backend::Backend::start(script).unwrap()
    };
    let backends: Vec<backend::Backend> = (0..engines).map(start).collect();
    fleet.add_scripted_servers(&backends, |_| "roast");
    (fleet, backends)
}

#[test]
fn a_completion_that_was_sent_is_not_told_not_run_at_its_deadline() {
    let steps = |_| vec![Step::Pause(Duration::from_secs(4)), backend::response("200 OK", "late")];
    let (fleet, _engines) = engines_fleet("deadline-before-head", 1, steps);
    let body = fleet::completion_body("prompt", 4, false);
    let address = fleet.routers[0].callers;
    let headers = [("X-Deadline-Ms", "1500")];
    let path = "/v1/chat/completions";
    let answer = fleet::call(address, "POST", path, "kitchen-key", &headers, &body).unwrap();
    assert_eq!((answer.status, answer.ran().as_str()), (504, "unknown"), "{answer:?}");
}

#[test]
fn a_completion_that_may_have_run_is_not_told_not_run_by_a_second_engine() {
    let steps = |number| match number {
        0 => vec![backend::response("500 Internal Server Error", "failed while it ran")],
        _ => vec![backend::response("400 Bad Request", "no")],
    };
    let (fleet, _engines) = engines_fleet("second-engine", 2, steps);
    let answer = fleet.complete(0, "prompt", 4, false).unwrap();
    assert_eq!((answer.status, answer.ran().as_str()), (400, "unknown"), "{answer:?}");
}

#[test]
fn a_completion_whose_tokens_were_delivered_is_not_told_not_run() {
    let steps = |number| {
        if number > 0 {
            return vec![backend::response("400 Bad Request", "no")];
        }
        let chunk = serde_json::json!({
            "choices": [{ "index": 0, "delta": { "content": "a" }, "finish_reason": null }],
            "usage": { "prompt_tokens": 1, "completion_tokens": 1, "total_tokens": 2 },
        });
        let event = format!("data: {chunk}\n\n");
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
        let text = format!("{head}{:x}\r\n{event}\r\n", event.len());
        vec![Step::Write(text), Step::Pause(Duration::from_millis(300)), Step::Reset]
    };
    let (fleet, _engines) = engines_fleet("delivered", 2, steps);
    let answer = fleet.complete(0, "prompt", 4, true).unwrap();
    assert!(answer.body.contains("\"content\":\"a\""), "{answer:?}");
    assert!(!answer.body.contains("not_run"), "{answer:?}");
}
