//! A server that turns requests away may say for how long it wants nothing more. Nothing read that, so routers went on
//! sending (`a server had asked a machine for 3 s of rest, and got 3 requests from it in that time`).

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::retry_after_line;
use doorswitch_standins::replies::{Reply, SentReply};
use routes::load::{RequestResult, check_served, router_of};
use routes::scripted::ScriptedWorld;
use std::time::{Duration, Instant, SystemTime};

/// Requests may still reach a server for so long after it asked for a backoff.
const FREE: Duration = Duration::from_millis(500);
/// So many may reach it from one router in the rest of the backoff.
const ALLOWED: usize = 2;
const WORK: Duration = Duration::from_millis(15);
/// Where load is to spread requests over servers.
const SLOW_WORK: Duration = Duration::from_millis(250);
/// A refusal that waits no longer came at once.
const AT_ONCE: Duration = Duration::from_millis(100);
/// A server has its part again after this time, and then for so long.
const BACK_MS: u64 = 3_000;
const WINDOW: Duration = Duration::from_secs(4);

fn asks_for(value: &str) -> Reply {
    Reply::rejected(&retry_after_line(value))
}

/// The seconds that a reply asks for.
fn asked(given: &SentReply) -> Option<Duration> {
    let line = given.reply.lines.lines().find_map(|line| line.strip_prefix("Retry-After: "))?;
    Some(Duration::from_secs_f64(line.parse().ok()?))
}

/// The most requests from one router that reached a server in a backoff that it had asked that router for.
fn most_in_a_backoff(replying: &ScriptedWorld, server: usize) -> usize {
    let given = replying.servers[server].sent();
    let backoffs = given.iter().filter_map(|one| Some((router_of(&one.id)?, one.at, asked(one)?)));
    let within = |(router, at, backoff): (usize, Instant, Duration)| {
        let arrivals = replying.arrivals(server, at + FREE, at + backoff);
        arrivals.iter().filter(|(_, id)| router_of(id) == Some(router)).count()
    };
    backoffs.map(within).max().unwrap_or(0)
}

fn check_backoffs(replying: &ScriptedWorld) {
    for server in 0..replying.servers.len() {
        let most = most_in_a_backoff(replying, server);
        assert!(most <= ALLOWED, "{most} requests reached server {server} in a backoff");
    }
}

macro_rules! one_server_asks_for_a_backoff {
    ($($name:ident: $routers:literal routers, $path:literal, asks for $value:literal;)*) => {$(
        #[test]
        fn $name() {
            let replying = ScriptedWorld::start(stringify!($name), $routers, 4, WORK);
            replying.send($path, 40, 1_000);
            replying.servers[0].set(asks_for($value));
            let got = replying.send($path, 40, 14_000);
            check_backoffs(&replying);
            check_served(&got);
        }
    )*};
}

one_server_asks_for_a_backoff! {
    a_server_has_the_backoff_that_it_asks_for: 3 routers, "/read/x", asks for "3";
    a_server_has_the_short_backoff_that_it_asks_for: 3 routers, "/read/x", asks for "1.25";
    a_server_has_the_long_backoff_that_it_asks_for: 3 routers, "/pay/x", asks for "6";
    a_server_has_the_backoff_that_it_asks_for_from_streams: 3 routers, "/stream/x", asks for "4";
}

#[test]
fn a_backoff_is_not_shortened_by_a_later_answer() {
    let replying = ScriptedWorld::start("backoff-shorter", 2, 1, WORK);
    for _ in 0..3 {
        replying.send("/read/x", 20, 1_000);
        // Under way together: some are turned away for long, those after them for less.
        let slow = |value: &str| Reply { work: Duration::from_millis(60), ..asks_for(value) };
        replying.servers[0].set(slow("5"));
        std::thread::scope(|scope| {
            scope.spawn(|| {
                std::thread::sleep(Duration::from_millis(30));
                replying.servers[0].set(slow("0.6"));
            });
            replying.send("/read/x", 20, 6_500);
        });
        replying.servers[0].set(Reply::served(WORK));
    }
    check_backoffs(&replying);
}

