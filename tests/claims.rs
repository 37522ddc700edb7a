//! A request that is configured as unrepeatable runs at most once, and each request is billed exactly once.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use doorswitch_standins::{backend, platform, service};
use fleet::{Answer, Fleet, Options, eventually};
use std::thread;

/// Sends the same unrepeatable request to every router twice, all at once.
fn release_everywhere(fleet: &Fleet, id: &str) -> Vec<Answer> {
    let routers = fleet.routers.len();
    thread::scope(|scope| {
        let calls: Vec<_> = (0..routers * 2)
            .map(|turn| scope.spawn(move || fleet.release(turn % routers, id, "{}")))
            .collect();
        calls.into_iter().filter_map(|call| call.join().unwrap()).collect()
    })
}

#[test]
fn concurrent_retries_through_every_router_run_once() {
    let fleet = Fleet::start("claims-race", Options::default());
    for number in 0..5 {
        let id = format!("hold-{number}");
        let answers = release_everywhere(&fleet, &id);
        assert!(answers.iter().all(|answer| answer.status == 200), "a retry failed: {answers:?}");
        assert_eq!(fleet.executions(&id), 1);
    }
    eventually("each request is billed once", || fleet.totals("kitchen").billed_requests == 5);
    assert_eq!(fleet.totals("kitchen").repeated_tokens, 0);
}

/// Servers close the connection after they received a request, as a server does that crashes or closes too early.
#[test]
fn a_call_whose_connection_ends_without_an_answer_is_sent_once() {
    let fleet = Fleet::start("claims-closed", Options { services: 0, ..Options::default() });
    let closing = || -> backend::Script { Box::new(|_, _| vec![backend::Step::Close]) };
    let servers: Vec<backend::Backend> =
        (0..2).map(|_| backend::Backend::start(closing()).unwrap()).collect();
    let mut vms = fleet.vms();
    vms.extend(servers.iter().enumerate().map(|(index, server)| platform::Vm {
        vm: format!("closing-{index}"),
        service: "payments".to_owned(),
        address: server.address().to_string(),
        class: "new".to_owned(),
        version: String::new(),
        failure_domain: "a".to_owned(),
        state: "live".to_owned(),
    }));
    fleet.platform.set_vms(vms);
    eventually("the router lists the servers", || {
        fleet.dump(0)["servers"]["closing-1"].is_object()
    });
    let answer = fleet.release(0, "hold", "{}").unwrap();
    let calls = |server: &backend::Backend| {
        server.requests().iter().filter(|received| received.line.starts_with("POST")).count()
    };
    let sent: usize = servers.iter().map(calls).sum();
    assert_eq!(
        (sent, answer.code(), answer.ran()),
        (1, "outcome_unknown".into(), "unknown".into())
    );
}

#[test]
fn lost_replies_of_the_store_cause_no_second_execution() {
    let fleet = Fleet::start("claims-lost", Options::default());
    let mode = platform::Mode { lose_write_replies_percent: 50, ..platform::Mode::default() };
    fleet.platform.set_mode(mode);
    for number in 0..4 {
        let id = format!("hold-{number}");
        let answers = release_everywhere(&fleet, &id);
        assert!(fleet.executions(&id) <= 1);
        for answer in answers.iter().filter(|answer| answer.ran() == "not_run") {
            assert!(answer.header("retry-after").is_some(), "no Retry-After: {answer:?}");
        }
    }
}

#[test]
fn during_an_outage_of_the_store_unrepeatable_requests_are_refused() {
    let fleet = Fleet::start("claims-outage", Options::default());
    // A router that is ready need not have tokens yet, and then refuses the request for these.
    let warm_up = || fleet.release(0, "warm-up", "{}").is_some_and(|answer| answer.status == 200);
    eventually("the first router has tokens in hand", warm_up);
    fleet.platform.set_mode(platform::Mode { out: true, ..platform::Mode::default() });
    let refused = fleet.release(0, "hold-1", "{}").unwrap();
    assert_eq!((refused.status, refused.code().as_str()), (503, "claim_unreachable"));
    assert_eq!(refused.ran(), "not_run");
    assert!(refused.header("retry-after").is_some());
    assert_eq!(fleet.executions("hold-1"), 0);
    fleet.platform.set_mode(platform::Mode::default());
    eventually("the request runs after the outage", || {
        fleet.release(1, "hold-1", "{}").is_some_and(|answer| answer.status == 200)
    });
    assert_eq!(fleet.executions("hold-1"), 1);
}

