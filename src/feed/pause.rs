//! Pauses between calls to the store that fail.

use crate::logging;
use doorswitch_platform::store;
use std::time::Duration;
use tokio::time;

/// After a failure the next call waits about this long, twice as long after each further one in a row up to
/// the limit: refused calls cost the store as well.
const FIRST: Duration = Duration::from_millis(250);
const LONGEST: Duration = Duration::from_millis(1_000);

/// The pauses after failures in a row.
#[derive(Debug)]
pub struct Pause {
    next: Duration,
    failed: bool,
}

impl Default for Pause {
    fn default() -> Self {
        Self { next: FIRST, failed: false }
    }
}

impl Pause {
    /// Waits after a failure.
    pub async fn wait(&mut self, event: &str, prefix: &str, error: &store::Error) {
        let level = if self.failed { log::Level::Debug } else { log::Level::Warn };
        log::log!(level, "event={event} prefix={prefix} fault={}", logging::quoted(error));
        self.failed = true;
        time::sleep(self.next.mul_f64(rand::random_range(0.5..1.5))).await;
        self.next = (self.next * 2).min(LONGEST);
    }
}
