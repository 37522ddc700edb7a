//! Decisions of one node: admission, priorities, configurations, server records and directives. Guards against requests
//! that are refused or delayed without need, against too many calls of the store, and against state that is out of
//! date.

#![allow(clippy::unwrap_used, missing_docs)]

mod world;

use doorswitch_core::{config, ids, leaving_servers, message, node, quarantine, servers, store};
use world::{End, Shape, World};

fn position(revision: u64) -> store::Position {
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
fn a_request_beyond_the_budget_is_refused_without_delay() {
    let mut world = World::new(Shape::default(), 1);
    world.run_ms(2_000);
    let index = world.admit(0, 0, 1, 10_001, 1, false).unwrap();
    world.run_ms(500);
    assert_eq!(world.requests[index].end, Some(End::Refused(node::Reason::BudgetExhausted)));
}

#[test]
fn a_request_is_served_with_tokens_that_are_spread_over_all_routers() {
    let mut world = World::new(Shape::default(), 1);
    world.run_ms(2_000);
    // Each of four routers holds a grant; one request needs nearly all tokens of the budget.
    let index = world.admit(2, 0, 1, 9_900, 9_900, false).unwrap();
    world.run_ms(3_000);
    assert_eq!(world.requests[index].end, Some(End::Closed { safe: true }));
}

#[test]
fn store_calls_are_counted_by_purpose() {
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
    // A request through the interface for callers is recorded in the log.
    let sent_for = |purpose| sent(&[purpose]);
    assert!(sent_for(CallPurpose::LogWrite) > 0 && sent_for(CallPurpose::LedgerWrite) > 0);
    world.faults.store_unavailable = true;
    world.admit(0, 0, 2, 20, 20, false).unwrap();
    world.run_ms(5_000);
    let silent = |router: &world::Router| -> u64 {
        let calls = router.node.counters().store_calls.iter();
        calls
            .filter(|((_, outcome), _)| *outcome == CallOutcome::Silent)
            .map(|(_, count)| *count)
            .sum()
    };
    let unknown: u64 =
        world.routers.iter().map(|router| router.node.counters().platform_unknown).sum();
    assert_eq!(world.routers.iter().map(silent).sum::<u64>(), unknown);
}

#[test]
fn routers_do_not_all_write_at_once_after_an_outage() {
    let shape = Shape { routers: 8, ..Shape::default() };
    let mut world = World::new(shape, 1);
    world.run_ms(3_000);
    world.faults.store_unavailable = true;
    for key in 0..200 {
        world.admit(key as usize % 8, 0, key, 20, 20, key % 5 == 0);
        world.run_ms(100);
    }
    world.faults.store_unavailable = false;
    let mut max_writes = 0;
    for _ in 0..50 {
        let before = world.store_calls.1;
        world.run_ms(200);
        max_writes = max_writes.max(world.store_calls.1 - before);
    }
    // The platform allows 100 writes a second; each router may add the burst of its token bucket.
    assert!(max_writes <= 20 + 8 * 5, "{max_writes} writes in 200 ms");
}

#[test]
fn eight_busy_routers_keep_to_the_rate_limits_of_the_platform() {
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
fn gossip_per_router_does_not_grow_with_the_fleet() {
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

/// Fills one server and its queue with requests of one priority; returns their indexes in `World::requests`.
fn fill(world: &mut World, count: u64, priority: u8) -> Vec<usize> {
    let first = 1_000 * (1 + world.requests.len() as u64);
    world.priority = priority;
    (0..count).filter_map(|number| world.admit(0, 0, first + number, 1, 1, false)).collect()
}

fn single_server_with_short_queue() -> World {
    let shape = Shape { routers: 1, servers: 1, queue_length: 4, ..Shape::default() };
    let mut world = World::new(shape, 1);
    world.run_ms(2_000);
    world
}

#[test]
fn a_full_queue_refuses_the_lowest_priority_without_delay() {
    let mut world = single_server_with_short_queue();
    fill(&mut world, 10, 5);
    let low = fill(&mut world, 4, 1);
    let high = fill(&mut world, 3, 8);
    let refused =
        |index: &usize| world.requests[*index].end == Some(End::Refused(node::Reason::Overloaded));
    // One slot of the queue is reserved for the lowest priority.
    assert!(low[1..].iter().all(refused), "a low priority was queued: {:?}", world.requests);
    assert!(!high.iter().any(refused), "a high priority was refused: {:?}", world.requests);
}

#[test]
fn the_lowest_priority_is_not_starved_by_higher_ones() {
    let mut world = single_server_with_short_queue();
    fill(&mut world, 10, 5);
    let low = fill(&mut world, 1, 1);
    for round in 0..60 {
        world.priority = 8;
        world.admit(0, 0, 500_000 + round, 1, 1, false);
        world.run_ms(40);
    }
    assert_eq!(world.requests[low[0]].end, Some(End::Closed { safe: true }));
}

#[test]
fn a_request_whose_deadline_passes_in_the_queue_is_refused_as_not_run() {
    let mut world = single_server_with_short_queue();
    world.serve_ms = 5_000;
    fill(&mut world, 10, 5);
    world.deadline_ms = 1_000;
    let late = fill(&mut world, 1, 5);
    world.run_ms(1_500);
    let end = world.requests[late[0]].end.clone();
    assert_eq!(end, Some(End::Refused(node::Reason::DeadlineTooClose)));
}

#[test]
fn a_router_with_a_stale_vm_list_does_not_write_off_a_new_vm() {
    let mut world = World::new(Shape::default(), 1);
    world.run_ms(3_000);
    world.vms_stale.insert(0);
    world.kill(3);
    world.restart(3, false);
    world.run_ms(1_400);
    // The router with the stale list reads the ledger, in which the new router holds a grant.
    world.admit(0, 0, 1, 4_000, 10, false);
    world.admit(0, 1, 2, 4_000, 10, false);
    world.run_ms(5_000);
    assert_eq!(world.routers[3].node.lifecycle(), node::Lifecycle::Ready);
}

/// The VMs that a router sends to a peer that requests the list.
fn vms_sent_to_peer(world: &mut World) -> Vec<String> {
    let (from, to) = (world.routers[1].incarnation, world.routers[0].incarnation);
    let request = message::Envelope { from, to, message: message::Message::VmsRequest };
    let node = &mut world.routers[0].node;
    node.take_actions();
    node.handle_message(request, 100_000);
    let sent = node.take_actions().into_iter().find_map(|action| match action {
        node::Action::Send { envelope, .. } => match envelope.message {
            message::Message::Vms { vms, .. } => Some(vms),
            _ => None,
        },
        _ => None,
    });
    sent.unwrap().into_iter().map(|vm| vm.vm).collect()
}

#[test]
fn a_server_whose_record_expired_is_used_but_not_sent_to_peers() {
    let mut world = World::new(Shape { servers: 1, ..Shape::default() }, 1);
    world.run_ms(2_000);
    let server = world.routers[0].node.servers().iter().next().unwrap().1.vm.clone();
    let node = &mut world.routers[0].node;
    node.offer_vms_and_lapsed(position(1_000), Vec::new(), vec![server.clone()], 2_000);
    let used = |node: &node::Node| node.servers().find(&server.vm).is_some();
    assert!(used(node));
    assert!(
        !vms_sent_to_peer(&mut world).contains(&server.vm),
        "an expired record was sent to a peer, whose list may be newer"
    );

    // A peer that received that the server leaves gossips it.
    let gossip = gossip_of_leaving(&world, &server.vm);
    let node = &mut world.routers[0].node;
    node.offer_vms(position(1_001), vec![server.clone()], 2_500);
    node.handle_gossip(&gossip, 2_600);
    node.offer_vms_and_lapsed(
        position(1_002),
        Vec::<servers::Vm>::new(),
        vec![server.clone()],
        3_000,
    );
    assert!(!used(node), "a server that left is still used");
}

/// Gossip of the second router to the first that reports a VM as leaving.
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
        brittle: Vec::new(),
        extension: None,
        confirmations: None,
    }
}

#[test]
fn a_received_leaving_update_holds_while_the_record_counts_as_expired() {
    let mut world = World::new(Shape { servers: 1, ..Shape::default() }, 1);
    world.run_ms(2_000);
    let server = world.routers[0].node.servers().iter().next().unwrap().1.vm.clone();
    let gossip = gossip_of_leaving(&world, &server.vm);
    let node = &mut world.routers[0].node;
    node.handle_gossip(&gossip, 2_000);
    // After an outage of the store its list arrives more than once while the record may still return.
    for index in 1_000..1_003 {
        node.offer_vms_and_lapsed(position(index), Vec::new(), vec![server.clone()], 2_000 + index);
        let live =
            node.servers().iter().any(|(_, server)| server.vm.state == servers::VmState::Live);
        assert!(!live, "list {index}: the server is used although it was reported as leaving");
    }
}

#[test]
fn the_retry_delay_of_refused_callers_grows_during_an_outage() {
    let mut world = World::new(Shape { routers: 1, paid_tokens: 1_000_000, ..Shape::default() }, 1);
    world.run_ms(2_000);
    world.faults.store_unavailable = true;
    let mut retry_after_ms = Vec::new();
    // Each request needs more than the granted tokens.
    for key in 0..12 {
        let index = world.admit(0, 0, key, 900_000, 1, false).unwrap();
        world.run_ms(1_000);
        assert_eq!(world.requests[index].end, Some(End::Refused(node::Reason::BudgetUnreachable)));
        retry_after_ms.push(world.requests[index].retry_after_ms);
    }
    assert!(retry_after_ms.is_sorted(), "a retry delay decreased: {retry_after_ms:?}");
    assert!(
        retry_after_ms[0] >= 2_000 && retry_after_ms[11] >= 2 * retry_after_ms[0],
        "the retry delays do not grow: {retry_after_ms:?}"
    );
}

/// Reports directives of the server that was chosen for a request while the claim of that request is being recorded.
fn directives_while_claimed(
    servers: usize,
    directives: servers::Directives,
) -> (World, usize, String) {
    let mut world = World::new(Shape { servers, ..Shape::default() }, 1);
    world.run_ms(2_000);
    let index = world.admit(0, 0, 1, 20, 20, true).unwrap();
    let node = &mut world.routers[0].node;
    let chosen = node.servers().iter().find(|(_, server)| server.in_flight == 1);
    let chosen = chosen.unwrap().1.vm.clone();
    assert!(
        !world.requests[index].dispatched,
        "the request was dispatched before its claim was recorded"
    );
    node.report_directives(
        &chosen.vm,
        chosen.incarnation,
        &directives,
        servers::AnswerAge::default(),
        world.now_ms,
    );
    (world, index, chosen.vm)
}

macro_rules! directives_while_a_claim_is_recorded {
    ($($name:ident: $directives:expr, $reason:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut world, index, chosen) = directives_while_claimed(3, $directives);
            while !world.requests[index].dispatched {
                world.run_ms(world::TICK_MS);
            }
            let busy = world.routers[0].node.servers().iter().find(|(_, server)| server.in_flight == 1);
            assert_ne!(busy.unwrap().1.vm.vm, chosen);
            let (mut world, index, _) = directives_while_claimed(1, $directives);
            world.run_ms(2_000);
            assert_eq!(world.requests[index].end, Some(End::Refused($reason)));
            assert!(world.executions.is_empty());
        }
    )*};
}

