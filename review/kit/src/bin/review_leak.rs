//! Clients leave just when their requests have been admitted. The tokens that were reserved for these stay reserved
//! until the router's process ends: after a final fault the tenant is refused for good, with tokens left.

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

const CLIENTS: u64 = 400;
/// Each client sends one request in each wave.
const WAVE: Duration = Duration::from_millis(500);
/// The waves: 5 s, in which clients leave.
const WAVES: u64 = 10;
/// Of 100 clients, and within half of the objective.
const LEAVING_PERCENT: u64 = 30;
const OBJECTIVE_MS: u64 = 100;
/// How long the processes are down at the final fault, and `recoveryS`.
const DOWN: Duration = Duration::from_millis(1_000);
const RECOVERY: Duration = Duration::from_secs(12);
/// Prompt and most of the few requests before the final fault, of those in waves, and of those after them.
const EARLY_TOKENS: (u64, u64) = (20, 100);
const WAVE_TOKENS: (u64, u64) = (20, 4_000);
const LATER_TOKENS: (u64, u64) = (9_000, 100);
const EARLY_REQUESTS: u64 = 40;
const MEASURED_REQUESTS: u64 = 16;
const PREPAID: u64 = 2_000_000;
/// The tenant has used this much when `recoveryS` has passed. All measured requests fit into the rest.
const USED_BEFORE: u64 = PREPAID / 100 * 88;
const ENGINES: usize = 7;
const SETTINGS: engine::Settings = engine::Settings {
    slots: 64,
    queue: 134,
    step: Duration::from_millis(6),
    stride: 3,
    read_per_ms: None,
    events: 3,
};

