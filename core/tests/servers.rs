//! The choice among backend servers.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_core::{ids, servers};
use rand::SeedableRng;
use rand::rngs::StdRng;

struct Bench {
    table: servers::Table,
    rng: StdRng,
    now_ms: u64,
}

fn vm(name: &str, class: &str, state: servers::VmState) -> servers::Vm {
    servers::Vm {
        vm: name.to_owned(),
        service: "service".to_owned(),
        address: format!("{name}:1"),
        class: class.to_owned(),
        failure_domain: "a".to_owned(),
        state,
        slots: 0,
        incarnation: Default::default(),
        cold_ms: 0,
    }
}

impl Bench {
    fn new(vms: &[servers::Vm]) -> Self {
        let mut table = servers::Table::default();
        table.apply_list(vms, 0);
        Self { table, rng: StdRng::seed_from_u64(1), now_ms: 1_000 }
    }

    fn two() -> Self {
        let live = servers::VmState::Live;
        Self::new(&[vm("one", "new", live), vm("two", "old", live)])
    }

    fn choose_for(
        &mut self,
        classes: &[String],
        prefix_hash: Option<u64>,
        excluded: &[ids::ServerSlot],
    ) -> Result<ids::ServerSlot, servers::Unavailable> {
        let parts = &[];
        let wanted =
            servers::Criteria { service: "service", classes, prefix_hash, parts, excluded };
        self.table.choose(&wanted, self.now_ms, &mut self.rng).map(|choice| choice.slot)
    }

    fn choose(&mut self) -> Result<ids::ServerSlot, servers::Unavailable> {
        self.choose_for(&[], None, &[])
    }

    fn name(&self, slot: ids::ServerSlot) -> String {
        self.table.get(slot).unwrap().vm.vm.clone()
    }
}

#[test]
fn only_the_allowed_classes_are_chosen() {
    let mut bench = Bench::two();
    for _ in 0..8 {
        let slot = bench.choose_for(&["old".to_owned()], None, &[]).unwrap();
        assert_eq!(bench.name(slot), "two");
        bench.table.record_end(slot);
    }
    let none = bench.choose_for(&["other".to_owned()], None, &[]);
    assert_eq!(none, Err(servers::Unavailable::None));
}

#[test]
fn a_leaving_server_gets_nothing_new_and_stays_leaving_in_an_older_list() {
    let mut bench = Bench::two();
    bench.table.mark_leaving("one", ids::ServerIncarnation::UNKNOWN);
    let live = servers::VmState::Live;
    bench.table.apply_list(&[vm("one", "new", live), vm("two", "old", live)], 0);
    for _ in 0..8 {
        let slot = bench.choose().unwrap();
        assert_eq!(bench.name(slot), "two");
    }
}

#[test]
fn full_servers_are_told_from_none() {
    let mut bench = Bench::two();
    let chosen = (0..1_000).map_while(|_| bench.choose().ok()).count();
    assert_eq!(chosen, 16, "eight slots on each of two");
    assert_eq!(bench.choose(), Err(servers::Unavailable::Full));
    bench.table.apply_list(&[], 0);
    assert_eq!(bench.choose(), Err(servers::Unavailable::None));
}

#[test]
fn a_failing_server_is_ejected_and_tried_again_with_one_request() {
    let mut bench = Bench::two();
    let bad = bench.choose().unwrap();
    for _ in 0..3 {
        bench.table.record_failure(bad, bench.now_ms);
    }
    for _ in 0..5 {
        assert_ne!(bench.choose().unwrap(), bad);
    }
    bench.now_ms += 60_000;
    let tries = (0..12).filter(|_| bench.choose() == Ok(bad)).count();
    assert_eq!(tries, 1);
    bench.table.record_success(bad, 10, 0);
    let tries = (0..4).filter(|_| bench.choose() == Ok(bad)).count();
    assert!(tries > 0);
}

#[test]
fn a_server_that_failed_the_request_is_not_chosen_for_it_again() {
    let mut bench = Bench::two();
    let first = bench.choose().unwrap();
    for _ in 0..5 {
        assert_ne!(bench.choose_for(&[], None, &[first]).unwrap(), first);
    }
}

