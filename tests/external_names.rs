//! Names that the router writes to logs, and its errors for unknown keys of settings and documents, which list the
//! allowed keys. The names that the core writes are tested in `core/tests/external_names.rs`.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch::{probe, settings};
use doorswitch_core::config;
use std::path;

#[test]
fn results_of_probes() {
    use probe::ProbeResult::{Accepts, Closes, Refuses, Silent};
    let results = [Accepts, Closes, Refuses, Silent];
    assert_eq!(results.map(probe::ProbeResult::as_str), ["Accepts", "Closes", "Refuses", "Silent"]);
}

const SETTINGS: &str = "{vm: a, region: b, failure_domain: c, operators: {listen: '127.0.0.1:1'}, \
    peers: {listen: '127.0.0.1:2'}, platform: {url: u}";

fn settings_error(more: &str) -> String {
    let text = format!("{SETTINGS}{more}}}");
    let error = settings::Settings::parse(&text, path::Path::new("f")).unwrap_err();
    error.to_string()
}

fn settings_error_of(section: &str, key: &str) -> String {
    let text = SETTINGS.replace(&format!("{section}: {{"), &format!("{section}: {{{key}, "));
    let error = settings::Settings::parse(&format!("{text}}}"), path::Path::new("f")).unwrap_err();
    error.to_string()
}

fn document_error(text: &str) -> String {
    serde_json::from_str::<config::Document>(text).unwrap_err().to_string()
}

macro_rules! errors {
    ($($name:ident: $actual:expr => $expected:expr;)*) => { $(
        #[test]
        fn $name() {
            assert_eq!($actual, $expected);
        }
    )* };
}

errors! {
    unknown_setting: settings_error(", x: 1") => r#"f: line 1: x: unknown field `x`, expected one of `vm`, `region`, `failure_domain`, `callers`, `gateway`, `operators`, `peers`, `platform`, `limits`"#;
    unknown_setting_of_callers: settings_error(", callers: {x: 1}") => "f: line 1: callers.x: unknown field `x`, expected `listen` or `traffic_threads`";
    unknown_setting_of_the_gateway: settings_error(", gateway: {x: 1}") => "f: line 1: gateway.x: unknown field `x`, expected `listen` or `drain_ms`";
    unknown_setting_of_operators: settings_error_of("operators", "x: 1") => "f: line 1: operators.x: unknown field `x`, expected `listen` or `key_sha256`";
    unknown_setting_of_peers: settings_error_of("peers", "x: 1") => r#"f: line 1: peers.x: unknown field `x`, expected one of `listen`, `advertise`, `seeds`, `seeds_port`"#;
    unknown_setting_of_the_platform: settings_error_of("platform", "x: 1") => r#"f: line 1: platform.x: unknown field `x`, expected one of `url`, `protocol`, `timeout_ms`, `reads_per_s`, `writes_per_s`, `configuration_ms`, `leaving_ms`, `backup_age_s`, `first_start`"#;
    unknown_protocol_of_the_platform: settings_error_of("platform", "protocol: x") => r#"f: line 1: platform.protocol: unknown variant `x`, expected `consul` or `revisions`"#;
    unknown_setting_of_limits: settings_error(", limits: {x: 1}") => r#"f: line 1: limits.x: unknown field `x`, expected one of `body_bytes_max`, `head_read_ms`, `body_read_ms`, `connections_max`, `listen_backlog`, `budget_wait_ms`, `claim_wait_ms`, `handover_wait_ms`, `deadline_ms`, `load_poll_ms`, `load_subset`, `stop_grace_s`"#;
    section_of_another_type: settings_error(", gateway: 1") => "f: line 1: gateway: invalid type: integer `1`, expected struct Gateway";
    unknown_key_of_a_document: document_error("{\"x\": 1}") => r#"unknown field `x`, expected one of `layout`, `workspaces`, `services`, `policies`, `routes`, `callers`, `evacuated` at line 1 column 4"#;
    unknown_key_of_a_layout: document_error("{\"layout\": {\"x\": 1}}") => r#"unknown field `x`, expected one of `ledger_shards`, `log_shards`, `log_epoch_segments` at line 1 column 15"#;
    unknown_key_of_a_workspace: document_error("{\"workspaces\": [{\"x\": 1}]}") => r#"unknown field `x`, expected one of `name`, `keys`, `budgets`, `priority` at line 1 column 20"#;
    unknown_key_of_a_key: document_error("{\"workspaces\": [{\"keys\": [{\"x\": 1}]}]}") => "unknown field `x`, expected `name` or `sha256` at line 1 column 30";
    unknown_key_of_a_budget: document_error("{\"workspaces\": [{\"budgets\": [{\"x\": 1}]}]}")
        => r#"unknown field `x`, expected one of `name`, `cover_s`, `minimum_grant_tokens`, `prepaid_tokens`, `held_percent`, `holders`, `loss_spread_s` at line 1 column 33"#;
    unknown_key_of_a_service: document_error("{\"services\": [{\"x\": 1}]}") => r#"unknown field `x`, expected one of `name`, `kind`, `policy`, `models`, `answer_tokens_max`, `call_tokens`, `unrepeatable`, `queue_length`, `queue_age_ms`, `answer_time_ms`, `connections_max`, `event_tokens`, `cold_milli_per_s`, `cold_start_ms` at line 1 column 18"#;
    unknown_kind_of_a_service: document_error("{\"services\": [{\"kind\": \"x\"}]}") => "unknown variant `x`, expected `model` or `plain` at line 1 column 26";
    unknown_key_of_a_call: document_error("{\"services\": [{\"unrepeatable\": [{\"x\": 1}]}]}")
        => "unknown field `x`, expected `method` or `path_prefix` at line 1 column 36";
    unknown_key_of_a_policy: document_error("{\"policies\": [{\"x\": 1}]}") => "unknown field `x`, expected `name` or `program` at line 1 column 18";
    unknown_key_of_a_route: document_error("{\"routes\": [{\"x\": 1}]}") => r#"unknown field `x`, expected one of `name`, `host`, `path_prefix`, `kind`, `timeout_ms`, `target_ms`, `priority`, `targets`, `attempts_max`, `public`, `resumable` at line 1 column 16"#;
    unknown_kind_of_a_route: document_error("{\"routes\": [{\"kind\": \"x\"}]}") => r#"unknown variant `x`, expected one of `idempotent`, `at_most_once`, `stream` at line 1 column 24"#;
    unknown_key_of_a_target: document_error("{\"routes\": [{\"targets\": [{\"x\": 1}]}]}")
        => "unknown field `x`, expected `service` or `weight` at line 1 column 29";
    unknown_key_of_callers: document_error("{\"callers\": {\"x\": 1}}") => r#"unknown field `x`, expected one of `head_bytes_max`, `body_bytes_max`, `head_read_ms`, `idle_ms` at line 1 column 16"#;
    document_of_another_type: document_error("1") => "invalid type: integer `1`, expected struct Document at line 1 column 1";
}