directives_while_a_claim_is_recorded! {
    a_claimed_request_does_not_go_to_a_server_that_leaves_meanwhile:
        servers::Directives { is_leaving: servers::Directive::Value(true), ..Default::default() },
        node::Reason::NoServer;
    a_claimed_request_does_not_go_to_a_server_that_backs_off_meanwhile:
        servers::Directives { backoff_ms: servers::Directive::Value(60_000), ..Default::default() },
        node::Reason::Backoff;
}

/// A small request to the first budget.
fn small_request(world: &World, number: u64) -> node::AdmissionRequest {
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
        part_fingerprints: Vec::new(),
        parts: Vec::new(),
        stream: None,
        deadline_ms: world.now_ms + 60_000,
    }
}

/// Guards against an ejection, which only reflects failures that this router saw, that is caused by a backoff or
/// outlasts it.
#[test]
fn a_server_that_rejects_requests_with_a_backoff_is_not_ejected() {
    let mut world = World::new(Shape { servers: 1, ..Shape::default() }, 1);
    world.run_ms(2_000);
    let now_ms = world.now_ms;
    let requests: Vec<node::AdmissionRequest> =
        (0..8).map(|number| small_request(&world, number)).collect();
    let node = &mut world.routers[0].node;
    let vm = node.servers().iter().next().unwrap().1.vm.clone();
    let slots: Vec<ids::RequestSlot> =
        requests.into_iter().map(|request| node.admit(request, now_ms)).collect();
    let directives =
        servers::Directives { backoff_ms: servers::Directive::Value(1_000), ..Default::default() };
    for (number, slot) in slots.into_iter().enumerate() {
        let age = servers::AnswerAge::default();
        node.report_directives(&vm.vm, vm.incarnation, &directives, age, now_ms + 50);
        // Some answers do not state that the request did not run.
        let outcome = match number % 2 {
            0 => {
                node.retry(slot, node::AttemptFailure::Rejected, now_ms + 50);
                node::RequestOutcome::NotRun
            }
            _ => node::RequestOutcome::Ran { consumed_tokens: 0, outcome: None, healthy: false },
        };
        node.finish(slot, outcome, now_ms + 50);
    }
    let actions = node.take_actions();
    let count_notices = |matches: fn(&node::Notice) -> bool| {
        let notices = actions.iter().filter_map(|action| match action {
            node::Action::Notice(notice) => Some(notice),
            _ => None,
        });
        notices.filter(|notice| matches(notice)).count()
    };
    assert_eq!(count_notices(|notice| matches!(notice, node::Notice::ServerBackoff { .. })), 1);
    assert_eq!(count_notices(|notice| matches!(notice, node::Notice::Ejected { .. })), 0);
    let refused = |action: &&node::Action| match action {
        node::Action::Answer {
            answer: node::Answer::Refuse { reason, retry_after_ms }, ..
        } => *reason == node::Reason::Backoff && (950..2_000).contains(retry_after_ms),
        _ => false,
    };
    assert_eq!(actions.iter().filter(refused).count(), 4);
}

