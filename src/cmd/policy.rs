//! `doorswitch policy`: runs a policy program offline.

use super::{Error, OperatorError};
use crate::{document, policy};

pub(super) fn command() -> clap::Command {
    let test = clap::Command::new("test")
        .about("Shows the decision of a document's policy for one request")
        .after_help(
            "Example: doorswitch policy test bursa.yaml --workspace kitchen --model roast-7b",
        )
        .arg(super::file_arg("document", "The configuration document").required(true))
        .arg(clap::Arg::new("workspace").long("workspace").required(true))
        .arg(clap::Arg::new("service").long("service").help("The name of a plain service"))
        .arg(clap::Arg::new("model").long("model").help("The name of a model"))
        .arg(clap::Arg::new("method").long("method").default_value("POST"))
        .arg(clap::Arg::new("path").long("path").default_value("/"))
        .arg(
            clap::Arg::new("max-tokens")
                .long("max-tokens")
                .default_value("256")
                .value_parser(clap::value_parser!(u64)),
        )
        .group(clap::ArgGroup::new("target").args(["service", "model"]).required(true));
    clap::Command::new("policy")
        .about("Tests policy programs")
        .subcommand_required(true)
        .subcommand(test)
}

pub(super) fn run(matches: &clap::ArgMatches) -> Result<(), Error> {
    let Some(("test", matches)) = matches.subcommand() else { return Ok(()) };
    let document = document::load(&super::path(matches, "document"), None)?;
    let model = super::text(matches, "model");
    let service = match model.is_empty() {
        true => document.service(&super::text(matches, "service")),
        false => document.service_of_model(&model),
    };
    let service = service.ok_or_else(|| OperatorError::NotDeclared {
        kind: "service",
        name: format!("{}{model}", super::text(matches, "service")),
    })?;
    let workspace = super::text(matches, "workspace");
    let declared = document.workspaces.iter().find(|candidate| candidate.name == workspace);
    let Some(declared) = declared else {
        return Err(OperatorError::NotDeclared { kind: "workspace", name: workspace }.into());
    };
    let max_tokens = matches.get_one::<u64>("max-tokens").copied().unwrap_or_default();
    let facts = policy::Facts {
        workspace,
        service: service.name.clone(),
        model,
        method: super::text(matches, "method"),
        path: super::text(matches, "path"),
        max_tokens,
        bound_tokens: max_tokens,
        workspace_priority: declared.priority,
        ..policy::Facts::default()
    };
    for policy in document.policies.iter().filter(|policy| policy.name == service.policy) {
        match policy::Program::compile(policy)?.decide(&facts)? {
            policy::Decision::Allow { budget, priority, classes } => {
                println!("allow: budget {budget}, priority {priority}, classes {classes:?}");
            }
            policy::Decision::Deny { reason } => println!("deny: {reason}"),
        }
    }
    Ok(())
}
