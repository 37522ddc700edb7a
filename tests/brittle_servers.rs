//! Servers that say in their answers that they are brittle, let no request wait some time later, and fall over when they
//! have to reject more than a few requests in a second. Guards against routers that together fill such servers beyond
//! their slots, and against routers that leave the slots idle.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::backend::{self, Step};
use routes::World;
use routes::load::{self, RequestResult, router_indices};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time after the first statement after which a server lets no request wait.
const CONTACT: Duration = Duration::from_millis(3_000);
const SLOTS: usize = 8;
const SERVERS: usize = 3;
const WORK: Duration = Duration::from_millis(250);
/// How long a server that fell over is down.
const DOWN: Duration = Duration::from_secs(4);
const REJECTIONS_PER_S: usize = 2;
/// The falls that are allowed: two and a tenth of the servers.
const FALLS_MAX: usize = 2;
/// The share of what the servers can run in a burst that must be run, in percent.
const RUN_PERCENT_MIN: usize = 90;
const BURST: Duration = Duration::from_secs(6);
/// The time after which a server that is no longer brittle gets its share of the requests again, and over which that is
/// counted.
const RECOVERY_TIME: Duration = Duration::from_secs(4);
const WINDOW: Duration = Duration::from_secs(2);
/// The maximum time to a refusal: a request may wait this long for a server, and the network adds little.
const REFUSAL_BOUND: Duration = Duration::from_millis(700);

#[derive(Default)]
struct State {
    /// When the requests end that run.
    running: Vec<Instant>,
    rejected: VecDeque<Instant>,
    /// When the server first said that it is brittle.
    stated: Option<Instant>,
    rejections: usize,
    falls: usize,
    ended: Vec<Instant>,
}

/// A server that can be told to be brittle.
#[derive(Clone, Default)]
struct Brittle(Arc<Mutex<State>>);

impl Brittle {
    fn script(&self) -> backend::Script {
        let state = self.0.clone();
        Box::new(move |_, _| state.lock().unwrap().receive())
    }
}

impl State {
    fn receive(&mut self) -> Vec<Step> {
        let now = Instant::now();
        self.running.retain(|ends| *ends > now);
        let load = format!("Server-Load: {},0,{SLOTS}\r\n", self.running.len());
        let Some(stated) = self.stated else {
            return vec![Step::Pause(WORK), backend::response_with_headers("200 OK", &load, "ran")];
        };
        let lines = format!("{load}Server-Brittle: {REJECTIONS_PER_S}\r\n");
        if self.running.len() < SLOTS || now < stated + CONTACT {
            self.running.push(now + WORK);
            self.ended.push(now + WORK);
            return vec![
                Step::Pause(WORK),
                backend::response_with_headers("200 OK", &lines, "ran"),
            ];
        }
        self.rejections += 1;
        self.rejected.push_back(now);
        self.rejected.retain(|at| *at + Duration::from_secs(1) > now);
        if self.rejected.len() > REJECTIONS_PER_S {
            self.falls += 1;
            self.rejected.clear();
            self.running.clear();
            return vec![Step::Crash(DOWN)];
        }
        let lines = format!("Not-Executed: full\r\n{lines}");
        vec![backend::response_with_headers("503 Busy", &lines, "")]
    }
}

struct BrittleServers {
    world: World,
    servers: Vec<Brittle>,
}

impl BrittleServers {
    fn start(name: &str, routers: usize) -> Self {
        let servers: Vec<Brittle> = (0..SERVERS).map(|_| Brittle::default()).collect();
        let world = load::start(name, routers, servers.iter().map(Brittle::script).collect());
        Self { world, servers }
    }

    fn state(&self) {
        let now = Instant::now();
        self.servers.iter().for_each(|server| server.0.lock().unwrap().stated = Some(now));
    }

    fn sum(&self, of: impl Fn(&State) -> usize) -> usize {
        self.servers.iter().map(|server| of(&server.0.lock().unwrap())).sum()
    }

    /// Sends this percentage of what the servers can run, evenly to these routers.
    fn send(&self, routers: &[usize], percent: usize, duration: Duration) -> Vec<RequestResult> {
        let per_s = SERVERS * SLOTS * 1_000 / WORK.as_millis() as usize * percent / 100;
        let interval = Duration::from_secs(1) * routers.len() as u32 / per_s as u32;
        load::send(&self.world, routers, "/read/x", interval, duration)
    }