/// Reports a crash of a server during another request with a part.
fn report_crash_under(node: &mut node::Node, part: ids::Fingerprint, vm: &str, now_ms: u64) {
    let server =
        quarantine::ServerInstance { vm: vm.to_owned(), incarnation: ids::ServerIncarnation(7) };
    let broken = node::BrokenRun {
        slot: ids::RequestSlot::default(),
        server: server.clone(),
        address: "10.9.9.9:1".to_owned(),
        request: ids::Fingerprint { head: now_ms, whole: [1; 16] },
        parts: vec![part],
    };
    node.run_broken(&broken, now_ms);
    node.record_connection_refused(&server, now_ms);
}

/// The answer to a request with a part whose first attempt failed at `failed_ms`, with crashes during other requests with
/// that part at `crashes_ms`. Times are counted from the dispatch.
fn answer_to_retry(
    crashes_ms: &[i64],
    failure: node::AttemptFailure,
    failed_ms: u64,
) -> node::Answer {
    let mut world = World::new(Shape { servers: 3, ..Shape::default() }, 1);
    world.run_ms(6_000);
    let part = ids::Fingerprint::of_part(1, [1; 12]);
    let mut request = small_request(&world, 1);
    request.part_fingerprints = vec![part];
    let dispatched_ms = world.now_ms;
    let node = &mut world.routers[0].node;
    let crash = |node: &mut node::Node, at_ms: i64| {
        let now_ms = dispatched_ms.saturating_add_signed(at_ms);
        report_crash_under(node, part, &format!("vm{at_ms}"), now_ms);
    };
    let (before, after): (Vec<i64>, Vec<i64>) = crashes_ms.iter().partition(|at_ms| **at_ms < 0);
    before.into_iter().for_each(|at_ms| crash(node, at_ms));
    let slot = node.admit(request, dispatched_ms);
    after.into_iter().for_each(|at_ms| crash(node, at_ms));
    node.take_actions();
    node.retry(slot, failure, dispatched_ms + failed_ms);
    let answer = node.take_actions().into_iter().find_map(|action| match action {
        node::Action::Answer { answer, .. } => Some(answer),
        _ => None,
    });
    answer.unwrap()
}

