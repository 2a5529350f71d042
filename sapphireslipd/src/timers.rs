//! The instants at which the reducer has asked to be woken.

use std::collections::BTreeSet;
use std::time::Duration;

use sapphireslip_core::Instant;

/// The granularity of wake-up instants; bounds how many are kept.
const GRANULARITY_NANOS: u128 = 1_000_000;

/// A set of wake-up instants, at most one per millisecond.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Timers {
    /// The instants that were not taken yet, each a whole number of milliseconds.
    due: BTreeSet<Instant>,
}

impl Timers {
    /// Adds an instant, rounded up to the next whole millisecond.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sapphireslip_core::Instant;
    /// use sapphireslipd::Timers;
    /// let mut timers = Timers::default();
    /// timers.add(Instant::default() + Duration::from_micros(10));
    /// assert_eq!(timers.next(), Some(Instant::default() + Duration::from_millis(1)));
    /// ```
    pub fn add(&mut self, at: Instant) {
        let millis = at.since_start.as_nanos().div_ceil(GRANULARITY_NANOS);
        let millis = u64::try_from(millis).unwrap_or(u64::MAX);
        self.due
            .insert(Instant::default() + Duration::from_millis(millis));
    }

    /// Returns the earliest instant; `None` if there is none.
    ///
    /// ```
    /// assert_eq!(sapphireslipd::Timers::default().next(), None);
    /// ```
    #[must_use]
    pub fn next(&self) -> Option<Instant> {
        self.due.first().copied()
    }

    /// Removes all instants up to and including `now`; returns whether there were any.
    ///
    /// ```
    /// use sapphireslip_core::Instant;
    /// use sapphireslipd::Timers;
    /// let mut timers = Timers::default();
    /// timers.add(Instant::default());
    /// assert!(timers.take_due(Instant::default()));
    /// assert!(!timers.take_due(Instant::default()));
    /// ```
    pub fn take_due(&mut self, now: Instant) -> bool {
        let before = self.due.len();
        while self.due.first().is_some_and(|at| *at <= now) {
            self.due.pop_first();
        }
        self.due.len() < before
    }
}
