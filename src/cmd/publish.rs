//! `doorswitch publish`: publishes a configuration.

use super::Error;
use crate::{document, publish};
use doorswitch_core::config;
use std::collections;

pub(super) fn command() -> clap::Command {
    clap::Command::new("publish")
        .about("Checks a configuration and publishes it to all routers")
        .after_help(
            "Shows the changes first. Without --base, the version published now is the base.\n\
             Example: doorswitch publish bursa.yaml --base 7",
        )
        .arg(super::file_arg("document", "The configuration document").required(true))
        .arg(super::platform_arg())
        .arg(
            clap::Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(clap::value_parser!(u64))
                .help("The version that the document was made from; it is a conflict if another one is published"),
        )
        .arg(super::operation_arg())
        .arg(
            clap::Arg::new("dry-run")
                .long("dry-run")
                .action(clap::ArgAction::SetTrue)
                .help("Only checks the configuration and shows the changes"),
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
            publish::publish(&platform, &document, base, &operation, super::TIMEOUT).await?;
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

/// The changes between two documents, a line for each named item.
fn changes(earlier: Option<&config::Document>, later: &config::Document) -> Vec<String> {
    let before = earlier.map(named_items).unwrap_or_default();
    let after = named_items(later);
    let names: collections::BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let change = |name: &String| match (before.get(name), after.get(name)) {
        (None, Some(_)) => Some(format!("+ {name}")),
        (Some(_), None) => Some(format!("- {name}")),
        (Some(old), Some(new)) if old != new => Some(format!("~ {name}: {old} -> {new}")),
        _ => None,
    };
    names.into_iter().filter_map(change).collect()
}

/// The text of each item of a document, by its kind and name.
fn named_items(document: &config::Document) -> collections::BTreeMap<String, String> {
    let mut items = collections::BTreeMap::new();
    for workspace in &document.workspaces {
        let name = format!("workspace {}", workspace.name);
        let keys: Vec<&str> = workspace.keys.iter().map(|key| key.name.as_str()).collect();
        items.insert(name, format!("keys {}", keys.join(",")));
        for key in &workspace.keys {
            items.insert(format!("key {}.{}", workspace.name, key.name), key.sha256.clone());
        }
        for budget in &workspace.budgets {
            let name = config::budget_name(&workspace.name, &budget.name);
            items.insert(format!("budget {name}"), format!("{:?}", budget.cover()));
        }
    }
    for service in &document.services {
        items.insert(format!("service {}", service.name), format!("{service:?}"));
    }
    for policy in &document.policies {
        items.insert(format!("policy {}", policy.name), policy.program.clone());
    }
    items
}
