//! Compares strategies by which routers share the rate limits of servers, on the same arrivals.
//!
//! `cargo bench -p doorswitch-core --bench limits` prints the table. All servers of the service are limited, so that
//! unused capacity is lost. Clients send in bursts, so that permits that accumulated between bursts show.

#![allow(missing_docs, clippy::unwrap_used)]

mod strategies;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;

const STEP_MS: u64 = 20;
const RUN_MS: u64 = 120_000;
/// Length of a burst of requests, and of the pause after it.
const BURST_MS: u64 = 10_000;
/// Longest time that a request waits for a server.
const WAIT_MAX_MS: u64 = 500;
const WINDOW_MS: u64 = 4_000;
const SEEDS: u64 = 5;
const ALLOTTED_SERVERS: usize = 1_000;

#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub routers: usize,
    pub servers: usize,
    /// Limit of each server, in thousandths of a request a second.
    pub milli_per_s: u64,
    /// Demand in percent of the limits of all servers.
    pub load_percent: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    /// The largest number of requests at a server within a window, in percent of the allowed number.
    max_percent: f64,
    /// Served requests in percent of those that could be served.
    used_percent: f64,
    wait_ms: f64,
    /// Messages per served request.
    messages: f64,
}

fn main() {
    print_allotments();
    println!(
        "{:<9} {:>7} {:>7} {:>6} {:>6}  {:>7} {:>6} {:>8} {:>8}",
        "way", "routers", "servers", "per s", "load %", "most %", "used %", "wait ms", "messages"
    );
    for routers in [1, 7, 30, 300] {
        for (servers, milli_per_s) in [(4, 1_100), (4, 5_000), (12, 400), (12, 20_000)] {
            for load_percent in [50, 300] {
                let shape = Shape { routers, servers, milli_per_s, load_percent };
                for name in strategies::NAMES {
                    print_row(name, &shape);
                }
            }
        }
    }
}

/// Prints the rates that the strategies allot to the routers of 1,000 servers: the percentage of servers that no router
/// may send to, and the mean and the maximum of the summed rates in percent of the limit of the server.
fn print_allotments() {
    println!(
        "{:<9} {:>7} {:>6}  {:>6} {:>6} {:>6}",
        "way", "routers", "per s", "none %", "mean %", "most %"
    );
    for routers in [7, 75, 300, 760] {
        for milli_per_s in [1_100, 7_700] {
            let shape = Shape { routers, servers: ALLOTTED_SERVERS, milli_per_s, load_percent: 0 };
            for name in ["chance", "ranked"] {
                let rates = strategies::summed_rates(name, &shape, &mut StdRng::seed_from_u64(1));
                let percent = |rate: f64| rate / milli_per_s as f64 * 100.0;
                let none = rates.iter().filter(|rate| **rate == 0.0).count();
                println!(
                    "{name:<9} {routers:>7} {:>6}  {:>6.1} {:>6.0} {:>6.0}",
                    milli_per_s as f64 / 1e3,
                    none as f64 / ALLOTTED_SERVERS as f64 * 100.0,
                    percent(rates.iter().sum::<f64>() / ALLOTTED_SERVERS as f64),
                    percent(rates.iter().copied().fold(0.0, f64::max)),
                );
            }
        }
    }
    println!();
}

fn print_row(name: &str, shape: &Shape) {
    let mut sum = Figures::default();
    for seed in 0..SEEDS {
        let figures = simulate(name, shape, seed);
        sum.max_percent = sum.max_percent.max(figures.max_percent);
        sum.used_percent += figures.used_percent / SEEDS as f64;
        sum.wait_ms += figures.wait_ms / SEEDS as f64;
        sum.messages += figures.messages / SEEDS as f64;
    }
    println!(
        "{name:<9} {:>7} {:>7} {:>6} {:>6}  {:>7.0} {:>6.0} {:>8.0} {:>8.1}",
        shape.routers,
        shape.servers,
        shape.milli_per_s as f64 / 1e3,
        shape.load_percent,
        sum.max_percent,
        sum.used_percent,
        sum.wait_ms,
        sum.messages
    );
}

fn simulate(name: &str, shape: &Shape, seed: u64) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut strategy = strategies::new(name, shape, &mut rng);
    let weights: Vec<f64> = (0..shape.routers).map(|_| rng.random_range(0.3..1.7)).collect();
    let weights_sum: f64 = weights.iter().sum();
    let capacity_per_s = shape.servers as f64 * shape.milli_per_s as f64 / 1e3;
    let demand = capacity_per_s * shape.load_percent as f64 / 100.0 * STEP_MS as f64 / 1e3;
    let mut queues: Vec<VecDeque<u64>> = vec![VecDeque::new(); shape.routers];
    let mut sends: Vec<Vec<u64>> = vec![Vec::new(); shape.servers];
    let (mut arrived, mut waited_ms) = (0_u64, 0_u64);
    for step in 0..RUN_MS / STEP_MS {
        let now_ms = step * STEP_MS;
        let burst = now_ms / BURST_MS % 2 == 1;
        for (router, queue) in queues.iter_mut().enumerate() {
            if burst {
                let arrivals = poisson(demand * weights[router] / weights_sum, &mut rng);
                arrived += arrivals;
                (0..arrivals).for_each(|_| queue.push_back(now_ms));
            }
            queue.retain(|since_ms| now_ms < since_ms + WAIT_MAX_MS);
            while let Some(since_ms) = queue.front().copied() {
                let left_ms = since_ms + WAIT_MAX_MS - now_ms;
                let Some(server) = strategy.take_server(router, queue.len(), left_ms, now_ms)
                else {
                    break;
                };
                queue.pop_front();
                sends[server].push(now_ms);
                waited_ms += now_ms - since_ms;
            }
        }
    }
    let served: usize = sends.iter().map(Vec::len).sum();
    let servable = (capacity_per_s * RUN_MS as f64 / 2e3).min(arrived as f64);
    let allowed = 1.5 * shape.milli_per_s as f64 / 1e3 * WINDOW_MS as f64 / 1e3 + 5.0;
    let max = sends.iter().map(|sends| max_in_window(sends)).max().unwrap_or(0);
    Figures {
        max_percent: max as f64 / allowed * 100.0,
        used_percent: served as f64 / servable * 100.0,
        wait_ms: waited_ms as f64 / served.max(1) as f64,
        messages: strategy.messages() as f64 / served.max(1) as f64,
    }
}

fn max_in_window(sends_ms: &[u64]) -> usize {
    let within = |(index, from_ms): (usize, &u64)| {
        sends_ms[index..].iter().take_while(|at_ms| **at_ms < from_ms + WINDOW_MS).count()
    };
    sends_ms.iter().enumerate().map(within).max().unwrap_or(0)
}

fn poisson(mean: f64, rng: &mut StdRng) -> u64 {
    let limit = (-mean).exp();
    let mut product = rng.random_range(0.0..1.0);
    let mut count = 0;
    while product > limit {
        product *= rng.random_range(0.0..1.0);
        count += 1;
    }
    count
}
