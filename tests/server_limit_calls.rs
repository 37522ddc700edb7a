//! Engines and plain services behind the callers' interface may state a rate limit in their answers. Guards against routers
//! that together send more than the limit.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use doorswitch_standins::backend;
use doorswitch_standins::replies::Reply;
use fleet::scripted::{RequestKind, ScriptedFleet};
use std::time::{Duration, Instant};

/// The maximum time until a limit is in force at all routers after a server first stated it.
const LIMIT_BOUND: Duration = Duration::from_millis(3_000);
/// Requests are counted over windows of this length.
const WINDOW: Duration = Duration::from_secs(4);
/// The limit that one server of each service states, in requests per second.
const LIMIT: &str = "1.5";
/// Requests that it may get within [`WINDOW`].
const ALLOWED_REQUESTS: usize = 14;
/// How long a server works on a request. Callers don't wait for answers, so that several are in flight and their number
/// decides over the server.
const WORK: Duration = Duration::from_millis(250);
/// How long clients send after the server has begun to state its limit.
const SEND_FOR: Duration = Duration::from_secs(10);

/// The maximum number of callers' requests that reached a server within any [`WINDOW`] that begins at `after` or later.
fn max_requests(scripted: &ScriptedFleet, server: usize, after: Instant) -> usize {
    let counted = scripted.arrivals(server, after);
    let count_from =
        |from: &Instant| counted.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count();
    counted.iter().map(count_from).max().unwrap_or(0)
}

fn check_limit(name: &str, kind: RequestKind) {
    let scripted = ScriptedFleet::start_slow(name, WORK);
    scripted.send_at_a_rate(kind, Duration::from_secs(1));
    let limit = backend::limit_line(Some(LIMIT));
    scripted.replies.set(Reply::served(WORK).with(&limit));
    let since = Instant::now();
    let got = scripted.send_at_a_rate(kind, SEND_FOR);
    let requests = max_requests(&scripted, scripted.first_server(kind), since + LIMIT_BOUND);
    assert!(
        requests <= ALLOWED_REQUESTS,
        "{requests} requests in 4 s, {ALLOWED_REQUESTS} are allowed"
    );
    ScriptedFleet::check_served(&got);
    scripted.replies.set(Reply::served(WORK));
    ScriptedFleet::check_served(&scripted.send_at_a_rate(kind, Duration::from_secs(10)));
    // Half of an even share shows that the limit no longer applies.
    scripted.check_share(kind, WINDOW);
}

#[test]
fn a_limit_of_an_engine_applies_to_all_routers_together() {
    check_limit("limit-completions", RequestKind::Completion);
}

#[test]
fn a_limit_of_a_plain_service_applies_to_all_routers_together() {
    check_limit("limit-calls", RequestKind::Call);
}

#[test]
fn a_limit_of_unrepeatable_calls_applies_to_all_routers_together() {
    check_limit("limit-claims", RequestKind::Release);
}