fn configuration() -> Vec<u8> {
    json!({
        "version": 3,
        "routes": [{
            "name": "chat", "host": client::HOST, "pathPrefix": "/chat/", "routeType": "streaming",
            "timeoutMs": 6_000, "targetLatencyMs": OBJECTIVE_MS, "targetGapMs": 300, "priority": 1,
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

/// A small generator of numbers with a fixed seed.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self, limit: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

fn headers(tokens: (u64, u64), own_part: u64) -> String {
    let (prompt, most) = tokens;
    format!(
        "Model: m\r\nToken-Count: {prompt},{most}\r\nPrompt-Prefix: 5c1e07a2:{},{own_part:x}:{}\r\n",
        prompt / 2,
        prompt - prompt / 2
    )
}

/// One client in one wave; returns the status, 0 if it left.
fn call_in_wave(
    front: SocketAddr,
    id: &str,
    numbers: &mut Numbers,
    leaves: bool,
    record: &Record,
) -> u16 {
    let headers = headers(WAVE_TOKENS, numbers.next(1 << 30) + 1);
    let body = "x".repeat(600);
    let request = client::Request {
        method: "POST",
        path: "/chat/ask",
        id,
        key: Some("cafe-key"),
        deadline_ms: 6_000,
        headers: &headers,
        body: &body,
    };
    let Ok(mut stream) = TcpStream::connect(front) else { return 0 };
    let _ = stream.set_nodelay(true);
    record.note(&format!("sent id={id}"));
    if !leaves {
        let answer = client::exchange(&mut stream, &request);
        record.note(&format!("answered id={id} {}", answer.text()));
        return answer.status();
    }
    let _ = stream.write_all(&request.bytes());
    let until = Instant::now() + Duration::from_micros(numbers.next(OBJECTIVE_MS / 2 * 1_000));
    let mut chunk = [0; 4096];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let _ = stream.set_read_timeout(Some(left));
        if matches!(stream.read(&mut chunk), Ok(0)) {
            break;
        }
    }
    record.note(&format!("left id={id}"));
    0
}

fn used(engines: &[engine::Engine]) -> u64 {
    engines.iter().map(|engine| engine.shared.tokens.load(Ordering::Relaxed)).sum()
}

fn running(engines: &[engine::Engine]) -> u64 {
    engines.iter().map(|engine| engine.shared.running.load(Ordering::Relaxed)).sum()
}

/// One request of a tenant's user that waits for its answer.
fn ask(
    front: SocketAddr,
    id: &str,
    tokens: (u64, u64),
    numbers: &mut Numbers,
    record: &Record,
) -> u16 {
    let headers = headers(tokens, numbers.next(1 << 30) + 1);
    let request = client::Request {
        method: "POST",
        path: "/chat/ask",
        id,
        key: Some("cafe-key"),
        deadline_ms: 6_000,
        headers: &headers,
        body: "question",
    };
    record.note(&format!("sent id={id}"));
    let answer = client::call(front, &request);
    record.note(&format!("answered id={id} {}", answer.text()));
    answer.status()
}

/// The tokens that the ledger in the platform's store counts as lost with processes that were killed.
fn written_off(fleet: &fleet::Fleet) -> u64 {
    let values =
        (0..256).filter_map(|shard| fleet.store.get(&format!("doorswitch/ledger/{shard}")));
    let budgets =
        values.filter_map(|value| serde_json::from_slice::<serde_json::Value>(&value).ok());
    budgets
        .filter_map(|shard| shard["budgets"]["cafe/prepaid"]["written_off_tokens"].as_u64())
        .sum()
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
    let mut numbers = Numbers(99);
    let early = (0..EARLY_REQUESTS)
        .filter(|number| {
            let id = format!("a{number:06x}");
            ask(front, &id, EARLY_TOKENS, &mut numbers, &record) == 200
        })
        .count() as u64;
    if trouble() {
        record.note("final fault: all processes of the system are killed");
        fleet.kill(0);
    }
    std::thread::sleep(DOWN);
    if trouble() {
        fleet.spawn(0, false);
        record.note("the processes are started again");
    }
    let back = Instant::now();
    let ready = fleet.wait_ready(0, Duration::from_secs(10));
    record.note(&format!("the router says that it is ready: {ready}"));
    std::thread::sleep((back + Duration::from_secs(3)).saturating_duration_since(Instant::now()));
    let statuses: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let left = Arc::new(AtomicU64::new(0));
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (statuses, left, record) = (statuses.clone(), left.clone(), record.clone());
            std::thread::spawn(move || {
                let mut numbers = Numbers(index * 7_919 + 13);
                for wave in 0..WAVES {
                    let starts = began + WAVE * wave as u32;
                    std::thread::sleep(starts.saturating_duration_since(Instant::now()));
                    let leaves = trouble() && numbers.next(100) < LEAVING_PERCENT;
                    let id = format!("w{wave:02x}{index:04x}");
                    let status = call_in_wave(front, &id, &mut numbers, leaves, &record);
                    match leaves {
                        true => {
                            left.fetch_add(1, Ordering::Relaxed);
                        }
                        false => *statuses.lock().unwrap().entry(status).or_default() += 1,
                    }
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_millis(500));
    let text = format!(
        "after the waves: {} of {PREPAID} tokens used at the servers, answers {:?}, {} clients left",
        used(&engines),
        statuses.lock().unwrap(),
        left.load(Ordering::Relaxed)
    );
    record.note(&text);
    println!("{text}");
    let (mut between, mut denied) = (0, 0);
    while used(&engines) < USED_BEFORE && denied < 20 {
        let id = format!("b{between:06x}");
        denied += u64::from(ask(front, &id, LATER_TOKENS, &mut numbers, &record) == 402);
        between += 1;
    }
    // The last run has ended for longer than `settle_ms`, and `recoveryS` has passed.
    let from = (back + RECOVERY).max(Instant::now() + Duration::from_secs(2));
    std::thread::sleep(from.saturating_duration_since(Instant::now()));
    let used_before = used(&engines);
    record.note(&format!(
        "recoveryS has passed; {used_before} of {PREPAID} tokens used, {} runs open, {} written off in the ledger",
        running(&engines),
        written_off(&fleet)
    ));
    let mut later: BTreeMap<u16, u64> = BTreeMap::new();
    let mut fitting = true;
    for number in 0..MEASURED_REQUESTS {
        let most = LATER_TOKENS.0 + LATER_TOKENS.1;
        fitting &= used(&engines) + written_off(&fleet) + most <= PREPAID / 100 * 97;
        let id = format!("c{number:06x}");
        *later.entry(ask(front, &id, LATER_TOKENS, &mut numbers, &record)).or_default() += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
    let served = later.get(&200).copied().unwrap_or(0);
    let summary = format!(
        "before the final fault {early} of {EARLY_REQUESTS} served; {} s after it {served} of {MEASURED_REQUESTS} ({later:?}), with {used_before} of {PREPAID} tokens used and {} written off; each fitted: {fitting}; the ready address says {:?}",
        RECOVERY.as_secs(),
        written_off(&fleet),
        fleet.ready(0),
    );
    record.note(&summary);
    println!("{summary}");
    let broken = served * 4 < MEASURED_REQUESTS;
    if broken && fitting {
        record.note("BROKEN RECOVER under a quarter is served");
    }
    let code = match (early * 4 >= EARLY_REQUESTS && fitting, broken) {
        (false, _) => 2,
        (true, true) => 1,
        (true, false) => 0,
    };
    exit_after(fleet, code);
}

/// Ends the routers, then this process.
fn exit_after(fleet: fleet::Fleet, code: i32) -> ! {
    drop(fleet);
    exit(code);
}
