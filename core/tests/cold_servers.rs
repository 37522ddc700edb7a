//! Requests that a whole fleet sends to cold servers, when its routers are connected, partitioned or have just started.
//! Guards against cold servers that receive more than their limit from all routers together, and against limits that
//! leave capacity unused.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_core::{ids, servers};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeSet, HashMap};

const SERVICE: &str = "model";
const LIMIT: servers::ColdLimit = servers::ColdLimit { milli_per_s: 7_700, start_ms: 3_000 };
/// Requests that a cold server may receive within a second: one and a half times its limit, and five more.
const REQUESTS_PER_S_MAX: usize = 16;
const TICK_MS: u64 = 20;

fn vm(index: usize, cold_ms: u64, domain: &str) -> servers::Vm {
    servers::Vm {
        vm: format!("server-{index}"),
        service: SERVICE.to_owned(),
        address: format!("10.0.0.{index}:1"),
        class: String::new(),
        version: String::new(),
        failure_domain: domain.to_owned(),
        state: servers::VmState::Live,
        slots: 24,
        incarnation: Default::default(),
        cold_ms,
    }
}

/// The server tables of a fleet, without its routers.
struct Fleet {
    tables: Vec<servers::Table>,
    rng: StdRng,
    arrivals: HashMap<ids::ServerSlot, Vec<u64>>,
    refused: usize,
    served: usize,
}

impl Fleet {
    fn new(routers: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let members: Vec<ids::Incarnation> =
            (0..routers).map(|_| ids::Incarnation(rng.random())).collect();
        let tables = members.iter().map(|own| {
            let mut table = servers::Table::default();
            let (own, members, routers) = (*own, members.clone(), routers as u64);
            table.set_fleet(servers::Fleet { own, members, routers, settled: true });
            table
        });
        let tables = tables.collect();
        let mut fleet = Self { tables, rng, arrivals: HashMap::new(), refused: 0, served: 0 };
        fleet.set_cold_limit();
        fleet
    }

    /// Applies the cold limit of the configuration to all routers.
    fn set_cold_limit(&mut self) {
        for table in &mut self.tables {
            table.set_cold_limits([(SERVICE.to_owned(), LIMIT)].into_iter(), 0);
        }
    }

    fn follow(&mut self, vms: &[servers::Vm], now_ms: u64) {
        self.tables.iter_mut().for_each(|table| table.apply_list(vms, now_ms));
    }

    /// Sends requests with randomly chosen prompts to random routers; each runs for 300 ms.
    fn run(&mut self, from_ms: u64, to_ms: u64, per_s: u64, prompts: u64) {
        let mut running: Vec<(u64, usize, ids::ServerSlot)> = Vec::new();
        for now_ms in (from_ms..to_ms).step_by(TICK_MS as usize) {
            for (_, router, slot) in running.extract_if(.., |(end_ms, ..)| *end_ms <= now_ms) {
                self.tables[router].record_end(slot);
            }
            for _ in 0..per_s * TICK_MS / 1_000 {
                let router = self.rng.random_range(0..self.tables.len());
                let prompt = self.rng.random_range(0..prompts);
                let parts = servers::chain([(prompt, 5_000), (self.rng.random(), 500)].into_iter());
                let criteria = servers::Criteria {
                    service: SERVICE,
                    classes: &[],
                    version: None,
                    recorded_versions_only: false,
                    prefix_hash: None,
                    parts: &parts,
                    excluded: &[],
                };
                match self.tables[router].choose(&criteria, now_ms, &mut self.rng) {
                    Ok(choice) => {
                        self.served += 1;
                        self.arrivals.entry(choice.slot).or_default().push(now_ms);
                        running.push((now_ms + 300, router, choice.slot));
                    }
                    Err(_) => self.refused += 1,
                }
            }
        }
    }

