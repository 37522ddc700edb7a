//! `doorswitch budget`: shows budgets and pays into them.

use super::{Error, OperatorError};
use crate::{platform, publish};
use doorswitch_core::{config, ledger, log_index};
use serde::Serialize;
use std::collections;

pub(super) fn command() -> clap::Command {
    let show = clap::Command::new("show")
        .about(
            "Shows the tokens of each budget that were paid, consumed and billed, and those left",
        )
        .after_help("Example: doorswitch budget show --format json")
        .arg(super::platform_arg())
        .arg(super::format_arg());
    let add = clap::Command::new("add")
        .about("Pays tokens into a budget, once for each operation id")
        .after_help("Example: doorswitch budget add kitchen main 500000 --operation invoice-417")
        .arg(clap::Arg::new("workspace").required(true))
        .arg(clap::Arg::new("budget").required(true))
        .arg(
            clap::Arg::new("tokens")
                .required(true)
                .value_parser(clap::value_parser!(u64).range(1..)),
        )
        .arg(super::operation_arg())
        .arg(super::platform_arg());
    let withheld = clap::Command::new("withheld")
        .about(
            "Shows the tokens withheld since the store was restored, and the routers that are awaited",
        )
        .after_help("Example: doorswitch budget withheld --router http://127.0.0.1:9001")
        .arg(super::routers_arg())
        .arg(super::format_arg());
    let release = clap::Command::new("release")
        .about(
            "Releases withheld tokens of a budget for spending, although they may have been spent",
        )
        .after_help(
            "The operators' key is read from DOORSWITCH_OPERATOR_KEY.\n\
             Example: doorswitch budget release kitchen main --router http://127.0.0.1:9001",
        )
        .arg(clap::Arg::new("workspace").required(true))
        .arg(clap::Arg::new("budget").required(true))
        .arg(
            clap::Arg::new("dry-run")
                .long("dry-run")
                .action(clap::ArgAction::SetTrue)
                .help("Only shows how many tokens would be released"),
        )
        .arg(super::routers_arg());
    clap::Command::new("budget")
        .about("Prepaid budgets")
        .subcommand_required(true)
        .subcommand(show)
        .subcommand(add)
        .subcommand(withheld)
        .subcommand(release)
}

pub(super) fn run(matches: &clap::ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("add", matches)) => add(matches),
        Some(("show", matches)) => show(matches),
        Some(("withheld", matches)) => withheld(matches),
        Some(("release", matches)) => release(matches),
        _ => Ok(()),
    }
}

/// The tokens and billed requests of one budget.
#[derive(Clone, Debug, Default, Serialize)]
struct Row {
    budget: String,
    paid_tokens: u64,
    remaining_tokens: u64,
    granted_tokens: u64,
    consumed_tokens: u64,
    billed_tokens: u64,
    billed_requests: u64,
    repeated_tokens: u64,
    written_off_tokens: u64,
    regions: collections::BTreeMap<String, log_index::Totals>,
}

fn add(matches: &clap::ArgMatches) -> Result<(), Error> {
    let (workspace, budget) = (super::text(matches, "workspace"), super::text(matches, "budget"));
    let tokens = matches.get_one::<u64>("tokens").copied().unwrap_or_default();
    let operation = super::operation(matches);
    let paid_tokens = super::block_on(async {
        let platform = super::platform_client(matches);
        publish::pay(&platform, &workspace, &budget, tokens, &operation, super::TIMEOUT).await
    })?;
    println!("{workspace}/{budget}: {paid_tokens} tokens paid in all (operation {operation})");
    Ok(())
}

fn show(matches: &clap::ArgMatches) -> Result<(), Error> {
    let rows = super::block_on(async { read(&super::platform_client(matches)).await })?;
    if super::as_json(matches) {
        println!("{}", serde_json::to_string_pretty(&rows)?);
        return Ok(());
    }
    println!(
        "{:<28} {:>12} {:>12} {:>12} {:>12} {:>12} {:>10} {:>11}",
        "BUDGET", "PAID", "UNDRAWN", "HELD", "CONSUMED", "BILLED", "REPEATED", "WRITTEN-OFF"
    );
    for row in rows {
        println!(
            "{:<28} {:>12} {:>12} {:>12} {:>12} {:>12} {:>10} {:>11}",
            row.budget,
            row.paid_tokens,
            row.remaining_tokens,
            row.granted_tokens,
            row.consumed_tokens,
            row.billed_tokens,
            row.repeated_tokens,
            row.written_off_tokens
        );
    }
    Ok(())
}

