//! What the table of servers knows of one life of a server does not hold for the next.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_core::{ids, servers};
use rand::SeedableRng;
use rand::rngs::StdRng;

const NOW_MS: u64 = 1_000;

fn vm(incarnation: u64, state: servers::VmState) -> servers::Vm {
    servers::Vm {
        vm: "one".to_owned(),
        service: "service".to_owned(),
        address: "one:1".to_owned(),
        class: String::new(),
        failure_domain: "a".to_owned(),
        state,
        slots: 4,
        incarnation: ids::ServerIncarnation(incarnation),
        cold_ms: 0,
    }
}

fn live(incarnation: u64) -> servers::Vm {
    vm(incarnation, servers::VmState::Live)
}

struct Bench {
    table: servers::Table,
    rng: StdRng,
}

impl Bench {
    fn new() -> Self {
        let mut bench = Self { table: servers::Table::default(), rng: StdRng::seed_from_u64(1) };
        bench.table.apply_list(&[live(5)], 0);
        bench
    }

    fn choose(&mut self, parts: &[servers::Part]) -> Result<servers::Choice, servers::Unavailable> {
        let wanted = servers::Criteria {
            service: "service",
            classes: &[],
            prefix_hash: None,
            parts,
            excluded: &[],
        };
        self.table.choose(&wanted, NOW_MS, &mut self.rng)
    }

    fn present(&self) -> &servers::Server {
        self.table.get(self.table.find("one").unwrap()).unwrap()
    }

    /// The server starts again.
    fn restart(&mut self) {
        self.table.apply_list(&[live(6)], NOW_MS);
    }
}

#[test]
fn a_leaving_is_forgotten() {
    let mut bench = Bench::new();
    bench.table.mark_leaving("one", ids::ServerIncarnation(5));
    assert_eq!(bench.choose(&[]).unwrap_err(), servers::Unavailable::None);
    bench.restart();
    assert!(bench.choose(&[]).is_ok());
}

#[test]
fn a_leaving_of_the_earlier_life_that_comes_late_changes_nothing() {
    let mut bench = Bench::new();
    bench.restart();
    bench.table.mark_leaving("one", ids::ServerIncarnation(5));
    assert!(bench.choose(&[]).is_ok());
    bench.table.mark_leaving("one", ids::ServerIncarnation(6));
    assert_eq!(bench.choose(&[]).unwrap_err(), servers::Unavailable::None);
}

#[test]
fn an_older_record_that_comes_late_changes_nothing() {
    let mut bench = Bench::new();
    bench.restart();
    bench.table.apply_list(&[vm(5, servers::VmState::Leaving)], NOW_MS);
    assert_eq!(bench.present().vm, live(6));
    assert!(bench.choose(&[]).is_ok());
}

#[test]
fn an_ejection_is_forgotten() {
    let mut bench = Bench::new();
    let slot = bench.table.find("one").unwrap();
    let ejected = (0..5).filter_map(|_| bench.table.record_failure(slot, NOW_MS)).count();
    assert!(ejected > 0);
    bench.restart();
    let slot = bench.table.find("one").unwrap();
    assert_eq!(bench.table.record_failure(slot, NOW_MS), None, "failures are counted anew");
}

#[test]
fn load_and_requests_are_forgotten() {
    let mut bench = Bench::new();
    for _ in 0..4 {
        bench.choose(&[]).unwrap();
    }
    let slot = bench.table.find("one").unwrap();
    bench.table.record_load(slot, servers::Load { running: 4, queued: 9, slots: 4 });
    assert_eq!(bench.choose(&[]).unwrap_err(), servers::Unavailable::Full);
    bench.restart();
    assert_eq!((bench.present().load, bench.present().in_flight), (None, 0));
    assert!(bench.choose(&[]).is_ok());
}

#[test]
fn prompts_that_were_sent_are_forgotten() {
    let parts = servers::chain([(1, 100), (2, 50)].into_iter());
    let mut bench = Bench::new();
    let first = bench.choose(&parts).unwrap();
    let again = bench.choose(&parts).unwrap();
    assert_eq!((first.slot, again.unread_tokens), (again.slot, 0));
    bench.restart();
    let next = bench.choose(&parts).unwrap();
    assert_ne!(next.slot, first.slot);
    assert!(next.unread_tokens > 0, "the last part is read anew: {}", next.unread_tokens);
}

#[test]
fn what_ends_at_the_earlier_life_is_not_put_to_the_later_one_s_account() {
    let mut bench = Bench::new();
    let earlier = bench.choose(&[]).unwrap().slot;
    bench.restart();
    assert_eq!(
        bench.table.take_restarted(),
        [servers::Restarted {
            vm: "one".to_owned(),
            incarnation: ids::ServerIncarnation(6),
            open_requests: 1
        }]
    );
    let later = bench.choose(&[]).unwrap().slot;
    bench.table.record_load(earlier, servers::Load { running: 9, queued: 9, slots: 1 });
    bench.table.record_failure(earlier, NOW_MS);
    bench.table.record_end(earlier);
    assert_eq!((bench.present().in_flight, bench.present().load), (1, None));
    bench.table.apply_list(&[live(6)], NOW_MS);
    assert!(bench.table.get(earlier).is_none(), "nothing keeps it");
    assert_eq!(bench.table.find("one"), Some(later));
}

#[test]
fn the_earlier_life_is_gone_once_its_last_request_ends_though_its_name_is_listed() {
    let mut bench = Bench::new();
    let earlier = bench.choose(&[]).unwrap().slot;
    bench.restart();
    bench.table.apply_list(&[live(6)], NOW_MS);
    assert!(bench.table.get(earlier).is_some(), "a request is open there");
    bench.table.record_end(earlier);
    bench.table.apply_list(&[], NOW_MS);
    assert_eq!(bench.table.iter().count(), 0);
}
