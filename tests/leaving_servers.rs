//! A leaving server sends `Server-Leaving: 1` in its answers long before its record in the store changes. Guards
//! against routers that ignore the header and keep sending: requests then reach a server up to 3,729 ms after the
//! router has received an answer with the header.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::{self, LEAVING_LINE};
use doorswitch_standins::replies::{Reply, SentReply};
use routes::load::{self, RequestResult, check_served, router_of};
use routes::scripted::ScriptedWorld;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Requests that a client sends later than this after it received an answer with the header through the same router
/// must not reach the server.
const LEAVING_BOUND: Duration = Duration::from_millis(2_000);
/// The time that a server takes to answer.
const SERVICE_TIME: Duration = Duration::from_millis(15);
/// The time to answer in tests where load spreads the requests over all servers.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(250);
/// The maximum time to a refusal that doesn't wait for a server.
const REFUSAL_BOUND: Duration = Duration::from_millis(100);
/// The time after which a usable server gets its share of the requests again.
const RECOVERY_MS: u64 = 3_000;
/// The time over which the share of a server is counted.
const SHARE_WINDOW: Duration = Duration::from_secs(4);

/// How much later than [`LEAVING_BOUND`] after the announcement those requests were sent that still reached the server
/// `vm`; empty if there are none.
fn late_by(
    scripted: &ScriptedWorld,
    server: usize,
    vm: &str,
    results: &[RequestResult],
) -> Vec<Duration> {
    let by_id: HashMap<&str, &RequestResult> =
        results.iter().map(|result| (result.id.as_str(), result)).collect();
    let replies = scripted.servers[server].sent();
    let expects_vm = |reply: &&SentReply| reply.expected.as_deref() == Some(vm);
    let replies: Vec<&SentReply> = replies.iter().filter(expects_vm).collect();
    let mut reported_at: HashMap<usize, Instant> = HashMap::new();
    for reply in replies.iter().filter(|reply| reply.reply.lines.contains(LEAVING_LINE)) {
        let Some(result) = by_id.get(reply.id.as_str()) else { continue };
        if result.head.to_ascii_lowercase().contains("server-leaving: 1\r\n") {
            let answered_at = result.sent + result.took;
            let first = reported_at.entry(result.router).or_insert(answered_at);
            *first = answered_at.min(*first);
        }
    }
    let lateness = replies.iter().filter_map(|reply| {
        let result = by_id.get(reply.id.as_str())?;
        let reported = reported_at.get(&router_of(&reply.id)?)?;
        result.sent.checked_duration_since(*reported + LEAVING_BOUND)
    });
    lateness.collect()
}

fn check_no_late_requests(
    scripted: &ScriptedWorld,
    server: usize,
    vm: &str,
    results: &[RequestResult],
) {
    let late_requests = late_by(scripted, server, vm, results);
    let worst = late_requests.iter().max();
    assert!(
        late_requests.is_empty(),
        "{} requests reached server {server} late, the worst by {worst:?}",
        late_requests.len()
    );
}

fn leaving() -> Reply {
    Reply::served(SERVICE_TIME).with(LEAVING_LINE)
}

macro_rules! one_server_leaves {
    ($($name:ident: $routers:literal routers, $path:literal, each $every_ms:literal ms;)*) => {$(
        #[test]
        fn $name() {
            let scripted = ScriptedWorld::start(stringify!($name), $routers, 4, SERVICE_TIME);
            scripted.send($path, $every_ms, 1_000);
            scripted.servers[0].set(leaving());
            let results = scripted.send($path, $every_ms, 10_000);
            check_no_late_requests(&scripted, 0, "i-0", &results);
            check_served(&results);
        }
    )*};
}

one_server_leaves! {
    a_server_whose_answers_state_that_it_leaves_gets_no_more_requests: 3 routers, "/read/x", each 40 ms;
    a_server_whose_answers_state_that_it_leaves_gets_no_more_streams: 3 routers, "/stream/x", each 50 ms;
    a_server_whose_answers_state_that_it_leaves_gets_no_unrepeatable_calls:
        3 routers, "/pay/x", each 40 ms;
    a_server_whose_answers_state_that_it_leaves_gets_nothing_from_eight_routers:
        8 routers, "/read/x", each 100 ms;
}

#[test]
fn requests_are_refused_at_once_when_all_servers_state_that_they_leave() {
    let scripted = ScriptedWorld::start("leaving-all", 3, 4, SERVICE_TIME);
    scripted.send("/read/x", 40, 1_000);
    scripted.servers.iter().for_each(|server| server.set(leaving()));
    let results = scripted.send("/read/x", 40, 8_000);
    (0..4).for_each(|server| {
        check_no_late_requests(&scripted, server, &format!("i-{server}"), &results);
    });
    let last = results.iter().map(|result| result.sent).max().unwrap();
    let refused: Vec<&RequestResult> =
        results.iter().filter(|result| result.sent + SHARE_WINDOW > last).collect();
    let is_expected = |result: &&&RequestResult| {
        result.status == 503 && result.retry_after_s.is_some() && result.took <= REFUSAL_BOUND
    };
    let unexpected: Vec<&&RequestResult> =
        refused.iter().filter(|result| !is_expected(result)).collect();
    assert!(
        unexpected.is_empty(),
        "{} of {} requests were not refused at once, the first is {:?}",
        unexpected.len(),
        refused.len(),
        unexpected.first()
    );
}

