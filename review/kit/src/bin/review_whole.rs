//! The operator adds a route whose answers come whole, to a service of model servers. What the servers hand out there is
//! not charged.

use review_kit::{Record, client, engine, fleet, trouble};
use serde_json::json;
use std::collections::BTreeMap;
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const ENGINES: usize = 2;
const CLIENTS: usize = 10;
const REQUESTS: usize = 30;
/// Prompt and most of a request.
const TOKENS: (u64, u64) = (20, 300);
const PREPAID: u64 = 50_000;
const SETTINGS: engine::Settings = engine::Settings {
    slots: 64,
    queue: 134,
    step: Duration::from_millis(2),
    stride: 3,
    read_per_ms: None,
    events: 80,
};

fn configuration(version: u64, with_new_route: bool) -> Vec<u8> {
    let route = |name: &str, kind: &str| {
        json!({
            "name": name, "host": client::HOST, "pathPrefix": format!("/{name}/"), "routeType": kind,
            "timeoutMs": 6_000, "targetLatencyMs": 600, "targetGapMs": 300, "priority": 1,
            "service": "llm", "maxAttempts": 1, "public": false, "sessionAffinity": true,
        })
    };
    let mut routes = vec![route("note", "streaming")];
    if with_new_route {
        routes.push(route("ask", "non_idempotent"));
    }
    json!({
        "version": version,
        "routes": routes,
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

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt")).unwrap();
    let mut fleet = fleet::Fleet::new(1);
    let engines: Vec<engine::Engine> = (0..ENGINES)
        .map(|index| engine::Engine::start(&format!("e-{index}"), "llm", SETTINGS, &record))
        .collect();
    fleet.store.publish(&configuration(3, false));
    for engine in &engines {
        fleet.store.put(&format!("servers/{}", engine.id), &engine.entry("ready"));
    }
    fleet.spawn_all();
    if !fleet.wait_ready(0, Duration::from_secs(20)) {
        record.note("could not run: the router is not ready");
        exit_after(fleet, 2);
    }
    std::thread::sleep(Duration::from_secs(5));
    if trouble() {
        fleet.store.publish(&configuration(7, true));
        record.note("version 7 of the configuration, with the new route, is acknowledged");
    }
    // More than `configApplyMs`.
    std::thread::sleep(Duration::from_secs(4));
    record.note("traffic begins");
    let path = if trouble() { "/ask/it" } else { "/note/it" };
    let front = fleet.routers[0].front;
    let next_id = Arc::new(AtomicU64::new(1));
    let statuses: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (next_id, statuses, record) = (next_id.clone(), statuses.clone(), record.clone());
            std::thread::spawn(move || {
                for _ in 0..REQUESTS {
                    let number = next_id.fetch_add(1, Ordering::Relaxed);
                    let id = format!("a{number:06x}");
                    let (prompt, most) = TOKENS;
                    let headers = format!(
                        "Model: m\r\nToken-Count: {prompt},{most}\r\nPrompt-Prefix: 91bd3f06:10,{number:x}:10\r\n"
                    );
                    let request = client::Request {
                        method: "POST",
                        path,
                        id: &id,
                        key: Some("cafe-key"),
                        deadline_ms: 6_000,
                        headers: &headers,
                        body: "question",
                    };
                    record.note(&format!("sent id={id} {path}"));
                    let answer = client::call(front, &request);
                    record.note(&format!("answered id={id} {}", answer.text()));
                    *statuses.lock().unwrap().entry(answer.status()).or_default() += 1;
                    if answer.status() != 200 {
                        std::thread::sleep(Duration::from_millis(100));
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    std::thread::sleep(Duration::from_secs(2));
    let used: u64 = engines.iter().map(|engine| engine.shared.tokens.load(Ordering::Relaxed)).sum();
    let text = format!(
        "{used} of {PREPAID} tokens used at the servers, answers {:?}",
        statuses.lock().unwrap()
    );
    record.note(&text);
    println!("{text}");
    if used > PREPAID {
        record.note(&format!("BROKEN BUDGET {} tokens more than prepaid", used - PREPAID));
    }
    let served = statuses.lock().unwrap().get(&200).copied().unwrap_or(0);
    let code = match (used > PREPAID, served > 0) {
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
