//! All routers are killed at once while a tenant spends steadily. What they had in hand is written off; the rest is used
//! up soon after, and then nothing is served, with tokens left that nobody has spent.

use review_kit::{Record, client, engine, fleet, trouble};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ROUTERS: usize = 3;
const CLIENTS: usize = 12;
/// Each client sends a request this often: 100 requests a second in all.
const EVERY: Duration = Duration::from_millis(120);
/// Prompt and most of a request: some 200,000 tokens a second in all.
const TOKENS: (u64, u64) = (2_000, 100);
const PREPAID: u64 = 7_000_000;
const BEFORE: Duration = Duration::from_secs(15);
/// The routers are killed at once and started again this much later.
const DOWN: Duration = Duration::from_millis(1_000);
/// `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);
const MEASURED: Duration = Duration::from_secs(5);
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
            "timeoutMs": 6_000, "targetLatencyMs": 500, "targetGapMs": 300, "priority": 1,
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

/// The answers to the requests that were sent in one part of the script, by status; 0 if there was none.
type Part = Arc<Mutex<BTreeMap<u16, u64>>>;

fn counts(part: &Part) -> (u64, u64) {
    let part = part.lock().unwrap();
    (part.get(&200).copied().unwrap_or(0), part.values().sum())
}

fn call(front: SocketAddr, number: u64, record: &Record) -> u16 {
    let (prompt, most) = TOKENS;
    let id = format!("a{number:06x}");
    let headers = format!(
        "Model: m\r\nToken-Count: {prompt},{most}\r\nPrompt-Prefix: 5c1e07a2:1000,{:x}:1000\r\n",
        number + 1
    );
    let request = client::Request {
        method: "POST",
        path: "/chat/ask",
        id: &id,
        key: Some("cafe-key"),
        deadline_ms: 6_000,
        headers: &headers,
        body: "question",
    };
    record.note(&format!("sent id={id} to={front}"));
    let answer = client::call(front, &request);
    record.note(&format!("answered id={id} {}", answer.text()));
    answer.status()
}

fn used(engines: &[engine::Engine]) -> u64 {
    engines.iter().map(|engine| engine.shared.tokens.load(Ordering::Relaxed)).sum()
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt")).unwrap();
    let mut fleet = fleet::Fleet::new(ROUTERS);
    let engines: Vec<engine::Engine> = (0..ENGINES)
        .map(|index| engine::Engine::start(&format!("e-{index}"), "llm", SETTINGS, &record))
        .collect();
    fleet.store.publish(&configuration());
    for engine in &engines {
        fleet.store.put(&format!("servers/{}", engine.id), &engine.entry("ready"));
    }
    fleet.spawn_all();
    if !(0..ROUTERS).all(|index| fleet.wait_ready(index, Duration::from_secs(20))) {
        record.note("could not run: a router is not ready");
        exit_after(fleet, 2);
    }
    std::thread::sleep(Duration::from_secs(5));
    record.note("traffic begins");
    let (before, between, after): (Part, Part, Part) = Default::default();
    // 0: before the final fault, 1: soon after it, 2: more than `recoveryS` after it.
    let phase = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(0));
    let fronts: Vec<SocketAddr> = fleet.routers.iter().map(|router| router.front).collect();
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let parts = [before.clone(), between.clone(), after.clone()];
            let (phase, stop, next) = (phase.clone(), stop.clone(), next.clone());
            let (record, fronts) = (record.clone(), fronts.clone());
            std::thread::spawn(move || {
                let offset = EVERY / CLIENTS as u32 * index as u32;
                for turn in 0_u32.. {
                    let starts = began + offset + EVERY * turn;
                    std::thread::sleep(starts.saturating_duration_since(Instant::now()));
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let part = &parts[phase.load(Ordering::Relaxed) as usize];
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let status = call(fronts[number as usize % fronts.len()], number, &record);
                    *part.lock().unwrap().entry(status).or_default() += 1;
                }
            })
        })
        .collect();
    std::thread::sleep(BEFORE);
    phase.store(1, Ordering::Relaxed);
    let used_before = used(&engines);
    if trouble() {
        record.note(&format!(
            "final fault: all processes of the system are killed; {used_before} tokens used"
        ));
        (0..ROUTERS).for_each(|index| fleet.kill(index));
    }
    std::thread::sleep(DOWN);
    if trouble() {
        (0..ROUTERS).for_each(|index| fleet.spawn(index, false));
        record.note("the processes are started again");
    }
    let back = Instant::now();
    let ready = (0..ROUTERS).all(|index| fleet.wait_ready(index, Duration::from_secs(10)));
    record.note(&format!("all routers say that they are ready: {ready}"));
    std::thread::sleep((back + RECOVERY).saturating_duration_since(Instant::now()));
    phase.store(2, Ordering::Relaxed);
    record.note(&format!("recoveryS has passed; {} of {PREPAID} tokens used", used(&engines)));
    std::thread::sleep(MEASURED);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    // Every measured request fitted, whatever ran beside it.
    let in_the_end = used(&engines);
    let fitting = in_the_end + CLIENTS as u64 * (TOKENS.0 + TOKENS.1) <= PREPAID / 100 * 97;
    let (before, between, after_counts) = (counts(&before), counts(&between), counts(&after));
    let summary = format!(
        "before the final fault {} of {} served ({used_before} tokens used); up to {} s after it {} of {}; later {} of {} ({:?}); {in_the_end} of {PREPAID} tokens used in the end; each fitted: {fitting}",
        before.0,
        before.1,
        RECOVERY.as_secs(),
        between.0,
        between.1,
        after_counts.0,
        after_counts.1,
        after.lock().unwrap(),
    );
    record.note(&summary);
    println!("{summary}");
    let broken = after_counts.0 * 4 < after_counts.1;
    if broken && fitting {
        record.note("BROKEN RECOVER under a quarter is served");
    }
    let code = match (before.0 * 4 >= before.1 && before.1 > 0 && fitting, broken) {
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
