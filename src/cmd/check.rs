//! `doorswitch check`: checks settings and configurations, offline.

use super::Error;
use crate::{document, settings};
use std::path::PathBuf;

pub(super) fn command() -> clap::Command {
    clap::Command::new("check")
        .about("Checks settings files and configuration documents, without calling anything")
        .after_help("Example: doorswitch check --settings entry-1.yaml --config bursa.yaml")
        .arg(many("settings", "A router's settings"))
        .arg(many("config", "A configuration document"))
        .group(
            clap::ArgGroup::new("files").args(["settings", "config"]).required(true).multiple(true),
        )
}

pub(super) fn run(matches: &clap::ArgMatches) -> Result<(), Error> {
    for file in matches.get_many::<PathBuf>("settings").into_iter().flatten() {
        settings::Settings::load(file)?;
        println!("{}: settings are good", file.display());
    }
    for file in matches.get_many::<PathBuf>("config").into_iter().flatten() {
        document::load(file, None)?;
        println!("{}: configuration is good", file.display());
    }
    Ok(())
}

fn many(name: &'static str, help: &'static str) -> clap::Arg {
    super::file_arg(name, help).long(name).num_args(1..).action(clap::ArgAction::Append)
}
