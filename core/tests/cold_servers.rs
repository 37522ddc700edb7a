//! What cold servers get from a whole fleet: routers that know each other, that were cut apart, and that just started.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_core::{ids, servers};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeSet, HashMap};

const SERVICE: &str = "model";
const LIMIT: servers::ColdLimit = servers::ColdLimit { milli_per_s: 7_700, start_ms: 3_000 };
/// What a cold server may get within a second: half again of what it bears, and five more.
const MOST: usize = 16;
const TICK_MS: u64 = 20;

fn vm(place: usize, cold_ms: u64, domain: &str) -> servers::Vm {
    servers::Vm {
        vm: format!("server-{place}"),
        service: SERVICE.to_owned(),
        address: format!("10.0.0.{place}:1"),
        class: String::new(),
        failure_domain: domain.to_owned(),
        state: servers::VmState::Live,
        slots: 24,
        incarnation: Default::default(),
        cold_ms,
    }
}

/// Routers' tables of servers, without the routers.
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
        fleet.limit();
        fleet
    }

    /// The configuration says what cold servers bear.
    fn limit(&mut self) {
        for table in &mut self.tables {
            table.set_cold_limits([(SERVICE.to_owned(), LIMIT)].into_iter(), 0);
        }
    }

    fn follow(&mut self, vms: &[servers::Vm], now_ms: u64) {
        self.tables.iter_mut().for_each(|table| table.apply_list(vms, now_ms));
    }

    /// Requests of one prompt or of many come at random routers; each takes a while.
    fn run(&mut self, from_ms: u64, to_ms: u64, per_s: u64, prompts: u64) {
        let mut running: Vec<(u64, usize, ids::ServerSlot)> = Vec::new();
        for now_ms in (from_ms..to_ms).step_by(TICK_MS as usize) {
            for (_, at, slot) in running.extract_if(.., |(end_ms, ..)| *end_ms <= now_ms) {
                self.tables[at].record_end(slot);
            }
            for _ in 0..per_s * TICK_MS / 1_000 {
                let at = self.rng.random_range(0..self.tables.len());
                let prompt = self.rng.random_range(0..prompts);
                let parts = servers::chain([(prompt, 5_000), (self.rng.random(), 500)].into_iter());
                let wanted = servers::Criteria {
                    service: SERVICE,
                    classes: &[],
                    prefix_hash: None,
                    parts: &parts,
                    excluded: &[],
                };
                match self.tables[at].choose(&wanted, now_ms, &mut self.rng) {
                    Ok(choice) => {
                        self.served += 1;
                        self.arrivals.entry(choice.slot).or_default().push(now_ms);
                        running.push((now_ms + 300, at, choice.slot));
                    }
                    Err(_) => self.refused += 1,
                }
            }
        }
    }

    /// The most that one server got within a second.
    fn most_in_a_second(&self) -> usize {
        let most = |times: &Vec<u64>| {
            let within = |from_ms: &u64| {
                times.iter().filter(|at_ms| (*from_ms..from_ms + 1_000).contains(at_ms)).count()
            };
            times.iter().map(within).max().unwrap_or(0)
        };
        self.arrivals.values().map(most).max().unwrap_or(0)
    }
}

macro_rules! cold_servers {
    ($($name:ident: $routers:expr, $servers:expr, $per_s:expr, $prompts:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..5 {
                let mut fleet = Fleet::new($routers, seed);
                let vms: Vec<servers::Vm> = (0..$servers).map(|it| vm(it, 3_000, "a")).collect();
                fleet.follow(&vms, 0);
                fleet.run(0, 3_000, $per_s, $prompts);
                let most = fleet.most_in_a_second();
                assert!(most <= MOST, "seed {seed}: {most} in a second");
            }
        }
    )*};
}

cold_servers! {
    all_servers_are_cold_before_75_routers_and_a_hot_prompt: 75, 140, 2_000, 1;
    all_servers_are_cold_before_75_routers: 75, 140, 2_000, 200;
    all_servers_are_cold_before_7_routers: 7, 9, 500, 3;
    all_servers_are_cold_before_a_single_router: 1, 4, 500, 1;
    all_servers_are_cold_before_300_routers: 300, 240, 3_000, 10;
}

#[test]
fn a_cold_fleet_serves_most_of_what_it_bears() {
    let mut fleet = Fleet::new(75, 1);
    let vms: Vec<servers::Vm> = (0..140).map(|place| vm(place, 3_000, "a")).collect();
    fleet.follow(&vms, 0);
    fleet.run(0, 3_000, 1_000, 200);
    // 140 servers bear 1,078 a second.
    assert!(fleet.served >= 3 * 400, "{} served, {} refused", fleet.served, fleet.refused);
}

