//! Servers that send late copies of their answers.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_standins::backend::{Backend, drain};
use doorswitch_standins::late_copies::{Copies, LateCopies, Odds};
use std::io::Write;
use std::net::{Shutdown, TcpStream};

const NEVER: Odds = Odds {
    refuses: 0.0,
    copies_answer_of_id: 0.0,
    copies_before_answer: 0.0,
    copies_after_answer: 0.0,
};

/// Sends requests with these ids over one connection. Returns the servers and the ids of the answers, in order.
fn send_over_one_connection(odds: Odds, path: &str, ids: &[&str]) -> (LateCopies, Vec<String>) {
    let copying = LateCopies::new(1, odds, "/streams/");
    let backend = Backend::start(copying.script()).unwrap();
    let mut stream = TcpStream::connect(backend.address()).unwrap();
    for id in ids {
        write!(stream, "GET {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\n\r\n").unwrap();
    }
    stream.shutdown(Shutdown::Write).unwrap();
    let received = String::from_utf8(drain(&mut stream)).unwrap();
    let answered = received.lines().filter_map(|line| line.strip_prefix("Attempt-Id: "));
    (copying, answered.map(str::to_owned).collect())
}

#[test]
fn an_id_that_comes_again_meets_a_copy_of_its_refusal() {
    let odds = Odds { refuses: 1.0, copies_answer_of_id: 1.0, ..NEVER };
    let (copying, answered) = send_over_one_connection(odds, "/calls/x", &["a", "b", "a"]);
    assert_eq!(answered, ["a", "b", "a", "a"]);
    assert_eq!(copying.executions("a").len(), 0);
    assert_eq!(copying.copies(), Copies { of_id: 1, ..Copies::default() });
}

#[test]
fn a_copy_of_an_earlier_answer_precedes_the_next_one() {
    let odds = Odds { copies_before_answer: 1.0, ..NEVER };
    let (copying, answered) = send_over_one_connection(odds, "/streams/x", &["a", "b"]);
    assert_eq!(answered, ["a", "a", "b"]);
    assert_eq!(copying.executions("a").len(), 1);
    assert_eq!(copying.copies(), Copies { before_answer: 1, ..Copies::default() });
}

#[test]
fn a_copy_follows_its_answer() {
    let odds = Odds { copies_after_answer: 1.0, ..NEVER };
    let (copying, answered) = send_over_one_connection(odds, "/calls/x", &["a"]);
    assert_eq!(answered, ["a", "a"]);
    assert_eq!(copying.copies(), Copies { after_answer: 1, ..Copies::default() });
}

#[test]
fn what_a_server_does_depends_on_the_seed_and_the_id() {
    let odds = Odds { refuses: 0.5, ..NEVER };
    let ids: Vec<String> = (0..32).map(|number| format!("id-{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let executions = |copying: &LateCopies| -> Vec<usize> {
        ids.iter().map(|id| copying.executions(id).len()).collect()
    };
    let (forwards, _) = send_over_one_connection(odds, "/calls/x", &ids);
    let reversed: Vec<&str> = ids.iter().rev().copied().collect();
    let (backwards, _) = send_over_one_connection(odds, "/calls/x", &reversed);
    assert_eq!(executions(&forwards), executions(&backwards));
    assert!(executions(&forwards).contains(&0) && executions(&forwards).contains(&1));
}
