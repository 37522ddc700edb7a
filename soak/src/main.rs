//! Runs real routers under random faults: `doorswitch-soak --binary target/release/doorswitch --seed 0 --seeds 50`.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use doorswitch_soak::{observe, run, schedule};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let arg = Arg::new(name).long(name).default_value(default).help(help);
        arg.value_parser(value_parser!(u64))
    };
    Command::new("doorswitch-soak")
        .about("Runs real routers under faults drawn from a seed")
        .arg(
            Arg::new("binary")
                .long("binary")
                .default_value("target/release/doorswitch")
                .value_parser(value_parser!(PathBuf))
                .help("The router program"),
        )
        .arg(number("seed", "0", "The first seed"))
        .arg(number("seeds", "1", "Number of consecutive seeds"))
        .arg(number("jobs", "1", "Number of fleets at the same time"))
        .arg(number("routers", "8", "Number of routers per fleet"))
        .arg(number("for", "20", "Seconds over which faults begin"))
        .arg(
            Arg::new("writers")
                .long("writers")
                .action(ArgAction::SetTrue)
                .help("Add actions of other writers and of a server"),
        )
        .arg(
            Arg::new("restores")
                .long("restores")
                .action(ArgAction::SetTrue)
                .help("Add restores of the store from backups"),
        )
        .arg(
            Arg::new("cuts")
                .long("cuts")
                .action(ArgAction::SetTrue)
                .help("Add cuts between routers and servers"),
        )
        .arg(
            Arg::new("partitions")
                .long("partitions")
                .action(ArgAction::SetTrue)
                .help("Add cuts of routers from the store and from other routers, beside releases"),
        )
        .arg(Arg::new("named").long("named").help("Run a predefined schedule"))
        .arg(
            Arg::new("only")
                .long("only")
                .value_delimiter(',')
                .value_parser(value_parser!(usize))
                .help("Run only the steps with these numbers"),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf))
                .help("Folder for settings and logs"),
        )
}

fn number(matches: &ArgMatches, name: &str) -> u64 {
    matches.get_one(name).copied().unwrap_or_default()
}

fn path(matches: &ArgMatches, name: &str) -> PathBuf {
    matches.get_one::<PathBuf>(name).cloned().unwrap_or_default()
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let first = number(&matches, "seed");
    let next = AtomicU64::new(first);
    let failed_seeds = AtomicU64::new(0);
    let last = first + number(&matches, "seeds");
    thread::scope(|scope| {
        for job in 0..number(&matches, "jobs") {
            let (matches, next, failed_seeds) = (&matches, &next, &failed_seeds);
            scope.spawn(move || {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= last {
                        return;
                    }
                    if !run_seed(matches, seed, job) {
                        failed_seeds.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let failed_seeds = failed_seeds.into_inner();
    println!("event=soak_ended seeds={} broken={failed_seeds}", last - first);
    ExitCode::from(u8::from(failed_seeds > 0))
}

/// Runs one seed. Returns whether all guarantees held.
fn run_seed(matches: &ArgMatches, seed: u64, job: u64) -> bool {
    let routers = number(matches, "routers") as usize;
    let named = matches.get_one::<String>("named");
    let named = named.and_then(|name| schedule::Schedule::named(name, routers));
    let mut schedule = named.unwrap_or_else(|| {
        schedule::Schedule::generate(seed, routers, number(matches, "for") * 1_000)
    });
    if matches.get_flag("writers") {
        schedule = schedule.with_writers(seed, number(matches, "for") * 1_000);
    }
    if matches.get_flag("restores") {
        schedule = schedule.with_restores(seed, number(matches, "for") * 1_000);
    }
    if matches.get_flag("cuts") {
        schedule = schedule.with_server_cuts(seed, routers, number(matches, "for") * 1_000);
    }
    if matches.get_flag("partitions") {
        schedule = schedule.with_partitions(seed, routers, number(matches, "for") * 1_000);
    }
    if let Some(only) = matches.get_many::<usize>("only") {
        schedule = schedule.only(&only.copied().collect::<Vec<_>>());
    }
    let process = 1 + (std::process::id() % 250) as u8;
    let options = run::Options {
        binary: path(matches, "binary"),
        folder: path(matches, "folder").join(format!("seed-{seed}")),
        routers,
        net: [process, 1 + job as u8],
        seed,
    };
    match run::run(&options, &schedule) {
        Ok(report) => print_report(seed, &schedule, &report),
        Err(error) => {
            println!("event=soak_failed seed={seed} fault={error}");
            false
        }
    }
}

/// Prints the results of a run. Returns whether all guarantees held.
fn print_report(seed: u64, schedule: &schedule::Schedule, report: &run::Report) -> bool {
    let sound = report.violations.is_empty() && report.ended.is_empty();
    let verdict = if sound { "sound" } else { "broken" };
    let mut lines = vec![format!(
        "event=soak_seed seed={seed} verdict={verdict} violations={} ended={:?} answers={:?} {} parts: {} {} {} {} {}",
        report.violations.len(),
        report.ended,
        report.statuses,
        report.poison,
        report.poison_parts,
        report.limited,
        report.directives,
        report.versions,
        report.late_copies,
    )];
    if let Some(partitions) = &report.partitions {
        lines[0] = format!("{} {partitions}", lines[0]);
    }
    if !sound {
        lines.extend(schedule.steps.iter().map(ToString::to_string));
        lines.extend(summaries(report));
    }
    println!("{}", lines.join("\n"));
    sound
}

/// One line for each combination of a violated guarantee and a router.
fn summaries(report: &run::Report) -> Vec<String> {
    let mut groups: BTreeMap<(observe::ViolationKind, usize), Vec<&observe::Violation>> =
        BTreeMap::new();
    for violation in &report.violations {
        let key = (violation.kind, violation.answer.router);
        groups.entry(key).or_default().push(violation);
    }
    let line = |kind: observe::ViolationKind, router: usize, group: &[&observe::Violation]| {
        let ms = |violation: &observe::Violation| {
            violation.answer.sent.saturating_duration_since(report.began).as_millis()
        };
        let (first, last) = (group.first()?, group.last()?);
        Some(format!(
            "broken={kind} router={router} answers={} first_ms={} last_ms={} version={} status={:?} \
             after_ack_ms={} after_harm_ms={}",
            group.len(),
            ms(first),
            ms(last),
            first.answer.version,
            first.answer.status,
            first.after_ack.as_millis(),
            first.after_fault.as_millis(),
        ))
    };
    groups.iter().filter_map(|((kind, router), group)| line(*kind, *router, group)).collect()
}
