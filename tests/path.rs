//! Metered requests served end to end by separate router processes on loopback addresses.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use doorswitch_standins::engine;
use fleet::{Fleet, Options, eventually};

#[test]
fn a_request_is_served_metered_and_settled_through_any_router() {
    let fleet = Fleet::start("path-any-router", Options::default());
    for index in 0..3 {
        let prompt = format!("roast profile number {index}");
        let answer = fleet.complete(index, &prompt, 10, index % 2 == 0).unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.text(), engine::answer(&prompt, 10));
    }
    let expected = 3 * (10 + 4);
    eventually("all three requests are billed", || fleet.totals("kitchen").billed_requests == 3);
    assert_eq!(fleet.totals("kitchen").billed_tokens, expected);
    eventually("the ledger contains the reports", || {
        fleet.ledger("kitchen").reported_consumed_tokens() == expected
    });
}

#[test]
fn an_unrepeatable_call_runs_once_and_is_replayed_through_any_router() {
    let fleet = Fleet::start("path-unrepeatable", Options::default());
    for index in 0..3 {
        let answer = fleet.release(index, "hold-7", "{}").unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.json()["executions"], 1);
    }
    let conflict = fleet.release(0, "hold-7", "{\"other\": 1}").unwrap();
    assert_eq!((conflict.status, conflict.code().as_str()), (422, "id_conflict"));
    assert_eq!(fleet.executions("hold-7"), 1);
    eventually("the call is billed once", || fleet.totals("kitchen").billed_requests == 1);
}

#[test]
fn requests_beyond_an_exhausted_budget_are_refused_until_a_payment() {
    let options = Options { budget_tokens: 400, minimum_grant_tokens: 50, ..Options::default() };
    let fleet = Fleet::start("path-exhausted", options);
    let first = fleet.complete(0, "one two three", 200, false).unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    let refused = fleet.complete(0, "one two three", 300, false).unwrap();
    assert_eq!((refused.status, refused.code().as_str()), (402, "budget_exhausted"), "{refused:?}");
    assert_eq!(refused.ran(), "not_run");
    assert!(refused.header("retry-after").is_some());
    fleet.pay("kitchen", 1_000, "second");
    eventually("the payment is usable", || {
        fleet.complete(0, "one two three", 300, false).is_some_and(|answer| answer.status == 200)
    });
}

#[test]
fn the_command_line_shows_the_state_of_the_fleet() {
    let fleet = Fleet::start("path-operators", Options::default());
    fleet.complete(0, "hello there", 5, false).unwrap();
    eventually("the request is billed", || fleet.totals("kitchen").billed_requests == 1);
    let platform = format!("http://{}", fleet.platform.address());
    let budgets = doorswitch(&["budget", "show", "--platform", &platform, "--format", "json"]);
    let rows: serde_json::Value = serde_json::from_str(&budgets).unwrap();
    let kitchen = rows.as_array().unwrap().iter().find(|row| row["budget"] == "kitchen/main");
    assert_eq!(kitchen.unwrap()["billed_tokens"], 7);
    let router = format!("http://{}", fleet.routers[0].operators);
    let status = doorswitch(&["status", "--router", &router, "--format", "json"]);
    let rows: serde_json::Value = serde_json::from_str(&status).unwrap();
    assert_eq!((&rows[0]["members"], &rows[0]["config_version"]), (&3.into(), &1.into()));
    assert!(doorswitch(&["config", "show", "--platform", &platform]).contains("version 1"));
    assert!(doorswitch(&["dump", "--router", &router]).contains("\"incarnation\""));
}

fn doorswitch(arguments: &[&str]) -> String {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_doorswitch"))
        .args(arguments)
        .env("DOORSWITCH_OPERATOR_KEY", fleet::OPERATOR_KEY)
        .output()
        .unwrap();
    assert!(
        output.status.success(),
        "the command failed: {}",
        String::from_utf8_lossy(&output.stderr)
    );
    String::from_utf8(output.stdout).unwrap()
}
