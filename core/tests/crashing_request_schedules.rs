//! Requests that crash each server that runs them, sent to fleets of routers that are partitioned, frozen, killed and
//! restarted. The tests guard against two failures: such requests still reach servers after three of them have crashed,
//! and other requests are quarantined. Servers also crash for other reasons, connections break without a crash, and
//! updates about servers arrive late.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{ids, node, quarantine, servers, watch};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use watch_fleet::{BOUNDS, FAULT_RECOVERY_MS, Fleet, StoreMode, TICK_MS};

/// Sends that are allowed later than the bound after the third crash.
const LATE_SENDS_MAX: usize = 3;
/// The staleness bounds of existing deployments.
const DEPLOYED_BOUNDS: watch::Bounds = watch::Bounds { configuration_ms: 2_000, servers_ms: 2_000 };
const SERVERS: usize = 12;

/// A request that clients send repeatedly.
#[derive(Clone, Copy)]
struct Kind {
    request: ids::Fingerprint,
    crashing: bool,
    every_ms: u64,
    runs_ms: u64,
    next_ms: u64,
}

struct Run {
    kind: usize,
    router: usize,
    incarnation: u64,
    ends_ms: u64,
}

struct Server {
    name: String,
    incarnation: ids::ServerIncarnation,
    starts: u64,
    runs: Vec<Run>,
    /// When the server restarts, if it has crashed.
    down_until_ms: Option<u64>,
    /// When the record of the server expires.
    record_expires_ms: Option<u64>,
}

struct Scenario {
    fleet: Fleet,
    rng: StdRng,
    kinds: Vec<Kind>,
    servers: Vec<Server>,
    /// When servers crashed while running each kind, and when routers that are in contact sent it to a server.
    crashes_ms: Vec<Vec<u64>>,
    sends_ms: Vec<Vec<u64>>,
    /// When runs of each kind succeeded.
    successes_ms: Vec<Vec<u64>>,
    /// Percentage of runs broken by a crash whose router finds the address refusing connections before the restart.
    refusals_percent: u32,
    /// Broken runs that their routers have not yet processed, by router and its incarnation.
    unprocessed: Vec<(usize, u64, node::BrokenRun)>,
}

fn fingerprint(number: u8) -> ids::Fingerprint {
    ids::Fingerprint { head: 7, whole: [number; 16] }
}

