//! Guards against healthy servers that receive no requests because a few old answers rate them too low. Without
//! requests there are no new answers that raise the rating: one of four equal servers receives none for 12 to 16 s.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_core::{ids, servers};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// In each window of this length, a healthy server receives at least a quarter of an even share of the requests.
const WINDOW_MS: u64 = 4_000;
/// A server receives its share again this long after the end of a fault.
const RECOVERY_MS: u64 = 4_000;
const SERVICE: &str = "service";

/// A fault of the first server, or a pause of all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The server is eight times as slow.
    Slow,
    /// All requests to the server fail.
    Fails,
    /// The server rejects ten concurrent requests of each router.
    Full,
    /// The server's address refuses connections, until a new incarnation of the server is listed.
    Crashes,
    /// Clients send no requests for a minute.
    Pause,
}

struct Server {
    name: String,
    incarnation: u64,
    work_ms: u64,
    fails: bool,
    sends_ms: Vec<u64>,
}

struct Run {
    router: usize,
    slot: ids::ServerSlot,
    server: usize,
    incarnation: u64,
    sent_ms: u64,
    fails: bool,
}

struct Sim {
    now_ms: u64,
    tables: Vec<servers::Table>,
    servers: Vec<Server>,
    runs: BTreeMap<(u64, u64), Run>,
    number: u64,
    per_s: u64,
    due_milli: u64,
    /// The durations of successful requests.
    took_ms: Vec<u64>,
    rng: StdRng,
}

impl Sim {
    fn new(routers: usize, servers: usize, work_ms: u64, per_s: u64, seed: u64) -> Self {
        let server = |index: usize| Server {
            name: format!("vm-{index}"),
            incarnation: 1,
            work_ms,
            fails: false,
            sends_ms: Vec::new(),
        };
        let tables = (0..routers).map(|_| servers::Table::default()).collect();
        let mut sim = Self {
            now_ms: 1_000,
            tables,
            servers: (0..servers).map(server).collect(),
            runs: BTreeMap::new(),
            number: 0,
            per_s,
            due_milli: 0,
            took_ms: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        };
        sim.list();
        sim
    }

    fn list(&mut self) {
        let vm = |server: &Server| servers::Vm {
            vm: server.name.clone(),
            service: SERVICE.to_owned(),
            address: server.name.clone(),
            class: "class".to_owned(),
            version: String::new(),
            failure_domain: "a".to_owned(),
            state: servers::VmState::Live,
            slots: 8,
            incarnation: ids::ServerIncarnation(server.incarnation),
            cold_ms: 0,
        };
        let vms: Vec<servers::Vm> = self.servers.iter().map(vm).collect();
        for table in &mut self.tables {
            table.apply_list(&vms, self.now_ms);
        }
    }

    fn run_ms(&mut self, time_ms: u64) {
        for _ in 0..time_ms {
            self.now_ms += 1;
            self.end_runs();
            self.due_milli += self.per_s;
            while self.due_milli >= 1_000 {
                self.due_milli -= 1_000;
                let router = self.rng.random_range(0..self.tables.len());
                self.send(router);
            }
        }
    }

    fn send(&mut self, router: usize) {
        let criteria = servers::Criteria {
            service: SERVICE,
            classes: &[],
            version: None,
            recorded_versions_only: false,
            prefix_hash: None,
            parts: &[],
            excluded: &[],
        };
        let chosen = self.tables[router].choose(&criteria, self.now_ms, &mut self.rng);
        let Ok(servers::Choice { slot, .. }) = chosen else { return };
        let table = &self.tables[router];
        let name = &table.get(slot).unwrap().vm.vm;
        let index = self.servers.iter().position(|server| server.name == *name).unwrap();
        let server = &mut self.servers[index];
        server.sends_ms.push(self.now_ms);
        let fails = server.fails;
        let duration_ms = if fails { 1 } else { self.rng.random_range(1..2 * server.work_ms) };
        let (incarnation, sent_ms) = (server.incarnation, self.now_ms);
        self.number += 1;
        let run = Run { router, slot, server: index, incarnation, sent_ms, fails };
        self.runs.insert((self.now_ms + duration_ms, self.number), run);
    }

