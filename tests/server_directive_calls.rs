//! Engines and plain services behind the callers' interface say that they leave, or ask for a backoff, too.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use doorswitch_standins::backend::{LEAVING_LINE, retry_after_line};
use doorswitch_standins::replies::Reply;
use fleet::scripted::{ROUTERS, Scripted, Work};
use std::time::{Duration, Instant};

/// What is still sent so long after a server's first word may have been under way; the word reaches each router by then.
const SETTLED: Duration = Duration::from_secs(2);
/// Requests that one router may send to a server in a backoff.
const ALLOWED: usize = 2;
const BACKOFF: Duration = Duration::from_secs(6);

fn leaves(name: &str, work: Work) {
    let scripted = Scripted::start(name);
    scripted.send(work, Duration::from_secs(1));
    scripted.replies.set(Reply::served(Duration::ZERO).with(LEAVING_LINE));
    let since = Instant::now();
    let got = scripted.send(work, Duration::from_secs(8));
    let late = scripted.arrivals(scripted.first_server(work), since + SETTLED).len();
    assert_eq!(late, 0, "requests reached a server that leaves");
    Scripted::check_served(&got);
}

fn backoffs(name: &str, work: Work) {
    let scripted = Scripted::start(name);
    scripted.send(work, Duration::from_secs(1));
    let asks = Reply::rejected(&retry_after_line(&BACKOFF.as_secs().to_string()));
    scripted.replies.set(asks);
    let since = Instant::now();
    let got = scripted.send(work, Duration::from_secs(5));
    let server = scripted.first_server(work);
    let reached = scripted.arrivals(server, since + SETTLED).len();
    assert!(reached <= ALLOWED * ROUTERS, "{reached} requests reached a server in its backoff");
    Scripted::check_served(&got);
    scripted.replies.set(Reply::served(Duration::ZERO));
    scripted.send(work, BACKOFF);
    Scripted::check_served(&scripted.send(work, Duration::from_secs(4)));
}

macro_rules! for_each_kind_of_work {
    ($($name:ident: $check:ident, $work:expr;)*) => {$(
        #[test]
        fn $name() {
            $check(stringify!($name), $work);
        }
    )*};
}

for_each_kind_of_work! {
    an_engine_that_leaves_by_its_answers_gets_nothing_more: leaves, Work::Completion;
    a_plain_server_that_leaves_by_its_answers_gets_nothing_more: leaves, Work::Call;
    a_plain_server_that_leaves_by_its_answers_gets_no_more_unrepeatable_calls: leaves, Work::Release;
    an_engine_has_the_backoff_that_it_asks_for: backoffs, Work::Completion;
    a_plain_server_has_the_backoff_that_it_asks_for: backoffs, Work::Call;
    a_plain_server_has_the_backoff_that_it_asks_for_from_unrepeatable_calls: backoffs, Work::Release;
}

/// Callers hear at once that nobody serves them, and that their call did not run.
#[test]
fn calls_are_refused_at_once_when_the_only_servers_back_off() {
    let scripted = Scripted::with_servers("backoff-all-calls", 1);
    scripted.send(Work::Release, Duration::from_secs(1));
    scripted.replies.set(Reply::rejected(&retry_after_line("5")));
    let got = scripted.send(Work::Release, Duration::from_secs(3));
    let refused: Vec<_> = got.iter().filter(|one| one.sent > got[0].sent + SETTLED).collect();
    assert!(!refused.is_empty());
    for one in refused {
        assert_eq!(one.status, 503, "{one:?}");
        assert!(one.took < Duration::from_millis(150), "{one:?}");
        assert!(one.body.contains("not_run"), "{one:?}");
    }
}
