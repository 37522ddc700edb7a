//! Peers, clients and operators that send bytes without end to a router. Guards against routers that keep them until their
//! memory is used up.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch::peers;
use doorswitch_core::{ids, message};
use fleet::{Fleet, Options};
use routes::{World, answers, request};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

/// The memory of the smallest VMs.
const MEMORY_BYTES_MAX: u64 = 110 << 20;
/// The number of connections at the same time.
const CONNECTIONS: usize = 12;
const SENDING_TIME: Duration = Duration::from_secs(3);

/// Sends a start and then a text without end on several connections, also after the router has closed one.
fn send_without_end(address: SocketAddr, start: &[u8], text: &[u8]) {
    let piece = text.repeat((64 << 10) / text.len());
    let until = Instant::now() + SENDING_TIME;
    let send = || {
        while Instant::now() < until {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
            let mut unread = stream.try_clone().unwrap();
            let reader = thread::spawn(move || {
                let mut received = [0; 4 << 10];
                while let Ok(1..) = unread.read(&mut received) {}
            });
            let mut sent = stream.write_all(start);
            while sent.is_ok() && Instant::now() < until {
                sent = stream.write_all(&piece);
            }
            // Fails if the router has closed the connection.
            let _ = stream.shutdown(Shutdown::Both);
            reader.join().unwrap();
        }
    };
    thread::scope(|scope| (0..CONNECTIONS).for_each(|_| drop(scope.spawn(send))));
}

fn check_memory(peak_bytes: u64) {
    eprintln!("peak memory: {} MiB", peak_bytes >> 20);
    assert!(peak_bytes < MEMORY_BYTES_MAX, "peak memory: {} MiB", peak_bytes >> 20);
}

/// Has a client served while `send` runs, and checks the router's memory.
fn check(name: &str, send: impl Fn(&World) + Sync) {
    let world = World::start(name, vec![answers("answer")]);
    thread::scope(|scope| {
        let sending = scope.spawn(|| send(&world));
        let mut number = 0;
        while !sending.is_finished() {
            let answer = world.call(0, &request("/read/x", &format!("sound-{number}")));
            assert_eq!(answer.status, 200, "{}", answer.text());
            thread::sleep(Duration::from_millis(100));
            number += 1;
        }
    });
    check_memory(world.peak_memory_bytes(0));
}

/// The same for the callers' interface.
fn check_callers(name: &str, start: &str, text: &str) {
    let options = Options { routers: 1, engines: 1, services: 0, ..Options::default() };
    let fleet = Fleet::start(name, options);
    thread::scope(|scope| {
        let address = fleet.routers[0].callers;
        let sending =
            scope.spawn(move || send_without_end(address, start.as_bytes(), text.as_bytes()));
        while !sending.is_finished() {
            let answer = fleet.complete(0, "hello", 2, false).unwrap();
            assert_eq!(answer.status, 200, "{}", answer.body);
            thread::sleep(Duration::from_millis(100));
        }
    });
    check_memory(fleet.peak_memory_bytes(0));
}

/// A frame between routers with its length.
fn frame() -> Vec<u8> {
    let envelope = message::Envelope {
        from: ids::Incarnation(1),
        to: ids::Incarnation(2),
        message: message::Message::StaleHolder { shard: 0 },
    };
    let body = peers::encode(&message::Frame::Message(envelope));
    let mut frame = u32::try_from(body.len()).unwrap().to_be_bytes().to_vec();
    frame.extend(body);
    frame
}

/// A chunk of a body.
fn chunk() -> String {
    format!("400\r\n{}\r\n", "a".repeat(1_024))
}

const CHUNKED: &str =
    "Host: cafe.test\r\nAuthorization: Bearer kitchen-key\r\nTransfer-Encoding: chunked\r\n\r\n";

macro_rules! clients {
    ($($name:ident: $address:ident, $start:expr, $text:expr;)*) => { $(
        #[test]
        fn $name() {
            check(stringify!($name), |world| {
                send_without_end(world.routers[0].$address, $start.as_bytes(), $text.as_bytes());
            });
        }
    )* };
}

clients! {
    endless_heads_of_clients_take_little_memory: clients, "GET /read/x HTTP/1.1\r\nA: ", "a";
    endless_bodies_of_clients_take_little_memory:
        clients, format!("POST /read/x HTTP/1.1\r\n{CHUNKED}"), chunk();
    endless_chunk_lines_of_clients_take_little_memory:
        clients, format!("POST /read/x HTTP/1.1\r\n{CHUNKED}"), "0";
    endless_heads_of_operators_take_little_memory: operators, "GET /dump HTTP/1.1\r\nA: ", "a";
    endless_bodies_of_operators_take_little_memory:
        operators, format!("POST /budget/release?budget=x HTTP/1.1\r\n{CHUNKED}"),
        chunk();
    endless_chunk_lines_of_operators_take_little_memory:
        operators, format!("POST /budget/release?budget=x HTTP/1.1\r\n{CHUNKED}"), "0";
}

macro_rules! callers {
    ($($name:ident: $start:expr, $text:expr;)*) => { $(
        #[test]
        fn $name() {
            check_callers(stringify!($name), &$start, &$text);
        }
    )* };
}

callers! {
    endless_heads_of_callers_take_little_memory: "GET /v1/models HTTP/1.1\r\nA: ", "a";
    endless_bodies_of_callers_take_little_memory:
        format!("POST /v1/chat/completions HTTP/1.1\r\n{CHUNKED}"),
        chunk();
    endless_chunk_lines_of_callers_take_little_memory:
        format!("POST /v1/chat/completions HTTP/1.1\r\n{CHUNKED}"), "0";
}

macro_rules! peers {
    ($($name:ident: $start:expr, $text:expr;)*) => { $(
        #[test]
        fn $name() {
            check(stringify!($name), |world| {
                send_without_end(world.peer_address(0), $start, $text);
            });
        }
    )* };
}

peers! {
    endless_bytes_of_peers_take_little_memory: b"", b"a";
    endless_empty_frames_of_peers_take_little_memory: b"", b"\0";
    endless_large_frames_of_peers_take_little_memory: &(4_u32 << 20).to_be_bytes(), b"a";
    endless_messages_of_peers_take_little_memory: b"", &frame();
}

#[test]
fn endless_datagrams_of_peers_take_little_memory() {
    check("endless-datagrams", |world| {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let until = Instant::now() + SENDING_TIME;
        while Instant::now() < until {
            // A full queue drops the datagram.
            let _ = socket.send_to(&[1; 8 << 10], world.peer_address(0));
        }
    });
}
