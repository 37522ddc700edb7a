//! Measures goodput and time to first token past capacity, beside round robin and least outstanding
//! requests on the same arrivals and the same engines.
//!
//! `cargo bench -p doorswitch-core --bench routing` prints the table.

#![allow(missing_docs, clippy::unwrap_used)]

mod engines;
mod strategies;

use engines::{Engines, Trouble};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use strategies::{Decision, Strategy};

pub const ROUTERS: usize = 4;
pub const STEP_MS: u64 = 10;
const DURATION_MS: u64 = 60_000;
/// Callers wait this long for a whole answer.
pub const DEADLINE_MS: u64 = 10_000;
/// Trouble begins after this.
const TROUBLE_MS: u64 = 10_000;
/// A caller that retries does so this often.
const RETRIES: u32 = 2;
const ANSWER_TOKENS: std::ops::RangeInclusive<u64> = 50..=150;

#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub number: usize,
    pub router: usize,
    pub tokens: u64,
    pub given_ms: u64,
    pub retries_left: u32,
}

struct Outcome {
    good: u64,
    refused: u64,
    late: u64,
    first_token_ms: Histogram<u64>,
}

fn main() {
    let capacity = Engines::new(Trouble::None)
        .capacity_milli_per_s(*ANSWER_TOKENS.start() / 2 + *ANSWER_TOKENS.end() / 2);
    println!("capacity of the engines: {:.1} requests a second", capacity as f64 / 1e3);
    println!(
        "{:<22} {:>5} {:<18} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8}",
        "trouble",
        "load",
        "strategy",
        "goodput/s",
        "refused/s",
        "late/s",
        "p50 ms",
        "p95 ms",
        "p99 ms"
    );
    for trouble in Trouble::ALL {
        let loads: &[u64] =
            if trouble == Trouble::None { &[50, 100, 200, 400] } else { &[80, 200] };
        for load_percent in loads {
            let arrivals = arrivals(capacity * load_percent / 100, trouble);
            for name in ["doorswitch", "round robin", "least outstanding"] {
                let outcome = run(strategies::named(name), trouble, &arrivals);
                show(trouble, *load_percent, name, &outcome);
            }
        }
    }
}

fn show(trouble: Trouble, load_percent: u64, name: &str, outcome: &Outcome) {
    let per_s = |count: u64| count as f64 * 1e3 / DURATION_MS as f64;
    let at = |quantile| outcome.first_token_ms.value_at_quantile(quantile);
    println!(
        "{:<22} {:>4.1}x {name:<18} {:>9.1} {:>9.1} {:>8.1} {:>8} {:>8} {:>8}",
        trouble.name(),
        load_percent as f64 / 100.0,
        per_s(outcome.good),
        per_s(outcome.refused),
        per_s(outcome.late),
        at(0.5),
        at(0.95),
        at(0.99)
    );
}

fn arrivals(rate_milli_per_s: u64, trouble: Trouble) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(17);
    let count = rate_milli_per_s * DURATION_MS / 1_000_000;
    let retries_left = if trouble == Trouble::CallersRetry { RETRIES } else { 0 };
    let mut requests: Vec<Request> = (0..count)
        .map(|_| Request {
            number: 0,
            router: rng.random_range(0..ROUTERS),
            tokens: rng.random_range(ANSWER_TOKENS),
            given_ms: rng.random_range(0..DURATION_MS),
            retries_left,
        })
        .collect();
    requests.sort_by_key(|request| request.given_ms);
    requests
}

fn run(mut strategy: Box<dyn Strategy>, trouble: Trouble, arrivals: &[Request]) -> Outcome {
    let mut engines = Engines::new(trouble);
    let mut outcome =
        Outcome { good: 0, refused: 0, late: 0, first_token_ms: Histogram::new(3).unwrap() };
    let mut requests: Vec<Request> = Vec::new();
    // Callers by when they come (again); the caller of a request that waits leaves at its deadline.
    let mut coming: BTreeMap<(u64, usize), Request> = BTreeMap::new();
    for (place, request) in arrivals.iter().enumerate() {
        coming.insert((request.given_ms, place), *request);
    }
    let mut serial = arrivals.len();
    for now_ms in (0..DURATION_MS + DEADLINE_MS).step_by(STEP_MS as usize) {
        if now_ms == TROUBLE_MS {
            engines.trouble();
        }
        while let Some(entry) = coming.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            let mut request = entry.remove();
            request.number = requests.len();
            request.given_ms = now_ms;
            requests.push(request);
            strategy.arrive(&request, now_ms);
        }
        for ended in engines.step(now_ms) {
            let request = requests[ended.number];
            strategy.ended(&ended, now_ms);
            if ended.broken {
                continue;
            }
            if ended.cancelled {
                outcome.late += 1;
                again(&mut coming, &mut serial, request, now_ms + 1);
                continue;
            }
            outcome.good += 1;
            outcome.first_token_ms.record(ended.first_token_ms - request.given_ms).unwrap();
        }
        strategy.tick(&engines, now_ms);
        for decision in strategy.decisions() {
            match decision {
                Decision::Send { number, server } => {
                    engines.send(server, &requests[number], now_ms);
                }
                Decision::Refuse { number, retry_after_ms } => {
                    outcome.refused += 1;
                    again(&mut coming, &mut serial, requests[number], now_ms + retry_after_ms);
                }
            }
        }
    }
    outcome
}

/// A caller that retries comes back; others are gone.
fn again(
    coming: &mut BTreeMap<(u64, usize), Request>,
    serial: &mut usize,
    request: Request,
    at_ms: u64,
) {
    if let Some(retries_left) = request.retries_left.checked_sub(1) {
        *serial += 1;
        coming.insert((at_ms, *serial), Request { retries_left, ..request });
    }
}
