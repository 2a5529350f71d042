//! Waiting for a condition, in place of fixed sleeps.

use std::io;
use std::time::{Duration, Instant};

/// The time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `look` returns a value.
///
/// # Errors
///
/// Nothing came within `limit`; the error names what was awaited.
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
        // A look that hangs must not hang the test.
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
