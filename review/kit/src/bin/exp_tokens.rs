use review_kit::{Record, client, engine, fleet};
use serde_json::json;
use std::io::{Read, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

fn configuration(prepaid: u64) -> Vec<u8> {
    json!({
        "version": 3,
        "routes": [{
            "name": "chat", "host": client::HOST, "pathPrefix": "/chat/", "routeType": "streaming",
            "timeoutMs": 6_000, "targetLatencyMs": 100, "targetGapMs": 300, "priority": 1, "service": "llm",
            "maxAttempts": 1, "public": false, "sessionAffinity": true,
        }],
        "services": [{ "name": "llm", "healthPath": "/health", "maxConnections": 360, "engine": { "slots": 64, "stride": 3 } }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "cafe", "apiKeys": ["cafe-key"], "priority": 1, "prepaid": prepaid }],
    }).to_string().into_bytes()
}

fn main() {
    let arg = |i: usize, d: u64| std::env::args().nth(i).map_or(d, |t| t.parse().unwrap());
    let (threads, wave, patience, share, body) = (arg(1, 200), arg(2, 500), arg(3, 50), arg(4, 30), arg(5, 600));
    let record = Record::create(Path::new("/tmp/w/tokens.txt")).unwrap();
    let mut fleet = fleet::Fleet::new(1);
    let settings = engine::Settings { slots: 64, queue: 134, step: Duration::from_millis(6), stride: 3 };
    let engines: Vec<_> = (0..5).map(|i| engine::Engine::start(&format!("e-{i}"), "llm", settings, &record)).collect();
    fleet.store.publish(&configuration(100_000_000));
    for s in &engines { fleet.store.put(&format!("servers/{}", s.id), &s.entry("ready")); }
    fleet.spawn_all();
    assert!(fleet.wait_ready(0, Duration::from_secs(10)));
    std::thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let giveup = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let gone = Arc::new(AtomicU64::new(0));
    let began = Instant::now();
    let codes: Arc<std::sync::Mutex<std::collections::BTreeMap<u16, u64>>> = Arc::default();
    let bodytext = Arc::new("x".repeat(body as usize));
    let clients: Vec<_> = (0..threads).map(|n| {
        let (stop, sent, codes, giveup, gone, bodytext) = (stop.clone(), sent.clone(), codes.clone(), giveup.clone(), gone.clone(), bodytext.clone());
        let front = fleet.routers[0].front;
        std::thread::spawn(move || {
            let mut k: u64 = n * 7919 + 13;
            while !stop.load(Ordering::Relaxed) {
                let into = began.elapsed().as_millis() as u64 % wave; std::thread::sleep(Duration::from_millis(wave - into));
                k = k.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                let id = format!("b{n:04x}{:08x}", sent.fetch_add(1, Ordering::Relaxed));
                let head = format!("Model: m\r\nToken-Count: 20,1000\r\nPrompt-Prefix: 5c1e07a2:10,{:x}:10\r\n", k >> 32);
                let request = client::Request { method: "POST", path: "/chat/x", id: &id, key: Some("cafe-key"), deadline_ms: 6000, headers: &head, body: &bodytext };
                let leaves = giveup.load(Ordering::Relaxed) && (k >> 40) % 100 < share;
                let Ok(mut s) = std::net::TcpStream::connect(front) else { continue };
                let _ = s.set_nodelay(true);
                if leaves {
                    gone.fetch_add(1, Ordering::Relaxed);
                    let _ = s.write_all(&request.bytes());
                    let until = Instant::now() + Duration::from_micros((k >> 33) % (patience * 1000));
                    let mut b = [0u8; 4000];
                    loop {
                        let left = until.saturating_duration_since(Instant::now());
                        if left.is_zero() { break }
                        let _ = s.set_read_timeout(Some(left));
                        match s.read(&mut b) { Ok(0) => break, Ok(_) => {}, Err(_) => {} }
                    }
                } else {
                    let a = client::exchange(&mut s, &request);
                    *codes.lock().unwrap().entry(a.status()).or_default() += 1;
                }
            }
        })
    }).collect();
    std::thread::sleep(Duration::from_secs(3));
    giveup.store(true, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(5));
    giveup.store(false, Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    for c in clients { let _ = c.join(); }
    std::thread::sleep(Duration::from_secs(3));
    let metrics = fleet.metrics(0);
    let value = |name: &str| metrics.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' ')?.parse::<f64>().ok()).unwrap_or(0.0);
    println!("admitted {} dispatched {} settled {} not_run {} LEAKED {} gone {}", value("doorswitch_admitted_total"), value("doorswitch_dispatched_total"), value("doorswitch_settled_total"), value("doorswitch_not_run_total"), value("doorswitch_admitted_total") - value("doorswitch_settled_total") - value("doorswitch_not_run_total"), gone.load(Ordering::Relaxed));
    println!("{:?} tokens {} by router {}", codes.lock().unwrap(), engines.iter().map(|e| e.shared.tokens.load(Ordering::Relaxed)).sum::<u64>(), value("doorswitch_consumed_tokens_total"));
    drop(fleet);
    std::process::exit(0);
}
