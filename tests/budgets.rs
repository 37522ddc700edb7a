//! A workspace's consumption never exceeds its prepaid budget, also when router processes or the platform fail.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use doorswitch_standins::{engine, platform};
use fleet::{Answer, Fleet, Options, eventually};
use std::collections::HashMap;

const PROMPT: &str = "grade this batch";
/// Number of words in `PROMPT`; the engine counts each word as a token.
const PROMPT_TOKENS: u64 = 3;

fn options() -> Options {
    Options { budget_tokens: 6_000, minimum_grant_tokens: 400, cover_s: 5, ..Options::default() }
}

/// Sends requests of `tokens` to routers in turn until all refuse for lack of budget; returns the tokens of the
/// answered requests.
fn spend_all(fleet: &Fleet, routers: &[usize], tokens: u64) -> u64 {
    let mut served = 0;
    let mut consecutive_refusals = 0;
    let mut request_count = 0;
    while consecutive_refusals < routers.len() * 2 {
        let answer = fleet.complete(routers[request_count % routers.len()], PROMPT, tokens, false);
        request_count += 1;
        match answer {
            Some(answer) if answer.status == 200 => {
                served += PROMPT_TOKENS + tokens;
                consecutive_refusals = 0;
            }
            Some(answer) => {
                assert_refusal(&answer);
                consecutive_refusals += 1;
            }
            None => consecutive_refusals += 1,
        }
    }
    served
}

fn assert_refusal(answer: &Answer) {
    let codes = ["budget_exhausted", "budget_unreachable", "fenced"];
    assert!(codes.contains(&answer.code().as_str()), "not refused for its budget: {answer:?}");
    assert_eq!(answer.ran(), "not_run", "{answer:?}");
    assert!(answer.header("retry-after").is_some(), "no Retry-After: {answer:?}");
}

/// Maximum of tokens left in an exhausted budget: a request is refused when its bound, which is above its consumption,
/// doesn't fit.
const BOUND_SLACK: u64 = 400;

#[test]
fn two_partitioned_regions_both_spend_their_grants_and_never_overspend() {
    let fleet = Fleet::start("budget-region", Options { routers: 4, regions: 2, ..options() });
    let (near, far) = ([0, 2], [1, 3]);
    fleet.wait_granted("kitchen");
    fleet.cut_routers(&near, &far, true);
    fleet.cut_platform(&far, true);
    let far_served = spend_all(&fleet, &far, 100);
    assert!(far_served > 0, "the region without the platform could not spend its grants");
    let near_served = spend_all(&fleet, &near, 100);
    assert!(near_served > 0);
    assert!(far_served + near_served <= 6_000);
    assert_eq!(
        fleet.generated_tokens() + PROMPT_TOKENS * fleet.started_requests(),
        far_served + near_served
    );
    fleet.cut_routers(&near, &far, false);
    fleet.cut_platform(&far, false);
    eventually("the routers list each other as alive again", || {
        (0..4).all(|index| fleet.members_alive(index) == 3)
    });
    let after = spend_all(&fleet, &[0, 1, 2, 3], 100);
    let all = far_served + near_served + after;
    assert!(all <= 6_000, "{all} tokens were served of 6,000");
    assert!(all + BOUND_SLACK >= 6_000, "false refusals after the partition: served only {all}");
    eventually("all tokens are billed", || fleet.totals("kitchen").billed_tokens == all);
}

#[test]
fn the_grant_of_a_killed_router_is_written_off_and_retries_of_its_callers_are_billed_once() {
    let slow = engine::Mode { token_ms: 20, ..engine::Mode::default() };
    let mut fleet = Fleet::start("budget-kill", Options { engine_mode: slow, ..options() });
    let ids: Vec<String> = (0..4).map(|number| format!("stream-{number}")).collect();
    let streams: Vec<_> = ids
        .iter()
        .map(|id| {
            let body = fleet::completion_body(PROMPT, 50, true);
            let headers = [("Idempotency-Key", id.as_str())];
            let path = "/v1/chat/completions";
            fleet::send(fleet.routers[0].callers, "POST", path, "kitchen-key", &headers, &body)
        })
        .collect();
    eventually("the streams run", || fleet.engines.iter().any(|engine| engine.running() > 0));
    fleet.kill(0);
    drop(streams);
    for id in &ids {
        let answer = fleet.complete_as(1, "kitchen-key", Some(id), PROMPT, 50, true).unwrap();
        assert_eq!(answer.text(), engine::answer(PROMPT, 50));
        assert!(answer.done());
    }
    eventually("each id is billed once", || fleet.totals("kitchen").billed_requests == 4);
    assert_eq!(fleet.totals("kitchen").billed_tokens, 4 * (50 + PROMPT_TOKENS));
    // Only a new process at the old address proves that the old process has ended; until then nothing is written off.
    assert_eq!(fleet.ledger("kitchen").written_off_tokens, 0);
    let peer = fleet.peer_address(0);
    fleet.spawn_at(0, peer);
    eventually("the killed router's grant is written off", || {
        fleet.ledger("kitchen").written_off_tokens > 0
    });
    fleet.wait_router_ready(0);
    fleet.engines.iter().for_each(|engine| engine.set_mode(engine::Mode::default()));
    let served = spend_all(&fleet, &[0, 1, 2], 100);
    assert!(served + 4 * 53 <= 6_000);
}

