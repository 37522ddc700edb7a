//! Parses the command line, runs the command and reports its failure.

use doorswitch::cmd;
use std::process;

fn main() -> process::ExitCode {
    let matches = cmd::command().get_matches();
    match cmd::run(&matches) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("doorswitch: {error}");
            process::ExitCode::from(error.exit_code())
        }
    }
}
