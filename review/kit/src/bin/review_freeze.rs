//! A router stands still while model servers have not begun their answers. Its clients give up meanwhile, the servers
//! run on. What the servers handed out is not charged.

use review_kit::{Record, client, engine, fleet, trouble};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ENGINES: usize = 5;
/// Requests that come at once, just before the router stands still.
const CLIENTS: u64 = 250;
/// Prompt and most of a request.
const TOKENS: (u64, u64) = (715, 300);
const PREPAID: u64 = 600_000;
const FREEZE: Duration = Duration::from_millis(4_000);
/// The first event of a stream, and each next one, is awaited for eight times the pause of the sheet (300 ms).
const GAP: Duration = Duration::from_millis(2_400);
const SETTINGS: engine::Settings = engine::Settings {
    slots: 64,
    queue: 134,
    step: Duration::from_millis(6),
    stride: 3,
    read_per_ms: Some(38.4),
    events: 90,
};

fn configuration() -> Vec<u8> {
    json!({
        "version": 3,
        "routes": [{
            "name": "note", "host": client::HOST, "pathPrefix": "/note/", "routeType": "streaming",
            "timeoutMs": 15_000, "targetLatencyMs": 400, "targetGapMs": 300, "priority": 2,
            "service": "llm", "maxAttempts": 1, "public": false, "sessionAffinity": true,
        }],
        "services": [{
            "name": "llm", "healthPath": "/health", "maxConnections": 360,
            "engine": { "slots": 64, "stride": 3 },
        }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
        },
        "tenants": [{ "name": "cafe", "apiKeys": ["cafe-key"], "priority": 1, "prepaid": PREPAID }],
    })
    .to_string()
    .into_bytes()
}

/// Sends a request and reads its stream until it ends, or nothing comes for [`GAP`]; returns the status, 0 if the client
/// gave up or the connection ended.
fn call(front: SocketAddr, id: &str, record: &Record) -> u16 {
    let own_part = u64::from_str_radix(&id[1..], 16).unwrap_or(1) + 1;
    let (prompt, most) = TOKENS;
    let headers = format!(
        "Model: m\r\nToken-Count: {prompt},{most}\r\nPrompt-Prefix: 91bd3f06:172,{own_part:x}:{}\r\n",
        prompt - 172
    );
    let body = "x".repeat(1_400);
    let request = client::Request {
        method: "POST",
        path: "/note/write",
        id,
        key: Some("cafe-key"),
        deadline_ms: 15_000,
        headers: &headers,
        body: &body,
    };
    let Ok(mut stream) = TcpStream::connect(front) else { return 0 };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(GAP));
    record.note(&format!("sent id={id}"));
    if stream.write_all(&request.bytes()).is_err() {
        return 0;
    }
    let mut received = Vec::new();
    let mut chunk = [0; 8192];
    let (status, cause) = loop {
        let status =
            String::from_utf8_lossy(received.get(9..12).unwrap_or_default()).parse().unwrap_or(0);
        if received.ends_with(b"0\r\n\r\n")
            || (status != 200 && received.windows(4).any(|w| w == b"\r\n\r\n"))
        {
            break (status, "whole");
        }
        match stream.read(&mut chunk) {
            Ok(0) => break (0, "closed by the router"),
            Ok(length) => received.extend_from_slice(&chunk[..length]),
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => break (0, "given up"),
        }
    };
    let events = received.windows(4).filter(|window| window == b"id: ").count();
    record.note(&format!("answered id={id} {status} events={events} {cause}"));
    status
}

fn used(engines: &[engine::Engine]) -> u64 {
    engines.iter().map(|engine| engine.shared.tokens.load(Ordering::Relaxed)).sum()
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt")).unwrap();
    let mut fleet = fleet::Fleet::new(1);
    let engines: Vec<engine::Engine> = (0..ENGINES)
        .map(|index| engine::Engine::start(&format!("e-{index}"), "llm", SETTINGS, &record))
        .collect();
    fleet.store.publish(&configuration());
    for engine in &engines {
        fleet.store.put(&format!("servers/{}", engine.id), &engine.entry("ready"));
    }
    fleet.spawn_all();
    if !fleet.wait_ready(0, Duration::from_secs(20)) {
        record.note("could not run: the router is not ready");
        exit_after(fleet, 2);
    }
    std::thread::sleep(Duration::from_secs(5));
    record.note("traffic begins");
    let front = fleet.routers[0].front;
    let next_id = Arc::new(AtomicU64::new(1));
    let statuses: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let start = |count: u64, rounds: u64| -> Vec<std::thread::JoinHandle<()>> {
        (0..count)
            .map(|_| {
                let (next_id, statuses, record) =
                    (next_id.clone(), statuses.clone(), record.clone());
                std::thread::spawn(move || {
                    for _ in 0..rounds {
                        let id = format!("a{:06x}", next_id.fetch_add(1, Ordering::Relaxed));
                        let status = call(front, &id, &record);
                        *statuses.lock().unwrap().entry(status).or_default() += 1;
                        if status == 402 {
                            std::thread::sleep(Duration::from_millis(100));
                        }
                    }
                })
            })
            .collect()
    };
    // A few requests first, so that nothing happens for the first time.
    start(10, 1).into_iter().for_each(|client| client.join().unwrap());
    let clients = start(CLIENTS, 1);
    std::thread::sleep(Duration::from_millis(150));
    if trouble() {
        record.note("the router stands still");
        fleet.signal(0, "STOP");
    }
    let began = Instant::now();
    while began.elapsed() < FREEZE {
        std::thread::sleep(Duration::from_millis(20));
    }
    if trouble() {
        fleet.signal(0, "CONT");
        record.note("the router goes on");
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    std::thread::sleep(Duration::from_secs(3));
    let text = format!(
        "after the burst: {} of {PREPAID} tokens used at the servers, answers {:?}",
        used(&engines),
        statuses.lock().unwrap()
    );
    record.note(&text);
    println!("{text}");
    // The tenant goes on until its tokens are used up.
    start(10, 60).into_iter().for_each(|client| client.join().unwrap());
    std::thread::sleep(Duration::from_secs(2));
    let all = used(&engines);
    let text = format!(
        "in the end: {all} of {PREPAID} tokens used at the servers, answers {:?}",
        statuses.lock().unwrap()
    );
    record.note(&text);
    println!("{text}");
    if all > PREPAID {
        record.note(&format!("BROKEN BUDGET {} tokens more than prepaid", all - PREPAID));
    }
    let denied = statuses.lock().unwrap().get(&402).copied().unwrap_or(0);
    let code = match (all > PREPAID, denied > 0) {
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