#[test]
fn a_resumed_router_spends_only_its_own_grant() {
    let fleet = Fleet::start("budget-freeze", options());
    fleet.signal(0, "STOP");
    eventually("the others list the suspended router as silent", || fleet.members_alive(1) == 1);
    let others = spend_all(&fleet, &[1, 2], 100);
    fleet.signal(0, "CONT");
    // It may transfer its grant to routers that requested it during the suspension, or spend it, but not both.
    let resumed = spend_all(&fleet, &[0], 100);
    assert!(others + resumed <= 6_000);
    eventually("the others list the resumed router as alive", || fleet.members_alive(1) == 2);
    let rest = spend_all(&fleet, &[0, 1, 2], 100);
    let all = others + resumed + rest;
    assert!(all <= 6_000 && all + BOUND_SLACK >= 6_000, "{all} tokens were served of 6,000");
}

#[test]
fn a_suspended_router_whose_vm_was_removed_is_fenced_when_it_resumes() {
    let fleet = Fleet::start("budget-fence", options());
    fleet.complete(0, PROMPT, 10, false).unwrap();
    fleet.signal(0, "STOP");
    let mut vms = fleet.platform.vms();
    vms.retain(|vm| vm.vm != "entry-0");
    fleet.platform.set_vms(vms);
    eventually("the suspended router's grant is written off", || {
        fleet.ledger("kitchen").written_off_tokens > 0
    });
    let others = spend_all(&fleet, &[1, 2], 100);
    fleet.signal(0, "CONT");
    let resumed = spend_all(&fleet, &[0], 100);
    eventually("the resumed router is fenced", || fleet.dump(0)["lifecycle"] == "fenced");
    assert!(13 + others + resumed <= 6_000);
    assert_eq!(fleet.get(0, "/readyz", "none").unwrap().status, 503);
}

#[test]
fn during_a_platform_outage_grants_stay_usable_and_requests_beyond_them_are_refused() {
    let fleet = Fleet::start("budget-outage", options());
    fleet.wait_granted("kitchen");
    fleet.platform.set_mode(platform::Mode { out: true, ..platform::Mode::default() });
    let during = spend_all(&fleet, &[0, 1, 2], 100);
    assert!(during > 0, "no grant was usable during the outage");
    assert!(during <= 6_000);
    fleet.platform.set_mode(platform::Mode::default());
    let mut after = 0;
    eventually("the rest of the budget is usable again", || {
        after += spend_all(&fleet, &[0, 1, 2], 100);
        during + after + BOUND_SLACK >= 6_000
    });
    assert!(during + after <= 6_000);
    eventually("all tokens are billed", || fleet.totals("kitchen").billed_tokens == during + after);
}

#[test]
fn lost_replies_and_a_slow_platform_cause_no_overspending() {
    let fleet = Fleet::start("budget-lost", options());
    let mode =
        platform::Mode { lose_write_replies_percent: 40, slow_ms: 30, ..platform::Mode::default() };
    fleet.platform.set_mode(mode);
    let during = spend_all(&fleet, &[0, 1, 2], 60);
    fleet.platform.set_mode(platform::Mode::default());
    let mut after = 0;
    eventually("the budget is spent", || {
        after += spend_all(&fleet, &[0, 1, 2], 60);
        during + after + BOUND_SLACK >= 6_000
    });
    assert!(during + after <= 6_000, "{} tokens were served of 6,000", during + after);
    eventually("all tokens are billed", || fleet.totals("kitchen").billed_tokens == during + after);
}

#[test]
fn concurrent_payments_are_each_applied_once() {
    let fleet = Fleet::start("budget-race", options());
    let mode = platform::Mode { lose_write_replies_percent: 30, ..platform::Mode::default() };
    fleet.platform.set_mode(mode);
    let payments: HashMap<String, u64> =
        (0..8).map(|number| (format!("invoice-{number}"), 100 + number)).collect();
    std::thread::scope(|scope| {
        for (operation, tokens) in &payments {
            let fleet = &fleet;
            // The same operation twice, as by an operator who retries a command with an unknown result.
            scope.spawn(move || {
                fleet.pay("kitchen", *tokens, operation);
                fleet.pay("kitchen", *tokens, operation);
            });
        }
    });
    let paid: u64 = payments.values().sum();
    assert_eq!(fleet.ledger("kitchen").paid_tokens, 6_000 + paid);
}

#[test]
fn an_exhausted_budget_does_not_affect_another_workspace() {
    let fleet = Fleet::start("budget-two", options());
    spend_all(&fleet, &[0, 1, 2], 100);
    let gate = fleet.complete_as(0, "gate-key", None, PROMPT, 100, false).unwrap();
    assert_eq!(gate.status, 200, "{gate:?}");
    eventually("the other workspace is billed", || fleet.totals("gate").billed_tokens == 103);
}