    /// The largest number of requests that one server received within a second.
    fn max_in_a_second(&self) -> usize {
        let max_of_server = |times: &Vec<u64>| {
            let within = |from_ms: &u64| {
                times.iter().filter(|at_ms| (*from_ms..from_ms + 1_000).contains(at_ms)).count()
            };
            times.iter().map(within).max().unwrap_or(0)
        };
        self.arrivals.values().map(max_of_server).max().unwrap_or(0)
    }
}

macro_rules! cold_servers {
    ($($name:ident: $routers:expr, $servers:expr, $per_s:expr, $prompts:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..5 {
                let mut fleet = Fleet::new($routers, seed);
                let vms: Vec<servers::Vm> = (0..$servers).map(|index| vm(index, 3_000, "a")).collect();
                fleet.follow(&vms, 0);
                fleet.run(0, 3_000, $per_s, $prompts);
                let max_per_s = fleet.max_in_a_second();
                assert!(
                    max_per_s <= REQUESTS_PER_S_MAX,
                    "seed {seed}: the busiest server received {max_per_s} requests in a second"
                );
            }
        }
    )*};
}

cold_servers! {
    cold_limits_hold_with_75_routers_and_one_prompt: 75, 140, 2_000, 1;
    cold_limits_hold_with_75_routers: 75, 140, 2_000, 200;
    cold_limits_hold_with_7_routers: 7, 9, 500, 3;
    cold_limits_hold_with_one_router: 1, 4, 500, 1;
    cold_limits_hold_with_300_routers: 300, 240, 3_000, 10;
}

#[test]
fn cold_servers_are_used_to_a_third_of_their_capacity_at_least() {
    let mut fleet = Fleet::new(75, 1);
    let vms: Vec<servers::Vm> = (0..140).map(|index| vm(index, 3_000, "a")).collect();
    fleet.follow(&vms, 0);
    fleet.run(0, 3_000, 1_000, 200);
    // 140 servers allow 1,078 requests a second.
    assert!(
        fleet.served >= 3 * 400,
        "only {} requests were served and {} refused",
        fleet.served,
        fleet.refused
    );
}

/// Guards against cold servers that receive no requests because their limit is near one request a second.
#[test]
fn every_cold_server_receives_requests() {
    for routers in [1, 7, 75, 300] {
        let mut fleet = Fleet::new(routers, 8);
        let limit = servers::ColdLimit { milli_per_s: 1_100, ..LIMIT };
        for table in &mut fleet.tables {
            table.set_cold_limits([(SERVICE.to_owned(), limit)].into_iter(), 0);
        }
        let vms: Vec<servers::Vm> = (0..20).map(|index| vm(index, 10_000, "a")).collect();
        fleet.follow(&vms, 0);
        fleet.run(0, 10_000, 2_000, 200);
        assert_eq!(fleet.arrivals.len(), vms.len(), "{routers} routers leave a cold server unused");
        // 20 servers allow 220 requests in that time, of which 60 percent are used, and each may receive one more at
        // once.
        assert!(
            (110..=160).contains(&fleet.served),
            "{routers} routers served {} requests",
            fleet.served
        );
    }
}

/// Guards against partitions that each use the whole limit of a cold server.
#[test]
fn partitioned_groups_share_a_cold_limit() {
    let mut fleet = Fleet::new(40, 9);
    let members: Vec<ids::Incarnation> =
        (0..40).map(|_| ids::Incarnation(fleet.rng.random())).collect();
    for (index, table) in fleet.tables.iter_mut().enumerate() {
        let group = if index < 25 { &members[..25] } else { &members[25..] };
        let own = members[index];
        let members = group.to_vec();
        table.set_fleet(servers::Fleet { own, members, routers: 40, settled: true });
    }
    let vms: Vec<servers::Vm> = (0..10).map(|index| vm(index, 10_000, "a")).collect();
    fleet.follow(&vms, 0);
    fleet.run(0, 10_000, 2_000, 200);
    let max_per_s = fleet.max_in_a_second();
    assert!(
        max_per_s <= REQUESTS_PER_S_MAX,
        "the busiest server received {max_per_s} requests in a second"
    );
    // The servers allow 770 requests in that time, of which 60 percent are used.
    assert!(
        fleet.served >= 770 * 60 / 100 * 80 / 100,
        "only {} requests were served",
        fleet.served
    );
}

