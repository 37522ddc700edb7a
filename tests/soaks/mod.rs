//! Runs a soak schedule with router processes of this build.

#![allow(clippy::unwrap_used, missing_docs, dead_code)]

use doorswitch_soak::{run, schedule};
use std::path::Path;

pub const ROUTERS: usize = 8;

/// Runs a schedule.
pub fn run(name: &str, seed: u64, schedule: &schedule::Schedule) -> run::Report {
    let options = run::Options {
        binary: env!("CARGO_BIN_EXE_doorswitch").into(),
        folder: Path::new(env!("CARGO_TARGET_TMPDIR")).join(name),
        routers: ROUTERS,
        net: [251 + (seed / 250 % 4) as u8, 1 + (seed % 250) as u8],
        seed,
    };
    run::run(&options, schedule).unwrap()
}

/// Runs a schedule and checks that no router ended by itself and that no answer violates the guarantees of the soak.
pub fn check_no_violations(name: &str, seed: u64, schedule: &schedule::Schedule) -> run::Report {
    let report = run(name, seed, schedule);
    let steps: Vec<String> = schedule.steps.iter().map(ToString::to_string).collect();
    assert!(report.ended.is_empty(), "routers that ended by themselves: {:?}", report.ended);
    assert!(
        report.violations.is_empty(),
        "{} violations, the first {:?}; {}",
        report.violations.len(),
        report.violations.first(),
        steps.join("\n")
    );
    report
}
