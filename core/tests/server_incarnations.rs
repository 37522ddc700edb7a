//! Guards against state of one server incarnation (leaving, ejection, load, prompts, open requests) that the server
//! table applies to the next one.

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
        version: String::new(),
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

struct Fixture {
    table: servers::Table,
    rng: StdRng,
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self { table: servers::Table::default(), rng: StdRng::seed_from_u64(1) };
        fixture.table.apply_list(&[live(5)], 0);
        fixture
    }

    fn choose(&mut self, parts: &[servers::Part]) -> Result<servers::Choice, servers::Unavailable> {
        let criteria = servers::Criteria {
            service: "service",
            classes: &[],
            version: None,
            recorded_versions_only: false,
            prefix_hash: None,
            parts,
            excluded: &[],
        };
        self.table.choose(&criteria, NOW_MS, &mut self.rng)
    }

    fn present(&self) -> &servers::Server {
        self.table.get(self.table.find("one").unwrap()).unwrap()
    }

    /// Restarts the server: the table receives its next incarnation.
    fn restart(&mut self) {
        self.table.apply_list(&[live(6)], NOW_MS);
    }
}

#[test]
fn leaving_does_not_outlast_a_restart() {
    let mut fixture = Fixture::new();
    fixture.table.mark_leaving("one", ids::ServerIncarnation(5));
    assert_eq!(fixture.choose(&[]).unwrap_err(), servers::Unavailable::None);
    fixture.restart();
    assert!(fixture.choose(&[]).is_ok());
}

#[test]
fn a_late_leaving_update_of_the_earlier_incarnation_is_ignored() {
    let mut fixture = Fixture::new();
    fixture.restart();
    fixture.table.mark_leaving("one", ids::ServerIncarnation(5));
    assert!(fixture.choose(&[]).is_ok());
    fixture.table.mark_leaving("one", ids::ServerIncarnation(6));
    assert_eq!(fixture.choose(&[]).unwrap_err(), servers::Unavailable::None);
}

#[test]
fn a_late_record_of_the_earlier_incarnation_is_ignored() {
    let mut fixture = Fixture::new();
    fixture.restart();
    fixture.table.apply_list(&[vm(5, servers::VmState::Leaving)], NOW_MS);
    assert_eq!(fixture.present().vm, live(6));
    assert!(fixture.choose(&[]).is_ok());
}

#[test]
fn an_ejection_does_not_outlast_a_restart() {
    let mut fixture = Fixture::new();
    let slot = fixture.table.find("one").unwrap();
    let ejected = (0..5).filter_map(|_| fixture.table.record_failure(slot, NOW_MS, NOW_MS)).count();
    assert!(ejected > 0);
    fixture.restart();
    let slot = fixture.table.find("one").unwrap();
    assert_eq!(
        fixture.table.record_failure(slot, NOW_MS, NOW_MS),
        None,
        "failures of the earlier incarnation are counted"
    );
}

#[test]
fn load_and_open_requests_do_not_outlast_a_restart() {
    let mut fixture = Fixture::new();
    for _ in 0..4 {
        fixture.choose(&[]).unwrap();
    }
    let slot = fixture.table.find("one").unwrap();
    fixture.table.record_load(slot, servers::Load { running: 4, queued: 9, slots: 4 });
    assert_eq!(fixture.choose(&[]).unwrap_err(), servers::Unavailable::Full);
    fixture.restart();
    assert_eq!((fixture.present().load, fixture.present().in_flight), (None, 0));
    assert!(fixture.choose(&[]).is_ok());
}

#[test]
fn cached_prompts_do_not_outlast_a_restart() {
    let parts = servers::chain([(1, 100), (2, 50)].into_iter());
    let mut fixture = Fixture::new();
    let first = fixture.choose(&parts).unwrap();
    let again = fixture.choose(&parts).unwrap();
    assert_eq!((first.slot, again.unread_tokens), (again.slot, 0));
    fixture.restart();
    let next = fixture.choose(&parts).unwrap();
    assert_ne!(next.slot, first.slot);
    assert!(
        next.unread_tokens > 0,
        "the whole prompt counts as cached after the restart: {} unread tokens",
        next.unread_tokens
    );
}

#[test]
fn results_of_the_earlier_incarnation_are_not_counted_for_the_later_one() {
    let mut fixture = Fixture::new();
    let earlier = fixture.choose(&[]).unwrap().slot;
    fixture.restart();
    assert_eq!(
        fixture.table.take_restarted(),
        [servers::Restarted {
            vm: "one".to_owned(),
            incarnation: ids::ServerIncarnation(6),
            open_requests: 1
        }]
    );
    let later = fixture.choose(&[]).unwrap().slot;
    fixture.table.record_load(earlier, servers::Load { running: 9, queued: 9, slots: 1 });
    fixture.table.record_failure(earlier, NOW_MS, NOW_MS);
    fixture.table.record_end(earlier);
    assert_eq!((fixture.present().in_flight, fixture.present().load), (1, None));
    fixture.table.apply_list(&[live(6)], NOW_MS);
    assert!(
        fixture.table.get(earlier).is_none(),
        "the earlier incarnation is kept without an open request"
    );
    assert_eq!(fixture.table.find("one"), Some(later));
}

#[test]
fn the_earlier_incarnation_is_removed_with_its_last_request_although_its_name_is_listed() {
    let mut fixture = Fixture::new();
    let earlier = fixture.choose(&[]).unwrap().slot;
    fixture.restart();
    fixture.table.apply_list(&[live(6)], NOW_MS);
    assert!(
        fixture.table.get(earlier).is_some(),
        "the earlier incarnation was removed with an open request"
    );
    fixture.table.record_end(earlier);
    fixture.table.apply_list(&[], NOW_MS);
    assert_eq!(fixture.table.iter().count(), 0);
}
