//! Guards against a loss of all routers that writes off everything they had in hand (15 s of spending), and against an
//! overspend by what a successor returns to the budget instead.

#![allow(clippy::unwrap_used, missing_docs)]

mod world;

use doorswitch_core::{config, grants, ledger, machine_clock};
use quickcheck::quickcheck;
use world::{Shape, World};

const TOKENS_PER_S: u64 = 20_000;
const BOUND_TOKENS: u64 = 1_000;
/// How long the routers are down.
const DOWN_MS: u64 = 1_000;

fn fleet(paid_tokens: u64, seed: u64) -> World {
    let mut shape = Shape { routers: 3, paid_tokens, servers: 8, slots: 64, ..Shape::default() };
    for budget in &mut shape.budgets {
        budget.cover_s = 15;
        budget.minimum_grant_tokens = 0;
        budget.held_percent = 50;
        budget.holders = 1;
        budget.loss_spread_s = 20;
    }
    let mut world = World::new(shape, seed);
    world.run_ms(10_000);
    world
}

/// Spends from the first budget for some time, through all live routers.
fn spend(world: &mut World, duration_ms: u64) {
    let interval_ms = 1_000 * BOUND_TOKENS / TOKENS_PER_S;
    for number in 0..duration_ms / interval_ms {
        let router = number as usize % world.routers.len();
        let key = world.requests.len() as u64;
        if world.routers[router].alive {
            world.admit(router, 0, key, BOUND_TOKENS, BOUND_TOKENS, false);
        }
        world.run_ms(interval_ms);
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Loss {
    Kill,
    Power,
    /// Other machines take the routers' place.
    Machines,
}

/// Loses all routers after a while of spending, and returns what counts as spent although nobody has spent it, in seconds
/// of spending.
fn lost_s(loss: Loss, before_ms: u64, seed: u64) -> f64 {
    let mut world = fleet(100 * TOKENS_PER_S, seed);
    world.vm_removal_delay_ms = 100;
    spend(&mut world, before_ms);
    lose_all(&mut world, loss);
    let ledger = world.ledger(0);
    let spent_tokens = ledger.closed_spent_tokens - ledger.closed_received_tokens;
    (spent_tokens - world.totals[0].served_tokens) as f64 / TOKENS_PER_S as f64
}

fn lose_all(world: &mut World, loss: Loss) {
    for router in 0..world.routers.len() {
        match loss {
            Loss::Power => world.cut_power(router),
            Loss::Kill | Loss::Machines => world.kill(router),
        }
    }
    world.run_ms(DOWN_MS);
    (0..world.routers.len()).for_each(|router| world.restart(router, loss != Loss::Machines));
    world.run_ms(2_000);
}

macro_rules! a_loss_of_all_routers_takes {
    ($($name:ident: $loss:expr, $expected_s:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..12 {
                let lost_s = lost_s($loss, 20_000 + seed * 130, seed);
                let expected_s: std::ops::Range<f64> = $expected_s;
                assert!(expected_s.contains(&lost_s), "seed {seed}: {lost_s} s of spending");
            }
        }
    )*};
}

a_loss_of_all_routers_takes! {
    a_kill_of_all_routers_takes_three_seconds_of_spending_at_most: Loss::Kill, 0.0..3.0;
    all_that_was_in_hand_is_written_off_after_a_loss_of_power: Loss::Power, 8.0..20.0;
    all_that_was_in_hand_is_written_off_where_other_machines_follow: Loss::Machines, 8.0..20.0;
}

#[test]
fn a_bounded_grant_serves_through_an_outage_of_the_store() {
    for seed in 0..12 {
        let mut world = fleet(100 * TOKENS_PER_S, seed);
        spend(&mut world, 20_000);
        world.faults.store_unavailable = true;
        let before = world.refusals.len();
        spend(&mut world, 10_000);
        assert_eq!(world.refusals.len(), before, "seed {seed}: requests were refused");
    }
}

/// Outages, cuts, losses and bursts in turn; the simulation checks after each step that no more is served than was paid.
#[test]
fn what_a_successor_returns_is_not_spent_twice() {
    for seed in 0..40 {
        let mut world = fleet(60 * TOKENS_PER_S, seed);
        for round in 0..6 {
            let draw = (seed * 7 + round * 3) % 5;
            spend(&mut world, 400 + 700 * draw);
            world.faults.store_unavailable = draw == 1;
            spend(&mut world, 2_500);
            world.faults.store_cut = if draw == 2 { [0].into() } else { Default::default() };
            let burst = world.requests.len() as u64;
            for number in 0..20 * draw {
                let router = number as usize % world.routers.len();
                world.admit(router, 0, burst + number, BOUND_TOKENS, BOUND_TOKENS, false);
            }
            world.run_ms(150 * draw);
            let losses = [Loss::Kill, Loss::Kill, Loss::Power, Loss::Machines, Loss::Kill];
            lose_all(&mut world, losses[draw as usize]);
            world.faults.store_unavailable = false;
        }
        spend(&mut world, 30_000);
    }
}

fn pace(limit_tokens: u64) -> ledger::Pace {
    ledger::Pace { era: 3, at_ms: 10_000, limit_tokens, tokens_per_s: 100 }
}

fn spent_tokens_max(pace: Option<ledger::Pace>, ended_ms: Option<u64>, era: u64) -> u64 {
    let grant =
        ledger::Grant { granted_tokens: 1_000, consumed_tokens: 300, pace, ..Default::default() };
    let termination = match ended_ms {
        Some(ended_ms) => ledger::Termination::OnThisMachine { ended_ms },
        None => ledger::Termination::AtUnknownTime,
    };
    grant.spent_tokens_max(termination, era)
}

macro_rules! a_terminated_holder_may_have_spent {
    ($($name:ident: $found:expr, $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!($found, $expected);
        }
    )*};
}

