//! Clients leave just when their requests have been admitted. The tokens that were reserved for these stay reserved
//! until the router's process ends: the tenant is told 402 although most of that part of its prepaid tokens is unspent.

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
const WAVES: u64 = 20;
/// The waves in which clients leave: 5 s.
const TROUBLED: std::ops::Range<u64> = 6..16;
/// Of 100 clients, and within half of the objective.
const LEAVING_PERCENT: u64 = 30;
const OBJECTIVE_MS: u64 = 100;
/// Prompt and most of the requests in waves, and of those after them.
const WAVE_TOKENS: (u64, u64) = (20, 4_000);
const LATER_TOKENS: (u64, u64) = (2_000, 100);
const LATER_REQUESTS: u64 = 800;
const PREPAID: u64 = 2_000_000;
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
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
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
fn call_in_wave(front: SocketAddr, id: &str, numbers: &mut Numbers, leaves: bool, record: &Record) -> u16 {
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
                    let leaves =
                        trouble() && TROUBLED.contains(&wave) && numbers.next(100) < LEAVING_PERCENT;
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
    // All runs have ended for longer than `settle_ms`.
    std::thread::sleep(Duration::from_secs(4));
    let in_waves = used(&engines);
    record.note(&format!(
        "after the waves: {in_waves} of {PREPAID} tokens used at the servers, {} runs open, answers {:?}, {} clients left",
        running(&engines),
        statuses.lock().unwrap(),
        left.load(Ordering::Relaxed)
    ));
    println!("after the waves: {in_waves} tokens used, answers {:?}, {} left", statuses.lock().unwrap(), left.load(Ordering::Relaxed));
    let mut numbers = Numbers(99);
    let (mut served, mut denied, mut other) = (0, 0, 0);
    let mut last_used = in_waves;
    for number in 0..LATER_REQUESTS {
        last_used = used(&engines);
        let most = LATER_TOKENS.0 + LATER_TOKENS.1;
        // Only requests that fit into 97 in 100 of what was paid are sent.
        if last_used + most > PREPAID / 100 * 97 || denied >= 100 {
            break;
        }
        let id = format!("l{number:06x}");
        let headers = headers(LATER_TOKENS, numbers.next(1 << 30) + 1);
        let request = client::Request {
            method: "POST",
            path: "/chat/ask",
            id: &id,
            key: Some("cafe-key"),
            deadline_ms: 6_000,
            headers: &headers,
            body: "question",
        };
        record.note(&format!("sent id={id} used={last_used} runs_open={}", running(&engines)));
        let answer = client::call(front, &request);
        record.note(&format!("answered id={id} {}", answer.text()));
        match answer.status() {
            200 => served += 1,
            402 => {
                denied += 1;
                std::thread::sleep(Duration::from_millis(50));
            }
            _ => other += 1,
        }
    }
    let all = CLIENTS * WAVES + served + denied + other;
    let allowed = 5 + all / 500;
    let summary = format!(
        "{served} later requests served, {denied} denied with 402, {other} other; {last_used} of {PREPAID} tokens used; {allowed} may be denied"
    );
    record.note(&summary);
    println!("{summary}");
    if denied > allowed {
        record.note(&format!("BROKEN DENIED {denied} requests with 402, {allowed} are allowed"));
    }
    let code = match (denied > allowed, served > 0) {
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
