//! The model engine stand-in as a program of its own.

use doorswitch_standins::engine;

fn main() -> std::io::Result<()> {
    let address = doorswitch_standins::cli::listen_address("engine", "127.0.0.1:8600");
    let engine = engine::Engine::start(address, engine::Mode::default())?;
    println!("event=listening program=engine address={}", engine.address());
    doorswitch_standins::cli::wait_for_stop()
}
