//! Guards against answers whose server stops in the middle of their head and that reach the client as whole: never a
//! success without its body.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::{Script, Step};
use routes::{World, answers, request};
use std::time::Duration;

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\nContent-Length: 4\r\n\r\n";
const STREAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Every how many bytes of the head it is cut.
const STEP: usize = 3;

/// Answers each request with a longer beginning of the head, then ends the connection.
fn cuts(head: &'static str, end: Step, interim: bool) -> Script {
    Box::new(move |number, _| {
        let length = (number * STEP).min(head.len());
        let (first, second) = head[..length].split_at(length / 2);
        let interim = interim.then(|| Step::Write("HTTP/1.1 103 Early Hints\r\n\r\n".to_owned()));
        let parts = [
            Step::Write(first.to_owned()),
            Step::Pause(Duration::from_millis(2)),
            Step::Write(second.to_owned()),
            end.clone(),
        ];
        interim.into_iter().chain(parts).collect()
    })
}

/// Sends a request for each cut, and checks that none is answered as a success that is whole.
fn check(name: &str, path: &str, head: &'static str, end: Step, interim: bool) {
    let world = World::start(name, vec![cuts(head, end, interim)]);
    for number in 0..head.len() / STEP + 2 {
        let answer = world.call(0, &request(path, &format!("id-{number}")));
        let is_success = answer.status == 200 && answer.whole;
        assert!(!is_success, "cut {number} was forwarded as whole: {answer:?}");
    }
}

macro_rules! an_answer_that_is_cut_in_its_head_is_no_success {
    ($($name:ident: $path:expr, $head:expr, $end:expr, $interim:expr;)*) => {$(
        #[test]
        fn $name() {
            check(stringify!($name), $path, $head, $end, $interim);
        }
    )*};
}

an_answer_that_is_cut_in_its_head_is_no_success! {
    a_repeatable_answer_that_is_closed: "/read/x", HEAD, Step::Close, false;
    a_repeatable_answer_that_is_reset: "/read/x", HEAD, Step::Reset, false;
    an_unrepeatable_answer_that_is_closed: "/pay/x", HEAD, Step::Close, false;
    an_unrepeatable_answer_that_is_reset: "/pay/x", HEAD, Step::Reset, false;
    an_answer_after_an_interim_head: "/pay/x", HEAD, Step::Close, true;
    a_stream_that_is_closed: "/stream/x", STREAMED_HEAD, Step::Close, false;
    a_stream_that_is_reset: "/stream/x", STREAMED_HEAD, Step::Reset, false;
    a_resumable_stream_that_is_closed: "/resume/x", STREAMED_HEAD, Step::Close, false;
    a_resumable_stream_after_an_interim_head: "/resume/x", STREAMED_HEAD, Step::Close, true;
}

#[test]
fn another_server_answers_where_one_cuts_its_heads() {
    let world = World::start("cut-one", vec![cuts(HEAD, Step::Close, false), answers("done")]);
    for number in 0..HEAD.len() / STEP {
        let answer = world.call(0, &request("/read/x", &format!("id-{number}")));
        assert_eq!((answer.status, answer.text().as_str()), (200, "done"), "cut {number}");
    }
}