impl Scenario {
    fn new(routers: usize, bounds: watch::Bounds, crashing_kinds: u8, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x0b5e);
        let mut fleet = Fleet::new(routers, 3, bounds, seed);
        fleet.loss_percent = rng.random_range(0..20);
        fleet.answer_delay_max_ms = rng.random_range(20..300);
        let crashing = (0..crashing_kinds).map(|number| Kind {
            request: fingerprint(number),
            crashing: true,
            every_ms: rng.random_range(50..500),
            runs_ms: rng.random_range(40..150),
            next_ms: 8_000,
        });
        let crashing: Vec<Kind> = crashing.collect();
        let harmless = (0..4).map(|number| Kind {
            request: fingerprint(100 + number),
            crashing: false,
            every_ms: 40,
            runs_ms: [20, 100, 300, 600][usize::from(number)],
            next_ms: 5_000,
        });
        let kinds: Vec<Kind> = crashing.into_iter().chain(harmless).collect();
        let mut scenario = Self {
            crashes_ms: vec![Vec::new(); kinds.len()],
            sends_ms: vec![Vec::new(); kinds.len()],
            successes_ms: vec![Vec::new(); kinds.len()],
            fleet,
            rng,
            kinds,
            servers: Vec::new(),
            refusals_percent: 85,
            unprocessed: Vec::new(),
        };
        for index in 0..6 {
            scenario.fleet.remove_server(&format!("server-{index}"));
        }
        for index in 0..SERVERS {
            let name = format!("vm-{index}");
            scenario.fleet.put_server(&name, servers::VmState::Live);
            let incarnation = ids::ServerIncarnation(1);
            let runs = Vec::new();
            let server = Server {
                name,
                incarnation,
                starts: 1,
                runs,
                down_until_ms: None,
                record_expires_ms: None,
            };
            scenario.servers.push(server);
        }
        scenario
    }

    fn run_ms(&mut self, time_ms: u64) {
        let end_ms = self.fleet.now_ms + time_ms;
        while self.fleet.now_ms < end_ms {
            self.fleet.step();
            self.step_servers();
            self.step_clients();
            self.process_broken_runs();
            self.check_harmless();
        }
    }

    fn step_servers(&mut self) {
        for index in 0..self.servers.len() {
            let now_ms = self.fleet.now_ms;
            if self.servers[index].record_expires_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                self.servers[index].record_expires_ms = None;
                let name = self.servers[index].name.clone();
                self.fleet.remove_server(&name);
            }
            if self.servers[index].down_until_ms.is_some_and(|at_ms| now_ms >= at_ms) {
                self.restart_server(index);
            }
            let has_ended = |run: &mut Run| now_ms >= run.ends_ms;
            let ended: Vec<Run> = self.servers[index].runs.extract_if(.., has_ended).collect();
            let crashing =
                ended.iter().find(|run| self.kinds[run.kind].crashing).map(|run| run.kind);
            let crashes = self.rng.random_range(0..40_000) < TICK_MS;
            if crashing.is_some() || crashes {
                self.crash(index, ended);
            } else {
                ended.iter().for_each(|run| self.finish_run(index, run));
            }
        }
    }

    /// Starts the next incarnation, under the same name or under another one.
    fn restart_server(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.down_until_ms = None;
        server.starts += 1;
        if self.rng.random_bool(0.5) {
            server.incarnation.0 += 1;
            server.record_expires_ms = None;
            let name = server.name.clone();
            self.fleet.restart_server(&name, servers::VmState::Live);
        } else {
            if server.record_expires_ms.take().is_some() {
                self.fleet.remove_server(&server.name);
            }
            server.name = format!("vm-{index}-{}", server.starts);
            server.incarnation = ids::ServerIncarnation(1);
            let name = server.name.clone();
            self.fleet.put_server(&name, servers::VmState::Live);
        }
    }

    fn crash(&mut self, index: usize, ended: Vec<Run>) {
        let now_ms = self.fleet.now_ms;
        let down_ms = self.rng.random_range(300..4_000);
        let server = &mut self.servers[index];
        server.down_until_ms = Some(now_ms + down_ms);
        server.record_expires_ms = Some(now_ms + 2_000);
        let runs: Vec<Run> = ended.into_iter().chain(server.runs.drain(..)).collect();
        let mut kinds: Vec<usize> = runs.iter().map(|run| run.kind).collect();
        kinds.sort_unstable();
        kinds.dedup();
        for kind in kinds {
            self.crashes_ms[kind].push(now_ms);
        }
        runs.iter().for_each(|run| self.break_run(index, run));
    }

    fn break_run(&mut self, index: usize, run: &Run) {
        let server = &self.servers[index];
        let broken = node::BrokenRun {
            slot: ids::RequestSlot::default(),
            server: quarantine::ServerInstance {
                vm: server.name.clone(),
                incarnation: server.incarnation,
            },
            address: format!("10.9.1.{index}:{}", server.starts),
            request: self.kinds[run.kind].request,
        };
        self.unprocessed.push((run.router, run.incarnation, broken));
    }

    fn finish_run(&mut self, index: usize, run: &Run) {
        if self.rng.random_range(0..100) < 2 {
            // A connection fails or an answer is corrupted without a crash.
            self.break_run(index, run);
            return;
        }
        let router = &mut self.fleet.routers[run.router];
        if router.alive && router.incarnation == run.incarnation {
            let now_ms = self.fleet.now_ms;
            self.successes_ms[run.kind].push(now_ms);
            router.node.run_succeeded(self.kinds[run.kind].request, now_ms);
        }
    }

    /// Reports broken runs to routers that are running, and the outcome of their connection attempts.
    fn process_broken_runs(&mut self) {
        let now_ms = self.fleet.now_ms;
        let unprocessed = std::mem::take(&mut self.unprocessed);
        for (router, incarnation, broken) in unprocessed {
            let target = &mut self.fleet.routers[router];
            if !target.alive || target.incarnation != incarnation {
                continue;
            }
            if target.frozen {
                self.unprocessed.push((router, incarnation, broken));
                continue;
            }
            target.node.run_broken(&broken, now_ms);
            let down = self.servers.iter().any(|server| {
                server.name == broken.server.vm
                    && server.incarnation == broken.server.incarnation
                    && server.down_until_ms.is_some()
            });
            if down && self.rng.random_range(0..100) < self.refusals_percent {
                target.node.record_connection_refused(&broken.server, now_ms);
            } else if !down {
                target.node.record_connection_accepted(&broken.server);
            }
        }
    }

    fn step_clients(&mut self) {
        for kind in 0..self.kinds.len() {
            let now_ms = self.fleet.now_ms;
            if now_ms < self.kinds[kind].next_ms {
                continue;
            }
            self.kinds[kind].next_ms = now_ms + self.kinds[kind].every_ms;
            self.send(kind);
        }
    }

    fn send(&mut self, kind: usize) {
        let now_ms = self.fleet.now_ms;
        let Kind { request, runs_ms, .. } = self.kinds[kind];
        let serves = |index: &usize| {
            let router = &self.fleet.routers[*index];
            router.alive && !router.frozen
        };
        let candidates: Vec<usize> = (0..self.fleet.routers.len()).filter(serves).collect();
        let Some(index) = candidates.choose(&mut self.rng).copied() else { return };
        let router = &self.fleet.routers[index];
        if router.node.quarantine_refusal(Some(request), now_ms).is_some() {
            return;
        }
        let incarnation = router.incarnation;
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|server| self.servers[*server].down_until_ms.is_none())
            .collect();
        let Some(server) = up.choose(&mut self.rng).copied() else { return };
        if self.fleet.must_meet_bounds(index) {
            self.sends_ms[kind].push(now_ms);
        }
        let ends_ms = now_ms + runs_ms;
        self.servers[server].runs.push(Run { kind, router: index, incarnation, ends_ms });
    }

    fn check_harmless(&self) {
        let last = |times: &[u64]| times[times.len().saturating_sub(8)..].to_vec();
        for (index, router) in
            self.fleet.routers.iter().enumerate().filter(|(_, router)| router.alive)
        {
            for (number, kind) in self.kinds.iter().enumerate().filter(|(_, kind)| !kind.crashing) {
                let table = router.node.quarantine();
                assert!(
                    table.quarantined_ms(&kind.request, self.fleet.now_ms).is_none(),
                    "at {} router {index} quarantines the harmless kind {number}, crashes {:?}, \
                     successes {:?}",
                    self.fleet.now_ms,
                    last(&self.crashes_ms[number]),
                    last(&self.successes_ms[number]),
                );
            }
        }
    }

    fn check_late_sends(&self, seed: u64) {
        for (kind, crashes_ms) in self.crashes_ms.iter().enumerate() {
            let Some(third_ms) = crashes_ms.get(2).filter(|_| self.kinds[kind].crashing) else {
                continue;
            };
            let late = self.sends_ms[kind]
                .iter()
                .filter(|sent_ms| **sent_ms > third_ms + FAULT_RECOVERY_MS)
                .count();
            assert!(
                late <= LATE_SENDS_MAX,
                "seed {seed}: {late} late sends of kind {kind}, {} crashes",
                crashes_ms.len()
            );
        }
    }

    fn inject_fault(&mut self) {
        let index = self.rng.random_range(0..self.fleet.routers.len());
        match self.rng.random_range(0..12) {
            0 => self.fleet.restart(index),
            1 => self.fleet.set_frozen(index, true),
            2 => self.fleet.set_frozen(index, false),
            3 => self.fleet.set_cut(index, true),
            4 => self.fleet.set_cut(index, false),
            5 => self.fleet.set_store(StoreMode::Rejecting),
            6 => self.fleet.set_store(StoreMode::Silent),
            7 => self.fleet.set_store(StoreMode::Available),
            8 => self.fleet.discard_history(),
            9 => {
                self.fleet.routers[index].partition = 1;
                self.fleet.record_fault(index);
            }
            10 => {
                self.fleet.routers[index].partition = 0;
                self.fleet.record_fault(index);
            }
            _ => self.fleet.publish(),
        }
    }

    fn end_faults(&mut self) {
        self.fleet.set_store(StoreMode::Available);
        for index in 0..self.fleet.routers.len() {
            self.fleet.set_frozen(index, false);
            self.fleet.set_cut(index, false);
            self.fleet.routers[index].partition = 0;
        }
    }

    fn restart_all(&mut self) {
        for index in 0..self.fleet.routers.len() {
            self.fleet.restart(index);
            self.fleet.record_fault(index);
        }
    }
}

