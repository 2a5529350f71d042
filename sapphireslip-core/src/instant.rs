//! Points in time, which come in with events: the core reads no clock.

use std::ops::Add;
use std::time::Duration;

use crate::derives::key;

key! {
    /// A point on the monotonic clock of one process, as the time since the process started.
    #[derive(Default)]
    pub struct Instant {
        /// The time since the process started.
        pub since_start: Duration,
    }

    /// The two readings of the clock that come in with each event.
    #[derive(Default)]
    pub struct Now {
        /// The monotonic clock, for every decision about waiting.
        pub instant: Instant,
        /// The wall clock since the Unix epoch, for the lifetime of request keys and for people.
        pub unix: Duration,
    }
}

impl Instant {
    /// Returns the time from `earlier` to `self`, zero if `earlier` is later.
    ///
    /// ```
    /// use sapphireslip_core::Instant;
    /// use std::time::Duration;
    /// let start = Instant::default();
    /// let later = start + Duration::from_millis(5);
    /// assert_eq!(later.since(start), Duration::from_millis(5));
    /// assert_eq!(start.since(later), Duration::ZERO);
    /// ```
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        self.since_start.saturating_sub(earlier.since_start)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self {
            since_start: self.since_start.saturating_add(duration),
        }
    }
}
