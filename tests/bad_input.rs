//! Invalid requests receive an error that names the fault and consume no tokens; invalid files are refused with the
//! position of the fault.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use fleet::{Fleet, Options, completion_body};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

/// An invalid request, and the status and error code of the expected answer.
struct Case {
    path: &'static str,
    key: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    code: &'static str,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            path: "/v1/chat/completions",
            key: "kitchen-key",
            headers: &[],
            body: completion_body("hello", 5, false),
            status: 400,
            code: "",
        }
    }
}

fn with_max_tokens(value: &str) -> String {
    completion_body("hello", 5, false)
        .replace("\"max_tokens\":5", &format!("\"max_tokens\":{value}"))
}

fn cases() -> Vec<(&'static str, Case)> {
    let model = |name: &str| completion_body("hello", 5, false).replace("roast-7b", name);
    let tokens = |value| Case {
        body: with_max_tokens(value),
        code: "invalid_max_tokens",
        ..Case::default()
    };
    vec![
        ("no key", Case { key: "", status: 401, code: "invalid_key", ..Case::default() }),
        ("wrong key", Case { key: "nobody", status: 401, code: "invalid_key", ..Case::default() }),
        ("not JSON", Case { body: "{".into(), code: "invalid_json", ..Case::default() }),
        ("a list", Case { body: "[1]".into(), code: "invalid_json", ..Case::default() }),
        (
            "no model",
            Case { body: "{\"messages\":[]}".into(), code: "invalid_field", ..Case::default() },
        ),
        (
            "unknown model",
            Case { body: model("x"), status: 404, code: "unknown_model", ..Case::default() },
        ),
        (
            "another workspace's model",
            Case {
                body: model("secret-1b"),
                status: 403,
                code: "policy_denied",
                ..Case::default()
            },
        ),
        ("no tokens", tokens("0")),
        ("negative tokens", tokens("-5")),
        ("2^63 tokens", tokens("9223372036854775808")),
        ("2^70 tokens", tokens("1180591620717411303424")),
        ("text as tokens", tokens("\"many\"")),
        (
            "two answers",
            Case {
                body: completion_body("hello", 5, false)
                    .replace("\"stream\"", "\"n\":2,\"stream\""),
                code: "unsupported",
                ..Case::default()
            },
        ),
        (
            "bad deadline",
            Case {
                headers: &[("X-Deadline-Ms", "soon")],
                code: "invalid_deadline",
                ..Case::default()
            },
        ),
        (
            "a deadline that passed",
            Case {
                headers: &[("X-Deadline-Ms", "0")],
                status: 504,
                code: "deadline",
                ..Case::default()
            },
        ),
        (
            "an unrepeatable call without an id",
            Case { path: "/services/payments/release/1", code: "id_missing", ..Case::default() },
        ),
        (
            "unknown service",
            Case {
                path: "/services/nothing/x",
                status: 404,
                code: "unknown_service",
                ..Case::default()
            },
        ),
        ("unknown path", Case { path: "/v2/x", status: 404, code: "not_found", ..Case::default() }),
    ]
}

#[test]
fn each_invalid_request_receives_its_own_error_and_consumes_no_tokens() {
    let fleet = Fleet::start("bad-input", Options { routers: 1, ..Options::default() });
    let callers = fleet.routers[0].callers;
    for (name, case) in cases() {
        let answer = fleet::call(callers, "POST", case.path, case.key, case.headers, &case.body);
        let answer = answer.unwrap();
        assert_eq!((answer.status, answer.code().as_str()), (case.status, case.code), "{name}");
        assert_eq!(answer.ran(), "not_run", "{name}");
    }
    check_large_body(&fleet);
    check_slow_body(&fleet);
    check_same_id_with_another_body(&fleet);
    assert_eq!(fleet.started_requests(), 1, "not only the one valid request ran");
    let budget = &fleet.dump(0)["budgets"]["kitchen/main"];
    assert_eq!((&budget["consumed_tokens"], &budget["reserved_tokens"]), (&6.into(), &0.into()));
}

fn check_large_body(fleet: &Fleet) {
    let callers = fleet.routers[0].callers;
    let mut stream = TcpStream::connect(callers).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\n\
                Authorization: Bearer kitchen-key\r\nContent-Length: 52428800\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let block = vec![b' '; 1 << 20];
    // The router answers and closes before all 50 MB are sent.
    let _ = (0..50).try_for_each(|_| stream.write_all(&block));
    let mut received = vec![0; 4096];
    let length = stream.read(&mut received).unwrap_or(0);
    let text = String::from_utf8_lossy(&received[..length]).into_owned();
    assert!(text.is_empty() || text.contains("body_too_large"), "not the error: {text}");
}

