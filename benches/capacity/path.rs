//! The latency of the whole path through one router, compared with the same request sent directly to the engine in the
//! same run.

use doorswitch::{auth, document, platform, publish, router, settings};
use doorswitch_standins::{engine, platform as standin};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

const CONFIG: &str = r#"
workspaces:
  - name: w
    keys: [{ name: one, sha256: KEY }]
    budgets: [{ name: main, cover_s: 60, minimum_grant_tokens: 100000000 }]
services:
  - { name: roast, kind: model, policy: p, models: [roast-7b], answer_tokens_max: 4096 }
policies:
  - { name: p, program: 'allow("main", 5, [])' }
"#;
const TIMEOUT: Duration = Duration::from_secs(20);
const REQUESTS: u32 = 300;
/// Lengths of the answers in tokens: the difference shows the cost of a token.
const TOKENS: [u64; 2] = [16, 512];
/// Ports for callers, operators and peers, below the range of ephemeral ports.
const PORTS: [[u16; 3]; 2] = [[11_871, 11_872, 11_873], [11_881, 11_882, 11_883]];

pub fn show() {
    let mode = engine::Mode { slots: 64, token_ms: 0, prompt_ms: 0, ..engine::Mode::default() };
    let engine = engine::Engine::start(local(0), mode).unwrap();
    let platform = standin::Platform::start(local(0)).unwrap();
    platform.set_vms(vec![standin::Vm {
        vm: "engine-0".to_owned(),
        service: "roast".to_owned(),
        address: engine.address().to_string(),
        class: "new".to_owned(),
        version: String::new(),
        failure_domain: "a".to_owned(),
        state: "live".to_owned(),
    }]);
    let routers = [0, 1].map(|index| {
        let stop = router::StopHandle::default();
        let settings = router_settings(index, platform.address());
        let stopping = stop.clone();
        (stop, std::thread::spawn(move || router::run(settings, None, stopping)))
    });
    let compared = actix_rt::System::new().block_on(compare(platform.address(), engine.address()));
    for (stop, thread) in routers {
        stop.stop();
        thread.join().unwrap().unwrap();
    }
    if let Err(fault) = compared {
        println!("not measured: {fault}");
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}

fn router_settings(index: usize, platform: SocketAddr) -> settings::Settings {
    let [callers, operators, peers] = PORTS[index].map(local);
    let [_, _, other] = PORTS[1 - index].map(local);
    let key = auth::digest_hex("k");
    let text = format!(
        "vm: entry-{index}\nregion: r\nfailure_domain: d{index}\n\
         callers: {{ listen: \"{callers}\", traffic_threads: 2 }}\n\
         operators: {{ listen: \"{operators}\", key_sha256: {key} }}\n\
         peers: {{ listen: \"{peers}\", seeds: [\"{other}\"] }}\nplatform: {{ url: \"http://{platform}\" }}\n"
    );
    settings::Settings::parse(&text, "bench".as_ref()).unwrap()
}

async fn compare(platform: SocketAddr, engine: SocketAddr) -> Result<(), String> {
    let client = platform::Client::new(&format!("http://{platform}"), 1_000, None);
    let text = CONFIG.replace("KEY", &auth::digest_hex("k"));
    let document = document::parse(&text, "bench".as_ref(), None).unwrap();
    publish::publish(&client, &document, 0, "bench", TIMEOUT).await.unwrap();
    publish::pay(&client, "w", "main", 1 << 40, "bench", TIMEOUT).await.unwrap();
    let through = local(PORTS[0][0]);
    let ready = Instant::now();
    while send_once(through, 1).await.is_err() {
        assert!(ready.elapsed() < TIMEOUT, "the router never served");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for tokens in TOKENS {
        compare_length(engine, through, tokens).await?;
    }
    Ok(())
}

async fn compare_length(
    engine: SocketAddr,
    through: SocketAddr,
    tokens: u64,
) -> Result<(), String> {
    println!("\none whole answer of {tokens} tokens, {REQUESTS} in turn each way, interleaved");
    let mut histograms = [histogram(), histogram()];
    for _ in 0..REQUESTS {
        for (address, histogram) in [engine, through].into_iter().zip(&mut histograms) {
            let begin = Instant::now();
            send_once(address, tokens).await?;
            histogram.record(begin.elapsed().as_micros() as u64).unwrap();
        }
    }
    let [direct, routed] = histograms;
    println!("{:<12} {:>10} {:>10} {:>10}", "", "p50 us", "p95 us", "p99 us");
    for (name, histogram) in [("direct", &direct), ("routed", &routed)] {
        let at = |quantile| histogram.value_at_quantile(quantile);
        println!("{name:<12} {:>10} {:>10} {:>10}", at(0.5), at(0.95), at(0.99));
    }
    let ratio = |q| routed.value_at_quantile(q) as f64 / direct.value_at_quantile(q) as f64;
    println!("{:<12} {:>10.2} {:>10.2} {:>10.2}", "ratio", ratio(0.5), ratio(0.95), ratio(0.99));
    Ok(())
}

fn histogram() -> hdrhistogram::Histogram<u64> {
    hdrhistogram::Histogram::new(3).unwrap()
}

async fn send_once(address: SocketAddr, tokens: u64) -> Result<(), String> {
    let client = thread_client();
    let body = serde_json::json!({
        "model": "roast-7b",
        "messages": [{ "role": "user", "content": "hello there" }],
        "max_tokens": tokens,
    });
    let request = client.post(format!("http://{address}/v1/chat/completions")).bearer_auth("k");
    let mut response = request.send_json(&body).await.map_err(|error| error.to_string())?;
    let success = response.status().is_success();
    let body = response.body().await.map_err(|error| error.to_string())?;
    if success { Ok(()) } else { Err(String::from_utf8_lossy(&body).into_owned()) }
}

fn thread_client() -> awc::Client {
    thread_local! {
        static CLIENT: awc::Client = awc::Client::builder().timeout(TIMEOUT).finish();
    }
    CLIENT.with(Clone::clone)
}
