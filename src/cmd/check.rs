//! `doorswitch check`: checks settings and configuration documents offline.

use super::Error;
use crate::{document, settings};
use std::path::PathBuf;

pub(super) fn command() -> clap::Command {
    clap::Command::new("check")
        .about("Checks settings files and configuration documents, without any network call")
        .after_help("Example: doorswitch check --settings entry-1.yaml --config bursa.yaml")
        .arg(files_arg("settings", "A router's settings"))
        .arg(files_arg("config", "A configuration document"))
        .group(
            clap::ArgGroup::new("files").args(["settings", "config"]).required(true).multiple(true),
        )
}

pub(super) fn run(matches: &clap::ArgMatches) -> Result<(), Error> {
    for file in matches.get_many::<PathBuf>("settings").into_iter().flatten() {
        settings::Settings::load(file)?;
        println!("{}: the settings are valid", file.display());
    }
    for file in matches.get_many::<PathBuf>("config").into_iter().flatten() {
        document::load(file, None)?;
        println!("{}: the configuration is valid", file.display());
    }
    Ok(())
}

fn files_arg(name: &'static str, help: &'static str) -> clap::Arg {
    super::file_arg(name, help).long(name).num_args(1..).action(clap::ArgAction::Append)
}