    /// Checks the falls, that the slots were in use from `since` to `until`, and the refusals.
    fn check(&self, got: &[RequestResult], (since, until): (Instant, Instant)) {
        let (falls, rejections) = (self.sum(|state| state.falls), self.sum(|one| one.rejections));
        assert!(falls <= FALLS_MAX, "{falls} falls, {rejections} rejections");
        let ended =
            self.sum(|state| state.ended.iter().filter(|at| **at >= since && **at < until).count());
        let seconds = (until - since).as_secs_f64();
        let able = (SERVERS * SLOTS) as f64 * seconds / WORK.as_secs_f64();
        let refused: Vec<&RequestResult> = got.iter().filter(|one| one.status != 200).collect();
        println!(
            "{falls} falls, {rejections} rejections, {ended} of {able} run, {} refused",
            refused.len()
        );
        assert!(
            ended as f64 * 100.0 >= able * RUN_PERCENT_MIN as f64,
            "{ended} of {able} requests ran that the servers could run"
        );
        let is_expected = |one: &&&RequestResult| {
            matches!(one.status, 429 | 503)
                && one.retry_after_s.is_some()
                && one.took <= REFUSAL_BOUND
        };
        let unexpected: Vec<&&RequestResult> =
            refused.iter().filter(|one| !is_expected(one)).collect();
        assert!(unexpected.is_empty(), "{} refusals: {:?}", unexpected.len(), unexpected.first());
    }
}

fn check_burst(name: &str, routers: usize) {
    let brittle = BrittleServers::start(name, routers);
    let all = router_indices(routers);
    brittle.send(&all, 50, Duration::from_secs(1));
    brittle.state();
    brittle.send(&all, 50, CONTACT);
    let since = Instant::now() + Duration::from_millis(500);
    let got = brittle.send(&all, 200, BURST);
    brittle.check(&got, (since, since + BURST - Duration::from_secs(1)));
    for router in all {
        let log = brittle.world.log(router);
        assert!(
            log.contains("event=server_brittle vm=i-0 service=app rejections_per_s=2"),
            "{log}"
        );
    }
    let dump = brittle.world.dump(0);
    assert_eq!(dump["brittle_servers"]["i-0"]["rejections_per_s"], 2, "{dump}");
    let metrics = brittle.world.metrics(0);
    assert!(metrics.contains("doorswitch_brittle_servers{service=\"app\"} 3"), "{metrics}");
}

#[test]
fn brittle_servers_stay_up_and_busy_behind_three_routers() {
    check_burst("brittle-three", 3);
}

#[test]
fn brittle_servers_stay_up_and_busy_behind_twelve_routers() {
    check_burst("brittle-twelve", 12);
}

#[test]
fn brittle_servers_stay_up_while_routers_restart() {
    let mut brittle = BrittleServers::start("brittle-restarts", 4);
    brittle.send(&router_indices(4), 50, Duration::from_secs(1));
    brittle.state();
    brittle.send(&router_indices(4), 50, CONTACT);
    brittle.send(&router_indices(4), 200, Duration::from_secs(2));
    for router in [0, 1] {
        brittle.world.kill(router);
        brittle.world.spawn(router);
    }
    brittle.send(&[2, 3], 150, Duration::from_secs(1));
    (0..2).for_each(|router| brittle.world.wait_ready(router));
    brittle.send(&router_indices(4), 200, Duration::from_secs(4));
    let (falls, rejections) =
        (brittle.sum(|state| state.falls), brittle.sum(|state| state.rejections));
    assert!(falls <= FALLS_MAX, "{falls} falls, {rejections} rejections");
}

#[test]
fn a_server_that_is_not_brittle_any_more_is_filled_again() {
    let brittle = BrittleServers::start("brittle-ends", 3);
    brittle.send(&router_indices(3), 50, Duration::from_secs(1));
    brittle.state();
    brittle.send(&router_indices(3), 50, CONTACT);
    brittle.servers.iter().for_each(|server| server.0.lock().unwrap().stated = None);
    brittle.send(&router_indices(3), 50, RECOVERY_TIME);
    let counts: Vec<usize> = brittle
        .world
        .backends
        .iter()
        .map(|backend| backend.arrivals().iter().filter(|at| at.elapsed() < WINDOW).count())
        .collect();
    let total: usize = counts.iter().sum();
    // Half of an even share shows that all servers are used.
    assert!(counts.iter().all(|count| count * 2 * SERVERS >= total), "{counts:?}");
    for router in 0..3 {
        let dump = brittle.world.dump(router);
        assert_eq!(dump["brittle_servers"], serde_json::json!({}), "{dump}");
        let log = brittle.world.log(router);
        assert!(log.contains("event=server_brittle vm=i-0 service=app rejections_per_s=none"));
    }
}
