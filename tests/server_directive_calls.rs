//! Engines and plain services behind the callers' interface may state in their answers that they leave, or request a
//! backoff. Guards against routers that ignore these directives and keep sending.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use doorswitch_standins::backend::{LEAVING_LINE, retry_after_line};
use doorswitch_standins::replies::Reply;
use fleet::scripted::{ROUTERS, RequestKind, ScriptedFleet};
use std::time::{Duration, Instant};

/// The maximum time after a server first sent a directive in which requests may still be in flight; every router has received
/// the directive by then.
const DIRECTIVE_BOUND: Duration = Duration::from_secs(2);
/// The maximum number of requests that one router may send to a server in a backoff.
const SENDS_IN_BACKOFF_MAX: usize = 2;
const BACKOFF: Duration = Duration::from_secs(6);

fn check_leaving(name: &str, kind: RequestKind) {
    let scripted = ScriptedFleet::start(name);
    scripted.send(kind, Duration::from_secs(1));
    scripted.replies.set(Reply::served(Duration::ZERO).with(LEAVING_LINE));
    let since = Instant::now();
    let got = scripted.send(kind, Duration::from_secs(8));
    let late = scripted.arrivals(scripted.first_server(kind), since + DIRECTIVE_BOUND).len();
    assert_eq!(late, 0, "requests reached a leaving server");
    ScriptedFleet::check_served(&got);
}

fn check_backoff(name: &str, kind: RequestKind) {
    let scripted = ScriptedFleet::start(name);
    scripted.send(kind, Duration::from_secs(1));
    let rejection = Reply::rejected(&retry_after_line(&BACKOFF.as_secs().to_string()));
    scripted.replies.set(rejection);
    let since = Instant::now();
    let got = scripted.send(kind, Duration::from_secs(5));
    let server = scripted.first_server(kind);
    let reached = scripted.arrivals(server, since + DIRECTIVE_BOUND).len();
    assert!(
        reached <= SENDS_IN_BACKOFF_MAX * ROUTERS,
        "{reached} requests reached a server in its backoff"
    );
    ScriptedFleet::check_served(&got);
    scripted.replies.set(Reply::served(Duration::ZERO));
    scripted.send(kind, BACKOFF);
    ScriptedFleet::check_served(&scripted.send(kind, Duration::from_secs(4)));
}

macro_rules! for_each_kind_of_work {
    ($($name:ident: $check:ident, $kind:expr;)*) => {$(
        #[test]
        fn $name() {
            $check(stringify!($name), $kind);
        }
    )*};
}

for_each_kind_of_work! {
    an_engine_whose_answers_state_that_it_leaves_gets_no_more_requests:
        check_leaving, RequestKind::Completion;
    a_plain_server_whose_answers_state_that_it_leaves_gets_no_more_calls:
        check_leaving, RequestKind::Call;
    a_plain_server_whose_answers_state_that_it_leaves_gets_no_unrepeatable_calls:
        check_leaving, RequestKind::Release;
    an_engine_gets_the_backoff_that_it_requests: check_backoff, RequestKind::Completion;
    a_plain_server_gets_the_backoff_that_it_requests: check_backoff, RequestKind::Call;
    a_plain_server_gets_the_backoff_that_it_requests_from_unrepeatable_calls:
        check_backoff, RequestKind::Release;
}

/// Callers are refused at once, with the information that their call did not run.
#[test]
fn calls_are_refused_at_once_when_the_only_servers_back_off() {
    let scripted = ScriptedFleet::with_servers("backoff-all-calls", 1);
    scripted.send(RequestKind::Release, Duration::from_secs(1));
    scripted.replies.set(Reply::rejected(&retry_after_line("5")));
    let got = scripted.send(RequestKind::Release, Duration::from_secs(3));
    let refused: Vec<_> =
        got.iter().filter(|one| one.sent > got[0].sent + DIRECTIVE_BOUND).collect();
    assert!(!refused.is_empty());
    for one in refused {
        assert_eq!(one.status, 503, "{one:?}");
        assert!(one.took < Duration::from_millis(150), "{one:?}");
        assert!(one.body.contains("not_run"), "{one:?}");
    }
}
