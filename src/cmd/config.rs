//! `doorswitch config`: shows the published configuration.

use super::{Error, OperatorError};
use crate::publish;

pub(super) fn command() -> clap::Command {
    let show = clap::Command::new("show")
        .about("Shows the published configuration and its version")
        .after_help("Example: doorswitch config show --format json")
        .arg(super::platform_arg())
        .arg(super::format_arg());
    clap::Command::new("config")
        .about("Shows the published configuration")
        .subcommand_required(true)
        .subcommand(show)
}

pub(super) fn run(matches: &clap::ArgMatches) -> Result<(), Error> {
    let Some(("show", matches)) = matches.subcommand() else { return Ok(()) };
    let current =
        super::block_on(async { publish::current(&super::platform_client(matches)).await })?;
    let published = current.published.ok_or(OperatorError::NothingPublished)?;
    if super::as_json(matches) {
        println!("{}", serde_json::to_string_pretty(&published)?);
        return Ok(());
    }
    let document = &published.document;
    println!("version {}", published.version);
    for workspace in &document.workspaces {
        let budgets: Vec<&str> =
            workspace.budgets.iter().map(|budget| budget.name.as_str()).collect();
        println!("workspace {:<20} budgets {}", workspace.name, budgets.join(", "));
    }
    for service in &document.services {
        println!("service   {:<20} policy {}", service.name, service.policy);
    }
    for policy in &document.policies {
        println!("policy    {:<20} {}", policy.name, policy.program.trim());
    }
    Ok(())
}