#[test]
fn a_leaving_state_from_an_answer_outlasts_the_record() {
    let scripted = ScriptedWorld::start("leaving-record", 3, 4, SERVICE_TIME);
    scripted.send("/read/x", 40, 1_000);
    scripted.servers[0].set(leaving());
    let mut results = scripted.send("/read/x", 40, 2_000);
    scripted.world.store.remove("servers/i-0");
    results.extend(scripted.send("/read/x", 40, 3_000));
    scripted.world.record_server(0, "ready");
    results.extend(scripted.send("/read/x", 40, 4_000));
    check_no_late_requests(&scripted, 0, "i-0", &results);
    check_served(&results);
}

#[test]
fn a_leaving_state_does_not_apply_to_the_next_server_at_the_address() {
    let scripted = ScriptedWorld::start("leaving-successor", 3, 4, SLOW_SERVICE_TIME);
    scripted.send("/read/x", 40, 1_000);
    scripted.servers[0].set(Reply::served(SLOW_SERVICE_TIME).with(LEAVING_LINE));
    let mut results = scripted.send("/read/x", 40, 4_000);
    scripted.servers[0].set(Reply::served(SLOW_SERVICE_TIME));
    scripted.world.record_server_as(0, "i-heir", "ready");
    results.extend(scripted.send("/read/x", 40, RECOVERY_MS));
    results.extend(scripted.send("/read/x", 40, SHARE_WINDOW.as_millis() as u64));
    scripted.check_share(0, SHARE_WINDOW);
    check_no_late_requests(&scripted, 0, "i-0", &results);
    check_served(&results);
}

#[test]
fn a_leaving_state_does_not_apply_to_a_later_start_under_the_same_id() {
    let scripted = ScriptedWorld::start("leaving-later-start", 3, 4, SLOW_SERVICE_TIME);
    (0..4).for_each(|server| scripted.world.record_server_born(server, "ready", "1000"));
    scripted.send("/read/x", 40, 2_000);
    scripted.servers[0].set(Reply::served(SLOW_SERVICE_TIME).with(LEAVING_LINE));
    let results = scripted.send("/read/x", 40, 4_000);
    check_no_late_requests(&scripted, 0, "i-0", &results);
    scripted.servers[0].set(Reply::served(SLOW_SERVICE_TIME));
    scripted.world.record_server_born(0, "ready", "2000");
    scripted.send("/read/x", 40, RECOVERY_MS);
    check_served(&scripted.send("/read/x", 40, SHARE_WINDOW.as_millis() as u64));
    scripted.check_share(0, SHARE_WINDOW);
}

#[test]
fn a_restarted_router_receives_that_a_server_leaves() {
    let mut scripted = ScriptedWorld::start("leaving-restart", 3, 4, SERVICE_TIME);
    scripted.send("/read/x", 40, 1_000);
    scripted.servers[0].set(leaving());
    scripted.send("/read/x", 40, 4_000);
    scripted.world.kill(0);
    scripted.world.spawn(0);
    scripted.world.wait_ready(0);
    let received =
        || scripted.world.metrics(0).contains("doorswitch_leaving_servers{service=\"app\"} 1");
    fleet::eventually("the router receives that a server leaves", received);
    let since = Instant::now();
    check_served(&scripted.send("/read/x", 40, 3_000));
    let reached = scripted.arrivals(0, since, Instant::now());
    assert!(reached.is_empty(), "{} requests reached the leaving server", reached.len());
}

macro_rules! not_leaving {
    ($($name:ident: $reply:expr;)*) => {$(
        #[test]
        fn $name() {
            let scripted = ScriptedWorld::start(stringify!($name), 2, 3, SLOW_SERVICE_TIME);
            scripted.servers[0].set($reply);
            scripted.send("/read/x", 40, 2_000);
            scripted.servers[0].set(Reply::served(SLOW_SERVICE_TIME));
            scripted.send("/read/x", 40, RECOVERY_MS);
            check_served(&scripted.send("/read/x", 40, SHARE_WINDOW.as_millis() as u64));
            scripted.check_share(0, SHARE_WINDOW);
        }
    )*};
}

fn leaving_header(value: &str) -> Reply {
    Reply::served(SLOW_SERVICE_TIME).with(&format!("Server-Leaving: {value}\r\n"))
}

not_leaving! {
    a_server_that_sends_0_does_not_leave: leaving_header("0");
    a_server_that_sends_an_unreadable_value_does_not_leave: leaving_header("yes");
    a_server_that_sends_an_empty_value_does_not_leave: leaving_header("");
    a_server_that_sends_a_long_value_does_not_leave: leaving_header(&"1".repeat(2_000));
    an_answer_of_another_instance_does_not_mark_the_server_as_leaving: Reply {
        status: "421 Misdirected Request",
        lines: format!("Not-Executed: other\r\n{LEAVING_LINE}"),
        work: SERVICE_TIME,
    };
}

/// An answer to another request may come from another server, or from an earlier server at the address.
#[test]
fn an_answer_to_another_request_does_not_mark_the_server_as_leaving() {
    let other_answer = |_: usize, _: &backend::ReceivedRequest| {
        let text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: seal\r\n{LEAVING_LINE}\
             Content-Length: 0\r\n\r\n"
        );
        vec![backend::Step::Write(text)]
    };
    let world =
        load::start("leaving-other-answer", 1, vec![Box::new(other_answer), routes::answers("x")]);
    load::send(&world, &[0], "/read/x", Duration::from_millis(40), Duration::from_secs(1));
    let metrics = world.metrics(0);
    assert!(
        metrics.contains("doorswitch_leaving_servers{service=\"app\"} 0"),
        "the server counts as leaving: {metrics}"
    );
}
