//! Delays between repeated calls to the store.

use crate::logging;
use doorswitch_platform::store;
use std::time::Duration;
use tokio::time;

/// The mean delay after a first failure. It doubles with each further failure in a row up to the maximum, because
/// refused calls load the store as well.
const FIRST_DELAY: Duration = Duration::from_millis(250);
const DELAY_MAX: Duration = Duration::from_millis(1_000);

/// An exponential delay with jitter after failures in a row.
#[derive(Debug)]
pub struct RetryDelay {
    next: Duration,
    failed: bool,
}

impl Default for RetryDelay {
    fn default() -> Self {
        Self { next: FIRST_DELAY, failed: false }
    }
}

impl RetryDelay {
    /// Logs a failure, the first one as a warning, and waits for the next delay.
    pub async fn wait(&mut self, event: &str, prefix: &str, error: &store::Error) {
        let level = if self.failed { log::Level::Debug } else { log::Level::Warn };
        log::log!(level, "event={event} prefix={prefix} fault={}", logging::quoted(error));
        self.failed = true;
        time::sleep(self.next.mul_f64(rand::random_range(0.5..1.5))).await;
        self.next = (self.next * 2).min(DELAY_MAX);
    }
}
