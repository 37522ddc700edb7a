//! Single decisions of a node.

#![allow(clippy::unwrap_used, missing_docs)]

mod world;

use doorswitch_core::{config, ids, leaving_servers, message, node, servers, store};
use world::{End, Shape, World};

fn at(revision: u64) -> store::Position {
    store::Position::new(0, revision)
}

#[test]
fn an_older_configuration_is_never_adopted() {
    let mut world = World::new(Shape::default(), 1);
    let old = world.routers[0].node.config().unwrap().clone();
    let new = config::Published::next(Some(&old), "next", old.document.clone());
    assert!(world.routers[0].node.offer_config(new, 0));
    assert!(!world.routers[0].node.offer_config(old, 0));
    assert_eq!(world.routers[0].node.config_version(), 2);
}

#[test]
fn a_request_that_nobody_can_cover_is_refused_at_once() {
    let mut world = World::new(Shape::default(), 1);
    world.run_ms(2_000);
    let place = world.admit(0, 0, 1, 10_001, 1, false).unwrap();
    world.run_ms(500);
    assert_eq!(world.given[place].end, Some(End::Refused(node::Reason::BudgetExhausted)));
}

#[test]
fn the_last_tokens_of_a_budget_are_found_wherever_they_are() {
    let mut world = World::new(Shape::default(), 1);
    world.run_ms(2_000);
    // Each of four routers holds a part; one request wants nearly all.
    let place = world.admit(2, 0, 1, 9_900, 9_900, false).unwrap();
    world.run_ms(3_000);
    assert_eq!(world.given[place].end, Some(End::Closed { safe: true }));
}

#[test]
fn calls_to_the_store_are_counted_by_what_they_are_for() {
    use node::{CallOutcome, CallPurpose};
    let mut world = World::new(Shape::default(), 1);
    world.admit(0, 0, 1, 20, 20, false).unwrap();
    world.run_ms(3_000);
    let (reads, writes) = world.store_calls;
    let sent = |purposes: &[CallPurpose]| -> u64 {
        let counts = |router: &world::Router| -> u64 {
            let calls = &router.node.counters().store_calls;
            let sent = |purpose| calls.get(&(purpose, CallOutcome::Sent)).copied().unwrap_or(0);
            purposes.iter().copied().map(sent).sum()
        };
        world.routers.iter().map(counts).sum()
    };
    let read = [CallPurpose::LedgerRead, CallPurpose::LogRead, CallPurpose::QuarantineRead];
    let written = [CallPurpose::LedgerWrite, CallPurpose::LogWrite, CallPurpose::QuarantineWrite];
    assert_eq!(sent(&read), reads);
    assert_eq!(sent(&written), writes);
    // A request by the callers' interface is recorded in the log.
    let of = |purpose| sent(&[purpose]);
    assert!(of(CallPurpose::LogWrite) > 0 && of(CallPurpose::LedgerWrite) > 0);
    world.faults.store_out = true;
    world.admit(0, 0, 2, 20, 20, false).unwrap();
    world.run_ms(5_000);
    let silent = |router: &world::Router| -> u64 {
        let calls = router.node.counters().store_calls.iter();
        calls
            .filter(|((_, outcome), _)| *outcome == CallOutcome::Silent)
            .map(|(_, count)| *count)
            .sum()
    };
    let unknown: u64 = world.routers.iter().map(|it| it.node.counters().platform_unknown).sum();
    assert_eq!(world.routers.iter().map(silent).sum::<u64>(), unknown);
}

#[test]
fn after_an_outage_the_routers_do_not_return_in_step() {
    let shape = Shape { routers: 8, ..Shape::default() };
    let mut world = World::new(shape, 1);
    world.run_ms(3_000);
    world.faults.store_out = true;
    for key in 0..200 {
        world.admit(key as usize % 8, 0, key, 20, 20, key % 5 == 0);
        world.run_ms(100);
    }
    world.faults.store_out = false;
    let mut most = 0;
    for _ in 0..50 {
        let before = world.store_calls.1;
        world.run_ms(200);
        most = most.max(world.store_calls.1 - before);
    }
    // The platform takes 100 writes a second; a burst of each router's bucket may come on top.
    assert!(most <= 20 + 8 * 5, "{most} writes in 200 ms");
}

#[test]
fn the_platform_is_called_within_its_rates_by_eight_busy_routers() {
    let shape = Shape { routers: 8, paid_tokens: 10_000_000, ..Shape::default() };
    let mut world = World::new(shape, 1);
    world.run_ms(3_000);
    let before = world.store_calls;
    for key in 0..2_000 {
        world.admit(key as usize % 8, key as usize % 2, key, 200, 150, key % 4 == 0);
        world.run_ms(20);
    }
    let seconds = 40;
    let reads = (world.store_calls.0 - before.0) / seconds;
    let writes = (world.store_calls.1 - before.1) / seconds;
    assert!(writes <= 100 && reads <= 2_000, "{reads} reads and {writes} writes a second");
}

