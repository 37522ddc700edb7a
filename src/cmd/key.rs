//! `doorswitch key`: shows the digest of a key for configurations.

use super::{Error, OperatorError};
use crate::auth;
use snafu::ResultExt;

pub(super) fn command() -> clap::Command {
    clap::Command::new("key")
        .about("Reads a key from standard input and shows its digest for the configuration")
        .after_help("Example: doorswitch key < kitchen.key")
}

pub(super) fn run(_: &clap::ArgMatches) -> Result<(), Error> {
    let key = std::io::read_to_string(std::io::stdin()).context(super::InputSnafu);
    let key = key.map_err(|source: OperatorError| Error::Operator { source })?;
    println!("{}", auth::digest_hex(key.trim()));
    Ok(())
}
