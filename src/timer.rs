//! Timeouts that allow for pauses of this process.

use std::time::Duration;
use tokio::time;

/// A timer that fires later than this after its deadline was delayed by a pause of the process.
const DELAY_MIN: Duration = Duration::from_millis(10);
/// The time for data that arrived during the pause to be read.
const BACKLOG_TIME: Duration = Duration::from_millis(50);

/// Requires a future to complete before `deadline`, like [`time::timeout_at`]. If the process was paused at the deadline,
/// the future gets a short time to complete with data that arrived meanwhile.
///
/// # Errors
///
/// If the future did not complete in time.
pub async fn timeout_at<F: Future>(
    deadline: time::Instant,
    future: F,
) -> Result<F::Output, time::error::Elapsed> {
    tokio::pin!(future);
    let result = time::timeout_at(deadline, &mut future).await;
    match result {
        Err(_) if deadline.elapsed() >= DELAY_MIN => time::timeout(BACKLOG_TIME, future).await,
        result => result,
    }
}
