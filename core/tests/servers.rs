//! The choice among backend servers: classes, slots, ejection, prompt affinity and backoff. Guards against requests to
//! servers that must not receive them, and against usable servers that receive none.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_core::{ids, servers};
use rand::SeedableRng;
use rand::rngs::StdRng;

struct Fixture {
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
        version: String::new(),
        failure_domain: "a".to_owned(),
        state,
        slots: 0,
        incarnation: Default::default(),
        cold_ms: 0,
    }
}

impl Fixture {
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
        let criteria = servers::Criteria {
            service: "service",
            classes,
            version: None,
            recorded_versions_only: false,
            prefix_hash,
            parts,
            excluded,
        };
        self.table.choose(&criteria, self.now_ms, &mut self.rng).map(|choice| choice.slot)
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
    let mut fixture = Fixture::two();
    for _ in 0..8 {
        let slot = fixture.choose_for(&["old".to_owned()], None, &[]).unwrap();
        assert_eq!(fixture.name(slot), "two");
        fixture.table.record_end(slot);
    }
    let none = fixture.choose_for(&["other".to_owned()], None, &[]);
    assert_eq!(none, Err(servers::Unavailable::None));
}

#[test]
fn a_leaving_server_receives_no_requests_although_an_older_list_has_it_live() {
    let mut fixture = Fixture::two();
    fixture.table.mark_leaving("one", ids::ServerIncarnation::UNKNOWN);
    let live = servers::VmState::Live;
    fixture.table.apply_list(&[vm("one", "new", live), vm("two", "old", live)], 0);
    for _ in 0..8 {
        let slot = fixture.choose().unwrap();
        assert_eq!(fixture.name(slot), "two");
    }
}

#[test]
fn full_servers_are_reported_differently_from_none() {
    let mut fixture = Fixture::two();
    let chosen = (0..1_000).map_while(|_| fixture.choose().ok()).count();
    assert_eq!(chosen, 16, "not eight requests at each of the two servers");
    assert_eq!(fixture.choose(), Err(servers::Unavailable::Full));
    fixture.table.apply_list(&[], 0);
    assert_eq!(fixture.choose(), Err(servers::Unavailable::None));
}

#[test]
fn a_failing_server_is_ejected_and_probed_with_one_request() {
    let mut fixture = Fixture::two();
    let failing = fixture.choose().unwrap();
    for _ in 0..3 {
        fixture.table.record_failure(failing, fixture.now_ms, fixture.now_ms);
    }
    for _ in 0..5 {
        assert_ne!(fixture.choose().unwrap(), failing);
    }
    fixture.now_ms += 60_000;
    let probes = (0..12).filter(|_| fixture.choose() == Ok(failing)).count();
    assert_eq!(probes, 1);
    fixture.table.record_success(failing, 10, 0);
    let chosen = (0..4).filter(|_| fixture.choose() == Ok(failing)).count();
    assert!(chosen > 0);
}

#[test]
fn a_server_that_failed_the_request_is_not_chosen_for_it_again() {
    let mut fixture = Fixture::two();
    let first = fixture.choose().unwrap();
    for _ in 0..5 {
        assert_ne!(fixture.choose_for(&[], None, &[first]).unwrap(), first);
    }
}

#[test]
fn a_prefix_returns_to_its_server_unless_that_one_is_much_busier() {
    let mut fixture = Fixture::two();
    let first = fixture.choose_for(&[], Some(9), &[]).unwrap();
    fixture.table.record_end(first);
    for _ in 0..6 {
        let slot = fixture.choose_for(&[], Some(9), &[]).unwrap();
        assert_eq!(slot, first);
        fixture.table.record_end(slot);
    }
    for _ in 0..40 {
        fixture.table.record_load(first, servers::Load { running: 7, queued: 0, slots: 8 });
    }
    assert_ne!(fixture.choose_for(&[], Some(9), &[]).unwrap(), first);
}

#[test]
fn the_polled_subset_is_bounded_and_stable() {
    let vms: Vec<servers::Vm> =
        (0..100).map(|index| vm(&format!("vm-{index}"), "new", servers::VmState::Live)).collect();
    let fixture = Fixture::new(&vms);
    let names = |own: u64| -> Vec<String> {
        let subset = fixture.table.subset(ids::Incarnation(own), 8, 0);
        subset.into_iter().map(|(_, server)| server.vm.vm.clone()).collect()
    };
    assert_eq!(names(1).len(), 8);
    assert_eq!(names(1), names(1));
    assert_ne!(names(1), names(2));
}

fn live_servers(names: &[&str]) -> Fixture {
    let vms: Vec<servers::Vm> =
        names.iter().map(|name| vm(name, "new", servers::VmState::Live)).collect();
    Fixture::new(&vms)
}

/// A prompt that consists of a shared part and a part of its own.
fn prompt(shared: u64, own: u64) -> Vec<servers::Part> {
    servers::chain([(shared, 6_000), (own, 2_000)].into_iter())
}

