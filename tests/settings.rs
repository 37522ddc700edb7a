//! The settings file: the template `deploy/router.yaml`, filled with either spelling of the rate fields, and files that
//! are invalid.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch::settings;
use serde_json::{Value, json};
use std::path::Path;
use std::process::Command;

const TEMPLATE: &str = include_str!("../deploy/router.yaml");

/// The values that the platform inserts into the template, with its rates under the given names.
fn fields(reads: &str, writes: &str) -> Value {
    json!({
        "nodeName": "edge-a-1", "region": "r", "zone": "a", "ip": "10.1.0.19",
        "listen": { "front": "10.1.0.19:8740", "ready": "10.1.0.19:8749" },
        "internalPortRange": [7200, 7215],
        "seedNodes": ["10.1.0.19:8749", "10.2.0.7:8749"],
        "platform": { "address": "10.200.1.7:8742", reads: 2_000, writes: 400 },
        "bounds": { "graceS": 8, "configApplyMs": 4_000, "drainMs": 3_000 },
    })
}

/// Replaces the placeholders `{{a.b}}` of a template; a missing value becomes empty, and lists are joined by commas.
fn fill(template: &str, fields: &Value) -> String {
    let mut filled = String::new();
    let mut rest = template;
    while let Some((before, placeholder)) = rest.split_once("{{") {
        let (path, after) = placeholder.split_once("}}").unwrap();
        let pointer = format!("/{}", path.trim().replace('.', "/"));
        filled.push_str(before);
        match fields.pointer(&pointer) {
            None | Some(Value::Null) => {}
            Some(Value::String(text)) => filled.push_str(text),
            Some(Value::Array(items)) => {
                let items: Vec<&str> = items.iter().filter_map(Value::as_str).collect();
                filled.push_str(&items.join(","));
            }
            Some(value) => filled.push_str(&value.to_string()),
        }
        rest = after;
    }
    filled + rest
}

macro_rules! spellings {
    ($($name:ident: $reads:expr, $writes:expr;)*) => {$(
        #[test]
        fn $name() {
            let text = fill(TEMPLATE, &fields($reads, $writes));
            let settings = settings::Settings::parse(&text, Path::new("filled")).unwrap();
            assert_eq!(settings.platform.reads_per_s, 2_000);
            assert_eq!(settings.platform.writes_per_s, 400);
            assert_eq!(settings.platform.url, "http://10.200.1.7:8742");
            assert_eq!(settings.limits.stop_grace_s, 8);
            assert_eq!(settings.peers.listen.port(), 7_200);
            assert_eq!(settings.peers.seed_addresses(), ["10.1.0.19:7200", "10.2.0.7:7200"]);
            let bounds = settings.platform.watch_bounds().unwrap();
            assert_eq!((bounds.configuration_ms, bounds.servers_ms), (4_000, 3_000));
        }
    )*};
}

spellings! {
    the_template_accepts_rates_with_underscores: "reads_per_s", "writes_per_s";
    the_template_accepts_rates_in_camel_case: "readsPerS", "writesPerS";
}

/// Runs a router with these settings until it ends by itself; returns its exit code and what it wrote to stderr.
fn run(name: &str, text: &str) -> (Option<i32>, String) {
    let file = std::env::temp_dir().join(format!("doorswitch-{name}-{}.yaml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_doorswitch"))
        .args(["router", "--settings"])
        .arg(&file)
        .output()
        .unwrap();
    std::fs::remove_file(&file).unwrap();
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

macro_rules! refused_settings {
    ($($name:ident: $text:expr, $field:expr, $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let (code, stderr) = run(stringify!($name), &$text);
            assert_eq!(code, Some(1), "not refused: {stderr}");
            assert_eq!(stderr.trim_end().lines().count(), 1, "not one line: {stderr}");
            assert!(
                stderr.contains($field) && stderr.contains($expected),
                "not the error: {stderr}"
            );
        }
    )*};
}

fn valid() -> String {
    fill(TEMPLATE, &fields("readsPerS", "writesPerS"))
}

refused_settings! {
    an_empty_rate_is_named: fill(TEMPLATE, &fields("reads", "writes")),
        "platform.reads_per_s", "expected u64";
    an_unknown_field_is_named: valid().replace("reads_per_s: 2000", "reads_a_second: 2000"),
        "reads_a_second", "reads_per_s";
    a_text_in_place_of_a_number_is_named: valid().replace("timeout_ms: 1000", "timeout_ms: soon"),
        "platform.timeout_ms", "expected u64";
    a_rate_out_of_range_is_named: valid().replace("reads_per_s: 2000", "reads_per_s: 0"),
        "platform.reads_per_s", "1 to 1000000";
    an_invalid_address_is_named: valid().replace("10.1.0.19:8740", "nowhere"),
        "gateway.listen", "socket address";
    invalid_yaml_is_refused_with_its_position: valid() + "limits: [",
        "line", "";
}
