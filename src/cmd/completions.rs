//! `doorswitch completions`: writes completion scripts for shells.

use super::Error;

pub(super) fn command() -> clap::Command {
    clap::Command::new("completions")
        .about("Writes a completion script for a shell")
        .after_help("Example: doorswitch completions bash > doorswitch.bash")
        .arg(
            clap::Arg::new("shell")
                .required(true)
                .value_parser(clap::value_parser!(clap_complete::Shell)),
        )
}

pub(super) fn run(matches: &clap::ArgMatches) -> Result<(), Error> {
    if let Some(shell) = matches.get_one::<clap_complete::Shell>("shell").copied() {
        let mut command = super::command();
        clap_complete::generate(shell, &mut command, "doorswitch", &mut std::io::stdout());
    }
    Ok(())
}