fn choose_for_prompt(fixture: &mut Fixture, parts: &[servers::Part]) -> servers::Choice {
    let criteria = servers::Criteria {
        service: "service",
        classes: &[],
        version: None,
        recorded_versions_only: false,
        prefix_hash: None,
        parts,
        excluded: &[],
    };
    fixture.table.choose(&criteria, fixture.now_ms, &mut fixture.rng).unwrap()
}

#[test]
fn routers_agree_on_the_server_of_a_shared_part_in_any_order_of_the_server_list() {
    let (mut ordered, mut reversed) =
        (live_servers(&["a", "b", "c", "d"]), live_servers(&["d", "c", "b", "a"]));
    for shared in 0..50 {
        let first = choose_for_prompt(&mut ordered, &prompt(shared, 1)).slot;
        let second = choose_for_prompt(&mut reversed, &prompt(shared, 2)).slot;
        assert_eq!(ordered.name(first), reversed.name(second));
        ordered.table.record_prompt_processed(first, u64::MAX);
        reversed.table.record_prompt_processed(second, u64::MAX);
        ordered.table.record_end(first);
        reversed.table.record_end(second);
    }
}

#[test]
fn the_removal_of_a_server_moves_only_its_own_prompts() {
    let (mut all_servers, mut without_d) =
        (live_servers(&["a", "b", "c", "d"]), live_servers(&["a", "b", "c"]));
    for shared in 0..50 {
        let before = choose_for_prompt(&mut all_servers, &prompt(shared, 1)).slot;
        let after = choose_for_prompt(&mut without_d, &prompt(shared, 1)).slot;
        let server = all_servers.name(before);
        assert!(server == "d" || server == without_d.name(after));
        all_servers.table.record_prompt_processed(before, u64::MAX);
        without_d.table.record_prompt_processed(after, u64::MAX);
        all_servers.table.record_end(before);
        without_d.table.record_end(after);
    }
}

#[test]
fn a_prompt_leaves_its_server_only_when_waiting_costs_more_than_reading_it_again() {
    let mut fixture = live_servers(&["a", "b", "c"]);
    let first = choose_for_prompt(&mut fixture, &prompt(7, 1));
    assert_eq!(
        first.unread_tokens, 2_000,
        "the shared part does not count as cached at its server"
    );
    let second = choose_for_prompt(&mut fixture, &prompt(7, 2));
    assert_eq!(second.slot, first.slot);
    let mut moved = second;
    for own in 3..10 {
        moved = choose_for_prompt(&mut fixture, &prompt(7, own));
        if moved.slot != first.slot {
            break;
        }
    }
    assert_ne!(moved.slot, first.slot, "a frequent part is not assigned to a second server");
    assert_eq!(
        moved.unread_tokens, 8_000,
        "a part of the prompt counts as cached at the second server"
    );
    fixture.table.record_prompt_processed(first.slot, u64::MAX);
    assert_eq!(choose_for_prompt(&mut fixture, &prompt(7, 20)).slot, first.slot);
}

#[test]
fn an_ejected_server_is_chosen_if_all_servers_are_ejected() {
    let mut fixture = live_servers(&["a", "b"]);
    for _ in 0..3 {
        for _ in 0..2 {
            let slot = fixture.choose().unwrap();
            fixture.table.record_end(slot);
        }
        let slots: Vec<ids::ServerSlot> = fixture.table.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            fixture.table.record_failure(slot, fixture.now_ms, fixture.now_ms);
        }
    }
    assert!(fixture.choose().is_ok(), "no server is chosen although all have failed");
    assert!(choose_for_prompt(&mut fixture, &prompt(1, 1)).unread_tokens > 0);
}

#[test]
fn a_server_that_is_listed_again_is_used_although_it_was_busy_when_removed() {
    let live = servers::VmState::Live;
    let mut fixture = Fixture::new(&[vm("one", "new", live)]);
    fixture.choose().unwrap();
    fixture.table.apply_list(&[], 0);
    assert_eq!(
        fixture.choose(),
        Err(servers::Unavailable::None),
        "a server that is not listed was chosen"
    );
    fixture.table.apply_list(&[vm("one", "new", live)], 0);
    assert!(fixture.choose().is_ok(), "a server that is listed again was not chosen");
}

#[test]
fn a_leaving_server_is_not_used_although_an_older_list_has_it_again() {
    let live = servers::VmState::Live;
    let mut fixture = Fixture::new(&[vm("one", "new", live)]);
    fixture.choose().unwrap();
    fixture.table.mark_leaving("one", ids::ServerIncarnation::UNKNOWN);
    fixture.table.apply_list(&[], 0);
    fixture.table.apply_list(&[vm("one", "new", live)], 0);
    assert_eq!(fixture.choose(), Err(servers::Unavailable::None));
}

