//! A router is stopped as planned while clients read their answers slowly. It ends long before its grace is over, and
//! cuts the answers off.

use review_kit::{Head, Record, client, fleet, head_end, server, trouble};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ROUTERS: usize = 2;
const CLIENTS: usize = 2;
const ANSWER_BYTES: usize = 12 << 20;
/// A client reads this much at a time, and then rests.
const READ_BYTES: usize = 64 << 10;
const READ_EVERY: Duration = Duration::from_millis(36);
const RECEIVE_BUFFER: usize = 64 << 10;
/// `graceS`.
const GRACE: Duration = Duration::from_secs(8);
const SETTINGS: server::Settings = server::Settings {
    slots: 6,
    queue: 24,
    work: Duration::from_millis(30),
    answer_bytes: ANSWER_BYTES,
};

fn configuration() -> Vec<u8> {
    json!({
        "version": 3,
        "routes": [{
            "name": "export", "host": client::HOST, "pathPrefix": "/export/", "routeType": "idempotent",
            "timeoutMs": 30_000, "targetLatencyMs": 500, "priority": 1, "service": "app",
            "maxAttempts": 1, "public": false,
        }],
        "services": [{ "name": "app", "healthPath": "/health", "maxConnections": 110 }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
        "tenants": [{ "name": "cafe", "apiKeys": ["cafe-key"], "priority": 1, "prepaid": 1_000_000 }],
    })
    .to_string()
    .into_bytes()
}

/// How one client's request ended.
#[derive(Clone, Copy, Debug)]
struct End {
    status: u16,
    received: usize,
    announced: usize,
    took: Duration,
}

impl End {
    fn whole(self) -> bool {
        self.status == 200 && self.announced > 0 && self.received == self.announced
    }
}

/// Connects with a small receive buffer, so that what is unread stays with the sender.
fn connect(front: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.connect(&front.into())?;
    Ok(socket.into())
}

fn call(front: SocketAddr, id: &str, record: &Record) -> Option<End> {
    let request = client::Request {
        method: "GET",
        path: "/export/day",
        id,
        key: Some("cafe-key"),
        deadline_ms: 30_000,
        headers: "",
        body: "",
    };
    let mut stream = connect(front).ok()?;
    let began = Instant::now();
    record.note(&format!("sent id={id}"));
    stream.write_all(&request.bytes()).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let mut head_bytes = Vec::new();
    let mut chunk = vec![0; READ_BYTES];
    let mut end = End { status: 0, received: 0, announced: 0, took: Duration::ZERO };
    loop {
        let length = match stream.read(&mut chunk) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => continue,
            Err(error) => {
                record.note(&format!("id={id} the connection failed: {error}"));
                break;
            }
        };
        if end.status == 0 {
            head_bytes.extend_from_slice(&chunk[..length]);
            if let Some(at) = head_end(&head_bytes) {
                let head = Head::parse(&head_bytes[..at]);
                end.status = head.status();
                end.announced = head.length().unwrap_or(0);
                end.received = head_bytes.len() - at;
                record.note(&format!("id={id} head {} of {} bytes", end.status, end.announced));
            }
        } else {
            end.received += length;
        }
        if end.announced > 0 && end.received >= end.announced {
            break;
        }
        std::thread::sleep(READ_EVERY.mul_f64(length as f64 / READ_BYTES as f64));
    }
    end.took = began.elapsed();
    record.note(&format!("ended id={id} whole={} {end:?}", end.whole()));
    Some(end)
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt")).unwrap();
    let mut fleet = fleet::Fleet::new(ROUTERS);
    let servers: Vec<server::Server> = (0..4)
        .map(|index| server::Server::start(&format!("i-{index}"), "app", SETTINGS, None, &record))
        .collect();
    fleet.store.publish(&configuration());
    for server in &servers {
        fleet.store.put(&format!("servers/{}", server.id), &server.entry("ready"));
    }
    fleet.spawn_all();
    if !(0..ROUTERS).all(|index| fleet.wait_ready(index, Duration::from_secs(20))) {
        record.note("could not run: a router is not ready");
        exit_after(fleet, 2);
    }
    std::thread::sleep(Duration::from_secs(5));
    record.note("traffic begins");
    let front = fleet.routers[0].front;
    let ends: Arc<Mutex<Vec<Option<End>>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (ends, record) = (ends.clone(), record.clone());
            std::thread::spawn(move || {
                let end = call(front, &format!("e{index:04x}"), &record);
                ends.lock().unwrap().push(end);
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    let mut ended_after = None;
    if trouble() {
        record.note("SIGTERM");
        fleet.signal(0, "TERM");
        let began = Instant::now();
        while began.elapsed() < GRACE {
            let child = fleet.routers[0].child.as_mut().unwrap();
            if let Ok(Some(status)) = child.try_wait() {
                ended_after = Some(began.elapsed());
                record.note(&format!("the router has ended by itself: {status}"));
                break;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        // SIGKILL follows after `graceS`.
        fleet.kill(0);
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    let ends = ends.lock().unwrap();
    let whole = ends.iter().flatten().filter(|end| end.whole()).count();
    let cut: Vec<&End> =
        ends.iter().flatten().filter(|end| end.status == 200 && !end.whole()).collect();
    let summary = format!(
        "{whole} of {CLIENTS} answers whole, {} cut off; the router ended after {ended_after:?}; {:?}",
        cut.len(),
        ends.iter().flatten().map(|end| (end.received, end.took)).collect::<Vec<_>>()
    );
    record.note(&summary);
    println!("{summary}");
    // Only answers that were cut before the grace was over count.
    let broken = cut.iter().any(|end| end.took < GRACE);
    if broken {
        record
            .note("BROKEN LOST a connection closed with no complete answer during a planned stop");
    }
    let code = match (broken, whole + cut.len() == CLIENTS) {
        (true, _) => 1,
        (false, true) => 0,
        (false, false) => 2,
    };
    exit_after(fleet, code);
}

/// Ends the routers, then this process.
fn exit_after(fleet: fleet::Fleet, code: i32) -> ! {
    drop(fleet);
    exit(code);
}
