//! The callers' interface keeps from servers what crashes them, as the interface by routes does; an operator sees it and
//! ends it.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use doorswitch_standins::backend;
use fleet::{Fleet, OPERATOR_KEY, Options};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const ROUTERS: usize = 3;
const SERVERS: usize = 4;
const DOWN: Duration = Duration::from_millis(1_500);
/// What one router knows is known to the others after this time.
const CONTACT: Duration = Duration::from_millis(3_000);
const LATE_SENDS: usize = 3;
/// Servers that a request may reach in all if its client repeats it each 0.1 s.
const REACHED: usize = 5;
const REPEAT_FOR: Duration = Duration::from_secs(10);

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
    Transfer-Encoding: chunked\r\n\r\n";

/// An engine or plain service that crashes under each body that contains `poison`, while it is `deadly`.
fn crashing(deadly: Arc<AtomicBool>, crash: backend::Step) -> backend::Script {
    Box::new(move |_, seen| {
        let poison = String::from_utf8_lossy(&seen.body).contains("poison");
        let streams = seen.line.contains("/v1/");
        let mut steps = Vec::new();
        if streams {
            steps.push(backend::Step::Write(STREAM_HEAD.to_owned()));
        }
        if poison && deadly.load(Ordering::Relaxed) {
            steps.push(backend::Step::Pause(Duration::from_millis(30)));
            steps.push(crash.clone());
        } else if streams {
            let answer = serde_json::json!({
                "choices": [{ "index": 0, "delta": { "content": "a" }, "finish_reason": "length" }],
                "usage": { "prompt_tokens": 1, "completion_tokens": 1, "total_tokens": 2 },
            });
            let events = format!("data: {answer}\n\ndata: [DONE]\n\n");
            let body = format!("{:x}\r\n{events}\r\n0\r\n\r\n", events.len());
            steps.push(backend::Step::Write(body));
        } else {
            steps.push(backend::response("200 OK", "answer"));
        }
        steps
    })
}

struct Crashing {
    fleet: Fleet,
    servers: Vec<backend::Backend>,
    deadly: Arc<AtomicBool>,
}

impl Crashing {
    fn start(name: &str) -> Self {
        Self::start_with(name, &backend::Step::Crash(DOWN))
    }

    fn start_with(name: &str, crash: &backend::Step) -> Self {
        let options = Options { routers: ROUTERS, engines: 0, services: 0, ..Options::default() };
        let fleet = Fleet::start(name, options);
        let deadly = Arc::new(AtomicBool::new(true));
        let start = |_| backend::Backend::start(crashing(deadly.clone(), crash.clone())).unwrap();
        let servers: Vec<backend::Backend> = (0..2 * SERVERS).map(start).collect();
        fleet.put_servers(&servers, |place| if place < SERVERS { "roast" } else { "payments" });
        Self { fleet, servers, deadly }
    }

    fn arrivals(&self) -> Vec<Instant> {
        let seen = self.servers.iter().flat_map(|server| {
            server.requests().into_iter().zip(server.arrivals()).collect::<Vec<_>>()
        });
        let poison =
            seen.filter(|(seen, _)| String::from_utf8_lossy(&seen.body).contains("poison"));
        poison.map(|(_, at)| at).collect()
    }

    fn third_crash(&self) -> Instant {
        let mut crashes: Vec<Instant> =
            self.servers.iter().flat_map(backend::Backend::crashes).collect();
        crashes.sort_unstable();
        crashes[2]
    }

