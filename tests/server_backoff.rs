//! A server that rejects a request may state in `Retry-After` for how long it accepts no more requests. Guards against
//! routers that ignore the header and keep sending: a server had requested a backoff of 3 s from a router and got 3
//! requests from it within that time.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::retry_after_line;
use doorswitch_standins::replies::{Reply, SentReply};
use routes::load::{RequestResult, check_served, router_of};
use routes::scripted::ScriptedWorld;
use std::time::{Duration, Instant, SystemTime};

/// For this long after a server requested a backoff, requests that were in flight may still reach it.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// The maximum number of requests from one router that may reach it in the rest of the backoff.
const SENDS_IN_BACKOFF_MAX: usize = 2;
/// The time that a server takes to answer.
const SERVICE_TIME: Duration = Duration::from_millis(15);
/// The time to answer in tests where load spreads the requests over all servers.
const SLOW_SERVICE_TIME: Duration = Duration::from_millis(250);
/// The maximum time to a refusal that doesn't wait for a server.
const REFUSAL_BOUND: Duration = Duration::from_millis(100);
/// The time after which a server gets its share of the requests again.
const RECOVERY_MS: u64 = 3_000;
/// The time over which the share of a server is counted.
const SHARE_WINDOW: Duration = Duration::from_secs(4);

/// A rejection that requests a backoff with this value of `Retry-After`.
fn rejection(value: &str) -> Reply {
    Reply::rejected(&retry_after_line(value))
}

/// The backoff that a reply requests; none without a number of seconds.
fn requested_backoff(reply: &SentReply) -> Option<Duration> {
    let line = reply.reply.lines.lines().find_map(|line| line.strip_prefix("Retry-After: "))?;
    Some(Duration::from_secs_f64(line.parse().ok()?))
}

/// The maximum number of requests from one router that reached a server in a backoff which it had requested from that
/// router.
fn max_sends_in_a_backoff(replying: &ScriptedWorld, server: usize) -> usize {
    let replies = replying.servers[server].sent();
    let backoffs = replies
        .iter()
        .filter_map(|one| Some((router_of(&one.id)?, one.at, requested_backoff(one)?)));
    let count_within = |(router, at, backoff): (usize, Instant, Duration)| {
        let arrivals = replying.arrivals(server, at + IN_FLIGHT_TIME, at + backoff);
        arrivals.iter().filter(|(_, id)| router_of(id) == Some(router)).count()
    };
    backoffs.map(count_within).max().unwrap_or(0)
}

fn check_backoffs(replying: &ScriptedWorld) {
    for server in 0..replying.servers.len() {
        let sends = max_sends_in_a_backoff(replying, server);
        assert!(
            sends <= SENDS_IN_BACKOFF_MAX,
            "{sends} requests reached server {server} in a backoff"
        );
    }
}

macro_rules! one_server_requests_a_backoff {
    ($($name:ident: $routers:literal routers, $path:literal, asks for $value:literal;)*) => {$(
        #[test]
        fn $name() {
            let replying = ScriptedWorld::start(stringify!($name), $routers, 4, SERVICE_TIME);
            replying.send($path, 40, 1_000);
            replying.servers[0].set(rejection($value));
            let got = replying.send($path, 40, 14_000);
            check_backoffs(&replying);
            check_served(&got);
        }
    )*};
}

one_server_requests_a_backoff! {
    a_server_gets_the_backoff_that_it_requests: 3 routers, "/read/x", asks for "3";
    a_server_gets_the_short_backoff_that_it_requests: 3 routers, "/read/x", asks for "1.25";
    a_server_gets_the_long_backoff_that_it_requests: 3 routers, "/pay/x", asks for "6";
    a_server_gets_the_backoff_that_it_requests_from_streams: 3 routers, "/stream/x", asks for "4";
}

#[test]
fn a_backoff_is_not_shortened_by_a_later_answer() {
    let replying = ScriptedWorld::start("backoff-shorter", 2, 1, SERVICE_TIME);
    for _ in 0..3 {
        replying.send("/read/x", 20, 1_000);
        // In flight together: some are rejected with a long backoff, later ones with a shorter one.
        let slow = |value: &str| Reply { work: Duration::from_millis(60), ..rejection(value) };
        replying.servers[0].set(slow("5"));
        std::thread::scope(|scope| {
            scope.spawn(|| {
                std::thread::sleep(Duration::from_millis(30));
                replying.servers[0].set(slow("0.6"));
            });
            replying.send("/read/x", 20, 6_500);
        });
        replying.servers[0].set(Reply::served(SERVICE_TIME));
    }
    check_backoffs(&replying);
}

