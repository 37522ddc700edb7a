use review_kit::{Record, client, fleet, server};
use serde_json::json;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

fn configuration() -> Vec<u8> {
    json!({
        "version": 3,
        "routes": [{
            "name": "pay", "host": client::HOST, "pathPrefix": "/pay/", "routeType": "idempotent",
            "timeoutMs": 2_500, "targetLatencyMs": 150, "priority": 1, "service": "app",
            "maxAttempts": 1, "public": false,
        }],
        "services": [{ "name": "app", "healthPath": "/health", "maxConnections": 110 }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "cafe", "apiKeys": ["cafe-key"], "priority": 1, "prepaid": 1_000_000 }],
    }).to_string().into_bytes()
}

fn main() {
    let record = Record::create(Path::new("/tmp/w/leak.txt")).unwrap();
    let mut fleet = fleet::Fleet::new(1);
    let arg0 = |i: usize, d: u64| std::env::args().nth(i).map_or(d, |t| t.parse().unwrap());
    let settings = server::Settings { slots: arg0(5, 6) as usize, queue: 10, work: Duration::from_millis(arg0(4, 5)) };
    let servers: Vec<_> = (0..2).map(|i| server::Server::start(&format!("i-{i}"), "app", settings, None, &record)).collect();
    fleet.store.publish(&configuration());
    for s in &servers { fleet.store.put(&format!("servers/{}", s.id), &s.entry("ready")); }
    fleet.spawn_all();
    assert!(fleet.wait_ready(0, Duration::from_secs(10)));
    std::thread::sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let codes: Arc<std::sync::Mutex<std::collections::BTreeMap<String, u64>>> = Arc::default();
    let arg = |i: usize, d: u64| std::env::args().nth(i).map_or(d, |t| t.parse().unwrap());
    let waves = arg(6, 0);
    let began = std::time::Instant::now();
    let (think, patience, work, slots) = (arg(2, 100), arg(3, 20_000), arg(4, 5), arg(5, 6));
    let threads: usize = std::env::args().nth(1).map_or(300, |t| t.parse().unwrap());
    let clients: Vec<_> = (0..threads).map(|n| {
        let (stop, sent, codes) = (stop.clone(), sent.clone(), codes.clone());
        let front = fleet.routers[0].front;
        std::thread::spawn(move || {
            let mut k: u64 = n as u64 * 7919 + 13;
            while !stop.load(Ordering::Relaxed) {
                k = k.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                let wait = (k >> 33) % 30_000;
                let id = format!("b{n:04x}{:08x}", sent.fetch_add(1, Ordering::Relaxed));
                let request = client::Request { method: "GET", path: "/pay/x", id: &id, key: Some("cafe-key"), deadline_ms: 1000, headers: "", body: "" };
                if waves > 0 { let into = began.elapsed().as_millis() as u64 % waves; std::thread::sleep(Duration::from_millis(waves - into)); }
                else { std::thread::sleep(Duration::from_millis(think / 2 + (k >> 20) % think.max(1))); }
                let wait = if waves > 0 { (k >> 33) % patience } else { patience / 2 + wait % patience.max(1) };
                if let Ok(mut s) = std::net::TcpStream::connect(front) {
                    let _ = s.set_nodelay(true);
                    let _ = s.write_all(&request.bytes());
                    let _ = s.set_read_timeout(Some(Duration::from_micros(wait.max(1))));
                    let mut b = [0u8; 2000];
                    match std::io::Read::read(&mut s, &mut b) { Ok(n) if n > 12 => { *codes.lock().unwrap().entry(String::from_utf8_lossy(&b[9..12]).into_owned()).or_insert(0u64) += 1; } _ => { *codes.lock().unwrap().entry("gaveup".into()).or_insert(0) += 1; } }
                }
            }
        })
    }).collect();
    std::thread::sleep(Duration::from_secs(15));
    stop.store(true, Ordering::Relaxed);
    for c in clients { let _ = c.join(); }
    std::thread::sleep(Duration::from_secs(4));
    let metrics = fleet.metrics(0);
    let value = |name: &str| metrics.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' ')?.parse::<f64>().ok()).unwrap_or(0.0);
    println!("admitted {} dispatched {} settled {} not_run {} LEAKED {}", value("doorswitch_admitted_total"), value("doorswitch_dispatched_total"), value("doorswitch_settled_total"), value("doorswitch_not_run_total"), value("doorswitch_admitted_total") - value("doorswitch_settled_total") - value("doorswitch_not_run_total"));
    println!("{:?}", codes.lock().unwrap());
    let mut ok = 0;
    let mut other = vec![];
    for n in 0..50 {
        let id = format!("c{n:08x}");
        let request = client::Request { method: "GET", path: "/pay/x", id: &id, key: Some("cafe-key"), deadline_ms: 1000, headers: "", body: "" };
        let a = client::call(fleet.routers[0].front, &request);
        if a.status() == 200 { ok += 1 } else { other.push(a.text()) }
    }
    println!("sent {} ok after {ok} other {:?}", sent.load(Ordering::Relaxed), other.first());
    let log = fleet.log(0);
    if false { println!("log lines {} placed {} ended {}", log.lines().count(), log.matches("event=placed id").count(), log.matches("event=request_ended").count()); }
    drop(fleet);
    std::process::exit(0);
}
