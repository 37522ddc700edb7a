//! Command line and shutdown of the stand-ins' programs.

use std::{io, net};

/// Parses the command line and returns the address of `--listen`.
pub fn listen_address(program: &'static str, default: &'static str) -> net::SocketAddr {
    let listen = clap::Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .default_value(default)
        .value_parser(clap::value_parser!(net::SocketAddr))
        .help("The address to listen on (port 0: any free port)");
    let command = clap::Command::new(program).about("A stand-in for tests of doorswitch");
    let matches = command.arg(listen).get_matches();
    *matches.get_one("listen").expect("the argument has a default")
}

/// Blocks until Ctrl-C, so that the stand-in keeps running; an error if the signal cannot be awaited.
pub fn wait_for_stop() -> io::Result<()> {
    actix_web::rt::System::new().block_on(tokio::signal::ctrl_c())
}
