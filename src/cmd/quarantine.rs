//! `doorswitch quarantine`: shows and releases requests and prompt parts that are quarantined because servers crashed
//! during them.

use super::Error;
use doorswitch_core::ids;
use serde_json::Value;

pub(super) fn command() -> clap::Command {
    let release = clap::Command::new("release")
        .about("Releases a request or prompt part from quarantine, at all routers that the given one reaches")
        .arg(
            clap::Arg::new("fingerprint")
                .value_name("FINGERPRINT")
                .required(true)
                .value_parser(clap::value_parser!(ids::Fingerprint))
                .help(
                    "The fingerprint in the output of `show` or in the log: 48 hexadecimal digits",
                ),
        )
        .arg(
            clap::Arg::new("dry-run")
                .long("dry-run")
                .action(clap::ArgAction::SetTrue)
                .help("Only shows whether a crash counts against it"),
        );
    let show = clap::Command::new("show")
        .about("Shows the quarantined requests and prompt parts and the time left");
    clap::Command::new("quarantine")
        .about(
            "Shows and releases requests and prompt parts that are quarantined, because servers crashed during them",
        )
        .after_help(
            "The operators' key is read from DOORSWITCH_OPERATOR_KEY.\n\
             Example: doorswitch quarantine show --router http://127.0.0.1:9001",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(show.arg(super::routers_arg()).arg(super::format_arg()))
        .subcommand(release.arg(super::routers_arg()))
}

pub(super) fn run(matches: &clap::ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("show", matches)) => show(matches),
        Some(("release", matches)) => release(matches),
        // clap rejects all other names.
        _ => Ok(()),
    }
}

fn show(matches: &clap::ArgMatches) -> Result<(), Error> {
    let mut rows = Vec::new();
    for url in super::urls(matches) {
        let dump = super::block_on(super::fetch_dump(&url))?;
        for entry in dump["quarantine"]["quarantined"].as_array().into_iter().flatten() {
            rows.push(serde_json::json!({
                "router": url, "kind": entry["kind"], "fingerprint": entry["request"], "left_ms": entry["left_ms"],
            }));
        }
    }
    if super::as_json(matches) {
        println!("{}", serde_json::to_string_pretty(&rows)?);
        return Ok(());
    }
    println!("{:<28} {:<8} {:<48} {:>8}", "ROUTER", "KIND", "FINGERPRINT", "LEFT S");
    for row in rows {
        let text = |key: &str| row[key].as_str().unwrap_or("-").to_owned();
        let left_s = row["left_ms"].as_u64().unwrap_or(0) / 1_000;
        println!(
            "{:<28} {:<8} {:<48} {:>8}",
            text("router"),
            text("kind"),
            text("fingerprint"),
            left_s
        );
    }
    Ok(())
}

fn release(matches: &clap::ArgMatches) -> Result<(), Error> {
    let Some(request) = matches.get_one::<ids::Fingerprint>("fingerprint") else { return Ok(()) };
    let dry_run = matches.get_flag("dry-run");
    let query = format!("/quarantine/release?fingerprint={request}&dry_run={dry_run}");
    let mut any_crashes = false;
    for url in super::urls(matches) {
        let answer: Value = super::block_on(super::post_to_router(&url, &query))?;
        let crashes = answer["crashes"].as_u64().unwrap_or(0);
        let done = match (crashes, dry_run) {
            // An earlier router of the list may have passed the release on to this one.
            (0, _) => "nothing to release",
            (_, true) => "would be released",
            (_, false) => "released",
        };
        println!("{url}: {done}; {crashes} crashes counted");
        any_crashes |= crashes > 0;
    }
    let request = *request;
    snafu::ensure!(any_crashes, super::NotQuarantinedSnafu { request });
    Ok(())
}
