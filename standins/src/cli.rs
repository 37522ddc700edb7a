//! What the stand-ins' programs share: an address to listen on, and an end.

use std::{io, net};

/// Reads `--listen` from the command line.
pub fn listen_address(program: &'static str, default: &'static str) -> net::SocketAddr {
    let listen = clap::Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .default_value(default)
        .value_parser(clap::value_parser!(net::SocketAddr))
        .help("Where to listen (port 0: any free port)");
    let command = clap::Command::new(program).about("A stand-in for tests of doorswitch");
    let matches = command.arg(listen).get_matches();
    *matches.get_one("listen").expect("the argument has a default")
}

/// Blocks until Ctrl-C.
pub fn wait_for_stop() -> io::Result<()> {
    actix_web::rt::System::new().block_on(tokio::signal::ctrl_c())
}
