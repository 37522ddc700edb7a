//! The sites, the fault scenarios, and a run of doorswitch itself.

use crate::world::{self, End, Shape, World};
use doorswitch_core::{config, node};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Length of a run, in seconds: a cut of one hour with some time before and after it.
pub const DURATION_S: u64 = 4_800;
const FAULT_BEGINS_S: u64 = 600;
const CUT_ENDS_S: u64 = FAULT_BEGINS_S + 3_600;
const OUTAGE_ENDS_S: u64 = FAULT_BEGINS_S + 600;
const CRASH_EVERY_S: u64 = 300;
pub const SERVE_MS: u64 = 4_000;
const REQUESTS_PER_S: u64 = 8;
const PROMPT_TOKENS: std::ops::Range<u64> = 60..400;
const ANSWER_TOKENS_MAX: u64 = 600;
const WARM_UP_S: u64 = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    Bursa,
    Muscat,
}

impl Site {
    pub const ALL: [Site; 2] = [Site::Bursa, Site::Muscat];

    pub fn name(self) -> &'static str {
        match self {
            Self::Bursa => "bursa",
            Self::Muscat => "muscat",
        }
    }

    pub fn routers(self) -> usize {
        match self {
            Self::Bursa => 8,
            Self::Muscat => 7,
        }
    }

    fn servers(self) -> usize {
        match self {
            Self::Bursa => 9,
            Self::Muscat => 12,
        }
    }

    /// The cover time of the sample configurations. Muscat is granted more in advance, to avoid false refusals.
    pub fn cover_s(self) -> u64 {
        match self {
            Self::Bursa => 600,
            Self::Muscat => 1_800,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    Calm,
    RegionCut,
    Outage,
    Crashes,
    BudgetsEnd,
    BudgetsEndCut,
}

impl Scenario {
    pub const ALL: [Scenario; 6] = [
        Scenario::Calm,
        Scenario::RegionCut,
        Scenario::Outage,
        Scenario::Crashes,
        Scenario::BudgetsEnd,
        Scenario::BudgetsEndCut,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::RegionCut => "region-cut-1h",
            Self::Outage => "outage-10min",
            Self::Crashes => "deaths",
            Self::BudgetsEnd => "budgets-end",
            Self::BudgetsEndCut => "budgets-end-cut",
        }
    }

    pub fn store_reachable(self, router: usize, at_s: u64) -> bool {
        match self {
            Self::Outage => !(FAULT_BEGINS_S..OUTAGE_ENDS_S).contains(&at_s),
            _ => !(self.is_cut(at_s) && in_cut_region(router)),
        }
    }

    pub fn is_cut(self, at_s: u64) -> bool {
        let cuts = matches!(self, Self::RegionCut | Self::BudgetsEndCut);
        cuts && (FAULT_BEGINS_S..CUT_ENDS_S).contains(&at_s)
    }

    /// The router that is killed at this second.
    pub fn killed_router(self, site: Site, at_s: u64) -> Option<usize> {
        let due =
            self == Self::Crashes && at_s >= FAULT_BEGINS_S && at_s.is_multiple_of(CRASH_EVERY_S);
        due.then_some((at_s / CRASH_EVERY_S) as usize % site.routers())
    }

    /// Prepaid tokens of each workspace, in percent of the tokens that its requests use.
    fn paid_percent(self) -> u64 {
        match self {
            Self::BudgetsEnd | Self::BudgetsEndCut => 60,
            _ => 400,
        }
    }
}

/// Whether a router is in the region that is cut off from the store; every second router is.
pub fn in_cut_region(router: usize) -> bool {
    router % 2 == 1
}

#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub router: usize,
    pub budget: usize,
    pub bound_tokens: u64,
    pub actual_tokens: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub requests: u64,
    pub overspend_tokens: u64,
    pub refused: u64,
    pub falsely_refused: u64,
    /// False refusals for which neither the store nor any reachable router had the tokens.
    pub unavoidable: Option<u64>,
    pub reads: u64,
    pub writes: u64,
    pub crashes: u64,
    pub lost_tokens: u64,
    /// Mean time from the first refusal of a budget until it could no longer cover a request.
    pub early_ms: Option<u64>,
}

