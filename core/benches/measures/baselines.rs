//! What the product is measured against, on the same arrivals and faults.

use crate::scenario::{self, Arrival, Figures, Scenario, Site};
use std::collections::BTreeMap;

/// Writes that the store takes in a second.
const STORE_WRITES_PER_S: u64 = 100;

/// Tokens of requests that run, to be settled when they end.
type Running = BTreeMap<(u64, usize), (Arrival, usize)>;

/// Each router owns an equal part of every budget for good. A router that dies takes its part along:
/// without a ledger nobody knows what it had spent.
pub fn equal_split(site: Site, scenario: Scenario, arrivals: &[Arrival]) -> Figures {
    let paid = scenario::paid(scenario, arrivals);
    let routers = site.routers();
    let mut free: Vec<Vec<u64>> =
        paid.iter().map(|tokens| vec![tokens / routers as u64; routers]).collect();
    let mut judge = Judge::new(&paid);
    let mut running = Running::new();
    let mut second = 0;
    for (number, arrival) in arrivals.iter().enumerate() {
        for (ended, _) in take_ended(&mut running, arrival.at_ms) {
            free[ended.budget][ended.router] += ended.bound_tokens - ended.actual_tokens;
            judge.end(&ended);
        }
        while second <= arrival.at_ms / 1_000 {
            if let Some(at) = scenario.dies(site, second) {
                judge.figures.deaths += 1;
                for budget in &mut free {
                    judge.figures.lost_tokens += std::mem::take(&mut budget[at]);
                }
            }
            second += 1;
        }
        let own = &mut free[arrival.budget][arrival.router];
        if *own >= arrival.bound_tokens {
            *own -= arrival.bound_tokens;
            judge.start(arrival);
            running.insert((arrival.at_ms + scenario::SERVE_MS, number), (*arrival, 0));
        } else {
            judge.refuse(arrival);
        }
    }
    judge.finish()
}

/// Every request reserves in the store and settles there: two writes, and none without the store.
pub fn store_call(site: Site, scenario: Scenario, arrivals: &[Arrival]) -> Figures {
    let paid = scenario::paid(scenario, arrivals);
    let mut free = paid.clone();
    let mut judge = Judge::new(&paid);
    let mut running = Running::new();
    let mut second = 0;
    let mut writes_in_second = 0;
    for (number, arrival) in arrivals.iter().enumerate() {
        for (ended, _) in take_ended(&mut running, arrival.at_ms) {
            free[ended.budget] += ended.bound_tokens - ended.actual_tokens;
            judge.end(&ended);
            judge.figures.writes += 1;
            writes_in_second += 1;
        }
        while second <= arrival.at_ms / 1_000 {
            writes_in_second = 0;
            if let Some(at) = scenario.dies(site, second) {
                judge.figures.deaths += 1;
                let lost = running.values().filter(|(it, _)| it.router == at);
                judge.figures.lost_tokens += lost.map(|(it, _)| it.bound_tokens).sum::<u64>();
                running.retain(|_, (it, _)| it.router != at);
            }
            second += 1;
        }
        judge.figures.reads += 1;
        let reachable = scenario.store_reachable(arrival.router, arrival.at_ms / 1_000);
        let within = writes_in_second < STORE_WRITES_PER_S;
        if reachable && within && free[arrival.budget] >= arrival.bound_tokens {
            free[arrival.budget] -= arrival.bound_tokens;
            judge.figures.writes += 1;
            writes_in_second += 1;
            judge.start(arrival);
            running.insert((arrival.at_ms + scenario::SERVE_MS, number), (*arrival, 0));
        } else {
            judge.refuse(arrival);
        }
    }
    judge.finish()
}

fn take_ended(running: &mut Running, now_ms: u64) -> Vec<(Arrival, usize)> {
    let mut later = running.split_off(&(now_ms + 1, 0));
    std::mem::swap(running, &mut later);
    later.into_values().collect()
}

/// What was truly paid, served and under way.
struct Judge {
    paid: Vec<u64>,
    served: Vec<u64>,
    outstanding: Vec<u64>,
    first_refusal_ms: Vec<Option<u64>>,
    truly_empty_ms: Vec<Option<u64>>,
    figures: Figures,
}

impl Judge {
    fn new(paid: &[u64]) -> Self {
        let none = vec![0; paid.len()];
        Self {
            paid: paid.to_vec(),
            served: none.clone(),
            outstanding: none,
            first_refusal_ms: vec![None; paid.len()],
            truly_empty_ms: vec![None; paid.len()],
            figures: Figures::default(),
        }
    }

    fn left(&self, budget: usize) -> u64 {
        self.paid[budget].saturating_sub(self.served[budget] + self.outstanding[budget])
    }

    fn start(&mut self, arrival: &Arrival) {
        self.figures.requests += 1;
        self.outstanding[arrival.budget] += arrival.bound_tokens;
        let spent = self.served[arrival.budget] + self.outstanding[arrival.budget];
        let over = spent.saturating_sub(self.paid[arrival.budget]);
        self.figures.overspend_tokens = self.figures.overspend_tokens.max(over);
        self.note_empty(arrival);
    }

    fn end(&mut self, arrival: &Arrival) {
        self.outstanding[arrival.budget] -= arrival.bound_tokens;
        self.served[arrival.budget] += arrival.actual_tokens;
    }

    fn refuse(&mut self, arrival: &Arrival) {
        self.figures.requests += 1;
        self.figures.refused += 1;
        self.first_refusal_ms[arrival.budget].get_or_insert(arrival.at_ms);
        if self.left(arrival.budget) >= arrival.bound_tokens {
            self.figures.falsely_refused += 1;
        }
        self.note_empty(arrival);
    }

    fn note_empty(&mut self, arrival: &Arrival) {
        if self.left(arrival.budget) < arrival.bound_tokens {
            self.truly_empty_ms[arrival.budget].get_or_insert(arrival.at_ms);
        }
    }

    fn finish(mut self) -> Figures {
        let pairs = self.first_refusal_ms.iter().zip(&self.truly_empty_ms);
        let gaps: Vec<u64> = pairs
            .filter_map(|(refused, empty)| Some((*empty)?.saturating_sub((*refused)?)))
            .collect();
        if !gaps.is_empty() {
            self.figures.early_ms = Some(gaps.iter().sum::<u64>() / gaps.len() as u64);
        }
        self.figures
    }
}
