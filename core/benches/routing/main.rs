//! Measures goodput and time to first token at loads up to and beyond capacity, and compares them with round robin and
//! least outstanding requests on the same arrivals and the same engines.
//!
//! `cargo bench -p doorswitch-core --bench routing` prints the table.

#![allow(missing_docs, clippy::unwrap_used)]

mod engines;
mod strategies;

use engines::{Engines, Fault};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use strategies::{Decision, Strategy};

pub const ROUTERS: usize = 4;
pub const STEP_MS: u64 = 10;
const DURATION_MS: u64 = 60_000;
/// Time that callers wait for the complete answer.
pub const DEADLINE_MS: u64 = 10_000;
/// Time at which the fault begins.
const FAULT_BEGINS_MS: u64 = 10_000;
/// Number of retries of a caller that retries.
const RETRIES: u32 = 2;
const ANSWER_TOKENS: std::ops::RangeInclusive<u64> = 50..=150;

#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub number: usize,
    pub router: usize,
    pub tokens: u64,
    pub submitted_ms: u64,
    pub retries_left: u32,
}

struct Outcome {
    completed: u64,
    refused: u64,
    late: u64,
    first_token_ms: Histogram<u64>,
}

fn main() {
    let capacity = Engines::new(Fault::None)
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
    for fault in Fault::ALL {
        let loads: &[u64] = if fault == Fault::None { &[50, 100, 200, 400] } else { &[80, 200] };
        for load_percent in loads {
            let arrivals = arrivals(capacity * load_percent / 100, fault);
            for name in ["doorswitch", "round robin", "least outstanding"] {
                let outcome = run(strategies::by_name(name), fault, &arrivals);
                print_row(fault, *load_percent, name, &outcome);
            }
        }
    }
}

fn print_row(fault: Fault, load_percent: u64, name: &str, outcome: &Outcome) {
    let per_s = |count: u64| count as f64 * 1e3 / DURATION_MS as f64;
    let first_token_ms = |quantile| outcome.first_token_ms.value_at_quantile(quantile);
    println!(
        "{:<22} {:>4.1}x {name:<18} {:>9.1} {:>9.1} {:>8.1} {:>8} {:>8} {:>8}",
        fault.name(),
        load_percent as f64 / 100.0,
        per_s(outcome.completed),
        per_s(outcome.refused),
        per_s(outcome.late),
        first_token_ms(0.5),
        first_token_ms(0.95),
        first_token_ms(0.99)
    );
}

fn arrivals(rate_milli_per_s: u64, fault: Fault) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(17);
    let count = rate_milli_per_s * DURATION_MS / 1_000_000;
    let retries_left = if fault == Fault::CallersRetry { RETRIES } else { 0 };
    let mut requests: Vec<Request> = (0..count)
        .map(|_| Request {
            number: 0,
            router: rng.random_range(0..ROUTERS),
            tokens: rng.random_range(ANSWER_TOKENS),
            submitted_ms: rng.random_range(0..DURATION_MS),
            retries_left,
        })
        .collect();
    requests.sort_by_key(|request| request.submitted_ms);
    requests
}

fn run(mut strategy: Box<dyn Strategy>, fault: Fault, arrivals: &[Request]) -> Outcome {
    let mut engines = Engines::new(fault);
    let mut outcome =
        Outcome { completed: 0, refused: 0, late: 0, first_token_ms: Histogram::new(3).unwrap() };
    let mut requests: Vec<Request> = Vec::new();
    // Requests by the time of their next attempt; the caller of a waiting request leaves at its deadline.
    let mut arriving: BTreeMap<(u64, usize), Request> = BTreeMap::new();
    for (index, request) in arrivals.iter().enumerate() {
        arriving.insert((request.submitted_ms, index), *request);
    }
    let mut serial = arrivals.len();
    for now_ms in (0..DURATION_MS + DEADLINE_MS).step_by(STEP_MS as usize) {
        if now_ms == FAULT_BEGINS_MS {
            engines.begin_fault();
        }
        while let Some(entry) = arriving.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            let mut request = entry.remove();
            request.number = requests.len();
            request.submitted_ms = now_ms;
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
                schedule_retry(&mut arriving, &mut serial, request, now_ms + 1);
                continue;
            }
            outcome.completed += 1;
            outcome.first_token_ms.record(ended.first_token_ms - request.submitted_ms).unwrap();
        }
        strategy.tick(&engines, now_ms);
        for decision in strategy.decisions() {
            match decision {
                Decision::Send { number, server } => {
                    engines.send(server, &requests[number], now_ms);
                }
                Decision::Refuse { number, retry_after_ms } => {
                    outcome.refused += 1;
                    schedule_retry(
                        &mut arriving,
                        &mut serial,
                        requests[number],
                        now_ms + retry_after_ms,
                    );
                }
            }
        }
    }
    outcome
}

/// Schedules the next attempt of a caller that has retries left.
fn schedule_retry(
    arriving: &mut BTreeMap<(u64, usize), Request>,
    serial: &mut usize,
    request: Request,
    at_ms: u64,
) {
    if let Some(retries_left) = request.retries_left.checked_sub(1) {
        *serial += 1;
        arriving.insert((at_ms, *serial), Request { retries_left, ..request });
    }
}