/// Budgets of ten workspaces: three large ones with a quarter of the requests each, and seven that share the rest.
const BUDGETS: usize = 10;

pub fn arrivals(site: Site, scenario: Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed + scenario as u64);
    let count = DURATION_S * REQUESTS_PER_S;
    (0..count)
        .map(|number| {
            let prompt_tokens = rng.random_range(PROMPT_TOKENS);
            let share = rng.random_range(0..28);
            Arrival {
                at_ms: number * 1_000 / REQUESTS_PER_S
                    + rng.random_range(0..1_000 / REQUESTS_PER_S),
                router: rng.random_range(0..site.routers()),
                budget: if share < 21 { share / 7 } else { 3 + (share - 21) },
                bound_tokens: prompt_tokens * 4 + ANSWER_TOKENS_MAX,
                actual_tokens: prompt_tokens + rng.random_range(50..=ANSWER_TOKENS_MAX),
            }
        })
        .collect()
}

/// Prepaid tokens of each budget.
pub fn prepaid_tokens(scenario: Scenario, arrivals: &[Arrival]) -> Vec<u64> {
    let mut used_tokens = vec![0; BUDGETS];
    for arrival in arrivals {
        used_tokens[arrival.budget] += arrival.actual_tokens;
    }
    used_tokens.into_iter().map(|tokens| tokens * scenario.paid_percent() / 100).collect()
}

pub fn run(site: Site, scenario: Scenario, cover_s: u64, arrivals: &[Arrival]) -> Figures {
    let budget = |number: usize| config::Budget {
        name: format!("budget-{number}"),
        cover_s,
        minimum_grant_tokens: 4_000,
        prepaid_tokens: None,
        held_percent: 0,
        holders: 0,
        loss_spread_s: 0,
    };
    let shape = Shape {
        routers: site.routers(),
        regions: 2,
        budgets: (0..BUDGETS).map(budget).collect(),
        paid_tokens: 0,
        servers: site.servers(),
        slots: 64,
        writes_per_s: 100,
        queue_length: 1_000,
    };
    let mut world = World::new(shape, 5);
    world.serve_ms = SERVE_MS;
    world.vm_removal_delay_ms = 30_000;
    for (budget, tokens) in prepaid_tokens(scenario, arrivals).into_iter().enumerate() {
        world.pay(budget, tokens);
    }
    world.run_ms(WARM_UP_S * 1_000);
    Run::new(site, scenario, world).run(arrivals)
}

struct Run {
    site: Site,
    scenario: Scenario,
    world: World,
    figures: Figures,
    first_refusal_ms: Vec<Option<u64>>,
    exhausted_ms: Vec<Option<u64>>,
    counted_refusals: usize,
}

impl Run {
    fn new(site: Site, scenario: Scenario, world: World) -> Self {
        let figures = Figures { unavoidable: Some(0), ..Figures::default() };
        let first_refusal_ms = vec![None; BUDGETS];
        let exhausted_ms = vec![None; BUDGETS];
        Self { site, scenario, world, figures, first_refusal_ms, exhausted_ms, counted_refusals: 0 }
    }

    fn run(mut self, arrivals: &[Arrival]) -> Figures {
        let begin_ms = self.world.now_ms;
        let calls = self.world.store_calls;
        let mut next = arrivals.iter().peekable();
        let mut second = 0;
        while self.world.now_ms - begin_ms < DURATION_S * 1_000 {
            let at_ms = self.world.now_ms - begin_ms;
            if at_ms / 1_000 >= second {
                self.apply_faults(second);
                second += 1;
            }
            while let Some(arrival) = next.next_if(|arrival| arrival.at_ms <= at_ms) {
                self.arrive(arrival);
            }
            self.world.step();
            self.count_refusals();
        }
        self.figures.reads = self.world.store_calls.0 - calls.0;
        self.figures.writes = self.world.store_calls.1 - calls.1;
        self.figures.crashes = self.world.kills;
        self.figures.lost_tokens = self.world.written_off_tokens;
        // `World` fails the run on any overspend.
        self.figures.overspend_tokens = 0;
        self.figures.early_ms = self.early_ms();
        self.figures
    }

