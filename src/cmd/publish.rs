//! `doorswitch publish`: puts a configuration in force.

use super::Error;
use crate::{document, publish};
use doorswitch_core::config;
use std::collections;

pub(super) fn command() -> clap::Command {
    clap::Command::new("publish")
        .about("Checks a configuration and puts it in force everywhere")
        .after_help(
            "Shows what changes first. Without --base, the version published now is the base.\n\
             Example: doorswitch publish bursa.yaml --base 7",
        )
        .arg(super::file_arg("document", "The configuration document").required(true))
        .arg(super::platform_arg())
        .arg(
            clap::Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(clap::value_parser!(u64))
                .help("The version that the document was made from; another one is a conflict"),
        )
        .arg(super::operation_arg())
        .arg(
            clap::Arg::new("dry-run")
                .long("dry-run")
                .action(clap::ArgAction::SetTrue)
                .help("Checks and shows what would change, and changes nothing"),
        )
        .arg(super::format_arg())
}

pub(super) fn run(matches: &clap::ArgMatches) -> Result<(), Error> {
    let file = super::path(matches, "document");
    let operation = super::operation(matches);
    super::block_on(async {
        let platform = super::platform_client(matches);
        let current = publish::current(&platform).await?;
        let earlier = current.published.as_ref().map(|published| &published.document);
        let document = document::load(&file, earlier)?;
        let base = matches.get_one::<u64>("base").copied().unwrap_or(current.version());
        let changes = changes(earlier, &document);
        if matches.get_flag("dry-run") {
            return report(matches, None, &operation, &changes);
        }
        let version =
            publish::publish(&platform, &document, base, &operation, super::PATIENCE).await?;
        report(matches, Some(version), &operation, &changes)
    })
}

fn report(
    matches: &clap::ArgMatches,
    version: Option<u64>,
    operation: &str,
    changes: &[String],
) -> Result<(), Error> {
    if super::as_json(matches) {
        let report = serde_json::json!({
            "version": version, "operation": operation, "changes": changes
        });
        println!("{report}");
        return Ok(());
    }
    for change in changes {
        println!("{change}");
    }
    match version {
        Some(version) => println!("published version {version} (operation {operation})"),
        None => println!("nothing was published (--dry-run)"),
    }
    Ok(())
}

/// What changes between two documents, a line for each named thing.
fn changes(earlier: Option<&config::Document>, later: &config::Document) -> Vec<String> {
    let before = earlier.map(named).unwrap_or_default();
    let after = named(later);
    let names: collections::BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let change = |name: &String| match (before.get(name), after.get(name)) {
        (None, Some(_)) => Some(format!("+ {name}")),
        (Some(_), None) => Some(format!("- {name}")),
        (Some(one), Some(other)) if one != other => Some(format!("~ {name}: {one} -> {other}")),
        _ => None,
    };
    names.into_iter().filter_map(change).collect()
}

fn named(document: &config::Document) -> collections::BTreeMap<String, String> {
    let mut named = collections::BTreeMap::new();
    for workspace in &document.workspaces {
        let name = format!("workspace {}", workspace.name);
        let keys: Vec<&str> = workspace.keys.iter().map(|key| key.name.as_str()).collect();
        named.insert(name, format!("keys {}", keys.join(",")));
        for key in &workspace.keys {
            named.insert(format!("key {}.{}", workspace.name, key.name), key.sha256.clone());
        }
        for budget in &workspace.budgets {
            let name = config::budget_name(&workspace.name, &budget.name);
            named.insert(format!("budget {name}"), format!("{:?}", budget.cover()));
        }
    }
    for service in &document.services {
        named.insert(format!("service {}", service.name), format!("{service:?}"));
    }
    for policy in &document.policies {
        named.insert(format!("policy {}", policy.name), policy.program.clone());
    }
    named
}