#[test]
fn requests_are_refused_at_once_while_all_servers_back_off() {
    let replying = ScriptedWorld::start("backoff-all", 3, 4, SERVICE_TIME);
    replying.send("/read/x", 40, 1_000);
    replying.servers.iter().for_each(|server| server.set(rejection("3")));
    let got = replying.send("/read/x", 40, 8_000);
    check_backoffs(&replying);
    let first = got.iter().map(|one| one.sent).min().unwrap();
    let refused = got.iter().filter(|one| one.sent > first + Duration::from_secs(1));
    let refused: Vec<&RequestResult> = refused.filter(|one| one.status != 200).collect();
    let is_expected = |one: &&&RequestResult| {
        let valid_retry_after =
            one.retry_after_s.is_some_and(|seconds| seconds > 0.0 && seconds < 10.0);
        one.status == 503 && valid_retry_after && one.took <= REFUSAL_BOUND
    };

    // A request may have waited for a server whose backoff was ending.
    let unexpected: Vec<&&RequestResult> = refused.iter().filter(|one| !is_expected(one)).collect();
    assert!(
        unexpected.len() * 50 <= refused.len(),
        "{} of {}: {:?}",
        unexpected.len(),
        refused.len(),
        unexpected.first()
    );
    let mut times: Vec<u64> =
        refused.iter().map(|one| (one.retry_after_s.unwrap_or(0.0) * 1e3) as u64).collect();
    times.sort_unstable();
    times.dedup();
    assert!(
        times.len() * 4 >= refused.len().min(40),
        "all callers are asked to retry at the same times: {times:?}"
    );
    replying.servers.iter().for_each(|server| server.set(Reply::served(SERVICE_TIME)));
    replying.send("/read/x", 40, RECOVERY_MS);
    check_served(&replying.send("/read/x", 40, 2_000));
}

#[test]
fn a_server_gets_its_share_again_after_a_backoff() {
    let replying = ScriptedWorld::start("backoff-ends", 3, 4, SLOW_SERVICE_TIME);
    replying.send("/read/x", 40, 1_000);
    replying.servers[0].set(rejection("2"));
    replying.send("/read/x", 40, 1_000);
    replying.servers[0].set(Reply::served(SLOW_SERVICE_TIME));
    replying.send("/read/x", 40, 1_500 + RECOVERY_MS);
    check_served(&replying.send("/read/x", 40, SHARE_WINDOW.as_millis() as u64));
    replying.check_share(0, SHARE_WINDOW);
    check_backoffs(&replying);
}

#[test]
fn a_backoff_outlasts_the_record() {
    let replying = ScriptedWorld::start("backoff-record", 3, 1, SERVICE_TIME);
    replying.send("/read/x", 40, 1_000);
    replying.servers[0].set(rejection("9"));
    replying.send("/read/x", 40, 1_500);
    replying.world.store.remove("servers/i-0");
    replying.send("/read/x", 40, 2_500);
    replying.world.record_server(0, "ready");
    replying.send("/read/x", 40, 4_000);
    check_backoffs(&replying);
}

#[test]
fn a_backoff_until_a_date_is_kept() {
    let replying = ScriptedWorld::start("backoff-date", 2, 1, SERVICE_TIME);
    replying.send("/read/x", 40, 1_000);
    let now = SystemTime::now();
    let until = httpdate::fmt_http_date(now + Duration::from_secs(5));
    let date = format!("Date: {}\r\n", httpdate::fmt_http_date(now));
    replying.servers[0].set(rejection(&until).with(&date));
    replying.send("/read/x", 40, 300);
    let since = Instant::now() + IN_FLIGHT_TIME;
    replying.send("/read/x", 40, 3_500);
    let reached = replying.arrivals(0, since, Instant::now()).len();
    assert!(reached <= 2 * SENDS_IN_BACKOFF_MAX, "{reached} requests reached the server");
}

macro_rules! no_backoff {
    ($($name:ident: $value:expr;)*) => {$(
        #[test]
        fn $name() {
            let replying = ScriptedWorld::start(stringify!($name), 1, 3, SLOW_SERVICE_TIME);
            replying.send("/read/x", 20, 500);
            replying.servers[0].set(rejection($value));
            replying.send("/read/x", 20, 1_000);
            replying.servers[0].set(Reply::served(SLOW_SERVICE_TIME));
            replying.send("/read/x", 20, 2 * RECOVERY_MS);
            check_served(&replying.send("/read/x", 20, SHARE_WINDOW.as_millis() as u64));
            replying.check_share(0, SHARE_WINDOW);
        }
    )*};
}

no_backoff! {
    a_negative_value_requests_no_backoff: "-1";
    a_value_that_is_no_number_requests_no_backoff: "NaN";
    an_overflowing_value_requests_no_backoff: "1e999";
    an_infinite_value_requests_no_backoff: "inf";
    a_word_requests_no_backoff: "abc";
    a_huge_value_requests_no_backoff: "12345678901234567890123";
    a_date_in_forty_years_requests_no_backoff: "Thu, 01 Jan 2065 00:00:00 GMT";
    a_date_that_has_passed_requests_no_backoff: "Thu, 01 Jan 1970 00:00:00 GMT";
    zero_requests_no_backoff: "0";
    an_empty_value_requests_no_backoff: "";
}
