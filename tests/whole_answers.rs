//! Guards against answers of model servers that are no streams and cost nothing but their prompts: a tenant that had paid
//! for 50,000 tokens was served 79,800.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::{Script, Step, response, response_with_headers};
use fleet::eventually;
use routes::{KEY, Request, World, request};

const TOKENS: (u64, u64) = (20, 300);
const PREPAID: u64 = 3_200;
/// The tokens of an event, by the configuration of the tests.
const EVENT_TOKENS: u64 = 3;

fn call(world: &World, path: &str, id: &str) -> u16 {
    world.call(0, &Request { tokens: Some(TOKENS), ..request(path, id) }).status
}

/// The tokens that are charged for one request to this server.
fn charged(name: &str, path: &str, script: Script) -> u64 {
    let mut world = World::unready(name, vec![script]);
    world.publish(&[KEY], PREPAID);
    world.add_router();
    world.wait_ready(0);
    call(&world, path, "id-1");
    let tokens = || {
        let log = world.log(0);
        let line = log.lines().find(|line| line.contains("event=request_ended id=id-1 "))?;
        let value = line.split_whitespace().find_map(|word| word.strip_prefix("tokens="))?;
        value.parse().ok()
    };
    eventually("the request has ended", || tokens().is_some());
    tokens().unwrap()
}

fn events(count: u64) -> String {
    (1..=count).map(|number| format!("id: {number}\ndata: x\n\n")).collect()
}

fn event_stream(body: &str) -> Step {
    response_with_headers("200 OK", "Content-Type: text/event-stream\r\n", body)
}

fn unframed(body: &str, end: Step) -> Vec<Step> {
    let head =
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\nConnection: close\r\n\r\n";
    vec![Step::Write(format!("{head}{body}")), end]
}

const PROMPT: u64 = TOKENS.0;
const MOST: u64 = TOKENS.0 + TOKENS.1;

macro_rules! an_answer_is_charged {
    ($($name:ident: $path:expr, $steps:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let script = Box::new(move |_, _: &_| $steps);
            assert_eq!(charged(stringify!($name), $path, script), $expected);
        }
    )*};
}

an_answer_is_charged! {
    a_whole_answer_costs_its_most: "/read/x", vec![response("200 OK", "text")] => MOST;
    a_whole_answer_to_an_unrepeatable_request_costs_its_most:
        "/pay/x", vec![response("200 OK", "text")] => MOST;
    a_whole_answer_without_a_body_costs_its_most: "/pay/x", vec![response("200 OK", "")] => MOST;
    an_answer_without_a_length_costs_its_most: "/pay/x", unframed("text", Step::Close) => MOST;
    an_answer_that_is_cut_off_costs_its_most:
        "/pay/x", vec![Step::Write("HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nContent-Length: 9\r\n\r\ncut".to_owned()), Step::Close] => MOST;
    a_whole_answer_of_events_costs_their_tokens:
        "/pay/x", vec![event_stream(&events(7))] => PROMPT + 7 * EVENT_TOKENS;
    a_whole_answer_of_events_without_an_end_costs_its_most:
        "/pay/x", vec![event_stream("id: 1\ndata: x")] => MOST;
    a_refusal_of_the_server_costs_its_prompt:
        "/pay/x", vec![response("404 Not Found", "no")] => PROMPT;
}

#[test]
fn a_tenant_is_not_served_more_whole_answers_than_it_paid_for() {
    let script = || -> Script { Box::new(|_, _| vec![response("200 OK", "text")]) };
    let mut world = World::unready("whole-prepaid", vec![script(), script()]);
    world.publish(&[KEY], PREPAID);
    world.add_router();
    world.wait_ready(0);
    let statuses: Vec<u16> =
        (0..40).map(|number| call(&world, "/pay/x", &format!("id-{number}"))).collect();
    let served = statuses.iter().filter(|status| **status == 200).count() as u64;
    assert_eq!(served, PREPAID / MOST, "{statuses:?}");
    assert!(statuses.iter().all(|status| [200, 402].contains(status)), "{statuses:?}");
}