    fn apply_faults(&mut self, second: u64) {
        let routers = self.site.routers();
        let store_out =
            self.scenario == Scenario::Outage && !self.scenario.store_reachable(0, second);
        self.world.faults.store_unavailable = store_out;
        self.world.faults.store_cut.clear();
        self.world.faults.pairs_cut.clear();
        if self.scenario.is_cut(second) {
            self.world
                .faults
                .store_cut
                .extend((0..routers).filter(|router| in_cut_region(*router)));
            for first in 0..routers {
                let peers = (first + 1..routers)
                    .filter(|second| in_cut_region(*second) != in_cut_region(first));
                self.world.faults.pairs_cut.extend(peers.map(|second| (first, second)));
            }
        }
        if let Some(killed) = self.scenario.killed_router(self.site, second) {
            self.world.kill(killed);
            self.world.restart(killed, false);
        }
    }

    fn arrive(&mut self, arrival: &Arrival) {
        self.figures.requests += 1;
        let key = 10_000_000 + self.figures.requests;
        // The load balancer skips routers that are not ready.
        let routers = self.site.routers();
        let ready =
            |router: &usize| self.world.routers[*router].node.lifecycle() == node::Lifecycle::Ready;
        let next_ready = (0..routers).map(|step| (arrival.router + step) % routers).find(ready);
        let router = next_ready.unwrap_or(arrival.router);
        let (bound, actual) = (arrival.bound_tokens, arrival.actual_tokens);
        self.world.admit(router, arrival.budget, key, bound, actual, false);
        for budget in 0..BUDGETS {
            if self.world.totals[budget].unspent_tokens() < bound
                && self.exhausted_ms[budget].is_none()
            {
                self.exhausted_ms[budget] = Some(self.world.now_ms);
            }
        }
    }

    fn count_refusals(&mut self) {
        let refusals = self.world.refusals[self.counted_refusals..].to_vec();
        self.counted_refusals += refusals.len();
        for index in refusals {
            let request = self.world.requests[index].clone();
            self.figures.refused += 1;
            let Some(End::Refused(reason)) = request.end else { continue };
            let budget_reason =
                matches!(reason, node::Reason::BudgetExhausted | node::Reason::BudgetUnreachable);
            if !budget_reason {
                eprintln!("refused for {reason:?}");
                continue;
            }
            self.first_refusal_ms[request.budget].get_or_insert(self.world.now_ms);
            if self.world.totals[request.budget].unspent_tokens() >= request.bound_tokens {
                self.figures.falsely_refused += 1;
                if self.reachable_tokens(&request) < request.bound_tokens {
                    *self.figures.unavoidable.get_or_insert(0) += 1;
                }
            }
        }
    }

    /// Free tokens of a budget in the store and at all routers that the refusing router can reach.
    fn reachable_tokens(&self, request: &world::SubmittedRequest) -> u64 {
        let name = self.world.budget_name(request.budget);
        let reached = |router: &usize| {
            *router == request.router || self.world.connected(request.router, *router)
        };
        let free: u64 = (0..self.world.routers.len())
            .filter(reached)
            .filter_map(|router| {
                let grants = self.world.routers[router].node.grants();
                grants.find(&name).map(|slot| grants.account(slot).free_tokens())
            })
            .sum();
        let undrawn = self.world.ledger(request.budget).remaining_tokens().unwrap_or(0);
        free + if self.world.reaches_store(request.router) { undrawn } else { 0 }
    }

    fn early_ms(&self) -> Option<u64> {
        let mut gaps = Vec::new();
        for (refused, exhausted) in self.first_refusal_ms.iter().zip(&self.exhausted_ms) {
            if let (Some(refused), Some(exhausted)) = (refused, exhausted) {
                gaps.push(exhausted.saturating_sub(*refused));
            }
        }
        let count = gaps.len() as u64;
        (count > 0).then(|| gaps.into_iter().sum::<u64>() / count)
    }
}