/// Each cold server gets something, also of a limit near one request a second.
#[test]
fn no_cold_server_is_left_out() {
    for routers in [1, 7, 75, 300] {
        let mut fleet = Fleet::new(routers, 8);
        let limit = servers::ColdLimit { milli_per_s: 1_100, ..LIMIT };
        for table in &mut fleet.tables {
            table.set_cold_limits([(SERVICE.to_owned(), limit)].into_iter(), 0);
        }
        let vms: Vec<servers::Vm> = (0..20).map(|place| vm(place, 10_000, "a")).collect();
        fleet.follow(&vms, 0);
        fleet.run(0, 10_000, 2_000, 200);
        assert_eq!(fleet.arrivals.len(), vms.len(), "{routers} routers");
        // 20 servers bear 220 in that time, of which 60 in 100 are used, and each may have one more at once.
        assert!((110..=160).contains(&fleet.served), "{routers} routers: {}", fleet.served);
    }
}

/// Groups that do not hear each other share what a cold server bears.
#[test]
fn groups_that_are_cut_share_a_cold_server() {
    let mut fleet = Fleet::new(40, 9);
    let members: Vec<ids::Incarnation> =
        (0..40).map(|_| ids::Incarnation(fleet.rng.random())).collect();
    for (place, table) in fleet.tables.iter_mut().enumerate() {
        let group = if place < 25 { &members[..25] } else { &members[25..] };
        let own = members[place];
        let members = group.to_vec();
        table.set_fleet(servers::Fleet { own, members, routers: 40, settled: true });
    }
    let vms: Vec<servers::Vm> = (0..10).map(|place| vm(place, 10_000, "a")).collect();
    fleet.follow(&vms, 0);
    fleet.run(0, 10_000, 2_000, 200);
    let most = fleet.most_in_a_second();
    assert!(most <= MOST, "{most} in a second");
    // Of 770 that the servers bear in that time 60 in 100 are used.
    assert!(fleet.served >= 770 * 60 / 100 * 80 / 100, "{} served", fleet.served);
}

#[test]
fn a_server_that_becomes_cold_again_is_spared_again() {
    let mut fleet = Fleet::new(75, 2);
    fleet.follow(&[vm(0, 0, "a"), vm(1, 0, "a")], 0);
    fleet.run(0, 1_000, 500, 1);
    fleet.arrivals.clear();
    // Requests that ended count no more.
    fleet.follow(&[], 1_000);
    fleet.follow(&[vm(0, 3_000, "a"), vm(1, 2_000, "a")], 1_000);
    fleet.run(1_000, 2_900, 500, 1);
    let most = fleet.most_in_a_second();
    assert!(most <= MOST, "{most} in a second");
}

#[test]
fn warm_servers_are_not_held_back() {
    let mut fleet = Fleet::new(75, 3);
    fleet.follow(&[vm(0, 0, "a"), vm(1, 3_000, "a")], 0);
    fleet.run(0, 1_000, 100, 1);
    assert_eq!(fleet.refused, 0);
}

#[test]
fn servers_of_a_domain_that_is_taken_back_are_cold() {
    let mut fleet = Fleet::new(75, 4);
    let vms: Vec<servers::Vm> = (0..20).map(|place| vm(place, 0, "a")).collect();
    fleet.follow(&vms, 0);
    let evacuated = BTreeSet::from(["a".to_owned()]);
    fleet.tables.iter_mut().for_each(|table| table.evacuate(evacuated.clone(), 0));
    fleet.run(0, 1_000, 500, 2);
    assert_eq!(fleet.served, 0, "an evacuated domain gets nothing");
    fleet.tables.iter_mut().for_each(|table| table.evacuate(BTreeSet::new(), 1_000));
    fleet.run(1_000, 4_000, 2_000, 2);
    let most = fleet.most_in_a_second();
    assert!((1..=MOST).contains(&most), "{most} in a second");
}

#[test]
fn a_router_that_does_not_know_the_fleet_yet_sends_cold_servers_nothing() {
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
fn a_cold_time_out_of_range_is_bounded() {
    let mut fleet = Fleet::new(1, 6);
    fleet.follow(&[vm(0, u64::MAX, "a")], 0);
    fleet.run(60_000, 61_000, 50, 1);
    assert_eq!(fleet.refused, 0, "no server is cold for longer than a minute");
}

#[test]
fn cold_servers_that_are_heard_of_before_the_configuration_are_spared() {
    let mut fleet = Fleet::new(75, 7);
    for table in &mut fleet.tables {
        table.set_cold_limits([].into_iter(), 0);
    }
    let vms: Vec<servers::Vm> = (0..20).map(|place| vm(place, 3_000, "a")).collect();
    fleet.follow(&vms, 0);
    fleet.limit();
    fleet.run(0, 2_900, 2_000, 2);
    let most = fleet.most_in_a_second();
    assert!((1..=MOST).contains(&most), "{most} in a second");
}