fn withheld(matches: &clap::ArgMatches) -> Result<(), Error> {
    let mut rows = Vec::new();
    for url in super::urls(matches) {
        let dump = super::block_on(super::fetch_dump(&url))?;
        for (budget, figures) in dump["budgets"].as_object().into_iter().flatten() {
            let withheld = &figures["withheld"];
            let tokens = |key: &str| withheld[key].as_u64().unwrap_or(0);
            if tokens("unconfirmed_tokens") + tokens("lost_tokens") > 0 {
                rows.push(serde_json::json!({
                    "router": url,
                    "budget": budget,
                    "unconfirmed_tokens": withheld["unconfirmed_tokens"],
                    "lost_tokens": withheld["lost_tokens"],
                    "awaited_routers": withheld["awaited_routers"],
                    "era_age_ms": dump["store_era_age_ms"],
                }));
            }
        }
    }
    if super::as_json(matches) {
        println!("{}", serde_json::to_string_pretty(&rows)?);
        return Ok(());
    }
    println!(
        "{:<28} {:<28} {:>12} {:>12} {:>8} AWAITED",
        "ROUTER", "BUDGET", "UNCONFIRMED", "LOST", "SINCE S"
    );
    for row in rows {
        let awaited = row["awaited_routers"].as_array().into_iter().flatten();
        let awaited: Vec<&str> = awaited.filter_map(serde_json::Value::as_str).collect();
        println!(
            "{:<28} {:<28} {:>12} {:>12} {:>8} {}",
            row["router"].as_str().unwrap_or("-"),
            row["budget"].as_str().unwrap_or("-"),
            row["unconfirmed_tokens"],
            row["lost_tokens"],
            row["era_age_ms"].as_u64().unwrap_or(0) / 1_000,
            awaited.join(",")
        );
    }
    Ok(())
}

fn release(matches: &clap::ArgMatches) -> Result<(), Error> {
    let (workspace, budget) = (super::text(matches, "workspace"), super::text(matches, "budget"));
    let dry_run = matches.get_flag("dry-run");
    let budget = config::budget_name(&workspace, &budget);
    let target = format!("/budget/release?budget={budget}&dry_run={dry_run}");
    for url in super::urls(matches) {
        let answer = super::block_on(super::post_to_router(&url, &target))?;
        let done = if dry_run { "would be released" } else { "released" };
        println!("{url}: {} tokens of {budget} {done}", answer["tokens"]);
    }
    Ok(())
}

async fn read(platform: &platform::Client) -> Result<Vec<Row>, Error> {
    let published = publish::current(platform).await?.published;
    let document = published.ok_or(OperatorError::NothingPublished)?.document;
    let mut rows = collections::BTreeMap::new();
    for workspace in &document.workspaces {
        for budget in &workspace.budgets {
            let name = config::budget_name(&workspace.name, &budget.name);
            rows.insert(name.clone(), Row { budget: name, ..Row::default() });
        }
    }
    for shard in 0..document.layout.ledger_shards {
        if let Some(entry) = platform.read(&ledger::key(shard)).await? {
            let shard = ledger::Shard::decode(&entry.value)?;
            for (name, budget) in &shard.budgets {
                let row = rows.entry(name.clone()).or_insert_with(Row::default);
                row.budget = name.clone();
                fill_from_ledger(row, budget);
            }
        }
    }
    for shard in 0..document.layout.log_shards {
        let index = read_log(platform, shard).await?;
        for (name, region, totals) in index.totals() {
            let row = rows.entry(name.to_owned()).or_insert_with(Row::default);
            fill_from_log(row, region, totals);
        }
    }
    Ok(rows.into_values().collect())
}

/// Reads the index of a log shard. The segments are read first, so that the checkpoint covers those that are deleted in
/// the meantime.
async fn read_log(platform: &platform::Client, shard: u32) -> Result<log_index::Index, Error> {
    let segments = platform.list(&log_index::prefix(shard)).await?;
    let checkpoint = platform.read(&log_index::checkpoint_key(shard)).await?;
    let (mut index, upto) = match checkpoint {
        Some(entry) => {
            let checkpoint = log_index::Checkpoint::decode(&entry.value)?;
            let upto = checkpoint.upto;
            (checkpoint.restore(), upto)
        }
        None => (log_index::Index::default(), 0),
    };
    for entry in segments {
        if log_index::segment_number(&entry.key)? >= upto {
            index.apply_segment(&log_index::Segment::decode(&entry.value)?);
        }
    }
    Ok(index)
}

fn fill_from_ledger(row: &mut Row, budget: &ledger::Budget) {
    row.paid_tokens = budget.paid_tokens;
    row.remaining_tokens = budget.remaining_tokens().unwrap_or(0);
    row.granted_tokens = budget.grants.values().map(|grant| grant.granted_tokens).sum();
    row.written_off_tokens = budget.written_off_tokens;
}

fn fill_from_log(row: &mut Row, region: &str, totals: &log_index::Totals) {
    row.consumed_tokens += totals.consumed_tokens();
    row.billed_tokens += totals.billed_tokens;
    row.billed_requests += totals.billed_requests;
    row.repeated_tokens += totals.repeated_tokens;
    let in_region = row.regions.entry(region.to_owned()).or_default();
    in_region.billed_tokens += totals.billed_tokens;
    in_region.billed_requests += totals.billed_requests;
    in_region.repeated_tokens += totals.repeated_tokens;
}