#[test]
fn requests_are_refused_at_once_while_all_servers_back_off() {
    let replying = ScriptedWorld::start("backoff-all", 3, 4, WORK);
    replying.send("/read/x", 40, 1_000);
    replying.servers.iter().for_each(|server| server.set(asks_for("3")));
    let got = replying.send("/read/x", 40, 8_000);
    check_backoffs(&replying);
    let first = got.iter().map(|one| one.sent).min().unwrap();
    let refused = got.iter().filter(|one| one.sent > first + Duration::from_secs(1));
    let refused: Vec<&RequestResult> = refused.filter(|one| one.status != 200).collect();
    let well = |one: &&&RequestResult| {
        let told = one.retry_after_s.is_some_and(|seconds| seconds > 0.0 && seconds < 10.0);
        one.status == 503 && told && one.took <= AT_ONCE
    };
    // A server that was to be tried may have held a request for a moment.
    let ill: Vec<&&RequestResult> = refused.iter().filter(|one| !well(one)).collect();
    assert!(
        ill.len() * 50 <= refused.len(),
        "{} of {}: {:?}",
        ill.len(),
        refused.len(),
        ill.first()
    );
    let mut times: Vec<u64> =
        refused.iter().map(|one| (one.retry_after_s.unwrap_or(0.0) * 1e3) as u64).collect();
    times.sort_unstable();
    times.dedup();
    assert!(times.len() * 4 >= refused.len().min(40), "callers come back together: {times:?}");
    replying.servers.iter().for_each(|server| server.set(Reply::served(WORK)));
    replying.send("/read/x", 40, BACK_MS);
    check_served(&replying.send("/read/x", 40, 2_000));
}

#[test]
fn a_server_has_its_part_again_after_a_backoff() {
    let replying = ScriptedWorld::start("backoff-ends", 3, 4, SLOW_WORK);
    replying.send("/read/x", 40, 1_000);
    replying.servers[0].set(asks_for("2"));
    replying.send("/read/x", 40, 1_000);
    replying.servers[0].set(Reply::served(SLOW_WORK));
    replying.send("/read/x", 40, 1_500 + BACK_MS);
    check_served(&replying.send("/read/x", 40, WINDOW.as_millis() as u64));
    replying.check_share(0, WINDOW);
    check_backoffs(&replying);
}

#[test]
fn a_backoff_outlasts_the_record() {
    let replying = ScriptedWorld::start("backoff-record", 3, 1, WORK);
    replying.send("/read/x", 40, 1_000);
    replying.servers[0].set(asks_for("9"));
    replying.send("/read/x", 40, 1_500);
    replying.world.store.remove("servers/i-0");
    replying.send("/read/x", 40, 2_500);
    replying.world.record_server(0, "ready");
    replying.send("/read/x", 40, 4_000);
    check_backoffs(&replying);
}

#[test]
fn a_backoff_until_a_date_holds() {
    let replying = ScriptedWorld::start("backoff-date", 2, 1, WORK);
    replying.send("/read/x", 40, 1_000);
    let now = SystemTime::now();
    let until = httpdate::fmt_http_date(now + Duration::from_secs(5));
    let date = format!("Date: {}\r\n", httpdate::fmt_http_date(now));
    replying.servers[0].set(asks_for(&until).with(&date));
    replying.send("/read/x", 40, 300);
    let since = Instant::now() + FREE;
    replying.send("/read/x", 40, 3_500);
    let reached = replying.arrivals(0, since, Instant::now()).len();
    assert!(reached <= 2 * ALLOWED, "{reached} requests reached it");
}

macro_rules! no_backoff {
    ($($name:ident: $value:expr;)*) => {$(
        #[test]
        fn $name() {
            let replying = ScriptedWorld::start(stringify!($name), 1, 3, SLOW_WORK);
            replying.send("/read/x", 20, 500);
            replying.servers[0].set(asks_for($value));
            replying.send("/read/x", 20, 1_000);
            replying.servers[0].set(Reply::served(SLOW_WORK));
            replying.send("/read/x", 20, 2 * BACK_MS);
            check_served(&replying.send("/read/x", 20, WINDOW.as_millis() as u64));
            replying.check_share(0, WINDOW);
        }
    )*};
}

no_backoff! {
    a_negative_value_asks_for_no_backoff: "-1";
    a_value_that_is_no_number_asks_for_no_backoff: "NaN";
    an_endless_value_asks_for_no_backoff: "1e999";
    an_infinite_value_asks_for_no_backoff: "inf";
    a_word_asks_for_no_backoff: "abc";
    a_huge_value_asks_for_no_backoff: "12345678901234567890123";
    a_date_in_forty_years_asks_for_no_backoff: "Thu, 01 Jan 2065 00:00:00 GMT";
    a_date_that_has_passed_asks_for_no_backoff: "Thu, 01 Jan 1970 00:00:00 GMT";
    zero_asks_for_no_backoff: "0";
    an_empty_value_asks_for_no_backoff: "";
}
