//! Guards against believing that a request was not run where the server states something else, or states it of another
//! send of the same request.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::{self, ReceivedRequest, Step};
use fleet::eventually;
use routes::{World, request};
use std::time::Duration;

const REJECTION: &str = "503 Busy\r\nNot-Executed: full";
const PAUSE: Duration = Duration::from_millis(30);

/// An answer without a body; `head` is its status and further header lines.
fn empty_answer(head: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 {head}\r\nAttempt-Id: {{id}}\r\nServer-Seal: seal\r\nContent-Length: 0\r\n\r\n"
    ))
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