#[test]
fn membership_costs_a_router_no_more_in_a_larger_fleet() {
    let sent_a_second = |routers: usize| {
        let shape = Shape { routers, ..Shape::default() };
        let mut world = World::new(shape, 1);
        world.run_ms(20_000);
        let before: u64 =
            world.routers.iter().map(|router| router.node.counters().gossip_sent).sum();
        world.run_ms(10_000);
        let after: u64 =
            world.routers.iter().map(|router| router.node.counters().gossip_sent).sum();
        (after - before) as f64 / 10.0 / routers as f64
    };
    let (small, large) = (sent_a_second(4), sent_a_second(32));
    assert!(large <= small * 1.2, "{small} datagrams a second at 4 routers, {large} at 32");
}

/// Fills one server and its queue with requests of a priority; returns their places.
fn fill(world: &mut World, count: u64, priority: u8) -> Vec<usize> {
    let first = 1_000 * (1 + world.given.len() as u64);
    world.priority = priority;
    (0..count).filter_map(|it| world.admit(0, 0, first + it, 1, 1, false)).collect()
}

fn crowded() -> World {
    let shape = Shape { routers: 1, servers: 1, queue_length: 4, ..Shape::default() };
    let mut world = World::new(shape, 1);
    world.run_ms(2_000);
    world
}

#[test]
fn of_too_many_the_lowest_priority_is_refused_at_once() {
    let mut world = crowded();
    fill(&mut world, 10, 5);
    let low = fill(&mut world, 4, 1);
    let high = fill(&mut world, 3, 8);
    let refused =
        |place: &usize| world.given[*place].end == Some(End::Refused(node::Reason::Overloaded));
    // One place is kept for the lowest priority.
    assert!(low[1..].iter().all(refused), "{:?}", world.given);
    assert!(!high.iter().any(refused), "{:?}", world.given);
}

#[test]
fn the_lowest_priority_is_served_also_while_higher_ones_keep_coming() {
    let mut world = crowded();
    fill(&mut world, 10, 5);
    let low = fill(&mut world, 1, 1);
    for round in 0..60 {
        world.priority = 8;
        world.admit(0, 0, 500_000 + round, 1, 1, false);
        world.run_ms(40);
    }
    assert_eq!(world.given[low[0]].end, Some(End::Closed { safe: true }));
}

#[test]
fn a_request_whose_deadline_passes_in_the_queue_is_refused_as_not_run() {
    let mut world = crowded();
    world.serve_ms = 5_000;
    fill(&mut world, 10, 5);
    world.deadline_ms = 1_000;
    let late = fill(&mut world, 1, 5);
    world.run_ms(1_500);
    let end = world.given[late[0]].end.clone();
    assert_eq!(end, Some(End::Refused(node::Reason::DeadlineTooClose)));
}

#[test]
fn a_router_with_an_older_list_does_not_count_a_new_vm_as_gone() {
    let mut world = World::new(Shape::default(), 1);
    world.run_ms(3_000);
    world.vms_stale.insert(0);
    world.kill(3);
    world.restart(3, false);
    world.run_ms(1_400);
    // The one with the older list reads the ledger, in which the new one holds a grant.
    world.admit(0, 0, 1, 4_000, 10, false);
    world.admit(0, 1, 2, 4_000, 10, false);
    world.run_ms(5_000);
    assert_eq!(world.routers[3].node.lifecycle(), node::Lifecycle::Ready);
}

/// The list of VMs that a router tells a peer which asks.
fn told_vms(world: &mut World) -> Vec<String> {
    let (from, to) = (world.routers[1].incarnation, world.routers[0].incarnation);
    let ask = message::Envelope { from, to, message: message::Message::VmsRequest };
    let node = &mut world.routers[0].node;
    node.take_actions();
    node.handle_message(ask, 100_000);
    let told = node.take_actions().into_iter().find_map(|action| match action {
        node::Action::Send { envelope, .. } => match envelope.message {
            message::Message::Vms { vms, .. } => Some(vms),
            _ => None,
        },
        _ => None,
    });
    told.unwrap().into_iter().map(|vm| vm.vm).collect()
}