#[test]
fn a_server_after_a_backoff_receives_one_trial_request_first() {
    let mut fixture = Fixture::two();
    let one = fixture.table.find("one").unwrap();
    let until_ms = fixture.now_ms + 3_000;
    assert!(fixture.table.back_off(one, until_ms, fixture.now_ms, &mut fixture.rng));
    while fixture.table.backs_off(one, fixture.now_ms) {
        assert!((0..3).all(|_| fixture.choose() != Ok(one)));
        fixture.now_ms += 50;
    }
    assert!(fixture.now_ms >= until_ms);
    let sent = |fixture: &mut Fixture| {
        let excluded: Vec<ids::ServerSlot> = fixture.table.find("two").into_iter().collect();
        (0..6).filter(|_| fixture.choose_for(&[], None, &excluded) == Ok(one)).count()
    };
    assert_eq!(sent(&mut fixture), 1);
    fixture.table.record_answer(one, fixture.now_ms);
    assert_eq!(sent(&mut fixture), 2, "not two requests after an answer");
    fixture.now_ms += 1_000;
    assert_eq!(sent(&mut fixture), 1, "not one more trial without an answer");
}

#[test]
fn routers_return_from_the_same_backoff_at_different_times() {
    let open_ms_with = |seed: u64| {
        let mut fixture = Fixture { rng: StdRng::seed_from_u64(seed), ..Fixture::two() };
        let one = fixture.table.find("one").unwrap();
        fixture.table.back_off(one, fixture.now_ms + 4_000, fixture.now_ms, &mut fixture.rng);
        fixture.table.backing_off().next().unwrap().1.resumes_ms()
    };
    let mut open_times_ms: Vec<u64> = (0..30).map(open_ms_with).collect();
    open_times_ms.sort_unstable();
    assert!(
        open_times_ms.last().unwrap() - open_times_ms[0] >= 250,
        "routers return together: {open_times_ms:?}"
    );
    open_times_ms.dedup();
    assert!(
        open_times_ms.len() >= 20,
        "too many routers return at the same time: {open_times_ms:?}"
    );
}

#[test]
fn an_answer_to_a_request_sent_before_a_backoff_does_not_end_it() {
    let mut fixture = Fixture::two();
    let one = fixture.table.find("one").unwrap();
    fixture.table.back_off(one, fixture.now_ms + 1_000, fixture.now_ms, &mut fixture.rng);
    (0..20).for_each(|_| fixture.table.record_answer(one, fixture.now_ms));
    fixture.now_ms += 2_000;
    fixture.table.end_backoffs(fixture.now_ms);
    assert_eq!(fixture.table.backing_off().count(), 1);
}

#[test]
fn the_load_of_a_server_is_not_polled_during_its_backoff() {
    let mut fixture = Fixture::two();
    let one = fixture.table.find("one").unwrap();
    fixture.table.back_off(one, fixture.now_ms + 1_000, fixture.now_ms, &mut fixture.rng);
    let polled =
        |fixture: &Fixture| fixture.table.subset(ids::Incarnation(1), 8, fixture.now_ms).len();
    assert_eq!(polled(&fixture), 1);
    fixture.now_ms += 2_000;
    assert_eq!(polled(&fixture), 2);
}

/// Sends as many requests to the first of two servers, which fails all of them at once.
fn fail_together(fixture: &mut Fixture, requests: usize) -> ids::ServerSlot {
    let slot = fixture.table.iter().next().unwrap().0;
    let sent_ms = fixture.now_ms;
    fixture.now_ms += 1_000;
    for _ in 0..requests {
        fixture.table.record_failure(slot, sent_ms, fixture.now_ms);
    }
    slot
}

/// Whether the server is chosen within `time_ms`.
fn chosen_within(fixture: &mut Fixture, slot: ids::ServerSlot, time_ms: u64) -> bool {
    let end_ms = fixture.now_ms + time_ms;
    while fixture.now_ms < end_ms {
        fixture.now_ms += 10;
        let chosen = fixture.choose().unwrap();
        if chosen == slot {
            return true;
        }
        fixture.table.record_end(chosen);
        fixture.table.record_success(chosen, 10, fixture.now_ms);
    }
    false
}

/// Guards against a server that is ejected for 30 s because it was silent for a second.
#[test]
fn requests_that_fail_together_eject_a_server_once() {
    let mut fixture = Fixture::two();
    let slot = fail_together(&mut fixture, 12);
    assert!(!chosen_within(&mut fixture, slot, 400), "the server was not ejected");
    assert!(chosen_within(&mut fixture, slot, 600), "the server is ejected for too long");
}

/// Guards against a server that stays silent and is probed as often as one that was silent once.
#[test]
fn a_server_whose_probes_fail_is_ejected_for_longer_each_time() {
    let mut fixture = Fixture::two();
    let slot = fail_together(&mut fixture, 12);
    for ejected_ms in [500, 1_000, 2_000, 4_000] {
        assert!(!chosen_within(&mut fixture, slot, ejected_ms - 100), "probed too early");
        assert!(chosen_within(&mut fixture, slot, 500), "not probed after {ejected_ms} ms");
        let sent_ms = fixture.now_ms;
        fixture.table.record_failure(slot, sent_ms, fixture.now_ms);
        fixture.table.record_end(slot);
    }
}
