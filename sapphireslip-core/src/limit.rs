//! An adaptive limit of statements in flight at one server: additive increase, multiplicative
//! decrease on latency.

use std::time::Duration;

use crate::derives::data;

/// Thousandths of a statement, the unit in which the limit moves.
const THOUSANDTHS_PER_STATEMENT: u64 = 1_000;

/// What is left of the limit after a slow answer, in percent.
const DECREASE_PERCENT: u64 = 90;

/// How many times the usual latency counts as slow.
const SLOW_LATENCY_FACTOR: u32 = 3;

/// Latency above the usual that never counts as slow.
const SLOW_LATENCY_MARGIN: Duration = Duration::from_millis(5);

/// The part of itself by which the usual latency rises with each answer that is above it.
const BASELINE_RISE_DIVISOR: u32 = 64;

/// The weight of a new answer in the mean_latency latency, as one part in so many.
const MEAN_WEIGHT_DIVISOR: u32 = 8;

data! {
    /// The limit of one server.
    pub struct ConcurrencyLimit {
        current_thousandths: u64,
        max: u32,
        baseline_latency: Option<Duration>,
        mean_latency: Duration,
    }
}

impl ConcurrencyLimit {
    /// Returns a limit that starts at its greatest value.
    ///
    /// ```
    /// use sapphireslip_core::ConcurrencyLimit;
    /// assert_eq!(ConcurrencyLimit::new(5).current(), 5);
    /// ```
    #[must_use]
    pub fn new(max: u32) -> Self {
        Self {
            current_thousandths: u64::from(max.max(1)) * THOUSANDTHS_PER_STATEMENT,
            max: max.max(1),
            baseline_latency: None,
            mean_latency: Duration::ZERO,
        }
    }

    /// Returns how many statements may be in flight, at least one.
    ///
    /// ```
    /// use sapphireslip_core::ConcurrencyLimit;
    /// assert_eq!(ConcurrencyLimit::new(0).current(), 1);
    /// ```
    #[must_use]
    pub fn current(&self) -> u32 {
        u32::try_from(self.current_thousandths / THOUSANDTHS_PER_STATEMENT).unwrap_or(self.max)
    }

    /// Returns the mean_latency latency of late.
    ///
    /// ```
    /// use sapphireslip_core::ConcurrencyLimit;
    /// assert!(ConcurrencyLimit::new(5).mean_latency().is_zero());
    /// ```
    #[must_use]
    pub const fn mean_latency(&self) -> Duration {
        self.mean_latency
    }

    /// Changes the greatest value.
    pub(crate) fn set_max(&mut self, max: u32) {
        if max != self.max {
            *self = Self {
                baseline_latency: self.baseline_latency,
                mean_latency: self.mean_latency,
                ..Self::new(max)
            };
        }
    }

    /// Takes the latency of an answer that came while `in_flight` statements were at the server.
    ///
    /// ```
    /// use sapphireslip_core::ConcurrencyLimit;
    /// use std::time::Duration;
    /// let mut limit = ConcurrencyLimit::new(10);
    /// limit.on_answer(Duration::from_millis(1), 10);
    /// limit.on_answer(Duration::from_millis(100), 10);
    /// assert_eq!(limit.current(), 9);
    /// ```
    pub fn on_answer(&mut self, latency: Duration, in_flight: u32) {
        self.update_latencies(latency);
        let baseline_latency = self.baseline_latency.unwrap_or(latency);
        if latency > baseline_latency * SLOW_LATENCY_FACTOR + SLOW_LATENCY_MARGIN {
            self.current_thousandths =
                (self.current_thousandths * DECREASE_PERCENT / 100).max(THOUSANDTHS_PER_STATEMENT);
            return;
        }
        if in_flight >= self.current() {
            let step =
                THOUSANDTHS_PER_STATEMENT * THOUSANDTHS_PER_STATEMENT / self.current_thousandths;
            self.current_thousandths = (self.current_thousandths + step)
                .min(u64::from(self.max) * THOUSANDTHS_PER_STATEMENT);
        }
    }

    fn update_latencies(&mut self, latency: Duration) {
        self.mean_latency = if self.mean_latency.is_zero() {
            latency
        } else {
            self.mean_latency - self.mean_latency / MEAN_WEIGHT_DIVISOR
                + latency / MEAN_WEIGHT_DIVISOR
        };
        self.baseline_latency = Some(match self.baseline_latency {
            Some(baseline_latency) if baseline_latency < latency => {
                baseline_latency + baseline_latency / BASELINE_RISE_DIVISOR
            }
            _ => latency,
        });
    }
}