#[test]
fn a_server_whose_record_lapsed_is_used_and_not_told_to_peers() {
    let mut world = World::new(Shape { servers: 1, ..Shape::default() }, 1);
    world.run_ms(2_000);
    let server = world.routers[0].node.servers().iter().next().unwrap().1.vm.clone();
    let node = &mut world.routers[0].node;
    node.offer_vms_and_lapsed(at(1_000), Vec::new(), vec![server.clone()], 2_000);
    let used = |node: &node::Node| node.servers().find(&server.vm).is_some();
    assert!(used(node));
    assert!(!told_vms(&mut world).contains(&server.vm), "peers may know better");

    // A peer that saw it leave has said so.
    let gossip = gossip_of_leaving(&world, &server.vm);
    let node = &mut world.routers[0].node;
    node.offer_vms(at(1_001), vec![server.clone()], 2_500);
    node.handle_gossip(&gossip, 2_600);
    node.offer_vms_and_lapsed(at(1_002), Vec::<servers::Vm>::new(), vec![server.clone()], 3_000);
    assert!(!used(node), "it left");
}

/// What the second router tells the first when it knows that a VM is leaving.
fn gossip_of_leaving(world: &World, vm: &str) -> message::Gossip {
    message::Gossip {
        from: world.routers[1].node.members().own().clone(),
        kind: message::GossipKind::Ack,
        digest: message::Digest::default(),
        member_updates: Vec::new(),
        leaving: vec![message::LeavingUpdate {
            vm: vm.to_owned(),
            incarnation: Default::default(),
            source: leaving_servers::Source::Record,
        }],
        quarantine: Default::default(),
        limits: Vec::new(),
    }
}

#[test]
fn a_leaving_that_was_heard_holds_as_long_as_the_record_counts_as_lapsed() {
    let mut world = World::new(Shape { servers: 1, ..Shape::default() }, 1);
    world.run_ms(2_000);
    let server = world.routers[0].node.servers().iter().next().unwrap().1.vm.clone();
    let gossip = gossip_of_leaving(&world, &server.vm);
    let node = &mut world.routers[0].node;
    node.handle_gossip(&gossip, 2_000);
    // The store was away, and its list comes more than once while the record may still be back.
    for index in 1_000..1_003 {
        node.offer_vms_and_lapsed(at(index), Vec::new(), vec![server.clone()], 2_000 + index);
        let live = node.servers().iter().any(|(_, it)| it.vm.state == servers::VmState::Live);
        assert!(!live, "list {index}: the router knew that it leaves");
    }
}

#[test]
fn the_longer_an_outage_refuses_the_later_callers_shall_come_back() {
    let mut world = World::new(Shape { routers: 1, paid_tokens: 1_000_000, ..Shape::default() }, 1);
    world.run_ms(2_000);
    world.faults.store_out = true;
    let mut told_ms = Vec::new();
    // More than what is held in hand, each time.
    for key in 0..12 {
        let place = world.admit(0, 0, key, 900_000, 1, false).unwrap();
        world.run_ms(1_000);
        assert_eq!(world.given[place].end, Some(End::Refused(node::Reason::BudgetUnreachable)));
        told_ms.push(world.given[place].retry_after_ms);
    }
    assert!(told_ms.is_sorted(), "{told_ms:?}");
    assert!(told_ms[0] >= 2_000 && told_ms[11] >= 2 * told_ms[0], "{told_ms:?}");
}

/// What the server of a request says while that request's claim is recorded.
fn said_while_claimed(servers: usize, said: servers::Directives) -> (World, usize, String) {
    let mut world = World::new(Shape { servers, ..Shape::default() }, 1);
    world.run_ms(2_000);
    let given = world.admit(0, 0, 1, 20, 20, true).unwrap();
    let node = &mut world.routers[0].node;
    let chosen = node.servers().iter().find(|(_, server)| server.in_flight == 1);
    let chosen = chosen.unwrap().1.vm.clone();
    assert!(!world.given[given].dispatched, "the claim takes a while");
    node.report_directives(
        &chosen.vm,
        chosen.incarnation,
        &said,
        servers::AnswerAge::default(),
        world.now_ms,
    );
    (world, given, chosen.vm)
}

macro_rules! words_while_a_claim_is_recorded {
    ($($name:ident: $said:expr, $reason:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut world, given, chosen) = said_while_claimed(3, $said);
            while !world.given[given].dispatched {
                world.run_ms(world::TICK_MS);
            }
            let busy = world.routers[0].node.servers().iter().find(|(_, it)| it.in_flight == 1);
            assert_ne!(busy.unwrap().1.vm.vm, chosen);
            let (mut world, given, _) = said_while_claimed(1, $said);
            world.run_ms(2_000);
            assert_eq!(world.given[given].end, Some(End::Refused($reason)));
            assert!(world.executions.is_empty());
        }
    )*};
}

