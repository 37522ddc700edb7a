//! A surplus answer of a server states that an earlier request was not executed. It comes in the place where the answer
//! to the next request on the connection is due.

use review_kit::{Record, client, fleet, server, trouble};
use serde_json::json;
use std::collections::HashMap;
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ROUTERS: usize = 3;
const SERVERS: usize = 4;
const CLIENTS: usize = 36;
/// Clients send their next request at the next multiple of this time.
const WAVE: Duration = Duration::from_millis(150);
const SETTINGS: server::Settings =
    server::Settings { slots: 6, queue: 4, work: Duration::from_millis(20), answer_bytes: 0 };
/// At most 3 in 100 answers of half of the servers, for 5 s.
const SURPLUS: server::Surplus = server::Surplus { share: 0.03 };
const SURPLUS_TIME: Duration = Duration::from_secs(5);

fn configuration() -> Vec<u8> {
    json!({
        "version": 3,
        "routes": [{
            "name": "pay", "host": client::HOST, "pathPrefix": "/pay/", "routeType": "non_idempotent",
            "timeoutMs": 2_500, "targetLatencyMs": 150, "priority": 1, "service": "app",
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

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&Path::new(&folder).join("record.txt")).unwrap();
    let mut fleet = fleet::Fleet::new(ROUTERS);
    let servers: Vec<server::Server> = (0..SERVERS)
        .map(|index| {
            let surplus = (index % 2 == 0 && trouble()).then_some(SURPLUS);
            server::Server::start(&format!("i-{index}"), "app", SETTINGS, surplus, &record)
        })
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
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let next_id = Arc::new(AtomicU64::new(1));
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (stop, answers, record) = (stop.clone(), answers.clone(), record.clone());
            let next_id = next_id.clone();
            let front = fleet.routers[index % ROUTERS].front;
            std::thread::spawn(move || {
                let mut connection = None;
                while !stop.load(Ordering::Relaxed) {
                    let into_wave = began.elapsed().as_millis() % WAVE.as_millis();
                    std::thread::sleep(WAVE - Duration::from_millis(into_wave as u64));
                    let id = format!("a{:08x}", next_id.fetch_add(1, Ordering::Relaxed));
                    let request = client::Request {
                        method: "POST",
                        path: "/pay/release",
                        id: &id,
                        key: Some("cafe-key"),
                        deadline_ms: 2_500,
                        headers: "",
                        body: "amount=5",
                    };
                    let stream = match connection.take() {
                        Some(stream) => Some(stream),
                        None => std::net::TcpStream::connect(front).ok(),
                    };
                    let Some(mut stream) = stream else {
                        std::thread::sleep(Duration::from_millis(20));
                        continue;
                    };
                    let _ = stream.set_nodelay(true);
                    record.note(&format!("sent id={id} client={index}"));
                    let answer = client::exchange(&mut stream, &request);
                    record.note(&format!("answered id={id} {}", answer.text()));
                    answers.lock().unwrap().insert(id, answer.status());
                    if answer.status() == 200 {
                        connection = Some(stream);
                    } else {
                        std::thread::sleep(Duration::from_millis(50));
                    }
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    record.note("disruption begins");
    for server in &servers {
        server.shared().surplus_on.store(trouble(), Ordering::Relaxed);
    }
    std::thread::sleep(SURPLUS_TIME);
    for server in &servers {
        server.shared().surplus_on.store(false, Ordering::Relaxed);
    }
    record.note("disruption ends");
    let ends = Instant::now() + Duration::from_secs(2);
    while Instant::now() < ends {
        std::thread::sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_secs(1));
    let mut runs: HashMap<String, Vec<(String, u64)>> = HashMap::new();
    for server in &servers {
        for (id, count) in server.shared().runs.lock().unwrap().iter() {
            runs.entry(id.clone()).or_default().push((server.id.clone(), *count));
        }
    }
    let answers = answers.lock().unwrap();
    let mut twice = 0;
    let mut refused = 0;
    for (id, at) in &runs {
        let count: u64 = at.iter().map(|(_, count)| count).sum();
        let status = answers.get(id).copied().unwrap_or(0);
        if count > 1 {
            twice += 1;
            record.note(&format!(
                "BROKEN TWICE id={id} ran {count} times, at {at:?}; client got {status}"
            ));
        }
        if [429, 503, 408, 421].contains(&status) {
            refused += 1;
            record.note(&format!("BROKEN REFUSED id={id} ran at {at:?}; client got {status}"));
        }
    }
    for server in &servers {
        let shared = server.shared();
        record.note(&format!(
            "server {}: {} answers during the disruption, {} of them with a second one",
            server.id,
            shared.answers.load(Ordering::Relaxed),
            shared.surplus.load(Ordering::Relaxed),
        ));
    }
    let served = answers.values().filter(|status| **status == 200).count();
    let summary = format!(
        "{} requests, {served} answered with 200, {} ran, {twice} ran twice, {refused} refused though they ran",
        answers.len(),
        runs.len()
    );
    record.note(&summary);
    println!("{summary}");
    drop(answers);
    let code = match (twice + refused > 0, served * 2 > runs.len()) {
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