fn is_refused(answer: &node::Answer, expected: node::Reason) -> bool {
    matches!(answer, node::Answer::Refuse { reason, .. } if *reason == expected)
}

#[test]
fn a_request_that_was_not_sent_is_not_sent_elsewhere_just_after_a_crash_under_its_part() {
    let answer = answer_to_retry(&[10], node::AttemptFailure::NotSent, 20);
    assert!(is_refused(&answer, node::Reason::Suspended), "{answer:?}");
}

#[test]
fn a_request_is_not_retried_once_its_part_is_quarantined() {
    let crashes_ms = [-2_000, -1_400, -800, 10];
    for failure in [node::AttemptFailure::NotSent, node::AttemptFailure::Rejected] {
        let answer = answer_to_retry(&crashes_ms, failure, 20);
        assert!(is_refused(&answer, node::Reason::PartQuarantined), "{failure:?}: {answer:?}");
    }
}

#[test]
fn a_suspected_request_that_was_not_sent_is_sent_elsewhere() {
    let answer = answer_to_retry(&[-800], node::AttemptFailure::NotSent, 20);
    assert!(matches!(answer, node::Answer::Dispatch { .. }), "{answer:?}");
}

fn ejections(node: &mut node::Node) -> usize {
    let actions = node.take_actions();
    let is_ejection = |action: &&node::Action| {
        matches!(action, node::Action::Notice(node::Notice::Ejected { .. }))
    };
    actions.iter().filter(is_ejection).count()
}

