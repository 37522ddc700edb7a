//! The baseline strategies, which run on the same arrivals and faults.

use crate::scenario::{self, Arrival, Figures, Scenario, Site};
use std::collections::BTreeMap;

/// Writes that the store accepts in a second.
const STORE_WRITES_PER_S: u64 = 100;

/// Running requests by end time and number; their tokens are settled when they end.
type Running = BTreeMap<(u64, usize), (Arrival, usize)>;

/// Each router owns a fixed, equal part of every budget. The part of a router that crashes is lost, because without a
/// ledger its spending is not recorded.
pub fn equal_split(site: Site, scenario: Scenario, arrivals: &[Arrival]) -> Figures {
    let paid = scenario::prepaid_tokens(scenario, arrivals);
    let routers = site.routers();
    let mut free: Vec<Vec<u64>> =
        paid.iter().map(|tokens| vec![tokens / routers as u64; routers]).collect();
    let mut accounting = Accounting::new(&paid);
    let mut running = Running::new();
    let mut second = 0;
    for (number, arrival) in arrivals.iter().enumerate() {
        for (ended, _) in take_ended(&mut running, arrival.at_ms) {
            free[ended.budget][ended.router] += ended.bound_tokens - ended.actual_tokens;
            accounting.end(&ended);
        }
        while second <= arrival.at_ms / 1_000 {
            if let Some(killed) = scenario.killed_router(site, second) {
                accounting.figures.crashes += 1;
                for budget in &mut free {
                    accounting.figures.lost_tokens += std::mem::take(&mut budget[killed]);
                }
            }
            second += 1;
        }
        let own = &mut free[arrival.budget][arrival.router];
        if *own >= arrival.bound_tokens {
            *own -= arrival.bound_tokens;
            accounting.start(arrival);
            running.insert((arrival.at_ms + scenario::SERVE_MS, number), (*arrival, 0));
        } else {
            accounting.refuse(arrival);
        }
    }
    accounting.finish()
}

/// Every request reserves and settles its tokens in the store, with two writes. Without the store no request is served.
pub fn store_call(site: Site, scenario: Scenario, arrivals: &[Arrival]) -> Figures {
    let paid = scenario::prepaid_tokens(scenario, arrivals);
    let mut free = paid.clone();
    let mut accounting = Accounting::new(&paid);
    let mut running = Running::new();
    let mut second = 0;
    let mut writes_in_second = 0;
    for (number, arrival) in arrivals.iter().enumerate() {
        for (ended, _) in take_ended(&mut running, arrival.at_ms) {
            free[ended.budget] += ended.bound_tokens - ended.actual_tokens;
            accounting.end(&ended);
            accounting.figures.writes += 1;
            writes_in_second += 1;
        }
        while second <= arrival.at_ms / 1_000 {
            writes_in_second = 0;
            if let Some(killed) = scenario.killed_router(site, second) {
                accounting.figures.crashes += 1;
                let lost = running.values().filter(|(arrival, _)| arrival.router == killed);
                accounting.figures.lost_tokens +=
                    lost.map(|(arrival, _)| arrival.bound_tokens).sum::<u64>();
                running.retain(|_, (arrival, _)| arrival.router != killed);
            }
            second += 1;
        }
        accounting.figures.reads += 1;
        let reachable = scenario.store_reachable(arrival.router, arrival.at_ms / 1_000);
        let within_rate = writes_in_second < STORE_WRITES_PER_S;
        if reachable && within_rate && free[arrival.budget] >= arrival.bound_tokens {
            free[arrival.budget] -= arrival.bound_tokens;
            accounting.figures.writes += 1;
            writes_in_second += 1;
            accounting.start(arrival);
            running.insert((arrival.at_ms + scenario::SERVE_MS, number), (*arrival, 0));
        } else {
            accounting.refuse(arrival);
        }
    }
    accounting.finish()
}

fn take_ended(running: &mut Running, now_ms: u64) -> Vec<(Arrival, usize)> {
    let mut later = running.split_off(&(now_ms + 1, 0));
    std::mem::swap(running, &mut later);
    later.into_values().collect()
}

/// Paid, served and outstanding tokens of each budget, from which false refusals are counted.
struct Accounting {
    paid: Vec<u64>,
    served: Vec<u64>,
    outstanding: Vec<u64>,
    first_refusal_ms: Vec<Option<u64>>,
    exhausted_ms: Vec<Option<u64>>,
    figures: Figures,
}

impl Accounting {
    fn new(paid: &[u64]) -> Self {
        let none = vec![0; paid.len()];
        Self {
            paid: paid.to_vec(),
            served: none.clone(),
            outstanding: none,
            first_refusal_ms: vec![None; paid.len()],
            exhausted_ms: vec![None; paid.len()],
            figures: Figures::default(),
        }
    }

    fn left_tokens(&self, budget: usize) -> u64 {
        self.paid[budget].saturating_sub(self.served[budget] + self.outstanding[budget])
    }

    fn start(&mut self, arrival: &Arrival) {
        self.figures.requests += 1;
        self.outstanding[arrival.budget] += arrival.bound_tokens;
        let spent = self.served[arrival.budget] + self.outstanding[arrival.budget];
        let over = spent.saturating_sub(self.paid[arrival.budget]);
        self.figures.overspend_tokens = self.figures.overspend_tokens.max(over);
        self.record_exhaustion(arrival);
    }

    fn end(&mut self, arrival: &Arrival) {
        self.outstanding[arrival.budget] -= arrival.bound_tokens;
        self.served[arrival.budget] += arrival.actual_tokens;
    }

    fn refuse(&mut self, arrival: &Arrival) {
        self.figures.requests += 1;
        self.figures.refused += 1;
        self.first_refusal_ms[arrival.budget].get_or_insert(arrival.at_ms);
        if self.left_tokens(arrival.budget) >= arrival.bound_tokens {
            self.figures.falsely_refused += 1;
        }
        self.record_exhaustion(arrival);
    }

    fn record_exhaustion(&mut self, arrival: &Arrival) {
        if self.left_tokens(arrival.budget) < arrival.bound_tokens {
            self.exhausted_ms[arrival.budget].get_or_insert(arrival.at_ms);
        }
    }

    fn finish(mut self) -> Figures {
        let pairs = self.first_refusal_ms.iter().zip(&self.exhausted_ms);
        let gaps: Vec<u64> = pairs
            .filter_map(|(refused, exhausted)| Some((*exhausted)?.saturating_sub((*refused)?)))
            .collect();
        if !gaps.is_empty() {
            self.figures.early_ms = Some(gaps.iter().sum::<u64>() / gaps.len() as u64);
        }
        self.figures
    }
}
