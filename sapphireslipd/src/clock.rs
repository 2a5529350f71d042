//! The clocks of the process, as the reducer sees them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sapphireslip_core::{Incarnation, Instant, Now};

/// The monotonic clock, counted from the start of the daemon, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: std::time::Instant,
}

impl Clock {
    /// Starts counting.
    ///
    /// ```
    /// let clock = sapphireslipd::Clock::start();
    /// assert!(clock.now().instant <= clock.now().instant);
    /// ```
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: std::time::Instant::now(),
        }
    }

    /// Returns both readings.
    #[must_use]
    pub fn now(&self) -> Now {
        Now {
            instant: Instant {
                since_start: self.start.elapsed(),
            },
            unix: unix_now(),
        }
    }

    /// Returns an instant as the runtime's timers take it.
    #[must_use]
    pub fn deadline(&self, at: Instant) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + at.since_start)
    }
}

/// Returns the number of a run that starts now: microseconds since the Unix epoch.
///
/// ```
/// assert!(sapphireslipd::new_incarnation().0 > 0);
/// ```
#[must_use]
pub fn new_incarnation() -> Incarnation {
    Incarnation(u64::try_from(unix_now().as_micros()).unwrap_or(u64::MAX))
}

/// Returns the time since the Unix epoch.
pub(crate) fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
