//! Which broken runs count as crashes of their servers, and for how long. Guards against requests that are blamed for a
//! crash that they did not cause, and against crashes that are not detected.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_core::{ids, quarantine};
use quarantine::{Runs, ServerInstance};

const NOW_MS: u64 = 50_000;

fn request(number: u8) -> ids::Fingerprint {
    ids::Fingerprint { head: u64::from(number), whole: [number; 16] }
}

fn server(incarnation: u64) -> ServerInstance {
    ServerInstance { vm: "vm".to_owned(), incarnation: ids::ServerIncarnation(incarnation) }
}

/// Records of one run on this incarnation that broke off at `NOW_MS`.
fn one_broken_run(incarnation: u64) -> Runs {
    let mut runs = Runs::default();
    assert!(!runs.record_interrupted(&server(incarnation), "10.0.0.1:1", request(1), NOW_MS));
    runs
}

fn fingerprints(found: Vec<(ids::Fingerprint, u64)>) -> Vec<ids::Fingerprint> {
    found.into_iter().map(|(request, _)| request).collect()
}

#[test]
fn a_refused_connection_implicates_runs_of_the_last_second_only() {
    assert_eq!(
        fingerprints(one_broken_run(1).record_refused(&server(1), NOW_MS + 900)),
        [request(1)]
    );
    assert!(one_broken_run(1).record_refused(&server(1), NOW_MS + 1_100).is_empty());
}

#[test]
fn the_end_of_another_incarnation_implicates_no_run() {
    assert!(one_broken_run(1).record_refused(&server(2), NOW_MS).is_empty());
    assert!(one_broken_run(1).record_crash(&server(2), NOW_MS).is_empty());
}

#[test]
fn a_run_that_breaks_after_the_crash_was_detected_counts_immediately() {
    let mut runs = one_broken_run(1);
    runs.record_refused(&server(1), NOW_MS);
    assert!(runs.record_interrupted(&server(1), "10.0.0.1:1", request(2), NOW_MS + 5_000));
}

#[test]
fn crashes_of_unknown_incarnations_are_distinguished_by_time() {
    let unknown = ids::ServerIncarnation::UNKNOWN.0;
    let mut runs = one_broken_run(unknown);
    runs.record_refused(&server(unknown), NOW_MS);
    assert!(runs.record_interrupted(&server(unknown), "10.0.0.1:1", request(2), NOW_MS + 300));
    assert!(!runs.record_interrupted(&server(unknown), "10.0.0.1:1", request(2), NOW_MS + 5_000));
}

#[test]
fn a_server_that_answers_a_later_request_has_not_crashed() {
    let mut runs = one_broken_run(1);
    runs.record_answer(&server(1), NOW_MS - 1);
    assert_eq!(
        runs.open().count(),
        1,
        "the answer to a request that was sent before the break removed the broken run"
    );
    runs.record_answer(&server(1), NOW_MS + 1);
    assert!(runs.record_crash(&server(1), NOW_MS + 2).is_empty());
}

#[test]
fn broken_runs_of_a_server_that_accepts_connections_expire_early() {
    let mut runs = one_broken_run(1);
    runs.record_accepted(&server(1));
    runs.remove_expired(NOW_MS + 2_900);
    assert_eq!(runs.open().count(), 1);
    runs.remove_expired(NOW_MS + 3_100);
    assert_eq!(runs.open().count(), 0);
}

#[test]
fn a_success_of_a_request_drops_only_its_own_broken_runs() {
    let mut runs = one_broken_run(1);
    runs.record_interrupted(&server(1), "10.0.0.1:1", request(2), NOW_MS);
    runs.record_success(request(1));
    assert_eq!(fingerprints(runs.record_crash(&server(1), NOW_MS)), [request(2)]);
}

#[test]
fn records_of_broken_runs_are_bounded_and_expire() {
    let mut runs = Runs::default();
    for number in 0..2_000 {
        let server =
            ServerInstance { vm: format!("vm-{number}"), incarnation: ids::ServerIncarnation(1) };
        for _ in 0..400 {
            runs.record_interrupted(&server, "10.0.0.1:1", request(1), NOW_MS + number);
        }
    }
    assert!(runs.open().count() <= 256);
    assert!(runs.heads().count() <= 256 * 256);
    runs.remove_expired(NOW_MS + 60_000);
    assert!(runs.is_empty());
}
