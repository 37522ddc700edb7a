//! The sites, what happens to them, and a run of the product's own strategy.

use crate::world::{self, End, Shape, World};
use doorswitch_core::{config, node};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// A run covers a cut of an hour with some time before and after.
pub const DURATION_S: u64 = 4_800;
const FAULT_BEGINS_S: u64 = 600;
const CUT_ENDS_S: u64 = FAULT_BEGINS_S + 3_600;
const OUTAGE_ENDS_S: u64 = FAULT_BEGINS_S + 600;
const DEATH_EVERY_S: u64 = 300;
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

    /// As the sample configurations have it: Muscat holds more in hand, against false refusals.
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
    Deaths,
    BudgetsEnd,
    BudgetsEndCut,
}

impl Scenario {
    pub const ALL: [Scenario; 6] = [
        Scenario::Calm,
        Scenario::RegionCut,
        Scenario::Outage,
        Scenario::Deaths,
        Scenario::BudgetsEnd,
        Scenario::BudgetsEndCut,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::RegionCut => "region-cut-1h",
            Self::Outage => "outage-10min",
            Self::Deaths => "deaths",
            Self::BudgetsEnd => "budgets-end",
            Self::BudgetsEndCut => "budgets-end-cut",
        }
    }

    pub fn store_reachable(self, router: usize, at_s: u64) -> bool {
        match self {
            Self::Outage => !(FAULT_BEGINS_S..OUTAGE_ENDS_S).contains(&at_s),
            _ => !(self.cut(at_s) && far(router)),
        }
    }

    pub fn cut(self, at_s: u64) -> bool {
        let cuts = matches!(self, Self::RegionCut | Self::BudgetsEndCut);
        cuts && (FAULT_BEGINS_S..CUT_ENDS_S).contains(&at_s)
    }

    /// The router that dies at this second.
    pub fn dies(self, site: Site, at_s: u64) -> Option<usize> {
        let due =
            self == Self::Deaths && at_s >= FAULT_BEGINS_S && at_s.is_multiple_of(DEATH_EVERY_S);
        due.then_some((at_s / DEATH_EVERY_S) as usize % site.routers())
    }

    /// What each workspace has paid, as a part of what it will ask for.
    fn paid_percent(self) -> u64 {
        match self {
            Self::BudgetsEnd | Self::BudgetsEndCut => 60,
            _ => 400,
        }
    }
}

/// Every other router is in the region that is cut off from the store.
pub fn far(router: usize) -> bool {
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
    /// Of the false refusals: nobody who could be reached had the tokens.
    pub unavoidable: Option<u64>,
    pub reads: u64,
    pub writes: u64,
    pub deaths: u64,
    pub lost_tokens: u64,
    /// From a budget's first refusal to the moment when it could truly not serve, on average.
    pub early_ms: Option<u64>,
}

/// Ten workspaces: three large ones with a quarter of the requests each, seven share the rest.
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

/// What each budget has paid.
pub fn paid(scenario: Scenario, arrivals: &[Arrival]) -> Vec<u64> {
    let mut asked = vec![0; BUDGETS];
    for arrival in arrivals {
        asked[arrival.budget] += arrival.actual_tokens;
    }
    asked.into_iter().map(|tokens| tokens * scenario.paid_percent() / 100).collect()
}

