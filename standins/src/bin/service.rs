//! The plain service stand-in as a program of its own.

use doorswitch_standins::service;

fn main() -> std::io::Result<()> {
    let address = doorswitch_standins::cli::listen_address("service", "127.0.0.1:8700");
    let service = service::Service::start(address)?;
    println!("event=listening program=service address={}", service.address());
    doorswitch_standins::cli::wait_for_stop()
}
