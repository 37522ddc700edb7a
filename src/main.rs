//! Parses the command line, runs the command and reports its failure.

use doorswitch::{cmd, logging};
use std::process;

fn main() -> process::ExitCode {
    let matches = cmd::command().get_matches();
    let result = cmd::run(&matches);
    logging::finish();
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("doorswitch: {error}");
            process::ExitCode::from(error.exit_code())
        }
    }
}