words_while_a_claim_is_recorded! {
    a_claimed_request_does_not_go_to_a_server_that_leaves_meanwhile:
        servers::Directives { is_leaving: servers::Directive::Value(true), ..Default::default() },
        node::Reason::NoServer;
    a_claimed_request_does_not_go_to_a_server_that_backs_off_meanwhile:
        servers::Directives { backoff_ms: servers::Directive::Value(60_000), ..Default::default() },
        node::Reason::Backoff;
}

/// A small request of the first budget.
fn small(world: &World, number: u64) -> node::AdmissionRequest {
    node::AdmissionRequest {
        key: ids::RequestKey { high: number, low: 0 },
        keyed: false,
        body_hash: 1,
        budget: world.budget_name(0),
        service: "service".to_owned(),
        classes: Vec::new(),
        priority: 5,
        bound_tokens: 20,
        unrepeatable: false,
        attempts_max: 2,
        prefix_hash: None,
        fingerprint: None,
        parts: Vec::new(),
        deadline_ms: world.now_ms + 60_000,
    }
}

/// Ejection is this router's guess: it follows neither from a backoff nor outlasts one.
#[test]
fn a_server_that_turns_requests_away_with_a_backoff_is_not_ejected() {
    let mut world = World::new(Shape { servers: 1, ..Shape::default() }, 1);
    world.run_ms(2_000);
    let now_ms = world.now_ms;
    let wanted: Vec<node::AdmissionRequest> = (0..8).map(|number| small(&world, number)).collect();
    let node = &mut world.routers[0].node;
    let vm = node.servers().iter().next().unwrap().1.vm.clone();
    let slots: Vec<ids::RequestSlot> =
        wanted.into_iter().map(|wanted| node.admit(wanted, now_ms)).collect();
    let said =
        servers::Directives { backoff_ms: servers::Directive::Value(1_000), ..Default::default() };
    for (number, slot) in slots.into_iter().enumerate() {
        let age = servers::AnswerAge::default();
        node.report_directives(&vm.vm, vm.incarnation, &said, age, now_ms + 50);
        // Some answers don't say that the request did not run.
        let ending = match number % 2 {
            0 => {
                node.retry(slot, node::AttemptFailure::Rejected, now_ms + 50);
                node::RequestOutcome::NotRun
            }
            _ => node::RequestOutcome::Ran { consumed_tokens: 0, outcome: None, healthy: false },
        };
        node.finish(slot, ending, now_ms + 50);
    }
    let actions = node.take_actions();
    let told = |wanted: fn(&node::Notice) -> bool| {
        let notices = actions.iter().filter_map(|action| match action {
            node::Action::Notice(notice) => Some(notice),
            _ => None,
        });
        notices.filter(|notice| wanted(notice)).count()
    };
    assert_eq!(told(|notice| matches!(notice, node::Notice::ServerBackoff { .. })), 1);
    assert_eq!(told(|notice| matches!(notice, node::Notice::Ejected { .. })), 0);
    let refused = |action: &&node::Action| match action {
        node::Action::Answer {
            answer: node::Answer::Refuse { reason, retry_after_ms }, ..
        } => *reason == node::Reason::Backoff && (950..2_000).contains(retry_after_ms),
        _ => false,
    };
    assert_eq!(actions.iter().filter(refused).count(), 4);
}

/// When the only server takes requests again, one is sent, two may wait for its answer, and the others hear it at once.
#[test]
fn requests_that_a_returning_server_does_not_take_soon_are_refused_at_once() {
    let mut world = World::new(Shape { servers: 1, ..Shape::default() }, 1);
    world.run_ms(2_000);
    let wanted: Vec<node::AdmissionRequest> = (0..10).map(|number| small(&world, number)).collect();
    let now_ms = world.now_ms;
    let node = &mut world.routers[0].node;
    let vm = node.servers().iter().next().unwrap().1.vm.clone();
    let said =
        servers::Directives { backoff_ms: servers::Directive::Value(100), ..Default::default() };
    node.report_directives(&vm.vm, vm.incarnation, &said, servers::AnswerAge::default(), now_ms);
    node.take_actions();
    for wanted in wanted {
        node.admit(wanted, now_ms + 200);
    }
    let actions = node.take_actions();
    let count = |wanted: fn(&node::Answer) -> bool| {
        let answers = actions.iter().filter_map(|action| match action {
            node::Action::Answer { answer, .. } => Some(answer),
            _ => None,
        });
        answers.filter(|answer| wanted(answer)).count()
    };
    assert_eq!(count(|answer| matches!(answer, node::Answer::Dispatch { .. })), 1);
    let refused = |answer: &node::Answer| {
        matches!(answer, node::Answer::Refuse { reason: node::Reason::Backoff, .. })
    };
    assert_eq!(count(refused), 7);
}