fn schedule(routers: usize, bounds: watch::Bounds, crashing_kinds: u8, seed: u64) {
    let mut scenario = Scenario::new(routers, bounds, crashing_kinds, seed);
    scenario.run_ms(8_000);
    for _ in 0..30 {
        scenario.inject_fault();
        let pause_ms = scenario.rng.random_range(20..1_500);
        scenario.run_ms(pause_ms);
    }
    scenario.end_faults();
    scenario.run_ms(10_000);
    scenario.check_late_sends(seed);
    let now_ms = scenario.fleet.now_ms;
    for router in &scenario.fleet.routers {
        for kind in scenario.kinds.iter().filter(|kind| kind.crashing) {
            let quarantined = router.node.quarantine().quarantined_ms(&kind.request, now_ms);
            assert!(
                quarantined.is_some(),
                "seed {seed}: a router does not quarantine a crashing request"
            );
        }
    }
}

macro_rules! schedules {
    ($($name:ident: $routers:expr, $bounds:expr, $crashing_kinds:expr, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                schedule($routers, $bounds, $crashing_kinds, seed);
            }
        }
    )*};
}

schedules! {
    one_crashing_request_in_a_small_fleet: 7, DEPLOYED_BOUNDS, 1, 0..40;
    three_crashing_requests_in_a_small_fleet: 7, DEPLOYED_BOUNDS, 3, 100..130;
    crashing_requests_in_a_larger_fleet: 24, BOUNDS, 2, 200..215;
}

