//! The platform stand-in as a program of its own.

use doorswitch_standins::platform;

fn main() -> std::io::Result<()> {
    let address = doorswitch_standins::cli::listen_address("platform", "127.0.0.1:8500");
    let platform = platform::Platform::start(address)?;
    println!("event=listening program=platform address={}", platform.address());
    doorswitch_standins::cli::wait_for_stop()
}
