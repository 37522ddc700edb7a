//! `doorswitch dump`: shows the complete state of routers.

use super::Error;

pub(super) fn command() -> clap::Command {
    clap::Command::new("dump")
        .about("Shows the complete state of each given router as JSON")
        .after_help(
            "The operators' key is read from DOORSWITCH_OPERATOR_KEY.\n\
             Example: doorswitch dump --router http://127.0.0.1:9001",
        )
        .arg(super::routers_arg())
}

pub(super) fn run(matches: &clap::ArgMatches) -> Result<(), Error> {
    let urls = matches.get_many::<String>("router").into_iter().flatten();
    for url in urls {
        let dump = super::block_on(super::fetch_dump(url))?;
        println!("{}", serde_json::to_string_pretty(&dump)?);
    }
    Ok(())
}