#[test]
fn a_quarantine_survives_a_restart_of_all_routers() {
    for seed in 300..310 {
        let mut scenario = Scenario::new(7, DEPLOYED_BOUNDS, 1, seed);
        scenario.run_ms(20_000);
        let crashes = scenario.crashes_ms[0].len();
        scenario.restart_all();
        scenario.run_ms(15_000);
        scenario.check_late_sends(seed);
        // Some are sent before a restarted router has read the quarantine record from the store.
        let later = scenario.crashes_ms[0].len() - crashes;
        assert!(
            later < quarantine::CRASHES_TO_QUARANTINE,
            "seed {seed}: {later} crashes after the restart"
        );
    }
}

/// Guards against missed crashes of servers that restart before a router finds that their address refuses connections:
/// only the records of the next incarnations show these crashes.
#[test]
fn a_crashing_request_is_quarantined_by_server_records_alone() {
    for seed in 500..510 {
        let mut scenario = Scenario::new(7, DEPLOYED_BOUNDS, 1, seed);
        scenario.refusals_percent = 0;
        // Records arrive late: at a higher rate the request would crash all servers before any router detects it.
        scenario.kinds[0].every_ms = 2_500;
        scenario.run_ms(40_000);
        let Scenario { fleet, .. } = &scenario;
        for router in &fleet.routers {
            let quarantined =
                router.node.quarantine().quarantined_ms(&fingerprint(0), fleet.now_ms);
            assert!(
                quarantined.is_some(),
                "seed {seed}: a router does not quarantine the crashing request"
            );
        }
    }
}

/// Reports to a router a run that crashed its server.
fn report_crash(fleet: &mut Fleet, router: usize, number: u8) {
    let vm = format!("crashed-{number}");
    let broken = node::BrokenRun {
        slot: ids::RequestSlot::default(),
        server: quarantine::ServerInstance { vm, incarnation: ids::ServerIncarnation(1) },
        address: format!("10.9.2.{number}:1"),
        request: fingerprint(0),
    };
    let now_ms = fleet.now_ms;
    let node = &mut fleet.routers[router].node;
    node.run_broken(&broken, now_ms);
    node.record_connection_refused(&broken.server, now_ms);
}

#[test]
fn a_router_cut_from_its_peers_receives_a_quarantine_from_the_store_after_one_crash() {
    let mut fleet = watch_fleet::up_to_date_fleet(7, DEPLOYED_BOUNDS, 400);
    let alone = 3;
    fleet.routers[alone].partition = 1;
    fleet.record_fault(alone);
    fleet.run_until("the router counts itself as the only live member", 60_000, |fleet| {
        fleet.routers[alone].node.members().live_count() == 1
    });
    for crash in 0..3 {
        report_crash(&mut fleet, usize::from(crash), crash);
        fleet.run_ms(1_000);
    }
    let quarantined = |fleet: &Fleet, router: usize| {
        let table = fleet.routers[router].node.quarantine();
        table.quarantined_ms(&fingerprint(0), fleet.now_ms).is_some()
    };
    assert!(quarantined(&fleet, 0) && !quarantined(&fleet, alone));
    report_crash(&mut fleet, alone, 7);
    fleet.run_ms(1_000);
    assert!(quarantined(&fleet, alone));
}

#[test]
fn a_router_without_crashes_reads_the_quarantine_record_once() {
    let mut fleet = watch_fleet::up_to_date_fleet(7, DEPLOYED_BOUNDS, 401);
    fleet.run_ms(60_000);
    assert_eq!(fleet.value_calls, 7);
}

#[test]
fn a_router_that_starts_while_the_store_is_unavailable_receives_a_quarantine_from_its_peers() {
    for seed in 410..420 {
        let mut fleet = watch_fleet::up_to_date_fleet(7, DEPLOYED_BOUNDS, seed);
        fleet.loss_percent = 10;
        for crash in 0..3 {
            report_crash(&mut fleet, usize::from(crash), crash);
            fleet.run_ms(1_000);
        }
        fleet.run_ms(5_000);
        fleet.set_store(StoreMode::Silent);
        fleet.restart(5);
        fleet.run_until(
            "the restarted router quarantines the request",
            FAULT_RECOVERY_MS,
            |fleet| {
                let table = fleet.routers[5].node.quarantine();
                table.quarantined_ms(&fingerprint(0), fleet.now_ms).is_some()
            },
        );
    }
}