pub fn run(site: Site, scenario: Scenario, cover_s: u64, arrivals: &[Arrival]) -> Figures {
    let budget = |number: usize| config::Budget {
        name: format!("budget-{number}"),
        cover_s,
        minimum_grant_tokens: 4_000,
        prepaid_tokens: None,
        held_percent: 0,
        holders: 0,
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
    for (budget, tokens) in paid(scenario, arrivals).into_iter().enumerate() {
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
    truly_empty_ms: Vec<Option<u64>>,
    seen_refusals: usize,
}

impl Run {
    fn new(site: Site, scenario: Scenario, world: World) -> Self {
        let figures = Figures { unavoidable: Some(0), ..Figures::default() };
        let first_refusal_ms = vec![None; BUDGETS];
        let truly_empty_ms = vec![None; BUDGETS];
        Self { site, scenario, world, figures, first_refusal_ms, truly_empty_ms, seen_refusals: 0 }
    }

    fn run(mut self, arrivals: &[Arrival]) -> Figures {
        let begin_ms = self.world.now_ms;
        let calls = self.world.store_calls;
        let mut next = arrivals.iter().peekable();
        let mut second = 0;
        while self.world.now_ms - begin_ms < DURATION_S * 1_000 {
            let at_ms = self.world.now_ms - begin_ms;
            if at_ms / 1_000 >= second {
                self.faults(second);
                second += 1;
            }
            while let Some(arrival) = next.next_if(|arrival| arrival.at_ms <= at_ms) {
                self.arrive(arrival);
            }
            self.world.step();
            self.judge_refusals();
        }
        self.figures.reads = self.world.store_calls.0 - calls.0;
        self.figures.writes = self.world.store_calls.1 - calls.1;
        self.figures.deaths = self.world.kills;
        self.figures.lost_tokens = self.world.written_off_tokens;
        // The world itself fails the run on any overspend.
        self.figures.overspend_tokens = 0;
        self.figures.early_ms = self.early_ms();
        self.figures
    }

    fn faults(&mut self, second: u64) {
        let routers = self.site.routers();
        let store_out =
            self.scenario == Scenario::Outage && !self.scenario.store_reachable(0, second);
        self.world.faults.store_unavailable = store_out;
        self.world.faults.store_cut.clear();
        self.world.faults.pairs_cut.clear();
        if self.scenario.cut(second) {
            self.world.faults.store_cut.extend((0..routers).filter(|it| far(*it)));
            for one in 0..routers {
                let others = (one + 1..routers).filter(|other| far(*other) != far(one));
                self.world.faults.pairs_cut.extend(others.map(|other| (one, other)));
            }
        }
        if let Some(at) = self.scenario.dies(self.site, second) {
            self.world.kill(at);
            self.world.restart(at, false);
        }
    }

    fn arrive(&mut self, arrival: &Arrival) {
        self.figures.requests += 1;
        let key = 10_000_000 + self.figures.requests;
        // The balancer passes over a router that takes no work.
        let routers = self.site.routers();
        let ready = |at: &usize| self.world.routers[*at].node.lifecycle() == node::Lifecycle::Ready;
        let turn = (0..routers).map(|step| (arrival.router + step) % routers).find(ready);
        let at = turn.unwrap_or(arrival.router);
        let (bound, actual) = (arrival.bound_tokens, arrival.actual_tokens);
        self.world.admit(at, arrival.budget, key, bound, actual, false);
        for budget in 0..BUDGETS {
            if self.world.totals[budget].unspent_tokens() < bound
                && self.truly_empty_ms[budget].is_none()
            {
                self.truly_empty_ms[budget] = Some(self.world.now_ms);
            }
        }
    }

    fn judge_refusals(&mut self) {
        let refusals = self.world.refusals[self.seen_refusals..].to_vec();
        self.seen_refusals += refusals.len();
        for place in refusals {
            let given = self.world.requests[place].clone();
            self.figures.refused += 1;
            let Some(End::Refused(reason)) = given.end else { continue };
            let budget_reason =
                matches!(reason, node::Reason::BudgetExhausted | node::Reason::BudgetUnreachable);
            if !budget_reason {
                eprintln!("refused for {reason:?}");
                continue;
            }
            self.first_refusal_ms[given.budget].get_or_insert(self.world.now_ms);
            if self.world.totals[given.budget].unspent_tokens() >= given.bound_tokens {
                self.figures.falsely_refused += 1;
                if self.reachable_tokens(&given) < given.bound_tokens {
                    *self.figures.unavoidable.get_or_insert(0) += 1;
                }
            }
        }
    }

    /// What the store and the routers that can be reached from the refusing one have free.
    fn reachable_tokens(&self, given: &world::SubmittedRequest) -> u64 {
        let name = self.world.budget_name(given.budget);
        let reached = |at: &usize| *at == given.at || self.world.connected(given.at, *at);
        let free: u64 = (0..self.world.routers.len())
            .filter(reached)
            .filter_map(|at| {
                let grants = self.world.routers[at].node.grants();
                grants.find(&name).map(|slot| grants.account(slot).free_tokens())
            })
            .sum();
        let undrawn = self.world.ledger(given.budget).remaining_tokens().unwrap_or(0);
        free + if self.world.reaches_store(given.at) { undrawn } else { 0 }
    }

    fn early_ms(&self) -> Option<u64> {
        let mut gaps = Vec::new();
        for (refused, empty) in self.first_refusal_ms.iter().zip(&self.truly_empty_ms) {
            if let (Some(refused), Some(empty)) = (refused, empty) {
                gaps.push(empty.saturating_sub(*refused));
            }
        }
        let count = gaps.len() as u64;
        (count > 0).then(|| gaps.into_iter().sum::<u64>() / count)
    }
}
