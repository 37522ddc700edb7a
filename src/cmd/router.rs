//! `doorswitch router`: runs one router.

use super::Error;
use crate::{logging, router, settings};

pub(super) fn command() -> clap::Command {
    clap::Command::new("router")
        .about("Runs one router until SIGTERM or SIGINT starts a planned stop")
        .after_help("Example: doorswitch router --settings deploy/bursa/entry-1.yaml")
        .arg(super::file_arg("settings", "The router's settings").long("settings").required(true))
}

pub(super) fn run(matches: &clap::ArgMatches) -> Result<(), Error> {
    logging::start(logging::ROUTER_LEVELS);
    let file = super::path(matches, "settings");
    let settings = settings::Settings::load(&file)?;
    router::run(settings, Some(file), router::StopHandle::default())?;
    Ok(())
}
