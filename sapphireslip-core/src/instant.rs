//! Points in time, which are passed in with events because this crate reads no clock.

use std::ops::Add;
use std::time::Duration;

use crate::derives::key;

key! {
    /// A point on the monotonic clock of one process.
    #[derive(Default)]
    pub struct Instant {
        /// The time since the process started.
        pub since_start: Duration,
    }

    /// The readings of the two clocks that are passed in with each event.
    #[derive(Default)]
    pub struct Now {
        /// The monotonic clock, for all timeouts and intervals.
        pub instant: Instant,
        /// The wall clock as the time since the Unix epoch, for the lifetime of request keys and
        /// for times that are shown to people.
        pub unix: Duration,
    }
}

impl Instant {
    /// Returns the time from `earlier` to `self`, or zero if `earlier` is the later one.
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