#[test]
fn a_prefix_goes_where_it_went_unless_that_server_is_much_busier() {
    let mut bench = Bench::two();
    let first = bench.choose_for(&[], Some(9), &[]).unwrap();
    bench.table.record_end(first);
    for _ in 0..6 {
        let slot = bench.choose_for(&[], Some(9), &[]).unwrap();
        assert_eq!(slot, first);
        bench.table.record_end(slot);
    }
    for _ in 0..40 {
        bench.table.record_load(first, servers::Load { running: 7, queued: 0, slots: 8 });
    }
    assert_ne!(bench.choose_for(&[], Some(9), &[]).unwrap(), first);
}

#[test]
fn the_polled_subset_is_bounded_and_stays_the_same() {
    let vms: Vec<servers::Vm> =
        (0..100).map(|it| vm(&format!("vm-{it}"), "new", servers::VmState::Live)).collect();
    let bench = Bench::new(&vms);
    let names = |own: u64| -> Vec<String> {
        let subset = bench.table.subset(ids::Incarnation(own), 8, 0);
        subset.into_iter().map(|(_, server)| server.vm.vm.clone()).collect()
    };
    assert_eq!(names(1).len(), 8);
    assert_eq!(names(1), names(1));
    assert_ne!(names(1), names(2));
}

fn many(names: &[&str]) -> Bench {
    let vms: Vec<servers::Vm> =
        names.iter().map(|name| vm(name, "new", servers::VmState::Live)).collect();
    Bench::new(&vms)
}

/// A prompt of a shared part and one of its own.
fn prompt(shared: u64, own: u64) -> Vec<servers::Part> {
    servers::chain([(shared, 6_000), (own, 2_000)].into_iter())
}

fn choose_for_prompt(bench: &mut Bench, parts: &[servers::Part]) -> servers::Choice {
    let wanted = servers::Criteria {
        service: "service",
        classes: &[],
        prefix_hash: None,
        parts,
        excluded: &[],
    };
    bench.table.choose(&wanted, bench.now_ms, &mut bench.rng).unwrap()
}

#[test]
fn routers_agree_on_the_home_of_a_shared_part_whatever_order_they_heard_the_servers_in() {
    let (mut one, mut other) = (many(&["a", "b", "c", "d"]), many(&["d", "c", "b", "a"]));
    for shared in 0..50 {
        let first = choose_for_prompt(&mut one, &prompt(shared, 1)).slot;
        let second = choose_for_prompt(&mut other, &prompt(shared, 2)).slot;
        assert_eq!(one.name(first), other.name(second));
        one.table.has_read(first, u64::MAX);
        other.table.has_read(second, u64::MAX);
        one.table.record_end(first);
        other.table.record_end(second);
    }
}

#[test]
fn a_home_that_leaves_moves_only_its_own_prompts() {
    let (mut whole, mut less) = (many(&["a", "b", "c", "d"]), many(&["a", "b", "c"]));
    for shared in 0..50 {
        let before = choose_for_prompt(&mut whole, &prompt(shared, 1)).slot;
        let after = choose_for_prompt(&mut less, &prompt(shared, 1)).slot;
        let home = whole.name(before);
        assert!(home == "d" || home == less.name(after));
        whole.table.has_read(before, u64::MAX);
        less.table.has_read(after, u64::MAX);
        whole.table.record_end(before);
        less.table.record_end(after);
    }
}

#[test]
fn a_prompt_leaves_its_home_only_when_waiting_there_costs_more_than_reading_again() {
    let mut bench = many(&["a", "b", "c"]);
    let first = choose_for_prompt(&mut bench, &prompt(7, 1));
    assert_eq!(first.unread_tokens, 2_000, "the shared part is taken to be at its home");
    let second = choose_for_prompt(&mut bench, &prompt(7, 2));
    assert_eq!(second.slot, first.slot);
    let mut away = second;
    for own in 3..10 {
        away = choose_for_prompt(&mut bench, &prompt(7, own));
        if away.slot != first.slot {
            break;
        }
    }
    assert_ne!(away.slot, first.slot, "a hot part gets a second home");
    assert_eq!(away.unread_tokens, 8_000, "and is read there once more");
    bench.table.has_read(first.slot, u64::MAX);
    assert_eq!(choose_for_prompt(&mut bench, &prompt(7, 20)).slot, first.slot);
}

