//! Waits for a condition by polling, instead of sleeping for a fixed time.

use std::io;
use std::time::{Duration, Instant};

/// The time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Calls `poll` every 10 ms until it returns a value, and returns that value.
///
/// # Errors
///
/// Returns `TimedOut` with `what` in its message if there is no value within `limit`.
///
/// ```
/// use std::time::Duration;
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// let value = standins::wait_for("a value", Duration::from_secs(1), async || Some(1)).await?;
/// assert_eq!(value, 1);
/// # Ok::<(), std::io::Error>(())
/// # })?;
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn wait_for<T>(
    what: &str,
    limit: Duration,
    mut poll: impl AsyncFnMut() -> Option<T>,
) -> io::Result<T> {
    let started = Instant::now();
    loop {
        // The timeout keeps a poll that hangs from blocking the test forever.
        if let Ok(Some(value)) = tokio::time::timeout(limit, poll()).await {
            return Ok(value);
        }
        if started.elapsed() > limit {
            let message = format!("no {what} within {limit:?}");
            return Err(io::Error::new(io::ErrorKind::TimedOut, message));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
