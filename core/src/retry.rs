//! A retry budget: retries are a fraction of successes, so that they never multiply an overload.
//!
//! What may be saved up is shared out among the routers of the fleet, so that the limit holds for all
//! of them together, also while they cannot hear each other.

/// Thousandths of a retry that one success earns.
const EARNED_MILLI: u64 = 100;
/// The most retries that all routers together may have saved up.
const FLEET_LIMIT_MILLI: u64 = 40_000;
/// The most that one router may have saved up, however few they are.
const LIMIT_MILLI: u64 = 10_000;
const COST_MILLI: u64 = 1_000;

/// The retries that a service may still make.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved_milli: u64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved_milli: LIMIT_MILLI }
    }
}

impl Budget {
    /// Books a success, in a fleet of `routers`.
    pub fn earn(&mut self, routers: u64) {
        self.saved_milli = (self.saved_milli + EARNED_MILLI).min(limit_milli(routers));
    }

    /// Takes one retry, if there is one, in a fleet of `routers`.
    pub fn try_spend(&mut self, routers: u64) -> bool {
        let saved_milli = self.saved_milli.min(limit_milli(routers));
        let Some(left) = saved_milli.checked_sub(COST_MILLI) else { return false };
        self.saved_milli = left;
        true
    }
}

fn limit_milli(routers: u64) -> u64 {
    (FLEET_LIMIT_MILLI / routers.max(1)).clamp(COST_MILLI, LIMIT_MILLI)
}
