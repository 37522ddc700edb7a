//! A retry budget: retries are a fraction of successes, so that they never multiply an overload.

/// Thousandths of a retry that one success earns.
const EARNED_MILLI: u64 = 100;
/// The most retries that can be saved up.
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
    /// Books a success.
    pub fn earn(&mut self) {
        self.saved_milli = (self.saved_milli + EARNED_MILLI).min(LIMIT_MILLI);
    }

    /// Takes one retry, if there is one.
    pub fn try_spend(&mut self) -> bool {
        let Some(left) = self.saved_milli.checked_sub(COST_MILLI) else { return false };
        self.saved_milli = left;
        true
    }
}
