//! Guards against a kill of all routers that takes all tokens that they had in hand: their successors on the same machines
//! know how much of them cannot have been spent.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use fleet::eventually;
use routes::{KEY, Request, World, answers, request};
use std::thread;
use std::time::{Duration, Instant};

const ROUTERS: usize = 3;
const PREPAID: u64 = 4_000_000;
/// The prompt tokens of a request, and the most tokens of its answer.
const TOKENS: (u64, u64) = (2_000, 100);
/// 80,000 tokens a second.
const INTERVAL: Duration = Duration::from_millis(25);
/// Longer than a budget takes to have tokens for 15 s of spending in hand.
const BEFORE: Duration = Duration::from_secs(12);

/// Sends requests in turn to all routers for some time; returns how many were served.
fn spend(world: &World, name: &str, time: Duration) -> u64 {
    let started = Instant::now();
    let mut served = 0;
    for number in 0.. {
        let due = INTERVAL * number;
        if due >= time {
            return served;
        }
        thread::sleep(due.saturating_sub(started.elapsed()));
        let id = format!("{name}-{number}");
        let metered = Request { tokens: Some(TOKENS), ..request("/read/x", &id) };
        served += u64::from(world.call(number as usize % ROUTERS, &metered).status == 200);
    }
    unreachable!()
}

/// The sum of a field of all log lines on grants that were closed by the present processes.
fn sum_of_closed_grants(world: &World, field: &str) -> u64 {
    let logs: Vec<String> = (0..ROUTERS).map(|router| world.log(router)).collect();
    let lines = logs.iter().flat_map(|log| log.lines());
    let values = lines.filter(|line| line.contains("event=grant_written_off")).map(|line| {
        let value = line.split_whitespace().find_map(|word| word.strip_prefix(field));
        value.unwrap().parse::<u64>().unwrap()
    });
    values.sum()
}

#[test]
fn a_kill_of_all_routers_leaves_what_they_cannot_have_spent() {
    let mut world = World::unready("kill-all", (0..4).map(|_| answers("done")).collect());
    world.publish(&[KEY], PREPAID);
    (0..ROUTERS).for_each(|_| world.add_router());
    (0..ROUTERS).for_each(|router| world.wait_ready(router));
    let served = spend(&world, "before", BEFORE);
    (0..ROUTERS).for_each(|router| world.kill(router));
    (0..ROUTERS).for_each(|router| world.spawn(router));
    (0..ROUTERS).for_each(|router| world.wait_ready(router));
    spend(&world, "again", Duration::from_secs(2));
    eventually("the grants of the killed routers are closed", || {
        sum_of_closed_grants(&world, "granted_tokens=") > 0
    });
    let written_off_tokens = sum_of_closed_grants(&world, "written_off_tokens=");
    let returned_tokens = sum_of_closed_grants(&world, "returned_tokens=");
    assert!(
        written_off_tokens < returned_tokens,
        "{written_off_tokens} tokens were written off, {returned_tokens} returned, after {served} requests"
    );
}
