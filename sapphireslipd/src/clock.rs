//! The monotonic and wall clock readings that are passed to `sapphireslip-core`'s reducer.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sapphireslip_core::{Incarnation, Instant, Now};

/// A clock that reads the monotonic time since its start and the wall time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The monotonic time at which this clock was started.
    start: std::time::Instant,
}

impl Clock {
    /// Returns a clock whose monotonic time starts at zero now.
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

    /// Returns the current monotonic and wall time.
    #[must_use]
    pub fn now(&self) -> Now {
        Now {
            instant: Instant {
                since_start: self.start.elapsed(),
            },
            unix: unix_now(),
        }
    }

    /// Converts an instant of this clock to one of the runtime's timers.
    #[must_use]
    pub fn deadline(&self, at: Instant) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + at.since_start)
    }
}

/// Returns the incarnation of a daemon that starts now: the microseconds since the Unix epoch.
///
/// ```
/// assert!(sapphireslipd::new_incarnation().0 > 0);
/// ```
#[must_use]
pub fn new_incarnation() -> Incarnation {
    Incarnation(u64::try_from(unix_now().as_micros()).unwrap_or(u64::MAX))
}

/// Returns the time since the Unix epoch; zero if the wall clock is set before it.
pub(crate) fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