    fn end_runs(&mut self) {
        while let Some(entry) = self.runs.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let run = entry.remove();
            let table = &mut self.tables[run.router];
            table.record_end(run.slot);
            if run.fails || self.servers[run.server].incarnation != run.incarnation {
                table.record_failure(run.slot, self.now_ms, self.now_ms);
                continue;
            }
            let took_ms = self.now_ms - run.sent_ms;
            self.took_ms.push(took_ms);
            table.record_success(run.slot, took_ms, self.now_ms);
        }
    }

    /// The least number of requests of any server in `healthy` in any window, in percent of an even share.
    fn min_percent(&self, since_ms: u64, healthy: &[usize]) -> u64 {
        let even_share = self.per_s * WINDOW_MS / 1_000 / self.servers.len() as u64;
        let min_counts = healthy.iter().map(|index| {
            let sends = &self.servers[*index].sends_ms;
            let windows = (since_ms..=self.now_ms - WINDOW_MS).step_by(250);
            let count = |from_ms: u64| {
                let to_ms = from_ms + WINDOW_MS;
                sends.iter().filter(|at_ms| (from_ms..to_ms).contains(*at_ms)).count() as u64
            };
            windows.map(count).min().unwrap_or(0)
        });
        min_counts.min().unwrap_or(0) * 100 / even_share
    }

    /// Injects a fault and ends it after 4 s, or 60 s for a pause of requests.
    fn inject_fault(&mut self, fault: Fault) {
        let (work_ms, per_s) = (self.servers[0].work_ms, self.per_s);
        match fault {
            Fault::None => {}
            Fault::Slow => self.servers[0].work_ms = 8 * work_ms,
            Fault::Fails => self.servers[0].fails = true,
            Fault::Full => {
                for router in 0..self.tables.len() {
                    self.reject_ten(router);
                }
            }
            Fault::Crashes => {
                self.servers[0].incarnation += 1;
                let tables = self.tables.iter_mut();
                tables.for_each(|table| {
                    table.record_refused(table.find("vm-0").unwrap(), self.now_ms)
                });
            }
            Fault::Pause => self.per_s = 0,
        }
        self.run_ms(if fault == Fault::Pause { 60_000 } else { 4_000 });
        self.servers[0].work_ms = work_ms;
        self.servers[0].fails = false;
        self.per_s = per_s;
        self.list();
    }

    /// Lets the first server reject ten concurrent requests of a router.
    fn reject_ten(&mut self, router: usize) {
        let slot = self.tables[router].find("vm-0").unwrap();
        for _ in 0..10 {
            self.tables[router].record_rejection(slot, self.now_ms - 5, self.now_ms);
        }
    }
}

fn schedule(routers: usize, servers: usize, work_ms: u64, fault: Fault, seed: u64) -> u64 {
    // A quarter of an even share is 25 requests in a window, at any number of servers.
    let per_s = servers as u64 * 100 * 1_000 / WINDOW_MS;
    let mut sim = Sim::new(routers, servers, work_ms, per_s, seed);
    let healthy: Vec<usize> = (0..servers).collect();
    sim.run_ms(8_000);
    let before = sim.min_percent(1_000, &healthy);
    sim.inject_fault(fault);
    let others = sim.min_percent(9_000, &healthy[1..]);
    let others = if fault == Fault::Pause { 100 } else { others };
    sim.run_ms(RECOVERY_MS);
    let since_ms = sim.now_ms;
    sim.run_ms(8_000);
    before.min(others).min(sim.min_percent(since_ms, &healthy))
}

macro_rules! shares {
    ($($name:ident: $routers:expr, $servers:expr, $work_ms:expr, $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            let min_percents: Vec<u64> =
                (0..7).map(|seed| schedule($routers, $servers, $work_ms, $fault, seed)).collect();
            println!("{} {min_percents:?}", stringify!($name));
            assert!(
                min_percents.iter().all(|percent| *percent >= 25),
                "a server received less than a quarter of an even share: {min_percents:?} percent"
            );
        }
    )*};
}

shares! {
    healthy_servers_receive_their_share_from_one_router: 1, 4, 15, Fault::None;
    two_healthy_servers_receive_their_share_from_one_router: 1, 2, 15, Fault::None;
    forty_healthy_servers_receive_their_share_from_one_router: 1, 40, 15, Fault::None;
    healthy_servers_receive_their_share_from_seven_routers: 7, 4, 15, Fault::None;
    healthy_servers_receive_their_share_from_thirty_routers: 30, 12, 15, Fault::None;
    busy_servers_receive_their_share_from_seven_routers: 7, 4, 200, Fault::None;
    a_server_receives_its_share_after_a_slow_phase_from_one_router: 1, 4, 15, Fault::Slow;
    a_server_receives_its_share_after_a_slow_phase_from_seven_routers: 7, 4, 15, Fault::Slow;
    a_server_receives_its_share_after_a_slow_phase_from_thirty_routers: 30, 40, 15, Fault::Slow;
    a_server_receives_its_share_after_failures_from_one_router: 1, 4, 15, Fault::Fails;
    a_server_receives_its_share_after_failures_from_seven_routers: 7, 4, 15, Fault::Fails;
    a_server_receives_its_share_after_ten_rejections_at_once: 1, 4, 15, Fault::Full;
    a_server_receives_its_share_after_ten_rejections_at_once_from_seven_routers: 7, 4, 15, Fault::Full;
    a_server_receives_its_share_after_a_crash_from_one_router: 1, 4, 15, Fault::Crashes;
    a_server_receives_its_share_after_a_crash_from_seven_routers: 7, 4, 15, Fault::Crashes;
    servers_receive_their_share_after_a_minute_without_requests: 7, 4, 15, Fault::Pause;
}

/// A slow server is still tried sometimes, which must slow down few callers.
#[test]
fn a_slow_server_receives_few_requests_while_it_is_slow() {
    for (routers, seed) in [(1, 1), (7, 2), (30, 3)] {
        let mut sim = Sim::new(routers, 4, 15, 250, seed);
        sim.run_ms(8_000);
        sim.servers[0].work_ms = 120;
        sim.run_ms(4_000);
        let (since_ms, answered) = (sim.now_ms, sim.took_ms.len());
        sim.run_ms(20_000);
        let sends = &sim.servers[0].sends_ms;
        let slow = sends.iter().filter(|at_ms| **at_ms >= since_ms).count();
        let mean_ms =
            sim.took_ms[answered..].iter().sum::<u64>() / (sim.took_ms.len() - answered) as u64;
        println!("{routers} routers: {slow} of 5000 to the slow server, mean {mean_ms} ms");
        assert!(slow <= 5_000 / 12, "{routers} routers: {slow} of 5000 went to the slow server");
    }
}
