//! Guards against believing an answer that belongs to another call of the callers' interface: a server repeats an earlier
//! rejection in the place of the answer to the next call on the connection, which it runs.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use doorswitch_standins::backend::{self, ReceivedRequest, Script};
use fleet::{Fleet, Options};

const SERVERS: usize = 2;

/// A plain service that rejects lookups, and repeats the rejection in the place of the answer to a release.
fn repeats_a_rejection_of_the_callers_interface(echoes_attempts: bool) -> Script {
    let mut attempts = std::collections::HashMap::<usize, String>::new();
    Box::new(move |_, received: &ReceivedRequest| {
        let own = received.header("x-attempt-id").unwrap_or_default().to_owned();
        let body = r#"{"error":{"ran":"not_run"}}"#;
        let rejection = |attempt: &str| {
            let echo = if echoes_attempts {
                format!("X-Attempt-Id: {attempt}\r\n")
            } else {
                String::new()
            };
            backend::response_with_headers("503 Busy", &echo, body)
        };
        if received.line.contains("/lookup") {
            attempts.insert(received.connection, own.clone());
            return vec![rejection(&own)];
        }
        match attempts.get(&received.connection) {
            Some(earlier) => vec![rejection(earlier)],
            None if received.line.contains("/release") => vec![backend::response("200 OK", "ran")],
            None => vec![backend::response("200 OK", "{}")],
        }
    })
}

fn callers_fleet(name: &str, echoes_attempts: bool) -> (Fleet, Vec<backend::Backend>) {
    let options = Options { routers: 1, engines: 0, services: 0, ..Options::default() };
    let fleet = Fleet::start(name, options);
    let start = |_| {
        let script = repeats_a_rejection_of_the_callers_interface(echoes_attempts);
        backend::Backend::start(script).unwrap()
    };
    let servers: Vec<backend::Backend> = (0..SERVERS).map(start).collect();
    fleet.add_scripted_servers(&servers, |_| "payments");
    (fleet, servers)
}

fn lookup(fleet: &Fleet, id: &str) -> fleet::Answer {
    let headers = [("Idempotency-Key", id)];
    let path = "/services/payments/lookup?card=7";
    fleet::call(fleet.routers[0].callers, "POST", path, "kitchen-key", &headers, "x").unwrap()
}

#[test]
fn an_unrepeatable_call_does_not_meet_the_answer_to_an_earlier_call() {
    let (fleet, servers) = callers_fleet("callers-unrepeatable", false);
    for number in 0..8 {
        assert_eq!(lookup(&fleet, &format!("lookup-{number}")).status, 503);
        let id = format!("release-{number}");
        let answer = fleet.release(0, &id, "{}").unwrap();
        let arrived = |server: &backend::Backend| {
            let requests = server.requests();
            let same = |request: &&ReceivedRequest| request.header("idempotency-key") == Some(&id);
            requests.iter().filter(same).count()
        };
        let sent: usize = servers.iter().map(arrived).sum();
        assert_eq!((sent, answer.status), (1, 200), "{answer:?} {}", fleet.log_text(0));
    }
}

/// Sends a call that is rejected, and then another one, which meets copies of the rejection on the connections that were
/// kept; returns the answer to the latter.
fn call_after_a_copy(name: &str, echoes_attempts: bool, path: &str, body: &str) -> fleet::Answer {
    let (fleet, _servers) = callers_fleet(name, echoes_attempts);
    assert_ne!(lookup(&fleet, "first").status, 200);
    let headers = [("Idempotency-Key", "second")];
    fleet::call(fleet.routers[0].callers, "POST", path, "kitchen-key", &headers, body).unwrap()
}

macro_rules! a_copy_of_a_rejection_does_not_answer_another_call {
    ($($name:ident: $echoes:expr, $path:expr, $body:expr;)*) => {$(
        #[test]
        fn $name() {
            let answer = call_after_a_copy(stringify!($name), $echoes, $path, $body);
            let ran = answer.ran();
            assert_ne!(ran, "not_run", "a call that may have run was refused: {answer:?}");
        }
    )*};
}

a_copy_of_a_rejection_does_not_answer_another_call! {
    a_call_is_not_refused_as_not_run_after_the_rejection_of_another_attempt:
        true, "/services/payments/balance", "x";
    a_call_is_not_refused_as_not_run_after_a_rejection_that_names_no_attempt:
        false, "/services/payments/balance", "x";
}