#[test]
fn the_cold_limit_holds_for_a_server_that_becomes_cold_again() {
    let mut fleet = Fleet::new(75, 2);
    fleet.follow(&[vm(0, 0, "a"), vm(1, 0, "a")], 0);
    fleet.run(0, 1_000, 500, 1);
    fleet.arrivals.clear();
    // Requests that ended no longer count.
    fleet.follow(&[], 1_000);
    fleet.follow(&[vm(0, 3_000, "a"), vm(1, 2_000, "a")], 1_000);
    fleet.run(1_000, 2_900, 500, 1);
    let max_per_s = fleet.max_in_a_second();
    assert!(
        max_per_s <= REQUESTS_PER_S_MAX,
        "the busiest server received {max_per_s} requests in a second"
    );
}

#[test]
fn warm_servers_are_not_held_back() {
    let mut fleet = Fleet::new(75, 3);
    fleet.follow(&[vm(0, 0, "a"), vm(1, 3_000, "a")], 0);
    fleet.run(0, 1_000, 100, 1);
    assert_eq!(fleet.refused, 0);
}

#[test]
fn servers_are_cold_after_the_evacuation_of_their_failure_domain_ends() {
    let mut fleet = Fleet::new(75, 4);
    let vms: Vec<servers::Vm> = (0..20).map(|index| vm(index, 0, "a")).collect();
    fleet.follow(&vms, 0);
    let evacuated = BTreeSet::from(["a".to_owned()]);
    fleet.tables.iter_mut().for_each(|table| table.evacuate(evacuated.clone(), 0));
    fleet.run(0, 1_000, 500, 2);
    assert_eq!(fleet.served, 0, "servers of an evacuated failure domain received requests");
    fleet.tables.iter_mut().for_each(|table| table.evacuate(BTreeSet::new(), 1_000));
    fleet.run(1_000, 4_000, 2_000, 2);
    let max_per_s = fleet.max_in_a_second();
    assert!(
        (1..=REQUESTS_PER_S_MAX).contains(&max_per_s),
        "the busiest server received {max_per_s} requests in a second"
    );
}

#[test]
fn a_router_without_a_settled_member_list_sends_nothing_to_cold_servers() {
    let mut fleet = Fleet::new(1, 5);
    let own = ids::Incarnation(7);
    fleet.tables[0].set_fleet(servers::Fleet {
        own,
        members: vec![own],
        routers: 1,
        settled: false,
    });
    fleet.follow(&[vm(0, 3_000, "a")], 0);
    fleet.run(0, 1_000, 100, 1);
    assert_eq!(fleet.served, 0);
    assert_eq!(fleet.refused, 100);
}

#[test]
fn a_cold_time_is_capped_at_a_minute() {
    let mut fleet = Fleet::new(1, 6);
    fleet.follow(&[vm(0, u64::MAX, "a")], 0);
    fleet.run(60_000, 61_000, 50, 1);
    assert_eq!(fleet.refused, 0, "a server was cold for longer than a minute");
}

#[test]
fn the_cold_limit_holds_for_servers_that_are_listed_before_the_configuration_arrives() {
    let mut fleet = Fleet::new(75, 7);
    for table in &mut fleet.tables {
        table.set_cold_limits([].into_iter(), 0);
    }
    let vms: Vec<servers::Vm> = (0..20).map(|index| vm(index, 3_000, "a")).collect();
    fleet.follow(&vms, 0);
    fleet.set_cold_limit();
    fleet.run(0, 2_900, 2_000, 2);
    let max_per_s = fleet.max_in_a_second();
    assert!(
        (1..=REQUESTS_PER_S_MAX).contains(&max_per_s),
        "the busiest server received {max_per_s} requests in a second"
    );
}
