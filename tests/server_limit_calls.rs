//! Engines and plain services behind the callers' interface name their limits too, and the routers hold them together.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use doorswitch_standins::backend;
use doorswitch_standins::replies::Reply;
use fleet::scripted::{RequestKind, ScriptedFleet};
use std::time::{Duration, Instant};

const CONTACT: Duration = Duration::from_millis(3_000);
const WINDOW: Duration = Duration::from_secs(4);
/// What one server of each service names, and what it may get within [`WINDOW`].
const LIMIT: &str = "1.5";
const ALLOWED: usize = 14;
const SEND_FOR: Duration = Duration::from_secs(10);

/// The most requests of callers that reached a server within any [`WINDOW`] after a moment.
fn most(scripted: &ScriptedFleet, server: usize, after: Instant) -> usize {
    let counted = scripted.arrivals(server, after);
    let within =
        |from: &Instant| counted.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count();
    counted.iter().map(within).max().unwrap_or(0)
}

fn check(name: &str, kind: RequestKind) {
    let scripted = ScriptedFleet::start(name);
    scripted.send(kind, Duration::from_secs(1));
    let limit = backend::limit_line(Some(LIMIT));
    scripted.replies.set(Reply::served(Duration::ZERO).with(&limit));
    let since = Instant::now();
    let got = scripted.send(kind, SEND_FOR);
    let most = most(&scripted, scripted.first_server(kind), since + CONTACT);
    assert!(most <= ALLOWED, "{most} requests in 4 s, {ALLOWED} are allowed");
    ScriptedFleet::check_served(&got);
    scripted.replies.set(Reply::served(Duration::ZERO));
    scripted.send(kind, Duration::from_secs(10));
    // Half of an even part shows that nothing holds it back.
    scripted.check_share(kind, WINDOW);
}

#[test]
fn a_limit_of_an_engine_holds_over_all_routers() {
    check("limit-completions", RequestKind::Completion);
}

#[test]
fn a_limit_of_a_plain_service_holds_over_all_routers() {
    check("limit-calls", RequestKind::Call);
}

#[test]
fn a_limit_of_calls_that_may_not_be_repeated_holds_over_all_routers() {
    check("limit-claims", RequestKind::Release);
}