/// Whether the only server is ejected when eight attempts end without an answer, `paused_ms` after the last tick and
/// then either before or after the next one.
fn ejects_after_pause(paused_ms: u64, after_tick: bool) -> bool {
    let mut world = World::new(Shape { servers: 1, ..Shape::default() }, 1);
    world.run_ms(2_000);
    let now_ms = world.now_ms;
    let requests: Vec<node::AdmissionRequest> =
        (0..8).map(|number| small_request(&world, number)).collect();
    let node = &mut world.routers[0].node;
    let slots: Vec<ids::RequestSlot> =
        requests.into_iter().map(|request| node.admit(request, now_ms)).collect();
    let resumed_ms = now_ms + world::TICK_MS + paused_ms;
    if after_tick {
        node.tick(resumed_ms);
    }
    for slot in slots {
        node.finish(slot, node::RequestOutcome::Unknown, resumed_ms + 10);
    }
    ejections(node) > 0
}

/// Guards against a router that ejects all servers because it did not run while they answered.
#[test]
fn attempts_that_time_out_while_the_router_is_paused_eject_no_server() {
    assert!(!ejects_after_pause(1_500, false), "ejected before the first tick");
    assert!(!ejects_after_pause(1_500, true), "ejected after the first tick");
    assert!(ejects_after_pause(0, true), "failures without a pause are not counted");
}

/// The requests that were placed, each with the VM of its server.
fn placements(node: &mut node::Node) -> Vec<(ids::RequestSlot, String)> {
    let actions = node.take_actions().into_iter();
    let placed = actions.filter_map(|action| match action {
        node::Action::Answer { slot, answer: node::Answer::Dispatch { vm, .. } } => {
            Some((slot, vm))
        }
        _ => None,
    });
    placed.collect()
}

/// Guards against a server that gets nothing more because the request that probed it was cancelled.
#[test]
fn a_cancelled_request_leaves_the_server_that_it_probed_to_the_next_one() {
    let mut world = World::new(Shape { servers: 2, ..Shape::default() }, 1);
    world.run_ms(2_000);
    let mut now_ms = world.now_ms;
    let requests: Vec<node::AdmissionRequest> =
        (0..400).map(|number| small_request(&world, number)).collect();
    let mut requests = requests.into_iter();
    let node = &mut world.routers[0].node;
    let failing = node.servers().iter().next().unwrap().1.vm.vm.clone();
    let mut run = |node: &mut node::Node, now_ms, cancels: bool| {
        node.admit(requests.next().unwrap(), now_ms);
        let (slot, server) = placements(node).remove(0);
        let healthy = server != failing;
        let outcome = match cancels && !healthy {
            true => node::RequestOutcome::Cancelled { consumed_tokens: 0 },
            false => node::RequestOutcome::Ran { consumed_tokens: 0, outcome: None, healthy },
        };
        node.finish(slot, outcome, now_ms + 5);
        node.take_actions();
        server
    };
    for _ in 0..100 {
        now_ms += 10;
        run(node, now_ms, false);
    }
    // Any ejection has ended.
    now_ms += 40_000;
    let reached = (0..200).filter(|_| {
        now_ms += 10;
        run(node, now_ms, true) == failing
    });
    assert!(reached.count() > 1, "the server is shut out after its probe was cancelled");
}

/// When the only server accepts requests again after a backoff, one is sent and two may wait for its answer. Guards
/// against others that wait too instead of being refused without delay.
#[test]
fn requests_beyond_the_trial_after_a_backoff_are_refused_without_delay() {
    let mut world = World::new(Shape { servers: 1, ..Shape::default() }, 1);
    world.run_ms(2_000);
    let requests: Vec<node::AdmissionRequest> =
        (0..10).map(|number| small_request(&world, number)).collect();
    let now_ms = world.now_ms;
    let node = &mut world.routers[0].node;
    let vm = node.servers().iter().next().unwrap().1.vm.clone();
    let directives =
        servers::Directives { backoff_ms: servers::Directive::Value(100), ..Default::default() };
    node.report_directives(
        &vm.vm,
        vm.incarnation,
        &directives,
        servers::AnswerAge::default(),
        now_ms,
    );
    node.take_actions();
    for request in requests {
        node.admit(request, now_ms + 200);
    }
    let actions = node.take_actions();
    let count = |matches: fn(&node::Answer) -> bool| {
        let answers = actions.iter().filter_map(|action| match action {
            node::Action::Answer { answer, .. } => Some(answer),
            _ => None,
        });
        answers.filter(|answer| matches(answer)).count()
    };
    assert_eq!(count(|answer| matches!(answer, node::Answer::Dispatch { .. })), 1);
    let refused = |answer: &node::Answer| {
        matches!(answer, node::Answer::Refuse { reason: node::Reason::Backoff, .. })
    };
    assert_eq!(count(refused), 7);
}
