//! Guards against a planned stop that cuts off answers which clients read slowly: the router must not end before the last
//! byte was taken, as long as the time for its stop allows.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::response;
use routes::{World, answers, long_deadline_request};
use std::io::Read;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// More than the buffers of the kernel hold.
const BODY_BYTES: usize = 12 << 20;
const CHUNK_BYTES: usize = 1 << 18;
/// Reads the body in some 4 s, of a time for the stop of 8 s.
const CHUNK_TIME: Duration = Duration::from_millis(85);

/// Reads an answer slowly, and returns the number of bytes.
fn read_slowly(mut stream: TcpStream) -> usize {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut total = 0;
    loop {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return total,
            Ok(bytes) => total += bytes,
        }
        thread::sleep(CHUNK_TIME);
    }
}

#[test]
fn a_planned_stop_lets_slow_readers_read_to_the_end() {
    let body = "x".repeat(BODY_BYTES);
    let mut world =
        World::start("slow-readers", vec![Box::new(move |_, _| vec![response("200 OK", &body)])]);
    let readers: Vec<_> = (0..2)
        .map(|number| {
            let stream = world.send(0, &long_deadline_request("/read/x", &format!("id-{number}")));
            thread::spawn(move || read_slowly(stream))
        })
        .collect();
    fleet::eventually("the server has answered", || world.backends[0].requests().len() == 2);
    thread::sleep(Duration::from_millis(300));
    world.signal(0, "TERM");
    for reader in readers {
        let bytes = reader.join().unwrap();
        assert!(bytes >= BODY_BYTES, "{bytes} of {BODY_BYTES} bytes arrived: {}", world.log(0));
    }
    assert!(world.wait_stopped(0));
}

/// A connection that waits for a request, or whose client never sends one, holds the stop up for no longer than before.
#[test]
fn idle_connections_hold_no_planned_stop_up() {
    let mut world = World::start("idle-stop", vec![answers("done")]);
    let _silent: Vec<TcpStream> =
        (0..3).map(|_| TcpStream::connect(world.routers[0].clients).unwrap()).collect();
    thread::sleep(Duration::from_millis(200));
    world.signal(0, "TERM");
    let stopping = Instant::now();
    assert!(world.wait_stopped(0));
    let took = stopping.elapsed();
    assert!(took < Duration::from_secs(4), "the stop took {took:?}");
}