    /// Sends a request again and again through the routers in turn; the last status and code.
    fn repeat(&self, send: impl Fn(usize) -> Option<fleet::Answer>) -> (u16, String) {
        let began = Instant::now();
        let mut number = 0;
        let mut last = (0, String::new());
        while began.elapsed() < REPEAT_FOR {
            if let Some(answer) = send(number % ROUTERS) {
                last = (answer.status, answer.code());
            }
            number += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
        last
    }

    fn check_spared(&self, last: &(u16, String)) {
        let known = self.third_crash() + CONTACT;
        let late = self.arrivals().iter().filter(|at| **at > known).count();
        assert!(
            late <= LATE_SENDS,
            "{late} late sends of {}, last {last:?}",
            self.arrivals().len()
        );
        assert_eq!(*last, (503, "quarantined".to_owned()));
    }

    /// Runs an operator's command against a router; its output.
    fn operate(&self, place: usize, arguments: &[&str]) -> String {
        let url = format!("http://{}", self.fleet.routers[place].operators);
        let output = Command::new(env!("CARGO_BIN_EXE_doorswitch"))
            .arg("quarantine")
            .args(arguments)
            .args(["--router", &url])
            .env("DOORSWITCH_OPERATOR_KEY", OPERATOR_KEY)
            .output()
            .unwrap();
        String::from_utf8_lossy(&output.stdout).into_owned()
    }
}

fn call_service(fleet: &Fleet, place: usize, body: &str) -> Option<fleet::Answer> {
    let path = "/services/payments/lookup?card=7";
    fleet::call(fleet.routers[place].callers, "POST", path, "kitchen-key", &[], body)
}

#[test]
fn poison_completions_reach_few_engines() {
    let crashing = Crashing::start("poison-completions");
    let last = crashing.repeat(|place| crashing.fleet.complete(place, "poison", 4, false));
    crashing.check_spared(&last);
    let innocent = crashing.fleet.complete(0, "innocent", 4, false).unwrap();
    assert_eq!(innocent.status, 200, "{}", innocent.body);
}

macro_rules! listeners_close_last {
    ($($name:ident: $listens_ms:literal, $send:expr;)*) => {$(
        #[test]
        fn $name() {
            let listens_for = Duration::from_millis($listens_ms);
            let crash = backend::Step::CrashListenerLast { listens_for, down: DOWN };
            let crashing = Crashing::start_with(stringify!($name), &crash);
            let send: fn(&Fleet, usize) -> Option<fleet::Answer> = $send;
            let last = crashing.repeat(|place| send(&crashing.fleet, place));
            crashing.check_spared(&last);
            let reached = crashing.arrivals().len();
            assert!(reached <= REACHED, "{reached} sends");
        }
    )*};
}

listeners_close_last! {
    poison_completions_at_listeners_that_close_after_2_ms: 2,
        |fleet, place| fleet.complete(place, "poison", 4, false);
    poison_completions_at_listeners_that_close_after_100_ms: 100,
        |fleet, place| fleet.complete(place, "poison", 4, false);
    poison_calls_at_listeners_that_close_after_2_ms: 2,
        |fleet, place| call_service(fleet, place, "poison");
    poison_calls_at_listeners_that_close_after_100_ms: 100,
        |fleet, place| call_service(fleet, place, "poison");
}

#[test]
fn poison_calls_reach_few_servers_until_an_operator_releases_them() {
    let crashing = Crashing::start("poison-calls");
    let last = crashing.repeat(|place| call_service(&crashing.fleet, place, "poison"));
    crashing.check_spared(&last);
    let other = call_service(&crashing.fleet, 0, "innocent").unwrap();
    assert_eq!(other.status, 200, "the same path with another body: {}", other.body);

    let shown = crashing.operate(0, &["show", "--format", "json"]);
    let shown: serde_json::Value = serde_json::from_str(&shown).unwrap();
    let fingerprint = shown[0]["fingerprint"].as_str().unwrap().to_owned();
    crashing.deadly.store(false, Ordering::Relaxed);
    let tried = crashing.operate(1, &["release", &fingerprint, "--dry-run"]);
    assert!(tried.contains("would be released"), "{tried}");
    assert_eq!(call_service(&crashing.fleet, 1, "poison").unwrap().code(), "quarantined");
    let released = crashing.operate(1, &["release", &fingerprint]);
    assert!(released.contains(": released"), "{released}");
    for place in 0..ROUTERS {
        fleet::eventually("it is served again", || {
            call_service(&crashing.fleet, place, "poison").is_some_and(|it| it.status == 200)
        });
    }
    assert!(crashing.operate(2, &["release", &fingerprint]).contains("nothing to release"));
}

#[test]
fn poison_calls_of_one_workspace_keep_none_of_another_from_servers() {
    let crashing = Crashing::start("poison-workspaces");
    let last = crashing.repeat(|place| call_service(&crashing.fleet, place, "poison"));
    crashing.check_spared(&last);
    crashing.deadly.store(false, Ordering::Relaxed);
    let gate = crashing.fleet.routers[0].callers;
    fleet::eventually("the same request of another workspace is served", || {
        let path = "/services/payments/lookup?card=7";
        let answer = fleet::call(gate, "POST", path, "gate-key", &[], "poison");
        answer.is_some_and(|answer| answer.status == 200)
    });
}