#[test]
fn after_its_router_is_killed_a_request_s_outcome_is_unknown_and_it_is_not_run_again() {
    let mut fleet = Fleet::start("claims-kill", Options::default());
    fleet.services[0].set_mode(service::Mode { delay_ms: 2_000, ..service::Mode::default() });
    let headers = [("Idempotency-Key", "hold-1")];
    let path = "/services/payments/release/7";
    let stream = fleet::send(fleet.routers[0].callers, "POST", path, "kitchen-key", &headers, "{}");
    eventually("the request runs", || fleet.executions("hold-1") == 1);
    fleet.kill(0);
    drop(stream);
    for index in [1, 2] {
        let answer = fleet.release(index, "hold-1", "{}").unwrap();
        assert_eq!(answer.ran(), "unknown", "{answer:?}");
    }
    assert_eq!(fleet.executions("hold-1"), 1);
}

#[test]
fn a_router_suspended_with_a_claim_causes_no_second_execution() {
    let fleet = Fleet::start("claims-freeze", Options::default());
    // Slow enough that the router is suspended between its claim and its dispatch or just after.
    fleet.platform.set_mode(platform::Mode { slow_ms: 100, ..platform::Mode::default() });
    for number in 0..3 {
        let id = format!("hold-{number}");
        let headers = [("Idempotency-Key", id.as_str())];
        let path = "/services/payments/release/7";
        let stream =
            fleet::send(fleet.routers[0].callers, "POST", path, "kitchen-key", &headers, "{}");
        thread::sleep(std::time::Duration::from_millis(60 * number + 40));
        fleet.signal(0, "STOP");
        let elsewhere = fleet.release(1, &id, "{}").unwrap();
        assert!(
            elsewhere.status == 200 || elsewhere.ran() == "unknown",
            "the outcome is certain: {elsewhere:?}"
        );
        fleet.signal(0, "CONT");
        drop(stream);
        // The resumed router either runs the request or releases its claim as too old; then a retry may run it.
        eventually("the request runs, or its outcome is replayed", || {
            let index = fleet.executions(&id) as usize % 3;
            fleet.release(index, &id, "{}").is_some_and(|answer| answer.status == 200)
        });
        assert_eq!(fleet.executions(&id), 1);
    }
    fleet.platform.set_mode(platform::Mode::default());
    for number in 0..3 {
        let id = format!("hold-{number}");
        let answers = release_everywhere(&fleet, &id);
        assert!(answers.iter().all(|answer| answer.status == 200), "a retry failed: {answers:?}");
        assert_eq!(fleet.executions(&id), 1);
    }
}

#[test]
fn the_outcome_of_a_request_without_an_answer_stays_unknown() {
    let fleet = Fleet::start("claims-unknown", Options { routers: 2, ..Options::default() });
    fleet.services[0].set_mode(service::Mode { lose_answers: true, ..service::Mode::default() });
    let headers = [("Idempotency-Key", "hold-1"), ("X-Deadline-Ms", "1000")];
    let path = "/services/payments/release/7";
    let callers = fleet.routers[0].callers;
    let answer = fleet::call(callers, "POST", path, "kitchen-key", &headers, "{}").unwrap();
    assert_eq!((answer.code().as_str(), answer.ran().as_str()), ("outcome_unknown", "unknown"));
    fleet.services[0].set_mode(service::Mode::default());
    let again = fleet.release(1, "hold-1", "{}").unwrap();
    assert_eq!(again.ran(), "unknown", "{again:?}");
    assert_eq!(fleet.executions("hold-1"), 1);
}

#[test]
fn a_partitioned_region_claims_through_the_store_or_refuses() {
    let fleet =
        Fleet::start("claims-region", Options { routers: 4, regions: 2, ..Options::default() });
    fleet.cut_routers(&[0, 2], &[1, 3], true);
    let answers = release_everywhere(&fleet, "hold-1");
    assert!(
        answers.iter().any(|answer| answer.status == 200),
        "no request was served: {answers:?}"
    );
    assert_eq!(fleet.executions("hold-1"), 1);
    fleet.cut_platform(&[1, 3], true);
    let refused = fleet.release(1, "hold-2", "{}").unwrap();
    assert_eq!(refused.ran(), "not_run", "{refused:?}");
    assert_eq!(fleet.executions("hold-2"), 0);
}

#[test]
fn requests_of_two_workspaces_with_the_same_id_both_run() {
    let fleet = Fleet::start("claims-two", Options::default());
    let path = "/services/payments/release/7";
    let headers = [("Idempotency-Key", "hold-1")];
    for key in ["kitchen-key", "gate-key"] {
        let callers = fleet.routers[0].callers;
        let answer = fleet::call(callers, "POST", path, key, &headers, "{}").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(fleet.executions("hold-1"), 2);
}
