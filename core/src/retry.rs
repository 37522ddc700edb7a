//! Retry budgets: retries are a fraction of successes, so that they never multiply an overload.
//!
//! The amount that can be accumulated is divided among the routers of the fleet, so that the limit
//! holds for the whole fleet, also during a network partition.

/// Thousandths of a retry that one success adds to the budget.
const EARNED_MILLI: u64 = 100;
/// Maximum number of retries that all routers together can accumulate, in thousandths.
const FLEET_LIMIT_MILLI: u64 = 40_000;
/// Maximum number of retries that one router can accumulate however small the fleet is, in
/// thousandths.
const ROUTER_LIMIT_MILLI: u64 = 10_000;
const COST_MILLI: u64 = 1_000;

/// The number of retries of failed requests that one router may still make for one service. Each successful request
/// adds a fraction of a retry, so that retries cannot multiply an overload. It has nothing to do with the prepaid token
/// budgets.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    available_milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { available_milli: ROUTER_LIMIT_MILLI }
    }
}

impl Budget {
    /// Records a success in a fleet of `routers`.
    pub fn earn(&mut self, routers: u64) {
        self.available_milli = (self.available_milli + EARNED_MILLI).min(limit_milli(routers));
    }

    /// Takes one retry from the budget in a fleet of `routers`; returns whether there was one.
    pub fn try_spend(&mut self, routers: u64) -> bool {
        let available_milli = self.available_milli.min(limit_milli(routers));
        let Some(left) = available_milli.checked_sub(COST_MILLI) else { return false };
        self.available_milli = left;
        true
    }
}

fn limit_milli(routers: u64) -> u64 {
    (FLEET_LIMIT_MILLI / routers.max(1)).clamp(COST_MILLI, ROUTER_LIMIT_MILLI)
}