#[test]
fn servers_that_were_all_ejected_are_better_than_none() {
    let mut bench = many(&["a", "b"]);
    for _ in 0..3 {
        for _ in 0..2 {
            let slot = bench.choose().unwrap();
            bench.table.record_end(slot);
        }
        let slots: Vec<ids::ServerSlot> = bench.table.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            bench.table.record_failure(slot, bench.now_ms);
        }
    }
    assert!(bench.choose().is_ok(), "both failed lately, and nobody else is there");
    assert!(choose_for_prompt(&mut bench, &prompt(1, 1)).unread_tokens > 0);
}

#[test]
fn a_server_that_comes_back_to_the_list_is_used_again_although_it_was_busy_when_it_went() {
    let live = servers::VmState::Live;
    let mut bench = Bench::new(&[vm("one", "new", live)]);
    bench.choose().unwrap();
    bench.table.apply_list(&[], 0);
    assert_eq!(bench.choose(), Err(servers::Unavailable::None), "it is not listed");
    bench.table.apply_list(&[vm("one", "new", live)], 0);
    assert!(bench.choose().is_ok(), "it is listed again");
}

#[test]
fn a_server_that_said_it_leaves_stays_out_although_an_older_list_comes_later() {
    let live = servers::VmState::Live;
    let mut bench = Bench::new(&[vm("one", "new", live)]);
    bench.choose().unwrap();
    bench.table.mark_leaving("one", ids::ServerIncarnation::UNKNOWN);
    bench.table.apply_list(&[], 0);
    bench.table.apply_list(&[vm("one", "new", live)], 0);
    assert_eq!(bench.choose(), Err(servers::Unavailable::None));
}

#[test]
fn a_server_that_comes_back_from_a_backoff_gets_one_request_first() {
    let mut bench = Bench::two();
    let one = bench.table.find("one").unwrap();
    let until_ms = bench.now_ms + 3_000;
    assert!(bench.table.back_off(one, until_ms, bench.now_ms, &mut bench.rng));
    while bench.table.backs_off(one, bench.now_ms) {
        assert!((0..3).all(|_| bench.choose() != Ok(one)));
        bench.now_ms += 50;
    }
    assert!(bench.now_ms >= until_ms);
    let sent = |bench: &mut Bench| {
        let not: Vec<ids::ServerSlot> = bench.table.find("two").into_iter().collect();
        (0..6).filter(|_| bench.choose_for(&[], None, &not) == Ok(one)).count()
    };
    assert_eq!(sent(&mut bench), 1);
    bench.table.record_answer(one, bench.now_ms);
    assert_eq!(sent(&mut bench), 2, "two follow an answer");
    bench.now_ms += 1_000;
    assert_eq!(sent(&mut bench), 1, "one is tried though none is answered");
}

#[test]
fn routers_that_were_turned_away_together_come_back_apart() {
    let resumes_ms = |seed: u64| {
        let mut bench = Bench { rng: StdRng::seed_from_u64(seed), ..Bench::two() };
        let one = bench.table.find("one").unwrap();
        bench.table.back_off(one, bench.now_ms + 4_000, bench.now_ms, &mut bench.rng);
        bench.table.backing_off().next().unwrap().1.resumes_ms()
    };
    let mut moments: Vec<u64> = (0..30).map(resumes_ms).collect();
    moments.sort_unstable();
    assert!(moments.last().unwrap() - moments[0] >= 250, "{moments:?}");
    moments.dedup();
    assert!(moments.len() >= 20, "{moments:?}");
}

#[test]
fn an_answer_to_a_request_from_before_a_backoff_does_not_end_it() {
    let mut bench = Bench::two();
    let one = bench.table.find("one").unwrap();
    bench.table.back_off(one, bench.now_ms + 1_000, bench.now_ms, &mut bench.rng);
    (0..20).for_each(|_| bench.table.record_answer(one, bench.now_ms));
    bench.now_ms += 2_000;
    bench.table.end_backoffs(bench.now_ms);
    assert_eq!(bench.table.backing_off().count(), 1);
}

#[test]
fn a_server_in_its_backoff_is_not_polled_for_its_load() {
    let mut bench = Bench::two();
    let one = bench.table.find("one").unwrap();
    bench.table.back_off(one, bench.now_ms + 1_000, bench.now_ms, &mut bench.rng);
    let polled = |bench: &Bench| bench.table.subset(ids::Incarnation(1), 8, bench.now_ms).len();
    assert_eq!(polled(&bench), 1);
    bench.now_ms += 2_000;
    assert_eq!(polled(&bench), 2);
}