fn check_slow_body(fleet: &Fleet) {
    let callers = fleet.routers[0].callers;
    let mut stream = TcpStream::connect(callers).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\n\
                Authorization: Bearer kitchen-key\r\nContent-Length: 500\r\n\r\n{";
    stream.write_all(head.as_bytes()).unwrap();
    let mut received = vec![0; 4096];
    let length = stream.read(&mut received).unwrap();
    let text = String::from_utf8_lossy(&received[..length]).into_owned();
    assert!(text.contains("body_too_slow"), "not the error: {text}");
}

fn check_same_id_with_another_body(fleet: &Fleet) {
    let first = fleet.complete_as(0, "kitchen-key", Some("same"), "hello", 5, false).unwrap();
    assert_eq!(first.status, 200, "{first:?}");
    fleet::eventually("the first request is billed", || {
        fleet.totals("kitchen").billed_requests == 1
    });
    let other = fleet.complete_as(0, "kitchen-key", Some("same"), "other words", 5, false).unwrap();
    assert_eq!((other.status, other.code().as_str()), (422, "id_conflict"), "{other:?}");
}

/// Files that `doorswitch check` must refuse, and a part of the expected error.
const INVALID_SETTINGS: &[(&str, &str)] = &[
    ("vm: [1", "line 1"),
    ("vm: a\nspeed: 3\n", "unknown field `speed`"),
    ("vm: a\nregion: r\nfailure_domain: f\ncallers: {listen: 'x'}\n", "line 4"),
];

const INVALID_CONFIGS: &[(&str, &str)] = &[
    ("workspaces: {", "line"),
    ("workspaces: []\nservices: []\npolicies: []\nextra: 1\n", "unknown field `extra`"),
    (
        "workspaces: []\nservices: []\npolicies: [{name: p, program: 'nobody + 1'}]\n",
        "Undefined variable",
    ),
    (
        "workspaces: []\nservices: []\npolicies: [{name: p, program: 'while true {}'}]\n",
        "does not compile",
    ),
    (
        "layout: {ledger_shards: 0, log_shards: 9999999}\nworkspaces: []\nservices: []\npolicies: []\n",
        "1 to 1024 is allowed",
    ),
    (
        "workspaces: [{name: 'a b', keys: [{name: k, sha256: zz}], budgets: []}]\nservices: []\npolicies: []\n",
        "64 hexadecimal digits",
    ),
    (
        "workspaces: [{name: a, keys: [], budgets: [{name: m, cover_s: -1}]}]\nservices: []\npolicies: []\n",
        "line 1",
    ),
    (
        "workspaces: []\nservices: [{name: s, kind: model, policy: none}]\npolicies: []\n",
        "\"none\" is not declared",
    ),
];

#[test]
fn invalid_files_are_refused_with_the_position_and_the_allowed_values() {
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad-files");
    std::fs::create_dir_all(&folder).unwrap();
    let files = INVALID_SETTINGS.iter().map(|case| ("--settings", case));
    let files = files.chain(INVALID_CONFIGS.iter().map(|case| ("--config", case)));
    for (index, (flag, (text, expected))) in files.enumerate() {
        let file = folder.join(format!("{index}.yaml"));
        std::fs::write(&file, text).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_doorswitch"))
            .args(["check", flag])
            .arg(&file)
            .output()
            .unwrap();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{text} was not refused: {stderr}");
        assert!(stderr.contains(&file.display().to_string()), "no file name in {stderr}");
        assert!(stderr.contains(expected), "{text}: expected {expected:?} in {stderr}");
    }
}

#[test]
fn the_sample_deployments_are_valid() {
    for site in ["bursa", "muscat"] {
        let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy").join(site);
        for file in std::fs::read_dir(folder).unwrap() {
            let file = file.unwrap().path();
            let flag = if file.ends_with("config.yaml") { "--config" } else { "--settings" };
            let output = Command::new(env!("CARGO_BIN_EXE_doorswitch"))
                .args(["check", flag])
                .arg(&file)
                .output()
                .unwrap();
            assert!(
                output.status.success(),
                "a sample is invalid: {}",
                String::from_utf8_lossy(&output.stderr)
            );
        }
    }
}