a_terminated_holder_may_have_spent! {
    what_its_bound_allowed_until_it_ended: spent_tokens_max(Some(pace(400)), Some(12_000), 3), 600;
    the_whole_grant_if_the_bound_is_above_it: spent_tokens_max(Some(pace(400)), Some(90_000), 3), 1_000;
    what_it_reported_if_the_bound_is_below: spent_tokens_max(Some(pace(0)), Some(10_000), 3), 300;
    the_whole_grant_without_a_bound: spent_tokens_max(None, Some(12_000), 3), 1_000;
    the_whole_grant_if_its_end_is_not_known: spent_tokens_max(Some(pace(400)), None, 3), 1_000;
    the_whole_grant_if_the_store_was_restored: spent_tokens_max(Some(pace(400)), Some(12_000), 4), 1_000;
    the_whole_grant_if_the_clock_went_back: spent_tokens_max(Some(pace(400)), Some(9_999), 3), 1_000;
    the_whole_grant_at_a_bound_beyond_every_number:
        spent_tokens_max(Some(ledger::Pace { tokens_per_s: u64::MAX, ..pace(u64::MAX) }), Some(u64::MAX), 3), 1_000;
}

macro_rules! runs_of_a_clock {
    ($($name:ident: $boot:expr, $epoch_ms:expr => $is_same:expr;)*) => {$(
        #[test]
        fn $name() {
            let own = machine_clock::ClockRun { boot: "a".to_owned(), epoch_ms: 5_000 };
            let other = machine_clock::ClockRun { boot: $boot.to_owned(), epoch_ms: $epoch_ms };
            assert_eq!(own.is_same(&other), $is_same);
        }
    )*};
}

runs_of_a_clock! {
    one_run_is_the_same: "a", 5_000 => true;
    another_start_of_the_machine_is_another_run: "b", 5_000 => false;
    a_step_of_the_time_of_day_hides_that_a_run_is_the_same: "a", 7_000 => false;
    a_clock_that_starts_anew_is_another_run: "a", 1 => false;
    a_run_without_an_id_is_another_one: "", 5_000 => false;
}

quickcheck! {
    /// A holder that writes, loses replies, spends and is killed never has spent more than its successor assumes.
    fn a_holder_stays_below_each_bound_that_the_ledger_may_contain(ops: Vec<(u8, u16, u16)>) -> bool {
        let clock = machine_clock::MachineClock {
            run: machine_clock::ClockRun { boot: "a".to_owned(), epoch_ms: 0 },
            origin_ms: 1_000_000,
            address_bound_ms: 999_000,
        };
        let mut table = grants::Table::new(1);
        table.set_machine_clock(Some(&clock));
        let cover = config::Cover {
            cover_s: 15, minimum_grant_tokens: 0, held_percent: 50, holders: 1, loss_spread_s: 0,
        };
        let slot = table.declare("w/main", cover, 0);
        let granted_tokens = 1_000_000;
        let mut stored = ledger::Grant { granted_tokens, ..Default::default() };
        let mut unresolved: Vec<ledger::Grant> = Vec::new();
        let mut now_ms = 0;
        let mut reserved = Vec::new();
        for (kind, time_ms, tokens) in ops {
            now_ms += u64::from(time_ms % 3_000);
            let tokens = u64::from(tokens) * 4;
            match kind % 8 {
                0..=2 => reserved.extend(table.reserve(slot, tokens, now_ms)),
                3 => {
                    if let Some(reservation) = reserved.pop() {
                        table.settle(reservation.dispatch(), tokens);
                    }
                }
                4 => {
                    let account = table.account_mut(slot);
                    account.sent_tokens += tokens.min(account.spendable_tokens(now_ms));
                }
                5 => table.account_mut(slot).received_tokens += tokens / 8,
                // A write whose reply is lost, which may be applied at any later time.
                6 => {
                    let account = table.account_mut(slot);
                    let consumed_tokens = account.spent_tokens().min(granted_tokens);
                    let pace = account.next_pace(account.free_tokens(), 0, now_ms);
                    unresolved.push(ledger::Grant { consumed_tokens, pace, ..stored });
                }
                // A read that shows one of the writes, or none.
                _ => {
                    let definite = tokens % 3 > 0;
                    if let Some(grant) = unresolved.get(tokens as usize % (unresolved.len() + 1)) {
                        stored = *grant;
                    }
                    table.account_mut(slot).apply_grant(Some(&stored), definite);
                    if definite {
                        unresolved.clear();
                    }
                }
            }
            let account = table.account(slot);
            let left = account.consumed_tokens + account.sent_tokens + account.reserved_tokens;
            let used = left.saturating_sub(account.received_tokens);
            let termination = ledger::Termination::OnThisMachine { ended_ms: clock.origin_ms + now_ms };
            let assumed = |grant: &ledger::Grant| grant.spent_tokens_max(termination, 0);
            if unresolved.iter().chain([&stored]).any(|grant| used > assumed(grant)) {
                return false;
            }
            table.measure_rates(now_ms);
        }
        true
    }
}
